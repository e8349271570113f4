package answer

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_800_000_000, 0)

func TestSizeHistogram(t *testing.T) {
	for _, test := range []struct {
		name  string
		usual []uint32 // answer sizes of the route, in rotation
		size  uint32
		short bool
	}{
		{"an error among answers of one size", []uint32{770}, 160, true},
		{"an error among answers of many sizes", []uint32{900, 1400, 2200, 3300, 1800}, 199, true},
		{"a regular short answer among answers of many sizes", []uint32{900, 1400, 2200, 3300, 1800}, 800, false},
		{"an answer slightly shorter than usual", []uint32{470}, 300, false},
		{"an error on a route that answers only errors", []uint32{160}, 160, false},
		{"a short answer where one in three is short", []uint32{160, 2000, 2000}, 160, false},
		{"a long answer", []uint32{770}, 100_000, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var s SizeHistogram
			for i := range 200 {
				s.Add(test.usual[i%len(test.usual)], false)
			}
			qt.Assert(t, s.Add(test.size, false), qt.Equals, test.short)
		})
	}
	t.Run("no answer is short before minSizeSamples", func(t *testing.T) {
		var s SizeHistogram
		for range minSizeSamples - 2 {
			s.Add(770, false)
		}
		qt.Assert(t, s.Add(160, false), qt.IsFalse)
		s.Add(770, false)
		qt.Assert(t, s.Add(160, false), qt.IsTrue)
	})
	t.Run("the typical size follows a change of the answers", func(t *testing.T) {
		var s SizeHistogram
		for range 2000 {
			s.Add(8000, false)
		}
		qt.Assert(t, s.Add(700, false), qt.IsTrue)
		for range 2000 {
			s.Add(700, false)
		}
		qt.Assert(t, s.Add(700, false), qt.IsFalse)
	})
	t.Run("errors are short throughout an overload", func(t *testing.T) {
		var s SizeHistogram
		for range 150 {
			s.Add(2000, true)
		}
		for i := range 1500 {
			if i%5 < 2 {
				s.Add(2000, true)
			} else {
				qt.Assert(t, s.Add(160, true), qt.IsTrue, qt.Commentf("answer %d", i))
			}
		}
	})
	t.Run("half of the answers become short without an overload", func(t *testing.T) {
		var s SizeHistogram
		for range 5000 {
			s.Add(2000, false)
		}
		for range 2000 {
			s.Add(2000, false)
			s.Add(160, false)
		}
		qt.Assert(t, s.Add(160, false), qt.IsFalse)
	})
	t.Run("sizes out of range have a bucket", func(t *testing.T) {
		for _, size := range []uint32{0, 1, minBucketSize, 1<<32 - 1} {
			b := bucketIndex(size)
			qt.Assert(t, b >= 0 && b < bucketCount, qt.IsTrue, qt.Commentf("%d: %d", size, b))
		}
	})
}

func TestOutcomesDecay(t *testing.T) {
	var counter TargetCounter
	for i := range 10 {
		counter.Add(start, Answered, uint64(i), 30*time.Millisecond)
	}
	counter.Add(start, Short, 1, 0)
	s := counter.Sample(start)
	qt.Assert(t, [2]float64{s.Answers, s.Failed}, qt.Equals, [2]float64{11, 1})
	qt.Assert(t, s.Latency, qt.Equals, 30*time.Millisecond)
	later := counter.Sample(start.Add(window))
	qt.Assert(t, later.Answers > 4 && later.Answers < 4.1, qt.IsTrue, qt.Commentf("%v", later.Answers))
	qt.Assert(t, later.Latency.Round(time.Microsecond), qt.Equals, 30*time.Millisecond)
	qt.Assert(t, counter.Sample(start.Add(time.Hour)).Latency, qt.Equals, time.Duration(0))
}

func TestSampleMerge(t *testing.T) {
	sum := Sample{Answers: 10, Failed: 2, Latency: 20 * time.Millisecond}.Merge(Sample{Answers: 30, Failed: 6, Latency: 40 * time.Millisecond})
	qt.Assert(t, sum, qt.Equals, Sample{Answers: 40, Failed: 8, Latency: 35 * time.Millisecond})
}

// simulatedService is a service whose targets fail at random.
type simulatedService struct {
	// failureRates are the probabilities, for each target, that a request fails.
	failureRates []float64
	// requestRate is the number of requests per second to each target.
	requestRate float64
	callers     int
}

