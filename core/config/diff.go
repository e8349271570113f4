package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"

	"baobabstep"
)

// FieldChange is one field that differs between two documents. Before or After
// is empty where the field does not exist.
type FieldChange struct {
	Path   string `json:"path"`
	Before string `json:"before"`
	After  string `json:"after"`

	path    []string
	after   any
	removed bool
}

// String returns the change in one line.
func (c FieldChange) String() string {
	switch {
	case c.Before == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.After)
	case c.After == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Before, c.After)
}

// namedList is a JSON list of objects with a "name". Its items are compared by
// name, so that inserting an item does not make all later ones differ.
type namedList struct {
	order []string
	items map[string]any
}

// toNode decodes a document into maps, named lists and plain values. An empty
// document becomes an empty map.
func toNode(document []byte) (any, error) {
	if len(document) == 0 {
		return map[string]any{}, nil
	}
	var v any
	if err := decodeStrict(document, &v); err != nil {
		return nil, err
	}
	return nodeOf(v), nil
}

func nodeOf(v any) any {
	switch v := v.(type) {
	case map[string]any:
		for k := range v {
			v[k] = nodeOf(v[k])
		}
		return v
	case []any:
		return listNode(v)
	}
	return v
}

func listNode(list []any) any {
	n := &namedList{items: make(map[string]any, len(list))}
	for _, item := range list {
		m, ok := item.(map[string]any)
		name, isString := m["name"].(string)
		if _, duplicate := n.items[name]; !ok || !isString || duplicate {
			return list
		}
		n.order = append(n.order, name)
		n.items[name] = nodeOf(m)
	}
	if len(list) == 0 {
		return list
	}
	return n
}

// fromNode reverses nodeOf.
func fromNode(n any) any {
	switch n := n.(type) {
	case map[string]any:
		out := make(map[string]any, len(n))
		for k := range n {
			out[k] = fromNode(n[k])
		}
		return out
	case *namedList:
		out := make([]any, 0, len(n.order))
		for _, name := range n.order {
			out = append(out, fromNode(n.items[name]))
		}
		return out
	}
	return n
}

// childNodes returns the children of a node by name, or false for a leaf.
func childNodes(n any) (map[string]any, bool) {
	switch n := n.(type) {
	case map[string]any:
		return n, true
	case *namedList:
		return n.items, true
	case []any:
		// An empty list may be compared with a namedList.
		if len(n) == 0 {
			return map[string]any{}, true
		}
	}
	return nil, false
}

// Diff returns the fields that differ. An empty document has no fields.
func Diff(before, after []byte) ([]FieldChange, error) {
	a, err := toNode(before)
	if err != nil {
		return nil, err
	}
	b, err := toNode(after)
	if err != nil {
		return nil, err
	}
	return diffNodes(nil, nil, a, b), nil
}

func diffNodes(out []FieldChange, path []string, a, b any) []FieldChange {
	if reflect.DeepEqual(a, b) {
		return out
	}
	as, aParts := childNodes(a)
	bs, bParts := childNodes(b)
	if !aParts || !bParts {
		return append(out, fieldChange(path, a, b))
	}
	keys := make([]string, 0, len(as)+len(bs))
	for k := range as {
		keys = append(keys, k)
	}
	for k := range bs {
		if _, ok := as[k]; !ok {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		at := append(slices.Clone(path), k)
		av, inA := as[k]
		bv, inB := bs[k]
		switch {
		case !inA:
			out = append(out, FieldChange{Path: strings.Join(at, "."), After: formatNode(bv), path: at, after: bv})
		case !inB:
			out = append(out, FieldChange{Path: strings.Join(at, "."), Before: formatNode(av), path: at, removed: true})
		default:
			out = diffNodes(out, at, av, bv)
		}
	}
	return out
}

func fieldChange(path []string, a, b any) FieldChange {
	return FieldChange{Path: strings.Join(path, "."), Before: formatNode(a), After: formatNode(b), path: path, after: b}
}

func formatNode(n any) string {
	b, err := json.Marshal(fromNode(n))
	if err != nil {
		return fmt.Sprint(n)
	}
	return truncate(string(b))
}

// Collision is a field that two operators set to different values.
type Collision struct {
	Path   string `json:"path"`
	Mine   string `json:"mine"`
	Theirs string `json:"theirs"`
}

// Merge applies the changes from base to mine to theirs. Fields that both changed
// to different values are collisions; then there is no merged document.
func Merge(base, mine, theirs []byte) (merged []byte, collisions []Collision, err error) {
	myChanges, err := Diff(base, mine)
	if err != nil {
		return nil, nil, err
	}
	theirChanges, err := Diff(base, theirs)
	if err != nil {
		return nil, nil, err
	}
	for _, m := range myChanges {
		for _, t := range theirChanges {
			if pathsOverlap(m.path, t.path) && !sameChange(m, t) {
				collisions = append(collisions, Collision{Path: m.Path, Mine: m.After, Theirs: t.After})
			}
		}
	}
	if len(collisions) > 0 {
		return nil, collisions, nil
	}
	root, err := toNode(theirs)
	if err != nil {
		return nil, nil, err
	}
	for _, m := range myChanges {
		root = setNode(root, m.path, m.after, m.removed)
	}
	merged, err = json.Marshal(fromNode(root))
	if err != nil {
		return nil, nil, baobabstep.Errorf(baobabstep.CodeInternal, "config.merge", "%w", err)
	}
	return merged, nil, nil
}

func pathsOverlap(a, b []string) bool {
	n := min(len(a), len(b))
	return slices.Equal(a[:n], b[:n])
}

func sameChange(a, b FieldChange) bool {
	return len(a.path) == len(b.path) && a.removed == b.removed && reflect.DeepEqual(a.after, b.after)
}

// setNode sets or removes the node at path and returns the root.
func setNode(n any, path []string, to any, remove bool) any {
	if len(path) == 0 {
		return to
	}
	if empty, ok := n.([]any); ok && len(empty) == 0 {
		n = &namedList{items: map[string]any{}}
	}
	parts, ok := childNodes(n)
	if !ok {
		return n
	}
	key := path[0]
	_, existed := parts[key]
	if len(path) == 1 && remove {
		delete(parts, key)
		if list, ok := n.(*namedList); ok {
			list.order = slices.DeleteFunc(list.order, func(s string) bool { return s == key })
		}
		return n
	}
	parts[key] = setNode(parts[key], path[1:], to, remove)
	if list, ok := n.(*namedList); ok && !existed {
		list.order = append(list.order, key)
	}
	return n
}
