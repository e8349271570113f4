package flow

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// With thousands of target changes a day, a VM that runs for months must drop
// unused targets from its registry, but keep a target that a flow still uses.
func TestUnusedTargetsAreDropped(t *testing.T) {
	reg := newRegistry()
	reg.nextSweep, reg.sweepEvery = 8, 8
	const svc = baobabstep.ServiceID(1)
	id := func(n int) baobabstep.TargetID { return baobabstep.MakeTargetID(fmt.Sprint(n)) }
	for n := range 200 {
		c := &baobabstep.Config{Services: []baobabstep.Service{{ID: svc, Targets: []baobabstep.Target{{ID: id(n), Service: svc}}}}}
		c.Index()
		reg.loadConfig(c)
		if n == 0 {
			reg.target(0).flows.Add(1)
		}
	}
	kept := 0
	reg.targetsOf(svc, func(*target) { kept++ })
	qt.Assert(t, kept <= 2+2*8, qt.IsTrue, qt.Commentf("got %d targets", kept))
	_, found := reg.findTarget(id(0), svc)
	qt.Assert(t, found, qt.IsTrue)
	_, found = reg.findTarget(id(199), svc)
	qt.Assert(t, found, qt.IsTrue)
	_, found = reg.findTarget(id(20), svc)
	qt.Assert(t, found, qt.IsFalse)
}
