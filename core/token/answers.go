package token

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"baobabstep"
	"baobabstep/core/answer"
	"baobabstep/core/room"
)

const (
	// answerSettleDelay is the time without further acknowledgements after which an answer
	// counts as complete. Callers may delay the acknowledgement of a lone last packet by
	// 40 ms, and targets retransmit after 200 ms; both cases are rare.
	answerSettleDelay = 150 * time.Millisecond
	// A request counts as unanswered after hangTimeFactor times the mean latency of its
	// service, but not before minHangTime, because callers retransmit after 0.2 s. In a
	// queue of eight before two slots a request takes five times the mean.
	hangTimeFactor = 10
	minHangTime    = 250 * time.Millisecond
)

// serviceStats holds what this VM has learned of the answers of one service, over all its
// targets, since the VM started.
type serviceStats struct {
	mu         sync.Mutex
	allAnswers answer.Counter
	// coldAnswers and warmAnswers are the answers of targets that were cold, and of the
	// others.
	coldAnswers, warmAnswers answer.Counter
	// mean is the mean latency at the last refresh, unloaded the mean latency under light
	// load, and coldSlowdown the ratio of the latency of cold targets to that of warm ones.
	mean, unloaded time.Duration
	coldSlowdown   float64
	// gate admits new ordinary flows.
	gate room.Gate
	// lastUrgentAt is when the last flow came that is not ordinary.
	lastUrgentAt time.Time

	// paths are the states of the paths to the targets in each data centre.
	pathsLock sync.Mutex
	paths     map[string]pathState
}

const (
	// unloadedRiseRate is the fraction of the distance to the present mean by which the
	// unloaded latency rises at each refresh, ten times a second. A lasting increase is
	// adopted within minutes, while an overload of 30 s raises the value by a quarter of
	// the difference.
	unloadedRiseRate = 0.001
	// minMeanAnswers is the number of answers from which the mean is used for the unloaded
	// latency and the slowdown of cold targets. The mean of fewer answers varies too much
	// by chance.
	minMeanAnswers = 10
)

func (s *serviceStats) addOutcome(now time.Time, outcome answer.Outcome, took time.Duration, cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allAnswers.Add(now, outcome, took)
	if cold {
		s.coldAnswers.Add(now, outcome, took)
	} else {
		s.warmAnswers.Add(now, outcome, took)
	}
}

// coldSlowdownFactor returns the ratio of the latency of cold targets to that of warm ones;
// 1 until enough answers of both were seen.
func (s *serviceStats) coldSlowdownFactor() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, s.coldSlowdown)
}

// refresh recomputes the mean latencies from the recent answers.
func (s *serviceStats) refresh(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.allAnswers.Sample(now)
	if sample.Latency <= 0 {
		return
	}
	s.mean = sample.Latency
	if cold, warm := s.coldAnswers.Sample(now), s.warmAnswers.Sample(now); min(cold.Answers, warm.Answers) >= minMeanAnswers && warm.Latency > 0 {
		s.coldSlowdown = cold.Latency.Seconds() / warm.Latency.Seconds()
	}
	switch {
	case sample.Answers < minMeanAnswers:
	case s.unloaded == 0 || s.mean < s.unloaded:
		s.unloaded = s.mean
	default:
		s.unloaded += time.Duration(unloadedRiseRate * float64(s.mean-s.unloaded))
	}
}

// unloadedLatency returns the mean latency under light load, 0 until enough answers were
// seen.
func (s *serviceStats) unloadedLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unloaded
}

// meanLatency returns the mean latency, 0 until an answer was seen.
func (s *serviceStats) meanLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mean
}

// serviceRegistry holds the statistics of every service that ever had a target.
type serviceRegistry struct {
	mu     sync.Mutex
	byName map[string]*serviceStats
}

func newServiceRegistry() *serviceRegistry {
	return &serviceRegistry{byName: make(map[string]*serviceStats)}
}

func (s *serviceRegistry) get(name string) *serviceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.byName[name]
	if found == nil {
		found = new(serviceStats)
		s.byName[name] = found
	}
	return found
}

func (s *serviceRegistry) all() []*serviceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.byName))
}

// scheduleReview marks a target for the next reviewAnswerHealth.
func (r *Router) scheduleReview(t *target) { r.pendingReviews.add(t.id) }

// settleRequest counts the outcome of the flow's pending request once bytes of its answer
// are acknowledged; acked is the end of the answer.
func (r *Router) settleRequest(now time.Time, f *flow, acked uint32) {
	if !f.outcomePending || !seqAfter(acked, f.requestAcked) {
		return
	}
	f.outcomePending = false
	outcome := answer.Answered
	if f.rule.answerSizes.Add(acked-f.requestAcked, f.target.service.gate.Overloaded()) {
		outcome = answer.Short
	}
	if outcome == answer.Answered && f.latency == 0 {
		// Acknowledged together with the next request, so the latency is unknown.
		if !r.congestedSince(f.requestSentAt) {
			f.target.countRoom(now, outcome, 0)
		}
		return
	}
	r.countOutcome(now, f, outcome)
}

