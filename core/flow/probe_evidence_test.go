package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// A target loses a flow whose caller sends every second. Evidence of the path
// must be requested with the first probe: requesting it only after that probe
// went unanswered delays the caller's reset by one probe interval.
func TestForgottenFlowNeedsThreeProbes(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
	flows := openMany(x, 60)
	x.advance(time.Minute)
	forgotten, probes := flows[7], 0
	x.lose = func(_ baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
		lost := s.Dest == baobabstep.DestTarget && s.Packet.Flow == forgotten.key && s.Packet.Kind != baobabstep.KindReset
		if lost && s.Packet.Kind == baobabstep.KindProbe {
			probes++
		}
		return lost
	}
	for range 10 {
		x.sendDataOnAll(flows)
		x.advance(time.Second)
	}
	qt.Assert(t, forgotten.reset, qt.Equals, baobabstep.CodeFlowSilent)
	qt.Assert(t, probes, qt.Equals, 3)
}
