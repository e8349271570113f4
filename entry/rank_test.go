package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// newRankedNode returns a VM that hears one other, of a higher identifier, and runs since a minute.
func newRankedNode(t testing.TB, other *heartbeat.Heartbeat) *Node {
	t.Helper()
	n := newQuietNode(new(countingMessages))
	n.options.Settings.Token.DrainMS, n.options.Settings.Token.ConfigApplyMS = 5000, 5000
	n.startedAt = benchEpoch.Add(-time.Minute)
	n.peerTable = heartbeat.New(n.startedAt, heartbeat.Options{Self: 1, DataCentre: "dc-0"})
	other.From, other.DataCentre, other.Incarnation, other.Sequence = 2, "dc-0", 1, 1
	n.handleHeartbeat(benchEpoch, peerAddress(5), other)
	return n
}

func (n *Node) readStore(t testing.TB, kinds ...heartbeat.Kind) {
	t.Helper()
	for _, kind := range kinds {
		n.storeRead[kind].Store(true)
	}
}

// Guards against a fleet that nobody watches the store for: a VM that has just started came first by its identifier
// and could not watch, as it had read a replica only.
func TestVMThatHasNotReadStoreComesLast(t *testing.T) {
	n := newRankedNode(t, new(heartbeat.Heartbeat))
	qt.Check(t, n.rank(benchEpoch).First(), qt.IsFalse, qt.Commentf("the other VM has read the store"))
	n.readStore(t, heartbeat.Targets)
	qt.Check(t, n.rank(benchEpoch).First(), qt.IsFalse, qt.Commentf("the desired state was not read"))
	n.readStore(t, heartbeat.Routes)
	qt.Check(t, n.rank(benchEpoch).First(), qt.IsTrue)

	alike := newRankedNode(t, &heartbeat.Heartbeat{StoreUnreadable: true})
	qt.Check(t, alike.rank(benchEpoch).First(), qt.IsTrue, qt.Commentf("neither has read the store"))
}

// Guards against a first VM that waits with its first read of the store, and so with its watch, until
// its registrations are old.
func TestFirstVMReadsAtOnceToWatch(t *testing.T) {
	n := newRankedNode(t, &heartbeat.Heartbeat{StoreUnreadable: true})
	q := n.syncer.targetsQuery()
	err := n.updateTargets(benchRegistrations(2), baobabstep.Revision{Number: 5}, origin{source: sourcePeer, confirmedAt: benchEpoch})
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, n.syncer.dueAt(benchEpoch, q), qt.Equals, benchEpoch)
	q.advanceRevision(baobabstep.Revision{Number: 5})
	qt.Check(t, n.syncer.dueAt(benchEpoch, q).After(benchEpoch), qt.IsTrue)

	fresh := newRankedNode(t, &heartbeat.Heartbeat{StoreUnreadable: true})
	err = fresh.updateTargets(benchRegistrations(2), baobabstep.Revision{Number: 5}, fresh.syncer.readOrigin(baobabstep.Recent, benchEpoch, 5*time.Second))
	qt.Assert(t, err, qt.IsNil)
	fresh.startedAt = benchEpoch.Add(-rankSettleTime)
	qt.Check(t, fresh.syncer.dueAt(benchEpoch, fresh.syncer.targetsQuery()).After(benchEpoch), qt.IsTrue, qt.Commentf("all VMs of a starting fleet would read"))
}
