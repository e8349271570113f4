package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// Guards against VMs that confirm each other's registrations although nobody reads the store: with each
// heartbeat they would grow younger by the time that it took.
func TestHeartbeatsDoNotRenewConfirmation(t *testing.T) {
	const delay, rounds = 150 * time.Millisecond, 40
	f := newDataCentreFleet(t, 5, 10)
	reader := f.nodes[0]
	f.now = f.now.Add(time.Second)
	readAt := f.now
	err := reader.updateTargets(benchRegistrations(10), baobabstep.Revision{Number: 2}, reader.syncer.readOrigin(baobabstep.Newest, readAt, time.Second))
	qt.Assert(t, err, qt.IsNil)
	for range rounds {
		for _, n := range f.nodes {
			n.tickHeartbeats(f.now)
		}
		f.now = f.now.Add(delay)
		f.deliver()
		f.now = f.now.Add(50 * time.Millisecond)
	}
	for i, n := range f.nodes {
		ahead := n.cache.state(heartbeat.Targets).confirmedAt.Sub(readAt)
		qt.Check(t, ahead <= delay, qt.IsTrue, qt.Commentf("VM %d counts its registrations as read %v after they were", i, ahead))
	}
}
