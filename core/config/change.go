package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"baobabstep"
)

// Change is a set of edits that one operator applies atomically.
type Change struct {
	// ID is unique to the change. It is used to find out whether a change
	// whose answer was lost took effect.
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
	// Action is the operator's command, such as "account accept".
	Action string `json:"action"`
	Edits  []Edit `json:"edits"`
	// Confirm names the dangers that the operator confirms.
	Confirm []string `json:"confirm"`
	// Merge combines edits with concurrent changes to other fields.
	Merge bool `json:"merge"`
	// DryRun computes the result without writing anything.
	DryRun bool `json:"dry_run"`
	// Lift, instead of edits, ends the quarantine of addresses whose Until is
	// not greater. VMs submit such changes automatically; see
	// [Replica.LiftableVersion].
	Lift uint64 `json:"lift"`
}

// Edit replaces, adds or removes one document.
type Edit struct {
	Kind ObjectKind `json:"kind"`
	Name string     `json:"name"`
	// Base is the document that was edited, empty for a new one.
	Base json.RawMessage `json:"base,omitempty"`
	// Document is the new document, empty to remove it.
	Document json.RawMessage `json:"document,omitempty"`
	// Overwrite skips the comparison with Base. Only an import, which
	// replaces all documents, sets it.
	Overwrite bool `json:"overwrite,omitempty"`
}

// Limits of a change.
const (
	maxTextBytes = 512
	maxEdits     = 8192
	// maxDifferences (lines) and maxDifferenceLine (bytes) limit an audit
	// entry to about 10 kB, so that a segment of the audit trail stays below
	// one megabyte.
	maxDifferences    = 32
	maxDifferenceLine = 300
)

// Draft is an edit of an account that has not been accepted. It is stored per
// account and operator; see [DraftKey].
type Draft struct {
	Format      int             `json:"format"`
	Account     string          `json:"account"`
	Operator    string          `json:"operator"`
	BaseVersion uint64          `json:"base_version"`
	Base        json.RawMessage `json:"base,omitempty"`
	Document    json.RawMessage `json:"document,omitempty"`
	At          time.Time       `json:"at"`
}

// check validates the change before it is applied.
func (c *Change) check() error {
	var p Problems
	for _, f := range []struct{ name, value string }{{"id", c.ID}, {"operator", c.Operator}, {"reason", c.Reason}, {"action", c.Action}} {
		if strings.TrimSpace(f.value) == "" || len(f.value) > maxTextBytes {
			p.add("change."+f.name, fmt.Sprintf("%q", f.value), "1 to %d bytes of text", maxTextBytes)
		}
	}
	if len(c.Edits) == 0 && c.Lift == 0 || len(c.Edits) > maxEdits {
		p.add("change.edits", len(c.Edits), "1 to %d edits", maxEdits)
	}
	seen := make(map[refKey]bool, len(c.Edits))
	for i := range c.Edits {
		e := &c.Edits[i]
		if key := (refKey{e.Kind, e.Name}); seen[key] {
			p.add("change.edits", key, "each document once")
		} else {
			seen[key] = true
		}
		if e.Kind != ObjectTemplate && e.Kind != ObjectAccount {
			p.add("change.edits", e.Kind, "template or account")
		}
		checkName(&p, "change.edits.name", e.Name)
	}
	return p.toError("config.change")
}

// canonical decodes a document strictly and encodes it again, so that equal
// content has an equal digest.
func canonical(kind ObjectKind, name string, document []byte) ([]byte, error) {
	var v any
	var found *string
	if kind == ObjectTemplate {
		t := &Template{}
		v, found = t, &t.Name
	} else {
		a := &Account{}
		v, found = a, &a.Name
	}
	if err := Decode(document, v); err != nil {
		return nil, err
	}
	if *found != name {
		return nil, Problems{{Path: fmt.Sprintf("%v.name", kind), Value: *found, Allowed: name}}.toError("config.change")
	}
	b := Encode(v)
	if len(b) > MaxDocument {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "config.change", "got %d bytes in %v %s, want at most %d", len(b), kind, name, MaxDocument)
	}
	return b, nil
}

// CanonicalAccount returns the canonical JSON of the account.
func CanonicalAccount(name string, document []byte) ([]byte, error) {
	return canonical(ObjectAccount, name, document)
}

// CanonicalTemplate returns the canonical JSON of the template.
func CanonicalTemplate(name string, document []byte) ([]byte, error) {
	return canonical(ObjectTemplate, name, document)
}
