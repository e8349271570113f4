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

// Guards against a change that counts as fresher by the time for which it waited for the one before it.
func TestWaitingChangeKeepsItsAge(t *testing.T) {
	const waited = 1500 * time.Millisecond
	f := newDataCentreFleet(t, 2, 20)
	n, list := f.nodes[1], benchRegistrations(20)
	changes := changesTo(t, n, f.now, list[:2], list[2:4])
	for i, c := range changes {
		c.Result.AgeMS, c.Result.Read = 0, heartbeat.ReadID(i+1)
	}
	sender, sentAt := f.nodes[0].options.Settings.PeerAddress, f.now
	n.handleChange(sentAt, sender, changes[1])
	n.handleChange(sentAt.Add(waited), sender, changes[0])
	held := n.cache.state(heartbeat.Targets)
	qt.Assert(t, held.revision, qt.Equals, changes[1].Result.Revision())
	qt.Check(t, n.cache.reads.note(2, sentAt.Add(waited)), qt.Equals, sentAt)
	qt.Check(t, held.confirmedAt.After(sentAt.Add(waited)), qt.IsFalse)
}
