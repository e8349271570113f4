package token

import (
	"iter"
	"time"
)

const (
	// farMargin is what a target of another data centre has to be less busy by
	// to be chosen, as a share of its slots. Its answers take longer, its bytes
	// are paid for, and a partition takes its flows.
	farMargin = 0.3
	// scanMost bounds the targets that are looked at for one new flow where few
	// of them are near and fit: on a small VM thousands would take longer than the
	// flow's way to its target (BenchmarkChoose).
	scanMost = 256
	// enoughNear is the number of targets of the own data centre, fit for a new
	// flow, of which the least loaded is chosen. Of all of them it would always
	// be the one that seems idle, such as a new one, for every VM at once until they
	// hear of one another; it then refuses most of what it gets. Of a few that are
	// drawn it gets no more than its slots and its queue take.
	enoughNear = 8
	// assumedTime is what a request takes, in seconds, before any was seen.
	assumedTime = 0.03
)

// choose returns the target of a new flow. It is nil if there is none, and not
// admitted if the flow should be refused although there is one. It takes avoid
// only where there is no other.
func (r *Router) choose(now time.Time, s *snapshot, route *rule, h flowHash, avoid *target) (t *target, admitted bool) {
	p := s.pools[route.service(r.draw())]
	if p == nil || len(p.targets) == 0 {
		return nil, false
	}
	var limit *coldLimit
	if r.on(MechanismColdLimits) {
		limit = s.coldLimits[p.targets[0].registration.Service]
	}
	start := int(r.draw() % uint64(len(p.targets)))
	best, took := r.best(now, route, p.ring(start, scanMost, limit), avoid)
	if best == nil && len(p.targets) > scanMost {
		best, took = r.best(now, route, p.ring(start, len(p.targets), limit), avoid)
	}
	if best == nil || p.find(h, tokenFor(h, best.id)) == nil {
		return nil, false // another target has the same token; the caller's next try has another port
	}
	return best, !r.on(MechanismAdmission) || route.admits(took, best.service.calmTime(), r.draw())
}

// ring is a part of a pool: count targets from start on, past the end from the
// first one on. limit is what the service's cold targets bear, nil for any number.
type ring struct {
	targets      []*target
	start, count int
	limit        *coldLimit
}

// ring returns at most the given number of targets. Identifiers are random, so
// neighbours have nothing in common.
func (p *pool) ring(start, most int, limit *coldLimit) ring {
	return ring{targets: p.targets, start: start, count: min(most, len(p.targets)), limit: limit}
}

func (g ring) all() iter.Seq[*target] {
	return func(yield func(*target) bool) {
		for i := range g.count {
			if !yield(g.targets[(g.start+i)%len(g.targets)]) {
				return
			}
		}
	}
}

// candidate is a target that may get new flows, and what is known of it now.
type candidate struct {
	target  *target
	assess  assessment
	inReach bool
	again   bool
}

// best returns the target of a ring that a new flow should go to: one that is
// not suspect, in reach and not avoided if there is one, and with fewer of these
// wishes if not. took is how long its answers take.
func (r *Router) best(now time.Time, route *rule, g ring, avoid *target) (best *target, took time.Duration) {
	var space [scanMost]candidate
	list := r.candidates(now, g, avoid, space[:0])
	if g.limit != nil && len(list) > 0 {
		list[0].target.service.noteFlow(now, route)
		if r.leavesLast(now, route, list) {
			return nil, 0
		}
	}
	c := r.comparison(route, list)
	for w := wishAll; w <= wishNone; w++ {
		if at := r.least(now, c, list, w); at >= 0 {
			return list[at].target, time.Duration(list[at].assess.serviceTime(c.mean) * float64(time.Second))
		}
	}
	return nil, 0
}

// comparison is what the candidates for one flow are compared by.
type comparison struct {
	route *rule
	// mean is the mean time of a request, in seconds.
	mean float64
	// coldFactor is by how much longer a cold target takes.
	coldFactor float64
	// trust is how much this VM goes by its own requests, from 0 to 1, and vms
	// the number of VMs of its data centre.
	trust, vms float64
}

