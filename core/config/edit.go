package config

import (
	"encoding/json"
	"slices"
	"strings"

	"baobabstep"
)

// SetField returns the document with the field at path set to a JSON value, or
// removed if raw is empty. List items are addressed by name, as in
// "services.fixtures.values.queue_limit". It returns CodeNotFound if the parent of
// the field does not exist.
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
		parts, ok := childNodes(at)
		if !ok {
			return nil, baobabstep.Errorf(baobabstep.CodeNotFound, op, "got path %s, want one whose part %s exists", path, strings.Join(steps[:i], "."))
		}
		next, ok := parts[step]
		if !ok && i < len(steps)-1 {
			return nil, baobabstep.Errorf(baobabstep.CodeNotFound, op, "got path %s, want one whose part %s exists", path, strings.Join(steps[:i+1], "."))
		}
		at = next
	}
	root = setNode(root, steps, to, len(raw) == 0)
	out, err := json.Marshal(fromNode(root))
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeInternal, op, "%w", err)
	}
	return out, nil
}

// DrainEdit returns the edit that sets or clears Drained of a target.
func (s *Set) DrainEdit(target string, drained bool) (Edit, error) {
	t := s.Config.Target(baobabstep.MakeTargetID(target))
	if t == nil {
		return Edit{}, baobabstep.Errorf(baobabstep.CodeNotFound, "config.drain", "got target %q, want one that is configured", target)
	}
	account := s.Account(s.Config.Service(t.Service).Account)
	after, _, err := s.updateTargets(account, func(v *TargetValue) bool {
		matches := v.Name == target
		if matches {
			v.Drained = drained
		}
		return matches
	})
	if err != nil {
		return Edit{}, err
	}
	return accountEdit(account, after), nil
}

// EvacuationEdits returns the edits that set or clear Evacuated of all targets of a
// data centre, one for each account that has any. Targets that are added later are
// not evacuated. It returns CodeNotFound if no target changes.
func (s *Set) EvacuationEdits(dataCentre string, evacuated bool) ([]Edit, error) {
	var edits []Edit
	for _, ref := range s.Refs(ObjectAccount) {
		account := s.Account(ref.Name)
		after, changed, err := s.updateTargets(account, func(v *TargetValue) bool {
			matches := v.DataCentre == dataCentre && v.Evacuated != evacuated
			if matches {
				v.Evacuated = evacuated
			}
			return matches
		})
		if err != nil {
			return nil, err
		}
		if changed {
			edits = append(edits, accountEdit(account, after))
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

// updateTargets returns a copy of the account with update applied to each target.
// update and changed report whether targets changed.
func (s *Set) updateTargets(a *Account, update func(*TargetValue) bool) (_ *Account, changed bool, err error) {
	out := *a
	out.Services = slices.Clone(a.Services)
	for i := range out.Services {
		service := &out.Services[i]
		values := map[string]json.RawMessage{}
		for name, raw := range service.Values {
			values[name] = raw
			q := s.Template(service.Template).parameter(name)
			if q == nil || q.Type != TypeTargetList {
				continue
			}
			var list []TargetValue
			if err := decodeStrict(raw, &list); err != nil {
				return nil, false, err
			}
			for j := range list {
				if update(&list[j]) {
					changed, values[name] = true, Encode(list)
				}
			}
		}
		service.Values = values
	}
	return &out, changed, nil
}
