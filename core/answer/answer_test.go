package answer

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_800_000_000, 0)

func TestSizes(t *testing.T) {
	for _, test := range []struct {
		name  string
		usual []uint32 // sizes that the route answers by turns
		size  uint32
		short bool
	}{
		{"an error among answers of one size", []uint32{770}, 160, true},
		{"an error among answers of many sizes", []uint32{900, 1400, 2200, 3300, 1800}, 199, true},
		{"a short answer among those", []uint32{900, 1400, 2200, 3300, 1800}, 800, false},
		{"an answer a little shorter than usual", []uint32{470}, 300, false},
		{"an error where errors are what the route answers", []uint32{160}, 160, false},
		{"a short one where one in three is", []uint32{160, 2000, 2000}, 160, false},
		{"a long one", []uint32{770}, 100_000, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var s Sizes
			for i := range 200 {
				s.Add(test.usual[i%len(test.usual)])
			}
			qt.Assert(t, s.Add(test.size), qt.Equals, test.short)
		})
	}
	t.Run("nothing is short before enough were seen", func(t *testing.T) {
		var s Sizes
		for range enoughSizes - 2 {
			s.Add(770)
		}
		qt.Assert(t, s.Add(160), qt.IsFalse)
		s.Add(770)
		qt.Assert(t, s.Add(160), qt.IsTrue)
	})
	t.Run("a route that changes its answers is known anew", func(t *testing.T) {
		var s Sizes
		for range 2000 {
			s.Add(8000)
		}
		qt.Assert(t, s.Add(700), qt.IsTrue)
		for range 2000 {
			s.Add(700)
		}
		qt.Assert(t, s.Add(700), qt.IsFalse)
	})
	t.Run("sizes out of range have a bucket", func(t *testing.T) {
		for _, size := range []uint32{0, 1, smallestSize, 1<<32 - 1} {
			b := bucket(size)
			qt.Assert(t, b >= 0 && b < bucketCount, qt.IsTrue, qt.Commentf("%d: %d", size, b))
		}
	})
}

func TestTallyFades(t *testing.T) {
	var tally Tally
	for i := range 10 {
		tally.Add(start, Answered, uint64(i), 30*time.Millisecond)
	}
	tally.Add(start, Short, 1, 0)
	s := tally.Sample(start)
	qt.Assert(t, [2]float64{s.Answers, s.Failed}, qt.Equals, [2]float64{11, 1})
	qt.Assert(t, s.Took, qt.Equals, 30*time.Millisecond)
	later := tally.Sample(start.Add(window))
	qt.Assert(t, later.Answers > 4 && later.Answers < 4.1, qt.IsTrue, qt.Commentf("%v", later.Answers))
	qt.Assert(t, later.Took.Round(time.Microsecond), qt.Equals, 30*time.Millisecond)
	qt.Assert(t, tally.Sample(start.Add(time.Hour)).Took, qt.Equals, time.Duration(0))
}

func TestSamplesAddUp(t *testing.T) {
	sum := Sample{Answers: 10, Failed: 2, Took: 20 * time.Millisecond}.Plus(Sample{Answers: 30, Failed: 6, Took: 40 * time.Millisecond})
	qt.Assert(t, sum, qt.Equals, Sample{Answers: 40, Failed: 8, Took: 35 * time.Millisecond})
}

// fleet is the targets of a service that are judged together, each with the
// chance that a request fails and the requests it gets in a second.
type fleet struct {
	chances []float64
	rate    float64
	callers int
}

// convicted plays some seconds and returns how often each target was convicted.
func (f *fleet) convicted(seed uint64, seconds int) []int {
	const step = 100 * time.Millisecond
	draw := rand.New(rand.NewPCG(seed, 1))
	tallies := make([]Tally, len(f.chances))
	verdicts := make([]Verdict, len(f.chances))
	convicted := make([]int, len(f.chances))
	for i := range seconds * int(time.Second/step) {
		now := start.Add(time.Duration(i) * step)
		samples := make([]Sample, len(f.chances))
		for j := range tallies {
			for range int(f.rate*step.Seconds() + draw.Float64()) {
				outcome := Answered
				if draw.Float64() < f.chances[j] {
					outcome = Short
				}
				tallies[j].Add(now, outcome, uint64(draw.IntN(f.callers)), 30*time.Millisecond)
			}
			samples[j] = tallies[j].Sample(now)
		}
		peers := PeerShare(samples)
		for j := range verdicts {
			if verdicts[j].Judge(now, Evidence{Target: samples[j], Peers: peers, Callers: tallies[j].Callers(now)}) && verdicts[j].State == Failing {
				convicted[j]++
			}
		}
	}
	return convicted
}

