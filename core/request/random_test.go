package request

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"baobabstep"
)

// faultBed is a testBed whose VMs learn of each change of the fleet at different
// times.
type faultBed struct {
	*testBed
	t *rapid.T
	// cutDataCentre is the index of the data centre that is cut off, or -1.
	cutDataCentre int
	lastNumber    uint64
	sent          []transmission
	// goneAt is when a VM died or was paused; index -1 is when a data centre was
	// cut off.
	goneAt map[int]time.Time
}

const (
	suspectAfter = 400 * time.Millisecond
	deadAfter    = 1500 * time.Millisecond
	viewSkew     = 800 * time.Millisecond
)

func newFaultBed(t *rapid.T) *faultBed {
	w := &faultBed{testBed: newTestBed(t, 7, 6, rapid.Uint64().Draw(t, "seed")), t: t, cutDataCentre: -1, goneAt: make(map[int]time.Time)}
	w.duplicateShare = 0.1
	w.drop = func(b *testBed, from, to string, p *baobabstep.Packet) bool {
		return w.cutOff(from, to) || b.rand.IntN(50) == 0
	}
	return w
}

func (w *faultBed) inCutDataCentre(i int) bool { return i%3 == w.cutDataCentre }

func (w *faultBed) cutOff(from, to string) bool {
	var f, g int
	if n, _ := fmt.Sscanf(from+" "+to, "vm-%d vm-%d", &f, &g); n < 2 {
		return false
	}
	return w.inCutDataCentre(f) != w.inCutDataCentre(g)
}

// scheduleViewUpdates lets each VM learn the state of the fleet after its own
// delay: first as suspect, then as dead.
func (w *faultBed) scheduleViewUpdates() {
	for i := range w.vms {
		w.after(suspectAfter+w.skew(), func() { w.updateView(i) })
		w.after(deadAfter+w.skew(), func() { w.updateView(i) })
	}
}

func (w *faultBed) skew() time.Duration { return time.Duration(w.rand.Int64N(int64(viewSkew))) }

// updateView gives VM i the view that a failure detector would have now.
func (w *faultBed) updateView(i int) {
	v := w.vms[i]
	if v.dead || v.paused {
		return
	}
	var members []int
	for j, other := range w.vms {
		since, gone := w.goneAt[j]
		gone = gone && (other.dead || other.paused)
		if w.inCutDataCentre(i) != w.inCutDataCentre(j) {
			gone, since = true, w.goneAt[-1]
		}
		switch age := w.now.Sub(since); {
		case !gone:
			members = append(members, j)
		case age < deadAfter:
			members = append(members, suspectMember(j))
		}
	}
	w.setView(i, members...)
}

func (w *faultBed) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) int { return rapid.IntRange(0, len(w.vms)-1).Draw(t, "vm") }
	return map[string]func(*rapid.T){
		"ask": func(t *rapid.T) {
			w.lastNumber++
			r := transmission{
				number:     w.lastNumber,
				class:      baobabstep.Class(rapid.IntRange(0, 1).Draw(t, "class")),
				idempotent: rapid.Bool().Draw(t, "idempotent"),
				timeout:    time.Duration(rapid.IntRange(20, 3000).Draw(t, "timeout")) * time.Millisecond,
			}
			w.sent = append(w.sent, r)
			for range rapid.IntRange(1, 2).Draw(t, "copies") {
				w.sendRequest(pick(t), r)
			}
		},
		"ask many": func(t *rapid.T) {
			for range rapid.IntRange(10, 60).Draw(t, "many") {
				w.lastNumber++
				r := transmission{number: w.lastNumber, class: baobabstep.Class(w.lastNumber % 2), idempotent: w.lastNumber%3 == 0, timeout: 200 * time.Millisecond}
				w.sent = append(w.sent, r)
				w.sendRequest(w.rand.IntN(len(w.vms)), r)
			}
		},
		"ask again": func(t *rapid.T) {
			if len(w.sent) == 0 {
				t.Skip()
			}
			i := len(w.sent) - 1 - rapid.IntRange(0, min(20, len(w.sent)-1)).Draw(t, "which")
			w.sent[i].seq++
			w.sendRequest(pick(t), w.sent[i])
		},
		"withdraw": func(t *rapid.T) {
			if len(w.sent) == 0 {
				t.Skip()
			}
			w.sendCancel(pick(t), w.sent[len(w.sent)-1].number)
		},
		"die": func(t *rapid.T) {
			i := pick(t)
			if w.vms[i].dead || w.vms[i].paused {
				t.Skip()
			}
			w.vms[i].dead = true
			w.goneAt[i] = w.now
			w.scheduleViewUpdates()
		},
		"start": func(t *rapid.T) {
			i := pick(t)
			if !w.vms[i].dead {
				t.Skip()
			}
			w.start(i)
			w.updateView(i)
			w.scheduleViewUpdates()
		},
		"sleep": func(t *rapid.T) {
			i := pick(t)
			if w.vms[i].dead || w.vms[i].paused {
				t.Skip()
			}
			w.vms[i].paused = true
			w.goneAt[i] = w.now
			w.scheduleViewUpdates()
		},
		"wake": func(t *rapid.T) {
			i := pick(t)
			if !w.vms[i].paused {
				t.Skip()
			}
			w.resume(i)
		},
		"cut off": func(t *rapid.T) {
			if w.cutDataCentre >= 0 {
				t.Skip()
			}
			w.cutDataCentre = rapid.IntRange(0, 2).Draw(t, "data centre")
			w.goneAt[-1] = w.now
			w.scheduleViewUpdates()
		},
		"heal": func(t *rapid.T) {
			if w.cutDataCentre < 0 {
				t.Skip()
			}
			w.cutDataCentre = -1
			w.scheduleViewUpdates()
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
			assertTruthfulResults(t, w.testBed, w.isIdempotent)
		},
	}
}

func (w *faultBed) isIdempotent(key baobabstep.FlowKey) bool { return w.sent[key.Number-1].idempotent }

// resume resumes a VM. It notices its pause before it handles the packets
// received during the pause, and is active again once it has a new view.
func (w *faultBed) resume(i int) {
	v := w.vms[i]
	v.paused = false
	v.engine.SetPaused(w.now, true)
	inbox := v.inbox
	v.inbox = nil
	for _, f := range inbox {
		f()
	}
	w.after(time.Second, func() {
		if v.dead || v.paused {
			return
		}
		w.updateView(i)
		v.engine.SetPaused(w.now, false)
	})
	w.scheduleViewUpdates()
}

// Callers send requests, copies and cancels to any VM while VMs die, restart,
// pause and resume, data centres are cut off, packets are lost and duplicated,
// and targets are silent, refuse or slow down. In any order of events no answer
// may reach another request, no request that was reported as not run may have run
// or run later, and no request that is not idempotent may run twice.
func TestResultsAreTruthfulUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newFaultBed(t)
		t.Repeat(w.actions())
		w.run(10 * time.Second)
		assertTruthfulResults(t, w.testBed, w.isIdempotent)
	})
}
