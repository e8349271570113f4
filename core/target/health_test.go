package target

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// setUp returns a registry with one service of n targets in one data centre.
func setUp(t testing.TB, n int) (*Registry, *baobabstep.Service) {
	s := testService(n, dataCentre)
	r := newRegistry(t, 0)
	r.SetConfig(epoch, testConfig(s))
	return r, &s
}

func fail(r *Registry, now time.Time, id baobabstep.TargetID, times int) {
	for range times {
		r.Outcome(now, id, baobabstep.CodeOutcomeUnknown, 0)
	}
}

// A target that fails each request at once always has free slots and would
// attract all work. Five failures eject it, for longer each time.
func TestFastFailingTargetIsEjected(t *testing.T) {
	r, s := setUp(t, 5)
	first := s.Targets[0].ID
	fail(r, epoch, first, 4)
	qt.Assert(t, pickable(r, epoch, s)[first] > 0, qt.IsTrue)
	fail(r, epoch, first, 1)
	qt.Assert(t, pickable(r, epoch, s)[first], qt.Equals, 0)

	out, now := time.Duration(0), epoch
	for now.Sub(epoch) < 10*time.Minute {
		if pickable(r, now, s)[first] == 0 {
			out += time.Second
		} else {
			fail(r, now, first, 5)
		}
		now = now.Add(time.Second)
	}
	qt.Assert(t, out > 9*time.Minute, qt.IsTrue, qt.Commentf("got %v of 10 min", out))
}

// More targets look unhealthy than the service allows to eject. The evidence is
// then more likely wrong than the targets, and the few others would be
// overloaded: all targets get work.
func TestPanicModeUsesAllTargets(t *testing.T) {
	r, s := setUp(t, 5)
	for i := range 2 {
		fail(r, epoch, s.Targets[i].ID, 5)
	}
	qt.Assert(t, len(pickable(r, epoch, s)), qt.Equals, 3)
	fail(r, epoch, s.Targets[2].ID, 5)
	qt.Assert(t, len(pickable(r, epoch, s)), qt.Equals, 5)
}

// A report of an idle target must not lower the load that the counts give. A
// wrong report of a full target keeps work away only while others have room.
func TestWrongReports(t *testing.T) {
	t.Run("idle", func(t *testing.T) {
		r, s := setUp(t, 2)
		first := s.Targets[0].ID
		for range 100 {
			r.FlowOpened(epoch, first)
		}
		r.RecordReport(epoch, first, baobabstep.TargetReport{Healthy: true})
		got := pickable(r, epoch, s)
		qt.Assert(t, got[first] < got[s.Targets[1].ID], qt.IsTrue)
	})
	t.Run("full", func(t *testing.T) {
		r, s := setUp(t, 2)
		full := baobabstep.TargetReport{Healthy: true, Connections: 2000}
		r.RecordReport(epoch, s.Targets[0].ID, full)
		qt.Assert(t, pickable(r, epoch, s)[s.Targets[0].ID], qt.Equals, 0)
		r.RecordReport(epoch, s.Targets[1].ID, full)
		qt.Assert(t, len(pickable(r, epoch, s)) > 0, qt.IsTrue)
	})
}

// A single lost or answered probe changes nothing: three consecutive misses
// mark a target down, three consecutive answers bring it back.
func TestProbesNeedThreeInARow(t *testing.T) {
	r, s := setUp(t, 4)
	r.SetView(epoch, testView(3, dataCentre))
	first := s.Targets[0].ID
	now := epoch
	round := func(answer bool) {
		now = now.Add(2 * time.Second)
		for _, id := range r.ProbeTargets(now) {
			if answer || id != first {
				r.RecordReport(now, id, baobabstep.TargetReport{Healthy: true})
			}
		}
	}
	// The first round sends a probe; each later one counts the previous as
	// missed.
	for i, want := range []bool{true, true, true, false} {
		round(false)
		qt.Assert(t, pickable(r, now, s)[first] > 0, qt.Equals, want, qt.Commentf("round %d", i))
	}
	for i, want := range []bool{false, false, true} {
		round(true)
		qt.Assert(t, pickable(r, now, s)[first] > 0, qt.Equals, want, qt.Commentf("round %d", i))
	}
}

// One other VM that cannot reach a target may itself be cut off from it;
// results of two probers mark the target down.
func TestTwoPeerProbersMarkTargetDown(t *testing.T) {
	r, s := setUp(t, 4)
	r.SetView(epoch, testView(9, dataCentre))
	first := s.Targets[0].ID
	for i, want := range []bool{true, false} {
		other := newRegistry(t, i+1)
		other.SetConfig(epoch, testConfig(*s))
		other.SetView(epoch, testView(9, dataCentre))
		other.RecordReport(epoch, first, baobabstep.TargetReport{Healthy: false})
		handleGossip(t, r, epoch, vmID(i+1), other.EncodeGossip(epoch, 1000))
		qt.Assert(t, pickable(r, epoch, s)[first] > 0, qt.Equals, want)
	}
}

// An address just moved between services. A VM with the old configuration could
// take it for the old service's target, so it gets no work.
func TestQuarantinedAddressGetsNoWork(t *testing.T) {
	s := testService(3, dataCentre)
	r := newRegistry(t, 0)
	c := testConfig(s)
	c.Quarantine = []baobabstep.Quarantine{{Address: s.Targets[0].Address, Service: s.ID + 1}}
	r.SetConfig(epoch, c)
	qt.Assert(t, pickable(r, epoch, &s)[s.Targets[0].ID], qt.Equals, 0)
	r.SetConfig(epoch, testConfig(s))
	now := epoch.Add(time.Minute)
	qt.Assert(t, len(pickable(r, now, &s)), qt.Equals, 3)
}