// What must not be taken for a failing target: whatever befalls all targets alike,
// and whatever a single caller does.
func TestNobodyIsConvictedFor(t *testing.T) {
	same := func(chance float64) []float64 {
		list := make([]float64, 14)
		for i := range list {
			list[i] = chance
		}
		return list
	}
	one := append([]float64{0.9}, same(0)[1:]...)
	for _, test := range []struct {
		name  string
		fleet fleet
		most  int // convictions of any target, over 20 times 30 s
	}{
		{"lossy links: all lose three of a hundred", fleet{same(0.03), 27, 100}, 0},
		{"a full link of the VM: all lose a third", fleet{same(0.33), 27, 100}, 0},
		{"an overload: all shed half", fleet{same(0.5), 27, 100}, 0},
		{"a service that answers errors only", fleet{same(1), 27, 100}, 0},
		{"few requests, of which some fail", fleet{same(0.05), 2, 100}, 0},
		{"one caller whose requests all seem to fail", fleet{one, 27, 1}, 0},
		{"two callers", fleet{one, 27, 2}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			total := 0
			for seed := range uint64(20) {
				for _, n := range test.fleet.convicted(seed, 30) {
					total += n
				}
			}
			qt.Assert(t, total <= test.most, qt.IsTrue, qt.Commentf("%d convictions, want %d at most", total, test.most))
		})
	}
}

// A fifth of the targets fails part of its requests at once while health checks
// are good. Each of these is found, and no other.
func TestFailingTargetsAreConvicted(t *testing.T) {
	for _, test := range []struct {
		name   string
		chance float64
		rate   float64
	}{
		{"three of five requests", 0.6, 27},
		{"three of five, few requests", 0.6, 7},
		{"three of ten requests", 0.3, 27},
		{"all requests", 1, 27},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := fleet{chances: make([]float64, 14), rate: test.rate, callers: 100}
			for i := range 3 {
				f.chances[i] = test.chance
			}
			for seed := range uint64(20) {
				for i, n := range f.convicted(seed, 20) {
					qt.Assert(t, n > 0, qt.Equals, i < 3, qt.Commentf("target %d, seed %d: %d convictions", i, seed, n))
				}
			}
		})
	}
}

func TestVerdict(t *testing.T) {
	bad := Evidence{Target: Sample{Answers: 20, Failed: 12}, Callers: 0b111}
	none := Evidence{}
	convicted := func() Verdict {
		var v Verdict
		qt.Assert(t, v.Judge(start, bad), qt.IsTrue)
		return v
	}
	t.Run("failing counts as busier", func(t *testing.T) {
		v := convicted()
		qt.Assert(t, v.State, qt.Equals, Failing)
		qt.Assert(t, v.Penalty > 1 && v.Penalty <= penaltyGain, qt.IsTrue, qt.Commentf("%v", v.Penalty))
	})
	t.Run("is tried after a pause and trusted after a trial", func(t *testing.T) {
		v := convicted()
		qt.Assert(t, v.Judge(start.Add(firstPause-1), none), qt.IsFalse)
		v.Judge(start.Add(firstPause), none)
		qt.Assert(t, v.State, qt.Equals, OnTrial)
		v.Judge(start.Add(firstPause+trialTime), none)
		qt.Assert(t, v.State, qt.Equals, Trusted)
		qt.Assert(t, v.Penalty, qt.Equals, 0.0)
	})
	t.Run("old failures end no trial, two new ones do", func(t *testing.T) {
		v := convicted()
		v.Judge(start.Add(firstPause), bad)
		qt.Assert(t, v.State, qt.Equals, OnTrial)
		v.Judge(start.Add(firstPause+100*time.Millisecond), bad)
		qt.Assert(t, v.State, qt.Equals, OnTrial)
		more := bad
		more.Target.Failed += 2
		v.Judge(start.Add(firstPause+200*time.Millisecond), more)
		qt.Assert(t, v.State, qt.Equals, Failing)
	})
	t.Run("pauses grow with relapses, are bounded, and are forgiven", func(t *testing.T) {
		v, now := convicted(), start
		for _, want := range []time.Duration{2, 4, 8, 16, 16} {
			qt.Assert(t, v.Until.Sub(now), qt.Equals, want*time.Second)
			now = v.Until
			v.Judge(now, none)
			now = now.Add(trialTime)
			v.Judge(now, none)
			qt.Assert(t, v.State, qt.Equals, Trusted)
			v.Judge(now, bad)
		}
		v.Judge(v.Until, none)
		v.Judge(v.Until.Add(trialTime), none)
		now = now.Add(time.Hour)
		v.Judge(now, bad)
		qt.Assert(t, v.Until.Sub(now), qt.Equals, firstPause)
	})
	t.Run("two callers convict nobody", func(t *testing.T) {
		var v Verdict
		few := bad
		few.Callers = 0b11
		qt.Assert(t, v.Judge(start, few), qt.IsFalse)
	})
}

func BenchmarkSizes(b *testing.B) {
	var s Sizes
	for i := uint32(0); b.Loop(); i++ {
		s.Add(600 + i%2000)
	}
}

func BenchmarkTally(b *testing.B) {
	var tally Tally
	now := start
	for i := uint64(0); b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		tally.Add(now, Outcome(i%8/7), i%40, 30*time.Millisecond)
	}
}
