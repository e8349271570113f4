package report

import (
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/io/logs"
)

var epoch = time.Date(2026, 1, 1, 10, 0, 0, 0, time.UTC)

func line(at time.Duration, message string, fields map[string]any) logs.Line {
	return logs.Line{Timestamp: epoch.Add(at), Message: message, Fields: fields}
}

func placed(at time.Duration, target string, requests float64) logs.Line {
	return line(at, "flow_placed", map[string]any{
		"flow": "1.1.1.1:1/2.2.2.2:80", "target": target, "requests": requests, "routes_age_ms": 250.0,
	})
}

// An operator has the logs of two VMs, unsorted, one of which left lines out.
func TestMake(t *testing.T) {
	r, err := Make([]logs.Line{
		placed(2500*time.Millisecond, "0a", 8),
		placed(0, "0a", 2),
		placed(100*time.Millisecond, "0a", 4),
		placed(200*time.Millisecond, "0b", 1),
		line(900*time.Millisecond, "log lines dropped", map[string]any{"flow_placed": 7.0, "vm": "vm-1"}),
		line(300*time.Millisecond, "rank changed", map[string]any{"vm": "vm-1"}),
		line(400*time.Millisecond, "flow_unrouted", map[string]any{"flow": "1.1.1.1:1/2.2.2.2:80", "routes_age_ms": 1500.0}),
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.From, qt.Equals, epoch)
	qt.Check(t, r.Span, qt.Equals, time.Second)
	qt.Check(t, r.Load, qt.DeepEquals, []Curve{
		{Name: "0a", Points: []Point{{0, 3}, {2 * time.Second, 8}}},
		{Name: "0b", Points: []Point{{0, 1}}},
	})
	qt.Check(t, r.Decisions, qt.DeepEquals, []Curve{
		{Name: "flow_placed", Points: []Point{{0, 10}, {2 * time.Second, 1}}},
		{Name: "flow_unrouted", Points: []Point{{0, 1}}},
	})
	qt.Check(t, r.Ages, qt.DeepEquals, []Curve{
		{Name: "routes_age_ms", Points: []Point{{0, 1.5}, {2 * time.Second, 0.25}}},
	})
	var out strings.Builder
	qt.Assert(t, r.Print(&out), qt.IsNil)
	qt.Check(t, out.String(), qt.Equals, `7 lines from 2026-01-01T10:00:00Z, flows placed on 2 targets
message                         written    dropped
flow_placed                           4          7
flow_unrouted                         1          0
rank changed                          1          0

flows refused or reset; 7 lines on flows were dropped, 0 of them are added to the lines of the same message, VM and second, so counts are estimates
cause                             flows    dropped
flow_unrouted                         1          0

rule                             placed    refused      reset      share
-                                     1          1          0      0.500

data centre                      placed    refused      reset      share
-                                     1          1          0      0.500

callers: 1, none with 10 flows or more
`)
}

// A day's log must not make a plot of 86,400 points, nor a curve for each of
// hundreds of targets.
func TestALongLogMakesASmallReport(t *testing.T) {
	var lines []logs.Line
	for i := range 24 * 60 {
		lines = append(lines, placed(time.Duration(i)*time.Minute, fmt.Sprintf("%02x", i%40), 1))
	}
	r, err := Make(lines)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, r.Targets, qt.Equals, 40)
	qt.Check(t, r.Load, qt.HasLen, MaxTargets)
	qt.Check(t, len(r.Decisions[0].Points) <= MaxSpans, qt.IsTrue, qt.Commentf("got %d", len(r.Decisions[0].Points)))
	total := 0.0
	for _, p := range r.Decisions[0].Points {
		total += p.Value * r.Span.Seconds()
	}
	qt.Check(t, int(total+0.5), qt.Equals, len(lines))
}

func TestMakeWithoutLines(t *testing.T) {
	_, err := Make(nil)
	qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeNotFound)
}

func TestPlotWritesDrawingsWithTheNamesOfTheCurves(t *testing.T) {
	r, err := Make([]logs.Line{placed(0, "0a", 2), placed(3*time.Second, "0a", 4)})
	qt.Assert(t, err, qt.IsNil)
	folder := t.TempDir()
	qt.Assert(t, r.Plot(folder), qt.IsNil)
	for file, want := range map[string]string{LoadFile: "0a", DecisionsFile: "flow_placed", AgesFile: "routes_age_ms"} {
		raw, err := os.ReadFile(filepath.Join(folder, file))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(raw), qt.Contains, ">"+want+"<")
		decoder := xml.NewDecoder(strings.NewReader(string(raw)))
		for err == nil {
			_, err = decoder.Token()
		}
		qt.Check(t, errors.Is(err, io.EOF), qt.IsTrue, qt.Commentf("%s: %v", file, err))
	}
	qt.Check(t, baobabstep.CodeOf(r.Plot(filepath.Join(folder, "missing"))), qt.Equals, baobabstep.CodeInvalid)
}
