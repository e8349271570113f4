package entry

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// Guards against logging the age of state that is not known yet, for a segment that arrives
// before the routes. It would be 292 years, which makes plots of ages unusable.
func TestUnknownAgeIsOmitted(t *testing.T) {
	lines := memory.New()
	n := newTestNode(new(countingMessages), &log.Logger{Handler: lines, Level: log.InfoLevel}, keepAllLines{})
	p := baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: benchService, Service: benchService}}
	n.router.Handle(benchEpoch, &p, new([]baobabstep.OutgoingDatagram))
	qt.Assert(t, lines.Entries, qt.HasLen, 1)
	qt.Check(t, lines.Entries[0].Message, qt.Equals, "segment_unready")
	_, has := lines.Entries[0].Fields["routes_age_ms"]
	qt.Check(t, has, qt.IsFalse)

	n.cache.confirmByPeer(benchEpoch, heartbeat.Routes, baobabstep.Revision{}, origin{confirmedAt: benchEpoch.Add(-250 * time.Millisecond)}, time.Second)
	n.router.Handle(benchEpoch, &p, new([]baobabstep.OutgoingDatagram))
	encoded, err := json.Marshal(lines.Entries[1].Fields)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(encoded), qt.Contains, `"routes_age_ms":250`)
}

// Guards against reads that are ignored without a log line because they are older than the
// cached state. Operators could not tell a store that went back to an older state from one
// that is not read.
func TestOutdatedReadIsLogged(t *testing.T) {
	lines := memory.New()
	n := newTestNode(new(countingMessages), &log.Logger{Handler: lines, Level: log.InfoLevel}, keepAllLines{})
	for _, number := range []uint64{500, 450} {
		err := n.updateTargets(nil, baobabstep.Revision{Era: 1, Number: number}, origin{source: sourceStore, confirmedAt: benchEpoch})
		qt.Assert(t, err, qt.IsNil)
	}
	last := lines.Entries[len(lines.Entries)-1]
	qt.Check(t, last.Message, qt.Equals, "outdated update ignored")
	qt.Check(t, last.Fields, qt.DeepEquals, log.Fields{
		"kind": "targets", "source": "store",
		"offered": uint64(450), "offered_era": uint64(1), "held": uint64(500), "held_era": uint64(1), "age_ms": int64(0),
		"vm": "vm-0", "data_centre": "dc-0",
	})
	qt.Check(t, n.cache.outdatedCounts(), qt.DeepEquals, map[string]float64{"store": 1, "watch": 0, "peer": 0, "copy": 0})
}

// Guards against targets that leave without a line that tells when, and on which way, a VM learned of it.
func TestLeavingTargetsAreLogged(t *testing.T) {
	lines := memory.New()
	n := newTestNode(new(countingMessages), &log.Logger{Handler: lines, Level: log.InfoLevel}, keepAllLines{})
	list := benchRegistrations(3)
	update := func(number uint64, list []baobabstep.Registration) {
		qt.Assert(t, n.updateTargets(list, baobabstep.Revision{Number: number}, origin{source: sourceStore, confirmedAt: benchEpoch.Add(-20 * time.Millisecond)}), qt.IsNil)
	}
	update(500, list)
	leaving := slices.Clone(list[1:])
	leaving[0].Draining = true
	update(501, leaving)
	line := lines.Entries[len(lines.Entries)-2]
	qt.Check(t, line.Message, qt.Equals, leavingClass)
	qt.Check(t, line.Fields, qt.DeepEquals, log.Fields{
		"draining": []string{targetName(list[1].ID)}, "gone": []string{targetName(list[0].ID)},
		"revision": uint64(501), "via": viaList, "source": sourceStore, "age_ms": int64(20), "vm": "vm-0", "data_centre": "dc-0",
	})
	update(502, leaving[1:])
	qt.Check(t, lines.Entries[len(lines.Entries)-1].Message, qt.Equals, "targets changed", qt.Commentf("a target that was draining leaves once"))
	qt.Check(t, lines.Entries[len(lines.Entries)-2].Message, qt.Equals, "targets changed")
}

// Guards against a fleet that nobody watches the store for, without a line that tells who did and who waits.
func TestWatchStatesAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		n := newTestNode(new(countingMessages), &log.Logger{Handler: lines, Level: log.InfoLevel}, keepAllLines{})
		n.clock, n.syncer.directory = bubbleClock{}, new(pagedDirectory)
		n.startedAt = time.Now().Add(-time.Minute)
		n.peerTable = heartbeat.New(n.startedAt, heartbeat.Options{Self: 1})
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		q := n.syncer.targetsQuery()
		time.AfterFunc(time.Second, func() { q.advanceRevision(baobabstep.Revision{Number: 7}) })
		qt.Assert(t, n.syncer.watchLoop(ctx, q), qt.IsNil)
		var states []any
		for _, line := range lines.Entries {
			states = append(states, line.Fields["state"], line.Fields["revision"])
		}
		qt.Check(t, states, qt.DeepEquals, []any{"waiting", nil, "running", uint64(7)})
	})
}

// Guards against messages of other VMs that are dropped without a line that tells why.
func TestMalformedPeerMessageIsLogged(t *testing.T) {
	lines := memory.New()
	n := newTestNode(new(countingMessages), &log.Logger{Handler: lines, Level: log.InfoLevel}, keepAllLines{})
	n.receive(benchEpoch, peerAddress(3), []byte("not a message"))
	qt.Assert(t, lines.Entries, qt.HasLen, 1)
	qt.Check(t, lines.Entries[0].Message, qt.Equals, malformedMessageClass)
	qt.Check(t, lines.Entries[0].Fields["from"], qt.Equals, peerAddress(3).String())
	qt.Check(t, lines.Entries[0].Fields["error"], qt.Not(qt.Equals), "")
}