// sureOwn is the number of recent requests for each candidate at which a VM goes
// half by its own, half by the word of all.
//
// What other VMs sent is known late: all of them go for the target that was idle,
// until they hear of it from one another. A VM that sends several requests to each
// target itself does better by taking the others for VMs like itself. In a large
// fleet a VM sends a target less than one, and is lost without the others: one
// request more or less, times the VMs, would outweigh farMargin, and flows would go
// to other data centres for no reason, where a partition takes them.
const sureOwn = 4.0

func (r *Router) comparison(route *rule, list []candidate) comparison {
	c := comparison{route: route, mean: meanTime(list), coldFactor: 1, vms: float64(r.vms())}
	if len(list) > 0 {
		c.coldFactor = list[0].target.service.coldFactor()
	}
	own := 0.0
	for i := range list {
		own += list[i].assess.own / float64(len(list))
	}
	if r.on(MechanismOwnLoads) {
		c.trust = own * own / (own*own + sureOwn*sureOwn)
	}
	return c
}

// requests returns the recent requests at a candidate, of all VMs.
func (c *comparison) requests(a *assessment) float64 {
	return c.trust*a.own*c.vms + (1-c.trust)*(a.own+a.others)
}

// wishes are what a new flow's target should be, each with fewer than the one
// before.
type wishes uint8

const (
	wishAll     wishes = iota // in reach, not avoided, not suspect
	wishInReach               // in reach, not suspect
	wishFit                   // not suspect
	// wishNone: all look dark, then it is this VM that hears nothing.
	wishNone
)

func (c *candidate) fulfils(w wishes) bool {
	switch w {
	case wishAll:
		return c.inReach && !c.again && !c.assess.suspect
	case wishInReach:
		return c.inReach && !c.assess.suspect
	case wishFit:
		return !c.assess.suspect
	default:
		return true
	}
}

// candidates appends the targets of a ring that may get new flows to list, until
// it has enoughNear.
func (r *Router) candidates(now time.Time, g ring, avoid *target, list []candidate) []candidate {
	heard := *r.heard.Load()
	near := 0
	for t := range g.all() {
		if !t.choosable(now) || g.limit != nil && !r.takesCold(now, t, g.limit) {
			continue
		}
		dc := t.registration.DataCentre
		assess := t.load.assess(now)
		assess.suspect = assess.suspect && r.on(MechanismSilence)
		list = append(list, candidate{
			target: t, assess: assess,
			inReach: dc == r.o.DataCentre || heard[dc] > 0,
			again:   avoid != nil && t.id == avoid.id,
		})
		if dc == r.o.DataCentre && list[len(list)-1].fulfils(wishAll) {
			near++
		}
		if near == enoughNear && r.on(MechanismFew) {
			break
		}
	}
	return list
}

// least returns the place of the least loaded candidate that fulfils the wishes,
// or -1.
func (r *Router) least(now time.Time, by comparison, list []candidate, w wishes) int {
	best := -1
	least := 0.0
	for i := range list {
		c := &list[i]
		if !c.fulfils(w) {
			continue
		}
		if score := r.score(now, &by, c); best < 0 || score < least {
			best, least = i, score
		}
	}
	return best
}

// score orders candidates for new flows, the best first: by the share of their
// slots that is busy, as far as requests and their times tell.
func (r *Router) score(now time.Time, by *comparison, c *candidate) float64 {
	switch {
	case c.assess.doubtful && r.on(MechanismSilence):
		return 0
	case c.assess.trialDue && by.route.repeatable:
		return 0
	}
	took := by.mean
	if r.on(MechanismTimes) {
		took = c.assess.serviceTime(by.mean)
	}
	if now.Before(c.target.coldUntil) && r.on(MechanismCold) {
		took *= by.coldFactor
	}
	score := by.requests(&c.assess) / loadWindow.Seconds() / float64(c.target.registration.Slots) * took
	if c.target.registration.DataCentre != r.o.DataCentre && r.on(MechanismNear) {
		score += farMargin
	}
	return score + c.assess.penalty
}

// meanTime returns the mean time of a request over candidates, in seconds.
func meanTime(list []candidate) float64 {
	sum, n := 0.0, 0
	for i := range list {
		if list[i].assess.answers >= 1 {
			sum += list[i].assess.took
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
