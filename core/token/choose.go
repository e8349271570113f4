package token

import "time"

const (
	// farMargin is what a target of another data centre has to be less loaded
	// by to be chosen, in recent requests a slot. Its answers take longer,
	// its bytes are paid for, and a partition takes its flows.
	farMargin = 16.0
	// coldFactor is how much slower a target takes its requests right after
	// its start.
	coldFactor = 1.6
)

// choose returns the target of a new flow, or nil if there is none.
func (r *Router) choose(now time.Time, s *snapshot, route *rule, h flowHash) *target {
	p := s.pools[route.service(r.draw())]
	if p == nil || len(p.targets) == 0 {
		return nil
	}
	best := r.least(now, p, func(t *target) bool { return !t.load.suspect(now) })
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
	start := int(r.draw() % uint64(len(p.targets)))
	for i := range p.targets {
		t := p.targets[(start+i)%len(p.targets)]
		if !t.choosable() || !wanted(t) {
			continue
		}
		if score := r.score(now, t); best == nil || score < least {
			best, least = t, score
		}
	}
	return best
}

// score orders targets for new flows, the least loaded first.
func (r *Router) score(now time.Time, t *target) float64 {
	_, all := t.load.requests(now)
	score := all / float64(t.registration.Slots)
	if now.Before(t.coldUntil) {
		score *= coldFactor
	}
	if t.registration.DataCentre != r.o.DataCentre {
		score += farMargin
	}
	return score
}

func (r *Router) draw() uint64 {
	r.drawLock.Lock()
	defer r.drawLock.Unlock()
	return r.o.Rand.Uint64()
}
