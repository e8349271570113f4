package token

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

func TestFlowStaysOnItsTarget(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(r *Router, now time.Time)
	}{
		{"nothing changes", func(*Router, time.Time) {}},
		{"its target drains", func(r *Router, now time.Time) {
			list := threeTargets()
			for i := range list {
				list[i].Draining = true
			}
			r.SetRegistrations(now, list)
		}},
		{"its registration lapses", func(r *Router, now time.Time) { r.SetRegistrations(now, nil) }},
		{"its address is routed to another service", func(r *Router, now time.Time) {
			r.SetTable(now, table(2, singleRule(fixtures, "results")))
		}},
		{"its address is routed to another service twice", func(r *Router, now time.Time) {
			r.SetTable(now, table(2, singleRule(fixtures, "results")))
			r.SetTable(now, table(3, singleRule(fixtures, "other")))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRouter(t)
			key := flowFrom(1, fixtures)
			target, token := open(t, r, start, key)
			test.change(r, start.Add(time.Second))
			assertPassed(t, r, start.Add(2*time.Second), data(key, token), target)
		})
	}
}

// Guards against a retransmitted first segment that opens its flow at a service to which the rule
// in force leads no more.
func TestRetransmittedOpenFollowsRuleInForce(t *testing.T) {
	shares := func(fixturesWeight uint32) baobabstep.Rule {
		return baobabstep.Rule{Address: fixtures, Shares: []baobabstep.Share{{Service: "fixtures", Weight: fixturesWeight}, {Service: "results", Weight: 1}}}
	}
	for _, test := range []struct {
		name  string
		rule  baobabstep.Rule
		moves bool
	}{
		{"same service", singleRule(fixtures, "fixtures"), false},
		{"other service", singleRule(fixtures, "results"), true},
		{"weight lowered", shares(1), false},
		{"weight 0", shares(0), true},
	} {
		for _, delay := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
			t.Run(test.name+" after "+delay.String(), func(t *testing.T) {
				r := newRouter(t)
				key := flowFrom(1, fixtures)
				first, _ := open(t, r, start, key)
				r.SetTable(start.Add(100*time.Millisecond), table(2, test.rule))
				second := retransmit(t, r, start.Add(delay), key)
				qt.Check(t, second != first, qt.Equals, test.moves)
				qt.Check(t, r.current.Load().targets[second].registration.Service == "results", qt.Equals, test.moves)
				qt.Check(t, r.current.Load().targets[second].load.flows.Load(), qt.Equals, int32(1))
			})
		}
	}
}

// Guards against flows that break when a VM restarts or when packets reach another VM. That
// VM has no record of the flow; the token is sufficient.
func TestAnyVMServesAnyFlow(t *testing.T) {
	key := flowFrom(1, fixtures)
	target, token := open(t, newRouter(t), start, key)
	assertPassed(t, newRouter(t), start, data(key, token), target)
}

func TestRetransmissionOfFirstPacketGoesToSameTarget(t *testing.T) {
	r := newRouter(t)
	key := flowFrom(1, fixtures)
	target, _ := open(t, r, start, key)
	for range 5 {
		again, _ := open(t, r, start.Add(200*time.Millisecond), key)
		qt.Assert(t, again, qt.Equals, target)
	}
	qt.Assert(t, r.Stats().Events[EventPlaced.String()], qt.Equals, uint64(1))
}

// Guards against callers that send a made-up token, or the token of another flow: it must
// reach no target of a service that the address was not routed to, and no target that was
// not chosen for this flow.
func TestTokenOfAnotherFlowIsDropped(t *testing.T) {
	r := newRouter(t)
	_, token := open(t, r, start, flowFrom(1, results))
	assertDropped(t, r, start, data(flowFrom(1, fixtures), token))
	assertDropped(t, r, start, data(flowFrom(2, results), token))
	assertDropped(t, r, start, data(flowFrom(2, results), 0))
}

