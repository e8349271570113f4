package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

func openMany(x *exchange, n int) (flows []*fakeCaller) {
	for i := range n {
		flows = append(flows, x.open(i))
	}
	return flows
}

// Something between the ends lost track of a flow while new ones work: the
// caller waits for news that never comes. The silent end answers no probe,
// so both ends get a reset within half a minute, and the caller reconnects.
func TestSilentFlowIsReset(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		lose func(c *fakeCaller) func(baobabstep.VMID, *baobabstep.Send) bool
	}{
		{"caller's side", func(c *fakeCaller) func(baobabstep.VMID, *baobabstep.Send) bool {
			return func(_ baobabstep.VMID, s *baobabstep.Send) bool {
				return s.Dest == baobabstep.DestCaller && s.Packet.Flow == c.key && s.Packet.Kind != baobabstep.KindReset
			}
		}},
		{"target's side", func(c *fakeCaller) func(baobabstep.VMID, *baobabstep.Send) bool {
			return func(_ baobabstep.VMID, s *baobabstep.Send) bool {
				return s.Dest == baobabstep.DestTarget && s.Packet.Flow == c.key && s.Packet.Kind != baobabstep.KindReset
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
			flows := openMany(x, 60)
			x.advance(time.Minute)
			x.lose = test.lose(flows[7])
			x.advance(40 * time.Second)
			x.lose = nil
			qt.Assert(t, flows[7].reset, qt.Equals, baobabstep.CodeFlowSilent)
			x.assertNobodyHolds(flows[7])
			x.assertAlive(flows[:7]...)
		})
	}
}

// A target forgets one flow of many without a word while its caller goes on
// sending every 2 s. The caller gets no answer and would give up by itself after
// some 8 s. The holder sees that the target owes an answer, probes it every
// second, and resets the flow before that; flows beside it are not touched.
func TestForgottenFlowInUseIsResetWithinSeconds(t *testing.T) {
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
	flows := openMany(x, 60)
	x.advance(time.Minute)
	forgotten := flows[7]
	x.lose = func(_ baobabstep.VMID, s *baobabstep.Send) bool {
		return s.Dest == baobabstep.DestTarget && s.Packet.Flow == forgotten.key && s.Packet.Kind != baobabstep.KindReset
	}
	for range 4 {
		for _, c := range flows {
			x.say(c, "still there?", 0)
		}
		x.advance(2 * time.Second)
	}
	x.lose = nil
	qt.Assert(t, forgotten.reset, qt.Equals, baobabstep.CodeFlowSilent)
	x.assertAlive(flows[:7]...)
	x.assertAlive(flows[8:]...)
}

// Flows that nobody uses stay open, since both ends answer probes. Their copies
// are made once at most: answers to probes pass the second copy, and the holder
// must not take that for a sign that the copy is gone.
func TestQuietFlowsAreNeverCut(t *testing.T) {
	t.Parallel()
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
	flows := openMany(x, 20)
	x.advance(4 * time.Minute)
	for _, c := range flows {
		qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeOK)
	}
	qt.Assert(t, x.events("repair_sent") <= uint64(len(flows)), qt.IsTrue)
	x.assertAlive(flows...)
}

// A VM is cut off from targets or callers for minutes and sees all of its
// flows silent at once. They are healthy: other VMs still carry them. Resets
// from the VM that is cut off would break them all.
func TestVMThatIsCutOffResetsNothing(t *testing.T) {
	t.Parallel()
	for _, dest := range []baobabstep.Dest{baobabstep.DestTarget, baobabstep.DestCaller} {
		t.Run(dest.String(), func(t *testing.T) {
			x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
			flows := openMany(x, 60)
			x.advance(time.Minute)
			alone := x.owners(flows[0].key, x.vms).Holder
			x.lose = func(from baobabstep.VMID, s *baobabstep.Send) bool {
				return from == alone && s.Dest == dest && s.Packet.Kind == baobabstep.KindProbe
			}
			x.deaf = map[baobabstep.VMID]bool{alone: true}
			x.advance(3 * time.Minute)
			x.lose, x.deaf = nil, nil
			qt.Assert(t, x.events("flow_silent_held") > 0, qt.IsTrue)
			x.advance(time.Minute)
			x.assertAlive(flows...)
		})
	}
}

