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

// once returns a filter that calls do at the first packet that fits, which is
// lost.
func once(fits func(from, to string, p *baobabstep.Packet) bool, do func()) func(b *bench, from, to string, p *baobabstep.Packet) bool {
	done := false
	return func(_ *bench, from, to string, p *baobabstep.Packet) bool {
		if done || !fits(from, to, p) {
			return false
		}
		done = true
		do()
		return true
	}
}

func purpose(want baobabstep.Purpose) func(from, to string, p *baobabstep.Packet) bool {
	return func(_, _ string, p *baobabstep.Packet) bool { return p.Route.Purpose == want }
}

func toTarget(_, to string, p *baobabstep.Packet) bool {
	return to == "target" && p.Kind == baobabstep.KindRequest
}

func fromTarget(from, _ string, _ *baobabstep.Packet) bool { return from == "target" }

// kill stops a VM; the others see it as suspect at once and as dead after 2 s.
func (b *bench) kill(vms ...int) {
	for _, i := range vms {
		b.vms[i].dead = true
	}
	var members []int
	for i, v := range b.vms {
		if v.dead {
			i = suspect(i)
		}
		members = append(members, i)
	}
	b.after(300*time.Millisecond, func() { b.seeAlive(members...) })
	b.after(2*time.Second, func() { b.seeAlive(b.others(vms...)...) })
}

func (b *bench) seeAlive(members ...int) {
	for i, v := range b.vms {
		if !v.dead {
			b.see(i, members...)
		}
	}
}

