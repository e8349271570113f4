package token

import "time"

const (
	// farMargin is what a target of another data centre has to be less busy by
	// to be chosen, as a share of its slots. Its answers take longer, its bytes
	// are paid for, and a partition takes its flows.
	farMargin = 0.3
	// coldFactor is how much slower a target takes its requests right after
	// its start.
	coldFactor = 1.6
	// assumedTime is what a request takes, in seconds, before any was seen.
	assumedTime = 0.03
)

// choose returns the target of a new flow, or nil if there is none. It takes
// avoid only where there is no other.
func (r *Router) choose(now time.Time, s *snapshot, route *rule, h flowHash, avoid *target) *target {
	p := s.pools[route.service(r.draw())]
	if p == nil || len(p.targets) == 0 {
		return nil
	}
	heard := *r.heard.Load()
	inReach := func(t *target) bool {
		dc := t.registration.DataCentre
		return dc == r.o.DataCentre || heard[dc] > 0
	}
	fit := func(t *target) bool { return !t.load.suspect(now) }
	again := func(t *target) bool { return avoid != nil && t.id == avoid.id }
	best := r.least(now, p, func(t *target) bool { return inReach(t) && fit(t) && !again(t) })
	if best == nil {
		best = r.least(now, p, func(t *target) bool { return inReach(t) && fit(t) })
	}
	if best == nil {
		best = r.least(now, p, fit)
	}
	if best == nil {
		// All look dark: then it is this VM that hears nothing.
		best = r.least(now, p, func(*target) bool { return true })
	}
	if best != nil && p.find(h, tokenFor(h, best.id)) == nil {
		return nil // another target has the same token; the caller's next try has another port
	}
	return best
}

// least returns the least loaded target that may get new flows and is wanted.
func (r *Router) least(now time.Time, p *pool, wanted func(*target) bool) *target {
	var best *target
	least := 0.0
	mean := p.serviceTime(now)
	start := int(r.draw() % uint64(len(p.targets)))
	for i := range p.targets {
		t := p.targets[(start+i)%len(p.targets)]
		if !t.choosable(now) || !wanted(t) {
			continue
		}
		if score := r.score(now, t, mean); best == nil || score < least {
			best, least = t, score
		}
	}
	return best
}

// score orders targets for new flows, the best first: by the share of their
// slots that is busy, as far as requests and their times tell.
func (r *Router) score(now time.Time, t *target, mean float64) float64 {
	if t.load.doubtful(now) {
		return 0
	}
	_, all := t.load.requests(now)
	perSlot := all / loadWindow.Seconds() / float64(t.registration.Slots)
	score := perSlot * t.load.serviceTime(now, mean)
	if now.Before(t.coldUntil) {
		score *= coldFactor
	}
	if t.registration.DataCentre != r.o.DataCentre {
		score += farMargin
	}
	return score
}

// serviceTime returns the mean time of a request over the pool, in seconds.
func (p *pool) serviceTime(now time.Time) float64 {
	sum, n := 0.0, 0
	for _, t := range p.targets {
		if took, ok := t.load.measured(now); ok {
			sum += took
			n++
		}
	}
	if n == 0 {
		return assumedTime
	}
	return sum / float64(n)
}

func (r *Router) draw() uint64 {
	r.drawLock.Lock()
	defer r.drawLock.Unlock()
	return r.o.Rand.Uint64()
}
