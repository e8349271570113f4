package config

import (
	"encoding/json"
	"slices"
	"strings"

	"baobabstep"
)

// SetField returns the document with the field at path set to a JSON value, or
// removed if raw is empty. Items of lists are found by their names, as in
// "services.fixtures.values.queue_limit".
func SetField(document []byte, path string, raw json.RawMessage) ([]byte, error) {
	const op = "config.set_field"
	root, err := toNode(document)
	if err != nil {
		return nil, err
	}
	var to any
	if len(raw) > 0 {
		if to, err = toNode(raw); err != nil {
			return nil, err
		}
	}
	steps := strings.Split(path, ".")
	at := root
	for i, step := range steps {
		parts, ok := children(at)
		if !ok {
			return nil, baobabstep.Errorf(baobabstep.CodeNotFound, op, "got path %s, want one whose part %s exists", path, strings.Join(steps[:i], "."))
		}
		next, ok := parts[step]
		if !ok && i < len(steps)-1 {
			return nil, baobabstep.Errorf(baobabstep.CodeNotFound, op, "got path %s, want one whose part %s exists", path, strings.Join(steps[:i+1], "."))
		}
		at = next
	}
	root = apply(root, steps, to, len(raw) == 0)
	out, err := json.Marshal(fromNode(root))
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeInternal, op, "%w", err)
	}
	return out, nil
}

// DrainEdit returns the edit that sets or clears the drained mark of a target.
func (s *Set) DrainEdit(target string, drained bool) (Edit, error) {
	t := s.Config.Target(baobabstep.MakeTargetID(target))
	if t == nil {
		return Edit{}, baobabstep.Errorf(baobabstep.CodeNotFound, "config.drain", "got target %q, want one that is configured", target)
	}
	account := s.Account(s.Config.Service(t.Service).Account)
	changed, _, err := s.withTargets(account, func(v *TargetValue) bool {
		marks := v.Name == target
		if marks {
			v.Drained = drained
		}
		return marks
	})
	if err != nil {
		return Edit{}, err
	}
	return accountEdit(account, changed), nil
}

// EvacuationEdits returns the edits that mark all targets of a data centre as
// evacuated, or take the marks back; one for each account that has any. Targets that
// are added later are not marked.
func (s *Set) EvacuationEdits(dataCentre string, evacuated bool) ([]Edit, error) {
	var edits []Edit
	for _, ref := range s.Refs(ObjectAccount) {
		account := s.Account(ref.Name)
		changed, marked, err := s.withTargets(account, func(v *TargetValue) bool {
			marks := v.DataCentre == dataCentre && v.Evacuated != evacuated
			if marks {
				v.Evacuated = evacuated
			}
			return marks
		})
		if err != nil {
			return nil, err
		}
		if marked {
			edits = append(edits, accountEdit(account, changed))
		}
	}
	if len(edits) == 0 {
		return nil, baobabstep.Errorf(baobabstep.CodeNotFound, "config.evacuate", "got data centre %q, want one with targets whose mark this changes", dataCentre)
	}
	return edits, nil
}

func accountEdit(before, after *Account) Edit {
	return Edit{Kind: ObjectAccount, Name: before.Name, Base: Encode(before), Document: Encode(after)}
}

// withTargets returns a copy of the account in which mark has changed targets, and
// whether it changed any.
func (s *Set) withTargets(a *Account, mark func(*TargetValue) bool) (_ *Account, marked bool, err error) {
	out := *a
	out.Services = slices.Clone(a.Services)
	for i := range out.Services {
		one := &out.Services[i]
		values := map[string]json.RawMessage{}
		for name, raw := range one.Values {
			values[name] = raw
			q := s.Template(one.Template).parameter(name)
			if q == nil || q.Type != TypeTargetList {
				continue
			}
			var list []TargetValue
			if err := decodeAny(raw, &list); err != nil {
				return nil, false, err
			}
			for j := range list {
				if mark(&list[j]) {
					marked, values[name] = true, Encode(list)
				}
			}
		}
		one.Values = values
	}
	return &out, marked, nil
}
