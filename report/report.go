// Package report sums up the logs of a fleet for a reader who was not there.
//
// A report has three curves over time: the load of each target as the VMs saw
// it when they placed flows, the decisions a second of each kind, and the age
// of what the VMs believed. Lines that a VM left out count by the lines that
// say so. Time is cut into spans of equal length, at most MaxSpans, so that a
// day's logs make plots as small as a minute's. A report also counts refused and
// reset flows by cause, rule, data centre and caller.
package report

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"baobabstep"
	"baobabstep/io/logs"
)

const (
	// MaxSpans bounds the points of a curve: more than a plot has room for.
	MaxSpans = 240
	// MaxTargets bounds the curves of load; the busiest targets have one.
	MaxTargets = 12
	// minSpan is the shortest span: VMs say once a second what they left out.
	minSpan = time.Second
	// droppedMessage is the line with counts of lines that were left out.
	droppedMessage = "log lines dropped"
)

// Point is one value at a time since the first line.
type Point struct {
	At    time.Duration
	Value float64
}

// Curve is one quantity over time; spans without a value have no point.
type Curve struct {
	Name   string
	Points []Point
}

// Total counts the lines of one message.
type Total struct {
	Message          string
	Written, Dropped int
}

// Report sums up logs.
type Report struct {
	From  time.Time
	Span  time.Duration
	Lines int
	// Targets is how many targets flows were placed on; Load has the busiest.
	Targets int
	// Load is in recent requests, Decisions in decisions a second, Ages in
	// seconds: the greatest of a span.
	Load, Decisions, Ages []Curve
	// Totals are sorted by message.
	Totals []Total
	// Refusals counts refused and reset flows.
	Refusals *Refusals
}

// Make sums up lines, which may come in any order. Errors: CodeNotFound without
// any line that has a time.
func Make(lines []logs.Line) (*Report, error) {
	from, to, ok := bounds(lines)
	if !ok {
		return nil, baobabstep.Errorf(baobabstep.CodeNotFound, "report.make", "got %d lines, want at least one with a time", len(lines))
	}
	span := max(minSpan, to.Sub(from)/MaxSpans+1)
	m := maker{from: from, span: span, load: newGrid(), decisions: newGrid(), ages: newGrid(), totals: make(map[string]*Total)}
	for i := range lines {
		m.add(&lines[i])
	}
	r := m.report(len(lines))
	r.Refusals = countRefusals(lines)
	return r, nil
}

func bounds(lines []logs.Line) (from, to time.Time, ok bool) {
	for i := range lines {
		at := lines[i].Timestamp
		if at.IsZero() {
			continue
		}
		if !ok || at.Before(from) {
			from = at
		}
		if !ok || at.After(to) {
			to = at
		}
		ok = true
	}
	return from, to, ok
}

// maker gathers what a report is made of.
type maker struct {
	from                  time.Time
	span                  time.Duration
	load, decisions, ages grid
	totals                map[string]*Total
}

func (m *maker) add(l *logs.Line) {
	if l.Timestamp.IsZero() {
		return
	}
	at := int(l.Timestamp.Sub(m.from) / m.span)
	if l.Message == droppedMessage {
		m.addDropped(at, l)
		return
	}
	m.total(l.Message).Written++
	if l.Field("flow") != "" {
		m.decisions.cell(l.Message, at).add(1)
	}
	if requests, ok := number(l, "requests"); ok && l.Field("target") != "" {
		m.load.cell(l.Field("target"), at).add(requests)
	}
	for _, name := range []string{"routes_age_ms", "targets_age_ms"} {
		if age, ok := number(l, name); ok {
			m.ages.cell(name, at).add(age / 1000)
		}
	}
}

// addDropped counts what a VM left out. Its classes are messages of decisions.
func (m *maker) addDropped(at int, l *logs.Line) {
	for message := range l.Fields {
		count, ok := number(l, message)
		if !ok {
			continue
		}
		m.total(message).Dropped += int(count)
		m.decisions.cell(message, at).add(count)
	}
}

func (m *maker) total(message string) *Total {
	t := m.totals[message]
	if t == nil {
		t = &Total{Message: message}
		m.totals[message] = t
	}
	return t
}

func (m *maker) report(lines int) *Report {
	r := &Report{From: m.from, Span: m.span, Lines: lines, Targets: len(m.load)}
	r.Load = m.load.curves(m.span, m.load.busiest(MaxTargets), cell.mean)
	r.Decisions = m.decisions.curves(m.span, slices.Sorted(maps.Keys(m.decisions)), func(c cell) float64 {
		return c.sum / m.span.Seconds()
	})
	r.Ages = m.ages.curves(m.span, slices.Sorted(maps.Keys(m.ages)), func(c cell) float64 { return c.greatest })
	for _, message := range slices.Sorted(maps.Keys(m.totals)) {
		r.Totals = append(r.Totals, *m.totals[message])
	}
	return r
}

// number returns a field that is a number.
func number(l *logs.Line, name string) (float64, bool) {
	v, ok := l.Fields[name].(float64)
	return v, ok
}

// cell is what was said of one thing in one span.
type cell struct {
	count         int
	sum, greatest float64
}

func (c *cell) add(v float64) {
	c.count++
	c.sum += v
	c.greatest = max(c.greatest, v)
}

func (c cell) mean() float64 { return c.sum / float64(c.count) }

// grid has the cells of each name, by the number of the span.
type grid map[string]map[int]*cell

func newGrid() grid { return make(grid) }

func (g grid) cell(name string, at int) *cell {
	row := g[name]
	if row == nil {
		row = make(map[int]*cell)
		g[name] = row
	}
	if row[at] == nil {
		row[at] = new(cell)
	}
	return row[at]
}

// busiest returns the n names with the most values.
func (g grid) busiest(n int) []string {
	count := func(name string) (total int) {
		for _, c := range g[name] {
			total += c.count
		}
		return total
	}
	names := slices.SortedFunc(maps.Keys(g), func(a, b string) int {
		return cmp.Or(cmp.Compare(count(b), count(a)), cmp.Compare(a, b))
	})
	return names[:min(n, len(names))]
}

func (g grid) curves(span time.Duration, names []string, value func(cell) float64) []Curve {
	list := make([]Curve, 0, len(names))
	for _, name := range names {
		c := Curve{Name: name}
		for _, at := range slices.Sorted(maps.Keys(g[name])) {
			c.Points = append(c.Points, Point{At: time.Duration(at) * span, Value: value(*g[name][at])})
		}
		list = append(list, c)
	}
	return list
}

// Print writes the totals and the refusals as tables.
func (r *Report) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%d lines from %s, flows placed on %d targets\n%-28s %10s %10s\n",
		r.Lines, r.From.UTC().Format(time.RFC3339), r.Targets, "message", "written", "dropped"); err != nil {
		return err
	}
	for _, t := range r.Totals {
		if _, err := fmt.Fprintf(w, "%-28s %10d %10d\n", t.Message, t.Written, t.Dropped); err != nil {
			return err
		}
	}
	return r.Refusals.Print(w)
}