// The caller sends one request that is not idempotent and, when it hears
// nothing, the same again after 2.5 s by way of another VM. One VM dies at
// each step on the way. The caller must be told the truth, and nothing may run
// twice: once the claim is stored, the request may have been handed over, and
// the witnesses say "unknown" to every further copy.
func TestDeathAtEachStep(t *testing.T) {
	tests := []struct {
		name string
		// fault arms the death; d is the dispatcher, w the witnesses.
		fault func(b *bench, d int, w []int)
		want  []baobabstep.Code
		// ran is how often the request runs.
		ran int
	}{
		{
			"entry VM dies before it forwards",
			func(b *bench, _ int, _ []int) {
				b.drop = once(purpose(baobabstep.PurposeForward), func() { b.kill(b.outsider()) })
			},
			[]baobabstep.Code{ok},
			1,
		},
		{
			"dispatcher dies before the claim leaves it",
			func(b *bench, d int, _ []int) {
				killed := false
				b.drop = func(b *bench, from, _ string, p *baobabstep.Packet) bool {
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
			func(b *bench, d int, _ []int) {
				b.drop = once(toTarget, func() { b.kill(d) })
			},
			[]baobabstep.Code{unknown},
			0,
		},
		{
			"dispatcher dies while the target runs it",
			func(b *bench, d int, _ []int) {
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
			func(b *bench, d int, _ []int) {
				b.drop = once(fromTarget, func() { b.kill(d) })
			},
			[]baobabstep.Code{unknown},
			1,
		},
		{
			"dispatcher and first witness die after the answer",
			func(b *bench, d int, w []int) {
				b.after(300*time.Millisecond, func() { b.kill(d, w[0]) })
			},
			[]baobabstep.Code{ok},
			1,
		},
		{
			"one witness dies",
			func(b *bench, _ int, w []int) { b.kill(w[0]) },
			[]baobabstep.Code{ok},
			1,
		},
		{
			"both witnesses die",
			func(b *bench, _ int, w []int) { b.kill(w...) },
			[]baobabstep.Code{unknown},
			0,
		},
		{
			"all three die before the hand-over",
			func(b *bench, d int, w []int) {
				b.drop = once(toTarget, func() { b.kill(d, w[0], w[1]) })
			},
			[]baobabstep.Code{unknown},
			0,
		},
		{
			"dispatcher restarts after the hand-over and forgot all",
			func(b *bench, d int, _ []int) {
				b.drop = once(fromTarget, func() {
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
			b := newBench(t, 9, 15, uint64(i))
			m := b.members()
			test.fault(b, m[0], m[1:])
			entry := b.outsider()
			r := request{number: 1, timeout: 4 * time.Second}
			key := b.ask(entry, r)
			b.run(2500 * time.Millisecond)
			if len(b.callers[key].codes) == 0 {
				r.seq = 1
				b.ask((entry+1+b.outsiderAfter(entry))%9, r)
			}
			b.run(6 * time.Second)
			assertTold(t, b, key, test.want...)
			qt.Assert(t, b.ran[key], qt.Equals, test.ran)
		})
	}
}

// outsiderAfter returns the distance from entry+1 to the next living VM that
// is not in the set.
func (b *bench) outsiderAfter(entry int) int {
	m := b.members()
	for d := range len(b.vms) {
		i := (entry + 1 + d) % len(b.vms)
		if !b.vms[i].dead && i != m[0] {
			return d
		}
	}
	return 0
}

// A target stays silent or refuses. The caller of an idempotent request sees
// an answer from another target; the caller of any other request is told
// "unknown" after silence, and "not run" after a refusal, and nothing is
// handed over a second time.
func TestTargetThatFails(t *testing.T) {
	tests := []struct {
		name       string
		idempotent bool
		spoil      func(e *backEnd)
		want       baobabstep.Code
	}{
		{"silent, idempotent", true, func(e *backEnd) { e.silent = true }, ok},
		{"silent, not idempotent", false, func(e *backEnd) { e.silent = true }, unknown},
		{"refuses, idempotent", true, func(e *backEnd) { e.refuse = baobabstep.CodeShed }, ok},
		{"refuses, not idempotent", false, func(e *backEnd) { e.refuse = baobabstep.CodeShed }, notRun},
		{"leaving, idempotent", true, func(e *backEnd) { e.refuse = baobabstep.CodeTargetLeaving }, ok},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := newBench(t, 6, 15, 1)
			b.drop = once(toTarget, func() {})
			b.drop = func(b *bench, _, to string, p *baobabstep.Packet) bool {
				if to == "target" && p.Attempt == 1 && p.Kind == baobabstep.KindRequest {
					test.spoil(b.targets[p.Target])
				}
				return false
			}
			key := b.ask(0, request{number: 1, idempotent: test.idempotent, timeout: time.Second})
			b.run(3 * time.Second)
			assertTold(t, b, key, test.want)
			assertHonest(t, b, func(baobabstep.FlowKey) bool { return test.idempotent })
		})
	}
}

// Copies of one first transmission arrive on both sides of a partition between
// data centres. The side with two of three data centres runs it; the other
// cannot know, and says so at once.
func TestPartitionRunsOnOneSideOnly(t *testing.T) {
	b := newBench(t, 9, 15, 1)
	b.sticky = true
	side := func(i int) bool { return i%3 == 0 }
	b.drop = func(_ *bench, from, to string, _ *baobabstep.Packet) bool {
		var f, g int
		if n, _ := fmt.Sscanf(from+" "+to, "vm-%d vm-%d", &f, &g); n < 2 {
			return false
		}
		return side(f) != side(g)
	}
	for i := range b.vms {
		members := b.others(0, 3, 6)
		if side(i) {
			members = []int{0, 3, 6}
		}
		b.see(i, members...)
	}
	b.run(10 * time.Second)
	for n := range uint64(50) {
		key := b.ask(0, request{number: n})
		b.ask(1, request{number: n})
		b.run(300 * time.Millisecond)
		qt.Assert(t, b.ran[key], qt.Equals, 1)
		assertTold(t, b, key, unknown, ok)
	}
}

// The caller withdraws a request: before its hand-over it is told that it did
// not run, and it never does; afterwards the target is told to stop, and the
// late answer goes to nobody.
func TestCancel(t *testing.T) {
	t.Run("while queued", func(t *testing.T) {
		b := newBench(t, 6, 1, 1)
		for n := range uint64(2) {
			b.ask(0, request{number: n, class: baobabstep.ClassOrdinary})
		}
		for _, e := range b.targets {
			e.serviceTime = 100 * time.Millisecond
		}
		b.run(5 * time.Millisecond)
		key := b.ask(0, request{number: 3, class: baobabstep.ClassOrdinary})
		b.run(5 * time.Millisecond)
		b.cancel(1, 3)
		b.run(3 * time.Second)
		assertTold(t, b, key, baobabstep.CodeCancelled)
		qt.Assert(t, b.ran[key], qt.Equals, 0)
	})
	t.Run("while running", func(t *testing.T) {
		b := newBench(t, 6, 1, 1)
		for _, e := range b.targets {
			e.serviceTime = 100 * time.Millisecond
		}
		key := b.ask(0, request{number: 3})
		b.run(5 * time.Millisecond)
		b.cancel(1, 3)
		b.run(3 * time.Second)
		assertTold(t, b, key, unknown)
	})
}

// A request that may run twice is running when its dispatcher dies. A copy of
// its first transmission, late in the fabric, reaches the next dispatcher,
// which has no time for it. The caller must not be told that it was not run:
// the former dispatcher handed it over without a claim.
func TestRefusalAfterAChangeOfDispatcherProvesNothing(t *testing.T) {
	b := newBench(t, 9, 15, 1)
	for _, e := range b.targets {
		e.minTime = 600 * time.Millisecond
	}
	m := b.members()
	key := b.ask(m[1], request{number: 1, idempotent: true})
	b.run(100 * time.Millisecond)
	b.kill(m[0])
	b.run(350 * time.Millisecond)
	b.ask(m[1], request{number: 1, idempotent: true, timeout: time.Millisecond})
	b.run(time.Second)
	assertTold(t, b, key, unknown)
	qt.Assert(t, b.ran[key], qt.Equals, 1)
}

// An answer reaches the ledger that no running attempt asked for: an attempt
// that was superseded, another target's, one sent twice. The caller sees one
// answer, from the last attempt.
func TestStrayAnswersAreDropped(t *testing.T) {
	b := newBench(t, 6, 15, 1)
	b.sticky = true
	b.drop = once(toTarget, func() {})
	m := b.members()
	key := b.ask(m[0], request{number: 1, idempotent: true})
	e := b.vms[m[0]].engine
	b.run(150 * time.Millisecond)
	x, _ := e.Explain(key)
	qt.Assert(t, x.Attempt, qt.Equals, uint16(2))
	before := e.Stats().LateAnswers
	stray := func(attempt uint16, target baobabstep.TargetID, payload string) {
		b.atVM(b.vms[m[0]], &baobabstep.Packet{
			Kind: baobabstep.KindAnswer, FromTarget: true, Flow: key, Service: b.service.ID,
			Target: target, Attempt: attempt, Parts: 1, Payload: []byte(payload),
		})
	}
	stray(1, x.Target, "stray")
	stray(2, x.Target+1, "stray")
	stray(2, x.Target, "question 1")
	b.run(time.Second)
	assertTold(t, b, key, ok)
	qt.Assert(t, e.Stats().LateAnswers, qt.Equals, before+3)
}

// A large answer comes in parts, one of them twice and in any order. The
// caller sees all parts once the last is here; when one is lost it sees none,
// and "unknown" at its deadline; when they do not fit it is told that.
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
			b := newBench(t, 6, 15, 1)
			for _, e := range b.targets {
				e.silent = true
			}
			d := b.vms[b.members()[0]]
			key := b.ask(d.index, request{number: 1, timeout: 300 * time.Millisecond})
			b.run(50 * time.Millisecond)
			x, _ := d.engine.Explain(key)
			for _, part := range test.order {
				b.atVM(d, &baobabstep.Packet{
					Kind: baobabstep.KindAnswer, FromTarget: true, Flow: key, Service: b.service.ID,
					Target: x.Target, Attempt: 1, Part: part, Parts: 3, Payload: make([]byte, test.size),
				})
			}
			b.run(time.Second)
			assertTold(t, b, key, test.want)
			qt.Assert(t, b.callers[key].parts, qt.Equals, test.parts)
		})
	}
}

