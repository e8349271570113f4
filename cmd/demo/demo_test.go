package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/io/setting"
	"baobabstep/standin/callers"
)

func testPlan(t *testing.T, site string) *plan {
	t.Helper()
	p, err := newPlan(flags{
		Site: site, VMs: 6, Seconds: 10, Seed: 1, Flows: -1, RequestsPerSecond: -1, Load: 0.5,
		Policy: "replicated", Logs: t.TempDir(), Root: "../..",
	})
	qt.Assert(t, err, qt.IsNil)
	return p
}

func TestPlan(t *testing.T) {
	for _, site := range []string{"tas-south", "pt-norte"} {
		t.Run(site, func(t *testing.T) {
			p := testPlan(t, site)
			for i := range p.vms {
				path, err := p.write(p.vms[i].Name, p.vmSettings(&p.vms[i]))
				qt.Assert(t, err, qt.IsNil)
				_, err = setting.Read(path)
				qt.Assert(t, err, qt.IsNil)
			}
			flowCount, rate := 0, 0.0
			for _, s := range p.callers.Services {
				flowCount += s.Flows
				rate += s.RequestsPerSecond
			}
			qt.Assert(t, flowCount, qt.Equals, 19*connections/2)
			qt.Assert(t, rate > 940 && rate < 960, qt.IsTrue)
			qt.Assert(t, p.targets.Targets, qt.HasLen, 19+2)
		})
	}
}

func TestParseFaults(t *testing.T) {
	t.Run("with and without a second", func(t *testing.T) {
		s, err := parseFaults([]string{"vm_death@3", "config_change"}, 10)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s, qt.HasLen, 2)
		qt.Assert(t, s[0].String(), qt.Equals, "vm_death@3")
		qt.Assert(t, s[1].at >= 4*time.Second && s[1].at < 10*time.Second, qt.IsTrue)
	})
	t.Run("all", func(t *testing.T) {
		s, err := parseFaults([]string{allFaults}, 60)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s, qt.HasLen, len(faults))
	})
	for _, bad := range []string{"vm_dearth", "vm_death@", "vm_death@11", "vm_death@-1", "all@3"} {
		t.Run(bad, func(t *testing.T) {
			_, err := parseFaults([]string{bad}, 10)
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

// The exit status is what CI goes by. Each count that must be zero is set in
// turn, and each must be named; a clean report names none.
func TestBrokenNamesEachInvariant(t *testing.T) {
	clean := func() *report { return &report{FlowsOpened: 1, Answered: 1} }
	d := &demo{fleet: &fleet{}, plan: testPlan(t, "tas-south")}
	qt.Assert(t, d.broken(clean()), qt.HasLen, 0)
	for _, change := range []func(*report){
		func(r *report) { r.Misrouted = 1 },
		func(r *report) { r.AnswersWrong = 1 },
		func(r *report) { r.RefusedButRan = 1 },
		func(r *report) { r.NonIdempotentRunTwice = 1 },
		func(r *report) { r.OrdinaryLost = 1 },
		func(r *report) { r.NewWorkOnLeavingTarget = 1 },
		func(r *report) { r.ConfigReverts = 1 },
		func(r *report) { r.InvariantFailures = 1 },
		func(r *report) { r.ConfigInForceSeconds = maxInForceSeconds + 1 },
		func(r *report) { r.Answered = 0 },
		func(r *report) { r.FlowsOpened = 0 },
	} {
		r := clean()
		change(r)
		qt.Assert(t, d.broken(r), qt.HasLen, 1)
	}
}

// A fault that ends a target excuses an explicit reset of its flows: not their
// silence, and not the flows of others.
func TestJudgeFlows(t *testing.T) {
	dead, alive := baobabstep.TargetID(1), baobabstep.TargetID(2)
	for _, test := range []struct {
		name   string
		broken callers.Broken
		want   int
	}{
		{"reset on a dead target", callers.Broken{Target: dead, Reason: "reset"}, 0},
		{"silence on a dead target", callers.Broken{Target: dead, Reason: "silent"}, 1},
		{"reset on a live target", callers.Broken{Target: alive, Reason: "reset"}, 1},
		{"misrouted", callers.Broken{Target: dead, Reason: "misrouted"}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &demo{lost: map[baobabstep.TargetID]bool{dead: true}}
			d.judgeFlows([]callers.Broken{test.broken})
			qt.Assert(t, d.violations, qt.HasLen, test.want)
		})
	}
}

func TestNoteVersionCountsReverts(t *testing.T) {
	d := &demo{versions: map[string]uint64{}}
	for _, version := range []uint64{0, 1, 2, 0, 2, 1} {
		d.noteVersion("vm", version)
	}
	qt.Assert(t, d.reverts, qt.Equals, 1)
}

func TestPrint(t *testing.T) {
	r := &report{FlowsOpened: 3, Policy: "replicated", Faults: []string{}}
	t.Run("json", func(t *testing.T) {
		var b bytes.Buffer
		qt.Assert(t, print(&b, r, true), qt.IsNil)
		var back report
		decoder := json.NewDecoder(&b)
		qt.Assert(t, decoder.Decode(&back), qt.IsNil)
		qt.Assert(t, &back, qt.DeepEquals, r)
		qt.Assert(t, decoder.More(), qt.IsFalse)
	})
	t.Run("table", func(t *testing.T) {
		var b bytes.Buffer
		qt.Assert(t, print(&b, r, false), qt.IsNil)
		qt.Assert(t, b.String(), qt.Matches, `(?s)flows_opened +3\nflows_broken +0\n.*`)
	})
}

// A process ends by the signal that was meant for it, and one that ends by
// itself is told apart from one that was ended.
func TestFleetTellsCrashes(t *testing.T) {
	f := &fleet{logs: t.TempDir(), bin: "/bin"}
	crashing, err := f.start("crashing", "false")
	qt.Assert(t, err, qt.IsNil)
	ended, err := f.start("ended", "sleep", "60")
	qt.Assert(t, err, qt.IsNil)
	<-crashing.Done()
	f.stopAll()
	qt.Assert(t, ended.Running(), qt.IsFalse)
	qt.Assert(t, f.crashed(), qt.DeepEquals, []string{"crashing"})
	_, err = os.Stat(filepath.Join(f.logs, "ended.log"))
	qt.Assert(t, err, qt.IsNil)
}

func TestParseLocal(t *testing.T) {
	address, ok := parseLocal("0201647F:1BBC", 100)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, address, qt.Equals, "127.100.1.2:7100")
	_, ok = parseLocal("0201647F:1BBC", 101)
	qt.Assert(t, ok, qt.IsFalse)
}
