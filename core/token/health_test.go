package token

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// retransmit sends a flow's first segment again and returns the target it went to.
func retransmit(t testing.TB, r *Router, now time.Time, key baobabstep.FlowKey) baobabstep.TargetID {
	t.Helper()
	out := handle(r, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq, Acked: 1})
	qt.Assert(t, out, qt.HasLen, 1)
	return out[0].Target
}

// newRouterWithSilentTarget returns a router with four targets in its data centre, the one
// of them that two flows found silent, and the present time.
func newRouterWithSilentTarget(t testing.TB) (*Router, baobabstep.TargetID, time.Time) {
	t.Helper()
	r := newRouter(t)
	r.SetRegistrations(start, manyTargets(4))
	flows := map[baobabstep.TargetID][]baobabstep.FlowKey{}
	for port := range uint16(8) {
		key := flowFrom(port+1, fixtures)
		target, _ := open(t, r, start, key)
		flows[target] = append(flows[target], key)
	}
	later := start.Add(200 * time.Millisecond)
	qt.Assert(t, retransmit(t, r, later, flows[1][0]), qt.Equals, baobabstep.TargetID(1))
	qt.Assert(t, retransmit(t, r, later, flows[1][1]), qt.Not(qt.Equals), baobabstep.TargetID(1))
	return r, 1, later
}

// Guards against sending new flows to a crashed target until its registration lapses
// seconds later, which would cost each caller its timeout. Callers retransmit their first
// packets after 200 ms. The second unanswered flow moves to another target, and new flows
// avoid the silent one.
func TestSilentTargetGetsNoNewFlows(t *testing.T) {
	r, silent, now := newRouterWithSilentTarget(t)
	for id, n := range openMany(t, r, now, 100, 100) {
		qt.Assert(t, id, qt.Not(qt.Equals), silent, qt.Commentf("got %d flows", n))
	}
}

func TestSilentTargetGetsTrialFlows(t *testing.T) {
	r, silent, now := newRouterWithSilentTarget(t)
	now = now.Add(minTrialPause)
	got := openMany(t, r, now, 100, 50)
	qt.Assert(t, got[silent], qt.Equals, 1)

	t.Run("less often while it stays silent", func(t *testing.T) {
		qt.Assert(t, openMany(t, r, now.Add(minTrialPause), 1000, 50)[silent] <= 1, qt.IsTrue)
	})
	t.Run("gets new flows again once it answers", func(t *testing.T) {
		r, silent, now := newRouterWithSilentTarget(t)
		now = now.Add(minTrialPause)
		for port := uint16(100); ; port++ {
			key := flowFrom(port, fixtures)
			target, token := open(t, r, now, key)
			if target == silent {
				handle(r, now, data(key, token))
				break
			}
		}
		qt.Assert(t, openMany(t, r, now, 1000, 100)[silent] > 10, qt.IsTrue)
	})
}

// Guards against moving a flow because of a retransmission that was queued in this VM's
// socket together with the first packet. The target has had no time to answer, so this is
// no evidence against it, and a move would leave the flow open at one target with the token
// of another.
func TestEarlyRetransmissionDoesNotMoveFlow(t *testing.T) {
	r, silent, now := newRouterWithSilentTarget(t)
	r.SetRegistrations(now, []baobabstep.Registration{registration(silent, "fixtures", "a")})
	key := flowFrom(500, fixtures)
	open(t, r, now, key)
	r.SetRegistrations(now, manyTargets(4))
	qt.Assert(t, retransmit(t, r, now.Add(minRetransmissionDelay-1), key), qt.Equals, silent)
}

// Guards against refusing all flows because this VM's own link, or that of its callers, is
// broken and all targets seem unreachable. Refusing would turn that into an outage of the
// service.
func TestFlowsArePlacedIfAllTargetsAreSilent(t *testing.T) {
	r := newRouter(t)
	r.SetRegistrations(start, manyTargets(2))
	for port := range uint16(10) {
		key := flowFrom(port+1, fixtures)
		open(t, r, start, key)
		retransmit(t, r, start.Add(200*time.Millisecond), key)
	}
	open(t, r, start.Add(300*time.Millisecond), flowFrom(99, fixtures))
}

