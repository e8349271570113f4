package target

import (
	"math/bits"
	"time"

	"baobabstep"
)

// minRampWeight is the smallest share that a target gets during its ramp:
// without any work there would be no outcomes, and the ramp could not end.
const minRampWeight = 0.1

// PickFlow implements [baobabstep.Chooser].
func (r *Registry) PickFlow(now time.Time, service *baobabstep.Service, near string, draw uint64) (baobabstep.TargetID, baobabstep.Code) {
	p := r.index.Load().pools[service.ID]
	if p == nil {
		return 0, baobabstep.CodeNoTarget
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	if len(p.usable.entries) == 0 {
		return 0, baobabstep.CodeNoTarget
	}
	e := p.pickFlow(now, near, draws(draw))
	if e == nil {
		return 0, baobabstep.CodeNoCapacity
	}
	if e.isLeaving() || e.quarantined {
		r.invariantBroken("I6", "picked a target that takes no new work")
	}
	e.flows++
	e.updateLoad()
	e.markChanged()
	return e.target.ID, baobabstep.CodeOK
}

// pickFlow tries the near data centre, then all, and last the targets that are
// full only by their own reports: a report may be wrong, and if it is right the
// target refuses.
func (p *pool) pickFlow(now time.Time, near string, d draws) *entry {
	p.openedSince++
	if e := p.pickUnderloaded(now, &d); e != nil {
		return e
	}
	if set := p.byDataCentre[near]; set != nil && set.meanUtilisation() <= p.usable.meanUtilisation()*(1+p.reg.opts.NearMargin)+0.005 {
		if e := set.pickFlow(now, &d); e != nil {
			return e
		}
	}
	if e := p.usable.pickFlow(now, &d); e != nil {
		return e
	}
	for _, e := range p.usable.entries {
		if e.flows+e.peerFlows < e.target.Connections && !e.health.paused(now) {
			return e
		}
	}
	return nil
}

// pickFlow returns the less loaded of two random targets of the set.
func (s *usableSet) pickFlow(now time.Time, d *draws) *entry {
	n := len(s.entries)
	if n == 0 {
		return nil
	}
	first := s.entries[d.intN(n)]
	best := first.candidate(now, d)
	if n > 1 {
		second := s.entries[d.intN(n)]
		best = lessLoaded(best, second.candidate(now, d))
	}
	if best != nil {
		return best
	}
	for _, e := range s.entries {
		if e.hasRoom(now) {
			best = lessLoaded(best, e)
		}
	}
	return best
}

// candidate returns e if it may be picked. A target in its ramp is skipped with
// a probability of 1 - rampWeight.
func (e *entry) candidate(now time.Time, d *draws) *entry {
	if !e.hasRoom(now) {
		return nil
	}
	if w := e.rampWeight(now); w < 1 && d.float() >= w {
		return nil
	}
	return e
}

func (e *entry) hasRoom(now time.Time) bool {
	return e.load < e.target.Connections && !e.health.paused(now)
}

func lessLoaded(a, b *entry) *entry {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case b.load*a.target.Connections < a.load*b.target.Connections:
		return b
	default:
		return a
	}
}

func (e *entry) utilisation() float64 {
	return float64(e.load) / float64(max(1, e.target.Connections))
}

// rampWeight is the fraction of its even share that the target may get now. It
// is below 1 during the ramp after the target joined or returned, and for up to
// six ramps while the target is slower than the rest of the pool. The ramp
// rises with time or, for requests, with the number of answers.
func (e *entry) rampWeight(now time.Time) float64 {
	if e.rampStart.IsZero() {
		return 1
	}
	ramp := e.pool.reg.opts.SlowStart
	age := now.Sub(e.rampStart)
	if age >= 6*ramp {
		return 1
	}
	w := min(1, max(float64(age)/float64(ramp), float64(e.health.answers)/rampAnswers))
	if slow := e.health.serviceTime; slow > 1.5*e.pool.serviceTime && e.pool.serviceTime > 0 {
		w = min(w, e.pool.serviceTime/slow)
	}
	return max(minRampWeight, w)
}

// FlowOpened implements [baobabstep.Chooser].
func (r *Registry) FlowOpened(_ time.Time, id baobabstep.TargetID) { r.addFlows(id, 1) }

// FlowClosed implements [baobabstep.Chooser].
func (r *Registry) FlowClosed(_ time.Time, id baobabstep.TargetID) { r.addFlows(id, -1) }

