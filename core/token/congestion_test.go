package token

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// Failure: segments wait on the link of one VM, their callers retransmit them, and the VM
// counts this as silence of a live target of which another VM lost a datagram.
func TestCongestedVMFindsNoTargetSilent(t *testing.T) {
	run := func(disabled ...Mechanism) (*testFleet, time.Time) {
		f := newTestFleet(t, 2, disabled...)
		now := start.Add(newIncarnationGrace)
		f.congest(0, 1, now.Add(time.Second))
		f.leaveUnanswered(now, silence{opens: 1}, 1)
		now = f.leaveUnanswered(now.Add(time.Millisecond), silence{opens: 2, requests: 2}, 0)
		return f, now.Add(contradictionDelay)
	}
	f, now := run()
	assertPassed(t, f.routers[0], now, f.established(now, 0, 1), 1)
	flows, _ := f.routers[0].current.Load().targets[1].load.unansweredCounts()
	qt.Assert(t, flows, qt.Equals, 0)
	qt.Assert(t, f.reports[0], qt.HasLen, 0)

	t.Run("mechanism disabled", func(t *testing.T) {
		f, now := run(MechanismCongestion)
		assertReset(t, f.routers[0], now, f.established(now, 0, 1))
	})
}

// Failure: a first segment that is retransmitted because of queueing on the VM's link goes to a
// second target although the first has accepted the flow.
func TestCongestedVMMovesNoFlow(t *testing.T) {
	f := newTestFleet(t, 2)
	f.congest(0, 1, start.Add(time.Second))
	keys := []baobabstep.FlowKey{f.openAtFirst(start, 0), f.openAtFirst(start, 0), f.openAtFirst(start, 0)}
	for _, key := range keys {
		qt.Assert(t, retransmit(t, f.routers[0], start.Add(callerRetransmissionDelay), key), qt.Equals, baobabstep.TargetID(1))
	}
}

// Failure: live targets count as failing or slow because answers are queued on the VM's link.
func TestCongestedVMCountsNoOutcome(t *testing.T) {
	f := newTestFleet(t, 1)
	f.congest(0, 1, start.Add(time.Second))
	key := f.openAtFirst(start, 0)
	handle(f.routers[0], start, data(key, tokenFor(hashFlow(key), 1)))
	f.routers[0].Tick(start.Add(600*time.Millisecond), new([]baobabstep.OutgoingDatagram))
	sample := f.routers[0].current.Load().targets[1].load.ownAnswers(start.Add(600 * time.Millisecond))
	qt.Assert(t, sample.Answers, qt.Equals, 0.0)
}

// Failure: a burst congests three VMs at once, and their reports reset the flows of a live
// target at a fourth VM.
func TestReportsOfCongestedVMsAreIgnored(t *testing.T) {
	reports := func(congestedAt time.Time) map[baobabstep.TargetID]baobabstep.TargetLoad {
		list := silenceReports(3, 2, start.Add(time.Second))
		for i := range list {
			list[i].CongestedAt = congestedAt
		}
		return map[baobabstep.TargetID]baobabstep.TargetLoad{1: {SilenceReports: list}}
	}
	for _, test := range []struct {
		name        string
		congestedAt time.Time
		reset       bool
	}{
		{"congested when they reported", start.Add(time.Second), false},
		{"congested when the segment was sent", start.Add(time.Second - callerRetransmissionDelay), false},
		{"congested long before", start.Add(time.Second - 3*callerRetransmissionDelay), true},
		{"not congested", time.Time{}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newTestFleet(t, 4)
			now := start.Add(newIncarnationGrace)
			f.routers[0].SetSilenceReports(now, reports(test.congestedAt))
			now = now.Add(contradictionDelay)
			next := f.established(now, 0, 1)
			if test.reset {
				assertReset(t, f.routers[0], now, next)
			} else {
				assertPassed(t, f.routers[0], now, next, 1)
			}
		})
	}
	t.Run("reports are not sent", func(t *testing.T) {
		f := newTestFleet(t, 4)
		f.congest(1, 4, start.Add(5*time.Second))
		now := f.leaveUnanswered(start.Add(newIncarnationGrace), silence{opens: 2, requests: 2}, 1, 2, 3)
		assertPassed(t, f.routers[0], now.Add(contradictionDelay), f.established(now, 0, 1), 1)
		qt.Assert(t, f.combined(0, 1).SilenceReports, qt.HasLen, 0)
	})
}

