package baobabstep

import (
	"io"
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
