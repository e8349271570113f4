package token

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/answer"
)

// newRoomRouter returns a router whose service has an urgent rule, at the address results,
// and an ordinary one, at the address fixtures.
func newRoomRouter(disabled Mechanisms) *Router {
	return newRoomRouterWithTargets(disabled, manyTargets(20))
}

func newRoomRouterWithTargets(disabled Mechanisms, targets []baobabstep.Registration) *Router {
	r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), Disabled: disabled})
	ordinary, urgent := singleRule(fixtures, "fixtures"), singleRule(results, "fixtures")
	ordinary.Repeatable, ordinary.Priority, urgent.Priority = true, 2, 1
	r.SetTable(start, table(1, ordinary, urgent))
	r.SetRegistrations(start, targets)
	return r
}

// overload simulates a second of normal answers, and a second in which targets reject every
// second request and answer the others with high latency. It returns the time at the end.
func overload(r *Router) time.Time {
	targets := r.current.Load().pools["fixtures"].targets
	now := start
	for tick := range 20 {
		for i, t := range targets {
			if !t.acceptsNewFlows(now) {
				continue
			}
			for range map[bool]int{true: 6}[tick >= 10] {
				t.load.countRequest(now)
			}
			if tick >= 10 && (i+tick)%2 == 0 {
				countAnswer(r, now, t, answer.Short, 0)
			} else {
				countAnswer(r, now, t, answer.Answered, map[bool]time.Duration{false: 30, true: 120}[tick >= 10]*time.Millisecond)
			}
		}
		now = now.Add(100 * time.Millisecond)
		r.Tick(now, new([]baobabstep.OutgoingDatagram))
	}
	return now
}

// refusedShare opens flows to an address and returns the share that is refused.
func refusedShare(r *Router, now time.Time, address netip.AddrPort) float64 {
	const n = 200
	refused := 0
	for i := range n {
		out := handle(r, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(uint16(2000+i), address), Seq: firstSeq})
		if len(out) == 1 && out[0].Target == 0 {
			refused++
		}
	}
	return float64(refused) / n
}

// Guards against ordinary flows that are admitted at full targets at the expense of urgent
// ones, and against refused urgent flows.
func TestOrdinaryFlowsRefusedAtFullTargets(t *testing.T) {
	r := newRoomRouter(0)
	now := overload(r)
	qt.Assert(t, refusedShare(r, now, fixtures) > 0.5, qt.IsTrue)
	qt.Assert(t, refusedShare(r, now, results), qt.Equals, 0.0)
	stats := r.Stats()
	qt.Assert(t, stats.Events["room_short"], qt.Equals, uint64(1))
	qt.Assert(t, stats.Events["flow_yielded"] > 100, qt.IsTrue)
	qt.Assert(t, stats.Rooms["fixtures"].Admitted < 0.5, qt.IsTrue)
	qt.Assert(t, stats.Failing, qt.Equals, 0, qt.Commentf("full targets count as failing"))
}

// Guards against slots that stay idle while ordinary flows are refused: an idle target must
// receive ordinary flows even if the gate is closed.
func TestIdleTargetGetsOrdinaryFlows(t *testing.T) {
	r := newRoomRouter(0)
	now := overload(r)
	for range 4 { // the targets still answer, and reject few requests
		now = now.Add(100 * time.Millisecond)
		for _, t := range r.current.Load().pools["fixtures"].targets {
			t.service.gate.AddAnswered(now, 120*time.Millisecond)
		}
		r.Tick(now, new([]baobabstep.OutgoingDatagram))
	}
	qt.Assert(t, r.Stats().Rooms["fixtures"].Closed, qt.IsTrue)
	for _, t := range r.current.Load().pools["fixtures"].targets {
		t.load.ownRequests = decayingCounter{}
	}
	out := handle(r, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(9, fixtures), Seq: firstSeq})
	qt.Assert(t, out[0].Target, qt.Not(qt.Equals), baobabstep.TargetID(0))
}

