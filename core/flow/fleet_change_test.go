package flow_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// A target loses one flow of many while its caller keeps sending, and the
// fleet changes at that moment: a VM dies, or the flow's holder resumes after
// a pause. Unanswered probes of targets must count before Options.GracePeriod
// (10 s) is over, since the caller times out after 8 s and then does not know
// that it may reconnect at once.
func TestForgottenFlowIsResetWhileTheFleetChanges(t *testing.T) {
	t.Parallel()
	others := func(x *testNetwork, id baobabstep.VMID) []baobabstep.VM {
		return slices.DeleteFunc(slices.Clone(x.vms), func(vm baobabstep.VM) bool { return vm.ID == id })
	}
	tests := []struct {
		name   string
		change func(x *testNetwork, holder, second baobabstep.VMID)
	}{
		{"the holder dies", func(x *testNetwork, holder, _ baobabstep.VMID) {
			x.kill(holder)
			x.setViews(others(x, holder))
		}},
		{"the second copy dies", func(x *testNetwork, _, second baobabstep.VMID) {
			x.kill(second)
			x.setViews(others(x, second))
		}},
		{"the holder's pause ends", func(x *testNetwork, holder, _ baobabstep.VMID) {
			x.setViews(others(x, holder))
			x.routers[holder].SetPaused(x.now, true)
			x.setViews(x.vms)
			x.routers[holder].SetPaused(x.now, false)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
			flows := openMany(x, 60)
			x.advance(time.Minute)
			forgotten := flows[7]
			x.lose = func(_ baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
				return s.Dest == baobabstep.DestTarget && s.Packet.Flow == forgotten.key && s.Packet.Kind != baobabstep.KindReset
			}
			o := x.owners(forgotten.key, x.vms)
			test.change(x, o.Holder, o.Second)
			for range 7 {
				x.sendDataOnAll(flows)
				x.advance(time.Second)
			}
			x.lose = nil
			qt.Assert(t, forgotten.reset, qt.Equals, baobabstep.CodeFlowSilent)
			x.assertAlive(flows[:7]...)
			x.assertAlive(flows[8:]...)
		})
	}
}
