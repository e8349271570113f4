package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// pagedDirectory is a store whose registrations change while their pages are read, and whose
// watches return a limited number of changes.
type pagedDirectory struct {
	baobabstep.Directory
	read    baobabstep.RegistrationList
	changes []baobabstep.RegistrationChange
	limit   int
	watches int
}

func (d *pagedDirectory) Registrations(context.Context, baobabstep.Freshness) (*baobabstep.RegistrationList, error) {
	list := d.read
	return &list, nil
}

func (d *pagedDirectory) WatchRegistrations(_ context.Context, after baobabstep.Revision, wait time.Duration) (list []baobabstep.RegistrationChange, next baobabstep.Revision, err error) {
	d.watches++
	next = after
	for _, c := range d.changes {
		if after.Before(c.Revision) && len(list) < d.limit {
			list, next = append(list, c), c.Revision
		}
	}
	if len(list) == 0 {
		time.Sleep(wait)
	}
	return list, next, nil
}

// registrationChanges returns changes that each replace one registration, from revision first on.
func registrationChanges(first uint64, list []baobabstep.Registration) (changes []baobabstep.RegistrationChange) {
	for i, r := range list {
		r.Draining = true
		changes = append(changes, baobabstep.RegistrationChange{Registration: r, Revision: baobabstep.Revision{Number: first + uint64(i)}})
	}
	return changes
}

// Guards against registrations of no single revision, of which no peer can confirm or change
// any, when targets write between two pages of a read.
func TestReadIsOfOneRevision(t *testing.T) {
	all := benchRegistrations(40)
	d := &pagedDirectory{limit: 4, changes: registrationChanges(11, all[:20])}
	d.changes = append(d.changes, baobabstep.RegistrationChange{Registration: baobabstep.Registration{ID: all[30].ID}, Removed: true, Revision: baobabstep.Revision{Number: 31}})
	d.read = baobabstep.RegistrationList{Oldest: baobabstep.Revision{Number: 10}, Newest: baobabstep.Revision{Number: 25}}
	for i, r := range all {
		r.Draining = i < 15 && i%2 == 0 // the pages of the others were read before they changed
		d.read.Registrations = append(d.read.Registrations, r)
	}
	n := newQuietNode(new(countingMessages))
	n.syncer.directory = d
	revision, err := n.syncer.readTargets(t.Context(), baobabstep.Newest)
	qt.Assert(t, err, qt.IsNil)
	want, err := heartbeat.NewRegistrations(all)
	qt.Assert(t, err, qt.IsNil)
	for _, c := range d.changes {
		if revision.Before(c.Revision) {
			break
		}
		qt.Assert(t, want.Apply(heartbeat.Difference{Put: []baobabstep.Registration{c.Registration}}), qt.IsNil)
	}
	qt.Assert(t, revision.Before(d.read.Newest), qt.IsFalse)
	qt.Assert(t, n.cache.state(heartbeat.Targets).revision, qt.Equals, revision)
	qt.Assert(t, n.cache.state(heartbeat.Targets).sum, qt.Equals, want.Checksum())
}

// Guards against a watch that falls behind because it pauses after each of many limited results.
func TestWatchKeepsUpWithManyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const changes = 4000
		list := benchRegistrations(changes)
		d := &pagedDirectory{limit: 500, changes: registrationChanges(2, list)}
		n := newQuietNode(new(countingMessages))
		n.clock, n.syncer.directory = bubbleClock{}, d
		n.startedAt = time.Now().Add(-time.Minute)
		n.peerTable = heartbeat.New(n.startedAt, heartbeat.Options{Self: 1})
		_, _, err := n.cache.updateTargets(time.Now(), list, baobabstep.Revision{Number: 1}, origin{source: sourceStore, confirmedAt: time.Now()})
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), targetsBatchDelay)
		defer cancel()
		q := n.syncer.targetsQuery()
		q.advanceRevision(baobabstep.Revision{Number: 1})
		qt.Assert(t, n.syncer.watchLoop(ctx, q), qt.IsNil)
		qt.Assert(t, n.cache.state(heartbeat.Targets).revision.Number, qt.Equals, uint64(changes+1))
	})
}

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

// Guards against VMs that all read the store while a peer holds what they lack.
func TestPeerWithNewerTargetsComesBeforeStore(t *testing.T) {
	n := newQuietNode(new(countingMessages))
	n.options.Settings.Token.DrainMS = 8000
	now := benchEpoch.Add(20 * time.Second)
	_, _, err := n.cache.updateTargets(benchEpoch, benchRegistrations(1000), baobabstep.Revision{Number: 5}, origin{source: sourceStore, confirmedAt: benchEpoch})
	qt.Assert(t, err, qt.IsNil)
	q := n.syncer.targetsQuery()
	dueWith := func(revision uint64, age time.Duration) time.Time {
		n.peerTable = heartbeat.New(benchEpoch, heartbeat.Options{Self: 1 << 40, DataCentre: "dc-0"})
		h := &heartbeat.Heartbeat{From: 1, DataCentre: "dc-0", Incarnation: 1, Sequence: 1}
		h.Versions[heartbeat.Targets] = heartbeat.MakeVersionInfo(baobabstep.Revision{Number: revision}, 99, age)
		n.peerTable.Handle(now, peerAddress(1), h)
		return n.syncer.dueAt(now, q)
	}
	without := dueWith(4, 0)
	qt.Assert(t, dueWith(6, time.Second), qt.Equals, without.Add(time.Duration(peerShare*float64(q.applyBound))))
	qt.Assert(t, dueWith(6, q.applyBound+time.Millisecond), qt.Equals, without, qt.Commentf("the peer's registrations are too old themselves"))
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