func (r *Registry) addFlows(id baobabstep.TargetID, delta int) {
	e := r.entryOf(id)
	if e == nil {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.flows += delta
	if e.flows < 0 {
		e.flows = 0
		r.invariantBroken("flow_count", "more flows closed than opened")
	}
	e.updateLoad()
	e.markChanged()
}

// FlowRefused implements [baobabstep.Chooser].
func (r *Registry) FlowRefused(now time.Time, id baobabstep.TargetID, code baobabstep.Code) {
	r.addFlows(id, -1)
	r.Outcome(now, id, code, 0)
}

// maxGroupTargets is the maximum number of targets per dispatcher.
const maxGroupTargets = 64

// GroupCount returns the number of groups of a service with n targets: a
// power of two, so that it rarely changes.
func GroupCount(n int) int {
	if n <= maxGroupTargets {
		return 1
	}
	return 1 << bits.Len(uint((n-1)/maxGroupTargets))
}

// group returns the usable targets of a group, or nil if groups is the number
// of another configuration.
func (p *pool) group(group, groups int) []*entry {
	if groups != len(p.groups) {
		return nil
	}
	return p.groups[group]
}

// SlotQuery is a query for PickSlot: one group of a service. Groups split
// large services between dispatchers.
type SlotQuery struct {
	Service       *baobabstep.Service
	Group, Groups int
	// Exclude is a target to avoid, such as one that just refused.
	Exclude baobabstep.TargetID
}

// PickSlot takes a slot of the target with the smallest share of its slots in
// use. The slot is in use until SlotDone. CodeNoCapacity means that all slots
// are in use, CodeNoTarget that no target may get work.
func (r *Registry) PickSlot(now time.Time, q SlotQuery) (baobabstep.TargetID, baobabstep.Code) {
	p := r.index.Load().pools[q.Service.ID]
	if p == nil {
		return 0, baobabstep.CodeNoTarget
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	best := p.pickSlot(now, &q)
	if best == nil {
		if len(p.usable.entries) == 0 {
			return 0, baobabstep.CodeNoTarget
		}
		return 0, baobabstep.CodeNoCapacity
	}
	if best.isLeaving() || best.quarantined {
		r.invariantBroken("I6", "picked a target that takes no new work")
	}
	best.slotsUsed++
	p.slotSequence++
	best.lastSlotSequence = p.slotSequence
	return best.target.ID, baobabstep.CodeOK
}

// pickSlot scans the whole group, which has at most about maxGroupTargets.
func (p *pool) pickSlot(now time.Time, q *SlotQuery) *entry {
	var best *entry
	bestScore := 0.0
	for _, e := range p.group(q.Group, q.Groups) {
		if !e.hasSlot(now) {
			continue
		}
		score := e.slotScore(now, q)
		if best == nil || score < bestScore || (score == bestScore && e.lastSlotSequence < best.lastSlotSequence) {
			best, bestScore = e, score
		}
	}
	return best
}

func (e *entry) hasSlot(now time.Time) bool {
	return e.slotsUsed < e.slotLimit(now) && !e.health.paused(now)
}

// slotLimit is the maximum of slots in use: the adaptive limit times the ramp
// weight, at least one.
func (e *entry) slotLimit(now time.Time) int {
	return min(e.target.Slots, max(1, int(e.adaptiveSlots*e.rampWeight(now)+0.5)))
}

// slotScore orders targets by the share of their slots in use; of equal ones
// the one that waited longest is picked. The data centre does not count: the
// network delay is small against a request's service time, and a preference
// would load the dispatcher's own targets twice as much as the rest. An
// excluded target is only picked if there is no other.
func (e *entry) slotScore(now time.Time, q *SlotQuery) float64 {
	score := float64(e.slotsUsed) / float64(max(1, e.slotLimit(now)))
	if e.target.ID == q.Exclude {
		score += 2
	}
	return score
}

// SlotDone frees a slot and records the outcome of its request.
func (r *Registry) SlotDone(now time.Time, id baobabstep.TargetID, code baobabstep.Code, serviceTime time.Duration) {
	e := r.entryOf(id)
	if e == nil {
		return
	}
	e.pool.mu.Lock()
	e.slotsUsed--
	if e.slotsUsed < 0 {
		e.slotsUsed = 0
		r.invariantBroken("slot_count", "more slots given back than taken")
	}
	if code == baobabstep.CodeOutcomeUnknown || code == baobabstep.CodeCancelled {
		// The slot may still be in use: of targets with equal scores this one
		// is picked last.
		e.pool.slotSequence++
		e.lastSlotSequence = e.pool.slotSequence
	}
	e.pool.mu.Unlock()
	r.Outcome(now, id, code, serviceTime)
}

// Slots returns the total slots of the usable targets of a group, and the mean
// service time of the pool.
func (r *Registry) Slots(now time.Time, service baobabstep.ServiceID, group, groups int) (slots int, serviceTime time.Duration) {
	p := r.index.Load().pools[service]
	if p == nil {
		return 0, 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	for _, e := range p.group(group, groups) {
		slots += e.slotLimit(now)
	}
	return slots, time.Duration(p.serviceTime * float64(time.Second))
}

// draws is a pseudo-random sequence seeded with one random number.
type draws uint64

func (d *draws) next() uint64 {
	*d += 0x9e3779b97f4a7c15
	return mix(uint64(*d))
}

func (d *draws) intN(n int) int { return int(d.next() % uint64(n)) }

func (d *draws) float() float64 { return float64(d.next()>>11) / (1 << 53) }

// mix is a bijective mixing function whose output bits depend on all input
// bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