func TestTokenOfUnroutedServiceIsDropped(t *testing.T) {
	r := newRouter(t)
	key := flowFrom(1, fixtures)
	assertDropped(t, r, start, data(key, tokenFor(hashFlow(key), 3)))
}

// Guards against packets at the wrong target when two targets have the same token for a
// flow, which has a chance of 1 in 2^32. The flow is not placed, and the caller retries
// from another port.
func TestCollidingTokenFindsNoTarget(t *testing.T) {
	h := hashFlow(flowFrom(1, fixtures))
	p := &pool{targets: []*target{{id: 5}, {id: 5}}}
	qt.Assert(t, p.find(h, tokenFor(h, 5)), qt.IsNil)
}

func TestAddressWithoutRoute(t *testing.T) {
	t.Run("a new flow is reset at once", func(t *testing.T) {
		assertReset(t, newRouter(t), start, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(1, unrouted), Seq: 9})
	})
	t.Run("an established flow is reset once its route is dropped", func(t *testing.T) {
		r := newRouter(t)
		key := flowFrom(1, fixtures)
		_, token := open(t, r, start, key)
		r.SetTable(start, table(2, singleRule(results, "results")))
		assertReset(t, r, start, data(key, token))
	})
	t.Run("a reset is never answered", func(t *testing.T) {
		assertDropped(t, newRouter(t), start, baobabstep.Segment{Kind: baobabstep.KindReset, Flow: flowFrom(1, unrouted)})
	})
	t.Run("packets are dropped before the routes are known", func(t *testing.T) {
		r := New(Options{Rand: rand.New(rand.NewPCG(1, 1))})
		assertDropped(t, r, start, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(1, fixtures)})
	})
}

// Guards against an older table that replaces a newer one because its read took longer:
// callers would be refused on a route that they have already used.
func TestVersionNeverDecreases(t *testing.T) {
	r := newRouter(t)
	qt.Assert(t, r.SetTable(start, table(7, singleRule(fixtures, "fixtures"))), qt.IsTrue)
	for _, old := range []uint64{1, 6, 7} {
		qt.Assert(t, r.SetTable(start, table(old)), qt.IsFalse)
		qt.Assert(t, r.Version(), qt.Equals, uint64(7))
	}
	open(t, r, start, flowFrom(1, fixtures))
}

func TestNewFlowsAvoidUnavailableTargets(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(list []baobabstep.Registration) []baobabstep.Registration
	}{
		{"a target that drains", func(l []baobabstep.Registration) []baobabstep.Registration { l[0].Draining = true; return l }},
		{"a target that is gone", func(l []baobabstep.Registration) []baobabstep.Registration { return l[1:] }},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRouter(t)
			r.SetRegistrations(start, test.change(threeTargets()))
			for port := range uint16(50) {
				target, _ := open(t, r, start, flowFrom(port, fixtures))
				qt.Assert(t, target, qt.Equals, baobabstep.TargetID(2))
			}
		})
	}
	t.Run("no target is left: reset at once", func(t *testing.T) {
		r := newRouter(t)
		r.SetRegistrations(start, nil)
		assertReset(t, r, start, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(1, fixtures)})
	})
}

// Guards against refused callers after a store outage that lasted longer than registrations
// do. Until they are renewed, the registrations of most targets are missing from the store
// although the targets are alive; callers were refused for a second and more.
func TestRegistrationsLapsedDuringStoreOutage(t *testing.T) {
	back := start.Add(10 * time.Second)
	lapsed := func(t *testing.T) *Router {
		r := newRouter(t)
		r.StoreReconnected(back)
		r.SetRegistrations(back, nil)
		return r
	}
	t.Run("targets get new flows during the grace period", func(t *testing.T) {
		open(t, lapsed(t), back.Add(ReregistrationGrace-1), flowFrom(1, fixtures))
	})
	t.Run("not after the grace period", func(t *testing.T) {
		assertReset(t, lapsed(t), back.Add(ReregistrationGrace), baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(1, fixtures)})
	})
	t.Run("not a target that goes missing later", func(t *testing.T) {
		r := newRouter(t)
		r.StoreReconnected(back)
		later := back.Add(ReregistrationGrace)
		r.SetRegistrations(later, nil)
		assertReset(t, r, later, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(1, fixtures)})
	})
	t.Run("not a target that drains", func(t *testing.T) {
		r := newRouter(t)
		list := threeTargets()
		list[0].Draining, list[1].Draining = true, true
		r.SetRegistrations(start, list)
		r.StoreReconnected(back)
		r.SetRegistrations(back, nil)
		assertReset(t, r, back, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(1, fixtures)})
	})
}

