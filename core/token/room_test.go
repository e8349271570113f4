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
	return newRoomRouterOf(disabled, manyTargets(20))
}

func newRoomRouterOf(disabled Mechanisms, targets []baobabstep.Registration) *Router {
	r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), Disabled: disabled})
	ordinary, urgent := singleRule(fixtures, "fixtures"), singleRule(results, "fixtures")
	ordinary.Repeatable, ordinary.Priority, urgent.Priority = true, 2, 1
	r.SetTable(start, table(1, ordinary, urgent))
	r.SetRegistrations(start, targets)
	return r
}

// fill lets targets answer calmly for a second, and then reject every second request for a
// second while the others take long. It returns the time after it.
func fill(r *Router) time.Time {
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

// refusals opens flows of an address and returns the share that is refused.
func refusals(r *Router, now time.Time, address netip.AddrPort) float64 {
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

// Guards against ordinary flows that take the room of urgent ones at full targets, and
// against urgent flows that are refused for it.
func TestOrdinaryFlowsYieldAtFullTargets(t *testing.T) {
	r := newRoomRouter(0)
	now := fill(r)
	qt.Assert(t, refusals(r, now, fixtures) > 0.5, qt.IsTrue)
	qt.Assert(t, refusals(r, now, results), qt.Equals, 0.0)
	stats := r.Stats()
	qt.Assert(t, stats.Events["room_short"], qt.Equals, uint64(1))
	qt.Assert(t, stats.Events["flow_yielded"] > 100, qt.IsTrue)
	qt.Assert(t, stats.Rooms["fixtures"].Admitted < 0.5, qt.IsTrue)
	qt.Assert(t, stats.Failing, qt.Equals, 0, qt.Commentf("full targets count as failing"))
}

// Guards against slots that stay idle while ordinary flows are refused: flows differ in
// their requests, and a target that has become idle gets ordinary flows too.
func TestIdleTargetGetsOrdinaryFlows(t *testing.T) {
	r := newRoomRouter(0)
	now := fill(r)
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

// Guards against a gate that was closed by a peak and then hides failing targets, which keep
// it closed.
func TestFailingTargetsAreMarkedAfterAPeak(t *testing.T) {
	r := newRoomRouter(0)
	now := fill(r)
	qt.Assert(t, r.Stats().Rooms["fixtures"].Closed, qt.IsTrue)
	for tick := range 50 {
		answerOnce(r, now, tick, 8)
		now = now.Add(100 * time.Millisecond)
		r.Tick(now, new([]baobabstep.OutgoingDatagram))
	}
	stats := r.Stats()
	qt.Assert(t, stats.Rooms["fixtures"].Closed, qt.IsFalse)
	qt.Assert(t, stats.Failing >= 5, qt.IsTrue, qt.Commentf("%d of 8", stats.Failing))
}

// answerOnce counts three answers of normal latency of each target, of which the first
// failing targets fail half.
func answerOnce(r *Router, now time.Time, tick, failing int) {
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

// countAnswer counts an outcome of a random caller's request.
func countAnswer(r *Router, now time.Time, t *target, outcome answer.Outcome, took time.Duration) {
	f := &flow{key: flowFrom(uint16(r.randomUint64()), fixtures), target: t, rule: r.current.Load().rules[fixtures], latency: took}
	f.key.Caller = netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(r.randomUint64()), 7}), 1)
	r.countOutcome(now, f, outcome)
}

// Guards against refusals that help nobody: all flows of the service are ordinary.
func TestNothingYieldsToNobody(t *testing.T) {
	r := newRoomRouter(Mechanisms(0).With(MechanismAdmission))
	ordinary := singleRule(fixtures, "fixtures")
	ordinary.Repeatable, ordinary.Priority = true, 2
	now := fill(r)
	r.SetTable(now, table(2, ordinary)) // the gate is closed at this time
	r.Tick(now, new([]baobabstep.OutgoingDatagram))
	qt.Assert(t, refusals(r, now, fixtures), qt.Equals, 0.0)
	qt.Assert(t, r.Stats().Rooms["fixtures"].Closed, qt.IsFalse)
}

// Guards against a gate that cannot close while a data centre is evacuated: its targets get
// no flows, and reject none.
func TestEvacuatedTargetsDoNotHoldTheGate(t *testing.T) {
	list := manyTargets(3)
	for id := range baobabstep.TargetID(10) {
		list = append(list, registration(100+id, "fixtures", "b"))
	}
	r := newRoomRouterOf(0, list)
	r.SetEvacuations(start, []string{"b"})
	fill(r)
	qt.Assert(t, r.Stats().Rooms["fixtures"].Closed, qt.IsTrue)
}

// Guards against a rejected share that counts only the answers of known latency: many
// callers acknowledge an answer with their next request.
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

// Guards against a trial without flows while the gate is closed: the target passes it,
// although nothing shows that it has recovered.
func TestTrialFlowDoesNotYield(t *testing.T) {
	r := newRoomRouterOf(Mechanisms(0).With(MechanismAdmission), manyTargets(6))
	now := fill(r)
	onTrial := r.current.Load().pools["fixtures"].targets[0]
	onTrial.load.answerHealth = answer.Health{State: answer.OnTrial, Deadline: now.Add(2 * time.Second)}
	out := handle(r, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(9, fixtures), Seq: firstSeq})
	qt.Assert(t, out[0].Target, qt.Equals, onTrial.id)
}

// Without the mechanism nothing yields.
func TestRoomDisabled(t *testing.T) {
	r := newRoomRouter(Mechanisms(0).With(MechanismRoom).With(MechanismAdmission))
	qt.Assert(t, refusals(r, fill(r), fixtures), qt.Equals, 0.0)
}

// Guards against the reset of a flow that its target may have accepted: the retransmission
// of a first segment goes to the same target, also if the service has become full since.
func TestRetransmittedFlowDoesNotYield(t *testing.T) {
	r := newRoomRouter(0)
	var placed []baobabstep.FlowKey
	for port := range uint16(100) {
		placed = append(placed, flowFrom(20_000+port, fixtures))
		open(t, r, start, placed[port])
	}
	now := fill(r)
	for _, key := range placed {
		open(t, r, now, key)
	}
}

// Guards against a herd on one target. The targets of the VMs' own data centre are
// evacuated, so that all of its VMs chose among all other targets, and each the one that
// seemed idle.
func TestNoHerdFromAnEvacuatedDataCentre(t *testing.T) {
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

// Guards against a new target that is flooded while the VMs report their requests to it one
// by one: the first reports are of few VMs.
func TestFirstReportsOnANewTarget(t *testing.T) {
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

// Guards against a gate that closes for failing targets. What a target answers that fails
// more than its peers says nothing of the room.
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
