package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/core/heartbeat"
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

// Guards against a VM that starts while registrations change and whose sections, of a different
// revision in each response, never become complete.
func TestStartWhileRegistrationsChange(t *testing.T) {
	const targets, steps, changedPerStep = 6000, 40, 120
	f := newDataCentreFleet(t, 10, targets)
	list := benchRegistrations(targets)
	f.restart(9, list[:100])
	n := f.nodes[9]
	complete := 0
	for i := range steps {
		f.drainTargets(uint64(i+2), list[changedPerStep*i:changedPerStep*(i+1)])
		f.runUntilEqual(1)
		if held := n.cache.state(heartbeat.Targets); held.isKnown() {
			complete++
		}
	}
	qt.Assert(t, complete > steps/2, qt.IsTrue, qt.Commentf("complete in %d of %d steps", complete, steps))
}