// Guards against callers with long flows at a dead target that wait for their timeouts.
// Once a first segment and two requests are unanswered while other targets answer, the flows
// are reset at once.
func TestFlowsOfUnreachableTargetAreReset(t *testing.T) {
	r := newRouter(t)
	r.SetRegistrations(start, manyTargets(2))
	established := map[baobabstep.TargetID]baobabstep.Segment{}
	for port := uint16(1); len(established) < 2; port++ {
		key := flowFrom(port, fixtures)
		target, token := open(t, r, start, key)
		established[target] = data(key, token)
		handle(r, start, data(key, token))
	}
	now := start.Add(200 * time.Millisecond)
	for port := uint16(100); port < 1000 && !r.current.Load().targets[1].load.unreachable(now, true); port++ {
		key := flowFrom(port, fixtures)
		request := data(flowFrom(1000+port, fixtures), 0)
		request.Token = tokenFor(hashFlow(request.Flow), 1)
		handle(r, now, request)
		if target, _ := open(t, r, now, key); target == 1 {
			now = now.Add(200 * time.Millisecond)
			handle(r, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq, Acked: 1})
			handle(r, now, request)
		}
	}
	next := established[1]
	next.Seq += 100
	t.Run("not while this VM hears from no target", func(t *testing.T) {
		assertPassed(t, r, now.Add(maxHearingAge), next, 1)
	})
	heard := established[2]
	heard.Acked += 100
	assertPassed(t, r, now, heard, 2)
	assertReset(t, r, now, next)
	t.Run("not once the target is heard from again", func(t *testing.T) {
		r.current.Load().targets[1].load.noteAnswer(now, false)
		assertPassed(t, r, now, next, 1)
	})
}

// Guards against resetting flows because of expired evidence. A target was unreachable and
// has recovered. A VM that had no packets for it in the meantime still holds its evidence,
// and then receives a flow that was opened through another VM; such flows were reset
// seconds after the recovery.
func TestExpiredEvidenceResetsNoFlow(t *testing.T) {
	r := newRouter(t)
	open(t, r, start, flowFrom(2, fixtures)) // another target of the service is heard from
	key := flowFrom(1, fixtures)
	token := tokenFor(hashFlow(key), 1)
	silent := r.current.Load().targets[1].load
	for range 5 {
		silent.noteUnanswered(start, openRepeated)
		silent.noteUnanswered(start, requestRepeated)
	}
	later := start.Add(evidenceLifetime)
	r.current.Load().targets[2].load.noteAnswer(later, false)
	assertReset(t, r, later.Add(-1), data(key, token))
	assertPassed(t, r, later, data(key, token), 1)
	qt.Assert(t, silent.silenceReport(later).Unanswered, qt.Equals, 0)
}

// Guards against resetting flows of an overloaded target. It accepts flows at once, but its
// answers take longer than the 200 ms after which callers repeat their requests, so many
// requests are repeated between two answers.
func TestSlowAnswersResetNoFlow(t *testing.T) {
	r := newRouter(t)
	r.SetRegistrations(start, manyTargets(2))
	var segments []baobabstep.Segment
	for port := range uint16(40) {
		key := flowFrom(port+1, fixtures)
		_, token := open(t, r, start, key)
		s := data(key, token)
		handle(r, start, s)
		segments = append(segments, s)
	}
	now := start
	for round := range 20 {
		now = now.Add(250 * time.Millisecond)
		for i := range segments {
			s := &segments[i]
			if (i+round)%3 == 0 { // every third request is answered by now
				s.Acked += 600
				s.Seq += uint32(s.Size)
			}
			out := handle(r, now, *s)
			qt.Assert(t, out[0].Target, qt.Not(qt.Equals), baobabstep.TargetID(0), qt.Commentf("round %d, flow %d", round, i))
		}
	}
}

// Guards against evidence from segments that were lost on this VM's own full link. Segments
// of other flows show that the target is alive; resetting flows would break them at a
// healthy target.
func TestLostSegmentsAreNoEvidenceAgainstLiveTarget(t *testing.T) {
	r := newRouter(t)
	key := flowFrom(1, results)
	_, token := open(t, r, start, key)
	handle(r, start, data(key, token))
	for port := range uint16(9) {
		open(t, r, start.Add(time.Millisecond), flowFrom(port+100, results))
	}
	next := data(key, token)
	next.Seq, next.Acked = next.Seq+100, next.Acked+600
	handle(r, start.Add(100*time.Millisecond), next)
	for port := range uint16(9) {
		retransmit(t, r, start.Add(201*time.Millisecond), flowFrom(port+100, results))
	}
	flows, _ := r.current.Load().targets[3].load.unansweredCounts()
	qt.Assert(t, flows, qt.Equals, 0)
}

// Guards against taking the acknowledgement number of a caller's reset for an answer. The
// number is undefined there; taken for an answer, it cleared the evidence against
// unreachable targets.
func TestCallerResetIsNotAnAnswer(t *testing.T) {
	r := newRouter(t)
	key := flowFrom(1, results)
	_, token := open(t, r, start, key)
	handle(r, start, data(key, token))
	load := r.current.Load().targets[3].load
	load.noteUnanswered(start, openRepeated)
	gone := data(key, token)
	gone.Kind, gone.Acked = baobabstep.KindReset, gone.Acked+5
	handle(r, start, gone)
	flows, _ := load.unansweredCounts()
	qt.Assert(t, flows, qt.Equals, 1)
}

