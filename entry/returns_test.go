package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// newReturnsNode returns a VM with a limit on cold targets that holds evacuations of a revision,
// confirmed age ago.
func newReturnsNode(t testing.TB, evacuated []string, age time.Duration) *Node {
	t.Helper()
	n := newQuietNode(new(countingMessages))
	n.options.Settings.Token.ConfigApplyMS = 3000
	table := testTable()
	table.ColdLimits = []baobabstep.ColdLimit{{Service: "fixtures", PerSecond: 6, Duration: 2 * time.Second}}
	from := origin{source: sourceStore, confirmedAt: benchEpoch.Add(-age)}
	qt.Assert(t, n.updateRoutes(table, from), qt.IsNil)
	qt.Assert(t, n.updateEvacuations(evacuated, baobabstep.Revision{Number: 5}, from), qt.IsNil)
	return n
}

// Guards against a VM that has just started and takes the word of one that may not have seen the
// end of an evacuation.
func TestStartingVMLearnsEndedEvacuations(t *testing.T) {
	const started = 2 * time.Second
	for _, test := range []struct {
		name      string
		evacuated []string // as held by the other VM
		age       time.Duration
		known     bool
	}{
		{"the other VM holds the same", nil, time.Second, true},
		{"it still holds an evacuation", []string{"dc-1"}, time.Second, false},
		{"its evacuations are overdue", nil, 3 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := benchEpoch.Add(started)
			running, starting := newReturnsNode(t, test.evacuated, test.age-started), newReturnsNode(t, nil, 0)
			running.router.SetReturnsKnownSince(now.Add(-time.Hour))
			running.router.SetEvacuations(now, []string{"dc-0"})
			running.router.SetEvacuations(now, nil)
			starting.router.SetReturnsKnownSince(now)

			running.peerTable.Handle(now, peerAddress(7), &heartbeat.Heartbeat{From: 7, DataCentre: "dc-0", Incarnation: 1, Sequence: 1})
			m := running.peerTable.AnswerNewPeers(now, running.ownStateWithoutLoads(now))[0].Message
			m.Heartbeat.From = 9 // both nodes have the same name
			starting.handleHeartbeat(now, peerAddress(9), m.Heartbeat)
			got, relevant := starting.router.Returns(now)
			qt.Assert(t, relevant, qt.IsTrue)
			qt.Check(t, now.Sub(got.Since) >= time.Hour, qt.Equals, test.known)
			qt.Check(t, got.DataCentres["dc-0"].Equal(now), qt.IsTrue, qt.Commentf("an end is a fact in any case"))
		})
	}
	t.Run("nothing is told without a limit", func(t *testing.T) {
		n := newQuietNode(new(countingMessages))
		qt.Check(t, n.ownReturns(benchEpoch), qt.IsNil)
	})
}
