package room_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"baobabstep"
	"baobabstep/core/room"
)

const (
	vms, targets, callers = 8, 20, 900
	// overload is an offered load relative to the capacity of the slots. Urgent requests, a
	// third of all, use 0.67 of the capacity.
	overload = 1.7
)

// Guards against an overload in which urgent requests fail as often as ordinary ones, and in
// which targets reject nearly half of their requests. Both happen without gates. Gates must
// not lower the utilization of the slots.
func TestUrgentRequestsSucceedInOverload(t *testing.T) {
	withoutGates := newModel(1)
	clear(withoutGates.gates)
	withoutGates.run(2*time.Second, 0.3)
	withoutGates.run(time.Second, overload)
	_, rejectedWithoutGates := withoutGates.measure(5*time.Second, overload)
	qt.Assert(t, withoutGates.urgent.share() < 0.9, qt.IsTrue, qt.Commentf("%v", withoutGates.urgent.share()))

	m := newModel(1)
	m.run(2*time.Second, 0.3)
	m.run(time.Second, overload)
	busy, rejected := m.measure(5*time.Second, overload)
	t.Logf("urgent %.3f, ordinary %.3f, busy %.3f, rejected %d; without gates %.3f, %.3f, %d", m.urgent.share(), m.ordinary.share(), busy, rejected, withoutGates.urgent.share(), withoutGates.ordinary.share(), rejectedWithoutGates)
	qt.Assert(t, m.urgent.share() >= 0.98, qt.IsTrue, qt.Commentf("%v", m.urgent.share()))
	qt.Assert(t, busy >= 0.95, qt.IsTrue, qt.Commentf("%v", busy))
	qt.Assert(t, rejected < rejectedWithoutGates/5, qt.IsTrue, qt.Commentf("%d, without gates %d", rejected, rejectedWithoutGates))
}

// Guards against admission control that only works if all VMs take part: during an upgrade
// half of them have no gates, and a VM that starts during an overload has no observations.
func TestPartialDeploymentOfGates(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(m *model)
		want   float64
	}{
		{"half of the VMs without", func(m *model) { clear(m.gates[:vms/2]) }, 0.65},
		{"a VM starts during the overload", func(m *model) { m.gates[0] = new(room.Gate) }, 0.97},
		{"half of the VMs leave", func(m *model) { m.leave(vms / 2) }, 0.97},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(2)
			m.run(2*time.Second, 0.3)
			m.run(time.Second, overload)
			test.change(m)
			m.run(500*time.Millisecond, overload)
			m.measure(4*time.Second, overload)
			qt.Assert(t, m.urgent.share() >= test.want, qt.IsTrue, qt.Commentf("%v", m.urgent.share()))
		})
	}
}

// Guards against a gate that keeps refusing flows after the overload has ended.
func TestGateOpensAfterOverload(t *testing.T) {
	m := newModel(3)
	m.run(2*time.Second, 0.3)
	m.run(4*time.Second, overload)
	qt.Assert(t, m.closed(), qt.Equals, vms)
	m.run(1500*time.Millisecond, 0.4)
	qt.Assert(t, m.closed(), qt.Equals, 0)
	m.measure(2*time.Second, 0.4)
	qt.Assert(t, m.ordinary.share() > 0.999, qt.IsTrue, qt.Commentf("%v", m.ordinary.share()))
}

// Guards against a gate that stays closed after an overload because targets fail some of
// their requests: at normal latency there is free capacity, and refusing flows has no benefit.
func TestGateOpensDespiteFailures(t *testing.T) {
	m := newModel(6)
	m.run(2*time.Second, 0.3)
	m.run(3*time.Second, overload)
	qt.Assert(t, m.closed(), qt.Equals, vms)
	for _, target := range m.targets {
		target.failing = 0.2
	}
	m.run(3*time.Second, 0.4)
	qt.Assert(t, m.closed(), qt.Equals, 0)
	m.measure(3*time.Second, 0.4)
	qt.Assert(t, m.closed(), qt.Equals, 0)
	qt.Assert(t, m.ordinary.share() > 0.97, qt.IsTrue, qt.Commentf("%v", m.ordinary.share()))
}

// Guards against a gate that closes because targets fail requests while there is free
// capacity.
func TestFailuresDoNotCloseGate(t *testing.T) {
	for _, test := range []struct {
		name          string
		failing       int
		rate, offered float64
	}{
		{"a fifth of the targets fails nine of ten requests", targets / 5, 0.9, 0.5},
		{"a fifth of the targets fails nearly all", targets / 5, 0.97, 0.5},
		{"all targets fail a third", targets, 0.33, 0.4},
		{"high load, nothing fails", 0, 0, 0.9},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := newModel(4)
			for i := range test.failing {
				m.targets[i].failing = test.rate
			}
			for range 60 {
				m.run(100*time.Millisecond, test.offered)
				qt.Assert(t, m.closed(), qt.Equals, 0)
			}
		})
	}
}

// Guards against a gate that admits no flows and so cannot detect the end of an overload, and
// against one that stays closed under light load after any sequence of outcomes.
func TestGateReopensUnderLightLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := new(room.Gate)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "ticks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "step")) * time.Millisecond)
			for range rapid.IntRange(0, 40).Draw(t, "rejected") {
				g.AddRejected(now, baobabstep.TargetID(rapid.IntRange(1, 20).Draw(t, "target")))
			}
			for range rapid.IntRange(0, 40).Draw(t, "answered") {
				g.AddAnswered(now, time.Duration(rapid.IntRange(1, 2000).Draw(t, "took"))*time.Millisecond)
			}
			s, _ := g.Update(now, unloaded, 20)
			if s.Admitted <= 0 || s.Admitted > 1 || s.Admitted < 1 && !s.Closed || !s.Closed && !g.Admits(1<<64-1) {
				t.Fatalf("state %+v", s)
			}
		}
		for range 45 {
			now = now.Add(100 * time.Millisecond)
			for range 3 {
				g.AddAnswered(now, unloaded)
			}
			g.Update(now, unloaded, 20)
		}
		if s := g.State(); s.Closed {
			t.Fatalf("still closed: %+v", s)
		}
	})
}

// Guards against idle slots because too many flows are refused when the offered load slightly
// exceeds the capacity.
func TestSlotsStayBusy(t *testing.T) {
	for _, offered := range []float64{1.05, 1.1, 1.3} {
		served := func(gates bool) float64 {
			m := newModel(5)
			if !gates {
				clear(m.gates)
			}
			m.run(2*time.Second, 0.3)
			m.run(time.Second, offered)
			m.measure(6*time.Second, offered)
			return float64(2*m.urgent.inTime+m.ordinary.inTime) / float64(2*m.urgent.requested+m.ordinary.requested)
		}
		with, without := served(true), served(false)
		t.Logf("offered %v: %.3f, without gates %.3f", offered, with, without)
		qt.Check(t, with >= without-0.01, qt.IsTrue, qt.Commentf("offered %v: %v, without gates %v", offered, with, without))
	}
}