// silenceReports returns the reports of some VMs, each of which found the given number of
// flows unanswered from their first segments on and as many requests on open flows.
func silenceReports(vms, flows int, leftAt time.Time) []baobabstep.SilenceReport {
	return makeSilenceReports(vms, flows, flows, leftAt)
}

// makeSilenceReports returns the reports of some VMs, each of which found the given numbers
// of first segments and of requests on open flows unanswered.
func makeSilenceReports(vms, opens, requests int, leftAt time.Time) (reports []baobabstep.SilenceReport) {
	for range vms {
		reports = append(reports, baobabstep.SilenceReport{Unanswered: opens + requests, UnansweredOpens: opens, LastUnansweredAt: leftAt})
	}
	return reports
}

// silence counts what a VM found unanswered at a target.
type silence struct{ opens, requests int }

func (s silence) addTo(h *health, now time.Time) {
	for range s.opens {
		h.noteUnanswered(now, openRepeated)
	}
	for range s.requests {
		h.noteUnanswered(now, requestRepeated)
	}
}

// Each VM of a data centre sees a few flows of a silent target. One own request and one of
// another VM must be enough to reset flows if a first segment was unanswered as well, and
// reports alone must keep new flows away. A sign of life seen by this VM takes precedence.
// First segments alone reset none: the target may be full.
func TestReportsOfOtherVMs(t *testing.T) {
	now := start.Add(time.Second)
	for _, test := range []struct {
		name                 string
		own, others          silence
		heard, alone         bool
		suspect, unreachable bool
	}{
		{"one own", silence{1, 0}, silence{}, false, true, false, false},
		{"one own, one of another VM", silence{1, 0}, silence{1, 0}, false, false, true, false},
		{"one own, two of another VM", silence{1, 0}, silence{2, 0}, false, false, true, false},
		{"two own, no other VM there", silence{2, 0}, silence{}, false, true, true, false},
		{"many own, no other VM there", silence{9, 0}, silence{}, false, true, true, false},
		{"many own, many of another VM", silence{9, 0}, silence{9, 0}, false, false, true, false},
		{"own and a request of another VM", silence{9, 0}, silence{9, 1}, false, false, true, false},
		{"own with a request, first segments of another VM", silence{9, 1}, silence{9, 0}, false, false, true, false},
		{"own with a request, no other VM there", silence{9, 1}, silence{}, false, true, true, false},
		{"one own and one of another VM, each with a request", silence{1, 1}, silence{1, 1}, false, false, true, true},
		{"one own request, two first segments and requests of another VM", silence{1, 0}, silence{2, 2}, false, false, true, true},
		{"one own with two requests, no other VM there", silence{1, 2}, silence{}, false, true, true, true},
		{"many own, no other VM agrees", silence{9, 9}, silence{}, false, false, true, false},
		{"two of another VM", silence{}, silence{2, 2}, false, false, true, false},
		{"two of another VM, but heard from here", silence{}, silence{2, 2}, true, false, false, false},
		{"one of another VM", silence{}, silence{1, 0}, false, false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var h health
			if test.others != (silence{}) {
				h.reports = makeSilenceReports(1, test.others.opens, test.others.requests, now)
			}
			test.own.addTo(&h, now)
			if test.heard {
				h.noteAnswer(now)
			}
			qt.Check(t, h.suspect(now), qt.Equals, test.suspect)
			qt.Check(t, h.unreachable(now, test.alone), qt.Equals, test.unreachable)
		})
	}
}

// Guards against callers of idle flows that run into their timeouts at a dead target in a
// large fleet. Two VMs have found the target silent. Seconds later the caller of an idle
// flow through a third VM sends a request, and that VM sees it repeated once, which is not
// enough by itself. If two VMs each found two flows silent, one of them from its first
// segment, their reports count as own evidence.
func TestOneOwnRequestSufficesIfTwoVMsAgree(t *testing.T) {
	now := start.Add(time.Second)
	for _, test := range []struct {
		name        string
		how         silenceKind
		reporters   int
		heardAgo    time.Duration
		unreachable bool
	}{
		{"two others", requestRepeated, 2, time.Hour, true},
		{"one other, its own link may be full", requestRepeated, 1, time.Hour, false},
		{"two others, but a fourth VM hears from it", requestRepeated, 2, 0, false},
		{"two others, no own evidence", openVanished + 1, 2, time.Hour, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var h health
			h.reports = silenceReports(test.reporters, 9, now)
			h.othersHeardAt = now.Add(-test.heardAgo)
			if test.how <= openVanished {
				h.noteUnanswered(now, test.how)
			}
			qt.Check(t, h.unreachable(now, false), qt.Equals, test.unreachable)
		})
	}
}

