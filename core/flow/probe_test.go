package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

func openMany(x *testNetwork, n int) (flows []*fakeCaller) {
	for i := range n {
		flows = append(flows, x.open(i))
	}
	return flows
}

// A component on the path loses track of one flow while others work, and its
// caller would wait forever. The silent end answers no probe, so both ends
// must get a reset within 40 s, and the caller can reconnect.
func TestSilentFlowIsReset(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		lose func(c *fakeCaller) func(baobabstep.VMID, *baobabstep.OutgoingPacket) bool
	}{
		{"caller's side", func(c *fakeCaller) func(baobabstep.VMID, *baobabstep.OutgoingPacket) bool {
			return func(_ baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
				return s.Dest == baobabstep.DestCaller && s.Packet.Flow == c.key && s.Packet.Kind != baobabstep.KindReset
			}
		}},
		{"target's side", func(c *fakeCaller) func(baobabstep.VMID, *baobabstep.OutgoingPacket) bool {
			return func(_ baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
				return s.Dest == baobabstep.DestTarget && s.Packet.Flow == c.key && s.Packet.Kind != baobabstep.KindReset
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
			flows := openMany(x, 60)
			x.advance(time.Minute)
			x.lose = test.lose(flows[7])
			x.advance(40 * time.Second)
			x.lose = nil
			qt.Assert(t, flows[7].reset, qt.Equals, baobabstep.CodeFlowSilent)
			x.assertNoTargetHolds(flows[7])
			x.assertAlive(flows[:7]...)
		})
	}
}

// A target silently loses one flow of many while its caller sends every 2 s
// and would time out after about 8 s. The holder must see that the target has
// not answered, probe it every second and reset the flow before that timeout;
// other flows must not be affected.
func TestForgottenFlowInUseIsResetWithinSeconds(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
	flows := openMany(x, 60)
	x.advance(time.Minute)
	forgotten := flows[7]
	x.lose = func(_ baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
		return s.Dest == baobabstep.DestTarget && s.Packet.Flow == forgotten.key && s.Packet.Kind != baobabstep.KindReset
	}
	for range 4 {
		for _, c := range flows {
			x.sendData(c, "still there?", 0)
		}
		x.advance(2 * time.Second)
	}
	x.lose = nil
	qt.Assert(t, forgotten.reset, qt.Equals, baobabstep.CodeFlowSilent)
	x.assertAlive(flows[:7]...)
	x.assertAlive(flows[8:]...)
}

// Idle flows stay open, since both ends answer probes. Each is replicated once
// at most: probe acknowledgements enter at the second copy, and the holder
// must not take that for a missing copy.
func TestIdleFlowsStayOpen(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
	flows := openMany(x, 20)
	x.advance(4 * time.Minute)
	for _, c := range flows {
		qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeOK)
	}
	qt.Assert(t, x.events("repair_sent") <= uint64(len(flows)), qt.IsTrue)
	x.assertAlive(flows...)
}

// A VM is disconnected from targets or callers for minutes, and all of its
// flows look silent at once. They are healthy, since other VMs carry them, so
// it must reset none.
func TestIsolatedVMResetsNoFlows(t *testing.T) {
	t.Parallel()
	for _, dest := range []baobabstep.Dest{baobabstep.DestTarget, baobabstep.DestCaller} {
		t.Run(dest.String(), func(t *testing.T) {
			x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
			flows := openMany(x, 60)
			x.advance(time.Minute)
			alone := x.owners(flows[0].key, x.vms).Holder
			x.lose = func(from baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
				return from == alone && s.Dest == dest && s.Packet.Kind == baobabstep.KindProbe
			}
			x.noInput = map[baobabstep.VMID]bool{alone: true}
			x.advance(3 * time.Minute)
			x.lose, x.noInput = nil, nil
			qt.Assert(t, x.events("flow_silent_held") > 0, qt.IsTrue)
			x.advance(time.Minute)
			x.assertAlive(flows...)
		})
	}
}

// All targets of a data centre fall silent at once, which suggests a
// partition. The flows must be kept and continue when the targets answer
// again.
func TestSilentDataCentreResetsNoFlows(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
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

// One target dies while its neighbours are alive. Its flows must end
// within 90 s.
func TestFlowsOfADeadTargetEnd(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
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

// Callers open many flows and never answer. They must not displace established
// flows. Others must be able to open flows: at once if the flood comes from
// one caller, or as soon as the silent callers were probed if it comes from
// many.
func TestOpenFlood(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		key  func(x *testNetwork, n int) baobabstep.FlowKey
		wait time.Duration
	}{
		{"one caller", func(x *testNetwork, n int) baobabstep.FlowKey {
			key := x.key(9)
			key.Number = uint64(n)
			return key
		}, 0},
		{"many callers", (*testNetwork).key, 6 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newTestNetwork(t, fleet{vms: 3, dcs: 1, targets: 6})
			flows := openMany(x, 50)
			x.assertAlive(flows...)
			for n := 1000; n < 6000; n++ {
				x.receive(0, baobabstep.Packet{Kind: baobabstep.KindOpen, Flow: test.key(x, n)})
				x.run()
			}
			qt.Assert(t, x.events("half_open_limit") > 0, qt.IsTrue)
			for _, r := range x.routers {
				half := r.Stats().HalfOpen
				qt.Assert(t, half <= 2*maxHalfOpen, qt.IsTrue, qt.Commentf("%d half-open", half))
			}
			x.advance(test.wait)
			for n := range 40 {
				legitimate := x.sendOpen(100+n, 0)
				qt.Assert(t, legitimate.reset, qt.Equals, baobabstep.CodeOK)
				x.assertAlive(legitimate)
			}
			x.assertAlive(flows...)
		})
	}
}

// Several targets refuse an open one after the other. The caller must be
// refused only when the attempts run out, with a RetryAfter.
func TestRefusedOpenIsTriedElsewhere(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 4})
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
			total += chooser.counts[id]
		}
		qt.Assert(t, total, qt.Equals, len(tg.flows))
	}
}

// A partition lasts for a minute. A caller whose packets arrive only on the
// other side looks silent and must not be reset; a flow that a target on this
// side lost must be reset within a minute.
func TestSilenceDuringAPartition(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
	flows := openMany(x, 60)
	x.advance(time.Minute)
	for _, vm := range x.vms {
		x.routers[vm.ID].SetView(x.now, &baobabstep.View{Self: vm.ID, Members: x.vms, ChangedAt: x.now, Unsure: true})
	}
	far, dead := flows[3], flows[7]
	x.lose = func(_ baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
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
