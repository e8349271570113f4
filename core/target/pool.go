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
	// dirty requests a refresh of the usable sets before the next pick; so does
	// reaching refreshAt, the end of an ejection.
	dirty     bool
	refreshAt time.Time
	// usable are the targets that may get new work, byDataCentre the same by
	// data centre.
	usable       usableSet
	byDataCentre map[string]*usableSet
	// slotSequence counts the slots handed out.
	slotSequence uint64
	// groups are the usable targets by group; the number of groups depends only
	// on the configuration.
	groups [][]*entry
	// underloaded are the targets with too few flows, found at underloadedAt;
	// openedSince counts this VM's picks since then.
	underloaded   []*entry
	underloadedAt time.Time
	openedSince   int
	// panicking is set while more targets look unhealthy than the service
	// allows to eject; health is then ignored.
	panicking bool
	// ignoreReach is set while the data centres of all targets are cut off;
	// reachability is then ignored.
	ignoreReach bool
	// serviceTime is the mean service time over all targets, in seconds.
	serviceTime float64
}

// usableSet is a set of usable targets and the sums over it.
type usableSet struct {
	entries  []*entry
	load     int
	capacity int
}

func (s *usableSet) meanUtilisation() float64 {
	if s.capacity == 0 {
		return 0
	}
	return float64(s.load) / float64(s.capacity)
}

// entry is the state of one target, guarded by its pool's lock.
type entry struct {
	pool   *pool
	target baobabstep.Target
	group  int
	// removed is set while the configuration in force lacks the target.
	removed bool
	// quarantined is set while VMs may still take the address for that of
	// another service's target.
	quarantined bool

	// flows and slotsUsed are held by this VM; peerStates is what other VMs
	// reported.
	flows, slotsUsed int
	peerStates       []peerState
	peerFlows        int
	// load is the estimated number of open flows. It is included in the sums of
	// the sets that hold the entry.
	load int
	set  *usableSet

	lastReport receivedReport
	leaving    [numSources]leavingState
	health     health
	// rampStart is when the target last became usable.
	rampStart time.Time
	usable    bool
	// lastSlotSequence is the pool's slotSequence when the target last got a
	// request.
	lastSlotSequence uint64
	// adaptiveSlots is the adaptive limit of slots in use.
	adaptiveSlots float64
	sent          sentState
}

// receivedReport is the target's last report, to this VM or another prober.
type receivedReport struct {
	known       bool
	connections int
	// flowsAtReport is this VM's count when the report arrived; the report does
	// not include flows opened since then.
	flowsAtReport int
}

func newPool(r *Registry) *pool { return &pool{reg: r, dirty: true} }

// configure applies a service of a new configuration.
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
			e = &entry{pool: p, adaptiveSlots: float64(t.Slots)}
			if old.config != nil {
				e.rampStart = now
			}
		}
		if e.removed {
			e.removed = false
			e.rampStart = now
		}
		e.target = *t
		e.quarantined = quarantined(c, t.Address, s.ID)
		e.setLeaving(SourceOperator, t.Drained)
		next.targets[t.ID] = e
		next.list = append(next.list, e)
		p.entries = append(p.entries, e)
	}
	p.assignGroups()
}

// assignGroups distributes the targets over groups in the order of their
// hashes, so that all VMs agree and group sizes differ by at most one: a
// smaller group would shed requests while others have room.
func (p *pool) assignGroups() {
	p.groups = make([][]*entry, GroupCount(len(p.entries)))
	if len(p.groups) == 1 {
		for _, e := range p.entries {
			e.group = 0
		}
		return
	}
	sorted := slices.Clone(p.entries)
	slices.SortFunc(sorted, func(a, b *entry) int {
		return cmp.Compare(mix(uint64(a.target.ID)), mix(uint64(b.target.ID)))
	})
	for i, e := range sorted {
		e.group = i % len(p.groups)
	}
}

