package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/token"
)

// Guards against new flows to a target that is gone, long after an outage. The registrations had
// stayed the same in it, so the VM read nothing and learned from heartbeats alone that it was over;
// the next change, whenever it came, counted as the first one after the outage.
func TestOutageEndsWithoutChange(t *testing.T) {
	for _, test := range []struct {
		name string
		// confirmed is when the other VM last read the same registrations, counted from the
		// failed read; wait is the time from the heartbeat that says so to the removal.
		confirmed, wait time.Duration
		grace           bool
	}{
		{"removal long after the outage", time.Second, 10 * time.Second, false},
		{"removal soon after the outage", time.Second, token.ReregistrationGrace / 2, true},
		{"not read since the outage", -time.Second, 10 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newDataCentreFleet(t, 2, 0)
			list := benchRegistrations(4)
			for i := range list {
				list[i].DataCentre = "dc-0"
			}
			n := f.nodes[1]
			n.router.SetTable(f.now, testTable())
			revision := uint64(1)
			put := func(list []baobabstep.Registration) {
				revision++
				_, change, err := f.nodes[0].cache.updateTargets(f.now, list, baobabstep.Revision{Number: revision}, origin{source: sourceStore, confirmedAt: f.now})
				qt.Assert(t, err, qt.IsNil)
				n.handleChange(f.now, peerAddress(0), change)
			}
			put(list)
			f.now = f.now.Add(5 * time.Second)
			n.syncer.recordStoreStatus(n.syncer.targetsQuery(), baobabstep.Errorf(baobabstep.CodePlatformUnavailable, "test", "down"))
			held := f.nodes[0].cache.state(heartbeat.Targets)
			held.confirmedAt = f.now.Add(test.confirmed)
			f.now = f.now.Add(2 * time.Second)
			n.compareHeld(f.now, heartbeat.Targets, &heartbeat.Heartbeat{Versions: [2]heartbeat.VersionInfo{heartbeat.Targets: held.announced(f.now)}})
			f.now = f.now.Add(test.wait)
			put(list[1:])
			qt.Assert(t, getsNewFlows(n, f.now, list[0].ID), qt.Equals, test.grace)
		})
	}
}

// getsNewFlows reports whether a VM places some of 100 new flows at a target.
func getsNewFlows(n *Node, now time.Time, id baobabstep.TargetID) bool {
	first := int(now.Sub(benchEpoch)/time.Second) * 100
	for port := range 100 {
		var out []baobabstep.OutgoingDatagram
		n.router.Handle(now, &baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: peerAddress(first + port), Service: benchService}}, &out)
		if len(out) > 0 && out[0].Target == id {
			return true
		}
	}
	return false
}

// Guards against new flows to targets that are gone, through a VM that the store turns away while
// another VM reads it: every change of the other began a new grace period for missing targets.
func TestGraceAfterOutageIsGivenOnce(t *testing.T) {
	f := newDataCentreFleet(t, 2, 0)
	list := benchRegistrations(4)
	for i := range list {
		list[i].DataCentre = "dc-0"
	}
	n := f.nodes[1]
	n.router.SetTable(f.now, testTable())
	query := n.syncer.targetsQuery()
	fail := func() {
		n.syncer.recordStoreStatus(query, baobabstep.Errorf(baobabstep.CodePlatformUnavailable, "test", "turned away"))
	}
	revision := uint64(1)
	put := func(after time.Duration, list []baobabstep.Registration) {
		f.now = f.now.Add(after)
		revision++
		_, change, err := f.nodes[0].cache.updateTargets(f.now, list, baobabstep.Revision{Number: revision}, origin{source: sourceStore, confirmedAt: f.now})
		qt.Assert(t, err, qt.IsNil)
		n.handleChange(f.now, peerAddress(0), change)
		qt.Assert(t, n.cache.state(heartbeat.Targets).revision.Number, qt.Equals, revision)
	}
	put(0, list)
	fail()
	put(time.Second, list[1:])
	qt.Check(t, getsNewFlows(n, f.now, list[0].ID), qt.IsTrue, qt.Commentf("it may have lapsed while the store was down"))
	put(10*time.Second, list[2:])
	qt.Check(t, getsNewFlows(n, f.now, list[1].ID), qt.IsFalse)
	fail()
	put(10*time.Second, list[3:])
	qt.Check(t, getsNewFlows(n, f.now, list[2].ID), qt.IsTrue, qt.Commentf("another outage"))
}
