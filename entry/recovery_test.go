package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

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
