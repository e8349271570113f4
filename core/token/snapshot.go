package token

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"baobabstep"
	"baobabstep/core/answer"
	"baobabstep/core/bulk"
)

// snapshot holds the routes and targets that a decision uses. It is immutable.
type snapshot struct {
	version                uint64
	idleTimeout            time.Duration
	rules                  map[netip.AddrPort]*rule
	pools                  map[string]*pool
	targets                map[baobabstep.TargetID]*target
	haveTable, haveTargets bool
	// maxFlowDuration is how long flows may last, and inheritLoads whether new targets
	// start with the mean load of the existing ones; neither ever changes.
	maxFlowDuration time.Duration
	inheritLoads    bool
	services        *serviceRegistry
	// active are the targets that may have something to report to other VMs; all snapshots
	// of a router share the set.
	active *targetSet
	// newTargets are the targets that Router.TakeNewTargets returns next; all snapshots of
	// a router share the set.
	newTargets *targetSet
	// urgentServices names the services of the rules that are not ordinary.
	urgentServices map[string]bool
	// evacuated names the data centres whose targets get no new flows.
	evacuated map[string]bool
	// coldLimits are the limits on cold targets, by service.
	coldLimits map[string]*coldLimit
	// returns are the known returns of data centres and targets.
	returns baobabstep.Returns
	// lapseGraceUntil is the end of the grace period for registrations that go missing.
	lapseGraceUntil time.Time
	// restoredAt is when the store was last restored from a backup, zero if never.
	restoredAt time.Time
}

// ready reports whether both a routing table and targets are known.
func (s *snapshot) ready() bool { return s.haveTable && s.haveTargets }

// rule is the routing of one service address.
type rule struct {
	name       string
	repeatable bool
	// ordinary rules may have new flows refused under overload; latencyObjective is the
	// latency that their callers expect.
	ordinary         bool
	latencyObjective time.Duration
	// answerSizes learns the usual sizes of the answers to the rule's requests.
	answerSizes *answer.SizeHistogram
	// requestSizes learns the usual size of the rule's requests.
	requestSizes *bulk.RequestSizes
	shares       []baobabstep.Share
	totalWeight  uint64 // the sum of any number of weights of 32 bits
	// services are the services at which flows of the address may be, with the time until
	// which they may: noExpiry for present services, a time for former ones.
	services map[string]time.Time
}

// noExpiry marks a service that the rule routes to at present.
var noExpiry = time.Time{}

func newSnapshot(o *Options) *snapshot {
	return &snapshot{
		maxFlowDuration: o.MaxFlowDuration, services: newServiceRegistry(), active: new(targetSet), newTargets: new(targetSet), inheritLoads: !o.Disabled.Has(MechanismBeginLoad),
		rules:   map[netip.AddrPort]*rule{},
		pools:   map[string]*pool{},
		targets: map[baobabstep.TargetID]*target{},
	}
}

// withTable returns a copy of s with another routing table. Flows that were opened under a
// former rule of an address may continue for s.maxFlowDuration.
func (s *snapshot) withTable(now time.Time, table *baobabstep.RoutingTable) *snapshot {
	next := *s
	next.version, next.idleTimeout, next.haveTable = table.Version, table.IdleTimeout, true
	next.rules = make(map[netip.AddrPort]*rule, len(table.Rules))
	next.urgentServices = make(map[string]bool)
	least := lowestPriorities(table)
	for i := range table.Rules {
		r := newRule(&table.Rules[i])
		r.inheritServices(now, s.rules[table.Rules[i].Address], s.maxFlowDuration)
		r.ordinary = isOrdinary(&table.Rules[i], least)
		if !r.ordinary {
			for _, share := range r.shares {
				next.urgentServices[share.Service] = true
			}
		}
		next.rules[table.Rules[i].Address] = r
	}
	return &next
}

func newRule(from *baobabstep.Rule) *rule {
	r := &rule{name: from.Name, repeatable: from.Repeatable, latencyObjective: from.LatencyObjective, answerSizes: new(answer.SizeHistogram), requestSizes: new(bulk.RequestSizes), shares: from.Shares, services: make(map[string]time.Time, len(from.Shares))}
	for _, share := range from.Shares {
		r.totalWeight += uint64(share.Weight)
		r.services[share.Service] = noExpiry
	}
	return r
}