// Guards against new flows to a draining target because a restored store lacks its drain.
func TestDrainingTargetStaysDrainingAfterRestore(t *testing.T) {
	back := start.Add(10 * time.Second)
	restored := func(t *testing.T, change func(r *Router, leaving []baobabstep.Registration)) *Router {
		r := newRouter(t)
		list := threeTargets()
		list[0].Draining, list[1].Draining = true, true
		r.SetRegistrations(start, list)
		change(r, list)
		r.StoreRestored(back)
		r.SetRegistrations(back, threeTargets())
		return r
	}
	noChange := func(*Router, []baobabstep.Registration) {}
	gone := func(r *Router, list []baobabstep.Registration) { r.SetRegistrations(start, list[2:]) }
	segment := baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(1, fixtures)}
	t.Run("the restored store lacks the drain", func(t *testing.T) {
		assertReset(t, restored(t, noChange), back.Add(ReregistrationGrace-1), segment)
	})
	t.Run("the restored store has a target that was gone", func(t *testing.T) {
		assertReset(t, restored(t, gone), back.Add(ReregistrationGrace-1), segment)
	})
	t.Run("other registration changes do not end the drain", func(t *testing.T) {
		r := restored(t, noChange)
		for _, list := range [][]baobabstep.Registration{threeTargets()[:1], threeTargets()[1:2]} {
			list[0].WarmupLeft = time.Second
			r.ChangeRegistrations(back.Add(time.Second), list, nil)
		}
		assertReset(t, r, back.Add(ReregistrationGrace-1), segment)
	})
	t.Run("not after the grace period", func(t *testing.T) {
		open(t, restored(t, noChange), back.Add(ReregistrationGrace), segment.Flow)
	})
	t.Run("not for another incarnation", func(t *testing.T) {
		r := restored(t, noChange)
		again := threeTargets()[:1]
		again[0].StartedMS = 7
		r.ChangeRegistrations(back, again, nil)
		open(t, r, back, segment.Flow)
	})
	t.Run("not without a restore", func(t *testing.T) {
		r := newRouter(t)
		list := threeTargets()
		list[0].Draining, list[1].Draining = true, true
		r.SetRegistrations(start, list)
		r.StoreReconnected(back)
		r.SetRegistrations(back, threeTargets())
		open(t, r, back, segment.Flow)
	})
}

