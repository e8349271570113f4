package entry

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// changesTo returns the changes that lead from the content of a VM through batches of leaving
// targets, one revision each, without applying them there.
func changesTo(t *testing.T, n *Node, now time.Time, batches ...[]baobabstep.Registration) (changes []*heartbeat.Change) {
	t.Helper()
	source := newQuietNode(new(countingMessages))
	held := n.cache.state(heartbeat.Targets)
	_, _, err := source.cache.updateTargets(now, n.cache.targets.List(), held.revision, origin{source: sourceStore, confirmedAt: now})
	qt.Assert(t, err, qt.IsNil)
	for i, list := range batches {
		revision := baobabstep.Revision{Number: held.revision.Number + uint64(i) + 1}
		_, c, err := source.cache.applyTargetChanges(now, registrationChanges(revision.Number, list), revision)
		qt.Assert(t, err, qt.IsNil)
		c.Origin = peerAddress(0)
		changes = append(changes, c)
	}
	return changes
}

// Guards against a change that is lost, with all later ones, because it overtook another.
func TestChangeThatOvertookAnotherIsApplied(t *testing.T) {
	f := newDataCentreFleet(t, 3, 100)
	list := benchRegistrations(100)
	n := f.nodes[2]
	changes := changesTo(t, n, f.now, list[:5], list[5:8], list[8:12])
	for _, i := range []int{2, 1, 0} {
		n.handleChange(f.now, f.nodes[1].options.Settings.PeerAddress, changes[i])
	}
	qt.Assert(t, n.cache.state(heartbeat.Targets).revision, qt.Equals, changes[2].Result.Revision())
	qt.Assert(t, n.cache.state(heartbeat.Targets).sum, qt.Equals, changes[2].Result.Checksum)
}

// Guards against VMs that learn of no change because the one that relays it to them missed an
// earlier one.
func TestVMThatMissedChangeRelaysTheNext(t *testing.T) {
	f := newDataCentreFleet(t, 40, 1000)
	list := benchRegistrations(1000)
	inner := f.nodes[1].options.Settings.PeerAddress // a child of the first VM with children of its own
	f.drop = func(x modelMessage) bool { return x.to == inner }
	f.drainTargets(2, list[:150])
	f.deliver()
	f.drop = nil
	for _, n := range f.nodes[2:] { // only the inner VM lacks the first change
		held := f.nodes[0].cache.state(heartbeat.Targets)
		if n.cache.state(heartbeat.Targets).sum != held.sum {
			_, _, err := n.cache.updateTargets(f.now, f.nodes[0].cache.targets.List(), held.revision, origin{source: sourceStore, confirmedAt: f.now})
			qt.Assert(t, err, qt.IsNil)
		}
	}
	qt.Assert(t, f.outdatedVMs(), qt.Equals, 1)
	f.drainTargets(3, list[150:300])
	f.deliver()
	qt.Assert(t, f.outdatedVMs(), qt.Equals, 1)
}

// assertAvailable checks which targets of a list get new flows.
func assertAvailable(t *testing.T, p *placementLog, list []baobabstep.Registration, want func(i int) bool) {
	t.Helper()
	for i, r := range list {
		qt.Check(t, p.available[r.ID], qt.Equals, want(i), qt.Commentf("target %d", i))
	}
}

// Guards against new flows to targets that leave or end by a change that does not apply yet, and
// against targets that get none although the newest registrations say that they stay.
func TestLeavingTargetOfWaitingChange(t *testing.T) {
	f := newDataCentreFleet(t, 3, 20)
	list := benchRegistrations(20)
	n := f.nodes[2]
	placement := newPlacementLog()
	placement.SetRegistrations(f.now, list)
	n.cache.router = placement
	changes := changesTo(t, n, f.now, list[:5], list[5:8])
	changes[1].RemovedTargets = []baobabstep.TargetID{list[10].ID}
	n.handleChange(f.now, f.nodes[1].options.Settings.PeerAddress, changes[1])
	qt.Assert(t, n.cache.state(heartbeat.Targets).revision.Number, qt.Equals, uint64(1))
	assertAvailable(t, placement, list, func(i int) bool { return i != 10 && (i < 5 || i >= 8) })
	n.handleChange(f.now, f.nodes[1].options.Settings.PeerAddress, changes[0])
	assertAvailable(t, placement, list, func(i int) bool { return i != 10 && i >= 8 })
	newer := list[15]
	newer.Slots++
	revision := baobabstep.Revision{Number: changes[1].Result.Number + 1}
	_, _, err := n.cache.applyTargetChanges(f.now, []baobabstep.RegistrationChange{{Registration: newer, Revision: revision}}, revision)
	qt.Assert(t, err, qt.IsNil)
	assertAvailable(t, placement, list, func(i int) bool { return i >= 5 })
}

