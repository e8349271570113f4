package request

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"baobabstep"
)

// world is a bench whose VMs see each change of the fleet at their own times.
type world struct {
	*bench
	t *rapid.T
	// cut is the data centre that is cut off, or -1.
	cut    int
	number uint64
	sent   []request
	// goneAt is when a VM died or fell asleep.
	goneAt map[int]time.Time
}

const (
	suspectAfter = 400 * time.Millisecond
	deadAfter    = 1500 * time.Millisecond
	viewSkew     = 800 * time.Millisecond
)

func newWorld(t *rapid.T) *world {
	w := &world{bench: newBench(t, 7, 6, rapid.Uint64().Draw(t, "seed")), t: t, cut: -1, goneAt: make(map[int]time.Time)}
	w.double = 0.1
	w.drop = func(b *bench, from, to string, p *baobabstep.Packet) bool {
		return w.severed(from, to) || b.rand.IntN(50) == 0
	}
	return w
}

func (w *world) side(i int) bool { return i%3 == w.cut }

func (w *world) severed(from, to string) bool {
	var f, g int
	if n, _ := fmt.Sscanf(from+" "+to, "vm-%d vm-%d", &f, &g); n < 2 {
		return false
	}
	return w.side(f) != w.side(g)
}

// changed lets each VM see the fleet as it is, each a little later than the
// others: first the suspicion, then the death.
func (w *world) changed() {
	for i := range w.vms {
		w.after(suspectAfter+w.skew(), func() { w.look(i) })
		w.after(deadAfter+w.skew(), func() { w.look(i) })
	}
}

func (w *world) skew() time.Duration { return time.Duration(w.rand.Int64N(int64(viewSkew))) }

// look gives VM i the view that a failure detector would have now.
func (w *world) look(i int) {
	v := w.vms[i]
	if v.dead || v.asleep {
		return
	}
	var members []int
	for j, other := range w.vms {
		since, gone := w.goneAt[j]
		gone = gone && (other.dead || other.asleep)
		if w.side(i) != w.side(j) {
			gone, since = true, w.goneAt[-1]
		}
		switch age := w.now.Sub(since); {
		case !gone:
			members = append(members, j)
		case age < deadAfter:
			members = append(members, suspect(j))
		}
	}
	w.see(i, members...)
}

func (w *world) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) int { return rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm") }
	return map[string]func(*rapid.T){
		"ask": func(t *rapid.T) {
			w.number++
			r := request{
				number:     w.number,
				class:      baobabstep.Class(rapid.IntRange(0, 1).Draw(t, "class")),
				idempotent: rapid.Bool().Draw(t, "idempotent"),
				timeout:    time.Duration(rapid.IntRange(20, 3000).Draw(t, "timeout")) * time.Millisecond,
			}
			w.sent = append(w.sent, r)
			for range rapid.IntRange(1, 2).Draw(t, "copies") {
				w.ask(pick(t), r)
			}
		},
		"ask many": func(t *rapid.T) {
			for range rapid.IntRange(10, 60).Draw(t, "many") {
				w.number++
				r := request{number: w.number, class: baobabstep.Class(w.number % 2), idempotent: w.number%3 == 0, timeout: 200 * time.Millisecond}
				w.sent = append(w.sent, r)
				w.ask(w.rand.IntN(len(w.vms)), r)
			}
		},
		"ask again": func(t *rapid.T) {
			if len(w.sent) == 0 {
				t.Skip()
			}
			i := len(w.sent) - 1 - rapid.IntRange(0, min(20, len(w.sent)-1)).Draw(t, "which")
			w.sent[i].seq++
			w.ask(pick(t), w.sent[i])
		},
		"withdraw": func(t *rapid.T) {
			if len(w.sent) == 0 {
				t.Skip()
			}
			w.cancel(pick(t), w.sent[len(w.sent)-1].number)
		},
		"die": func(t *rapid.T) {
			i := pick(t)
			if w.vms[i].dead || w.vms[i].asleep {
				t.Skip()
			}
			w.vms[i].dead = true
			w.goneAt[i] = w.now
			w.changed()
		},
		"start": func(t *rapid.T) {
			i := pick(t)
			if !w.vms[i].dead {
				t.Skip()
			}
			w.start(i)
			w.look(i)
			w.changed()
		},
		"sleep": func(t *rapid.T) {
			i := pick(t)
			if w.vms[i].dead || w.vms[i].asleep {
				t.Skip()
			}
			w.vms[i].asleep = true
			w.goneAt[i] = w.now
			w.changed()
		},
		"wake": func(t *rapid.T) {
			i := pick(t)
			if !w.vms[i].asleep {
				t.Skip()
			}
			w.wake(i)
		},
		"cut off": func(t *rapid.T) {
			if w.cut >= 0 {
				t.Skip()
			}
			w.cut = rapid.IntRange(0, 2).Draw(t, "data centre")
			w.goneAt[-1] = w.now
			w.changed()
		},
		"heal": func(t *rapid.T) {
			if w.cut < 0 {
				t.Skip()
			}
			w.cut = -1
			w.changed()
		},
		"spoil target": func(t *rapid.T) {
			e := w.targets[rapid.SampledFrom(w.service.Targets).Draw(t, "target").ID]
			e.silent = rapid.Bool().Draw(t, "silent")
			e.refuse = rapid.SampledFrom([]baobabstep.Code{0, 0, baobabstep.CodeShed, baobabstep.CodeTargetLeaving}).Draw(t, "refuse")
			e.serviceTime = time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
		},
		"wait": func(t *rapid.T) {
			w.run(time.Duration(rapid.IntRange(1, 2500).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			w.run(5 * time.Millisecond)
			assertHonest(t, w.bench, w.isIdempotent)
		},
	}
}

func (w *world) isIdempotent(key baobabstep.FlowKey) bool { return w.sent[key.Number-1].idempotent }

// wake resumes a VM. It notices its pause before it handles what it received
// meanwhile, and takes part again once it has a new view.
func (w *world) wake(i int) {
	v := w.vms[i]
	v.asleep = false
	v.engine.SetPaused(w.now, true)
	inbox := v.inbox
	v.inbox = nil
	for _, f := range inbox {
		f()
	}
	w.after(time.Second, func() {
		if v.dead || v.asleep {
			return
		}
		w.look(i)
		v.engine.SetPaused(w.now, false)
	})
	w.changed()
}

// Callers send requests, copies and withdrawals to any VM while VMs die,
// restart, sleep and wake, data centres are cut off, packets are lost and
// doubled, and targets fall silent, refuse or slow down. Whatever the order:
// no answer reaches another request, nothing that a caller was told did not
// run has run or runs later, and nothing that is not idempotent runs twice.
func TestRandomFaultsKeepTheLedgerHonest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(w.actions())
		w.run(10 * time.Second)
		assertHonest(t, w.bench, w.isIdempotent)
	})
}