// inheritServices adds the services of the previous rule for as long as flows opened under
// it may last.
func (r *rule) inheritServices(now time.Time, old *rule, maxFlowDuration time.Duration) {
	if old == nil {
		return
	}
	r.answerSizes, r.requestSizes = old.answerSizes, old.requestSizes
	for service, until := range old.services {
		if until.Equal(noExpiry) {
			until = now.Add(maxFlowDuration)
		}
		if _, present := r.services[service]; !present && now.Before(until) {
			r.services[service] = until
		}
	}
}

// pickService draws the service of a new flow by the weights of the shares; draw is a
// random number.
func (r *rule) pickService(draw uint64) string {
	if r.totalWeight == 0 {
		return r.shares[draw%uint64(len(r.shares))].Service
	}
	at := draw % r.totalWeight
	for _, share := range r.shares {
		weight := uint64(share.Weight)
		if at < weight {
			return share.Service
		}
		at -= weight
	}
	return r.shares[len(r.shares)-1].Service
}

// leadsTo reports whether new flows of the rule may go to a service.
func (r *rule) leadsTo(service string) bool {
	return slices.ContainsFunc(r.shares, func(share baobabstep.Share) bool {
		return share.Service == service && (share.Weight > 0 || r.totalWeight == 0)
	})
}

// withEvacuations returns a copy of s in which only the targets of the given data centres
// are evacuated.
func (s *snapshot) withEvacuations(dataCentres []string) *snapshot {
	next := *s
	next.evacuated = make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		next.evacuated[name] = true
	}
	next.targets = make(map[baobabstep.TargetID]*target, len(s.targets))
	for id, t := range s.targets {
		if evacuated := next.evacuated[t.registration.DataCentre]; evacuated != t.evacuated {
			changed := *t
			changed.evacuated = evacuated
			t = &changed
		}
		next.targets[id] = t
	}
	next.pools = makePools(next.targets)
	return &next
}

// withRegistrations returns a copy of s with exactly the given registrations. Targets that
// are no longer registered are kept for s.maxFlowDuration, for the flows that they may
// still have.
func (s *snapshot) withRegistrations(now time.Time, list []baobabstep.Registration) *snapshot {
	next := *s
	next.haveTargets = true
	next.targets = make(map[baobabstep.TargetID]*target, len(list))
	for i := range list {
		next.targets[list[i].ID] = s.applyRegistration(now, &list[i])
	}
	for id, old := range s.targets {
		if next.targets[id] != nil {
			continue
		}
		if gone := s.markMissing(now, old); now.Sub(gone.missingSince) < s.maxFlowDuration {
			next.targets[id] = gone
		}
	}
	next.pools = makePools(next.targets)
	if s.inheritLoads {
		for _, p := range next.pools {
			p.initNewLoads(now, s)
		}
	}
	return &next
}

// withChanges returns what withRegistrations would return if only some registrations
// changed. Pools of unaffected services are shared with s.
func (s *snapshot) withChanges(now time.Time, put []baobabstep.Registration, gone []baobabstep.TargetID) *snapshot {
	next := *s
	next.haveTargets = true
	next.targets = maps.Clone(s.targets)
	next.pools = maps.Clone(s.pools)
	e := snapshotEditor{next: &next, pools: make(map[string]*pool)}
	for _, t := range s.targets {
		if !t.missingSince.IsZero() && now.Sub(t.missingSince) >= s.maxFlowDuration {
			e.remove(t)
		}
	}
	for i := range put {
		t := s.applyRegistration(now, &put[i])
		if old := next.targets[t.id]; old != nil && old.registration.Service != t.registration.Service {
			e.remove(old)
		}
		e.put(t)
	}
	for _, id := range gone {
		if old := next.targets[id]; old != nil {
			e.put(s.markMissing(now, old))
		}
	}
	for service, p := range e.pools {
		if len(p.targets) == 0 {
			delete(next.pools, service)
		}
		if s.inheritLoads {
			p.initNewLoads(now, s)
		}
	}
	return &next
}

// snapshotEditor changes the targets of a snapshot that is not in force yet.
type snapshotEditor struct {
	next *snapshot
	// pools are the pools that were copied and may be modified.
	pools map[string]*pool
}

// pool returns a modifiable pool of a service.
func (e *snapshotEditor) pool(service string) *pool {
	p := e.pools[service]
	if p == nil {
		p = new(pool)
		if old := e.next.pools[service]; old != nil {
			p.targets = slices.Clone(old.targets)
		}
		e.pools[service], e.next.pools[service] = p, p
	}
	return p
}

// put adds a target, or replaces the one with the same identifier.
func (e *snapshotEditor) put(t *target) {
	p := e.pool(t.registration.Service)
	at, found := p.search(t.id)
	if found {
		p.targets[at] = t
	} else {
		p.targets = slices.Insert(p.targets, at, t)
	}
	e.next.targets[t.id] = t
}

