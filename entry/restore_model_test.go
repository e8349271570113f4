package entry

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/token"
)

// restore brings the model's store back from a backup, in another era.
func (m *model) restore(backup modelCopy) {
	s := m.store
	s.revision = baobabstep.Revision{Era: s.revision.Era + 1, Number: backup.revision.Number}
	s.table, s.targets, s.evacuated = backup.table, backup.targets, backup.evacuated
	m.evacuations[s.revision] = s.evacuated
	s.tableAt, s.targetsAt, s.evacuatedAt = m.now, m.now, m.now
	// The worst that copies do: they lag behind the restore, and number what is lost.
	s.copied.revision = baobabstep.Revision{Era: s.revision.Era, Number: s.revision.Number + 100}
	s.copied.at = m.now
}

// writeAgain lets operators and targets write again what a backup lacks.
func (m *model) writeAgain(lost modelCopy) {
	s := m.store
	s.revision.Number++
	s.table, s.targets, s.evacuated = lost.table, lost.targets, lost.evacuated
	s.tableAt, s.targetsAt, s.evacuatedAt = m.now, m.now, m.now
	m.evacuations[s.revision] = s.evacuated
}

// restoreAndRewrite brings the store back from a backup, and lets operators and targets
// write again what it lacks within two seconds.
func (m *model) restoreAndRewrite(t *rapid.T, backup modelCopy) {
	lost := m.store.read(baobabstep.Newest)
	m.restore(backup)
	m.steps(rapid.IntRange(0, 20).Draw(t, "steps until written again"))
	m.writeAgain(lost)
}

func (m *model) change() {
	switch m.random.IntN(3) {
	case 0:
		m.changeRoutes()
	case 1:
		m.changeTargets()
	default:
		m.changeEvacuations()
	}
}

// Guards against VMs that pass over the news of a store that came back from a backup.
func TestFleetFollowsRestoredStore(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.steps(30)
		for range rapid.IntRange(1, 3).Draw(t, "restores") {
			backup := m.store.read(baobabstep.Newest)
			for range rapid.IntRange(1, 40).Draw(t, "lost changes") {
				m.change()
				m.step()
			}
			m.restoreAndRewrite(t, backup)
			m.change()
			m.steps(int(freshBound/stepTime) + 5)
		}
	})
}

// Guards against VMs that read without end while the store holds an older routing
// table than they do.
func TestRestoredStoreIsAskedSeldom(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.steps(30)
		backup := m.store.read(baobabstep.Newest)
		m.changeRoutes()
		m.steps(40)
		m.restore(backup)
		m.assertCalls(50)
	})
}

// restoredNode returns a VM with one ready target that learns of the next era of the
// store by take, and whether it places a flow then.
func placesAfterRestore(t *testing.T, take func(n *Node, era baobabstep.Revision)) bool {
	t.Helper()
	n := newQuietNode(new(countedMessages))
	n.router.SetTable(benchEpoch, testTable())
	from := origin{source: sourceStore, confirmed: benchEpoch}
	before, next := baobabstep.Revision{Era: 1, Number: 500}, baobabstep.Revision{Era: 2, Number: 450}
	qt.Assert(t, n.learnTargets(benchRegistrations(1), before, from), qt.IsNil)
	qt.Assert(t, n.learnEvacuations(nil, before, from), qt.IsNil)
	take(n, next)
	var out []baobabstep.Forward
	p := baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: benchService, Service: benchService}}
	n.router.Handle(benchEpoch, &p, &out)
	return len(out) == 1 && out[0].Target != 0
}

// Guards against callers that are refused because a restored store lacks targets that
// registered lately, on VMs that were never refused by it.
func TestTargetsThatARestoredStoreLacks(t *testing.T) {
	none := func(t *testing.T, n *Node, at baobabstep.Revision, source string) {
		qt.Assert(t, n.learnTargets(nil, at, origin{source: source, confirmed: benchEpoch}), qt.IsNil)
	}
	for _, source := range []string{sourceStore, sourcePeer} {
		t.Run("a list by "+source, func(t *testing.T) {
			qt.Assert(t, placesAfterRestore(t, func(n *Node, at baobabstep.Revision) { none(t, n, at, source) }), qt.IsTrue)
		})
	}
	t.Run("a change by a peer", func(t *testing.T) {
		qt.Assert(t, placesAfterRestore(t, func(n *Node, at baobabstep.Revision) {
			gone := heartbeat.Difference{Gone: []baobabstep.TargetID{benchRegistrations(1)[0].ID}}
			change := heartbeat.TargetsChange(gone, n.beliefs.get(heartbeat.Targets).sum, heartbeat.MakeHeld(at, heartbeat.NoRegistrations().Sum(), 0))
			n.handleChange(benchEpoch, peerAddress(3), change)
			qt.Assert(t, n.beliefs.get(heartbeat.Targets).revision, qt.Equals, at)
		}), qt.IsTrue)
	})
	t.Run("after evacuations of the new era", func(t *testing.T) {
		qt.Assert(t, placesAfterRestore(t, func(n *Node, at baobabstep.Revision) {
			qt.Assert(t, n.learnEvacuations(nil, at, origin{source: sourceStore, confirmed: benchEpoch}), qt.IsNil)
			none(t, n, at, sourceStore)
		}), qt.IsTrue)
	})
	t.Run("but they are gone in the same era", func(t *testing.T) {
		qt.Assert(t, placesAfterRestore(t, func(n *Node, _ baobabstep.Revision) {
			none(t, n, baobabstep.Revision{Era: 1, Number: 501}, sourceStore)
		}), qt.IsFalse)
	})
	t.Run("and when the first era is heard of", func(t *testing.T) {
		n := newQuietNode(new(countedMessages))
		qt.Assert(t, n.learnRoutes(testTable(), origin{source: sourcePeer, confirmed: benchEpoch}), qt.IsNil)
		none(t, n, baobabstep.Revision{Era: 4, Number: 1}, sourceStore)
		qt.Assert(t, n.beliefs.restoredAt.IsZero(), qt.IsTrue)
	})
}

