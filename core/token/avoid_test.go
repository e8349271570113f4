package token

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// Guards against callers of open flows that wait for their timeouts because each VM of a
// large fleet sends a silent target a flow only every few seconds. If three VMs each found
// one flow unanswered, one of them a first segment, that suffices for all other VMs.
// Evidence that one broken link, a lost datagram, an overload or a target at its connection
// limit can explain does not.
func TestReportsOfSeveralVMs(t *testing.T) {
	now := start.Add(time.Minute)
	repeated := baobabstep.SilenceReport{Unanswered: 1, LastUnansweredAt: now}
	opened := baobabstep.SilenceReport{Unanswered: 1, UnansweredOpens: 1, LastUnansweredAt: now}
	old := baobabstep.SilenceReport{Unanswered: 1, UnansweredOpens: 1, LastUnansweredAt: now.Add(-evidenceLifetime)}
	manyOfOne := baobabstep.SilenceReport{Unanswered: 40, UnansweredOpens: 40, LastUnansweredAt: now}
	for _, test := range []struct {
		name        string
		reports     []baobabstep.SilenceReport
		heardAgo    time.Duration // when another VM last heard from it
		unreachable bool
		suspect     bool
	}{
		{"three VMs, one first segment", []baobabstep.SilenceReport{repeated, repeated, opened}, time.Hour, true, true},
		{"three VMs, an overload: it accepts flows", []baobabstep.SilenceReport{repeated, repeated, repeated}, time.Hour, false, false},
		{"two VMs, datagrams may be lost", []baobabstep.SilenceReport{opened, opened}, time.Hour, false, true},
		{"one VM, whose link is full", []baobabstep.SilenceReport{manyOfOne}, time.Hour, false, true},
		{"three VMs, but one report has expired", []baobabstep.SilenceReport{repeated, opened, old}, time.Hour, false, true},
		{"three VMs, but a fourth has heard from it since", []baobabstep.SilenceReport{repeated, repeated, opened}, 100 * time.Millisecond, false, false},
		{"three VMs, a fourth heard from it before", []baobabstep.SilenceReport{repeated, repeated, opened}, callerRetransmissionDelay, true, true},
		{"three VMs, one request, which may be lost", []baobabstep.SilenceReport{repeated, opened, opened}, time.Hour, false, true},
		{"three VMs, first segments only: it may be full", []baobabstep.SilenceReport{opened, opened, opened}, time.Hour, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := health{reports: test.reports, othersHeardAt: now.Add(-test.heardAgo)}
			qt.Check(t, h.unreachable(now, false), qt.Equals, test.unreachable)
			qt.Check(t, h.suspect(now), qt.Equals, test.suspect)
		})
	}
}

// Guards against slow detection of an unreachable target that gets no new flows. Two VMs
// have unanswered requests there. The next flow of each VM goes to the target, so that all
// VMs know within 200 ms; once one such flow is unanswered or refused, no further ones
// follow.
func TestProbeOfTargetWithUnansweredRequests(t *testing.T) {
	now := start.Add(time.Minute)
	repeated := baobabstep.SilenceReport{Unanswered: 1, LastUnansweredAt: now}
	h := health{reports: []baobabstep.SilenceReport{repeated, repeated}}
	qt.Assert(t, h.needsProbe(now), qt.IsTrue)
	h.noteTrial(now)
	qt.Assert(t, h.needsProbe(now), qt.IsFalse)
	for _, found := range []baobabstep.SilenceReport{{Unanswered: 1, UnansweredOpens: 1, LastUnansweredAt: now}, {Unanswered: 1, NotRetransmitted: 1, LastUnansweredAt: now}} {
		h := health{reports: []baobabstep.SilenceReport{repeated, repeated, found}}
		qt.Assert(t, h.needsProbe(now), qt.IsFalse)
		qt.Assert(t, h.suspect(now), qt.IsTrue)
	}
}

// Guards against simultaneous trials of an unreachable target by all VMs. Evidence expires
// after one second; without spread trials, 39 VMs then sent it a flow each, and each of
// these callers lost 200 ms or more. With spread trials about one flow a second goes there.
func TestTrialsOfAnAvoidedTargetAreSpread(t *testing.T) {
	const vms = 39
	tries := 0
	for n := range vms {
		now := start.Add(time.Minute)
		h := health{reports: silenceReports(2, 1, now)}
		h.startAvoidance(now, vms, float64(n+1)/vms)
		qt.Assert(t, h.suspect(now), qt.IsTrue)
		for range 40 { // 4 s without new evidence from other VMs
			now = now.Add(100 * time.Millisecond)
			if !h.suspect(now) {
				tries++
				h.noteTrial(now)
			}
		}
	}
	qt.Assert(t, tries <= 8, qt.IsTrue, qt.Commentf("%d flows in 4 s", tries))
}