// Guards against overloading a cold target, and against flows to one that is gone, because
// a restored store holds registrations of incarnations that have ended.
func TestStaleIncarnationIsIgnoredAfterRestore(t *testing.T) {
	back := start.Add(10 * time.Second)
	cold := registration(1, "fixtures", "a")
	cold.StartedMS, cold.WarmupLeft = 200, 20*time.Second
	warm := cold
	warm.StartedMS, warm.WarmupLeft = 100, 0
	known := func(t *testing.T, list ...baobabstep.Registration) *Router {
		r := newRouter(t)
		r.SetRegistrations(start, list)
		return r
	}
	t.Run("an earlier incarnation is ignored", func(t *testing.T) {
		r := known(t, cold)
		r.StoreRestored(back)
		r.SetRegistrations(back, []baobabstep.Registration{warm})
		held := r.current.Load().targets[1]
		qt.Assert(t, held.registration.StartedMS, qt.Equals, cold.StartedMS)
		qt.Assert(t, held.isCold(back), qt.IsTrue)
	})
	t.Run("a later incarnation is accepted", func(t *testing.T) {
		r := known(t, warm)
		r.StoreRestored(back)
		r.SetRegistrations(back, []baobabstep.Registration{cold})
		qt.Assert(t, r.current.Load().targets[1].registration.StartedMS, qt.Equals, cold.StartedMS)
	})
	t.Run("an earlier incarnation is accepted without a restore", func(t *testing.T) {
		r := known(t, cold)
		r.SetRegistrations(back, []baobabstep.Registration{warm})
		qt.Assert(t, r.current.Load().targets[1].registration.StartedMS, qt.Equals, warm.StartedMS)
	})
	segment := baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(1, fixtures)}
	t.Run("a target that was gone gets no flow", func(t *testing.T) {
		r := known(t, warm)
		r.SetRegistrations(start.Add(time.Second), nil)
		r.StoreRestored(back)
		r.SetRegistrations(back, []baobabstep.Registration{warm})
		assertReset(t, r, back.Add(ReregistrationGrace-1), segment)
		open(t, r, back.Add(ReregistrationGrace), segment.Flow)
	})
	t.Run("a target that lapsed during the outage gets flows once it is registered", func(t *testing.T) {
		r := known(t, warm)
		r.StoreRestored(back)
		r.SetRegistrations(back, nil)
		r.SetRegistrations(back.Add(time.Second), []baobabstep.Registration{warm})
		open(t, r, back.Add(time.Second), segment.Flow)
	})
}

func TestWeightsOfShares(t *testing.T) {
	r := newRouter(t)
	r.SetTable(start, table(2, baobabstep.Rule{Address: fixtures, Shares: []baobabstep.Share{
		{Service: "fixtures", Weight: 90}, {Service: "results", Weight: 10},
	}}))
	toResults := 0
	for port := range uint16(2000) {
		if target, _ := open(t, r, start, flowFrom(port, fixtures)); target == 3 {
			toResults++
		}
	}
	qt.Assert(t, toResults > 150 && toResults < 250, qt.IsTrue, qt.Commentf("%d of 2000", toResults))
}

// Guards against a wrong count of open flows: it must follow the flows that callers open
// and close, and a closed flow whose last acknowledgements still arrive must not count
// again.
func TestLoadFollowsFlows(t *testing.T) {
	r := newRouter(t)
	key := flowFrom(1, results)
	_, token := open(t, r, start, key)
	load := func() int32 { return r.current.Load().targets[3].load.flows.Load() }
	qt.Assert(t, load(), qt.Equals, int32(1))
	closing := data(key, token)
	closing.Kind = baobabstep.KindClose
	handle(r, start, closing)
	qt.Assert(t, load(), qt.Equals, int32(0))
	handle(r, start, data(key, token))
	qt.Assert(t, load(), qt.Equals, int32(0))
	r.Tick(start.Add(closedRetention), new([]baobabstep.OutgoingDatagram))
	qt.Assert(t, r.Stats().Flows, qt.Equals, 0)

	open(t, r, start, flowFrom(2, results))
	r.Tick(start.Add(r.options.IdleTimeout), new([]baobabstep.OutgoingDatagram))
	qt.Assert(t, load(), qt.Equals, int32(0))
}

// BenchmarkFind measures the search for a flow's target among 18 and 150.
func BenchmarkFind(b *testing.B) {
	for _, count := range []int{18, 150} {
		b.Run(map[int]string{18: "18", 150: "150"}[count], func(b *testing.B) {
			p := new(pool)
			for id := range count {
				p.targets = append(p.targets, &target{id: baobabstep.TargetID(id + 1)})
			}
			h := hashFlow(flowFrom(1, fixtures))
			token := tokenFor(h, 9)
			b.ReportAllocs()
			for b.Loop() {
				if p.find(h, token) == nil {
					b.Fatal("not found")
				}
			}
		})
	}
}