// Guards against a gate that closed in an overload and prevents the detection of failing
// targets, whose rejections keep it closed.
func TestFailingTargetsDetectedAfterOverload(t *testing.T) {
	r := newRoomRouter(0)
	now := overload(r)
	qt.Assert(t, r.Stats().Rooms["fixtures"].Closed, qt.IsTrue)
	for tick := range 50 {
		countAnswers(r, now, tick, 8)
		now = now.Add(100 * time.Millisecond)
		r.Tick(now, new([]baobabstep.OutgoingDatagram))
	}
	stats := r.Stats()
	qt.Assert(t, stats.Rooms["fixtures"].Closed, qt.IsFalse)
	qt.Assert(t, stats.Failing >= 5, qt.IsTrue, qt.Commentf("%d of 8", stats.Failing))
}

// countAnswers counts three requests per target. The first failing targets reject half of
// theirs, and all others are answered with normal latency.
func countAnswers(r *Router, now time.Time, tick, failing int) {
	for i, t := range r.current.Load().pools["fixtures"].targets {
		for n := range 3 {
			if i < failing && (tick+n)%2 == 0 {
				countAnswer(r, now, t, answer.Short, 0)
			} else {
				countAnswer(r, now, t, answer.Answered, 30*time.Millisecond)
			}
		}
	}
}

// countAnswer counts the outcome of a request of a random caller.
func countAnswer(r *Router, now time.Time, t *target, outcome answer.Outcome, latency time.Duration) {
	f := &flow{key: flowFrom(uint16(r.randomUint64()), fixtures), target: t, rule: r.current.Load().rules[fixtures], latency: latency}
	f.key.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(r.randomUint64()), 7}), 1)
	r.countOutcome(now, f, outcome)
}

// Guards against refusing flows of a service without urgent flows, where it has no
// benefit.
func TestNoRefusalsWithoutUrgentFlows(t *testing.T) {
	r := newRoomRouter(Mechanisms(0).With(MechanismAdmission))
	ordinary := singleRule(fixtures, "fixtures")
	ordinary.Repeatable, ordinary.Priority = true, 2
	now := overload(r)
	r.SetTable(now, table(2, ordinary)) // removes the urgent rule while the gate is closed
	r.Tick(now, new([]baobabstep.OutgoingDatagram))
	qt.Assert(t, refusedShare(r, now, fixtures), qt.Equals, 0.0)
	qt.Assert(t, r.Stats().Rooms["fixtures"].Closed, qt.IsFalse)
}

// Guards against a gate that cannot close while a data centre is evacuated, because targets
// there receive no flows and so reject none.
func TestEvacuatedTargetsDoNotKeepGateOpen(t *testing.T) {
	list := manyTargets(3)
	for id := range baobabstep.TargetID(10) {
		list = append(list, registration(100+id, "fixtures", "b"))
	}
	r := newRoomRouterWithTargets(0, list)
	r.SetEvacuations(start, []string{"b"})
	overload(r)
	qt.Assert(t, r.Stats().Rooms["fixtures"].Closed, qt.IsTrue)
}

// Guards against a rejected share that ignores answers of unknown latency: many callers
// acknowledge an answer only with their next request.
func TestAnswersOfUnknownLatencyCountForRoom(t *testing.T) {
	r := newRoomRouter(0)
	for i := range 200 {
		target := r.current.Load().pools["fixtures"].targets[i%20]
		if i%20 == 0 {
			countAnswer(r, start, target, answer.Short, 0)
			continue
		}
		f := &flow{key: flowFrom(uint16(i), fixtures), target: target, rule: r.current.Load().rules[fixtures], outcomePending: true}
		r.settleRequest(start, f, 2000)
	}
	r.updateRoom(start, r.current.Load())
	rejected := r.Stats().Rooms["fixtures"].Rejected
	qt.Assert(t, rejected > 0.03 && rejected < 0.07, qt.IsTrue, qt.Commentf("%v", rejected))
}

// Guards against a target that passes its trial without any flow, because the closed gate
// refused them all.
func TestTrialFlowIsAdmitted(t *testing.T) {
	r := newRoomRouterWithTargets(Mechanisms(0).With(MechanismAdmission), manyTargets(6))
	now := overload(r)
	onTrial := r.current.Load().pools["fixtures"].targets[0]
	onTrial.load.answerHealth = answer.Health{State: answer.OnTrial, Deadline: now.Add(2 * time.Second)}
	out := handle(r, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(9, fixtures), Seq: firstSeq})
	qt.Assert(t, out[0].Target, qt.Equals, onTrial.id)
}

