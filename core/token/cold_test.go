package token

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/quota"
)

// coldTable routes to fixtures, whose cold targets are limited to two new flows a second
// for four seconds.
func coldTable(version uint64) *baobabstep.RoutingTable {
	t := table(version, singleRule(fixtures, "fixtures"))
	t.ColdLimits = []baobabstep.ColdLimit{{Service: "fixtures", PerSecond: 2, Duration: 4 * time.Second}}
	return t
}

func cold(id baobabstep.TargetID, dataCentre string, left time.Duration) baobabstep.Registration {
	r := registration(id, "fixtures", dataCentre)
	r.WarmupLeft = left
	return r
}

// newColdRouter returns the router of the only VM of data centre a, with the given targets.
func newColdRouter(targets ...baobabstep.Registration) *Router {
	r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), ColdOvershoot: 1.5, ColdSlack: 5})
	r.SetTable(start, coldTable(1))
	r.SetRegistrations(start, targets)
	r.SetPeerLoads(start, nil, map[string]int{"b": 1})
	r.SetView(&quota.View{Self: 1, Settled: true})
	return r
}

// openSteadily opens a flow every 10 ms. It returns how many went to target 1, the most of
// these in any second, and how many flows were refused. A refused flow must be reset at
// once.
func openSteadily(t testing.TB, r *Router, from time.Time, d time.Duration) (placed, worst, refused int) {
	t.Helper()
	var at []time.Time
	port := uint16(from.Sub(start) / (10 * time.Millisecond))
	for now := from; now.Before(from.Add(d)); now = now.Add(10 * time.Millisecond) {
		port++
		out := handle(r, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(port, fixtures), Seq: firstSeq})
		qt.Assert(t, out, qt.HasLen, 1)
		switch out[0].Target {
		case 0:
			refused++
		case 1:
			at = append(at, now)
		}
		for len(at) > 0 && now.Sub(at[0]) >= time.Second {
			at = at[1:]
		}
		if out[0].Target == 1 {
			placed++
		}
		worst = max(worst, len(at))
	}
	return placed, worst, refused
}

func TestColdLimitIsKept(t *testing.T) {
	r := newColdRouter(cold(1, "a", 2*time.Second), registration(2, "fixtures", "a"))
	placed, worst, refused := openSteadily(t, r, start, 2*time.Second)
	qt.Assert(t, refused, qt.Equals, 0)
	qt.Assert(t, worst <= 2, qt.IsTrue, qt.Commentf("got %d", worst))
	qt.Assert(t, placed >= 2, qt.IsTrue, qt.Commentf("got %d", placed))
	t.Run("no limit once it is warm", func(t *testing.T) {
		placed, _, _ := openSteadily(t, r, start.Add(2*time.Second), time.Second)
		qt.Assert(t, placed > 20, qt.IsTrue, qt.Commentf("got %d", placed))
	})
}

