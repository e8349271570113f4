package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/token"
)

// resetsUnrouted reports whether a VM refuses a new flow of an address without a route.
func resetsUnrouted(n *Node, now time.Time) bool {
	var out []baobabstep.OutgoingDatagram
	n.router.Handle(now, &baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: peerAddress(8), Service: peerAddress(9)}}, &out)
	return len(out) > 0
}

// Guards against resets by a routing table that is only known from replicas of the store, of this
// VM or of another one that has started as well.
func TestTableOfReplicaResetsNoFlow(t *testing.T) {
	n := newQuietNode(new(countingMessages))
	n.options.Settings.Token.ConfigApplyMS = 3000
	bound := n.applyBound(heartbeat.Routes)
	n.router.SetRegistrations(benchEpoch, benchRegistrations(3))
	replica := n.syncer.readOrigin(baobabstep.Recent, benchEpoch, bound)
	qt.Assert(t, n.updateRoutes(testTable(), replica), qt.IsNil)
	qt.Check(t, resetsUnrouted(n, benchEpoch), qt.IsFalse)

	announce := func(age time.Duration) {
		cached := n.cache.state(heartbeat.Routes)
		h := heartbeat.Heartbeat{From: 7, DataCentre: "dc-0", Incarnation: 1, Sequence: uint64(time.Hour - age)}
		h.Versions[heartbeat.Routes] = heartbeat.MakeVersionInfo(cached.revision, cached.sum, age)
		n.handleHeartbeat(benchEpoch, peerAddress(7), &h)
	}
	announce(bound)
	qt.Check(t, resetsUnrouted(n, benchEpoch), qt.IsFalse)

	newer := testTable()
	newer.Version = 2
	for _, m := range routesChunks(t, newer, bound) {
		n.handleMessage(benchEpoch, peerAddress(7), m)
	}
	qt.Assert(t, n.router.Version(), qt.Equals, uint64(2))
	qt.Check(t, resetsUnrouted(n, benchEpoch), qt.IsFalse)

	announce(bound / 2)
	qt.Check(t, resetsUnrouted(n, benchEpoch), qt.IsTrue)
	qt.Check(t, n.router.Stats().Events[token.EventRouteUnconfirmed.String()], qt.Equals, uint64(3))
}

// routesChunks returns the messages by which a peer sends a table that it last confirmed age ago.
func routesChunks(t testing.TB, table *baobabstep.RoutingTable, age time.Duration) []*heartbeat.Message {
	t.Helper()
	content, err := heartbeat.EncodeRoutes(table)
	qt.Assert(t, err, qt.IsNil)
	messages, err := heartbeat.SplitChunks(heartbeat.Routes, heartbeat.MakeVersionInfo(tableRevision(table), heartbeat.Checksum(content), age), content)
	qt.Assert(t, err, qt.IsNil)
	return messages
}

// Guards against refusals by registrations that are only known from a replica of the store.
func TestTargetsOfReplicaRefuseNoFlow(t *testing.T) {
	n := newQuietNode(new(countingMessages))
	n.options.Settings.Token.DrainMS = 3000
	n.router.SetTable(benchEpoch, testTable())
	refuses := func() bool {
		var out []baobabstep.OutgoingDatagram
		n.router.Handle(benchEpoch, &baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: peerAddress(8), Service: benchService}}, &out)
		return len(out) > 0
	}
	replica := n.syncer.readOrigin(baobabstep.Recent, benchEpoch, n.applyBound(heartbeat.Targets))
	qt.Assert(t, n.updateTargets(nil, baobabstep.Revision{Number: 5}, replica), qt.IsNil)
	qt.Check(t, refuses(), qt.IsFalse)
	qt.Assert(t, n.updateTargets(nil, baobabstep.Revision{Number: 5}, origin{source: sourceStore, confirmedAt: benchEpoch}), qt.IsNil)
	qt.Check(t, refuses(), qt.IsTrue)
}
