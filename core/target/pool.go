package target

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"baobabstep"
)

// pool holds the targets of one service under one lock.
type pool struct {
	reg *Registry

	mu      sync.Mutex
	service *baobabstep.Service
	entries []*entry
	// dirty asks for a new choice of usable targets before the next pick;
	// so does a present time past changeAt (an ejection or ramp that ends).
	dirty    bool
	changeAt time.Time
	// usable are the targets that may get new work, by data centre and in
	// all.
	usable usableSet
	near   map[string]*usableSet
	// slotTurn counts the slots given away.
	slotTurn uint64
	// groups are the usable targets by group; their number follows from
	// the configuration alone.
	groups [][]*entry
	// behind are the targets with too few flows, found at behindAt; opened
	// counts the own picks since then.
	behind   []*entry
	behindAt time.Time
	opened   int
	// panicking is set while more targets look unhealthy than the service
	// allows to eject: then health is ignored.
	panicking bool
	// blind is set while all targets are out of reach by their data centres:
	// then reach is ignored.
	blind bool
	// serviceTime is the mean service time over all targets, in seconds.
	serviceTime float64
}

// usableSet is a set of usable targets with the sums over it.
type usableSet struct {
	entries  []*entry
	load     int
	capacity int
}

func (s *usableSet) mean() float64 {
	if s.capacity == 0 {
		return 0
	}
	return float64(s.load) / float64(s.capacity)
}

// entry is the state of one target. Its pool's lock guards it.
type entry struct {
	pool   *pool
	target baobabstep.Target
	group  int
	// removed is set once the target is in no configuration.
	removed bool
	// quarantined is set while the address may still be taken for another
	// service's.
	quarantined bool

	// flows and slots are held by this VM; others holds what peers told.
	flows, slots int
	others       []peerUpdate
	othersFlows  int
	// load is the estimate of open flows; it is part of the sums of the
	// sets that list the entry.
	load int
	set  *usableSet

	reported reported
	leaving  [numSources]register
	health   health
	// since is when the target last became usable; the ramp starts there.
	since  time.Time
	usable bool
	// lastSlot is the turn in which the target last got a request.
	lastSlot uint64
	// limit is the adaptive bound of slots in use.
	limit float64
	sent  sentUpdate
}

// reported is the last report of the target, own or from another prober.
type reported struct {
	known       bool
	connections int
	// base is the own count when the report came: flows opened since then
	// are not in it.
	base int
}

func newPool(r *Registry) *pool { return &pool{reg: r, dirty: true} }

// configure takes over a service of a new configuration.
func (p *pool) configure(now time.Time, c *baobabstep.Config, s *baobabstep.Service, old, next *index) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service = s
	p.dirty = true
	p.entries = p.entries[:0:0]
	for i := range s.Targets {
		t := &s.Targets[i]
		e := old.targets[t.ID]
		if e == nil || e.pool != p {
			e = &entry{pool: p, limit: float64(t.Slots)}
			if old.config != nil {
				e.since = now
			}
		}
		if e.removed {
			e.removed = false
			e.since = now
		}
		e.target = *t
		e.quarantined = quarantined(c, t.Address, s.ID)
		e.setLeaving(SourceOperator, t.Drained)
		next.targets[t.ID] = e
		next.list = append(next.list, e)
		p.entries = append(p.entries, e)
	}
	p.dealGroups()
}

// dealGroups deals the targets to groups in the order of their hashes, so that
// all VMs deal alike and the groups differ by one target at most: a group with
// less than its share of slots would shed while others have room.
func (p *pool) dealGroups() {
	p.groups = make([][]*entry, Groups(len(p.entries)))
	if len(p.groups) == 1 {
		for _, e := range p.entries {
			e.group = 0
		}
		return
	}
	order := slices.Clone(p.entries)
	slices.SortFunc(order, func(a, b *entry) int {
		return cmp.Compare(mix(uint64(a.target.ID)), mix(uint64(b.target.ID)))
	})
	for i, e := range order {
		e.group = i % len(p.groups)
	}
}

