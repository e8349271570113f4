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

// restore restores the model's store from a backup, in a new era.
func (m *model) restore(backup modelContent) {
	s := m.store
	s.revision = baobabstep.Revision{Era: s.revision.Era + 1, Number: backup.revision.Number}
	s.table, s.targets, s.evacuated = backup.table, backup.targets, backup.evacuated
	m.evacuations[s.revision] = s.evacuated
	s.tableAt, s.targetsAt, s.evacuatedAt = m.now, m.now, m.now
	// The worst case of replicas: they lag behind the restore, and have revision numbers of
	// lost changes.
	s.replica.revision = baobabstep.Revision{Era: s.revision.Era, Number: s.revision.Number + 100}
	s.replica.at = m.now
}

// rewriteLost writes again, as operators and targets do, what a backup lacked.
func (m *model) rewriteLost(lost modelContent) {
	s := m.store
	s.revision.Number++
	s.table, s.targets, s.evacuated = lost.table, lost.targets, lost.evacuated
	s.tableAt, s.targetsAt, s.evacuatedAt = m.now, m.now, m.now
	m.evacuations[s.revision] = s.evacuated
}

// restoreAndRewrite restores the store from a backup. Operators and targets write again what
// it lacks within two seconds.
func (m *model) restoreAndRewrite(t *rapid.T, backup modelContent) {
	lost := m.store.newest()
	m.restore(backup)
	m.steps(rapid.IntRange(0, 20).Draw(t, "steps until written again"))
	m.rewriteLost(lost)
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

// Guards against VMs that ignore updates of a store that was restored from a backup.
func TestFleetFollowsRestoredStore(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.steps(30)
		for range rapid.IntRange(1, 3).Draw(t, "restores") {
			backup := m.store.newest()
			for range rapid.IntRange(1, 40).Draw(t, "lost changes") {
				m.change()
				m.step()
			}
			m.restoreAndRewrite(t, backup)
			m.change()
			m.steps(int(freshnessBound/stepTime) + 5)
		}
	})
}

// Guards against VMs that read without pause while the store holds an older routing table than
// they do.
func TestCallRateAfterRestore(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		m.steps(30)
		backup := m.store.newest()
		m.changeRoutes()
		m.steps(40)
		m.restore(backup)
		m.assertCallRate(50)
	})
}

// placesFlowAfterRestore returns whether a VM with one ready target places a flow after it
// learns of the next era of the store by take.
func placesFlowAfterRestore(t *testing.T, take func(n *Node, era baobabstep.Revision)) bool {
	t.Helper()
	n := newQuietNode(new(countingMessages))
	n.router.SetTable(benchEpoch, testTable())
	from := origin{source: sourceStore, confirmedAt: benchEpoch}
	before, next := baobabstep.Revision{Era: 1, Number: 500}, baobabstep.Revision{Era: 2, Number: 450}
	qt.Assert(t, n.updateTargets(benchRegistrations(1), before, from), qt.IsNil)
	qt.Assert(t, n.updateEvacuations(nil, before, from), qt.IsNil)
	take(n, next)
	var out []baobabstep.OutgoingDatagram
	p := baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: benchService, Service: benchService}}
	n.router.Handle(benchEpoch, &p, &out)
	return len(out) == 1 && out[0].Target != 0
}

// Guards against refused flows because a restored store lacks targets that registered shortly
// before, on VMs that could always read the store.
func TestTargetsMissingAfterRestore(t *testing.T) {
	removeTargets := func(t *testing.T, n *Node, at baobabstep.Revision, source string) {
		qt.Assert(t, n.updateTargets(nil, at, origin{source: source, confirmedAt: benchEpoch}), qt.IsNil)
	}
	for _, source := range []string{sourceStore, sourcePeer} {
		t.Run("a list from "+source, func(t *testing.T) {
			qt.Assert(t, placesFlowAfterRestore(t, func(n *Node, at baobabstep.Revision) { removeTargets(t, n, at, source) }), qt.IsTrue)
		})
	}
	t.Run("a change from a peer", func(t *testing.T) {
		qt.Assert(t, placesFlowAfterRestore(t, func(n *Node, at baobabstep.Revision) {
			gone := heartbeat.Difference{Removed: []baobabstep.TargetID{benchRegistrations(1)[0].ID}}
			change := heartbeat.NewTargetsChange(gone, n.cache.state(heartbeat.Targets).sum, heartbeat.MakeVersionInfo(at, heartbeat.EmptyRegistrations().Checksum(), 0))
			n.handleChange(benchEpoch, peerAddress(3), change)
			qt.Assert(t, n.cache.state(heartbeat.Targets).revision, qt.Equals, at)
		}), qt.IsTrue)
	})
	t.Run("after evacuations of the new era", func(t *testing.T) {
		qt.Assert(t, placesFlowAfterRestore(t, func(n *Node, at baobabstep.Revision) {
			qt.Assert(t, n.updateEvacuations(nil, at, origin{source: sourceStore, confirmedAt: benchEpoch}), qt.IsNil)
			removeTargets(t, n, at, sourceStore)
		}), qt.IsTrue)
	})
	t.Run("targets removed in the same era", func(t *testing.T) {
		qt.Assert(t, placesFlowAfterRestore(t, func(n *Node, _ baobabstep.Revision) {
			removeTargets(t, n, baobabstep.Revision{Era: 1, Number: 501}, sourceStore)
		}), qt.IsFalse)
	})
	t.Run("the first era that is known", func(t *testing.T) {
		n := newQuietNode(new(countingMessages))
		qt.Assert(t, n.updateRoutes(testTable(), origin{source: sourcePeer, confirmedAt: benchEpoch}), qt.IsNil)
		removeTargets(t, n, baobabstep.Revision{Era: 4, Number: 1}, sourceStore)
		qt.Assert(t, n.cache.restoredAt.IsZero(), qt.IsTrue)
	})
}

