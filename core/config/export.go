package config

import (
	"encoding/json"
	"sort"

	"baobabstep"
)

// Export is the whole configuration as one JSON file.
type Export struct {
	Format int `json:"format"`
	// Version and Digest identify the exported version; an import ignores them.
	Version   uint64            `json:"version"`
	Digest    string            `json:"digest"`
	Templates []json.RawMessage `json:"templates"`
	Accounts  []json.RawMessage `json:"accounts"`
}

// DecodeExport decodes an export strictly.
func DecodeExport(b []byte) (Export, error) {
	var e Export
	err := decodeStrict(b, &e)
	return e, err
}

// Export returns the documents of the version.
func (s *Set) Export() Export {
	e := Export{Format: Format, Version: s.Manifest.Version, Digest: s.Digest.String()}
	for _, r := range s.Refs(ObjectTemplate) {
		e.Templates = append(e.Templates, Encode(s.templates[r.Name]))
	}
	for _, r := range s.Refs(ObjectAccount) {
		e.Accounts = append(e.Accounts, Encode(s.accounts[r.Name]))
	}
	return e
}

// Edits returns the edits that replace the whole configuration by the export.
// Documents of current, which may be nil, that are not in the export are removed.
func (e *Export) Edits(current *Set) ([]Edit, error) {
	if e.Format != Format {
		return nil, baobabstep.Errorf(baobabstep.CodeInvalid, "config.import", "got format %d, want %d", e.Format, Format)
	}
	var out []Edit
	kept := map[refKey]bool{}
	for _, group := range []struct {
		kind      ObjectKind
		documents []json.RawMessage
	}{{ObjectTemplate, e.Templates}, {ObjectAccount, e.Accounts}} {
		for _, d := range group.documents {
			var head struct {
				Name string `json:"name"`
			}
			if err := json.Unmarshal(d, &head); err != nil {
				return nil, baobabstep.Errorf(baobabstep.CodeInvalid, "config.import", "%w", err)
			}
			key := refKey{group.kind, head.Name}
			if kept[key] {
				return nil, baobabstep.Errorf(baobabstep.CodeInvalid, "config.import", "got %v twice, want each document once", key)
			}
			kept[key] = true
			out = append(out, Edit{Kind: group.kind, Name: head.Name, Document: d, Overwrite: true})
		}
	}
	if current == nil {
		return out, nil
	}
	for k := range current.refs {
		if !kept[k] {
			out = append(out, Edit{Kind: k.kind, Name: k.name, Overwrite: true})
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Kind != out[j].Kind {
			return out[i].Kind < out[j].Kind
		}
		return out[i].Name < out[j].Name
	})
	return out, nil
}
