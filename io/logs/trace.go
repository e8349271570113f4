package logs

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one line of a VM's log.
type Line struct {
	Timestamp time.Time      `json:"timestamp"`
	Level     string         `json:"level"`
	Message   string         `json:"message"`
	Fields    map[string]any `json:"fields"`
}

// Field returns a field as text, empty if the line has none of the name.
func (l *Line) Field(name string) string {
	if v, ok := l.Fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// maxLine bounds the bytes of a line that is read.
const maxLine = 1 << 20

// Read returns the lines of a log. What is no line of a log is counted and left
// out: a process that crashed wrote its last words beside them.
func Read(r io.Reader) (lines []Line, foreign int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		var l Line
		if json.Unmarshal(scanner.Bytes(), &l) != nil || l.Message == "" {
			foreign++
			continue
		}
		lines = append(lines, l)
	}
	return lines, foreign, scanner.Err()
}

// The time around a flow's own lines in which others may explain them: what was
// found of its target up to a caller's time limit later, and what its VMs
// believed since the last time that they said so.
const (
	beforeFlow = 5 * time.Second
	afterFlow  = 5 * time.Second
)

// Trace returns the lines that tell of a flow, in order: its own on all VMs, and
// around them those about its targets and about what its VMs believed. It is
// empty if no VM wrote of the flow.
func Trace(lines []Line, flow string) []Line {
	var own []Line
	targets, vms := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Field("flow") != flow {
			continue
		}
		own = append(own, l)
		vms[l.Field("vm")] = true
		if target := l.Field("target"); target != "" {
			targets[target] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Timestamp.Compare(b.Timestamp) }
	slices.SortStableFunc(own, byTime)
	from, to := own[0].Timestamp.Add(-beforeFlow), own[len(own)-1].Timestamp.Add(afterFlow)
	for _, l := range lines {
		if l.Field("flow") != "" || l.Timestamp.Before(from) || l.Timestamp.After(to) {
			continue
		}
		about := l.Field("target")
		if targets[about] || about == "" && vms[l.Field("vm")] {
			own = append(own, l)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own
}

// Print writes lines for a reader: seconds since the first, the VM, what
// happened, and its inputs by name.
func Print(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var fields []string
		for _, name := range slices.Sorted(maps.Keys(l.Fields)) {
			if name != "vm" && name != "data_centre" && name != "flow" {
				fields = append(fields, name+"="+l.Field(name))
			}
		}
		since := l.Timestamp.Sub(lines[0].Timestamp).Seconds()
		if _, err := fmt.Fprintf(w, "%9.3f  %-20s %-24s %s\n", since, l.Field("vm"), l.Message, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	return nil
}
