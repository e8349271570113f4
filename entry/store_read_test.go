package entry

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// Guards against reads of the store that confirm nothing because changes arrive faster than
// all pages are read.
func TestReadDuringChangesConfirmsTargets(t *testing.T) {
	const targets = 100
	list := benchRegistrations(targets)
	n := newQuietNode(new(countingMessages))
	old := benchEpoch.Add(-time.Minute)
	_, _, err := n.cache.updateTargets(benchEpoch, list[:90], baobabstep.Revision{Number: 10}, origin{source: sourceStore, confirmedAt: old})
	qt.Assert(t, err, qt.IsNil)
	draining := list[1]
	draining.Draining = true
	changes := []baobabstep.RegistrationChange{
		{Registration: draining, Revision: baobabstep.Revision{Number: 11}},
		{Registration: list[2], Removed: true, Revision: baobabstep.Revision{Number: 12}},
		{Registration: list[95], Revision: baobabstep.Revision{Number: 13}},
	}
	_, _, err = n.cache.applyTargetChanges(benchEpoch, changes, baobabstep.Revision{Number: 13})
	qt.Assert(t, err, qt.IsNil)
	// The read has revision 10 and includes target 96, which the watch did not report.
	read := append(slices.Clone(list[:90]), list[96])
	changed, _, err := n.cache.updateTargets(benchEpoch, read, baobabstep.Revision{Number: 10}, origin{source: sourceStore, confirmedAt: benchEpoch})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, changed, qt.IsTrue)
	held := n.cache.state(heartbeat.Targets)
	qt.Assert(t, held.confirmedAt, qt.Equals, benchEpoch)
	qt.Assert(t, held.revision.Number, qt.Equals, uint64(13))
	for id, want := range map[int]struct{ there, draining bool }{1: {true, true}, 2: {false, false}, 95: {true, false}, 96: {true, false}} {
		r, there := n.cache.targets.Get(list[id].ID)
		qt.Check(t, there, qt.Equals, want.there, qt.Commentf("target %d", id))
		qt.Check(t, r.Draining, qt.Equals, want.draining, qt.Commentf("target %d", id))
	}
	qt.Assert(t, n.router.Stats().Targets, qt.Equals, 92, qt.Commentf("the removed target is kept for its flows"))
	t.Run("of an earlier era", func(t *testing.T) {
		_, _, err := n.cache.applyTargetChanges(benchEpoch, changes[:1], baobabstep.Revision{Era: 1, Number: 5})
		qt.Assert(t, err, qt.IsNil)
		_, _, err = n.cache.updateTargets(benchEpoch, read, baobabstep.Revision{Number: 12}, origin{source: sourceStore, confirmedAt: benchEpoch.Add(time.Hour)})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n.cache.state(heartbeat.Targets).confirmedAt, qt.Equals, benchEpoch)
	})
	t.Run("older than the history", func(t *testing.T) {
		_, _, err := n.cache.updateTargets(benchEpoch, read, baobabstep.Revision{Number: 9}, origin{source: sourceStore, confirmedAt: benchEpoch.Add(time.Hour)})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, n.cache.state(heartbeat.Targets).confirmedAt, qt.Equals, benchEpoch)
	})
}