// checkRequest settles a request whose answer is complete, and counts one that hangs as
// unanswered.
func (r *Router) checkRequest(now time.Time, f *flow) {
	if !f.outcomePending || f.opening || f.closed {
		return
	}
	if seqAfter(f.acked, f.requestAcked) {
		if now.Sub(f.lastProgressAt) >= answerSettleDelay {
			r.settleRequest(now, f, f.acked)
		}
		return
	}
	if now.Sub(f.requestSentAt) >= max(hangTimeFactor*f.target.service.meanLatency(), minHangTime) {
		f.outcomePending = false
		r.countOutcome(now, f, answer.Unanswered)
	}
}

// countOutcome records the outcome of a request.
func (r *Router) countOutcome(now time.Time, f *flow, outcome answer.Outcome) {
	r.counts.outcomes[outcome].Add(1)
	if r.congestedSince(f.requestSentAt) {
		return // the time and the completeness of the answer depend on the link
	}
	if f.target.load.addOutcome(now, outcome, callerHash(f.key), f.latency) {
		f.target.service.addOutcome(now, outcome, f.latency, now.Before(f.target.coldUntil))
	}
	f.target.countRoom(now, outcome, f.latency)
	if outcome != answer.Answered {
		r.scheduleReview(f.target)
	}
}

// callerHash returns a hash of a flow's caller that does not depend on its port.
func callerHash(key baobabstep.FlowKey) uint64 {
	caller := key
	caller.Caller = netip.AddrPortFrom(key.Caller.Addr(), 0)
	caller.Service = netip.AddrPort{}
	return uint64(hashFlow(caller))
}

// addOutcome counts an outcome at the target and reports whether it was counted.
func (l *load) addOutcome(now time.Time, outcome answer.Outcome, caller uint64, took time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	return l.outcomes.Add(now, outcome, caller, took)
}

// currentAnswerHealth returns the health of the target by its answers.
func (l *load) currentAnswerHealth() answer.Health {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answerHealth
}

// trialInterval returns the time between two flows of this VM to a target on trial, so that
// the VMs of its data centre together send one flow each answer.TrialInterval.
func (r *Router) trialInterval() time.Duration {
	return answer.TrialInterval * time.Duration(r.vmCount())
}

// reviewAnswerHealth refreshes the service statistics and updates the answer health of the
// targets marked for review.
func (r *Router) reviewAnswerHealth(now time.Time, s *snapshot) {
	for _, service := range s.services.all() {
		service.refresh(now)
	}
	if !r.enabled(MechanismAnswers) {
		return
	}
	peers := make(map[string]float64)
	for _, t := range r.takePendingReviews(s) {
		name := t.registration.Service
		if _, known := peers[name]; !known {
			peers[name] = r.peerFailureRate(now, s.pools[name])
		}
		changed, health, e := t.load.updateAnswerHealth(now, peers[name], t.service.gate.Overloaded(), r.enabled(MechanismTrials))
		if changed {
			r.recordAnswerHealth(now, s, t, health.State, e)
		}
		if health.State != answer.Trusted || e.Target.Failed >= minReportedFailures {
			r.scheduleReview(t)
		}
	}
}

// takePendingReviews returns the targets marked for review, in the order of their
// identifiers, and clears the marks. Unknown targets are skipped.
func (r *Router) takePendingReviews(s *snapshot) (list []*target) {
	for _, id := range r.pendingReviews.take() {
		if t := s.targets[id]; t != nil {
			list = append(list, t)
		}
	}
	return list
}

// maxPeerSamples bounds the number of targets whose answers are compared with one another.
const maxPeerSamples = 64

// peerFailureRate returns the usual failure rate among targets of a pool. It uses only
// answers seen by this VM, since the loads of other VMs have only targets that stand out.
func (r *Router) peerFailureRate(now time.Time, p *pool) float64 {
	if p == nil {
		return 0
	}
	samples := make([]answer.Sample, 0, maxPeerSamples)
	for t := range p.window(int(r.randomUint64()%uint64(len(p.targets))), maxPeerSamples, nil).all() {
		samples = append(samples, t.load.ownAnswers(now))
	}
	return answer.UsualFailureRate(samples)
}

// latency returns the mean latency of the target, over this VM and the loads of other VMs.
func (l *load) latency(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes.Sample(now).Merge(l.otherAnswers).Latency
}

// ownAnswers returns what this VM saw of the target's answers.
func (l *load) ownAnswers(now time.Time) answer.Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outcomes.Sample(now)
}

// updateAnswerHealth updates the health of the target by its answers; peers is the usual
// failure rate in its service, and overloaded is set while the service has too little room.
func (l *load) updateAnswerHealth(now time.Time, peers float64, overloaded, trials bool) (changed bool, health answer.Health, e answer.Observations) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e = answer.Observations{
		Target: l.outcomes.Sample(now).Merge(l.otherAnswers), PeerFailureRate: peers, FailedCallers: l.outcomes.FailedCallers(now) | l.otherCallers,
		Overloaded: overloaded,
	}
	changed = l.answerHealth.Update(now, e)
	if !trials && l.answerHealth.State == answer.OnTrial {
		l.answerHealth.State, l.answerHealth.Penalty = answer.Trusted, 0
	}
	return changed, l.answerHealth, e
}
