package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against sending the whole list to a VM that missed more changes than one message holds.
func TestManyMissedChangesAreRepairedInSteps(t *testing.T) {
	f := newDataCentreFleet(t, 40, 3000)
	list := benchRegistrations(3000)
	lagging := f.nodes[7].options.Settings.PeerAddress
	f.drop = func(x modelMessage) bool { return x.to == lagging }
	for i := range 6 {
		f.drainTargets(uint64(i+2), list[150*i:150*(i+1)])
		f.deliver()
	}
	f.drop = nil
	f.runUntilEqual(20)
	qt.Assert(t, f.outdatedVMs(), qt.Equals, 0)
	qt.Assert(t, f.kinds["section"]+f.kinds["piece"], qt.Equals, 0)
}
