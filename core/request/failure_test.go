package request

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

const (
	ok      = baobabstep.CodeOK
	unknown = baobabstep.CodeOutcomeUnknown
	notRun  = baobabstep.CodeRefusedNotRun
)

// dropFirst returns a filter that drops the first matching packet and then calls
// do.
func dropFirst(matches func(from, to string, p *baobabstep.Packet) bool, do func()) func(b *testBed, from, to string, p *baobabstep.Packet) bool {
	done := false
	return func(_ *testBed, from, to string, p *baobabstep.Packet) bool {
		if done || !matches(from, to, p) {
			return false
		}
		done = true
		do()
		return true
	}
}

func hasPurpose(want baobabstep.Purpose) func(from, to string, p *baobabstep.Packet) bool {
	return func(_, _ string, p *baobabstep.Packet) bool { return p.Route.Purpose == want }
}

func requestToTarget(_, to string, p *baobabstep.Packet) bool {
	return to == "target" && p.Kind == baobabstep.KindRequest
}

func fromTarget(from, _ string, _ *baobabstep.Packet) bool { return from == "target" }

// kill stops VMs. The others see them as suspect after 300 ms and as dead after
// 2 s.
func (b *testBed) kill(vms ...int) {
	for _, i := range vms {
		b.vms[i].dead = true
	}
	var members []int
	for i, v := range b.vms {
		if v.dead {
			i = suspectMember(i)
		}
		members = append(members, i)
	}
	b.after(300*time.Millisecond, func() { b.setViews(members...) })
	b.after(2*time.Second, func() { b.setViews(b.allExcept(vms...)...) })
}

func (b *testBed) setViews(members ...int) {
	for i, v := range b.vms {
		if !v.dead {
			b.setView(i, members...)
		}
	}
}

// The caller sends one request that is not idempotent and, without a result,
// retransmits it after 2.5 s through another VM. In each case VMs fail at one
// step of the request. The caller must get a correct result, and the request must
// not run twice: once the claim is stored, the request may have been sent to a
// target, so the witnesses answer "outcome unknown" to every further copy.
func TestDeathAtEachStep(t *testing.T) {
	tests := []struct {
		name string
		// fault sets up the failure; d is the dispatcher, w are the witnesses.
		fault func(b *testBed, d int, w []int)
		want  []baobabstep.Code
		// ran is how often the request runs.
		ran int
	}{
		{
			"entry VM dies before it forwards",
			func(b *testBed, _ int, _ []int) {
				b.drop = dropFirst(hasPurpose(baobabstep.PurposeForward), func() { b.kill(b.nonMember()) })
			},
			[]baobabstep.Code{ok},
			1,
		},
		{
			"dispatcher dies before the claim leaves it",
			func(b *testBed, d int, _ []int) {
				killed := false
				b.drop = func(b *testBed, from, _ string, p *baobabstep.Packet) bool {
					hit := p.Route.Purpose == baobabstep.PurposeReplicate && from == fmt.Sprint("vm-", d)
					if hit && !killed {
						killed = true
						b.kill(d)
					}
					return hit
				}
			},
			[]baobabstep.Code{ok},
			1,
		},
		{
			"dispatcher dies between claim and hand-over",
			func(b *testBed, d int, _ []int) {
				b.drop = dropFirst(requestToTarget, func() { b.kill(d) })
			},
			[]baobabstep.Code{unknown},
			0,
		},
		{
			"dispatcher dies while the target runs it",
			func(b *testBed, d int, _ []int) {
				for _, e := range b.targets {
					e.minTime = 400 * time.Millisecond
				}
				b.after(20*time.Millisecond, func() { b.kill(d) })
			},
			[]baobabstep.Code{ok},
			1,
		},
		{
			"dispatcher dies and the answer is lost",
			func(b *testBed, d int, _ []int) {
				b.drop = dropFirst(fromTarget, func() { b.kill(d) })
			},
			[]baobabstep.Code{unknown},
			1,
		},
		{
			"dispatcher and first witness die after the answer",
			func(b *testBed, d int, w []int) {
				b.after(300*time.Millisecond, func() { b.kill(d, w[0]) })
			},
			[]baobabstep.Code{ok},
			1,
		},
		{
			"one witness dies",
			func(b *testBed, _ int, w []int) { b.kill(w[0]) },
			[]baobabstep.Code{ok},
			1,
		},
		{
			"both witnesses die",
			func(b *testBed, _ int, w []int) { b.kill(w...) },
			[]baobabstep.Code{unknown},
			0,
		},
		{
			"all three die before the hand-over",
			func(b *testBed, d int, w []int) {
				b.drop = dropFirst(requestToTarget, func() { b.kill(d, w[0], w[1]) })
			},
			[]baobabstep.Code{unknown},
			0,
		},
		{
			"dispatcher restarts after the hand-over with an empty ledger",
			func(b *testBed, d int, _ []int) {
				b.drop = dropFirst(fromTarget, func() {
					view := b.vms[d].view
					b.start(d)
					b.vms[d].engine.SetView(b.now, view)
				})
			},
			[]baobabstep.Code{unknown},
			1,
		},
	}
	for i, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBed(t, 9, 15, uint64(i))
			m := b.members()
			test.fault(b, m[0], m[1:])
			entry := b.nonMember()
			r := transmission{number: 1, timeout: 4 * time.Second}
			key := b.sendRequest(entry, r)
			b.run(2500 * time.Millisecond)
			if len(b.callers[key].codes) == 0 {
				r.seq = 1
				b.sendRequest((entry+1+b.distanceToNonDispatcher(entry))%9, r)
			}
			b.run(6 * time.Second)
			assertResults(t, b, key, test.want...)
			qt.Assert(t, b.ran[key], qt.Equals, test.ran)
		})
	}
}

