package token

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"baobabstep"
	"baobabstep/core/answer"
)

const (
	// settledAfter is how long nothing more of an answer may be acknowledged for
	// it to be whole. Callers acknowledge a lone last packet after 40 ms, and
	// targets repeat what was lost after 200 ms; those are rare.
	settledAfter = 150 * time.Millisecond
	// hangFactor is how many times as long as the mean of its service a request
	// may take before it counts as unanswered, and shortestHang the least such
	// time: callers repeat what was lost after 0.2 s. In a queue of eight before
	// two slots a request takes five times the mean.
	hangFactor   = 10
	shortestHang = 250 * time.Millisecond
)

// service is what this VM knows of the answers of one service over all its
// targets, for as long as the VM runs.
type service struct {
	mu  sync.Mutex
	sum answer.Sum
	// cold and warm are the answers of targets that were cold, and of the others.
	cold, warm answer.Sum
	// mean is the time of answers at the last look, calm what it is while hardly
	// any request waits, and slowdown by how much longer cold targets took.
	mean, calm time.Duration
	slowdown   float64
	// urgentAt is when a flow that is not ordinary came last.
	urgentAt time.Time
}

const (
	// calmRise is the part of the distance to the present mean by which the calm
	// time grows at each look, ten times a second: requests that take longer for
	// good are known after some minutes, an overload of 30 s raises it by a
	// quarter of what it adds.
	calmRise = 0.001
	// calmAnswers is the number of answers from which their mean may be the calm
	// time, or that of cold targets. That of fewer is off by chance.
	calmAnswers = 10
)

func (s *service) add(now time.Time, outcome answer.Outcome, took time.Duration, cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sum.Add(now, outcome, took)
	if cold {
		s.cold.Add(now, outcome, took)
	} else {
		s.warm.Add(now, outcome, took)
	}
}

// coldFactor returns by how much longer cold targets took than others, 1 before
// enough of both were seen.
func (s *service) coldFactor() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, s.slowdown)
}

// look notes the mean time of the answers that were seen lately.
func (s *service) look(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sample := s.sum.Sample(now)
	if sample.Took <= 0 {
		return
	}
	s.mean = sample.Took
	if cold, warm := s.cold.Sample(now), s.warm.Sample(now); min(cold.Answers, warm.Answers) >= calmAnswers && warm.Took > 0 {
		s.slowdown = cold.Took.Seconds() / warm.Took.Seconds()
	}
	switch {
	case sample.Answers < calmAnswers:
	case s.calm == 0 || s.mean < s.calm:
		s.calm = s.mean
	default:
		s.calm += time.Duration(calmRise * float64(s.mean-s.calm))
	}
}

// calmTime returns how long answers take while hardly any request waits, 0 before
// enough were seen.
func (s *service) calmTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calm
}

// time returns how long answers take, 0 before any was seen.
func (s *service) time() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mean
}

// services are those that ever had a target.
type services struct {
	mu   sync.Mutex
	list map[string]*service
}

func newServices() *services { return &services{list: make(map[string]*service)} }

func (s *services) get(name string) *service {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.list[name]
	if found == nil {
		found = new(service)
		s.list[name] = found
	}
	return found
}

func (s *services) all() []*service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.list))
}

// watch notes that a target has to be judged.
func (r *Router) watch(t *target) { r.watched.add(t.id) }

// settle counts the outcome of a flow's request, whose answer is acknowledged as
// far as acked.
func (r *Router) settle(now time.Time, f *flow, acked uint32) {
	if !f.asked || !after(acked, f.requestAcked) {
		return
	}
	f.asked = false
	outcome := answer.Answered
	if f.rule.sizes.Add(acked - f.requestAcked) {
		outcome = answer.Short
	}
	if outcome == answer.Answered && f.took == 0 {
		return // acknowledged with the next request, so its time is not known
	}
	r.count(now, f, outcome)
}