// All targets of a data centre fall silent at once: a partition, not so many
// deaths. Their flows wait and go on when it is over.
func TestSilentDataCentreIsHeldBack(t *testing.T) {
	t.Parallel()
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
	flows := openMany(x, 60)
	x.advance(time.Minute)
	for _, tg := range x.targets {
		tg.silent = tg.config.DataCentre == "dc1"
	}
	x.advance(4 * time.Minute)
	qt.Assert(t, x.events("path_suspected") > 0, qt.IsTrue)
	for _, tg := range x.targets {
		tg.silent = false
	}
	x.advance(time.Minute)
	x.assertAlive(flows...)
}

// One target dies while its neighbours live on. Its flows end within a minute.
func TestFlowsOfADeadTargetEnd(t *testing.T) {
	t.Parallel()
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
	flows := openMany(x, 60)
	x.advance(time.Minute)
	dead := flows[0].opened
	x.targets[dead].silent = true
	x.advance(90 * time.Second)
	for _, c := range flows {
		if c.opened == dead {
			qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeFlowSilent)
		} else {
			x.assertAlive(c)
		}
	}
}

// Callers open flow after flow and never answer. They must not push out the
// flows of others. If it is one caller, others still open at once; if they are
// many, others open as soon as the silent ones were probed.
func TestOpenFlood(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		key  func(x *exchange, n int) baobabstep.FlowKey
		wait time.Duration
	}{
		{"one caller", func(x *exchange, n int) baobabstep.FlowKey {
			key := x.key(9)
			key.Number = uint64(n)
			return key
		}, 0},
		{"many callers", (*exchange).key, 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newExchange(t, fleet{vms: 3, dcs: 1, targets: 6})
			flows := openMany(x, 50)
			x.assertAlive(flows...)
			for n := 1000; n < 6000; n++ {
				x.enter(0, baobabstep.Packet{Kind: baobabstep.KindOpen, Flow: test.key(x, n)})
				x.run()
			}
			qt.Assert(t, x.events("half_open_limit") > 0, qt.IsTrue)
			for _, r := range x.routers {
				half := r.Stats().HalfOpen
				qt.Assert(t, half <= 2*maxHalfOpen, qt.IsTrue, qt.Commentf("%d half-open", half))
			}
			x.advance(test.wait)
			for n := range 40 {
				honest := x.sendOpen(100+n, 0)
				qt.Assert(t, honest.reset, qt.Equals, baobabstep.CodeOK)
				x.assertAlive(honest)
			}
			x.assertAlive(flows...)
		})
	}
}

// The targets refuse an open one after the other. The caller hears of it only
// when the tries run out, and then when to come back.
func TestRefusedOpenIsTriedElsewhere(t *testing.T) {
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 4})
	ids := x.config.Services[0].Targets
	x.targets[ids[0].ID].refuse = baobabstep.CodeNoCapacity
	x.targets[ids[1].ID].refuse = baobabstep.CodeTargetLeaving
	flows := openMany(x, 40)
	for _, c := range flows {
		qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeOK)
	}
	x.assertAlive(flows...)
	for _, tg := range x.targets {
		tg.refuse = baobabstep.CodeNoCapacity
	}
	c := x.sendOpen(99, 0)
	qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeNoCapacity)
	qt.Assert(t, c.retry > 0, qt.IsTrue)
	c.reset = baobabstep.CodeOK
	for _, tg := range x.targets {
		tg.refuse = 0
	}
	x.assertAlive(x.open(99))
	for id, tg := range x.targets {
		total := 0
		for _, chooser := range x.choosers {
			total += chooser.count[id]
		}
		qt.Assert(t, total, qt.Equals, len(tg.flows))
	}
}

// Another data centre is out of reach for an hour. A caller that is heard only
// there looks silent from here and must not be reset; a flow that its target
// here forgot is dead on either side and must end within seconds.
func TestSilenceDuringAPartition(t *testing.T) {
	t.Parallel()
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
	flows := openMany(x, 60)
	x.advance(time.Minute)
	for _, vm := range x.vms {
		x.routers[vm.ID].SetView(x.now, &baobabstep.View{Self: vm.ID, Members: x.vms, ChangedAt: x.now, Unsure: true})
	}
	far, dead := flows[3], flows[7]
	x.lose = func(_ baobabstep.VMID, s *baobabstep.Send) bool {
		silent := s.Dest == baobabstep.DestCaller && s.Packet.Flow == far.key ||
			s.Dest == baobabstep.DestTarget && s.Packet.Flow == dead.key
		return silent && s.Packet.Kind != baobabstep.KindReset
	}
	x.advance(time.Minute)
	x.lose = nil
	qt.Assert(t, dead.reset, qt.Equals, baobabstep.CodeFlowSilent)
	qt.Assert(t, far.reset, qt.Equals, baobabstep.CodeOK)
	x.setViews(x.vms)
	x.assertAlive(far)
}