// distanceToNonDispatcher returns the distance from entry+1 to the next living VM
// that is not the dispatcher.
func (b *testBed) distanceToNonDispatcher(entry int) int {
	m := b.members()
	for d := range len(b.vms) {
		i := (entry + 1 + d) % len(b.vms)
		if !b.vms[i].dead && i != m[0] {
			return d
		}
	}
	return 0
}

// A target is silent or refuses. An idempotent request is answered by another
// target. Any other request gets "outcome unknown" after silence and "not run"
// after a refusal, and is not sent a second time.
func TestSilentOrRefusingTarget(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		setFault   func(e *fakeTarget)
		want       baobabstep.Code
	}{
		{"silent, idempotent", true, func(e *fakeTarget) { e.silent = true }, ok},
		{"silent, not idempotent", false, func(e *fakeTarget) { e.silent = true }, unknown},
		{"refuses, idempotent", true, func(e *fakeTarget) { e.refuse = baobabstep.CodeShed }, ok},
		{"refuses, not idempotent", false, func(e *fakeTarget) { e.refuse = baobabstep.CodeShed }, notRun},
		{"leaving, idempotent", true, func(e *fakeTarget) { e.refuse = baobabstep.CodeTargetLeaving }, ok},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBed(t, 6, 15, 1)
			b.drop = dropFirst(requestToTarget, func() {})
			b.drop = func(b *testBed, _, to string, p *baobabstep.Packet) bool {
				if to == "target" && p.Attempt == 1 && p.Kind == baobabstep.KindRequest {
					test.setFault(b.targets[p.Target])
				}
				return false
			}
			key := b.sendRequest(0, transmission{number: 1, idempotent: test.idempotent, timeout: time.Second})
			b.run(3 * time.Second)
			assertResults(t, b, key, test.want)
			assertTruthfulResults(t, b, func(baobabstep.FlowKey) bool { return test.idempotent })
		})
	}
}

