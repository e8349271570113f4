package setting

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"baobabstep"

	qt "github.com/frankban/quicktest"
)

// refusal is one case of testdata/refused.json: the fields laid over the valid
// settings, and the error that names them.
type refusal struct {
	Name   string                     `json:"name"`
	Fields map[string]json.RawMessage `json:"fields"`
	Want   string                     `json:"want"`
}

func TestParseRefuses(t *testing.T) {
	var cases []refusal
	readJSON(t, filepath.Join("testdata", "refused.json"), &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			var fields map[string]json.RawMessage
			readJSON(t, filepath.Join("testdata", "valid.json"), &fields)
			for name, value := range c.Fields {
				fields[name] = value
			}
			raw, err := json.Marshal(fields)
			qt.Assert(t, err, qt.IsNil)
			assertRefused(t, raw, c.Want)
		})
	}
}

func TestParseRefusesDamagedFiles(t *testing.T) {
	valid, err := os.ReadFile(filepath.Join("testdata", "valid.json"))
	qt.Assert(t, err, qt.IsNil)
	t.Run("cut short", func(t *testing.T) { assertRefused(t, valid[:len(valid)/2], `.*unexpected EOF.*`) })
	t.Run("empty", func(t *testing.T) { assertRefused(t, nil, `.*EOF.*`) })
	t.Run("two objects", func(t *testing.T) {
		assertRefused(t, append(valid, valid...), `.*data after the settings object.*`)
	})
	t.Run("large", func(t *testing.T) {
		assertRefused(t, make([]byte, maxFileBytes+1), `.*want at most.*`)
	})
}

func TestParseFillsDefaults(t *testing.T) {
	s, err := Read(filepath.Join("testdata", "valid.json"))
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, s.Shards, qt.Equals, DefaultShards)
	qt.Check(t, s.Policy, qt.Equals, Policies[0])
	qt.Check(t, s.StopTimeout(), qt.Equals, DefaultStopTimeout)
	qt.Check(t, s.VM().DataAddress, qt.Equals, s.DataAddress)
	qt.Check(t, Keys(s.PeerKeys)[0], qt.HasLen, MinKeyBytes)
}

func assertRefused(t *testing.T, raw []byte, want string) {
	t.Helper()
	_, err := Parse(raw)
	qt.Assert(t, err, qt.ErrorMatches, "settings: "+want)
	qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeSettings)
}

func readJSON(t *testing.T, path string, into any) {
	t.Helper()
	raw, err := os.ReadFile(path)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, json.Unmarshal(raw, into), qt.IsNil)
}

var documentedSetting = regexp.MustCompile("(?m)^\\| `(\\w+)` \\|")

// assertDocumented checks that the rows of the page that match pattern name
// exactly the fields of a type.
func assertDocumented(t *testing.T, pattern *regexp.Regexp, settings reflect.Type) {
	t.Helper()
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "SETTINGS.md"))
	qt.Assert(t, err, qt.IsNil)
	documented := map[string]bool{}
	for _, row := range pattern.FindAllStringSubmatch(string(page), -1) {
		documented[row[1]] = true
	}
	fields := map[string]bool{}
	for i := range settings.NumField() {
		name, _, _ := strings.Cut(settings.Field(i).Tag.Get("json"), ",")
		fields[name] = true
	}
	qt.Assert(t, documented, qt.DeepEquals, fields)
}

func TestSettingsAreDocumented(t *testing.T) {
	assertDocumented(t, documentedSetting, reflect.TypeFor[Settings]())
}

func TestExamplesAreValid(t *testing.T) {
	examples, err := filepath.Glob(filepath.Join("..", "..", "settings", "*.json"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, examples, qt.HasLen, 2)
	for _, example := range examples {
		t.Run(filepath.Base(example), func(t *testing.T) {
			_, err := Read(example)
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

// What isName takes is what the pattern in its error says.
func TestNames(t *testing.T) {
	pattern := regexp.MustCompile(namePattern)
	names := []string{"", "a", "0", "-a", ".a", "_", "a-b.c_d", "A", "a b", "é", "a\n", strings.Repeat("x", 63), strings.Repeat("x", 64)}
	for _, name := range names {
		qt.Check(t, isName(name), qt.Equals, pattern.MatchString(name), qt.Commentf("%q", name))
	}
}