// quarantined tells whether a VM that acts on an older configuration may
// still take the address for another service's.
func quarantined(c *baobabstep.Config, address netip.AddrPort, service baobabstep.ServiceID) bool {
	for i := range c.Quarantine {
		q := &c.Quarantine[i]
		if q.Address == address && q.Service != service {
			return true
		}
	}
	return false
}

// refresh brings the sets of usable targets up to date. It costs a scan of the
// pool, and only after a change.
func (p *pool) refresh(now time.Time) {
	if !p.dirty && (p.changeAt.IsZero() || now.Before(p.changeAt)) {
		return
	}
	p.dirty = false
	p.changeAt = time.Time{}
	p.blind = !p.anyInReach()
	p.panicking = p.tooManyUnhealthy(now)
	p.usable = usableSet{entries: p.usable.entries[:0]}
	p.near = make(map[string]*usableSet)
	for i := range p.groups {
		p.groups[i] = p.groups[i][:0]
	}
	for _, e := range p.entries {
		p.place(now, e)
	}
}

// tooManyUnhealthy tells whether the share of unhealthy targets is past what
// the service allows: then the news is more likely wrong than the targets.
func (p *pool) tooManyUnhealthy(now time.Time) bool {
	candidates, bad := 0, 0
	for _, e := range p.entries {
		if e.mayNotServe() || e.outOfReach() {
			continue
		}
		candidates++
		if !e.health.good(now, e) {
			bad++
		}
		p.changesAt(now, e.health.ejectedUntil)
	}
	return bad > 0 && float64(bad) > p.service.MaxEjectedShare*float64(candidates)
}

func (p *pool) anyInReach() bool {
	for _, e := range p.entries {
		if !e.mayNotServe() && (!e.reg().cutOff(e.target.DataCentre) || e.proved()) {
			return true
		}
	}
	return false
}

// outOfReach tells whether the target's data centre is cut off and no probe
// proves otherwise. A partition takes whole data centres at once, which must
// not look like a failure of so many targets that health is ignored.
func (e *entry) outOfReach() bool {
	return !e.pool.blind && e.reg().cutOff(e.target.DataCentre) && !e.proved()
}

// proved tells whether a VM of another data centre reaches the target: where
// a data centre has no VM, others probe its targets.
func (e *entry) proved() bool {
	if e.health.prober {
		return e.health.goodProbes > 0 && e.health.missed == 0
	}
	for i := range e.others {
		if e.others[i].up {
			return true
		}
	}
	return false
}

func (e *entry) reg() *Registry { return e.pool.reg }

func (p *pool) changesAt(now, t time.Time) {
	if t.After(now) && (p.changeAt.IsZero() || t.Before(p.changeAt)) {
		p.changeAt = t
	}
}

func (p *pool) place(now time.Time, e *entry) {
	usable := !e.mayNotServe() && !e.outOfReach() && (p.panicking || e.health.good(now, e))
	if usable && !e.usable && e.wasKnown() {
		e.since = now
		e.health.answers = 0
	}
	e.usable = usable
	e.health.seen = true
	e.set = nil
	if !usable {
		return
	}
	set := p.near[e.target.DataCentre]
	if set == nil {
		set = &usableSet{}
		p.near[e.target.DataCentre] = set
	}
	e.set = set
	set.add(e)
	p.usable.add(e)
	p.groups[e.group] = append(p.groups[e.group], e)
}

func (s *usableSet) add(e *entry) {
	s.entries = append(s.entries, e)
	s.load += e.load
	s.capacity += e.target.Connections
}

// mayNotServe tells whether the target is out for a reason other than health.
func (e *entry) mayNotServe() bool { return e.removed || e.quarantined || e.isLeaving() }

// wasKnown tells whether the target was placed before: one that is placed for
// the first time starts its ramp in configure.
func (e *entry) wasKnown() bool { return e.health.seen }

// recount renews the estimate of open flows and the sums that contain it.
func (e *entry) recount() {
	load := e.flows + e.othersFlows
	if e.reported.known {
		load = max(load, e.reported.connections+max(0, e.flows-e.reported.base))
	}
	if e.set != nil {
		e.set.load += load - e.load
		e.pool.usable.load += load - e.load
	}
	e.load = load
}