// Copies of a first transmission arrive on both sides of a partition between data
// centres. The side with two of the three data centres runs it. The other side
// cannot know the outcome and says so at once.
func TestPartitionRunsOnOneSideOnly(t *testing.T) {
	b := newTestBed(t, 9, 15, 1)
	b.answerToSender = true
	side := func(i int) bool { return i%3 == 0 }
	b.drop = func(_ *testBed, from, to string, _ *baobabstep.Packet) bool {
		var f, g int
		if n, _ := fmt.Sscanf(from+" "+to, "vm-%d vm-%d", &f, &g); n < 2 {
			return false
		}
		return side(f) != side(g)
	}
	for i := range b.vms {
		members := b.allExcept(0, 3, 6)
		if side(i) {
			members = []int{0, 3, 6}
		}
		b.setView(i, members...)
	}
	b.run(10 * time.Second)
	for n := range uint64(50) {
		key := b.sendRequest(0, transmission{number: n})
		b.sendRequest(1, transmission{number: n})
		b.run(300 * time.Millisecond)
		qt.Assert(t, b.ran[key], qt.Equals, 1)
		assertResults(t, b, key, unknown, ok)
	}
}

// The caller cancels a request. Before the first attempt it gets "cancelled" and
// the request never runs. Later the target is asked to stop and a late answer is
// dropped.
func TestCancel(t *testing.T) {
	t.Run("while queued", func(t *testing.T) {
		b := newTestBed(t, 6, 1, 1)
		for n := range uint64(2) {
			b.sendRequest(0, transmission{number: n, class: baobabstep.ClassOrdinary})
		}
		for _, e := range b.targets {
			e.serviceTime = 100 * time.Millisecond
		}
		b.run(5 * time.Millisecond)
		key := b.sendRequest(0, transmission{number: 3, class: baobabstep.ClassOrdinary})
		b.run(5 * time.Millisecond)
		b.sendCancel(1, 3)
		b.run(3 * time.Second)
		assertResults(t, b, key, baobabstep.CodeCancelled)
		qt.Assert(t, b.ran[key], qt.Equals, 0)
	})
	t.Run("while running", func(t *testing.T) {
		b := newTestBed(t, 6, 1, 1)
		for _, e := range b.targets {
			e.serviceTime = 100 * time.Millisecond
		}
		key := b.sendRequest(0, transmission{number: 3})
		b.run(5 * time.Millisecond)
		b.sendCancel(1, 3)
		b.run(3 * time.Second)
		assertResults(t, b, key, unknown)
	})
}

// An idempotent request is running when its dispatcher fails. A delayed copy of
// its first transmission reaches the next dispatcher with too little time left.
// The caller must not get "not run", because the former dispatcher sent the
// request to a target without a claim.
func TestNoNotRunAfterDispatcherChange(t *testing.T) {
	b := newTestBed(t, 9, 15, 1)
	for _, e := range b.targets {
		e.minTime = 600 * time.Millisecond
	}
	m := b.members()
	key := b.sendRequest(m[1], transmission{number: 1, idempotent: true})
	b.run(100 * time.Millisecond)
	b.kill(m[0])
	b.run(350 * time.Millisecond)
	b.sendRequest(m[1], transmission{number: 1, idempotent: true, timeout: time.Millisecond})
	b.run(time.Second)
	assertResults(t, b, key, unknown)
	qt.Assert(t, b.ran[key], qt.Equals, 1)
}

// Answers arrive that match no running attempt: from a superseded attempt, from
// another target, and a duplicate. The caller must get one answer, from the last
// attempt.
func TestStrayAnswersAreDropped(t *testing.T) {
	b := newTestBed(t, 6, 15, 1)
	b.answerToSender = true
	b.drop = dropFirst(requestToTarget, func() {})
	m := b.members()
	key := b.sendRequest(m[0], transmission{number: 1, idempotent: true})
	e := b.vms[m[0]].engine
	b.run(150 * time.Millisecond)
	x, _ := e.Explain(key)
	qt.Assert(t, x.Attempt, qt.Equals, uint16(2))
	before := e.Stats().LateAnswers
	stray := func(attempt uint16, target baobabstep.TargetID, payload string) {
		b.deliverToVM(b.vms[m[0]], &baobabstep.Packet{
			Kind: baobabstep.KindAnswer, FromTarget: true, Flow: key, Service: b.service.ID,
			Target: target, Attempt: attempt, Parts: 1, Payload: []byte(payload),
		})
	}
	stray(1, x.Target, "stray")
	stray(2, x.Target+1, "stray")
	stray(2, x.Target, "question 1")
	b.run(time.Second)
	assertResults(t, b, key, ok)
	qt.Assert(t, e.Stats().LateAnswers, qt.Equals, before+3)
}

