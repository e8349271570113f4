package token

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"baobabstep"
	"baobabstep/core/answer"
)

// snapshot is the routes and targets that one decision uses. It is immutable.
type snapshot struct {
	version                uint64
	idle                   time.Duration
	rules                  map[netip.AddrPort]*rule
	pools                  map[string]*pool
	targets                map[baobabstep.TargetID]*target
	haveTable, haveTargets bool
	// keep is how long flows may last, and beginLoads whether new targets begin
	// with the load of those that are there; they never change.
	keep       time.Duration
	beginLoads bool
	services   *services
	// active are the targets that may have something to report to other VMs; all
	// snapshots of a router share the set.
	active *targetSet
	// appeared are the targets that Router.Appeared returns next; the pointer never
	// changes.
	appeared *targetSet
	// evacuated names the data centres whose targets get no new flow.
	evacuated map[string]bool
	// coldLimits are those of services that have one.
	coldLimits map[string]*coldLimit
	// spareUntil is until when registrations that go missing may be back.
	spareUntil time.Time
	// restoredAt is when the store came back from a backup, zero if it never did.
	restoredAt time.Time
}

// ready tells whether both a routing table and targets are known.
func (s *snapshot) ready() bool { return s.haveTable && s.haveTargets }

// rule is one service address.
type rule struct {
	name       string
	repeatable bool
	// ordinary rules may be refused new flows where there is no room; aim is the
	// time within which their callers want answers.
	ordinary bool
	aim      time.Duration
	// sizes are those of the answers to the rule's requests.
	sizes  *answer.Sizes
	shares []baobabstep.Share
	total  uint32
	// services are those that flows of the address may be at: the present
	// ones, and former ones until the time given.
	services map[string]time.Time
}

// always is the time until which a present service of a rule may have flows.
var always = time.Time{}

func newSnapshot(o *Options) *snapshot {
	return &snapshot{
		keep: o.FlowMax, services: newServices(), active: new(targetSet), appeared: new(targetSet), beginLoads: !o.Without.Has(MechanismBeginLoad),
		rules:   map[netip.AddrPort]*rule{},
		pools:   map[string]*pool{},
		targets: map[baobabstep.TargetID]*target{},
	}
}

// withTable returns a copy of s with another routing table. Flows that were
// opened under a former rule of an address may go on for s.keep.
func (s *snapshot) withTable(now time.Time, table *baobabstep.RoutingTable) *snapshot {
	next := *s
	next.version, next.idle, next.haveTable = table.Version, table.IdleTimeout, true
	next.rules = make(map[netip.AddrPort]*rule, len(table.Rules))
	least := leastUrgent(table)
	for i := range table.Rules {
		r := newRule(&table.Rules[i])
		r.inherit(now, s.rules[table.Rules[i].Address], s.keep)
		r.ordinary = isOrdinary(&table.Rules[i], least)
		next.rules[table.Rules[i].Address] = r
	}
	return &next
}

func newRule(from *baobabstep.Rule) *rule {
	r := &rule{name: from.Name, repeatable: from.Repeatable, aim: from.Aim, sizes: new(answer.Sizes), shares: from.Shares, services: make(map[string]time.Time, len(from.Shares))}
	for _, share := range from.Shares {
		r.total += share.Weight
		r.services[share.Service] = always
	}
	return r
}

// inherit keeps the services of the rule's predecessor for as long as flows
// that were opened under it may last.
func (r *rule) inherit(now time.Time, old *rule, flowMax time.Duration) {
	if old == nil {
		return
	}
	r.sizes = old.sizes
	for service, until := range old.services {
		if until.Equal(always) {
			until = now.Add(flowMax)
		}
		if _, present := r.services[service]; !present && now.Before(until) {
			r.services[service] = until
		}
	}
}

// service picks the service of a new flow by the shares' weights; draw is a
// random number.
func (r *rule) service(draw uint64) string {
	if r.total == 0 {
		return r.shares[draw%uint64(len(r.shares))].Service
	}
	at := uint32(draw % uint64(r.total))
	for _, share := range r.shares {
		if at < share.Weight {
			return share.Service
		}
		at -= share.Weight
	}
	return r.shares[len(r.shares)-1].Service
}

// withEvacuations returns a copy of s in which the targets of just the given data
// centres get no new flow.
func (s *snapshot) withEvacuations(dataCentres []string) *snapshot {
	next := *s
	next.evacuated = make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		next.evacuated[name] = true
	}
	next.targets = make(map[baobabstep.TargetID]*target, len(s.targets))
	for id, t := range s.targets {
		if moved := next.evacuated[t.registration.DataCentre]; moved != t.evacuated {
			changed := *t
			changed.evacuated = moved
			t = &changed
		}
		next.targets[id] = t
	}
	next.pools = makePools(next.targets)
	return &next
}

// withRegistrations returns a copy of s in which the given registrations are
// the ones that are there. Those that are there no more stay known for s.keep,
// for the flows that they may still have.
func (s *snapshot) withRegistrations(now time.Time, list []baobabstep.Registration) *snapshot {
	next := *s
	next.haveTargets = true
	next.targets = make(map[baobabstep.TargetID]*target, len(list))
	for i := range list {
		next.targets[list[i].ID] = s.registered(now, &list[i])
	}
	for id, old := range s.targets {
		if next.targets[id] != nil {
			continue
		}
		if gone := s.gone(now, old); now.Sub(gone.missingSince) < s.keep {
			next.targets[id] = gone
		}
	}
	next.pools = makePools(next.targets)
	if s.beginLoads {
		for _, p := range next.pools {
			p.beginLoads(now, s)
		}
	}
	return &next
}