// Failure: the path to another data centre is slow, all its targets seem silent to all local VMs at
// once, and their flows are reset although the targets are live.
func TestSlowPathResetsNoFlow(t *testing.T) {
	run := func(silent ...baobabstep.TargetID) (f *testFleet, now time.Time) {
		f = newTestFleet(t, 4)
		now = start.Add(newIncarnationGrace)
		for vm := range f.routers {
			f.hear(now, vm, 11)
			f.hear(now, vm, 12)
		}
		for _, id := range silent {
			for vm := range f.routers {
				f.findSilent(now.Add(time.Millisecond), vm, id)
			}
		}
		now = now.Add(callerRetransmissionDelay + time.Millisecond)
		f.exchange(now)
		return f, now.Add(contradictionDelay)
	}
	t.Run("all targets there are silent", func(t *testing.T) {
		f, now := run(11, 12)
		assertPassed(t, f.routers[0], now, f.established(now, 0, 11), 11)
	})
	t.Run("for longer than maxPathDelay", func(t *testing.T) {
		f, now := run(11, 12)
		for range 4 {
			f.renewSilence(now, 11, 12)
			now = now.Add(callerRetransmissionDelay)
		}
		assertReset(t, f.routers[0], now, f.established(now, 0, 11))
	})
	t.Run("its VMs are not heard either", func(t *testing.T) {
		f, now := run(11, 12)
		f.setHeard(map[string]int{"a": 3})
		assertReset(t, f.routers[0], now, f.established(now, 0, 11))
	})
	t.Run("one of two targets there is silent", func(t *testing.T) {
		f, now := run(11)
		f.hear(now, 0, 12)
		assertReset(t, f.routers[0], now, f.established(now, 0, 11))
	})
}

// Failure: a target dies while some VMs are congested, and its flows are never reset because
// these VMs see no evidence of their own.
func TestDeadTargetIsFoundDuringCongestion(t *testing.T) {
	for _, test := range []struct {
		name           string
		vms, congested int
	}{
		{"one VM is congested", 3, 1},
		{"a burst congests six of eight VMs", 8, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newTestFleet(t, test.vms)
			f.congest(0, test.congested, start.Add(10*time.Second))
			now := start.Add(newIncarnationGrace)
			all := make([]int, test.vms)
			for vm := range all {
				all[vm] = vm
			}
			found := f.leaveUnanswered(now, silence{opens: 2, requests: 2}, all...).Add(contradictionDelay)
			qt.Assert(t, found.Sub(now) < 2*time.Second, qt.IsTrue)
			for vm := range f.routers {
				assertReset(t, f.routers[vm], found, f.established(found, vm, 1))
				live := data(f.nextKey(), 0)
				live.Token = tokenFor(hashFlow(live.Flow), 2)
				assertPassed(t, f.routers[vm], found, live, 2)
				for range 50 {
					target, _ := open(t, f.routers[vm], found, f.nextKey())
					qt.Assert(t, target, qt.Not(qt.Equals), baobabstep.TargetID(1))
				}
			}
		})
	}
}

