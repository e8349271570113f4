package flow_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// A VM is paused while an open is queued in its socket as the second copy.
// Meanwhile the open's target begins to drain. When the VM resumes, it must
// drop the open, which the caller has repeated long ago, rather than send new
// work to a leaving target.
func TestPausedVMDropsQueuedOpen(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
	o := x.owners(x.key(1), x.vms)
	x.routers[o.Second].SetPaused(x.now, true)
	late := 0
	x.lose = func(from baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
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
