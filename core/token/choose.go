package token

import (
	"iter"
	"time"
)

const (
	// remotePenalty is added to the score of a target in another data centre, as a share of
	// its slots. Its answers take longer, traffic between data centres costs money, and a
	// partition breaks its flows.
	remotePenalty = 0.3
	// maxScannedTargets bounds the targets examined for one new flow where few of them are
	// local and suitable. On a small VM, examining thousands takes longer than the flow's
	// way to its target (BenchmarkChoose).
	maxScannedTargets = 256
	// enoughLocalCandidates is the number of suitable local targets among which the least
	// loaded is chosen. Choosing among all targets would send the new flows of every VM to
	// the one that seems idle, such as a new target, until the VMs learn of each other's
	// flows; that target would refuse most of them. With a few randomly drawn candidates a
	// target gets no more than its slots and its queue take.
	enoughLocalCandidates = 8
	// defaultServiceTime is the assumed service time in seconds until one was measured.
	defaultServiceTime = 0.03
)

// chooseTarget returns the target of a new flow, nil if there is none. admitted is false if
// the flow has to be refused, even if there is a target. previous is the target of the
// caller's previous try; it is chosen only if there is no other. retransmitted is set if the
// caller may have opened the flow already; it is then not refused because targets are full.
//
// busy is the estimated share of the target's slots that is busy.
func (r *Router) chooseTarget(now time.Time, s *snapshot, route *rule, h flowHash, previous *target, retransmitted bool) (t *target, busy float64, admitted bool) {
	p := s.pools[route.pickService(r.randomUint64())]
	if p == nil || len(p.targets) == 0 {
		return nil, 0, false
	}
	var limit *coldLimit
	if r.enabled(MechanismColdLimits) {
		limit = s.coldLimits[p.targets[0].registration.Service]
	}
	start := int(r.randomUint64() % uint64(len(p.targets)))
	window := p.window(start, maxScannedTargets, limit)
	window.anyLocal = s.evacuated[r.options.DataCentre]
	window.snapshot = s
	window.fullAllowed = retransmitted
	best, busy, latency := r.bestCandidate(now, route, window, previous)
	if best == nil && len(p.targets) > maxScannedTargets {
		window.count = len(p.targets)
		best, busy, latency = r.bestCandidate(now, route, window, previous)
	}
	if best == nil || p.find(h, tokenFor(h, best.id)) == nil {
		return nil, 0, false // two targets have the same token; the caller's next try uses another port
	}
	return best, busy, !r.enabled(MechanismAdmission) || route.admits(latency, best.service.unloadedLatency(), r.randomUint64())
}

// poolWindow is a part of a pool: count targets from index start, wrapping around at the
// end. limit is the service's limit on cold targets, nil for none.
type poolWindow struct {
	targets      []*target
	start, count int
	limit        *coldLimit
	// anyLocal is set if targets of all data centres count as local, because the local ones
	// are evacuated. Otherwise all VMs of the data centre would choose among all targets.
	anyLocal bool
	// snapshot is the one of the pool, nil if limit is.
	snapshot *snapshot
	// fullAllowed is set if the flow goes to a full target rather than to none.
	fullAllowed bool
}

// window returns a window of at most the given number of targets. Identifiers are random,
// so adjacent targets are unrelated.
func (p *pool) window(start, maxCount int, limit *coldLimit) poolWindow {
	return poolWindow{targets: p.targets, start: start, count: min(maxCount, len(p.targets)), limit: limit}
}

func (w poolWindow) all() iter.Seq[*target] {
	return func(yield func(*target) bool) {
		for i := range w.count {
			if !yield(w.targets[(w.start+i)%len(w.targets)]) {
				return
			}
		}
	}
}

// candidate is a target that may get new flows, and its present state.
type candidate struct {
	target      *target
	assessment  assessment
	reachable   bool
	previousTry bool
}

// bestCandidate returns the target of a window that a new flow should go to: one that is
// not suspect, in a reachable data centre and not the previous try; if there is none, it
// drops these criteria one by one. busy is the estimated share of the target's slots that is
// busy, latency the estimated latency at the target.
func (r *Router) bestCandidate(now time.Time, route *rule, window poolWindow, previous *target) (best *target, busy float64, latency time.Duration) {
	var space [maxScannedTargets]candidate
	list := r.collectCandidates(now, window, previous, space[:0])
	if window.limit != nil && len(list) > 0 {
		list[0].target.service.noteUrgentFlow(now, route)
		if r.yieldsToUrgent(now, window, route, list) {
			return nil, 0, 0
		}
	}
	if !window.fullAllowed && r.enabled(MechanismSilence) && allFull(list) {
		return nil, 0, 0
	}
	params := r.newScoreParams(route, list)
	for required := criteriaAll; required <= criteriaNone; required++ {
		if at := r.leastLoaded(now, params, list, required); at >= 0 {
			c := &list[at]
			return c.target, params.busyShare(c, c.assessment.serviceTime(params.meanTime)), time.Duration(c.assessment.serviceTime(params.meanTime) * float64(time.Second))
		}
	}
	return nil, 0, 0
}

// scoreParams are the inputs that are the same for all candidates of a flow.
type scoreParams struct {
	route *rule
	// meanTime is the mean service time of a request, in seconds.
	meanTime float64
	// coldSlowdown is the ratio of the service time of a cold target to that of a warm one.
	coldSlowdown float64
	// ownWeight, from 0 to 1, is the weight of this VM's own requests in the load estimate;
	// vmCount is the number of VMs of its data centre.
	ownWeight, vmCount float64
}