// Guards against refused flows while the mechanism is disabled.
func TestRoomDisabled(t *testing.T) {
	r := newRoomRouter(Mechanisms(0).With(MechanismRoom).With(MechanismAdmission))
	qt.Assert(t, refusedShare(r, overload(r), fixtures), qt.Equals, 0.0)
}

// Guards against the reset of a flow that its target may have accepted: a retransmitted first
// segment must go to the same target even if the gate has closed since.
func TestRetransmittedFlowIsNotRefused(t *testing.T) {
	r := newRoomRouter(0)
	var placed []baobabstep.FlowKey
	for port := range uint16(100) {
		placed = append(placed, flowFrom(20_000+port, fixtures))
		open(t, r, start, placed[port])
	}
	now := overload(r)
	for _, key := range placed {
		open(t, r, now, key)
	}
}

// Guards against a thundering herd on one target: with the VMs' own data centre evacuated, all
// of its VMs choose among all other targets, and must not all choose the one with the lowest
// reported load.
func TestNoThunderingHerdFromEvacuatedDataCentre(t *testing.T) {
	got := 0
	for vm := range 15 {
		r := New(Options{DataCentre: "b", Rand: rand.New(rand.NewPCG(uint64(vm), 2))})
		r.SetTable(start, table(1, singleRule(fixtures, "fixtures")))
		r.SetRegistrations(start, append(manyTargets(60), registration(100, "fixtures", "b")))
		loads := map[baobabstep.TargetID]baobabstep.TargetLoad{}
		for id := range baobabstep.TargetID(60) {
			loads[id+1] = baobabstep.TargetLoad{Requests: 50}
		}
		loads[7] = baobabstep.TargetLoad{Requests: 5}
		r.SetPeerLoads(start, loads, map[string]int{"a": 3})
		r.SetEvacuations(start, []string{"b"})
		got += openMany(t, r, start, 1, 4)[7]
	}
	qt.Assert(t, got <= 20, qt.IsTrue, qt.Commentf("got %d of 60", got))
}

// Guards against overloading a new target because the first load reports on it cover only a
// few VMs.
func TestNewTargetIsNotOverloaded(t *testing.T) {
	const targets, vms = 41, 30
	loads := map[baobabstep.TargetID]baobabstep.TargetLoad{}
	for id := range baobabstep.TargetID(targets - 1) {
		loads[id+1] = baobabstep.TargetLoad{Requests: 30 + float64(id)}
	}
	joined := start.Add(time.Second)
	got := 0
	for vm := range vms {
		r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(uint64(vm), 2))})
		r.SetTable(start, table(1, singleRule(fixtures, "fixtures")))
		r.SetRegistrations(start, manyTargets(targets-1))
		r.SetPeerLoads(start, loads, nil)
		r.ChangeRegistrations(joined, manyTargets(targets)[targets-1:], nil)
		r.SetPeerLoads(joined, map[baobabstep.TargetID]baobabstep.TargetLoad{targets: {Requests: 2}}, nil)
		got += openMany(t, r, joined, 1000, 2)[targets]
	}
	qt.Assert(t, got <= 2*vms/10, qt.IsTrue, qt.Commentf("got %d of %d", got, 2*vms))
}

// Guards against a gate that closes because of failing targets. Outcomes of targets that fail
// more than their peers do not reflect the load of the service.
func TestFailingTargetsDoNotCountForRoom(t *testing.T) {
	r := newRoomRouter(0)
	targets := r.current.Load().pools["fixtures"].targets
	for _, t := range targets {
		t.load.answerHealth.State = answer.Failing
	}
	now := start
	for range 10 {
		for _, t := range targets {
			t.countRoom(now, answer.Short, 0)
		}
		now = now.Add(100 * time.Millisecond)
		r.updateRoom(now, r.current.Load())
	}
	qt.Assert(t, r.Stats().Rooms["fixtures"].Rejected, qt.Equals, 0.0)
}
