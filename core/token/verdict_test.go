package token

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// Failure: the datagrams of some flows of a live target are lost, and its other flows are reset
// because three VMs find it silent at the same time.
func TestContradictionKeepsFlows(t *testing.T) {
	f := newTestFleet(t, 5)
	now := start.Add(newIncarnationGrace)
	f.hear(now.Add(100*time.Millisecond), 4, 1) // after the segments were sent
	for vm := range 3 {
		f.findSilent(now, vm, 1)
	}
	now = now.Add(callerRetransmissionDelay)
	t.Run("before a contradiction", func(t *testing.T) {
		for vm := range 3 {
			f.reports[vm][1] = f.routers[vm].TakeAlarms(now)[0]
		}
		f.routers[3].SetSilenceReports(now, map[baobabstep.TargetID]baobabstep.TargetLoad{1: f.combined(3, 1)})
		assertPassed(t, f.routers[3], now.Add(contradictionDelay-time.Millisecond), f.established(now, 3, 1), 1)
	})
	t.Run("after a contradiction", func(t *testing.T) {
		f.routers[4].SetSilenceReports(now, map[baobabstep.TargetID]baobabstep.TargetLoad{1: f.combined(4, 1)})
		f.exchange(now)
		later := now.Add(2 * contradictionDelay)
		for _, vm := range []int{0, 3} {
			assertPassed(t, f.routers[vm], later, f.established(later, vm, 1), 1)
		}
	})
}

// Failure: a target at its connection limit leaves all first segments unanswered, and its open
// flows are reset although it answers on them.
func TestFullTargetKeepsItsFlows(t *testing.T) {
	for _, vms := range []int{1, 2, 3, 5} {
		for _, congested := range []int{0, 1} {
			t.Run(fmt.Sprintf("%d VMs, %d congested", vms, congested), func(t *testing.T) {
				f := newTestFleet(t, vms)
				f.setHeard(map[string]int{"a": vms - 1, "b": 1})
				f.congest(0, congested, start.Add(time.Minute))
				now := start.Add(newIncarnationGrace)
				for range 8 {
					for vm := range f.routers {
						f.findFull(now, vm, 1)
					}
					now = now.Add(callerRetransmissionDelay)
					f.exchange(now)
					for vm, r := range f.routers {
						for _, wait := range []time.Duration{0, contradictionDelay, callerRetransmissionDelay - 1} {
							assertPassed(t, r, now.Add(wait), f.established(now.Add(wait), vm, 1), 1)
						}
					}
				}
			})
		}
	}
	t.Run("one request is lost", func(t *testing.T) {
		f := newTestFleet(t, 1)
		now := start.Add(newIncarnationGrace)
		lost := f.requestAtFirst()
		handle(f.routers[0], now, lost)
		for range 4 {
			f.findFull(now, 0, 1)
		}
		now = now.Add(callerRetransmissionDelay)
		assertPassed(t, f.routers[0], now, f.established(now, 0, 1), 1)
		assertPassed(t, f.routers[0], now, lost, 1)
		now = now.Add(contradictionDelay)
		assertPassed(t, f.routers[0], now, f.established(now, 0, 1), 1)
	})
	t.Run("requests were lost more than a second ago", func(t *testing.T) {
		f := newTestFleet(t, 2)
		now := start.Add(newIncarnationGrace)
		for vm := range f.routers {
			f.findSilent(now, vm, 1)
		}
		now = now.Add(callerRetransmissionDelay + evidenceLifetime)
		for vm := range f.routers {
			f.findFull(now.Add(-callerRetransmissionDelay), vm, 1)
		}
		f.exchange(now)
		now = now.Add(contradictionDelay)
		assertPassed(t, f.routers[0], now, f.established(now, 0, 1), 1)
	})
}

// Failure: another VM has heard from a full target since some requests were lost, and first segments
// that are unanswered later make this VM, or those that it told, reset open flows.
func TestLostRequestsBeforeSignOfLifeAreIgnored(t *testing.T) {
	for _, vm := range []int{0, 1, 4} {
		t.Run(fmt.Sprintf("VM %d", vm), func(t *testing.T) {
			f := newTestFleet(t, 5)
			now := start.Add(newIncarnationGrace)
			f.findUnanswered(now, 0, 1, requestRepeated)
			now = now.Add(callerRetransmissionDelay)
			f.exchange(now)
			f.hear(now.Add(time.Millisecond), 3, 1)
			for range 4 {
				for silent := range 3 {
					f.findFull(now.Add(2*time.Millisecond), silent, 1)
				}
				now = now.Add(callerRetransmissionDelay + 2*time.Millisecond)
				f.exchange(now)
				later := now.Add(contradictionDelay)
				assertPassed(t, f.routers[vm], later, f.established(later, vm, 1), 1)
			}
		})
	}
}

// Failure: a single caller of a dead target runs into its timeout, as its request counts once
// however often it is repeated.
func TestSecondRepetitionOfRequestCounts(t *testing.T) {
	f := newTestFleet(t, 1)
	now := start.Add(newIncarnationGrace)
	request := f.requestAtFirst()
	handle(f.routers[0], now, request)
	f.findFull(now, 0, 1)
	now = now.Add(callerRetransmissionDelay)
	f.established(now, 0, 1)
	assertPassed(t, f.routers[0], now, request, 1)
	now = now.Add(2 * callerRetransmissionDelay)
	f.established(now, 0, 1)
	assertReset(t, f.routers[0], now, request)
}