// Guards against an avoidance that outlasts the recovery of the target. Once the trial of
// one VM succeeds, all VMs use the target again; if it fails again soon, it is avoided for
// longer.
func TestAvoidanceEndsWithAnAnswer(t *testing.T) {
	now := start.Add(time.Minute)
	avoided := func() *health {
		h := &health{reports: silenceReports(2, 1, now)}
		h.startAvoidance(now, 10, 0.5)
		qt.Assert(t, h.suspect(now.Add(4*time.Second)), qt.IsTrue)
		return h
	}
	later := now.Add(2 * time.Second)
	t.Run("answer seen by this VM", func(t *testing.T) {
		h := avoided()
		h.noteAnswer(later)
		qt.Assert(t, h.suspect(later), qt.IsFalse)
	})
	t.Run("answer reported by another VM", func(t *testing.T) {
		h := avoided()
		h.setSilence(baobabstep.TargetLoad{HeardAt: later})
		qt.Assert(t, h.suspect(later), qt.IsFalse)
		h.setSilence(baobabstep.TargetLoad{SilenceReports: silenceReports(2, 1, later.Add(time.Second)), HeardAt: later})
		h.startAvoidance(later.Add(time.Second), 10, 0.1)
		qt.Assert(t, h.fleetTrialInterval, qt.Equals, 2*minTrialPause)
	})
	t.Run("answer is reported to other VMs", func(t *testing.T) {
		r := newRouter(t)
		l := r.current.Load().targets[1].load
		l.health.reports = silenceReports(2, 1, now)
		l.startAvoidance(now, 10, 0.5)
		r.noteAnswer(later, r.current.Load().targets[1], false)
		told := r.TakeAlarms(later)
		qt.Assert(t, told, qt.HasLen, 1)
		qt.Assert(t, told[0].HeardAt, qt.Equals, later)
		qt.Assert(t, told[0].ReportedSilent, qt.IsTrue)
	})
}

// Guards against callers that wait for their timeouts because the target acknowledged the
// request before it died, so that they have nothing to retransmit. Once other callers have
// shown the target to be unreachable, the VM resets the flow so that the caller retries at
// once. A flow without a pending request is not reset.
func TestPendingRequestsAtUnreachableTargetAreReset(t *testing.T) {
	r := newRouter(t)
	r.SetRegistrations(start, manyTargets(2))
	var waiting, idle baobabstep.Segment
	for port := uint16(1); waiting.Seq == 0 || idle.Seq == 0; port++ {
		key := flowFrom(port, fixtures)
		target, token := open(t, r, start, key)
		s := data(key, token)
		handle(r, start, s)
		switch {
		case target != 1:
		case waiting.Seq == 0:
			waiting = s
		default:
			idle = s
			idle.Acked, idle.Seq, idle.Size = s.Acked+600, s.Seq+uint32(s.Size), 0
			handle(r, start, idle)
		}
	}
	now := start.Add(time.Second)
	unreachable := r.current.Load().targets[1]
	r.current.Load().targets[2].load.noteAnswer(now, false)
	tick := func() (ended []baobabstep.OutgoingDatagram) {
		r.Tick(now, &ended)
		return ended
	}
	qt.Assert(t, tick(), qt.HasLen, 0)
	unreachable.load.setSilence(baobabstep.TargetLoad{SilenceReports: silenceReports(3, 1, now)})
	ended := tick()
	qt.Assert(t, ended, qt.HasLen, 1)
	qt.Assert(t, ended[0].Flow, qt.Equals, waiting.Flow)
	qt.Assert(t, ended[0].Seq, qt.Equals, waiting.Acked)
	qt.Assert(t, tick(), qt.HasLen, 0)
}

// Guards against a crash of the VM: a flow waits at an unreachable target of a service that has no
// registered target any more.
func TestUnreachableTargetOfServiceWithoutTargets(t *testing.T) {
	r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), MaxFlowDuration: time.Millisecond})
	r.SetTable(start, table(1, singleRule(results, "results")))
	r.SetRegistrations(start, threeTargets())
	key := flowFrom(1, results)
	_, token := open(t, r, start, key)
	handle(r, start, data(key, token))
	unreachable := r.current.Load().targets[3]
	now := start.Add(time.Second)
	r.SetRegistrations(now, nil)
	now = now.Add(time.Second)
	r.SetRegistrations(now, nil)
	qt.Assert(t, r.current.Load().pools["results"], qt.IsNil)
	unreachable.load.setSilence(baobabstep.TargetLoad{SilenceReports: silenceReports(3, 1, now)})
	var ended []baobabstep.OutgoingDatagram
	r.Tick(now, &ended)
	qt.Check(t, ended, qt.HasLen, 0, qt.Commentf("no other target shows that this VM's own link works"))
}
