package baobabstep

import (
	"io"
	"math"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	qt "github.com/frankban/quicktest"
)

func TestCodeOf(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want Code
	}{
		{"nil", nil, CodeOK},
		{"coded", Errorf(CodeConflict, "config.accept", "base is old"), CodeConflict},
		{"wrapped", errors.Wrap(Errorf(CodeInvalid, "x", "y"), "outer"), CodeInvalid},
		{"foreign", io.EOF, CodeInternal},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, CodeOf(test.err), qt.Equals, test.want)
		})
	}
}

func TestErrorKeepsItsCause(t *testing.T) {
	err := Errorf(CodePlatformUnknown, "platform.put", "read answer: %w", io.ErrUnexpectedEOF)
	qt.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), qt.IsTrue)
	qt.Assert(t, err, qt.ErrorMatches, `platform.put: read answer: unexpected EOF \(402 PlatformUnknown\)`)
}

var documentedCode = regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| .+ \|$`)

// The table has exactly one row for each code with a generated name.
func TestResultCodesAreDocumented(t *testing.T) {
	table, err := os.ReadFile("docs/RESULT_CODES.md")
	qt.Assert(t, err, qt.IsNil)
	documented := map[string]string{}
	for _, row := range documentedCode.FindAllStringSubmatch(string(table), -1) {
		qt.Check(t, documented[row[1]], qt.Equals, "", qt.Commentf("code %s is listed twice", row[1]))
		documented[row[1]] = row[2]
	}
	named := map[string]string{}
	for code := range math.MaxUint16 {
		if name := Code(code).String(); !strings.HasPrefix(name, "Code(") {
			named[strconv.Itoa(code)] = name
		}
	}
	qt.Assert(t, documented, qt.DeepEquals, named)
}