// Guards against overloading targets that are cold for a reason that the registration does
// not show, or shows late.
func TestColdTargetsAreRecognised(t *testing.T) {
	later := start.Add(time.Second)
	for _, test := range []struct {
		name   string
		before []baobabstep.Registration
		change func(r *Router)
	}{
		{"a VM of another data centre has no share", []baobabstep.Registration{cold(1, "b", 9*time.Second)}, func(*Router) {}},
		{"a VM whose view is not settled has no share", []baobabstep.Registration{cold(1, "a", 9*time.Second)}, func(r *Router) {
			r.SetView(&quota.View{Self: 1})
		}},
		{"it becomes cold in the same incarnation", []baobabstep.Registration{registration(1, "fixtures", "a")}, func(r *Router) {
			r.SetRegistrations(later, []baobabstep.Registration{cold(1, "a", 3*time.Second)})
			r.SetView(&quota.View{Self: 1})
		}},
		{"its data centre gets flows again", []baobabstep.Registration{registration(1, "fixtures", "a")}, func(r *Router) {
			r.SetEvacuations(later, []string{"a"})
			r.SetEvacuations(later, nil)
			r.SetView(&quota.View{Self: 1})
		}},
		{"it accepted no flows and is heard from again", []baobabstep.Registration{registration(1, "fixtures", "a")}, func(r *Router) {
			target := r.current.Load().targets[1]
			target.load.mu.Lock()
			target.load.health.avoidedAt, target.load.health.avoidUntil = start, later
			target.load.mu.Unlock()
			r.noteAnswer(later, target, false)
		}},
		{"another VM hears from it again", []baobabstep.Registration{registration(1, "fixtures", "a")}, func(r *Router) {
			target := r.current.Load().targets[1]
			target.load.mu.Lock()
			target.load.health.avoidedAt, target.load.health.avoidUntil = start, later
			target.load.mu.Unlock()
			r.SetSilenceReports(later, map[baobabstep.TargetID]baobabstep.TargetLoad{1: {HeardAt: later.Add(-time.Millisecond)}})
		}},
		{"another table has the same limit", []baobabstep.Registration{cold(1, "a", 9*time.Second)}, func(r *Router) {
			openSteadily(t, r, later.Add(-time.Second), time.Second)
			r.SetTable(later, coldTable(2))
			r.SetView(&quota.View{Self: 1})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newColdRouter(test.before...)
			test.change(r)
			placed, _, refused := openSteadily(t, r, later, 900*time.Millisecond)
			qt.Assert(t, placed, qt.Equals, 0)
			qt.Assert(t, refused, qt.Equals, 90)
		})
	}
	t.Run("a repeated registration does not extend the cold period", func(t *testing.T) {
		list := []baobabstep.Registration{cold(1, "a", time.Second)}
		r := newColdRouter(list...)
		r.SetRegistrations(later, append(list, registration(2, "results", "a")))
		placed, _, _ := openSteadily(t, r, later, time.Second)
		qt.Assert(t, placed, qt.Equals, 100)
	})
}

// Guards against refusing ordinary flows in favour of urgent ones where the only target is
// warm and accepts any number of flows.
func TestOrdinaryFlowsDoNotYieldAtWarmTarget(t *testing.T) {
	urgent, ordinary := singleRule(results, "fixtures"), singleRule(fixtures, "fixtures")
	ordinary.Repeatable, ordinary.Priority = true, 2
	table := table(1, urgent, ordinary)
	table.ColdLimits = coldTable(1).ColdLimits
	r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2))})
	r.SetTable(start, table)
	r.SetRegistrations(start, []baobabstep.Registration{registration(1, "fixtures", "a")})
	for n := range uint16(50) {
		open(t, r, start, flowFrom(2*n, results))
		open(t, r, start, flowFrom(2*n+1, fixtures))
	}
}

// Guards against ordinary flows that use up the limits of cold targets. All targets of the
// service are cold, and the demand exceeds their limits. As many flows as the limits allow
// are served, the rest are refused at once. Urgent flows come first, although ordinary ones
// are nine times as frequent.
func TestUrgentFlowsFirstIfAllTargetsAreCold(t *testing.T) {
	urgent := singleRule(results, "fixtures")
	ordinary := singleRule(fixtures, "fixtures")
	ordinary.Repeatable, ordinary.Priority = true, 2
	table := table(1, urgent, ordinary)
	table.ColdLimits = []baobabstep.ColdLimit{{Service: "fixtures", PerSecond: 6, Duration: time.Minute}}
	r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), ColdOvershoot: 1.5, ColdSlack: 5})
	r.SetTable(start, table)
	r.SetRegistrations(start, []baobabstep.Registration{cold(1, "a", time.Minute), cold(2, "a", time.Minute)})
	r.SetView(&quota.View{Self: 1, Settled: true})
	served := map[bool]int{}
	port := uint16(0)
	for n := range 5000 {
		now := start.Add(time.Duration(n) * 2 * time.Millisecond)
		port++
		isUrgent := n%10 == 0
		key := flowFrom(port, fixtures)
		if isUrgent {
			key = flowFrom(port, results)
		}
		out := handle(r, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq})
		qt.Assert(t, out, qt.HasLen, 1)
		if out[0].Target != 0 {
			served[isUrgent]++
		}
	}
	all := served[true] + served[false]
	qt.Assert(t, all >= 115 && all <= 130, qt.IsTrue, qt.Commentf("got %v", served))
	qt.Assert(t, served[false] > 0, qt.IsTrue, qt.Commentf("got %v", served))
	t.Logf("served: %d of 500 urgent, %d of 4500 ordinary", served[true], served[false])
	qt.Assert(t, served[true] > all/5, qt.IsTrue, qt.Commentf("got %v", served))
}
