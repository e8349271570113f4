package main

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDrawSchedule(t *testing.T) {
	const seconds = 24
	sizes, alone, together, twice := map[int]bool{}, false, false, false
	names := map[string]bool{}
	for seed := range uint64(300) {
		schedule := drawSchedule(seed, seconds)
		qt.Assert(t, schedule, qt.DeepEquals, drawSchedule(seed, seconds))
		qt.Assert(t, len(schedule) >= 1 && len(schedule) <= maxFaults, qt.IsTrue)
		parsed, err := parseFaults(schedule, seconds)
		qt.Assert(t, err, qt.IsNil)
		sizes[len(schedule)] = true
		alone = alone || len(schedule) == 1
		count, at := map[string]int{}, map[string]bool{}
		for i, s := range parsed {
			qt.Assert(t, s.String(), qt.Equals, schedule[i])
			names[s.name] = true
			count[s.name]++
			qt.Assert(t, count[s.name] <= maxSame, qt.IsTrue)
			twice = twice || count[s.name] == 2
			together = together || at[s.at.String()]
			at[s.at.String()] = true
		}
	}
	qt.Assert(t, sizes, qt.HasLen, maxFaults)
	qt.Assert(t, names, qt.HasLen, len(faults))
	qt.Assert(t, alone && together && twice, qt.IsTrue)
}

// fakeRunner fails whenever all of the needed faults are in the schedule.
func fakeRunner(violation string, needed ...string) (runner, *int) {
	runs := 0
	return func(_ context.Context, _ uint64, schedule []string) (*outcome, error) {
		runs++
		for _, n := range needed {
			if !slices.Contains(schedule, n) {
				return &outcome{report: &report{}}, nil
			}
		}
		return &outcome{report: &report{}, broken: []string{violation}, logs: "/logs"}, nil
	}, &runs
}

func TestShrink(t *testing.T) {
	schedule := []string{"a@1", "b@2", "c@3", "b@4"}
	first := &outcome{broken: []string{"misrouted: got 7, want 0"}}
	for _, test := range []struct {
		name      string
		violation string
		needed    []string
		tries     int
		want      []string
		runs      int
	}{
		{"one fault is enough", "misrouted: got 1, want 0", []string{"c@3"}, 10, []string{"c@3"}, 4},
		{"two are needed", "misrouted: got 1, want 0", []string{"a@1", "b@4"}, 10, []string{"a@1", "b@4"}, 4},
		{"none is needed", "misrouted: got 1, want 0", nil, 10, []string{}, 4},
		{"another failure does not count", "ordinary_lost: got 1, want 0", nil, 10, schedule, 4},
		{"tries are bounded", "misrouted: got 1, want 0", []string{"b@4"}, 2, []string{"c@3", "b@4"}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			run, runs := fakeRunner(test.violation, test.needed...)
			shortest, tries, err := shrink(t.Context(), run, 1, schedule, first, test.tries)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, shortest, qt.DeepEquals, test.want)
			qt.Assert(t, tries, qt.Equals, test.runs)
			qt.Assert(t, *runs, qt.Equals, test.runs)
		})
	}
}

func TestRandomRuns(t *testing.T) {
	f := flags{Site: "tas-south", VMs: 6, Seconds: 24, Seed: 5, Random: 3, Flows: -1, Load: -1, RequestsPerSecond: -1}
	f.setDefaults()
	t.Run("all rounds hold", func(t *testing.T) {
		var out, log bytes.Buffer
		run, _ := fakeRunner("", "never drawn")
		qt.Assert(t, randomRuns(t.Context(), f, run, &out, &log), qt.Equals, 0)
		qt.Assert(t, strings.Count(out.String(), " ok "), qt.Equals, 3)
		qt.Assert(t, out.String(), qt.Contains, "rounds 3 failed 0 runs 3")
		qt.Assert(t, log.String(), qt.Equals, "")
	})
	t.Run("a failed round tells how to repeat it", func(t *testing.T) {
		var out, log bytes.Buffer
		needed := drawSchedule(6, f.Seconds)[0]
		run, _ := fakeRunner("misrouted: got 1, want 0", needed)
		qt.Assert(t, randomRuns(t.Context(), f, run, &out, &log), qt.Equals, exitBroken)
		qt.Assert(t, out.String(), qt.Contains, "seed 6 FAILED")
		qt.Assert(t, log.String(), qt.Contains, "logs in /logs")
		qt.Assert(t, log.String(), qt.Contains,
			"./demo --site tas-south --vms 6 --seconds 24 --flows 2500 --load 0.3 --fault "+needed+" --seed 6\n")
	})
}
