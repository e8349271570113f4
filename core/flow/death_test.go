package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// The caller's data goes unanswered for a moment, then the flow goes on. Both
// VMs with the record die at once; the next owners know nothing. If they
// answered "unknown flow", a flow that its target still holds would break, so
// they ask the targets, and the one that holds it rebuilds the record.
func TestBothCopiesDie(t *testing.T) {
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
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

// A caller that uses a flow which no target has must hear so, within seconds:
// it would otherwise wait for data for good.
func TestUnknownFlowIsReset(t *testing.T) {
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
	c := x.caller(1)
	qt.Assert(t, x.say(c, "hello", 0), qt.IsFalse)
	qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeUnknownFlow)
}

// The caller repeats its open until it is told. The holder picked a target and
// died before the packet reached the second copy, so no target has seen the
// open. The next holder picks one, and only that one may hold the flow.
func TestHolderDiesBetweenRecordAndReplica(t *testing.T) {
	x := newExchange(t, fleet{vms: 18, dcs: 3, targets: 6})
	for n := range 30 {
		key := x.caller(n).key
		o := x.owners(key, x.alive())
		x.lose = func(from baobabstep.VMID, s *baobabstep.Send) bool {
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
