package entry_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/platform/standin"
)

// outcomes are what became of requests, by number.
type outcomes struct {
	mu   sync.Mutex
	list map[uint64]standin.Outcome
}

// ask sends requests over flows of their own, several at once, and returns how
// each ended.
func (f *fixture) ask(first, count uint64) map[uint64]standin.Outcome {
	f.t.Helper()
	const atOnce = 16
	o := outcomes{list: make(map[uint64]standin.Outcome)}
	var askers sync.WaitGroup
	for asker := range uint64(atOnce) {
		askers.Go(func() {
			for n := first + asker; n < first+count; n += atOnce {
				outcome := f.request(n)
				o.mu.Lock()
				o.list[n] = outcome
				o.mu.Unlock()
			}
		})
	}
	askers.Wait()
	return o.list
}

// assertToldTruly checks that what callers were told is true: what was answered
// ran once, and what was refused, or never opened, did not run. No open flow was
// broken: its caller could not know whether the request ran.
func (f *fixture) assertToldTruly(told map[uint64]standin.Outcome) {
	f.t.Helper()
	for n, outcome := range told {
		switch outcome {
		case standin.Answered:
			qt.Check(f.t, f.runs.of(n), qt.Equals, 1, qt.Commentf("request %d", n))
		case standin.Broken:
			f.t.Errorf("request %d: its flow was reset after %d runs", n, f.runs.of(n))
		default:
			qt.Check(f.t, f.runs.of(n), qt.Equals, 0, qt.Commentf("request %d, told %v", n, outcome))
		}
	}
}

// Links lose, double and reorder one datagram in twenty, on the way to targets and
// back to callers. Copies of first segments then come over other VMs, requests come
// twice and old segments behind new ones. Whatever a caller is told is true, no
// request runs twice, and no flow at a living target is ended.
func TestLostDoubledAndReorderedDatagrams(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 91, 3)
	disturbed := standin.Impairment{Loss: 0.05, Duplicate: 0.05, Reorder: 0.05}
	for n := range byte(6) {
		target, _ := f.target(n + 1)
		target.SetImpairment(disturbed, uint64(n))
	}
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	f.caller.SetImpairment(disturbed, 99)
	told := f.ask(1000, 400)
	f.assertToldTruly(told)
	answered := 0
	for _, outcome := range told {
		if outcome == standin.Answered {
			answered++
		}
	}
	qt.Assert(t, answered > 390, qt.IsTrue, qt.Commentf("%d of 400", answered))
}

// Empty targets are added while requests come that may not be repeated. VMs hear of
// them one after the other, and each of them seems idle to all. No caller is told
// of a failure, and nothing runs twice.
func TestEmptyTargetsAreAdded(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 92, 3)
	f.target(1)
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	var told map[uint64]standin.Outcome
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		told = f.ask(1000, 1600)
	}()
	for n := range byte(4) {
		f.target(n + 2)
	}
	<-asked
	f.assertToldTruly(told)
	for n, outcome := range told {
		qt.Check(t, outcome, qt.Equals, standin.Answered, qt.Commentf("request %d", n))
	}
}