// A large answer arrives in parts, in any order and with duplicates. The caller
// gets all parts once the last one has arrived. If a part is lost it gets none,
// and "outcome unknown" at its deadline. If the answer exceeds the limit it gets
// "answer too large".
func TestAnswerInParts(t *testing.T) {
	tests := []struct {
		name  string
		order []uint16
		size  int
		want  baobabstep.Code
		parts int
	}{
		{"in order", []uint16{0, 1, 2}, 100, ok, 3},
		{"shuffled and doubled", []uint16{2, 0, 0, 2, 1}, 100, ok, 3},
		{"one lost", []uint16{0, 2}, 100, unknown, 0},
		{"too large", []uint16{0, 1, 2}, 500 << 10, baobabstep.CodeAnswerTooLarge, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newTestBed(t, 6, 15, 1)
			for _, e := range b.targets {
				e.silent = true
			}
			d := b.vms[b.members()[0]]
			key := b.sendRequest(d.index, transmission{number: 1, timeout: 300 * time.Millisecond})
			b.run(50 * time.Millisecond)
			x, _ := d.engine.Explain(key)
			for _, part := range test.order {
				b.deliverToVM(d, &baobabstep.Packet{
					Kind: baobabstep.KindAnswer, FromTarget: true, Flow: key, Service: b.service.ID,
					Target: x.Target, Attempt: 1, Part: part, Parts: 3, Payload: make([]byte, test.size),
				})
			}
			b.run(time.Second)
			assertResults(t, b, key, test.want)
			qt.Assert(t, b.callers[key].parts, qt.Equals, test.parts)
		})
	}
}

// A service outgrows one group of targets, so the keys of its requests move to
// other sets, which don't know each other's requests. A copy of a request that
// ran before the change arrives after it, and must not run again. Once such
// copies can no longer arrive, requests are served as before.
func TestKeysThatMoveBetweenGroups(t *testing.T) {
	b := newTestBed(t, 9, 15, 1)
	var keys []baobabstep.FlowKey
	for n := range uint64(20) {
		keys = append(keys, b.sendRequest(0, transmission{number: n}))
	}
	b.run(time.Second)
	grown := testService(80)
	b.config = &baobabstep.Config{Version: 2, Services: []baobabstep.Service{grown}}
	b.config.Index()
	for _, target := range grown.Targets {
		if b.targets[target.ID] == nil {
			b.targets[target.ID] = &fakeTarget{serviceTime: 10 * time.Millisecond}
		}
	}
	for _, v := range b.vms {
		v.slots.SetConfig(b.now, b.config)
		v.engine.SetConfig(b.now, b.config)
	}
	for n := range uint64(20) {
		b.sendRequest(1, transmission{number: n})
	}
	b.run(time.Second)
	for _, key := range keys {
		qt.Assert(t, b.ran[key], qt.Equals, 1)
		qt.Assert(t, b.callers[key].codes[0], qt.Equals, ok)
	}
	b.run(3 * time.Second)
	key := b.sendRequest(1, transmission{number: 100})
	b.run(time.Second)
	assertResults(t, b, key, ok)
}

// The whole fleet started ten seconds ago. Requests whose first copies were lost
// arrive as retransmissions, and no VM's records reach back far enough to show
// that they were not run. Their callers must get "outcome unknown" at once, and
// these requests must not cause others to be refused as if they were waiting for
// slots.
func TestRetransmissionsToNewlyStartedFleet(t *testing.T) {
	b := newTestBed(t, 9, 15, 1)
	for _, v := range b.vms {
		v.engine.startedAt = b.now.Add(-10 * time.Second)
	}
	var keys []baobabstep.FlowKey
	for n := range uint64(60) {
		keys = append(keys, b.sendRequest(int(n%9), transmission{number: n, seq: 1, timeout: 2 * time.Second}))
	}
	b.run(10 * time.Millisecond)
	for _, key := range keys {
		assertResults(t, b, key, unknown)
	}
	key := b.sendRequest(0, transmission{number: 100, idempotent: true, timeout: 2 * time.Second})
	b.run(500 * time.Millisecond)
	assertResults(t, b, key, ok)
}
