package token

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// fullTarget is a target at its connection limit: it answers on open flows and leaves first
// segments unanswered until room is set.
type fullTarget struct {
	t      testing.TB
	router *Router
	fleet  *testFleet
	id     baobabstep.TargetID
	room   bool
	// tried and refused count the new flows that were sent to it, and the callers that were reset.
	tried, refused int
}

// serve lets callers of target 1 come and go on for some rounds of 200 ms: in each, an answer on an
// open flow and some new callers, whose first segments are repeated. It returns the time after that.
func (f *fullTarget) serve(now time.Time, rounds, callers int) time.Time {
	f.t.Helper()
	for range rounds {
		f.fleet.hear(now.Add(100*time.Millisecond), 0, f.id)
		for range callers {
			f.open(now)
		}
		now = now.Add(callerRetransmissionDelay)
	}
	return now
}

// open opens one flow and repeats its first segment if it goes to the target and finds no room.
func (f *fullTarget) open(now time.Time) {
	key := f.fleet.nextKey()
	s := baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq}
	switch out := handle(f.router, now, s); {
	case out[0].Target == 0:
		f.refused++
	case out[0].Target != f.id || f.room:
		handle(f.router, now.Add(time.Millisecond), data(key, out[0].Token))
		if out[0].Target == f.id {
			f.tried++
		}
	default:
		f.tried++
		s.Acked = 1
		handle(f.router, now.Add(callerRetransmissionDelay), s)
	}
}

func newFullTarget(t testing.TB, targets int) *fullTarget {
	f := newTestFleet(t, 1)
	r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2))})
	r.SetTable(start, table(1, singleRule(fixtures, "fixtures")))
	r.SetRegistrations(start, manyTargets(targets))
	f.routers[0] = r
	return &fullTarget{t: t, router: r, fleet: f, id: 1}
}

// Failure: each answer on an open flow makes a full target look well again, and every other new
// caller waits for it for 200 ms or longer.
func TestFullTargetGetsNoNewFlows(t *testing.T) {
	f := newFullTarget(t, 4)
	now := f.serve(start, 5, 4)
	f.tried = 0
	now = f.serve(now, 50, 10) // 10 s
	qt.Check(t, f.tried <= 5, qt.IsTrue, qt.Commentf("got %d of 500 flows, want one in each longest pause", f.tried))
	qt.Check(t, f.refused, qt.Equals, 0)
	t.Run("gets them again once it accepts one", func(t *testing.T) {
		f.room, f.tried = true, 0
		now = f.serve(now, 25, 10)
		qt.Check(t, f.tried > 20, qt.IsTrue, qt.Commentf("got %d of 250 flows", f.tried))
	})
}

// Failure: a full target gets no flow for seconds after one of its flows has ended.
func TestFullTargetIsTriedOnceAFlowEnds(t *testing.T) {
	f := newFullTarget(t, 4)
	now := f.serve(start, 10, 4)
	ended := data(f.fleet.nextKey(), 0)
	ended.Token = tokenFor(hashFlow(ended.Flow), 1)
	handle(f.router, now, ended)
	ended.Kind, ended.Seq, ended.Size = baobabstep.KindClose, ended.Seq+uint32(ended.Size), 0
	handle(f.router, now, ended)
	f.room, f.tried = true, 0
	f.serve(now, 1, 20)
	qt.Assert(t, f.tried > 0, qt.IsTrue)
}

// Failure: all targets of a service are full, and each new caller waits for its timeout.
func TestNewFlowIsRefusedIfAllTargetsAreFull(t *testing.T) {
	f := newFullTarget(t, 1)
	now := f.serve(start, 6, 2)
	f.tried, f.refused = 0, 0
	now = f.serve(now, 20, 5) // 4 s
	qt.Check(t, f.tried <= 3, qt.IsTrue, qt.Commentf("%d of 100 flows were sent", f.tried))
	qt.Check(t, f.refused >= 97, qt.IsTrue)

	t.Run("but not one that may be open", func(t *testing.T) {
		for copies := range uint32(3) {
			out := handle(f.router, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: f.fleet.nextKey(), Seq: firstSeq, Acked: copies})
			qt.Check(t, out[0].Target != 0, qt.Equals, copies > 0)
		}
	})
	t.Run("nor after two lost datagrams", func(t *testing.T) {
		f := newFullTarget(t, 1)
		f.open(start)
		f.open(start)
		now := f.serve(start.Add(callerRetransmissionDelay), 1, 0)
		f.room = true
		f.serve(now, 5, 5)
		qt.Check(t, f.refused, qt.Equals, 0)
	})
	t.Run("nor once it accepts one", func(t *testing.T) {
		f.room = true
		now = f.serve(now, 25, 2)
		f.refused = 0
		f.serve(now, 25, 2)
		qt.Check(t, f.refused, qt.Equals, 0)
	})
}

// Failure: a full target that dies gets no first segment, the evidence lacks one, and its callers
// run into their timeouts.
func TestFullTargetThatDiesIsFound(t *testing.T) {
	f := newFullTarget(t, 4)
	now := f.serve(start, 10, 4)
	requests := []baobabstep.Segment{f.fleet.requestAtFirst(), f.fleet.requestAtFirst()}
	for _, request := range requests {
		assertPassed(t, f.router, now, request, 1)
	}
	now = now.Add(callerRetransmissionDelay)
	for _, request := range requests {
		handle(f.router, now, request)
	}
	assertReset(t, f.router, now, f.fleet.established(now, 0, 1))

	t.Run("with a single caller", func(t *testing.T) {
		f := newFullTarget(t, 4)
		now := f.serve(start, 10, 4)
		request := f.fleet.requestAtFirst()
		assertPassed(t, f.router, now, request, 1)
		now = now.Add(callerRetransmissionDelay)
		f.fleet.established(now, 0, 1)
		assertPassed(t, f.router, now, request, 1)
		now = now.Add(2 * callerRetransmissionDelay)
		f.fleet.established(now, 0, 1)
		assertReset(t, f.router, now, request)
	})
}
