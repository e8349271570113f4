package token

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// newUnconfirmedRouter returns a router with a table that no store confirmed.
func newUnconfirmedRouter() *Router {
	r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2))})
	r.SetTable(start, table(1, singleRule(fixtures, "fixtures")))
	r.SetRegistrations(start, threeTargets())
	return r
}

func openSegment(key baobabstep.FlowKey) baobabstep.Segment {
	return baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq}
}

// Guards against a starting VM that resets open flows of routes that its outdated table lacks.
func TestUnconfirmedTableResetsNoFlow(t *testing.T) {
	key := flowFrom(1, results)
	packet := data(key, tokenFor(hashFlow(key), 3))
	t.Run("the newest table has the route", func(t *testing.T) {
		r := newUnconfirmedRouter()
		assertDropped(t, r, start, packet)
		assertDropped(t, r, start, openSegment(flowFrom(2, results)))
		qt.Check(t, r.Stats().Events[EventRouteUnconfirmed.String()], qt.Equals, uint64(2))
		later := start.Add(100 * time.Millisecond)
		r.SetTable(later, table(2, singleRule(fixtures, "fixtures"), singleRule(results, "results")))
		r.ConfirmTable(later)
		assertPassed(t, r, later, packet, 3)
	})
	t.Run("the newest table lacks the route", func(t *testing.T) {
		r := newUnconfirmedRouter()
		assertDropped(t, r, start, packet)
		r.ConfirmTable(start.Add(time.Second))
		assertReset(t, r, start.Add(time.Second), packet)
		assertReset(t, r, start.Add(time.Second), openSegment(flowFrom(2, results)))
	})
	t.Run("flows of its own routes are served", func(t *testing.T) {
		open(t, newUnconfirmedRouter(), start, flowFrom(1, fixtures))
	})
}

// Guards against resetting an open flow that another VM routed by a newer table, which was in force
// there after the store last confirmed the table here.
func TestFlowOfNewerTableIsNotReset(t *testing.T) {
	r := newUnconfirmedRouter()
	key, later := flowFrom(1, results), start.Add(time.Second)
	r.ConfirmTable(start)
	assertDropped(t, r, later, data(key, 5))
	r.ConfirmTable(start.Add(900 * time.Millisecond))
	assertDropped(t, r, later.Add(200*time.Millisecond), data(key, 5))
	r.ConfirmTable(later.Add(-time.Hour)) // a delayed message
	r.ConfirmTable(later.Add(confirmationSlack - 1))
	assertDropped(t, r, later.Add(400*time.Millisecond), data(key, 5))
	r.ConfirmTable(later.Add(confirmationSlack))
	assertReset(t, r, later.Add(600*time.Millisecond), data(key, 5))

	t.Run("a flow that this VM routed is reset at once, and again if the reset is lost", func(t *testing.T) {
		r := newUnconfirmedRouter()
		r.ConfirmTable(start)
		key := flowFrom(1, fixtures)
		_, token := open(t, r, start, key)
		r.SetTable(later, table(2))
		assertReset(t, r, later, data(key, token))
		assertReset(t, r, later.Add(200*time.Millisecond), data(key, token))
	})
	t.Run("idle flows are forgotten", func(t *testing.T) {
		r.Tick(later.Add(time.Minute), nil)
		qt.Check(t, r.flows.shard(hashFlow(key)).unrouted, qt.HasLen, 0)
	})
	t.Run("the records are limited", func(t *testing.T) {
		for n := range 20 * maxUnroutedFlows {
			handle(r, later, data(flowFrom(uint16(n), results), 5))
		}
		for i := range r.flows.shards {
			qt.Check(t, r.flows.shards[i].unrouted, qt.HasLen, maxUnroutedFlows)
		}
	})
}

// Guards against a starting VM that refuses the flows of a service whose targets registered after
// its outdated registrations.
func TestUnconfirmedRegistrationsRefuseNoFlow(t *testing.T) {
	key := flowFrom(1, fixtures)
	newRouter := func() *Router {
		r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2))})
		r.AwaitTargets()
		r.SetTable(start, table(1, singleRule(fixtures, "fixtures")))
		r.SetRegistrations(start, []baobabstep.Registration{registration(3, "results", "a")})
		return r
	}
	t.Run("a target has registered since", func(t *testing.T) {
		r := newRouter()
		assertDropped(t, r, start, openSegment(key))
		qt.Check(t, r.Stats().Events[EventTargetsUnconfirmed.String()], qt.Equals, uint64(1))
		r.SetRegistrations(start, threeTargets())
		open(t, r, start, key)
	})
	t.Run("there is none", func(t *testing.T) {
		r := newRouter()
		r.ConfirmTargets()
		assertReset(t, r, start, openSegment(key))
	})
}
