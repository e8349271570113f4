package answer

import (
	"math/bits"
	"time"

	"baobabstep/core/decay"
)

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is the result of a request, as far as a VM can tell.
type Outcome uint8

// Outcomes. The line comment of each is its name in logs and metrics.
const (
	// Answered: an answer of about the typical size arrived.
	Answered Outcome = iota // answered
	// Short: the answer was much shorter than is typical for the route.
	Short // short
	// Unanswered: no answer arrived within many times the usual latency.
	Unanswered // unanswered
	// Refused: nothing arrived after the first segment of the flow.
	Refused // refused
	NumOutcomes
)

const (
	// window is the time constant with which outcomes decay. It covers some dozens of
	// answers of a target, enough to tell a failure rate of one in five from none. It is
	// short enough that successes before a failure do not hide it.
	window = 2 * time.Second
	// callerInterval is the time in which the failures of one caller at a target count
	// once. It limits the effect of a caller that sends many requests or false
	// acknowledgements.
	callerInterval = 200 * time.Millisecond
	// maxRecentFailures is the number of failures whose callers are remembered.
	maxRecentFailures = 8
)

// Sample holds the outcomes at a target, weighted by age.
type Sample struct {
	// Answers counts all outcomes, Failed those other than Answered.
	Answers, Failed float64
	// Latency is the mean latency of the requests with outcome Answered.
	Latency time.Duration
}

// Merge returns the combination of two samples.
func (s Sample) Merge(o Sample) Sample {
	succeeded, others := s.Answers-s.Failed, o.Answers-o.Failed
	sum := Sample{Answers: s.Answers + o.Answers, Failed: s.Failed + o.Failed}
	if all := succeeded + others; all > 0 {
		sum.Latency = time.Duration((float64(s.Latency)*succeeded + float64(o.Latency)*others) / all)
	}
	return sum
}

// Counter counts outcomes, whose weight decays exponentially. It is not safe for
// concurrent use. The zero value is empty.
type Counter struct {
	answers, failed float64
	// totalSeconds is the sum of the latencies of the answered requests.
	totalSeconds float64
	updatedAt    time.Time
}

// Add counts an outcome. took is the latency if the request was answered.
func (s *Counter) Add(now time.Time, outcome Outcome, took time.Duration) {
	s.decayTo(now)
	s.answers++
	if outcome == Answered {
		s.totalSeconds += took.Seconds()
	} else {
		s.failed++
	}
}

// decayTo reduces all weights to their values at the given time.
func (s *Counter) decayTo(now time.Time) {
	factor := decay.Factor(now.Sub(s.updatedAt), window)
	s.answers *= factor
	s.failed *= factor
	s.totalSeconds *= factor
	if now.After(s.updatedAt) {
		s.updatedAt = now
	}
}

// Sample returns the counts at the given time.
func (s *Counter) Sample(now time.Time) Sample {
	s.decayTo(now)
	sample := Sample{Answers: s.answers, Failed: s.failed}
	if succeeded := s.answers - s.failed; succeeded > minLatencyWeight {
		sample.Latency = time.Duration(s.totalSeconds / succeeded * float64(time.Second))
	}
	return sample
}

// TargetCounter counts the outcomes at one target and limits the effect of single callers.
// It is not safe for concurrent use. The zero value is empty.
type TargetCounter struct {
	Counter
	recentFailures [maxRecentFailures]callerFailure
	nextSlot       int
}

// callerFailure is a counted failure of a caller.
type callerFailure struct {
	caller uint64
	at     time.Time
}

// Add counts an outcome of a request of the caller with the given hash. It returns false
// without counting if a failure of the same caller was counted within callerInterval.
func (t *TargetCounter) Add(now time.Time, outcome Outcome, caller uint64, took time.Duration) bool {
	if outcome != Answered {
		if t.countedRecently(now, caller) {
			return false
		}
		t.recentFailures[t.nextSlot] = callerFailure{caller, now}
		t.nextSlot = (t.nextSlot + 1) % maxRecentFailures
	}
	t.Counter.Add(now, outcome, took)
	return true
}

// countedRecently reports whether a failure of the caller was counted within
// callerInterval.
func (t *TargetCounter) countedRecently(now time.Time, caller uint64) bool {
	for _, s := range t.recentFailures {
		if s.caller == caller && !s.at.IsZero() && now.Sub(s.at) < callerInterval {
			return true
		}
	}
	return false
}

// CallerSet is a set of callers, with one bit for each hash value modulo callerBits.
// Callers that share a bit count as one, so that Count never returns too many.
type CallerSet uint16

// callerBits is the number of bits of CallerSet.
const callerBits = 16

// Count returns the least number of different callers in the set.
func (c CallerSet) Count() int { return bits.OnesCount16(uint16(c)) }

// FailedCallers returns the callers whose requests failed within the window.
func (t *TargetCounter) FailedCallers(now time.Time) (set CallerSet) {
	for _, s := range t.recentFailures {
		if !s.at.IsZero() && now.Sub(s.at) < window {
			set |= 1 << (s.caller % callerBits)
		}
	}
	return set
}

// minLatencyWeight is the weight of answered requests, a hundredth of one, up to which no
// mean latency is given.
const minLatencyWeight = 0.01