// simulateSilentTarget simulates three seconds in which target 1 does not answer, neither to first
// segments nor on open flows, and all VMs hear from the others. It returns the VMs that reset a flow at target 1, and the number of later new
// flows that were placed there and in total.
func (f *testFleet) simulateSilentTarget(now time.Time, congested int) (resetBy map[int]bool, atDead, placed int) {
	resetBy = map[int]bool{}
	f.congest(0, congested, now.Add(10*time.Second))
	for vm, r := range f.routers {
		uncongestedSelf := 1
		if vm < congested {
			uncongestedSelf = 0
		}
		r.SetCongestedVMs(congested - 1 + uncongestedSelf)
	}
	opened := map[baobabstep.FlowKey]int{}
	requests := make([]*baobabstep.Segment, len(f.routers))
	begin := now
	for ; now.Before(begin.Add(3 * time.Second)); now = now.Add(callerRetransmissionDelay) {
		for key, vm := range opened {
			handle(f.routers[vm], now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq, Acked: 1})
		}
		for vm, request := range requests {
			if request != nil {
				handle(f.routers[vm], now, *request)
			}
		}
		f.exchange(now)
		clear(opened)
		for vm, r := range f.routers {
			later := now.Add(2 * contradictionDelay)
			if out := handle(r, later, f.established(later, vm, 1)); out[0].Target == 0 {
				resetBy[vm] = true
			}
			request := f.requestAtFirst()
			handle(r, now, request)
			requests[vm] = &request
			for range 10 {
				key := f.nextKey()
				target, token := open(f.t, r, now.Add(time.Millisecond), key)
				if target == 1 {
					opened[key] = vm
				} else {
					handle(r, now.Add(2*time.Millisecond), data(key, token))
				}
				if now.Sub(begin) >= 2*callerRetransmissionDelay {
					placed++
					if target == 1 {
						atDead++
					}
				}
			}
		}
	}
	return resetBy, atDead, placed
}

// Failure: while fewer than two VMs of a data centre are uncongested, not even an uncongested
// VM resets the flows of a dead target, and new flows are still placed there.
func TestDeadTargetIsFoundWithFewUncongestedVMs(t *testing.T) {
	for _, test := range []struct{ vms, congested int }{{1, 1}, {2, 1}, {2, 2}, {3, 2}, {4, 3}, {4, 4}} {
		t.Run(fmt.Sprintf("%d of %d VMs are congested", test.congested, test.vms), func(t *testing.T) {
			f := newTestFleet(t, test.vms)
			resetBy, atDead, placed := f.simulateSilentTarget(start.Add(newIncarnationGrace), test.congested)
			qt.Check(t, atDead*20 < placed, qt.IsTrue, qt.Commentf("%d of %d flows went to the dead target", atDead, placed))
			for vm := test.congested; vm < test.vms; vm++ {
				qt.Assert(t, resetBy[vm], qt.IsTrue)
			}
		})
	}
}

// Failure: a congested VM resets flows on the report of a single other VM, or of two without
// evidence of its own, while an uncongested VM needs three.
func TestCongestedVMNeedsMoreThanOneReport(t *testing.T) {
	for _, test := range []struct {
		name    string
		reports int
		own     bool
		reset   bool
	}{
		{"one and own evidence", 1, true, false},
		{"two", 2, false, false},
		{"two and own evidence", 2, true, true},
		{"three", 3, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newTestFleet(t, 5)
			now := start.Add(newIncarnationGrace)
			f.congest(0, 1, now.Add(time.Second))
			if test.own {
				f.findSilent(now, 0, 1)
			}
			now = now.Add(callerRetransmissionDelay)
			f.routers[0].SetSilenceReports(now, map[baobabstep.TargetID]baobabstep.TargetLoad{1: {SilenceReports: silenceReports(test.reports, 2, now)}})
			now = now.Add(contradictionDelay)
			if next := f.established(now, 0, 1); test.reset {
				assertReset(t, f.routers[0], now, next)
			} else {
				assertPassed(t, f.routers[0], now, next, 1)
			}
		})
	}
}

// Failure: each packet and each pending flow of a silent target scans all targets of its
// service, which takes 0.4 ms with 10,000 targets.
func TestPathIsReviewedOncePerInterval(t *testing.T) {
	f := newTestFleet(t, 1)
	r := f.routers[0]
	now := start.Add(newIncarnationGrace)
	f.hear(now, 0, 11)
	f.hear(now, 0, 12)
	f.findSilent(now.Add(time.Millisecond), 0, 11)
	f.findSilent(now.Add(time.Millisecond), 0, 12)
	now = now.Add(callerRetransmissionDelay + time.Millisecond)
	s := r.current.Load()
	slow := func(now time.Time) bool { return r.pathMayBeSlow(now, s.pools["fixtures"].targets, s.targets[11]) }
	qt.Assert(t, slow(now), qt.IsTrue)
	f.hear(now, 0, 12)
	qt.Assert(t, slow(now), qt.IsTrue)
	qt.Assert(t, slow(now.Add(pathReviewInterval)), qt.IsFalse)
}

