package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"baobabstep"
)

// Change is what one operator wants changed at once.
type Change struct {
	// ID tells the change apart from all others; it makes it possible to
	// find out whether a change whose answer was lost took effect.
	ID       string `json:"id"`
	Operator string `json:"operator"`
	Reason   string `json:"reason"`
	// Action names the operator's command, as "account accept".
	Action string `json:"action"`
	Edits  []Edit `json:"edits"`
	// Confirm names the dangers that are meant.
	Confirm []string `json:"confirm"`
	// Merge allows edits to be combined with later changes to other fields.
	Merge bool `json:"merge"`
	// DryRun stops before anything is written.
	DryRun bool `json:"dry_run"`
	// Lift, instead of edits, ends the quarantine of addresses whose Until is
	// not greater. VMs make such a change by themselves; see
	// [Replica.Liftable].
	Lift uint64 `json:"lift"`
}

// Edit replaces, adds or removes one document.
type Edit struct {
	Kind ObjectKind `json:"kind"`
	Name string     `json:"name"`
	// Base is the document that the edit started from, empty for a new one.
	Base json.RawMessage `json:"base,omitempty"`
	// Document is what it shall become, empty to remove it.
	Document json.RawMessage `json:"document,omitempty"`
	// Overwrite leaves out the comparison with Base. Only an import, which
	// replaces everything, sets it.
	Overwrite bool `json:"overwrite,omitempty"`
}

// Limits of a change.
const (
	maxText  = 512
	maxEdits = 8192
	// maxDifferences and maxDifferenceLine bound an audit entry to some
	// 10 kB, so that a segment of the trail stays below a megabyte.
	maxDifferences    = 32
	maxDifferenceLine = 300
)

// Draft is an edit of an account that has not been accepted. It is kept under
// the account and the operator.
type Draft struct {
	Format      int             `json:"format"`
	Account     string          `json:"account"`
	Operator    string          `json:"operator"`
	BaseVersion uint64          `json:"base_version"`
	Base        json.RawMessage `json:"base,omitempty"`
	Document    json.RawMessage `json:"document,omitempty"`
	At          time.Time       `json:"at"`
}

// check refuses a change that cannot be recorded properly.
func (c *Change) check() error {
	var p Problems
	for _, f := range []struct{ name, value string }{{"id", c.ID}, {"operator", c.Operator}, {"reason", c.Reason}, {"action", c.Action}} {
		if strings.TrimSpace(f.value) == "" || len(f.value) > maxText {
			p.add("change."+f.name, fmt.Sprintf("%q", f.value), "1 to %d bytes of text", maxText)
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
	return p.err("config.change")
}

// canonical decodes a document strictly and encodes it again, so that equal
// contents have equal digests.
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
		return nil, Problems{{Path: fmt.Sprintf("%v.name", kind), Value: *found, Allowed: name}}.err("config.change")
	}
	b := Encode(v)
	if len(b) > MaxDocument {
		return nil, baobabstep.Errorf(baobabstep.CodeTooLarge, "config.change", "got %d bytes in %v %s, want at most %d", len(b), kind, name, MaxDocument)
	}
	return b, nil
}

// CanonicalAccount returns the account's JSON in its one form.
func CanonicalAccount(name string, document []byte) ([]byte, error) {
	return canonical(ObjectAccount, name, document)
}

// CanonicalTemplate returns the template's JSON in its one form.
func CanonicalTemplate(name string, document []byte) ([]byte, error) {
	return canonical(ObjectTemplate, name, document)
}
