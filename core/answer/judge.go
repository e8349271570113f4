package answer

import (
	"math"
	"slices"
	"time"

	"baobabstep/core/fade"
)

const (
	// certainty is the number of standard errors by which a share of failures
	// is taken for less than it seems. At 2 chance alone convicted 12 targets
	// in 140 minutes of a fleet of 14 that all failed a third of their
	// requests, at 3 none; a fifth of the targets failing costs 0.001 more.
	certainty = 3.0
	// peerRatio and peerMargin are what a target's share of failures has to
	// pass: that of its peers times the one and more by the other. In an
	// overload full targets shed more than the median does; taken for failing
	// they would be left by all at once, and the others be overrun in turn.
	// Ratios of 1.5 to 3 and margins of 0.05 and 0.1 differ by under 0.002 of
	// worth, in an overload and with a fifth of the targets failing.
	peerRatio  = 1.5
	peerMargin = 0.05
	// callersNeeded is the number of different callers that must have failed.
	callersNeeded = 3
	// penaltyGain is the work, in slots, that a target counts as busier by if
	// all its requests fail. A slot that is busy all the time, with a queue of
	// four behind it, counts 3: where all others are that full, a target that
	// fails half of its requests is no worse than they are.
	penaltyGain = 6.0
	// firstPause is how long a target that was found failing is left alone, and
	// lastPause the most that doubles to with each relapse. A trial costs
	// callers a few failures, each of some 50 ms.
	firstPause = 2 * time.Second
	lastPause  = 16 * time.Second
	// trialTime is how long a trial lasts, in which the VMs of a data centre
	// together place a flow each TrialGap: 10 flows, of which a target that
	// fails four of ten requests fails two or more with a chance of 95 %.
	trialTime = 2 * time.Second
	// TrialGap is the time between two flows to a target on trial.
	TrialGap = 200 * time.Millisecond
	// trialFailures is the weight of failures that end a trial at once: of two,
	// of which the first has faded by a part of the trial.
	trialFailures = 1.5
	// forgivenAfter is the time after a release after which a target counts as
	// one that never failed.
	forgivenAfter = 30 * time.Second
)

// State is what is thought of a target.
type State uint8

//go:generate stringer -type=State -linecomment -output=state_string.go

// States. The comment of each is its name in logs and metrics.
const (
	// Trusted: nothing is known against the target.
	Trusted State = iota // trusted
	// Failing: it counts as busier, until its pause is over.
	Failing // failing
	// OnTrial: it gets a few flows, to see whether it still fails.
	OnTrial // on_trial
)

// Verdict is what is thought of one target, over all its runs. The zero value is
// that of a target that never failed.
type Verdict struct {
	State State
	// Penalty is the work, in slots, by which the target counts as busier.
	Penalty float64
	// Until is when a pause or a trial ends.
	Until time.Time
	pause time.Duration
	// trialAt is when the trial began, failedBefore the weight of the failures
	// that were known then.
	trialAt      time.Time
	failedBefore float64
	// releasedAt is when the target was trusted again.
	releasedAt time.Time
}

// Evidence is what is known of a target and of the others of its service.
type Evidence struct {
	// Target is what all VMs saw of the target.
	Target Sample
	// Peers is the usual share of failures at the targets of its service; see
	// [PeerShare].
	Peers float64
	// Callers are those whose requests failed at the target.
	Callers Callers
}

// Judge brings a verdict up to date, and tells whether its state changed.
func (v *Verdict) Judge(now time.Time, e Evidence) (changed bool) {
	before := v.State
	switch v.State {
	case Trusted:
		if excess := e.excess(); excess > 0 && e.Callers.Count() >= callersNeeded {
			v.convict(now, excess)
		}
	case Failing:
		if excess := e.excess(); excess > 0 {
			v.Penalty = max(v.Penalty, penaltyGain*excess)
		}
		if !now.Before(v.Until) {
			v.State, v.Until = OnTrial, now.Add(trialTime)
			v.trialAt, v.failedBefore = now, e.Target.Failed
		}
	case OnTrial:
		old := v.failedBefore * fade.Left(now.Sub(v.trialAt), window)
		switch {
		case e.Target.Failed-old >= trialFailures:
			v.convict(now, e.excess())
		case !now.Before(v.Until):
			v.State, v.Penalty, v.releasedAt = Trusted, 0, now
		}
	}
	return v.State != before
}

// convict puts a target out for a pause, twice as long as the last one if it
// was released only lately.
func (v *Verdict) convict(now time.Time, excess float64) {
	if v.State == Trusted && now.Sub(v.releasedAt) >= forgivenAfter {
		v.pause = 0
	}
	v.pause = min(max(2*v.pause, firstPause), lastPause)
	v.State, v.Until = Failing, now.Add(v.pause)
	v.Penalty = max(v.Penalty, penaltyGain*excess)
}

// excess returns by how much more of its requests a target fails than the others
// of its service, beyond what chance explains; 0 or less if it does not.
func (e *Evidence) excess() float64 {
	return lowShare(e.Target) - peerRatio*e.Peers - peerMargin
}

const (
	// enoughAnswers is the number of answers from which a target's share of
	// failures is one of those that the median is taken of.
	enoughAnswers = 2
	// pooledPart is the part of the share of all failures among all answers
	// that the usual share is at least. Where each target fails few requests,
	// most samples have no failure and their median is none.
	pooledPart = 0.5
)

// PeerShare returns the usual share of failures among targets of a service: the
// median, which targets that fail do not move as long as they are fewer than half.
func PeerShare(targets []Sample) float64 {
	var all Sample
	shares := make([]float64, 0, len(targets))
	for _, t := range targets {
		all = all.Plus(t)
		if t.Answers >= enoughAnswers {
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
	return max(median, pooledPart*all.Failed/all.Answers)
}

// lowShare returns the least share of failures that a sample allows: the lower
// end of Wilson's interval, which is right for samples of a few.
func lowShare(s Sample) float64 {
	n := s.Answers
	if n <= 0 {
		return 0
	}
	p, z := min(1, s.Failed/n), certainty
	center := p + z*z/(2*n)
	half := z * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	return max(0, (center-half)/(1+z*z/n))
}