// Failure: three uncongested VMs find a target dead, become congested shortly after, and their
// reports are ignored.
func TestLaterCongestionOfTheSenderKeepsItsReport(t *testing.T) {
	f := newTestFleet(t, 4)
	now := start.Add(newIncarnationGrace)
	list := silenceReports(3, 2, now)
	for i := range list {
		list[i].CongestedAt = now.Add(100 * time.Millisecond)
	}
	now = now.Add(200 * time.Millisecond)
	f.routers[0].SetSilenceReports(now, map[baobabstep.TargetID]baobabstep.TargetLoad{1: {SilenceReports: list}})
	now = now.Add(contradictionDelay)
	assertReset(t, f.routers[0], now, f.established(now, 0, 1))
}

// Failure: disabling MechanismCongestion does not disable its checks against false verdicts.
func TestDisabledCongestionMechanism(t *testing.T) {
	f := newTestFleet(t, 4, MechanismCongestion)
	now := start.Add(newIncarnationGrace)
	for vm := range f.routers {
		for _, id := range []baobabstep.TargetID{11, 12} {
			f.hear(now, vm, id)
			f.findSilent(now.Add(time.Millisecond), vm, id)
		}
	}
	now = now.Add(callerRetransmissionDelay + time.Millisecond)
	f.exchange(now)
	assertReset(t, f.routers[0], now, f.established(now, 0, 11))

	t.Run("contradictions", func(t *testing.T) {
		f := newTestFleet(t, 4, MechanismCongestion)
		f.hear(now, 0, 1)
		f.routers[0].SetSilenceReports(now, map[baobabstep.TargetID]baobabstep.TargetLoad{1: {SilenceReports: silenceReports(2, 2, now)}})
		qt.Assert(t, f.routers[0].TakeAlarms(now), qt.HasLen, 0)
	})
}

// Failure: the link is congested just before a segment is sent to its target, the segment was
// queued on it, and its retransmission counts as evidence.
func TestCongestionBeforeTheSegmentCounts(t *testing.T) {
	for _, test := range []struct {
		name    string
		before  time.Duration
		counted int
	}{
		{"within the retransmission delay", callerRetransmissionDelay - time.Millisecond, 0},
		{"before the retransmission delay", callerRetransmissionDelay + time.Millisecond, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newTestFleet(t, 2)
			now := start.Add(newIncarnationGrace)
			f.congest(0, 1, now.Add(-test.before))
			f.findSilent(now, 0, 1)
			flows, _ := f.routers[0].current.Load().targets[1].load.unansweredCounts()
			qt.Assert(t, flows, qt.Equals, test.counted)
		})
		t.Run(test.name+", at the sender of a report", func(t *testing.T) {
			list := silenceReports(1, 2, start)
			list[0].CongestedAt = start.Add(-callerRetransmissionDelay - test.before)
			_, usable := evaluateReport(start, list[0])
			qt.Assert(t, usable, qt.Equals, test.counted > 0)
		})
	}
}

// Failure: one target of another data centre was heard recently, others are dead, and the path
// counts as slow.
func TestPathWithReachableTargetIsNotSlow(t *testing.T) {
	f := newTestFleet(t, 1)
	r := f.routers[0]
	now := start.Add(newIncarnationGrace)
	f.findSilent(now.Add(-time.Millisecond), 0, 11)
	f.findSilent(now.Add(-time.Millisecond), 0, 12)
	later := now.Add(callerRetransmissionDelay - time.Millisecond)
	targets := r.current.Load().pools["fixtures"].targets
	qt.Assert(t, multipleTargetsSilent(later, "b", targets), qt.IsTrue)
	// Another VM heard from a target at a time that leaves the evidence of this one fresh.
	r.SetSilenceReports(later, map[baobabstep.TargetID]baobabstep.TargetLoad{12: {HeardAt: now}})
	qt.Assert(t, multipleTargetsSilent(later, "b", targets), qt.IsFalse)
}