// Failure: a VM found a target silent for a moment. Seconds later the fabric sends the further
// segments of new flows to other VMs, and open flows at the live target are reset.
func TestVanishedFlowsRenewNoEvidence(t *testing.T) {
	var h health
	silence{opens: 2, requests: 2}.addTo(&h, start)
	qt.Assert(t, h.unreachable(start, true), qt.IsTrue)
	later := start.Add(evidenceLifetime)
	h.noteUnanswered(later, openVanished)
	qt.Assert(t, h.unreachable(later, true), qt.IsFalse)
}

// Failure: flows of a dead target wait for a contradiction that cannot come, as their own
// requests are unanswered too.
func TestUnansweredRequestsSettleTheVerdict(t *testing.T) {
	for _, test := range []struct {
		name    string
		kind    silenceKind
		settled bool
	}{
		{"first segments only", openRepeated, false},
		{"a request as well", requestRepeated, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := health{reports: silenceReports(1, 2, start)}
			h.noteUnanswered(start, openRepeated)
			h.noteUnanswered(start, test.kind)
			v := h.updateVerdict(start, false)
			qt.Assert(t, v.unreachable, qt.IsTrue)
			qt.Assert(t, v.settled, qt.Equals, test.settled)
			qt.Assert(t, h.updateVerdict(start.Add(contradictionDelay), false).settled, qt.IsTrue)
		})
	}
}

// Failure: a heartbeat that ends a verdict does not clear its start time, and the next verdict
// resets flows before a VM that hears from the target can contradict.
func TestHeartbeatEndsVerdict(t *testing.T) {
	f := newTestFleet(t, 4)
	r, now := f.routers[0], start.Add(newIncarnationGrace)
	report := func(now, heardAt time.Time) map[baobabstep.TargetID]baobabstep.TargetLoad {
		return map[baobabstep.TargetID]baobabstep.TargetLoad{1: {SilenceReports: silenceReports(3, 2, now), HeardAt: heardAt}}
	}
	r.SetSilenceReports(now, report(now, time.Time{}))
	r.SetPeerLoads(now, report(now, now), map[string]int{"a": 3})
	now = now.Add(2 * callerRetransmissionDelay)
	r.SetSilenceReports(now, report(now, time.Time{}))
	assertPassed(t, r, now, f.established(now, 0, 1), 1)
	now = now.Add(contradictionDelay)
	assertReset(t, r, now, f.established(now, 0, 1))

	t.Run("heartbeat starts a verdict", func(t *testing.T) {
		f := newTestFleet(t, 4)
		r, now := f.routers[0], start.Add(newIncarnationGrace)
		r.SetPeerLoads(now, report(now, time.Time{}), map[string]int{"a": 3})
		now = now.Add(contradictionDelay)
		assertReset(t, r, now, f.established(now, 0, 1))
	})
}

// Failure: another VM receives a delayed acknowledgement of a target just after it died. All
// evidence is older, and as a request counts once, none follows while its caller retransmits it.
func TestFurtherRetransmissionsRenewEvidence(t *testing.T) {
	f := newTestFleet(t, 4)
	died := start.Add(newIncarnationGrace)
	requests := make([]baobabstep.Segment, 3)
	for vm := range requests {
		key := f.nextKey()
		requests[vm] = data(key, tokenFor(hashFlow(key), 1))
		handle(f.routers[vm], died.Add(time.Millisecond), requests[vm])
		f.findSilent(died.Add(time.Millisecond), vm, 1)
	}
	f.hear(died.Add(40*time.Millisecond), 3, 1)
	at := died.Add(time.Millisecond)
	for _, wait := range []time.Duration{200, 400} {
		at = at.Add(wait * time.Millisecond)
		for vm, request := range requests {
			handle(f.routers[vm], at, request)
		}
		f.exchange(at)
	}
	flows, _ := f.routers[0].current.Load().targets[1].load.unansweredCounts()
	qt.Assert(t, flows, qt.Equals, 5) // each counts once
	at = at.Add(contradictionDelay)
	assertReset(t, f.routers[0], at, f.established(at, 0, 1))

	t.Run("not on a congested link", func(t *testing.T) {
		f.congest(0, 1, at.Add(time.Second))
		later := at.Add(800 * time.Millisecond)
		handle(f.routers[0], later, requests[0])
		f.routers[0].current.Load().targets[1].load.mu.Lock()
		defer f.routers[0].current.Load().targets[1].load.mu.Unlock()
		qt.Assert(t, f.routers[0].current.Load().targets[1].load.health.unansweredAt.Before(later), qt.IsTrue)
	})
}

// Failure: the verdict on a target without traffic starts only with the next packet, and its
// flows are reset 50 ms late.
func TestOwnEvidenceBeginsTheVerdict(t *testing.T) {
	f := newTestFleet(t, 1)
	now := start.Add(newIncarnationGrace)
	f.setHeard(map[string]int{"a": 1})
	later := now.Add(callerRetransmissionDelay)
	f.routers[0].SetSilenceReports(later, map[baobabstep.TargetID]baobabstep.TargetLoad{1: {SilenceReports: silenceReports(1, 2, later)}})
	f.findSilent(now, 0, 1)
	later = later.Add(contradictionDelay)
	assertReset(t, f.routers[0], later, f.established(later, 0, 1))
}

// Failure: a VM whose peers are all congested resets flows before a contradiction that is queued
// on the link of a peer arrives.
func TestSingleUncongestedVMWaitsForContradiction(t *testing.T) {
	f := newTestFleet(t, 2)
	f.routers[0].SetCongestedVMs(1)
	now := start.Add(newIncarnationGrace)
	f.findSilent(now, 0, 1)
	now = now.Add(2 * callerRetransmissionDelay).Add(-time.Millisecond)
	assertPassed(t, f.routers[0], now, f.established(now, 0, 1), 1)
	now = now.Add(time.Millisecond)
	assertReset(t, f.routers[0], now, f.established(now, 0, 1))
}
