package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// getsNewFlows reports whether a VM places some of 100 new flows at a target.
func getsNewFlows(n *Node, now time.Time, id baobabstep.TargetID) bool {
	for port := range uint16(100) {
		var out []baobabstep.OutgoingDatagram
		n.router.Handle(now, &baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: peerAddress(int(port)), Service: benchService}}, &out)
		if len(out) > 0 && out[0].Target == id {
			return true
		}
	}
	return false
}

// Guards against new flows to targets that are gone, through a VM that the store turns away while
// another VM reads it: every change of the other began a new grace period for missing targets.
func TestGraceAfterOutageIsGivenOnce(t *testing.T) {
	list := benchRegistrations(4)
	f := newDataCentreFleet(t, 2, len(list))
	n := f.nodes[1]
	n.router.SetTable(f.now, testTable())
	query := n.syncer.targetsQuery()
	fail := func() {
		n.syncer.recordStoreStatus(query, baobabstep.Errorf(baobabstep.CodePlatformUnavailable, "test", "turned away"))
	}
	fail()
	remove := func(after time.Duration, removed int) {
		f.now = f.now.Add(after)
		err := f.nodes[0].updateTargets(list[removed+1:], baobabstep.Revision{Number: uint64(10 + removed)}, origin{source: sourceStore, confirmedAt: f.now})
		qt.Assert(t, err, qt.IsNil)
		f.deliver()
	}
	remove(time.Second, 0)
	qt.Check(t, getsNewFlows(n, f.now, list[0].ID), qt.IsTrue, qt.Commentf("it may have lapsed while the store was down"))
	remove(10*time.Second, 1)
	qt.Check(t, getsNewFlows(n, f.now, list[1].ID), qt.IsFalse)
	fail()
	remove(10*time.Second, 2)
	qt.Check(t, getsNewFlows(n, f.now, list[2].ID), qt.IsTrue, qt.Commentf("another outage"))
}