// Guards against repeated tries at a dead target. Its process has died and its host refuses
// flows at once. The caller receives the refusal directly and retries within milliseconds
// from another port; the dead target looks idle, and got every try.
func TestNextTryGoesToAnotherTarget(t *testing.T) {
	r := newRouter(t)
	r.SetRegistrations(start, manyTargets(3))
	first, _ := open(t, r, start, flowFrom(1, fixtures))
	second, _ := open(t, r, start.Add(5*time.Millisecond), flowFrom(2, fixtures))
	qt.Assert(t, second, qt.Not(qt.Equals), first)

	t.Run("even if the first target is the least loaded", func(t *testing.T) {
		r := newRouter(t)
		r.SetRegistrations(start, manyTargets(2))
		r.SetPeerLoads(start, map[baobabstep.TargetID]baobabstep.TargetLoad{2: {Requests: 1000}}, nil)
		first, _ := open(t, r, start, flowFrom(1, fixtures))
		qt.Assert(t, first, qt.Equals, baobabstep.TargetID(1))
		second, _ := open(t, r, start.Add(5*time.Millisecond), flowFrom(2, fixtures))
		qt.Assert(t, second, qt.Equals, baobabstep.TargetID(2))
	})
	t.Run("unless there is no other target", func(t *testing.T) {
		r := newRouter(t)
		r.SetRegistrations(start, manyTargets(1))
		open(t, r, start, flowFrom(1, fixtures))
		again, _ := open(t, r, start.Add(5*time.Millisecond), flowFrom(2, fixtures))
		qt.Assert(t, again, qt.Equals, baobabstep.TargetID(1))
	})
	t.Run("not after the flow was accepted", func(t *testing.T) {
		r := newRouter(t)
		key := flowFrom(1, fixtures)
		_, token := open(t, r, start, key)
		handle(r, start.Add(time.Millisecond), data(key, token))
		qt.Assert(t, r.openingFlows.lastTried(start.Add(2*time.Millisecond), key.Caller.Addr()), qt.IsNil)
	})
}

// Guards against resetting flows because of first segments whose later packets went through
// other VMs, as with a fabric that sprays packets or moves all flows to other VMs. This VM
// sees no further packets although the target accepted the flows; open flows there must
// continue.
func TestFlowsContinuedAtOtherVMsResetNone(t *testing.T) {
	r := newRouter(t)
	key := flowFrom(1, results)
	_, token := open(t, r, start, key)
	handle(r, start, data(key, token))
	now := start.Add(time.Second)
	for port := range uint16(20) {
		open(t, r, now, flowFrom(port+2, results))
	}
	later := now.Add(vanishTimeout)
	r.Tick(later, new([]baobabstep.OutgoingDatagram))
	flows, opens := r.current.Load().targets[3].load.unansweredCounts()
	qt.Assert(t, flows, qt.Equals, 20)
	qt.Assert(t, opens, qt.Equals, 0)
	assertPassed(t, r, later, data(key, token), 3)
}

// Guards against new flows to a target that refuses them. No further packet of a refused
// flow arrives, not even a retransmission. Two such flows in a row keep new flows away,
// like two that went unanswered; a flow whose caller retransmits or continues was not
// refused.
func TestRefusingTargetGetsNoNewFlows(t *testing.T) {
	for _, test := range []struct {
		name    string
		then    func(r *Router, key baobabstep.FlowKey, token uint32)
		suspect bool
	}{
		{"no further packet", func(*Router, baobabstep.FlowKey, uint32) {}, true},
		{"a retransmission arrives", func(r *Router, key baobabstep.FlowKey, _ uint32) {
			handle(r, start.Add(minRetransmissionDelay-1), baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq, Acked: 1})
		}, false},
		{"the caller continues", func(r *Router, key baobabstep.FlowKey, token uint32) { handle(r, start, data(key, token)) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRouter(t)
			for port := range uint16(2) {
				key := flowFrom(port+1, results)
				_, token := open(t, r, start, key)
				test.then(r, key, token)
			}
			now := start.Add(vanishTimeout)
			r.Tick(now, new([]baobabstep.OutgoingDatagram))
			r.Tick(now, new([]baobabstep.OutgoingDatagram))
			qt.Assert(t, r.current.Load().targets[3].load.suspect(now), qt.Equals, test.suspect)
		})
	}
}