// quarantined reports whether a VM with an older configuration may still take
// the address for that of another service's target.
func quarantined(c *baobabstep.Config, address netip.AddrPort, service baobabstep.ServiceID) bool {
	for i := range c.Quarantine {
		q := &c.Quarantine[i]
		if q.Address == address && q.Service != service {
			return true
		}
	}
	return false
}

// refresh recomputes the sets of usable targets, by a scan of the pool, if
// something changed.
func (p *pool) refresh(now time.Time) {
	if !p.dirty && (p.refreshAt.IsZero() || now.Before(p.refreshAt)) {
		return
	}
	p.dirty = false
	p.refreshAt = time.Time{}
	p.ignoreReach = !p.anyReachable()
	p.panicking = p.tooManyUnhealthy(now)
	p.usable = usableSet{entries: p.usable.entries[:0]}
	p.byDataCentre = make(map[string]*usableSet)
	for i := range p.groups {
		p.groups[i] = p.groups[i][:0]
	}
	for _, e := range p.entries {
		p.updateUsable(now, e)
	}
}

// tooManyUnhealthy reports whether the share of unhealthy targets exceeds what
// the service allows: the evidence is then more likely wrong than the targets.
func (p *pool) tooManyUnhealthy(now time.Time) bool {
	candidates, bad := 0, 0
	for _, e := range p.entries {
		if e.excluded() || e.unreachable() {
			continue
		}
		candidates++
		if !e.health.healthy(now, e) {
			bad++
		}
		p.scheduleRefresh(now, e.health.ejectedUntil)
	}
	return bad > 0 && float64(bad) > p.service.MaxEjectedShare*float64(candidates)
}

func (p *pool) anyReachable() bool {
	for _, e := range p.entries {
		if !e.excluded() && (!e.reg().cutOff(e.target.DataCentre) || e.probedReachable()) {
			return true
		}
	}
	return false
}

// unreachable reports whether the target's data centre is cut off and no probe
// shows otherwise. A partition cuts off whole data centres, which must not
// count as so many failures that panic mode starts.
func (e *entry) unreachable() bool {
	return !e.pool.ignoreReach && e.reg().cutOff(e.target.DataCentre) && !e.probedReachable()
}

// probedReachable reports whether a current probe reached the target. VMs of
// other data centres probe the targets of a data centre that has no VM.
func (e *entry) probedReachable() bool {
	if e.health.prober {
		return e.health.goodProbes > 0 && e.health.missed == 0
	}
	for i := range e.peerStates {
		if e.peerStates[i].up {
			return true
		}
	}
	return false
}

func (e *entry) reg() *Registry { return e.pool.reg }

func (p *pool) scheduleRefresh(now, t time.Time) {
	if t.After(now) && (p.refreshAt.IsZero() || t.Before(p.refreshAt)) {
		p.refreshAt = t
	}
}

func (p *pool) updateUsable(now time.Time, e *entry) {
	usable := !e.excluded() && !e.unreachable() && (p.panicking || e.health.healthy(now, e))
	if usable && !e.usable && e.wasEvaluated() {
		e.rampStart = now
		e.health.answers = 0
	}
	e.usable = usable
	e.health.evaluated = true
	e.set = nil
	if !usable {
		return
	}
	set := p.byDataCentre[e.target.DataCentre]
	if set == nil {
		set = &usableSet{}
		p.byDataCentre[e.target.DataCentre] = set
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

// excluded reports whether the target is out for a reason other than health.
func (e *entry) excluded() bool { return e.removed || e.quarantined || e.isLeaving() }

// wasEvaluated reports whether updateUsable has seen the target before; for a
// new one configure starts the ramp.
func (e *entry) wasEvaluated() bool { return e.health.evaluated }

// updateLoad recomputes the estimate of open flows and the sums that include
// it.
func (e *entry) updateLoad() {
	load := e.flows + e.peerFlows
	if e.lastReport.known {
		load = max(load, e.lastReport.connections+max(0, e.flows-e.lastReport.flowsAtReport))
	}
	if e.set != nil {
		e.set.load += load - e.load
		e.pool.usable.load += load - e.load
	}
	e.load = load
}
