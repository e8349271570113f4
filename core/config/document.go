package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strings"

	"baobabstep"
)

// Format is the version of the JSON forms of this package.
const Format = 1

// MaxDocument bounds the bytes of one document; the platform takes no value
// above a megabyte.
const MaxDocument = 1 << 20

// Template is a shared description of a kind of service.
type Template struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	// SchemaVersion grows by one with each change of Parameters.
	SchemaVersion int         `json:"schema_version"`
	Doc           string      `json:"doc"`
	Parameters    []Parameter `json:"parameters"`
	Service       Shape       `json:"service"`
}

// Parameter is one value that an account fills in.
type Parameter struct {
	Name string `json:"name"`
	Type Type   `json:"type"`
	Doc  string `json:"doc"`
	// Default is used where an account gives no value; without it the
	// parameter is required.
	Default json.RawMessage `json:"default,omitempty"`
	// Min and Max bound a number, integer or duration, and the length of a
	// list or string; both ends are allowed.
	Min json.RawMessage `json:"min,omitempty"`
	Max json.RawMessage `json:"max,omitempty"`
	// Allowed lists the only values of a string, or of a string list's items.
	Allowed []string `json:"allowed,omitempty"`
}

// Shape says where each setting of a service comes from: a literal, or
// "$name" for the value of a parameter.
type Shape struct {
	Address         json.RawMessage `json:"address,omitempty"`
	DataCentres     json.RawMessage `json:"data_centres,omitempty"`
	Targets         json.RawMessage `json:"targets,omitempty"`
	Stream          json.RawMessage `json:"stream,omitempty"`
	Slots           json.RawMessage `json:"slots,omitempty"`
	Connections     json.RawMessage `json:"connections,omitempty"`
	MaxTimeout      json.RawMessage `json:"max_timeout,omitempty"`
	DefaultTimeout  json.RawMessage `json:"default_timeout,omitempty"`
	OrdinaryFloor   json.RawMessage `json:"ordinary_floor,omitempty"`
	RetryShare      json.RawMessage `json:"retry_share,omitempty"`
	QueueLimit      json.RawMessage `json:"queue_limit,omitempty"`
	MaxEjectedShare json.RawMessage `json:"max_ejected_share,omitempty"`
	Classes         json.RawMessage `json:"classes,omitempty"`
}

// Account is one client account.
type Account struct {
	Format   int              `json:"format"`
	Name     string           `json:"name"`
	Doc      string           `json:"doc"`
	Services []AccountService `json:"services"`
}

// AccountService is one service of an account.
type AccountService struct {
	Name     string                     `json:"name"`
	Template string                     `json:"template"`
	Values   map[string]json.RawMessage `json:"values"`
}

// TargetValue is one item of a target list.
type TargetValue struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// Slots and Connections replace the template's where they are not zero.
	Slots       int  `json:"slots,omitempty"`
	Connections int  `json:"connections,omitempty"`
	Drained     bool `json:"drained,omitempty"`
	// Evacuated is set while the target's data centre is; it ends with that, and
	// leaves Drained as it is.
	Evacuated bool `json:"evacuated,omitempty"`
}

// ClassRuleValue is one item of a class rule list.
type ClassRuleValue struct {
	Callers string `json:"callers"`
	// Class is "urgent" or "ordinary".
	Class string `json:"class"`
}

// Problem is one reason why a document was refused.
type Problem struct {
	// Path names the value, as "accounts.tas-south.services.fixtures.slots".
	Path string `json:"path"`
	// Value is what was found there.
	Value string `json:"value"`
	// Allowed says what may stand there.
	Allowed string `json:"allowed"`
}

// Problems is the error of a validation; it holds at least one problem.
type Problems []Problem

// maxShown bounds the problems in an error's text.
const maxShown = 8

// Error lists the first problems, one after the other.
func (p Problems) Error() string {
	var lines []string
	for i, one := range p {
		if i == maxShown {
			lines = append(lines, fmt.Sprintf("and %d more", len(p)-maxShown))
			break
		}
		lines = append(lines, fmt.Sprintf("%s: got %s, want %s", one.Path, one.Value, one.Allowed))
	}
	return strings.Join(lines, "; ")
}

// add notes one problem.
func (p *Problems) add(path string, value any, allowed string, args ...any) {
	*p = append(*p, Problem{Path: path, Value: shorten(fmt.Sprint(value)), Allowed: fmt.Sprintf(allowed, args...)})
}

// err returns nil or the problems as an error with CodeInvalid.
func (p Problems) err(op string) error {
	if len(p) == 0 {
		return nil
	}
	return &baobabstep.Error{Code: baobabstep.CodeInvalid, Op: op, Err: p}
}

const maxValueShown = 120

func shorten(s string) string {
	if len(s) > maxValueShown {
		return s[:maxValueShown] + "..."
	}
	return s
}

// Decode reads one JSON value strictly: unknown fields, text after the value
// and more than MaxDocument bytes are refused with CodeInvalid.
func Decode(data []byte, to any) error {
	if len(data) > MaxDocument {
		return baobabstep.Errorf(baobabstep.CodeTooLarge, "config.decode", "got %d bytes, want at most %d", len(data), MaxDocument)
	}
	return decodeAny(data, to)
}

func decodeAny(data []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return baobabstep.Errorf(baobabstep.CodeInvalid, "config.decode", "%w", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return baobabstep.Errorf(baobabstep.CodeInvalid, "config.decode", "got text after the JSON value at byte %d, want its end", d.InputOffset())
	}
	return nil
}

// Encode writes a document in the one form whose digest is its name.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("config: a document that was decoded does not encode: %v", err))
	}
	return b
}

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9_.-]{0,61}[a-z0-9])?$`)

const nameRule = "1 to 63 of a-z 0-9 _ . -, with a letter or digit at both ends"

func checkName(p *Problems, path, name string) {
	if !nameForm.MatchString(name) {
		p.add(path, fmt.Sprintf("%q", name), nameRule)
	}
}