// Guards against updates that are ignored because a lagging replica of a restored store
// returned a revision that the store has not reached.
func TestStoreOverridesReplica(t *testing.T) {
	n := newQuietNode(new(countingMessages))
	fromReplica := origin{source: sourceReplica, confirmedAt: benchEpoch, fromReplica: true}
	fromStore := origin{source: sourceStore, confirmedAt: benchEpoch.Add(time.Second)}
	claimed, actual := baobabstep.Revision{Era: 2, Number: 500}, baobabstep.Revision{Era: 2, Number: 450}
	list := benchRegistrations(1)
	leaving := slices.Clone(list)
	leaving[0].Draining = true
	qt.Assert(t, n.updateTargets(list, claimed, fromReplica), qt.IsNil)
	qt.Assert(t, n.updateEvacuations([]string{"dc-a"}, claimed, fromReplica), qt.IsNil)
	qt.Assert(t, n.updateTargets(leaving, actual, fromStore), qt.IsNil)
	qt.Assert(t, n.updateEvacuations([]string{"dc-b"}, actual, fromStore), qt.IsNil)
	held, _ := n.cache.targets.Get(list[0].ID)
	qt.Check(t, held.Draining, qt.IsTrue)
	qt.Check(t, n.cache.evacuationsInForce, qt.DeepEquals, []string{"dc-b"})
}

// Guards against flows into an evacuated data centre because a restored store lacks the
// evacuation.
func TestEvacuationsAfterRestore(t *testing.T) {
	const a, b, c = "dc-a", "dc-b", "dc-c"
	for _, test := range []struct {
		name string
		// before is the list in force before the restore, backup the list in the restored
		// store, and since the list after a change that operators then made.
		before, backup, since []string
		// want is the list in force after the restore, and wantSince after the change.
		want, wantSince []string
	}{
		{"a lost evacuation is written again", []string{a}, nil, []string{a}, []string{a}, []string{a}},
		{"an evacuation is lost, another begins", []string{a}, nil, []string{b}, []string{a}, []string{a, b}},
		{"an ended evacuation reappears and ends again", nil, []string{a}, nil, nil, nil},
		{"an evacuation that both have ends", []string{a, c}, []string{a}, nil, []string{a, c}, []string{c}},
		{"the backup lacks nothing", []string{a}, []string{a}, []string{a, b}, []string{a}, []string{a, b}},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newQuietNode(new(countingMessages))
			hold := func(now time.Time, revision baobabstep.Revision, list []string) {
				_, err := n.applyEvacuations(now, list, revision, origin{source: sourceStore, confirmedAt: now})
				qt.Assert(t, err, qt.IsNil)
			}
			assertInForce := func(want []string) {
				t.Helper()
				qt.Assert(t, slices.Equal(n.cache.evacuationsInForce, want), qt.IsTrue, qt.Commentf("got %v, want %v", n.cache.evacuationsInForce, want))
			}
			hold(benchEpoch, baobabstep.Revision{Era: 1, Number: 500}, test.before)
			hold(benchEpoch, baobabstep.Revision{Era: 2, Number: 450}, test.backup)
			assertInForce(test.want)
			later := benchEpoch.Add(time.Second)
			hold(later, baobabstep.Revision{Era: 2, Number: 451}, test.since)
			assertInForce(test.wantSince)
			n.cache.expireEvacuationMerge(benchEpoch.Add(token.ReregistrationGrace - 1))
			assertInForce(test.wantSince)
			n.cache.expireEvacuationMerge(benchEpoch.Add(token.ReregistrationGrace))
			assertInForce(test.since)
		})
	}
}

// Guards against a read that is repeated without a delay because its result was outdated.
func TestDelayAfterRead(t *testing.T) {
	n := newQuietNode(new(countingMessages))
	r := n.syncer.targetsQuery()
	r.applyBound = 3 * time.Second
	pauses := newRetryBackOff()
	pauses.RandomizationFactor = 0
	read := func(number uint64, confirmed time.Time) {
		revision := baobabstep.Revision{Number: number}
		err := n.updateTargets(nil, revision, origin{source: sourceStore, confirmedAt: confirmed})
		qt.Assert(t, err, qt.IsNil)
		r.advanceRevision(revision)
	}
	read(500, benchEpoch)
	qt.Check(t, n.syncer.delayAfterRead(benchEpoch, r, nil, pauses), qt.Equals, time.Duration(0))
	later := benchEpoch.Add(time.Minute)
	read(450, later)
	first := n.syncer.delayAfterRead(later, r, nil, pauses)
	qt.Check(t, first, qt.Equals, minRetryDelay)
	qt.Check(t, n.syncer.delayAfterRead(later, r, nil, pauses) > first, qt.IsTrue)
	read(501, later)
	qt.Check(t, n.syncer.delayAfterRead(later, r, nil, pauses), qt.Equals, time.Duration(0))
}
