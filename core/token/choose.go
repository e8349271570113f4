package token

// nearMargin is the number of open flows by which a target of another data
// centre has to be less loaded to be chosen.
const nearMargin = 4

// choose returns the target of a new flow, or nil if there is none.
func (r *Router) choose(s *snapshot, route *rule, h flowHash) *target {
	draw := r.draw()
	p := s.pools[route.service(draw)]
	if p == nil || len(p.targets) == 0 {
		return nil
	}
	var best *target
	least := int32(0)
	start := int(r.draw() % uint64(len(p.targets)))
	for i := range p.targets {
		t := p.targets[(start+i)%len(p.targets)]
		if !t.choosable() {
			continue
		}
		score := t.load.flows.Load()
		if t.registration.DataCentre != r.o.DataCentre {
			score += nearMargin
		}
		if best == nil || score < least {
			best, least = t, score
		}
	}
	if best != nil && p.find(h, tokenFor(h, best.id)) == nil {
		return nil // another target has the same token; the caller's next try has another port
	}
	return best
}

func (r *Router) draw() uint64 {
	r.drawLock.Lock()
	defer r.drawLock.Unlock()
	return r.o.Rand.Uint64()
}
