package target

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// A target drains, all VMs hear of it, and the updates stop. Seconds later a VM
// joins, becomes dispatcher, and would hand new work to the draining target: it
// has not probed it yet. The next news after the join has to tell it.
func TestJoinedVMHearsOfLeavingTargets(t *testing.T) {
	s := testService(300, dataCentre)
	a := newRegistry(t, 0)
	a.SetConfig(epoch, testConfig(s))
	a.SetView(epoch, testView(3, dataCentre))
	leaving := s.Targets[0].ID
	a.Leaving(epoch, leaving, SourceTarget, true)
	for range updateSpread {
		a.News(epoch, 1000)
	}

	joined := newRegistry(t, 3)
	joined.SetConfig(epoch, testConfig(s))
	a.SetView(epoch, testView(4, dataCentre))
	joined.SetView(epoch, testView(4, dataCentre))
	news := a.News(epoch, 1000)
	qt.Assert(t, news, qt.IsNotNil)
	qt.Assert(t, joined.Learn(epoch, vmID(0), news), qt.IsNil)
	for _, state := range joined.Table(epoch) {
		qt.Assert(t, state.Usable, qt.Equals, state.Target != leaving)
	}
	qt.Assert(t, pickable(joined, epoch, &s)[leaving], qt.Equals, 0)
}
