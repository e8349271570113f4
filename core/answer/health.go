package answer

import (
	"math"
	"slices"
	"time"

	"baobabstep/core/decay"
)

const (
	// confidenceZ is the number of standard errors below the observed failure rate at
	// which the lower bound of the true rate is taken. At 2, random variation alone marked
	// 12 targets as failing in 140 minutes, in a service of 14 targets that all failed a
	// third of their requests; at 3, none.
	confidenceZ = 3.0
	// A target is failing if its failure rate exceeds that of its peers times
	// peerRateFactor plus peerRateMargin. In an overload, full targets shed more requests
	// than the median. If they were marked as failing, all VMs would avoid them at once
	// and overload the others in turn.
	peerRateFactor = 1.5
	peerRateMargin = 0.05
	// overloadedPeerRate is the least failure rate that is assumed of the peers in an
	// overload. The slowest targets reject several times as many requests as the others.
	overloadedPeerRate = 0.4
	// minFailedCallers is the number of different callers whose requests must have failed.
	minFailedCallers = 3
	// penaltyGain is the penalty, in slots, of a target that fails all its requests. A
	// busy slot with a queue of four requests counts as 3 slots of work. Where all other
	// targets are that full, a target that fails half of its requests is no worse than
	// they are.
	penaltyGain = 6.0
	// minPause is how long a target that was marked as failing waits for its trial. It
	// doubles with each relapse up to maxPause. A trial costs callers a few failures, of
	// about 50 ms each.
	minPause = 2 * time.Second
	maxPause = 16 * time.Second
	// trialDuration is how long a trial lasts. The VMs of a data centre together send the
	// target one flow per TrialInterval: 10 flows, of which a target that fails four of
	// ten requests fails at least two with a probability of 95 %.
	trialDuration = 2 * time.Second
	// TrialInterval is the time between two flows to a target on trial.
	TrialInterval = 200 * time.Millisecond
	// trialFailureLimit is the weight of failures that ends a trial early. Two failures
	// reach it, even if the first one has decayed during the trial.
	trialFailureLimit = 1.5
	// In an overload, a trial ends early at a weight of failures of
	// overloadedTrialFailures, three that have decayed a little, which are
	// overloadedTrialRate of its answers.
	overloadedTrialFailures = 2.2
	overloadedTrialRate     = 0.8
	// relapsePeriod is the time after a recovery within which another failure counts as a
	// relapse.
	relapsePeriod = 30 * time.Second
)

// State is the health state of a target.
type State uint8

//go:generate stringer -type=State -linecomment -output=state_string.go

// States. The line comment of each is its name in logs and metrics.
const (
	// Trusted: the target is not known to fail.
	Trusted State = iota // trusted
	// Failing: the target has a penalty until its pause ends.
	Failing // failing
	// OnTrial: the target gets a few flows that show whether it still fails.
	OnTrial // on_trial
)

// Health is the health of one target. It covers all incarnations of the target under its
// identifier. The zero value is that of a target that has never failed.
type Health struct {
	State State
	// Penalty, in slots, is added to the work of the target when targets are compared for
	// load balancing.
	Penalty float64
	// Deadline is when the current pause or trial ends.
	Deadline time.Time
	// pause is the length of the current or the latest pause.
	pause time.Duration
	// trialStart is when the trial began, and failedAtTrialStart and answersAtTrialStart
	// the weights of the failures and of all answers at that time.
	trialStart                              time.Time
	failedAtTrialStart, answersAtTrialStart float64
	// recoveredAt is when the target became Trusted again.
	recoveredAt time.Time
}

// Observations is the input of [Health.Update].
type Observations struct {
	// Target holds the outcomes at the target, as seen by all VMs.
	Target Sample
	// PeerFailureRate is the usual failure rate of the targets of the service; see
	// [UsualFailureRate].
	PeerFailureRate float64
	// FailedCallers are the callers whose requests failed at the target.
	FailedCallers CallerSet
	// Overloaded is set while the targets of the service reject requests for lack of room.
	// A full target is not a failing one: only targets that fail nearly all requests are.
	Overloaded bool
}

