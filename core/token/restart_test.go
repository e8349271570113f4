package token

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// targetsWithIncarnation returns threeTargets with the given incarnation of target 1.
func targetsWithIncarnation(startedMS uint64) []baobabstep.Registration {
	list := threeTargets()
	list[0].StartedMS = startedMS
	list[1].Draining = true // new flows then go to target 1
	return list
}

// Guards against treating a restarted target like its previous incarnation. The new one is
// idle and cold, and what the previous one left unanswered is no evidence against it: new
// flows go there at once, at the rate of any cold target.
func TestRestartedTargetStartsAfresh(t *testing.T) {
	r := newRouter(t)
	r.SetRegistrations(start, targetsWithIncarnation(1))
	for port := range uint16(4) {
		open(t, r, start, flowFrom(port+1, fixtures))
	}
	later := start.Add(200 * time.Millisecond)
	for port := range uint16(4) {
		retransmit(t, r, later, flowFrom(port+1, fixtures))
	}
	before := r.current.Load().targets[1]
	qt.Assert(t, before.load.suspect(later), qt.IsTrue)

	list := targetsWithIncarnation(2)
	list[0].WarmupLeft = 2 * time.Second
	r.SetRegistrations(later, list)
	now := r.current.Load().targets[1]
	qt.Assert(t, now.load.suspect(later), qt.IsFalse)
	qt.Assert(t, now.load.flows.Load(), qt.Equals, int32(0))
	qt.Assert(t, now.coldUntil, qt.Equals, later.Add(2*time.Second))

	t.Run("a retransmitted first segment opens a flow at the new incarnation", func(t *testing.T) {
		qt.Assert(t, retransmit(t, r, later.Add(400*time.Millisecond), flowFrom(1, fixtures)), qt.Equals, baobabstep.TargetID(1))
		qt.Assert(t, now.load.flows.Load(), qt.Equals, int32(1))
	})
	t.Run("reports of VMs that do not know the new incarnation are ignored", func(t *testing.T) {
		old := map[baobabstep.TargetID]baobabstep.TargetLoad{1: {SilenceReports: silenceReports(3, 9, later.Add(newIncarnationGrace))}}
		r.SetPeerLoads(start, old, map[string]int{"a": 3, "b": 1})
		qt.Assert(t, now.load.suspect(later.Add(newIncarnationGrace-1)), qt.IsFalse)
		qt.Assert(t, now.load.suspect(later.Add(newIncarnationGrace)), qt.IsTrue)
	})
}

// Guards against dropping packets of a flow whose target has crashed and restarted under
// its identifier, which would leave the caller waiting for its timeout. The packets go to
// the new incarnation, which does not hold the flow and tells the caller so at once.
func TestFlowOfPreviousIncarnationReachesNewIncarnation(t *testing.T) {
	r := newRouter(t)
	r.SetRegistrations(start, targetsWithIncarnation(1))
	key := flowFrom(1, fixtures)
	_, token := open(t, r, start, key)
	r.SetRegistrations(start.Add(time.Second), targetsWithIncarnation(2))
	assertPassed(t, r, start.Add(2*time.Second), data(key, token), 1)
	qt.Assert(t, r.current.Load().targets[1].load.flows.Load(), qt.Equals, int32(1))
}

// Guards against a foreign registration under the key of a running target that names
// another service. The target's flows stay at the target, and it gets no new flows of
// either service because of that registration.
func TestServiceChangeOfIncarnationIsIgnored(t *testing.T) {
	for name, apply := range map[string]func(r *Router, list []baobabstep.Registration){
		"as full set": func(r *Router, list []baobabstep.Registration) { r.SetRegistrations(start, list) },
		"as changes":  func(r *Router, list []baobabstep.Registration) { r.ChangeRegistrations(start, list[:1], nil) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			r.SetRegistrations(start, targetsWithIncarnation(1))
			key := flowFrom(1, fixtures)
			_, token := open(t, r, start, key)
			list := targetsWithIncarnation(1)
			list[0].Service = "results"
			apply(r, list)
			assertPassed(t, r, start, data(key, token), 1)
			assertReset(t, r, start, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(2, fixtures), Seq: 9})
			id, _ := open(t, r, start, flowFrom(2, results))
			qt.Assert(t, id, qt.Equals, baobabstep.TargetID(3))

			apply(r, targetsWithIncarnation(1))
			id, _ = open(t, r, start, flowFrom(3, fixtures))
			qt.Assert(t, id, qt.Equals, baobabstep.TargetID(1))
		})
	}
}

// Guards against refusing callers after a store outage during which the registrations of
// live targets lapsed. A VM reads the store when it returns and finds them missing; they
// are renewed about two seconds later.
func TestLapsedTargetsGetFlowsDuringGrace(t *testing.T) {
	const lateReturn = 2 * time.Second
	r := newRouter(t)
	r.StoreReconnected(start)
	r.SetRegistrations(start, nil)
	open(t, r, start.Add(lateReturn), flowFrom(1, fixtures))

	t.Run("not after the grace period", func(t *testing.T) {
		now := start.Add(ReregistrationGrace)
		assertReset(t, r, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(2, fixtures), Seq: 9})
	})
	t.Run("not without a store outage", func(t *testing.T) {
		r := newRouter(t)
		r.SetRegistrations(start, nil)
		assertReset(t, r, start, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(1, fixtures), Seq: 9})
	})
}