// Guards against new flows to targets that leave by a change that waits, because older registrations, in
// which they are ready, arrive after it.
func TestOlderRegistrationsDoNotEndMarks(t *testing.T) {
	f := newDataCentreFleet(t, 3, 20)
	list := benchRegistrations(20)
	sender := f.nodes[1].options.Settings.PeerAddress
	changes := changesTo(t, f.nodes[2], f.now, list[:5], list[5:8])
	older := origin{source: sourceStore, confirmedAt: f.now}
	for _, test := range []struct {
		name   string
		update func(n *Node, list []baobabstep.Registration)
	}{
		{"a list", func(n *Node, list []baobabstep.Registration) {
			qt.Assert(t, n.updateTargets(list, baobabstep.Revision{Number: changes[1].Result.Number - 1}, older), qt.IsNil)
		}},
		{"a section", func(n *Node, list []baobabstep.Registration) {
			held, err := heartbeat.NewRegistrations(list)
			qt.Assert(t, err, qt.IsNil)
			sections, _ := held.Sections(heartbeat.MakeVersionInfo(baobabstep.Revision{Number: changes[1].Result.Number - 1}, held.Checksum(), 0), n.cache.digests(), 0, 1<<20)
			for _, s := range sections {
				n.handleSection(f.now, sender, s)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newDataCentreFleet(t, 3, 20)
			n, placement := f.nodes[2], newPlacementLog()
			placement.SetRegistrations(f.now, list)
			n.cache.router = placement
			n.handleChange(f.now, sender, changes[1])
			qt.Assert(t, n.cache.state(heartbeat.Targets).revision.Before(changes[1].Result.Revision()), qt.IsTrue)
			between := slices.Clone(list)
			between[6].Slots, between[15].Slots = 9, 9 // a target that is leaving, and another
			test.update(n, between)
			assertAvailable(t, placement, list, func(i int) bool { return i < 5 || i >= 8 })
		})
	}
}

// Guards against flows to a target that restarted and leaves again, while a VM knows its earlier
// incarnation only.
func TestLeavingTargetOfLaterIncarnation(t *testing.T) {
	f := newDataCentreFleet(t, 2, 20)
	list := benchRegistrations(20)
	n, placement := f.nodes[1], newPlacementLog()
	placement.SetRegistrations(f.now, list)
	n.cache.router = placement
	restarted := slices.Clone(list[:1])
	restarted[0].StartedMS = 1000
	changes := changesTo(t, n, f.now, list[3:5], restarted)
	n.handleChange(f.now, f.nodes[0].options.Settings.PeerAddress, changes[1])
	assertAvailable(t, placement, list, func(i int) bool { return i != 0 })
}

// Guards against new flows to targets that leave while a VM that has just started collects the
// list.
func TestLeavingTargetOfIncompleteList(t *testing.T) {
	f := newDataCentreFleet(t, 3, 20)
	list := benchRegistrations(20)
	changes := changesTo(t, f.nodes[1], f.now, list[:5])
	f.restart(2, list[:10])
	n, placement := f.nodes[2], newPlacementLog()
	placement.SetRegistrations(f.now, list[:10])
	n.cache.router = placement
	n.handleChange(f.now, f.nodes[1].options.Settings.PeerAddress, changes[0])
	assertAvailable(t, placement, list[:10], func(i int) bool { return i >= 5 })
}

// Guards against data centres in which only the VM that requested a change from another one
// learns of it.
func TestChangeRequestedElsewhereIsRelayed(t *testing.T) {
	f := newDataCentreFleet(t, 12, 100)
	changes := changesTo(t, f.nodes[0], f.now, benchRegistrations(100)[:5])
	changes[0].Origin = netip.AddrPort{}
	f.nodes[4].handleChange(f.now, peerAddress(1), changes[0])
	f.deliver()
	for i, n := range f.nodes {
		qt.Check(t, n.cache.state(heartbeat.Targets).sum, qt.Equals, changes[0].Result.Checksum, qt.Commentf("VM %d", i))
	}
}

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

// Guards against VMs that request all sections from a peer without the changes that they lack, while
// others hold these.
func TestChangesAreRequestedBeforeSections(t *testing.T) {
	f := newDataCentreFleet(t, 12, 3000)
	list := benchRegistrations(3000)
	lagging := f.nodes[7].options.Settings.PeerAddress
	f.drop = func(x modelMessage) bool { return x.to == lagging }
	f.drainTargets(2, list[:150])
	f.deliver()
	f.drop = nil
	for i := 0; i < 12; i += 2 { // half of the VMs got the newest content by sections
		f.nodes[i].cache.history = heartbeat.History{}
	}
	f.runUntilEqual(14)
	qt.Assert(t, f.outdatedVMs(), qt.Equals, 0)
	qt.Assert(t, f.kinds["section"]+f.kinds["piece"], qt.Equals, 0)
}

// Guards against VMs that all need sections because the VM that reads the store got many changes
// in one read, which no message holds.
func TestManyChangesOfOneReadAreSentAsChanges(t *testing.T) {
	const changed = 1000
	f := newDataCentreFleet(t, 20, 3000)
	newest := benchRegistrations(3000)
	for i := range changed {
		newest[i].Draining = true
	}
	err := f.nodes[0].updateTargets(newest, baobabstep.Revision{Number: 1 + changed}, origin{source: sourceStore, confirmedAt: f.now})
	qt.Assert(t, err, qt.IsNil)
	f.deliver()
	f.runUntilEqual(40)
	qt.Assert(t, f.outdatedVMs(), qt.Equals, 0)
	qt.Assert(t, f.kinds["section"]+f.kinds["piece"], qt.Equals, 0)
}

// Guards against VMs that stay behind because the steps of one read, which the store never held, meet
// the same changes as another VM watched them, or are lost.
func TestStepsOfOneReadMeetWatchedChanges(t *testing.T) {
	const changed = 1000
	f := newDataCentreFleet(t, 20, 3000)
	newest := benchRegistrations(3000)
	var watched []baobabstep.RegistrationChange
	for i := range changed {
		newest[i].Draining = true
		watched = append(watched, baobabstep.RegistrationChange{Registration: newest[i], Revision: baobabstep.Revision{Number: uint64(i + 2)}})
	}
	random := rand.New(rand.NewPCG(1, 2))
	f.drop = func(modelMessage) bool { return random.IntN(50) == 0 }
	err := f.nodes[0].updateTargets(newest, baobabstep.Revision{Number: 1 + changed}, origin{source: sourceStore, confirmedAt: f.now})
	qt.Assert(t, err, qt.IsNil)
	f.runUntilEqual(1)
	for _, batch := range splitChanges(watched[:changed-100], watched[changed-101].Revision) {
		changed, change, err := f.nodes[1].cache.applyTargetChanges(f.now, batch.changes, batch.revision)
		qt.Assert(t, err, qt.IsNil)
		if changed {
			f.nodes[1].publishChange(change, true)
		}
		f.runUntilEqual(1)
	}
	f.runUntilEqual(60)
	qt.Assert(t, f.outdatedVMs(), qt.Equals, 0)
}

// Guards against VMs that start from a replica and request changes that no peer holds.
func TestReplicaIsReplacedBySections(t *testing.T) {
	f := newDataCentreFleet(t, 12, 1000)
	n := f.newNode(11)
	f.nodes[11] = n
	_, _, err := n.cache.updateTargets(f.now, benchRegistrations(1000)[:20], baobabstep.Revision{Number: 1}, origin{source: sourceReplica, fromReplica: true, confirmedAt: f.now.Add(-8 * time.Second)})
	qt.Assert(t, err, qt.IsNil)
	f.drainTargets(2, benchRegistrations(1000)[:5])
	f.deliver()
	for _, other := range f.nodes[:11] {
		other.cache.history = heartbeat.History{}
	}
	f.runUntilEqual(10)
	qt.Assert(t, f.outdatedVMs(), qt.Equals, 0)
}
