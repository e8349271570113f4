package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// Thousands of flows end each second on a VM that may spend a few kilobytes a
// second on control. A close has to reach the target and both owners without a
// packet that carries nothing else, wherever it enters, from either end.
func TestCloseCostsNoMessageOfItsOwn(t *testing.T) {
	for _, fromTarget := range []bool{false, true} {
		t.Run(map[bool]string{false: "caller", true: "target"}[fromTarget], func(t *testing.T) {
			x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
			flows := openMany(x, 60)
			x.assertAlive(flows...)
			own := 0
			x.lose = func(_ baobabstep.VMID, s *baobabstep.Send) bool {
				if s.Dest == baobabstep.DestVM && s.Packet.Kind != baobabstep.KindClose {
					own++
				}
				return false
			}
			for i, c := range flows {
				p := baobabstep.Packet{Kind: baobabstep.KindClose, Flow: c.key, FromTarget: fromTarget}
				if fromTarget {
					p.Target, p.Service = c.bound, x.config.Services[0].ID
					delete(x.targets[c.bound].flows, c.key)
				}
				x.enter(x.vms[i%9].ID, p)
				x.run()
				qt.Check(t, c.closed, qt.Equals, fromTarget)
				c.silent = true
			}
			qt.Assert(t, own, qt.Equals, 0)
			for _, c := range flows {
				x.assertNobodyHolds(c)
			}
			x.advance(40 * time.Second) // the marks against late packets go
			x.assertEmpty()
		})
	}
}

// A close is under way when a VM that it passes dies unseen, so it is lost with
// that VM. The target must not hold the flow for good: who is left of the two
// owners finds that the caller is gone, or has it closed already.
func TestCloseLostWithAnOwner(t *testing.T) {
	tests := []struct {
		name string
		dies func(holder, second baobabstep.VMID) baobabstep.VMID
	}{
		{"holder", func(holder, _ baobabstep.VMID) baobabstep.VMID { return holder }},
		{"second copy", func(_, second baobabstep.VMID) baobabstep.VMID { return second }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
			flows := openMany(x, 60)
			x.assertAlive(flows...)
			ended, staying := flows[0], flows[1:]
			o := x.owners(ended.key, x.vms)
			x.kill(test.dies(o.Holder, o.Second))
			x.closeAll([]*fakeCaller{ended})
			x.setViews(x.alive())
			x.advance(time.Minute)
			x.say(staying[0], "others go on", 0)
			x.advance(time.Minute)
			x.assertNobodyHolds(ended)
			x.assertAlive(staying...)
		})
	}
}