// lookAt settles a request whose answer is whole, and one that hangs.
func (r *Router) lookAt(now time.Time, f *flow) {
	if !f.asked || f.opening || f.closed {
		return
	}
	if after(f.acked, f.requestAcked) {
		if now.Sub(f.progressAt) >= settledAfter {
			r.settle(now, f, f.acked)
		}
		return
	}
	if now.Sub(f.sent) >= max(hangFactor*f.target.service.time(), shortestHang) {
		f.asked = false
		r.count(now, f, answer.Unanswered)
	}
}

// count takes in an outcome of a request.
func (r *Router) count(now time.Time, f *flow, outcome answer.Outcome) {
	r.counts.outcomes[outcome].Add(1)
	if f.target.load.count(now, outcome, callerHash(f.key), f.took) {
		f.target.service.add(now, outcome, f.took, now.Before(f.target.coldUntil))
	}
	if outcome != answer.Answered {
		r.watch(f.target)
	}
}

// callerHash returns the hash of a flow's caller, whatever its port.
func callerHash(key baobabstep.FlowKey) uint64 {
	caller := key
	caller.Caller = netip.AddrPortFrom(key.Caller.Addr(), 0)
	caller.Service = netip.AddrPort{}
	return uint64(hashFlow(caller))
}

// count counts an outcome at the target, and tells whether it did.
func (l *load) count(now time.Time, outcome answer.Outcome, caller uint64, took time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	return l.tally.Add(now, outcome, caller, took)
}

// judged returns what is thought of the target.
func (l *load) judged() answer.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.verdict
}

// trialGap returns the time between two flows of this VM to a target on trial, so
// that the VMs of its data centre together send one each answer.TrialGap.
func (r *Router) trialGap() time.Duration {
	return answer.TrialGap * time.Duration(r.vms())
}

// judge brings the verdicts of the watched targets up to date.
func (r *Router) judge(now time.Time, s *snapshot) {
	for _, service := range s.services.all() {
		service.look(now)
	}
	if !r.on(MechanismAnswers) {
		return
	}
	peers := make(map[string]float64)
	for _, t := range r.takeWatched(s) {
		name := t.registration.Service
		if _, known := peers[name]; !known {
			peers[name] = r.peerShare(now, s.pools[name])
		}
		changed, verdict, e := t.load.judge(now, peers[name], r.on(MechanismTrials))
		if changed {
			r.recordVerdict(now, s, t, verdict.State, e)
		}
		if verdict.State != answer.Trusted || e.Target.Failed >= leastTold {
			r.watch(t)
		}
	}
}

// takeWatched takes the watched targets that are known, in the order of their
// identifiers.
func (r *Router) takeWatched(s *snapshot) (list []*target) {
	for _, id := range r.watched.take() {
		if t := s.targets[id]; t != nil {
			list = append(list, t)
		}
	}
	return list
}

// peersLooked bounds the targets whose answers are compared with one another.
const peersLooked = 64

// peerShare returns the usual share of failures among targets of a pool, by what
// this VM saw itself: other VMs tell of those that stand out only.
func (r *Router) peerShare(now time.Time, p *pool) float64 {
	if p == nil {
		return 0
	}
	samples := make([]answer.Sample, 0, peersLooked)
	for t := range p.ring(int(r.draw()%uint64(len(p.targets))), peersLooked, nil).all() {
		samples = append(samples, t.load.ownAnswers(now))
	}
	return answer.PeerShare(samples)
}

// time returns how long answers of the target take, as far as VMs told.
func (l *load) time(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally.Sample(now).Plus(l.othersAnswers).Took
}

// ownAnswers returns what this VM saw of the target's answers.
func (l *load) ownAnswers(now time.Time) answer.Sample {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tally.Sample(now)
}

// judge brings the verdict up to date; peers is the usual share of failures.
func (l *load) judge(now time.Time, peers float64, trials bool) (changed bool, verdict answer.Verdict, e answer.Evidence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e = answer.Evidence{
		Target: l.tally.Sample(now).Plus(l.othersAnswers), Peers: peers, Callers: l.tally.Callers(now) | l.othersCallers,
	}
	changed = l.verdict.Judge(now, e)
	if !trials && l.verdict.State == answer.OnTrial {
		l.verdict.State, l.verdict.Penalty = answer.Trusted, 0
	}
	return changed, l.verdict, e
}
