package flow_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// Both VMs with a flow's record die at once, and the new owners have none. The
// target still has the flow, so the owners must not answer "unknown flow" but
// probe the targets and rebuild the record.
func TestBothCopiesDie(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
	var flows []*fakeCaller
	for n := range 100 {
		flows = append(flows, x.open(n))
	}
	for _, c := range flows[:20] {
		o := x.owners(c.key, x.alive())
		if o.Second == 0 {
			continue
		}
		x.kill(o.Holder, o.Second)
		x.setViews(x.alive())
		x.assertAlive(flows...)
		break
	}
	qt.Assert(t, x.events("recovered_from_target") >= 1, qt.IsTrue)
}

// A caller that uses a flow which no target has must get a reset within
// seconds; otherwise it would wait for data forever.
func TestUnknownFlowIsReset(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
	c := x.caller(1)
	qt.Assert(t, x.sendData(c, "hello", 0), qt.IsFalse)
	qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeUnknownFlow)
}

// The holder picks a target and dies before the open reaches the second copy,
// so no target has seen it. The caller repeats the open, the next holder picks
// a target, and only that one may have the flow.
func TestHolderDiesBetweenRecordAndReplica(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 18, dcs: 3, targets: 6})
	for n := range 30 {
		key := x.caller(n).key
		o := x.owners(key, x.alive())
		x.lose = func(from baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
			return from == o.Holder && s.Packet.Route.Purpose == baobabstep.PurposeReplicate
		}
		c := x.sendOpen(n, 0)
		qt.Assert(t, c.opened, qt.Equals, baobabstep.TargetID(0))
		x.lose = nil
		if n%10 == 0 {
			x.kill(o.Holder)
			x.setViews(x.alive())
		}
		x.assertAlive(x.open(n))
		x.advance(time.Second)
	}
}

// The second copy's VM restarts undetected and loses its records; then the
// holder dies. The holder must have noticed the new incarnation and replicated
// its idle flows again, or no VM has them.
func TestSecondCopyRestartsUnseen(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 3, dcs: 1, targets: 6})
	flows := openMany(x, 60)
	x.advance(20 * time.Second)
	restarted, dies := x.vms[0].ID, x.vms[1].ID
	x.restart(restarted)
	x.advance(20 * time.Second)
	x.kill(dies)
	x.setViews(x.alive())
	x.assertAlive(flows...)
	qt.Assert(t, x.events("target_search"), qt.Equals, uint64(0))
}

// The notice of a flow's end is lost between second copy and holder. The
// holder's record must be removed all the same: with thousands of flows a
// second even rare losses would fill the table. The caller is gone and answers
// no probe, while callers of other flows do.
func TestRecordOfEndedFlowIsRemoved(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 3, dcs: 1, targets: 6})
	flows := openMany(x, 60)
	x.assertAlive(flows...)
	flows, staying := flows[:30], flows[30:]
	x.lose = func(_ baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
		return s.Packet.Route.Purpose == baobabstep.PurposeForget
	}
	x.closeAll(flows)
	x.lose = nil
	x.advance(time.Minute)
	for _, c := range flows {
		x.assertNoTargetHolds(c)
	}
	x.assertAlive(staying...)
	x.closeAll(staying)
	x.advance(time.Minute)
	x.assertEmpty()
}

// assertEmpty checks that no router has a record of any kind.
func (x *testNetwork) assertEmpty() {
	x.t.Helper()
	for _, r := range x.routers {
		for state, n := range r.Stats().Flows {
			if n != 0 {
				x.t.Fatalf("got %d records %s, want none", n, state)
			}
		}
	}
}

// closeAll closes flows from the caller side.
func (x *testNetwork) closeAll(flows []*fakeCaller) {
	for _, c := range flows {
		x.receive(0, baobabstep.Packet{Kind: baobabstep.KindClose, Flow: c.key})
		x.run()
		c.silent = true // a caller that closed its flow answers no probe of it
	}
}

// A target accepted a flow and the caller knows, but the VMs that knew have
// died. The only record left is still opening, at a VM that is no owner, and
// the target is no longer configured, so the owners cannot probe it. The
// record must reach them before it expires.
func TestLastRecordIsStillOpening(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 3, dcs: 1, targets: 3})
	old := slices.Clone(x.vms)
	last := old[0].ID
	s := x.config.Services[0]
	x.setConfig(x.nextConfig(func(c *baobabstep.Config) { c.Services[0].Targets = without(s.Targets, 0) }))
	for i := 3; i < 12; i++ {
		x.addVM(i, 1)
	}
	x.setViews(x.vms)
	n := 0
	for o := x.owners(x.key(n), x.vms); slices.ContainsFunc(old, func(vm baobabstep.VM) bool { return o.Has(vm.ID) }); n++ {
		o = x.owners(x.key(n+1), x.vms)
	}
	c := x.caller(n)
	key := c.key
	x.targets[s.Targets[0].ID].flows[key] = 0
	x.routers[last].Handle(x.now, &baobabstep.Packet{Kind: baobabstep.KindProbe, Flow: key, Route: baobabstep.Route{
		Purpose: baobabstep.PurposeLearn, Record: baobabstep.Record{
			Target: s.Targets[0].ID, Service: s.ID, Address: s.Targets[0].Address, Version: 1, Attempt: 1,
		},
	}}, &baobabstep.Outbox{})
	x.advance(30 * time.Second)
	x.assertAlive(c)
}
