package entry_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/platform/standin"
)

// outcomeRecorder holds the outcomes of requests by number.
type outcomeRecorder struct {
	mu   sync.Mutex
	list map[uint64]standin.Outcome
}

// requestAll sends requests concurrently, each over its own flow, and returns their outcomes.
func (f *fixture) requestAll(first, count uint64) map[uint64]standin.Outcome {
	f.t.Helper()
	const concurrency = 16
	o := outcomeRecorder{list: make(map[uint64]standin.Outcome)}
	var senders sync.WaitGroup
	for sender := range uint64(concurrency) {
		senders.Go(func() {
			for n := first + sender; n < first+count; n += concurrency {
				outcome := f.request(n)
				o.mu.Lock()
				o.list[n] = outcome
				o.mu.Unlock()
			}
		})
	}
	senders.Wait()
	return o.list
}

// assertOutcomes checks that the outcomes reported to callers are correct: an answered request
// ran once, and one that was refused or never opened did not run. No open flow was reset, as
// its caller could not know whether the request ran.
func (f *fixture) assertOutcomes(results map[uint64]standin.Outcome) {
	f.t.Helper()
	for n, outcome := range results {
		switch outcome {
		case standin.Answered:
			qt.Check(f.t, f.runs.timesRun(n), qt.Equals, 1, qt.Commentf("request %d", n))
		case standin.Broken:
			f.t.Errorf("request %d: its flow was reset after %d runs", n, f.runs.timesRun(n))
		default:
			qt.Check(f.t, f.runs.timesRun(n), qt.Equals, 0, qt.Commentf("request %d, outcome %v", n, outcome))
		}
	}
}

// Guards against wrong outcomes, requests that run twice and reset flows at live targets when
// links lose, duplicate and reorder one datagram in twenty, to targets and to callers.
// Retransmitted first segments then arrive over other VMs, requests arrive twice and old
// segments arrive after new ones.
func TestLostDuplicatedAndReorderedDatagrams(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 91, 3)
	disturbance := standin.Impairment{Loss: 0.05, Duplicate: 0.05, Reorder: 0.05}
	for n := range byte(6) {
		target, _ := f.target(n + 1)
		target.SetImpairment(disturbance, uint64(n))
	}
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	f.caller.SetImpairment(disturbance, 99)
	results := f.requestAll(1000, 400)
	f.assertOutcomes(results)
	answered := 0
	for _, outcome := range results {
		if outcome == standin.Answered {
			answered++
		}
	}
	qt.Assert(t, answered > 390, qt.IsTrue, qt.Commentf("%d of 400", answered))
}

// Guards against failed or repeated requests when idle targets are added under load. VMs learn
// of each target at different times, and it seems idle to all of them. The requests are not
// idempotent.
func TestIdleTargetsAreAdded(t *testing.T) {
	t.Parallel()
	f := newFixture(t, 92, 3)
	f.target(1)
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	var results map[uint64]standin.Outcome
	done := make(chan struct{})
	go func() {
		defer close(done)
		results = f.requestAll(1000, 1600)
	}()
	for n := range byte(4) {
		f.target(n + 2)
	}
	<-done
	f.assertOutcomes(results)
	for n, outcome := range results {
		qt.Check(t, outcome, qt.Equals, standin.Answered, qt.Commentf("request %d", n))
	}
}