// Guards against news that is passed over because a lagging copy of a restored store
// claimed a revision that the store has not reached.
func TestStoreOverrulesACopy(t *testing.T) {
	n := newQuietNode(new(countedMessages))
	fromCopy := origin{source: sourceCopy, confirmed: benchEpoch, recent: true}
	fromStore := origin{source: sourceStore, confirmed: benchEpoch.Add(time.Second)}
	claimed, actual := baobabstep.Revision{Era: 2, Number: 500}, baobabstep.Revision{Era: 2, Number: 450}
	list := benchRegistrations(1)
	leaving := slices.Clone(list)
	leaving[0].Draining = true
	qt.Assert(t, n.learnTargets(list, claimed, fromCopy), qt.IsNil)
	qt.Assert(t, n.learnEvacuations([]string{"dc-a"}, claimed, fromCopy), qt.IsNil)
	qt.Assert(t, n.learnTargets(leaving, actual, fromStore), qt.IsNil)
	qt.Assert(t, n.learnEvacuations([]string{"dc-b"}, actual, fromStore), qt.IsNil)
	held, _ := n.beliefs.targets.Get(list[0].ID)
	qt.Check(t, held.Draining, qt.IsTrue)
	qt.Check(t, n.beliefs.inForce, qt.DeepEquals, []string{"dc-b"})
}

// Guards against flows into an evacuated data centre because a restored store lost the
// operators' wish.
func TestEvacuationsOverARestore(t *testing.T) {
	const a, b, c = "dc-a", "dc-b", "dc-c"
	for _, test := range []struct {
		name string
		// before is what was in force, backup what the store came back with, and
		// since what it held after a change that operators made then.
		before, backup, since []string
		// want is in force after backup, and wantSince after since.
		want, wantSince []string
	}{
		{"one is lost and written again", []string{a}, nil, []string{a}, []string{a}, []string{a}},
		{"one is lost, another begins", []string{a}, nil, []string{b}, []string{a}, []string{a, b}},
		{"an ended one is back and ends again", nil, []string{a}, nil, nil, nil},
		{"one that both have ends", []string{a, c}, []string{a}, nil, []string{a, c}, []string{c}},
		{"the backup lacks nothing", []string{a}, []string{a}, []string{a, b}, []string{a}, []string{a, b}},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newQuietNode(new(countedMessages))
			hold := func(now time.Time, revision baobabstep.Revision, list []string) {
				_, err := n.takeEvacuations(now, list, revision, origin{source: sourceStore, confirmed: now})
				qt.Assert(t, err, qt.IsNil)
			}
			assertInForce := func(want []string) {
				t.Helper()
				qt.Assert(t, slices.Equal(n.beliefs.inForce, want), qt.IsTrue, qt.Commentf("got %v, want %v", n.beliefs.inForce, want))
			}
			hold(benchEpoch, baobabstep.Revision{Era: 1, Number: 500}, test.before)
			hold(benchEpoch, baobabstep.Revision{Era: 2, Number: 450}, test.backup)
			assertInForce(test.want)
			later := benchEpoch.Add(time.Second)
			hold(later, baobabstep.Revision{Era: 2, Number: 451}, test.since)
			assertInForce(test.wantSince)
			n.beliefs.settleEvacuations(benchEpoch.Add(token.ReregistrationGrace - 1))
			assertInForce(test.wantSince)
			n.beliefs.settleEvacuations(benchEpoch.Add(token.ReregistrationGrace))
			assertInForce(test.since)
		})
	}
}

// Guards against a reading that is repeated at once because it was passed over.
func TestPauseAfterReading(t *testing.T) {
	n := newQuietNode(new(countedMessages))
	r := n.follower.targets()
	r.within = 3 * time.Second
	pauses := newPauses()
	pauses.RandomizationFactor = 0
	read := func(number uint64, confirmed time.Time) {
		err := n.learnTargets(nil, baobabstep.Revision{Number: number}, origin{source: sourceStore, confirmed: confirmed})
		qt.Assert(t, err, qt.IsNil)
	}
	read(500, benchEpoch)
	qt.Check(t, n.follower.pauseAfter(benchEpoch, r, nil, pauses), qt.Equals, time.Duration(0))
	later := benchEpoch.Add(time.Minute)
	read(450, later)
	first := n.follower.pauseAfter(later, r, nil, pauses)
	qt.Check(t, first, qt.Equals, firstRetry)
	qt.Check(t, n.follower.pauseAfter(later, r, nil, pauses) > first, qt.IsTrue)
	read(501, later)
	qt.Check(t, n.follower.pauseAfter(later, r, nil, pauses), qt.Equals, time.Duration(0))
}