// A service grows past the targets of one group, so the keys of its requests
// move to other sets, which know nothing of each other. A copy of a request
// that ran before the change arrives after it: its caller must not get a second
// run, and is told "unknown". Once no such copy can arrive, all is as before.
func TestKeysThatMoveBetweenGroups(t *testing.T) {
	b := newBench(t, 9, 15, 1)
	var keys []baobabstep.FlowKey
	for n := range uint64(20) {
		keys = append(keys, b.ask(0, request{number: n}))
	}
	b.run(time.Second)
	grown := testService(80)
	b.config = &baobabstep.Config{Version: 2, Services: []baobabstep.Service{grown}}
	b.config.Index()
	for _, target := range grown.Targets {
		if b.targets[target.ID] == nil {
			b.targets[target.ID] = &backEnd{serviceTime: 10 * time.Millisecond}
		}
	}
	for _, v := range b.vms {
		v.slots.SetConfig(b.now, b.config)
		v.engine.SetConfig(b.now, b.config)
	}
	for n := range uint64(20) {
		b.ask(1, request{number: n})
	}
	b.run(time.Second)
	for _, key := range keys {
		qt.Assert(t, b.ran[key], qt.Equals, 1)
		qt.Assert(t, b.callers[key].codes[0], qt.Equals, ok)
	}
	b.run(3 * time.Second)
	key := b.ask(1, request{number: 100})
	b.run(time.Second)
	assertTold(t, b, key, ok)
}

// The whole fleet started ten seconds ago. Requests whose first copies were lost
// arrive as repeated ones; no VM remembers far enough to prove that they were
// not run. Their callers are told so at once, and other requests are not refused
// as if these were waiting for slots.
func TestRepeatedRequestsToAYoungFleet(t *testing.T) {
	b := newBench(t, 9, 15, 1)
	for _, v := range b.vms {
		v.engine.started = b.now.Add(-10 * time.Second)
	}
	var keys []baobabstep.FlowKey
	for n := range uint64(60) {
		keys = append(keys, b.ask(int(n%9), request{number: n, seq: 1, timeout: 2 * time.Second}))
	}
	b.run(10 * time.Millisecond)
	for _, key := range keys {
		assertTold(t, b, key, unknown)
	}
	key := b.ask(0, request{number: 100, idempotent: true, timeout: 2 * time.Second})
	b.run(500 * time.Millisecond)
	assertTold(t, b, key, ok)
}
