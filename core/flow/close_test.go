package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// A VM that ends thousands of flows a second has a control budget of a few
// kilobytes a second. A close must reach the target and both owners without
// any extra packet, whichever VM and end it comes from.
func TestCloseSendsNoExtraMessages(t *testing.T) {
	for _, fromTarget := range []bool{false, true} {
		t.Run(map[bool]string{false: "caller", true: "target"}[fromTarget], func(t *testing.T) {
			x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
			flows := openMany(x, 60)
			x.assertAlive(flows...)
			extra := 0
			x.lose = func(_ baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
				if s.Dest == baobabstep.DestVM && s.Packet.Kind != baobabstep.KindClose {
					extra++
				}
				return false
			}
			for i, c := range flows {
				p := baobabstep.Packet{Kind: baobabstep.KindClose, Flow: c.key, FromTarget: fromTarget}
				if fromTarget {
					p.Target, p.Service = c.bound, x.config.Services[0].ID
					delete(x.targets[c.bound].flows, c.key)
				}
				x.receive(x.vms[i%9].ID, p)
				x.run()
				qt.Check(t, c.closed, qt.Equals, fromTarget)
				c.silent = true
			}
			qt.Assert(t, extra, qt.Equals, 0)
			for _, c := range flows {
				x.assertNoTargetHolds(c)
			}
			x.advance(40 * time.Second) // tombstones expire
			x.assertEmpty()
		})
	}
}

// A close is lost with a VM on its path that died undetected. The target must
// not keep the flow: the remaining owner either finds that the caller is gone,
// or has the close already and repeats it.
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
			x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
			flows := openMany(x, 60)
			x.assertAlive(flows...)
			ended, staying := flows[0], flows[1:]
			o := x.owners(ended.key, x.vms)
			x.kill(test.dies(o.Holder, o.Second))
			x.closeAll([]*fakeCaller{ended})
			x.setViews(x.alive())
			x.advance(time.Minute)
			x.sendData(staying[0], "others go on", 0)
			x.advance(time.Minute)
			x.assertNoTargetHolds(ended)
			x.assertAlive(staying...)
		})
	}
}
