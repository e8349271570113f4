package flow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// A target forgets one flow and its caller asks every second. Evidence that the
// path works used to be asked for only after the first probe was in vain, which
// cost the caller one more interval before its reset.
func TestForgottenFlowNeedsThreeProbes(t *testing.T) {
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 6})
	flows := openMany(x, 60)
	x.advance(time.Minute)
	forgotten, probes := flows[7], 0
	x.lose = func(_ baobabstep.VMID, s *baobabstep.Send) bool {
		lost := s.Dest == baobabstep.DestTarget && s.Packet.Flow == forgotten.key && s.Packet.Kind != baobabstep.KindReset
		if lost && s.Packet.Kind == baobabstep.KindProbe {
			probes++
		}
		return lost
	}
	for range 10 {
		x.useAll(flows)
		x.advance(time.Second)
	}
	qt.Assert(t, forgotten.reset, qt.Equals, baobabstep.CodeFlowSilent)
	qt.Assert(t, probes, qt.Equals, 3)
}
