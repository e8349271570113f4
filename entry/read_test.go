package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep/core/heartbeat"
)

// Guards against VMs that confirm to each other what they only know from a replica, and then all
// read the store at once.
func TestReplicasDoNotConfirmEachOther(t *testing.T) {
	f := newDataCentreFleet(t, 5, 10)
	for i, n := range f.nodes {
		start := f.now.Add(time.Duration(i) * time.Millisecond)
		state := &n.cache.states[heartbeat.Targets]
		state.confirmedAt, state.unconfirmed = start.Add(-f.nodes[0].options.Settings.Token.Drain()), true
	}
	for range 5 {
		f.now = f.now.Add(200 * time.Millisecond)
		for _, n := range f.nodes {
			n.tickHeartbeats(f.now)
		}
		f.deliver()
	}
	for i, n := range f.nodes {
		qt.Assert(t, n.cache.state(heartbeat.Targets).unconfirmed, qt.IsTrue, qt.Commentf("VM %d", i))
	}
}
