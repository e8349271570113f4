package answer

import (
	"math/bits"
	"time"

	"baobabstep/core/fade"
)

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is what became of a request, as far as a VM can tell.
type Outcome uint8

// Outcomes. The comment of each is its name in logs and metrics.
const (
	// Answered: an answer of about the usual size came.
	Answered Outcome = iota // answered
	// Short: the answer was much shorter than the route's usually are.
	Short // short
	// Unanswered: none came for many times the usual time.
	Unanswered // unanswered
	// Refused: nothing came after the first segment of the flow.
	Refused // refused
	NumOutcomes
)

const (
	// window is the time over which outcomes count: long enough for some dozens of
	// answers of a target, which tell one failure in five from none, and short
	// enough that what it answered before it began to fail does not hide it.
	window = 2 * time.Second
	// callerPause is the time in which a caller's failures at a target count
	// once: one heavy caller, or one that lies about what it received, is not
	// many.
	callerPause = 200 * time.Millisecond
	// callersKept is the number of callers remembered for that.
	callersKept = 8
)

// Sample is outcomes at a target, weighted by age.
type Sample struct {
	// Answers are all of them, Failed those other than Answered.
	Answers, Failed float64
	// Took is the mean time of those that are Answered.
	Took time.Duration
}

// Plus returns the outcomes of two samples together.
func (s Sample) Plus(o Sample) Sample {
	good, others := s.Answers-s.Failed, o.Answers-o.Failed
	sum := Sample{Answers: s.Answers + o.Answers, Failed: s.Failed + o.Failed}
	if all := good + others; all > 0 {
		sum.Took = time.Duration((float64(s.Took)*good + float64(o.Took)*others) / all)
	}
	return sum
}

// Sum is a sum of outcomes that fade. It is not safe for concurrent use; the zero
// value is empty.
type Sum struct {
	answers, failed float64
	// seconds is the sum of the times of requests that were answered.
	seconds float64
	at      time.Time
}

// Add counts an outcome, and the time that the request took if it was answered.
func (s *Sum) Add(now time.Time, outcome Outcome, took time.Duration) {
	s.fade(now)
	s.answers++
	if outcome == Answered {
		s.seconds += took.Seconds()
	} else {
		s.failed++
	}
}

func (s *Sum) fade(now time.Time) {
	left := fade.Left(now.Sub(s.at), window)
	s.answers *= left
	s.failed *= left
	s.seconds *= left
	if now.After(s.at) {
		s.at = now
	}
}

// Sample returns what was counted, as it weighs now.
func (s *Sum) Sample(now time.Time) Sample {
	s.fade(now)
	sample := Sample{Answers: s.answers, Failed: s.failed}
	if good := s.answers - s.failed; good > minWeight {
		sample.Took = time.Duration(s.seconds / good * float64(time.Second))
	}
	return sample
}

// Tally counts the outcomes at one target. It is not safe for concurrent use;
// the zero value is empty.
type Tally struct {
	Sum
	callers [callersKept]seen
	next    int
}

// seen is a caller whose failure was counted.
type seen struct {
	caller uint64
	at     time.Time
}

// Add counts an outcome of a request of a caller, by its hash, and tells whether
// it did: the failures of one caller count once in callerPause.
func (t *Tally) Add(now time.Time, outcome Outcome, caller uint64, took time.Duration) bool {
	if outcome != Answered {
		if t.counted(now, caller) {
			return false
		}
		t.callers[t.next] = seen{caller, now}
		t.next = (t.next + 1) % callersKept
	}
	t.Sum.Add(now, outcome, took)
	return true
}

// counted tells whether a failure of a caller was counted just now.
func (t *Tally) counted(now time.Time, caller uint64) bool {
	for _, s := range t.callers {
		if s.caller == caller && !s.at.IsZero() && now.Sub(s.at) < callerPause {
			return true
		}
	}
	return false
}

// Callers is a set of callers, each a bit by its hash: two callers may share one
// and count as one, so a set never has more callers than there are.
type Callers uint16

// callerBits is the number of bits of Callers.
const callerBits = 16

// Count returns how many different callers the set has, at least.
func (c Callers) Count() int { return bits.OnesCount16(uint16(c)) }

// Callers returns the callers whose requests failed within the window.
func (t *Tally) Callers(now time.Time) (set Callers) {
	for _, s := range t.callers {
		if !s.at.IsZero() && now.Sub(s.at) < window {
			set |= 1 << (s.caller % callerBits)
		}
	}
	return set
}

// minWeight is the weight below which a time is that of nothing any more: a
// hundredth of a request.
const minWeight = 0.01
