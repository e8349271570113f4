package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// Guards against fleets in which all VMs read all registrations at the same time because those
// that they hold are old.
func TestReadsOfOldTargetsAreStaggered(t *testing.T) {
	const vms, targets = 200, 10_000
	n := newQuietNode(new(countingMessages))
	n.options.Settings.Token.DrainMS, n.options.Settings.Token.LinkMbps = 8000, 20
	_, _, err := n.cache.updateTargets(benchEpoch, benchRegistrations(targets), baobabstep.Revision{Number: 1}, origin{source: sourceStore, confirmedAt: benchEpoch})
	qt.Assert(t, err, qt.IsNil)
	q := n.syncer.targetsQuery()
	readTime := n.syncer.fullReadTime()
	qt.Assert(t, readTime > time.Second, qt.IsTrue, qt.Commentf("%v", readTime))
	due := map[time.Duration]int{}
	for rank := range vms {
		n.peerTable = heartbeat.New(benchEpoch, heartbeat.Options{Self: 1 << 40, DataCentre: "dc-0"})
		for vm := range rank {
			n.peerTable.Handle(benchEpoch, peerAddress(vm+1), &heartbeat.Heartbeat{From: baobabstep.VMID(vm + 1), DataCentre: "dc-0", Incarnation: 1, Sequence: 1})
		}
		due[n.syncer.dueAt(benchEpoch, q).Sub(benchEpoch)/readTime]++
		if rank == vms-1 {
			isolated := benchEpoch.Add(isolationTimeout)
			latest := benchEpoch.Add(time.Duration(maxReadAge * float64(q.applyBound)))
			qt.Assert(t, n.syncer.dueAt(isolated, q).After(latest), qt.IsFalse, qt.Commentf("a VM that hears no other waits for none"))
		}
	}
	for slot, reads := range due {
		qt.Assert(t, reads <= 2*parallelReads, qt.IsTrue, qt.Commentf("%d reads begin in read time %d", reads, slot))
	}
}

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