// countDetections simulates some seconds and returns how often each target was marked as
// failing.
func (f *simulatedService) countDetections(seed uint64, seconds int) []int {
	const step = 100 * time.Millisecond
	draw := rand.New(rand.NewPCG(seed, 1))
	counters := make([]TargetCounter, len(f.failureRates))
	healths := make([]Health, len(f.failureRates))
	detections := make([]int, len(f.failureRates))
	for i := range seconds * int(time.Second/step) {
		now := start.Add(time.Duration(i) * step)
		samples := make([]Sample, len(f.failureRates))
		for j := range counters {
			for range int(f.requestRate*step.Seconds() + draw.Float64()) {
				outcome := Answered
				if draw.Float64() < f.failureRates[j] {
					outcome = Short
				}
				counters[j].Add(now, outcome, uint64(draw.IntN(f.callers)), 30*time.Millisecond)
			}
			samples[j] = counters[j].Sample(now)
		}
		peers := UsualFailureRate(samples)
		for j := range healths {
			if healths[j].Update(now, Observations{Target: samples[j], PeerFailureRate: peers, FailedCallers: counters[j].FailedCallers(now)}) && healths[j].State == Failing {
				detections[j]++
			}
		}
	}
	return detections
}

// Guards against targets marked as failing for failures that affect all targets alike, or
// that a single caller causes.
func TestNoFalsePositives(t *testing.T) {
	uniform := func(rate float64) []float64 {
		list := make([]float64, 14)
		for i := range list {
			list[i] = rate
		}
		return list
	}
	oneFailing := append([]float64{0.9}, uniform(0)[1:]...)
	for _, test := range []struct {
		name    string
		service simulatedService
		most    int // detections of any target in 20 runs of 30 s
	}{
		{"packet loss: all targets fail 3 %", simulatedService{uniform(0.03), 27, 100}, 0},
		{"congested link of the VM: all targets fail a third", simulatedService{uniform(0.33), 27, 100}, 0},
		{"overload: all targets shed half", simulatedService{uniform(0.5), 27, 100}, 0},
		{"all targets answer only errors", simulatedService{uniform(1), 27, 100}, 0},
		{"few requests with some failures", simulatedService{uniform(0.05), 2, 100}, 0},
		{"failures of one caller", simulatedService{oneFailing, 27, 1}, 0},
		{"failures of two callers", simulatedService{oneFailing, 27, 2}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			total := 0
			for seed := range uint64(20) {
				for _, n := range test.service.countDetections(seed, 30) {
					total += n
				}
			}
			qt.Assert(t, total <= test.most, qt.IsTrue, qt.Commentf("got %d detections, want at most %d", total, test.most))
		})
	}
}

// Guards against undetected failing targets. Three of 14 targets, a fifth of them, fail
// part of their requests while their health checks succeed; exactly these have to be
// detected.
func TestFailingTargetsAreDetected(t *testing.T) {
	for _, test := range []struct {
		name        string
		failureRate float64
		requestRate float64
	}{
		{"three of five requests", 0.6, 27},
		{"three of five of few requests", 0.6, 7},
		{"three of ten requests", 0.3, 27},
		{"all requests", 1, 27},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := simulatedService{failureRates: make([]float64, 14), requestRate: test.requestRate, callers: 100}
			for i := range 3 {
				f.failureRates[i] = test.failureRate
			}
			for seed := range uint64(20) {
				for i, n := range f.countDetections(seed, 20) {
					qt.Assert(t, n > 0, qt.Equals, i < 3, qt.Commentf("target %d, seed %d: got %d detections", i, seed, n))
				}
			}
		})
	}
}