// Two of three data centres are cut off, so two thirds of the targets are
// unreachable. That must not start panic mode: only reachable targets get work,
// including those of a data centre that lost its VMs once probes reach them.
func TestDataCentreCutOff(t *testing.T) {
	s := testService(9, "braga-a", "braga-b", "guimaraes")
	r := newRegistry(t, 0)
	r.SetConfig(epoch, testConfig(s))
	r.SetView(epoch, testView(9, "braga-a", "braga-b", "guimaraes"))
	qt.Assert(t, usable(r, epoch), qt.Equals, 9)
	view := testView(9, "braga-a", "braga-b", "guimaraes")
	view.Members = []baobabstep.VM{view.Members[0], view.Members[3], view.Members[6]}
	r.SetView(epoch, view)
	qt.Assert(t, len(pickable(r, epoch, &s)), qt.Equals, 3)
	now := epoch.Add(2 * time.Second)
	for _, id := range r.ProbeTargets(now) {
		r.RecordReport(now, id, baobabstep.TargetReport{Healthy: true})
	}
	qt.Assert(t, usable(r, now), qt.Equals, 9)
}

func usable(r *Registry, now time.Time) int {
	n := 0
	for _, state := range r.States(now) {
		if state.Usable {
			n++
		}
	}
	return n
}

// Leaving updates arrive late, duplicated and out of order, and their origin
// dies. Neither may revert a newer update.
func TestLeavingUpdatesMergeByVersion(t *testing.T) {
	s := testService(4, dataCentre)
	a, b, c := newRegistry(t, 0), newRegistry(t, 1), newRegistry(t, 2)
	for _, r := range []*Registry{a, b, c} {
		r.SetConfig(epoch, testConfig(s))
		r.SetView(epoch, testView(3, dataCentre))
	}
	first := s.Targets[0].ID
	a.SetLeaving(epoch, first, SourcePlatform, true)
	leaves := a.EncodeGossip(epoch, 1000)
	a.SetLeaving(epoch, first, SourcePlatform, false)
	returns := a.EncodeGossip(epoch, 1000)
	a.SetLeaving(epoch, first, SourcePlatform, true)
	again := a.EncodeGossip(epoch, 1000)
	out := func(r *Registry) bool { return pickable(r, epoch, &s)[first] == 0 }
	for _, step := range []struct {
		news []byte
		want bool
	}{{leaves, true}, {returns, false}, {leaves, false}, {again, true}, {returns, true}} {
		handleGossip(t, b, epoch, vmID(0), step.news)
		qt.Assert(t, out(b), qt.Equals, step.want)
	}
	handleGossip(t, c, epoch, vmID(1), b.EncodeGossip(epoch, 1000))
	c.SetView(epoch, &baobabstep.View{Members: testView(3, dataCentre).Members[1:]})
	qt.Assert(t, out(c), qt.IsTrue)
}

// A target that joins a service in use is cold: it gets a small part of its
// share at first and all of it after the ramp.
func TestJoinedTargetRampsUp(t *testing.T) {
	s := testService(5, dataCentre)
	r := newRegistry(t, 0)
	before := s
	before.Targets = s.Targets[:4]
	r.SetConfig(epoch, testConfig(before))
	r.SetConfig(epoch, testConfig(s))
	last := s.Targets[4].ID
	early := pickable(r, epoch.Add(time.Second), &s)[last]
	late := pickable(r, epoch.Add(20*time.Second), &s)[last]
	qt.Assert(t, early > 0 && early < 30, qt.IsTrue, qt.Commentf("got %d of 400", early))
	qt.Assert(t, late > 50, qt.IsTrue, qt.Commentf("got %d of 400", late))
}

// A target ten times slower than the others gets one request at a time instead
// of two, and both slots again once it is as fast as the others.
func TestSlowTargetGetsFewerSlots(t *testing.T) {
	r, s := setUp(t, 5)
	work := func(first time.Duration) int {
		for range 200 {
			for i, target := range s.Targets {
				d := 10 * time.Millisecond
				if i == 0 {
					d = first
				}
				r.Outcome(epoch, target.ID, baobabstep.CodeOK, d)
			}
		}
		return r.States(epoch)[0].SlotLimit
	}
	qt.Assert(t, work(100*time.Millisecond), qt.Equals, 1)
	qt.Assert(t, work(10*time.Millisecond), qt.Equals, 2)
}

// Malformed or oversized messages are rejected.
func TestInvalidGossipIsRejected(t *testing.T) {
	r, _ := setUp(t, 3)
	qt.Assert(t, handleGossipCode(r, epoch, vmID(1), []byte("no CBOR")), qt.Equals, baobabstep.CodeMalformed)
	qt.Assert(t, handleGossipCode(r, epoch, vmID(1), make([]byte, maxGossipBytes+1)), qt.Equals, baobabstep.CodeTooLarge)
}

func FuzzLearn(f *testing.F) {
	s := testService(3, dataCentre)
	a := newRegistry(f, 0)
	a.SetConfig(epoch, testConfig(s))
	a.SetView(epoch, testView(3, dataCentre))
	a.FlowOpened(epoch, s.Targets[0].ID)
	a.SetLeaving(epoch, s.Targets[1].ID, SourcePlatform, true)
	f.Add(a.EncodeGossip(epoch, 1000))
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, body []byte) {
		r := newRegistry(t, 1)
		r.SetConfig(epoch, testConfig(s))
		_, _ = r.HandleGossip(epoch, vmID(0), body)
		pickable(r, epoch, &s)
	})
}
