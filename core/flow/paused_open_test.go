package flow_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// A VM is paused with opens in its socket that came by way of it as the second
// copy. The target of one begins to drain meanwhile, and all VMs hear of it. The
// VM wakes up and used to send the open on: new work for a target that was
// leaving for as long as the pause was. The caller has repeated its open long
// ago, so the old one is dropped.
func TestPausedVMSendsNoOldOpen(t *testing.T) {
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
	o := x.owners(x.key(1), x.vms)
	x.routers[o.Second].SetPaused(x.now, true)
	late := 0
	x.lose = func(from baobabstep.VMID, s *baobabstep.Send) bool {
		if from == o.Second && s.Dest == baobabstep.DestTarget && s.Packet.Kind == baobabstep.KindOpen {
			late++
		}
		return false
	}
	x.sendOpen(1, o.Holder)
	qt.Assert(t, late, qt.Equals, 0)
	c := x.open(1)
	x.routers[o.Second].SetPaused(x.now, false)
	x.assertAlive(c)
	qt.Assert(t, late, qt.Equals, 0)
}
