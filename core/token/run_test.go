package token

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// startedAt returns threeTargets of which target 1 runs since a time.
func startedAt(life uint64) []baobabstep.Registration {
	list := threeTargets()
	list[0].Life = life
	list[1].Draining = true // so that new flows go to target 1
	return list
}

// A target crashes and starts again under its identifier. What the run before
// left unanswered, and what it had to do, says nothing of the new one, which is
// idle and cold: new flows go there at once, as slowly as to any cold target.
func TestTargetThatStartsAgainIsAnotherTarget(t *testing.T) {
	r := newRouter(t)
	r.SetRegistrations(start, startedAt(1))
	for port := range uint16(4) {
		open(t, r, start, flowFrom(port+1, fixtures))
	}
	later := start.Add(200 * time.Millisecond)
	for port := range uint16(4) {
		sendCopy(t, r, later, flowFrom(port+1, fixtures))
	}
	before := r.current.Load().targets[1]
	qt.Assert(t, before.load.suspect(later), qt.IsTrue)

	list := startedAt(2)
	list[0].ColdFor = 2 * time.Second
	r.SetRegistrations(later, list)
	now := r.current.Load().targets[1]
	qt.Assert(t, now.load.suspect(later), qt.IsFalse)
	qt.Assert(t, now.load.flows.Load(), qt.Equals, int32(0))
	qt.Assert(t, now.coldUntil, qt.Equals, later.Add(2*time.Second))

	t.Run("the copy of a first segment opens a flow at the new run", func(t *testing.T) {
		qt.Assert(t, sendCopy(t, r, later.Add(400*time.Millisecond), flowFrom(1, fixtures)), qt.Equals, baobabstep.TargetID(1))
		qt.Assert(t, now.load.flows.Load(), qt.Equals, int32(1))
	})
	t.Run("what VMs say that have not heard of the new run does not count", func(t *testing.T) {
		old := map[baobabstep.TargetID]baobabstep.TargetLoad{1: {Silence: silentTo(3, 9, later.Add(newRun))}}
		r.SetOthers(start, old, map[string]int{"a": 3, "b": 1})
		qt.Assert(t, now.load.suspect(later.Add(newRun-1)), qt.IsFalse)
		qt.Assert(t, now.load.suspect(later.Add(newRun)), qt.IsTrue)
	})
}

// A caller has a flow at a target that crashes and starts again under its
// identifier. Its packets reach the new run, which does not hold the flow and
// tells the caller so at once. Dropped by the VM, the caller would wait for its
// time limit.
func TestFlowOfARunThatIsGoneReachesTheNewOne(t *testing.T) {
	r := newRouter(t)
	r.SetRegistrations(start, startedAt(1))
	key := flowFrom(1, fixtures)
	_, token := open(t, r, start, key)
	r.SetRegistrations(start.Add(time.Second), startedAt(2))
	assertPassed(t, r, start.Add(2*time.Second), data(key, token), 1)
	qt.Assert(t, r.current.Load().targets[1].load.flows.Load(), qt.Equals, int32(1))
}

// Another writer puts an entry with another service under the key of a target
// that runs. The target's flows stay where they are, and it gets no new one by
// that entry, neither of the one service nor of the other.
func TestRunThatChangesItsServiceIsNotBelieved(t *testing.T) {
	for name, tell := range map[string]func(r *Router, list []baobabstep.Registration){
		"told whole":      func(r *Router, list []baobabstep.Registration) { r.SetRegistrations(start, list) },
		"told as changes": func(r *Router, list []baobabstep.Registration) { r.ChangeRegistrations(start, list[:1], nil) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			r.SetRegistrations(start, startedAt(1))
			key := flowFrom(1, fixtures)
			_, token := open(t, r, start, key)
			list := startedAt(1)
			list[0].Service = "results"
			tell(r, list)
			assertPassed(t, r, start, data(key, token), 1)
			assertReset(t, r, start, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(2, fixtures), Seq: 9})
			id, _ := open(t, r, start, flowFrom(2, results))
			qt.Assert(t, id, qt.Equals, baobabstep.TargetID(3))

			tell(r, startedAt(1))
			id, _ = open(t, r, start, flowFrom(3, fixtures))
			qt.Assert(t, id, qt.Equals, baobabstep.TargetID(1))
		})
	}
}

// The store was away for so long that the registrations of targets lapsed that
// live. A VM reads it as it returns and finds them missing; they are back about
// two seconds later. Callers who are refused meanwhile are refused for nothing.
func TestTargetsThatLapsedWithTheStoreAreSpared(t *testing.T) {
	const lateReturn = 2 * time.Second
	r := newRouter(t)
	r.StoreBack(start)
	r.SetRegistrations(start, nil)
	open(t, r, start.Add(lateReturn), flowFrom(1, fixtures))

	t.Run("but not for ever", func(t *testing.T) {
		now := start.Add(LapseGrace)
		assertReset(t, r, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(2, fixtures), Seq: 9})
	})
	t.Run("and only then", func(t *testing.T) {
		r := newRouter(t)
		r.SetRegistrations(start, nil)
		assertReset(t, r, start, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(1, fixtures), Seq: 9})
	})
}