// withChanges returns what withRegistrations would, for registrations of which
// only some have changed. The pools of other services are shared with s.
func (s *snapshot) withChanges(now time.Time, put []baobabstep.Registration, gone []baobabstep.TargetID) *snapshot {
	next := *s
	next.haveTargets = true
	next.targets = maps.Clone(s.targets)
	next.pools = maps.Clone(s.pools)
	e := editor{next: &next, pools: make(map[string]*pool)}
	for _, t := range s.targets {
		if !t.missingSince.IsZero() && now.Sub(t.missingSince) >= s.keep {
			e.remove(t)
		}
	}
	for i := range put {
		t := s.registered(now, &put[i])
		if old := next.targets[t.id]; old != nil && old.registration.Service != t.registration.Service {
			e.remove(old)
		}
		e.put(t)
	}
	for _, id := range gone {
		if old := next.targets[id]; old != nil {
			e.put(s.gone(now, old))
		}
	}
	for service, p := range e.pools {
		if len(p.targets) == 0 {
			delete(next.pools, service)
		}
		if s.beginLoads {
			p.beginLoads(now, s)
		}
	}
	return &next
}

// editor changes targets of a snapshot that is not in force yet.
type editor struct {
	next *snapshot
	// pools are those that were copied, and may be changed.
	pools map[string]*pool
}

// pool returns the pool of a service, to be changed.
func (e *editor) pool(service string) *pool {
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

// put adds a target, in place of the one with its identifier.
func (e *editor) put(t *target) {
	p := e.pool(t.registration.Service)
	at, found := p.search(t.id)
	if found {
		p.targets[at] = t
	} else {
		p.targets = slices.Insert(p.targets, at, t)
	}
	e.next.targets[t.id] = t
}

func (e *editor) remove(t *target) {
	p := e.pool(t.registration.Service)
	if at, found := p.search(t.id); found {
		p.targets = slices.Delete(p.targets, at, at+1)
	}
	delete(e.next.targets, t.id)
}

// gone returns a target whose registration is missing.
func (s *snapshot) gone(now time.Time, t *target) *target {
	gone := *t
	if gone.missingSince.IsZero() {
		gone.missingSince, gone.sparedUntil = now, s.spareUntil
	}
	return &gone
}

// beginLoads gives targets that the snapshot before did not know the mean load
// of those that it knew.
func (p *pool) beginLoads(now time.Time, before *snapshot) {
	isNew := func(t *target) bool { return !t.sameRun(before.targets[t.id]) }
	if !slices.ContainsFunc(p.targets, isNew) {
		return
	}
	var known, sum float64
	for _, t := range p.targets {
		if !isNew(t) && t.choosable(now) {
			own, _ := t.load.requests(now)
			known++
			sum += own
		}
	}
	if known == 0 {
		return
	}
	for _, t := range p.targets {
		if isNew(t) {
			t.load.begin(now, sum/known)
		}
	}
}

// registered returns the target of a registration, with the load that an
// earlier one of the same run had.
//
// While the store may lack what was written last, a run that started before the one
// that is known has ended, and a target that was out before stays out.
//
// A run that says another service than before is not the target's own word: a
// process serves one. Taken for true, the flows that it holds would find no
// target any more, and new ones of the other service would be refused. So the
// target stays what it was and gets no new flow.
func (s *snapshot) registered(now time.Time, r *baobabstep.Registration) *target {
	t := &target{
		id: r.ID, registration: *r, load: newLoad(now, r.ID, s.active), service: s.services.get(r.Service),
		coldUntil: now.Add(r.ColdFor), evacuated: s.evacuated[r.DataCentre],
	}
	old := s.targets[r.ID]
	if old != nil && s.restoring(now) && r.Life < old.registration.Life {
		return old
	}
	if !t.sameRun(old) {
		s.appeared.add(t.id)
		if old != nil {
			t.load.verdict = old.load.judged()
		}
		return t
	}
	if r.Life != 0 && r.Service != old.registration.Service {
		return s.gone(now, old)
	}
	t.load = old.load
	t.leavingUntil = old.leavingUntil
	if s.restoring(now) && s.wasOut(old) && !r.Draining {
		t.leavingUntil = s.restoredAt.Add(LapseGrace)
	}
	if *r == old.registration {
		t.coldUntil = old.coldUntil // it says the same again, not that it stays cold for longer
	}
	return t
}

// restoring tells whether the store came back from a backup so lately that it may lack
// what targets wrote last.
func (s *snapshot) restoring(now time.Time) bool { return now.Before(s.restoredAt.Add(LapseGrace)) }

// wasOut tells whether a target had said that it leaves, or was gone before the store
// came back.
func (s *snapshot) wasOut(t *target) bool {
	gone := !t.missingSince.IsZero() && t.missingSince.Before(s.restoredAt)
	return t.registration.Draining || gone
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
		if !until.Equal(always) && !now.Before(until) {
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