// Update updates the state and the penalty. It reports whether the state changed.
func (h *Health) Update(now time.Time, e Observations) (changed bool) {
	before := h.State
	switch h.State {
	case Trusted:
		if excess := e.excessFailureRate(); excess > 0 && e.FailedCallers.Count() >= minFailedCallers {
			h.markFailing(now, excess)
		}
	case Failing:
		if excess := e.excessFailureRate(); excess > 0 {
			h.Penalty = max(h.Penalty, penaltyGain*excess)
		}
		if !now.Before(h.Deadline) {
			h.State, h.Deadline = OnTrial, now.Add(trialDuration)
			h.trialStart, h.failedAtTrialStart, h.answersAtTrialStart = now, e.Target.Failed, e.Target.Answers
		}
	case OnTrial:
		switch {
		case h.failsTrial(now, &e):
			h.markFailing(now, e.excessFailureRate())
		case !now.Before(h.Deadline):
			h.State, h.Penalty, h.recoveredAt = Trusted, 0, now
		}
	}
	return h.State != before
}

// failsTrial reports whether a target on trial still fails. A full target rejects a part of
// its requests; in an overload only one that fails nearly all of them is failing.
func (h *Health) failsTrial(now time.Time, e *Observations) bool {
	factor := decay.Factor(now.Sub(h.trialStart), window)
	failed := e.Target.Failed - h.failedAtTrialStart*factor
	answers := e.Target.Answers - h.answersAtTrialStart*factor
	if !e.Overloaded || e.excessFailureRate() > 0 {
		return failed >= trialFailureLimit
	}
	return failed >= overloadedTrialFailures && failed >= overloadedTrialRate*answers
}

// markFailing marks the target as failing and starts a pause. After a relapse, the pause
// is twice as long as the previous one.
func (h *Health) markFailing(now time.Time, excess float64) {
	if h.State == Trusted && now.Sub(h.recoveredAt) >= relapsePeriod {
		h.pause = 0
	}
	h.pause = min(max(2*h.pause, minPause), maxPause)
	h.State, h.Deadline = Failing, now.Add(h.pause)
	h.Penalty = max(h.Penalty, penaltyGain*excess)
}

// excessFailureRate returns the part of the target's failure rate that neither its peers
// nor random variation explain. It is 0 or negative for a healthy target.
func (o *Observations) excessFailureRate() float64 {
	peers := o.PeerFailureRate
	if o.Overloaded {
		peers = max(peers, overloadedPeerRate)
	}
	return failureRateLowerBound(o.Target) - peerRateFactor*peers - peerRateMargin
}

const (
	// minMedianAnswers is the number of answers a target must have to count for the
	// median.
	minMedianAnswers = 2
	// pooledRateFactor times the failure rate over all targets is the least usual failure
	// rate. If each target fails few requests, most samples contain no failure and their
	// median is 0.
	pooledRateFactor = 0.5
)

// UsualFailureRate returns the usual failure rate of the targets of a service. It is their
// median, so that failing targets do not change it as long as they are a minority.
func UsualFailureRate(targets []Sample) float64 {
	var all Sample
	shares := make([]float64, 0, len(targets))
	for _, t := range targets {
		all = all.Merge(t)
		if t.Answers >= minMedianAnswers {
			shares = append(shares, t.Failed/t.Answers)
		}
	}
	if all.Answers == 0 {
		return 0
	}
	median := 0.0
	if len(shares) > 0 {
		slices.Sort(shares)
		median = shares[len(shares)/2]
	}
	return max(median, pooledRateFactor*all.Failed/all.Answers)
}

// failureRateLowerBound returns the lower end of the Wilson score interval of the failure
// rate, which also holds for small samples.
func failureRateLowerBound(s Sample) float64 {
	n := s.Answers
	if n <= 0 {
		return 0
	}
	p, z := min(1, s.Failed/n), confidenceZ
	center := p + z*z/(2*n)
	half := z * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	return max(0, (center-half)/(1+z*z/n))
}
