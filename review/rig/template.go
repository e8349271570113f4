package rig

import (
	"encoding/json"
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
)

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in the placeholders and sections that deploy/settings.json.tmpl uses.
func render(template string, fields map[string]any) string {
	text := section.ReplaceAllStringFunc(template, func(all string) string {
		part := section.FindStringSubmatch(all)
		switch value := lookup(fields, part[1]).(type) {
		case nil:
			return ""
		case map[string]any:
			var rows []string
			for _, key := range slices.Sorted(maps.Keys(value)) {
				rows = append(rows, strings.NewReplacer("{{@}}", key, "{{,}}", "").Replace(part[2]))
			}
			return strings.Join(rows, ",")
		}
		return part[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(all string) string {
		part := placeholder.FindStringSubmatch(all)
		value := lookup(fields, part[1])
		if part[2] == "" {
			return fmt.Sprint(value)
		}
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err) // values are maps, lists, strings and numbers
		}
		return string(raw)
	})
}

// lookup returns the value at a dotted path, or nil.
func lookup(fields map[string]any, path string) any {
	var at any = fields
	for name := range strings.SplitSeq(path, ".") {
		switch value := at.(type) {
		case map[string]any:
			at = value[name]
		case []any:
			var index int
			if _, err := fmt.Sscan(name, &index); err != nil || index >= len(value) {
				return nil
			}
			at = value[index]
		default:
			return nil
		}
	}
	return at
}
