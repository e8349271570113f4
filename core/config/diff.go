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

	path  []string
	after any
	gone  bool
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

// named is a JSON list of objects that have names. Its items are compared by
// name, so that an item added in front does not make all others differ.
type named struct {
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
	if err := decodeAny(document, &v); err != nil {
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
	n := &named{items: make(map[string]any, len(list))}
	for _, item := range list {
		m, ok := item.(map[string]any)
		name, isString := m["name"].(string)
		if _, twice := n.items[name]; !ok || !isString || twice {
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
	case *named:
		out := make([]any, 0, len(n.order))
		for _, name := range n.order {
			out = append(out, fromNode(n.items[name]))
		}
		return out
	}
	return n
}

// children returns the parts of a node that has parts.
func children(n any) (map[string]any, bool) {
	switch n := n.(type) {
	case map[string]any:
		return n, true
	case *named:
		return n.items, true
	case []any:
		// An empty list matches a named one.
		if len(n) == 0 {
			return map[string]any{}, true
		}
	}
	return nil, false
}

// Diff compares two documents field by field; an empty one has no fields.
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
	as, aParts := children(a)
	bs, bParts := children(b)
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
			out = append(out, FieldChange{Path: strings.Join(at, "."), After: show(bv), path: at, after: bv})
		case !inB:
			out = append(out, FieldChange{Path: strings.Join(at, "."), Before: show(av), path: at, gone: true})
		default:
			out = diffNodes(out, at, av, bv)
		}
	}
	return out
}

func fieldChange(path []string, a, b any) FieldChange {
	return FieldChange{Path: strings.Join(path, "."), Before: show(a), After: show(b), path: path, after: b}
}

func show(n any) string {
	b, err := json.Marshal(fromNode(n))
	if err != nil {
		return fmt.Sprint(n)
	}
	return shorten(string(b))
}

// Collision is a field that two operators changed differently.
type Collision struct {
	Path   string `json:"path"`
	Mine   string `json:"mine"`
	Theirs string `json:"theirs"`
}

// Merge applies to theirs what mine changed of base. Fields that both changed,
// and not to the same value, are collisions; then there is no merged document.
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
			if overlap(m.path, t.path) && !sameChange(m, t) {
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
		root = apply(root, m.path, m.after, m.gone)
	}
	merged, err = json.Marshal(fromNode(root))
	if err != nil {
		return nil, nil, baobabstep.Errorf(baobabstep.CodeInternal, "config.merge", "%w", err)
	}
	return merged, nil, nil
}

func overlap(a, b []string) bool {
	n := min(len(a), len(b))
	return slices.Equal(a[:n], b[:n])
}

func sameChange(a, b FieldChange) bool {
	return len(a.path) == len(b.path) && a.gone == b.gone && reflect.DeepEqual(a.after, b.after)
}

// apply sets or removes the node at path and returns the root.
func apply(n any, path []string, to any, gone bool) any {
	if len(path) == 0 {
		return to
	}
	if empty, ok := n.([]any); ok && len(empty) == 0 {
		n = &named{items: map[string]any{}}
	}
	parts, ok := children(n)
	if !ok {
		return n
	}
	key := path[0]
	_, was := parts[key]
	if len(path) == 1 && gone {
		delete(parts, key)
		if list, ok := n.(*named); ok {
			list.order = slices.DeleteFunc(list.order, func(s string) bool { return s == key })
		}
		return n
	}
	parts[key] = apply(parts[key], path[1:], to, gone)
	if list, ok := n.(*named); ok && !was {
		list.order = append(list.order, key)
	}
	return n
}
