package target

import (
	"math/bits"
	"time"

	"baobabstep"
)

// minWeight is the least share of its even part that a target in its ramp is
// given: with none, nothing would be observed and the ramp could not end.
const minWeight = 0.1

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
		r.breaks("I6", "picked a target that takes no new work")
	}
	e.flows++
	e.recount()
	e.changed()
	return e.target.ID, baobabstep.CodeOK
}

// pickFlow tries the near data centre, then all, and last the targets that
// are full by their own reports only: such a report may be wrong, and the
// target refuses if it is not.
func (p *pool) pickFlow(now time.Time, near string, d draws) *entry {
	p.opened++
	if e := p.pickBehind(now, &d); e != nil {
		return e
	}
	if set := p.near[near]; set != nil && set.mean() <= p.usable.mean()*(1+p.reg.opts.NearMargin)+0.005 {
		if e := set.pickFlow(now, &d); e != nil {
			return e
		}
	}
	if e := p.usable.pickFlow(now, &d); e != nil {
		return e
	}
	for _, e := range p.usable.entries {
		if e.flows+e.othersFlows < e.target.Connections && !e.health.holding(now) {
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
	first := s.entries[d.below(n)]
	best := first.candidate(now, d)
	if n > 1 {
		second := s.entries[d.below(n)]
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

// candidate returns e if it may be taken: a target in its ramp is passed over
// with the probability that its weight lacks.
func (e *entry) candidate(now time.Time, d *draws) *entry {
	if !e.hasRoom(now) {
		return nil
	}
	if w := e.weight(now); w < 1 && d.float() >= w {
		return nil
	}
	return e
}

func (e *entry) hasRoom(now time.Time) bool {
	return e.load < e.target.Connections && !e.health.holding(now)
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

func (e *entry) share() float64 {
	return float64(e.load) / float64(max(1, e.target.Connections))
}

// weight is the share of its even part that the target may get now: below 1
// in the ramp after it joined or returned, and for as long (up to six ramps)
// as it is seen to be slower than the rest of the pool. The ramp grows with
// time or, if it gets requests, with what it answered.
func (e *entry) weight(now time.Time) float64 {
	if e.since.IsZero() {
		return 1
	}
	ramp := e.pool.reg.opts.SlowStart
	age := now.Sub(e.since)
	if age >= 6*ramp {
		return 1
	}
	w := min(1, max(float64(age)/float64(ramp), float64(e.health.answers)/rampAnswers))
	if slow := e.health.serviceTime; slow > 1.5*e.pool.serviceTime && e.pool.serviceTime > 0 {
		w = min(w, e.pool.serviceTime/slow)
	}
	return max(minWeight, w)
}

// FlowOpened implements [baobabstep.Chooser].
func (r *Registry) FlowOpened(_ time.Time, id baobabstep.TargetID) { r.countFlow(id, 1) }

// FlowClosed implements [baobabstep.Chooser].
func (r *Registry) FlowClosed(_ time.Time, id baobabstep.TargetID) { r.countFlow(id, -1) }

func (r *Registry) countFlow(id baobabstep.TargetID, by int) {
	e := r.entryOf(id)
	if e == nil {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.flows += by
	if e.flows < 0 {
		e.flows = 0
		r.breaks("flow_count", "more flows closed than opened")
	}
	e.recount()
	e.changed()
}

// FlowRefused implements [baobabstep.Chooser].
func (r *Registry) FlowRefused(now time.Time, id baobabstep.TargetID, code baobabstep.Code) {
	r.countFlow(id, -1)
	r.Outcome(now, id, code, 0)
}

// groupTargets is the most targets that one dispatcher looks after.
const groupTargets = 64

// Groups returns the number of groups of a service with n targets: a power of
// two, so that it seldom changes.
func Groups(n int) int {
	if n <= groupTargets {
		return 1
	}
	return 1 << bits.Len(uint((n-1)/groupTargets))
}

// group returns the usable targets of a group; none when the asker acts on a
// configuration with another number of groups.
func (p *pool) group(group, groups int) []*entry {
	if groups != len(p.groups) {
		return nil
	}
	return p.groups[group]
}

// Slot names what PickSlot may choose from: the targets of one group of a
// service. Groups split large services between dispatchers.
type Slot struct {
	Service       *baobabstep.Service
	Group, Groups int
	// Exclude is a target not to choose, such as one that just refused.
	Exclude baobabstep.TargetID
}

// PickSlot takes a slot of the target with the least share of its slots in
// use. The slot is taken until SlotDone. CodeNoCapacity says
// that all slots are in use, CodeNoTarget that no target may take work.
func (r *Registry) PickSlot(now time.Time, q Slot) (baobabstep.TargetID, baobabstep.Code) {
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
		r.breaks("I6", "picked a target that takes no new work")
	}
	best.slots++
	p.slotTurn++
	best.lastSlot = p.slotTurn
	return best.target.ID, baobabstep.CodeOK
}

// pickSlot scans the group, which is small by its definition.
func (p *pool) pickSlot(now time.Time, q *Slot) *entry {
	var best *entry
	bestScore := 0.0
	for _, e := range p.group(q.Group, q.Groups) {
		if !e.hasSlot(now) {
			continue
		}
		score := e.slotScore(now, q)
		if best == nil || score < bestScore || (score == bestScore && e.lastSlot < best.lastSlot) {
			best, bestScore = e, score
		}
	}
	return best
}

func (e *entry) hasSlot(now time.Time) bool {
	return e.slots < e.slotLimit(now) && !e.health.holding(now)
}

// slotLimit is the bound of slots in use: the adaptive limit times the ramp,
// but at least one.
func (e *entry) slotLimit(now time.Time) int {
	return min(e.target.Slots, max(1, int(e.limit*e.weight(now)+0.5)))
}

// slotScore orders targets by the share of their slots in use; of equal ones
// the one that waited longest is taken. The data centre does not count: the way
// to another one takes a small part of the time that a request takes, and a
// preference would load the dispatcher's own targets twice as much as the rest.
// Excluded targets come last, since one target is better than none.
func (e *entry) slotScore(now time.Time, q *Slot) float64 {
	score := float64(e.slots) / float64(max(1, e.slotLimit(now)))
	if e.target.ID == q.Exclude {
		score += 2
	}
	return score
}

// SlotDone gives a slot back and takes the outcome as evidence.
func (r *Registry) SlotDone(now time.Time, id baobabstep.TargetID, code baobabstep.Code, serviceTime time.Duration) {
	e := r.entryOf(id)
	if e == nil {
		return
	}
	e.pool.mu.Lock()
	e.slots--
	if e.slots < 0 {
		e.slots = 0
		r.breaks("slot_count", "more slots given back than taken")
	}
	if code == baobabstep.CodeOutcomeUnknown || code == baobabstep.CodeCancelled {
		// The slot may still be in use: of targets alike this one is
		// taken last.
		e.pool.slotTurn++
		e.lastSlot = e.pool.slotTurn
	}
	e.pool.mu.Unlock()
	r.Outcome(now, id, code, serviceTime)
}

// Slots returns the slots that the usable targets of a group have in all, and
// the mean service time seen in the pool.
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

// draws turns one random number into a sequence of them.
type draws uint64

func (d *draws) next() uint64 {
	*d += 0x9e3779b97f4a7c15
	return mix(uint64(*d))
}

func (d *draws) below(n int) int { return int(d.next() % uint64(n)) }

func (d *draws) float() float64 { return float64(d.next()>>11) / (1 << 53) }

// mix is a bijection whose output bits all depend on all input bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
