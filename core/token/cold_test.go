package token

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/quota"
)

// coldTable leads to fixtures, whose cold targets bear two new flows a second for
// four seconds.
func coldTable(version uint64) *baobabstep.RoutingTable {
	t := table(version, rule1(fixtures, "fixtures"))
	t.ColdLimits = []baobabstep.ColdLimit{{Service: "fixtures", PerSecond: 2, Lasts: 4 * time.Second}}
	return t
}

func cold(id baobabstep.TargetID, dataCentre string, left time.Duration) baobabstep.Registration {
	r := registration(id, "fixtures", dataCentre)
	r.ColdFor = left
	return r
}

// newColdRouter returns the router of a VM that is alone in data centre a, before
// targets of which some are cold.
func newColdRouter(targets ...baobabstep.Registration) *Router {
	r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), ColdOvershoot: 1.5, ColdSlack: 5})
	r.SetTable(start, coldTable(1))
	r.SetRegistrations(start, targets)
	r.SetOthers(start, nil, map[string]int{"b": 1})
	r.SetView(&quota.View{Self: 1, Settled: true})
	return r
}

// coldPlay sends a new flow every 10 ms and returns how many went to target 1, and
// the most in any second. A flow that is refused must be refused at once.
func coldPlay(t testing.TB, r *Router, from time.Time, d time.Duration) (placed, worst, refused int) {
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

func TestColdTargetGetsWhatItBears(t *testing.T) {
	r := newColdRouter(cold(1, "a", 2*time.Second), registration(2, "fixtures", "a"))
	placed, worst, refused := coldPlay(t, r, start, 2*time.Second)
	qt.Assert(t, refused, qt.Equals, 0)
	qt.Assert(t, worst <= 2, qt.IsTrue, qt.Commentf("got %d", worst))
	qt.Assert(t, placed >= 2, qt.IsTrue, qt.Commentf("got %d", placed))
	t.Run("and what the others get once it is warm", func(t *testing.T) {
		placed, _, _ := coldPlay(t, r, start.Add(2*time.Second), time.Second)
		qt.Assert(t, placed > 20, qt.IsTrue, qt.Commentf("got %d", placed))
	})
}

// Each of these makes a target cold, or leaves it so, in a way that its registration
// alone does not say, or says late. Callers must not be sent there in a flood.
func TestColdTargetsStayKnown(t *testing.T) {
	later := start.Add(time.Second)
	for _, test := range []struct {
		name   string
		before []baobabstep.Registration
		change func(r *Router)
	}{
		{"a VM of another data centre has no share", []baobabstep.Registration{cold(1, "b", 9*time.Second)}, func(*Router) {}},
		{"nor one that may not know the others", []baobabstep.Registration{cold(1, "a", 9*time.Second)}, func(r *Router) {
			r.SetView(&quota.View{Self: 1})
		}},
		{"it becomes cold in the same run", []baobabstep.Registration{registration(1, "fixtures", "a")}, func(r *Router) {
			r.SetRegistrations(later, []baobabstep.Registration{cold(1, "a", 3*time.Second)})
			r.SetView(&quota.View{Self: 1})
		}},
		{"its data centre gets flows again", []baobabstep.Registration{registration(1, "fixtures", "a")}, func(r *Router) {
			r.SetEvacuations(later, []string{"a"})
			r.SetEvacuations(later, nil)
			r.SetView(&quota.View{Self: 1})
		}},
		{"it took no flows and is heard of again", []baobabstep.Registration{registration(1, "fixtures", "a")}, func(r *Router) {
			target := r.current.Load().targets[1]
			target.load.mu.Lock()
			target.load.health.avoidedAt, target.load.health.avoidUntil = start, later
			target.load.mu.Unlock()
			r.answered(later, target)
		}},
		{"another VM hears of it again", []baobabstep.Registration{registration(1, "fixtures", "a")}, func(r *Router) {
			target := r.current.Load().targets[1]
			target.load.mu.Lock()
			target.load.health.avoidedAt, target.load.health.avoidUntil = start, later
			target.load.mu.Unlock()
			r.SetSilence(later, map[baobabstep.TargetID]baobabstep.TargetLoad{1: {HeardAt: later.Add(-time.Millisecond)}})
		}},
		{"another table says the same limit", []baobabstep.Registration{cold(1, "a", 9*time.Second)}, func(r *Router) {
			coldPlay(t, r, later.Add(-time.Second), time.Second)
			r.SetTable(later, coldTable(2))
			r.SetView(&quota.View{Self: 1})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newColdRouter(test.before...)
			test.change(r)
			placed, _, refused := coldPlay(t, r, later, 900*time.Millisecond)
			qt.Assert(t, placed, qt.Equals, 0)
			qt.Assert(t, refused, qt.Equals, 90)
		})
	}
	t.Run("a registration that comes again does not make it cold for longer", func(t *testing.T) {
		list := []baobabstep.Registration{cold(1, "a", time.Second)}
		r := newColdRouter(list...)
		r.SetRegistrations(later, append(list, registration(2, "results", "a")))
		placed, _, _ := coldPlay(t, r, later, time.Second)
		qt.Assert(t, placed, qt.Equals, 100)
	})
}

// A service has one target, which is warm. Urgent flows come as well: the ordinary
// ones need not leave it to them, since it takes any number.
func TestOnlyTargetIsWarm(t *testing.T) {
	urgent, ordinary := rule1(results, "fixtures"), rule1(fixtures, "fixtures")
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

// All targets of a service are cold, and more is asked than they bear. What fits is
// served, the rest is refused at once, and urgent flows are served first: of the two
// flows a second, ordinary ones that come ten times as often must not take all.
func TestAllTargetsAreCold(t *testing.T) {
	urgent := rule1(results, "fixtures")
	ordinary := rule1(fixtures, "fixtures")
	ordinary.Repeatable, ordinary.Priority = true, 2
	table := table(1, urgent, ordinary)
	table.ColdLimits = []baobabstep.ColdLimit{{Service: "fixtures", PerSecond: 6, Lasts: time.Minute}}
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