func (e *snapshotEditor) remove(t *target) {
	p := e.pool(t.registration.Service)
	if at, found := p.search(t.id); found {
		p.targets = slices.Delete(p.targets, at, at+1)
	}
	delete(e.next.targets, t.id)
}

// markMissing returns a copy of a target whose registration is missing.
func (s *snapshot) markMissing(now time.Time, t *target) *target {
	missing := *t
	if missing.missingSince.IsZero() {
		missing.missingSince, missing.lapseGraceUntil = now, s.lapseGraceUntil
	}
	return &missing
}

// initNewLoads gives targets that are not in the previous snapshot the mean load of those
// that are.
func (p *pool) initNewLoads(now time.Time, before *snapshot) {
	isNew := func(t *target) bool { return !t.sameIncarnation(before.targets[t.id]) }
	if !slices.ContainsFunc(p.targets, isNew) {
		return
	}
	var known, sum, sumAll float64
	for _, t := range p.targets {
		if !isNew(t) && t.acceptsNewFlows(now) {
			own, all := t.load.requests(now)
			known++
			sum += own
			sumAll += all
		}
	}
	if known == 0 {
		return
	}
	for _, t := range p.targets {
		if isNew(t) {
			t.load.setInitialRequests(now, sum/known, (sumAll-sum)/known)
		}
	}
}

// applyRegistration returns the target of a registration, with the load of an earlier
// registration of the same incarnation.
//
// During the grace period after a restore, a registration of an earlier incarnation than
// the known one is stale and ignored, and a target that was draining or gone before the
// restore still gets no new flows.
//
// A registration that changes the service of an incarnation cannot come from the target
// itself, since a process serves one service. If it were applied, the target's flows would
// find no target any more, and new flows of the other service would be refused. The target
// keeps its service, counts as missing and gets no new flows.
func (s *snapshot) applyRegistration(now time.Time, r *baobabstep.Registration) *target {
	t := &target{
		id: r.ID, registration: *r, load: newLoad(now, r.ID, s.active), service: s.services.get(r.Service),
		coldUntil: now.Add(r.WarmupLeft), evacuated: s.evacuated[r.DataCentre],
	}
	old := s.targets[r.ID]
	if old != nil && s.inRestoreGrace(now) && r.StartedMS < old.registration.StartedMS {
		return old
	}
	if !t.sameIncarnation(old) {
		s.newTargets.add(t.id)
		if old != nil {
			t.load.answerHealth = old.load.currentAnswerHealth()
		}
		return t
	}
	if r.StartedMS != 0 && r.Service != old.registration.Service {
		return s.markMissing(now, old)
	}
	t.load = old.load
	t.leavingUntil = old.leavingUntil
	if s.inRestoreGrace(now) && s.wasUnavailable(old) && !r.Draining {
		t.leavingUntil = s.restoredAt.Add(ReregistrationGrace)
	}
	if *r == old.registration {
		t.coldUntil = old.coldUntil // a repeated registration does not extend the cold period
	}
	return t
}

// inRestoreGrace reports whether the store was restored from a backup so recently that it
// may lack the latest changes of targets.
func (s *snapshot) inRestoreGrace(now time.Time) bool {
	return now.Before(s.restoredAt.Add(ReregistrationGrace))
}

// wasUnavailable reports whether a target was draining, or was gone before the store was
// restored.
func (s *snapshot) wasUnavailable(t *target) bool {
	missing := !t.missingSince.IsZero() && t.missingSince.Before(s.restoredAt)
	return t.registration.Draining || missing
}

func makePools(targets map[baobabstep.TargetID]*target) map[string]*pool {
	pools := make(map[string]*pool)
	for _, t := range targets {
		p := pools[t.registration.Service]
		if p == nil {
			p = new(pool)
			pools[t.registration.Service] = p
		}
		p.targets = append(p.targets, t)
	}
	for _, p := range pools {
		slices.SortFunc(p.targets, func(a, b *target) int { return cmp.Compare(a.id, b.id) })
	}
	return pools
}

// find returns the target that the token names for a flow of rule r, or nil.
func (s *snapshot) find(now time.Time, r *rule, h flowHash, token uint32) *target {
	if token == 0 {
		return nil
	}
	for service, until := range r.services {
		if !until.Equal(noExpiry) && !now.Before(until) {
			continue
		}
		p := s.pools[service]
		if p == nil {
			continue
		}
		if t := p.find(h, token); t != nil {
			return t
		}
	}
	return nil
}