// ownWeightHalfPoint is the number of own recent requests for each candidate at which a
// VM's own requests and the loads of all VMs have equal weight in the load estimate.
//
// Loads of other VMs arrive late: all VMs choose the target that was idle, until they learn
// of each other's requests. A VM that sends several requests to each target gets a better
// estimate from its own requests, on the assumption that the other VMs behave alike. In a
// large fleet a VM sends less than one request to a target and needs their loads: one
// request more or less, multiplied by the number of VMs, would outweigh remotePenalty, and
// flows would go to other data centres without need, where a partition breaks them.
const ownWeightHalfPoint = 4.0

func (r *Router) newScoreParams(route *rule, list []candidate) scoreParams {
	params := scoreParams{route: route, meanTime: meanServiceTime(list), coldSlowdown: 1, vmCount: float64(r.vmCount())}
	if len(list) > 0 {
		params.coldSlowdown = list[0].target.service.coldSlowdownFactor()
	}
	own := 0.0
	for i := range list {
		own += list[i].assessment.ownRequests / float64(len(list))
	}
	if r.enabled(MechanismOwnLoads) {
		params.ownWeight = own * own / (own*own + ownWeightHalfPoint*ownWeightHalfPoint)
	}
	return params
}

// estimateRequests returns the estimated recent requests of all VMs at a candidate.
func (p *scoreParams) estimateRequests(a *assessment) float64 {
	return p.ownWeight*a.ownRequests*p.vmCount + (1-p.ownWeight)*(a.ownRequests+a.otherRequests)
}

// busyShare returns the estimated share of a candidate's slots that is busy, for a service
// time in seconds.
func (p *scoreParams) busyShare(c *candidate, serviceTime float64) float64 {
	return p.estimateRequests(&c.assessment) / loadWindow.Seconds() / float64(c.target.registration.Slots) * serviceTime
}

// criteria are requirements on the target of a new flow. Each value drops one requirement
// of the value before.
type criteria uint8

const (
	criteriaAll        criteria = iota // reachable, not the previous try, not suspect
	criteriaReachable                  // reachable, not suspect
	criteriaNotSuspect                 // not suspect
	// criteriaNone accepts any target. If all targets are suspect, the fault is likely to
	// be in this VM's own link.
	criteriaNone
)

func (c *candidate) meets(required criteria) bool {
	switch required {
	case criteriaAll:
		return c.reachable && !c.previousTry && !c.assessment.suspect
	case criteriaReachable:
		return c.reachable && !c.assessment.suspect
	case criteriaNotSuspect:
		return !c.assessment.suspect
	default:
		return true
	}
}

// collectCandidates appends the targets of a window that may get new flows to list, and
// stops at enoughLocalCandidates suitable local ones.
func (r *Router) collectCandidates(now time.Time, window poolWindow, previous *target, list []candidate) []candidate {
	heard := *r.vmsHeard.Load()
	local := 0
	for t := range window.all() {
		if !t.acceptsNewFlows(now) || window.limit != nil && !r.coldLimitAllows(now, window.snapshot, t, window.limit) {
			continue
		}
		dc := t.registration.DataCentre
		assessed := t.load.assess(now)
		assessed.suspect = assessed.suspect && r.enabled(MechanismSilence)
		list = append(list, candidate{
			target: t, assessment: assessed,
			reachable:   dc == r.options.DataCentre || heard[dc] > 0,
			previousTry: previous != nil && t.id == previous.id,
		})
		if (window.anyLocal || dc == r.options.DataCentre) && list[len(list)-1].meets(criteriaAll) {
			local++
		}
		if local == enoughLocalCandidates && r.enabled(MechanismFew) {
			break
		}
	}
	return list
}

// leastLoaded returns the index of the candidate with the lowest score among those that
// meet the criteria, or -1.
func (r *Router) leastLoaded(now time.Time, params scoreParams, list []candidate, required criteria) int {
	best := -1
	least := 0.0
	for i := range list {
		c := &list[i]
		if !c.meets(required) {
			continue
		}
		if score := r.score(now, &params, c); best < 0 || score < least {
			best, least = i, score
		}
	}
	return best
}

// score returns the estimated share of a candidate's slots that is busy, plus penalties.
// The candidate with the lowest score is chosen; targets that need a probe or are due for a
// trial flow score 0.
func (r *Router) score(now time.Time, params *scoreParams, c *candidate) float64 {
	switch {
	case c.assessment.needsProbe && r.enabled(MechanismSilence):
		return 0
	case c.assessment.trialDue && params.route.repeatable:
		return 0
	}
	serviceTime := params.meanTime
	if r.enabled(MechanismTimes) {
		serviceTime = c.assessment.serviceTime(params.meanTime)
	}
	if now.Before(c.target.coldUntil) && r.enabled(MechanismCold) {
		serviceTime *= params.coldSlowdown
	}
	score := params.busyShare(c, serviceTime)
	if c.target.registration.DataCentre != r.options.DataCentre && r.enabled(MechanismNear) {
		score += remotePenalty
	}
	return score + c.assessment.penalty
}

// meanServiceTime returns the mean service time of a request over candidates, in seconds.
func meanServiceTime(list []candidate) float64 {
	sum, n := 0.0, 0
	for i := range list {
		if list[i].assessment.answers >= 1 {
			sum += list[i].assessment.latency
			n++
		}
	}
	if n == 0 {
		return defaultServiceTime
	}
	return sum / float64(n)
}

func (r *Router) randomUint64() uint64 {
	r.randLock.Lock()
	defer r.randLock.Unlock()
	return r.options.Rand.Uint64()
}
