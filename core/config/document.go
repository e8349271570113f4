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

// Format is the version of the JSON encoding of documents, manifest and head.
const Format = 1

// MaxDocument limits the bytes of one document. The platform accepts no value
// above one megabyte.
const MaxDocument = 1 << 20

// Template describes services that several accounts have in common.
type Template struct {
	Format int    `json:"format"`
	Name   string `json:"name"`
	// SchemaVersion is incremented with each change of Parameters.
	SchemaVersion int             `json:"schema_version"`
	Doc           string          `json:"doc"`
	Parameters    []Parameter     `json:"parameters"`
	Service       ServiceTemplate `json:"service"`
}

// Parameter is one value that an account fills in.
type Parameter struct {
	Name string `json:"name"`
	Type Type   `json:"type"`
	Doc  string `json:"doc"`
	// Default is used if an account sets no value. A parameter without a
	// default is required.
	Default json.RawMessage `json:"default,omitempty"`
	// Min and Max are the inclusive bounds of a number, integer or duration,
	// or of the length of a list or string.
	Min json.RawMessage `json:"min,omitempty"`
	Max json.RawMessage `json:"max,omitempty"`
	// Allowed lists the permitted values of a string, or of a string list's items.
	Allowed []string `json:"allowed,omitempty"`
}

// ServiceTemplate maps each setting of a service to a literal, or to the value of a
// parameter, written as "$name".
type ServiceTemplate struct {
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
	// Slots and Connections override the template's if they are not zero.
	Slots       int  `json:"slots,omitempty"`
	Connections int  `json:"connections,omitempty"`
	Drained     bool `json:"drained,omitempty"`
	// Evacuated is set while the target's data centre is evacuated. It is
	// independent of Drained.
	Evacuated bool `json:"evacuated,omitempty"`
}

// ClassRuleValue is one item of a class rule list.
type ClassRuleValue struct {
	Callers string `json:"callers"`
	// Class is "urgent" or "ordinary".
	Class string `json:"class"`
}

// Problem is one reason why a document is invalid.
type Problem struct {
	// Path locates the value, such as "accounts.tas-south.services.fixtures.slots".
	Path string `json:"path"`
	// Value is the rejected value.
	Value string `json:"value"`
	// Allowed describes the permitted values.
	Allowed string `json:"allowed"`
}

// Problems is the error of a failed validation; it holds at least one problem.
type Problems []Problem

// maxProblemsShown limits the problems in an error's text.
const maxProblemsShown = 8

// Error lists the first maxProblemsShown problems.
func (p Problems) Error() string {
	var lines []string
	for i, problem := range p {
		if i == maxProblemsShown {
			lines = append(lines, fmt.Sprintf("and %d more", len(p)-maxProblemsShown))
			break
		}
		lines = append(lines, fmt.Sprintf("%s: got %s, want %s", problem.Path, problem.Value, problem.Allowed))
	}
	return strings.Join(lines, "; ")
}

// add appends one problem.
func (p *Problems) add(path string, value any, allowed string, args ...any) {
	*p = append(*p, Problem{Path: path, Value: truncate(fmt.Sprint(value)), Allowed: fmt.Sprintf(allowed, args...)})
}

// toError returns the problems as an error with CodeInvalid, or nil if there are none.
func (p Problems) toError(op string) error {
	if len(p) == 0 {
		return nil
	}
	return &baobabstep.Error{Code: baobabstep.CodeInvalid, Op: op, Err: p}
}

// maxValueShown is the maximum length of a value in an error's text, in bytes.
const maxValueShown = 120

func truncate(s string) string {
	if len(s) > maxValueShown {
		return s[:maxValueShown] + "..."
	}
	return s
}

// Decode reads one JSON value strictly. Unknown fields and text after the value
// return CodeInvalid, more than MaxDocument bytes return CodeTooLarge.
func Decode(data []byte, to any) error {
	if len(data) > MaxDocument {
		return baobabstep.Errorf(baobabstep.CodeTooLarge, "config.decode", "got %d bytes, want at most %d", len(data), MaxDocument)
	}
	return decodeStrict(data, to)
}

func decodeStrict(data []byte, to any) error {
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

// Encode returns the canonical JSON of a document, of which its digest is made.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("config: encode a document: %v", err))
	}
	return b
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9_.-]{0,61}[a-z0-9])?$`)

const nameRule = "1 to 63 of a-z 0-9 _ . -, with a letter or digit at both ends"

func checkName(p *Problems, path, name string) {
	if !namePattern.MatchString(name) {
		p.add(path, fmt.Sprintf("%q", name), nameRule)
	}
}
