package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// example returns the experiment that is shipped, with a few short days.
func example(t testing.TB, seeds int) *File {
	t.Helper()
	f, err := Read("../examples/experiment/mechanisms.json")
	qt.Assert(t, err, qt.IsNil)
	f.Seeds, f.deployment.Seconds = seeds, 12
	f.Arms = f.Arms[:3]
	return f
}

func run(t testing.TB, f *File, o Options) *Report {
	t.Helper()
	r, err := f.Run(context.Background(), o)
	qt.Assert(t, err, qt.IsNil)
	return r
}

func TestResultDoesNotDependOnWorkers(t *testing.T) {
	t.Parallel()
	var raw [2]bytes.Buffer
	for i, workers := range []int{1, 4} {
		qt.Assert(t, run(t, example(t, 4), Options{Workers: workers}).WriteJSON(&raw[i]), qt.IsNil)
	}
	qt.Assert(t, raw[0].String(), qt.Equals, raw[1].String())
}

// All arms play the same days, so an arm differs from itself by nothing at all,
// and what callers ask is the same under each.
func TestArmsPlayTheSameDays(t *testing.T) {
	t.Parallel()
	f := example(t, 4)
	f.Arms[1] = Arm{Name: "the same again"}
	r := run(t, f, Options{})
	qt.Assert(t, r.Arms[1].Difference, qt.Equals, 0.0)
	qt.Assert(t, r.Arms[1].Interval, qt.Equals, 0.0)
	for i := range r.Arms[0].Days {
		qt.Assert(t, r.Arms[2].Days[i].Asked(), qt.Equals, r.Arms[0].Days[i].Asked())
	}
}

func TestDaysDiffer(t *testing.T) {
	t.Parallel()
	f := example(t, 1)
	seen := make(map[string]bool)
	for seed := range uint64(20) {
		_, troubles := f.day(seed)
		qt.Assert(t, len(troubles) >= f.Draw.Least && len(troubles) <= f.Draw.Most, qt.IsTrue)
		raw, err := json.Marshal(troubles)
		qt.Assert(t, err, qt.IsNil)
		seen[string(raw)] = true
	}
	qt.Assert(t, seen, qt.HasLen, 20)
}

func TestRunEndsWithItsContext(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	f := example(t, 1000)
	_, err := f.Run(ctx, Options{Workers: 2, Progress: func(done, _ int) {
		if done == 3 {
			cancel()
		}
	}})
	qt.Assert(t, errors.Is(err, context.Canceled), qt.IsTrue)
}

func TestReportIsWritten(t *testing.T) {
	t.Parallel()
	f := example(t, 3)
	r := run(t, f, Options{})
	var table bytes.Buffer
	qt.Assert(t, r.WriteTable(&table), qt.IsNil)
	for _, want := range []string{"mechanisms, 3 days", "no times", "±", "p99 ms", "worth lost to"} {
		qt.Assert(t, table.String(), qt.Contains, want)
	}
	folder := t.TempDir()
	qt.Assert(t, r.Plot(folder), qt.IsNil)
	for _, name := range []string{"worth_by_day.svg", "worth_by_window.svg", "times.svg"} {
		raw, err := os.ReadFile(filepath.Join(folder, name))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, string(raw), qt.Contains, "no times")
	}
}

func TestExplain(t *testing.T) {
	t.Parallel()
	f := example(t, 1)
	arm, err := f.Arm("no times")
	qt.Assert(t, err, qt.IsNil)
	var text bytes.Buffer
	qt.Assert(t, f.Explain(&text, arm, 3), qt.IsNil)
	qt.Assert(t, text.String(), qt.Contains, "arm no times, seed 3: worth")
	_, troubles := f.day(3)
	for _, trouble := range troubles {
		qt.Assert(t, text.String(), qt.Contains, trouble.Kind.String())
	}
	_, err = f.Arm("none of them")
	qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeInvalid)
}

func TestReadRefuses(t *testing.T) {
	t.Parallel()
	raw, err := os.ReadFile("../examples/experiment/mechanisms.json")
	qt.Assert(t, err, qt.IsNil)
	small, err := os.ReadFile("../examples/experiment/small.json")
	qt.Assert(t, err, qt.IsNil)
	for _, test := range []struct{ name, old, part, want string }{
		{"an unknown field", `"seeds": 100`, `"seedz": 100`, `unknown field "seedz"`},
		{"no days", `"seeds": 100`, `"seeds": 0`, "seeds: got 0"},
		{"no load", `"load": [0.8, 1.2]`, `"load": 0`, "load: got"},
		{"an unknown kind", `"kind": "burst"`, `"kind": "flood"`, `got "flood"`},
		{"a time after the day", `"at_ms": [2000, 20000], "for_ms": [3000, 6000], "x": [1.5, 3.5]`, `"at_ms": [2000, 90000], "x": 2`, "burst: got at_ms"},
		{"a share over 1", `"share": [0.2, 1]`, `"share": [0.2, 2]`, "vm_off: got share"},
		{"a range of three", `"load": [0.8, 1.2]`, `"load": [1, 2, 3, "x"]`, "got range"},
		{"an unknown mechanism", `["times"]`, `["tides"]`, `got "tides"`},
		{"an arm twice", `"no times"`, `"all"`, "all different"},
		{"a deployment that is not there", `small.json`, `tiny.json`, "tiny.json"},
		{"more troubles than there are", `"most": 3`, `"most": 30`, "draw: got 1 to 30"},
	} {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			qt.Assert(t, os.WriteFile(filepath.Join(folder, "small.json"), small, 0o600), qt.IsNil)
			text := strings.Replace(string(raw), test.old, test.part, 1)
			qt.Assert(t, text, qt.Not(qt.Equals), string(raw))
			path := filepath.Join(folder, "file.json")
			qt.Assert(t, os.WriteFile(path, []byte(text), 0o600), qt.IsNil)
			_, err := Read(path)
			qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeInvalid)
			qt.Assert(t, err.Error(), qt.Contains, test.want)
		})
	}
}