func TestHealthTransitions(t *testing.T) {
	bad := Observations{Target: Sample{Answers: 20, Failed: 12}, FailedCallers: 0b111}
	none := Observations{}
	newFailing := func() Health {
		var v Health
		qt.Assert(t, v.Update(start, bad), qt.IsTrue)
		return v
	}
	t.Run("failing targets have a penalty", func(t *testing.T) {
		v := newFailing()
		qt.Assert(t, v.State, qt.Equals, Failing)
		qt.Assert(t, v.Penalty > 1 && v.Penalty <= penaltyGain, qt.IsTrue, qt.Commentf("%v", v.Penalty))
	})
	t.Run("a trial follows the pause, and Trusted follows the trial", func(t *testing.T) {
		v := newFailing()
		qt.Assert(t, v.Update(start.Add(minPause-1), none), qt.IsFalse)
		v.Update(start.Add(minPause), none)
		qt.Assert(t, v.State, qt.Equals, OnTrial)
		v.Update(start.Add(minPause+trialDuration), none)
		qt.Assert(t, v.State, qt.Equals, Trusted)
		qt.Assert(t, v.Penalty, qt.Equals, 0.0)
	})
	t.Run("two new failures end a trial, older ones do not", func(t *testing.T) {
		v := newFailing()
		v.Update(start.Add(minPause), bad)
		qt.Assert(t, v.State, qt.Equals, OnTrial)
		v.Update(start.Add(minPause+100*time.Millisecond), bad)
		qt.Assert(t, v.State, qt.Equals, OnTrial)
		more := bad
		more.Target.Failed += 2
		v.Update(start.Add(minPause+200*time.Millisecond), more)
		qt.Assert(t, v.State, qt.Equals, Failing)
	})
	t.Run("pauses double with relapses up to a limit, and reset later", func(t *testing.T) {
		v, now := newFailing(), start
		for _, want := range []time.Duration{2, 4, 8, 16, 16} {
			qt.Assert(t, v.Deadline.Sub(now), qt.Equals, want*time.Second)
			now = v.Deadline
			v.Update(now, none)
			now = now.Add(trialDuration)
			v.Update(now, none)
			qt.Assert(t, v.State, qt.Equals, Trusted)
			v.Update(now, bad)
		}
		v.Update(v.Deadline, none)
		v.Update(v.Deadline.Add(trialDuration), none)
		now = now.Add(time.Hour)
		v.Update(now, bad)
		qt.Assert(t, v.Deadline.Sub(now), qt.Equals, minPause)
	})
	t.Run("failures of two callers are not enough", func(t *testing.T) {
		var v Health
		few := bad
		few.FailedCallers = 0b11
		qt.Assert(t, v.Update(start, few), qt.IsFalse)
	})
}

func BenchmarkSizeHistogram(b *testing.B) {
	var s SizeHistogram
	for i := uint32(0); b.Loop(); i++ {
		s.Add(600+i%2000, false)
	}
}

func BenchmarkTargetCounter(b *testing.B) {
	var counter TargetCounter
	now := start
	for i := uint64(0); b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		counter.Add(now, Outcome(i%8/7), i%40, 30*time.Millisecond)
	}
}

// Guards against full targets that are marked as failing. In an overload the slowest targets
// reject most of their requests, and each mark sends their load to the others.
func TestFullTargetsAreNotFailing(t *testing.T) {
	for _, test := range []struct {
		name       string
		overloaded bool
		failed     float64
		want       State
	}{
		{"half rejected in an overload", true, 20, Trusted},
		{"half failed otherwise", false, 20, Failing},
		{"all failed in an overload", true, 40, Failing},
	} {
		t.Run(test.name, func(t *testing.T) {
			var h Health
			h.Update(start, Observations{Target: Sample{Answers: 40, Failed: test.failed}, PeerFailureRate: 0.05, FailedCallers: 0xff, Overloaded: test.overloaded})
			qt.Assert(t, h.State, qt.Equals, test.want)
		})
	}
}

// Guards against a target that fails every flow of its trial and passes it, because an
// overload lasts and the few flows of a trial say little by themselves.
func TestFailedTrialInAnOverload(t *testing.T) {
	h := Health{State: OnTrial, Deadline: start.Add(trialDuration), trialStart: start}
	h.Update(start.Add(time.Second), Observations{Target: Sample{Answers: 4, Failed: 4}, PeerFailureRate: 0.4, Overloaded: true})
	qt.Assert(t, h.State, qt.Equals, Failing)
}

// Guards against a target on trial that is put out again because it is full.
func TestTrialInAnOverload(t *testing.T) {
	for _, overloaded := range []bool{false, true} {
		h := Health{State: OnTrial, Deadline: start.Add(trialDuration), trialStart: start}
		h.Update(start.Add(time.Second), Observations{Target: Sample{Answers: 10, Failed: 3}, PeerFailureRate: 0.05, Overloaded: overloaded})
		qt.Check(t, h.State, qt.Equals, map[bool]State{false: Failing, true: OnTrial}[overloaded])
	}
}
