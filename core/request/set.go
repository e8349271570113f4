package request

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

// setSize is the number of VMs that store the claims of a group. Three is the
// smallest number with which one VM may fail without losing or delaying a claim.
const setSize = 3

// fleet is a view with an index of the VMs' states.
type fleet struct {
	view   *baobabstep.View
	states map[baobabstep.VMID]baobabstep.VMState
	// formerFleets are the fleets of the last RetransmissionWindow, oldest first.
	// A group that is first used after a change of the view needs them to know
	// its former sets.
	formerFleets []formerFleet
}

type formerFleet struct {
	fleet *fleet
	until time.Time
}

// newFleet returns the fleet of a view that replaces old. It keeps the former
// fleets within window.
func newFleet(now time.Time, v *baobabstep.View, old *fleet, window time.Duration) *fleet {
	f := &fleet{view: v, states: make(map[baobabstep.VMID]baobabstep.VMState, len(v.Members))}
	if old != nil {
		for _, former := range old.formerFleets {
			if now.Sub(former.until) < window {
				f.formerFleets = append(f.formerFleets, former)
			}
		}
		replaced := *old
		replaced.formerFleets = nil
		f.formerFleets = append(f.formerFleets, formerFleet{&replaced, now})
	}
	for i := range v.Members {
		f.states[v.Members[i].ID] = v.Members[i].State
	}
	return f
}

func (f *fleet) contains(vm baobabstep.VMID) bool {
	_, ok := f.states[vm]
	return ok
}

func (f *fleet) isSuspect(vm baobabstep.VMID) bool {
	return f.states[vm] == baobabstep.VMSuspect
}

// set is the VMs that store the claims of a group.
type set struct {
	// members are sorted by rendezvous score, best first.
	members []baobabstep.VMID
	// dispatcher is the first member that is not suspect, or the first member if
	// all are. Suspect members keep their votes, since they may be alive.
	dispatcher baobabstep.VMID
}

// formerSet is a set that was in force until a point in time.
type formerSet struct {
	set   set
	until time.Time
}

// scoredVM is a VM with its rendezvous score for a group.
type scoredVM struct {
	vm         baobabstep.VMID
	dataCentre string
	score      uint64
}

// setOf computes the set of a group without the VM exclude.
func (f *fleet) setOf(id groupID, s *baobabstep.Service, exclude baobabstep.VMID) set {
	var all []scoredVM
	for i := range f.view.Members {
		vm := &f.view.Members[i]
		if vm.ID == exclude || !f.mayDispatch(s, vm.DataCentre) {
			continue
		}
		all = append(all, scoredVM{vm.ID, vm.DataCentre, score(vm.ID, id)})
	}
	slices.SortFunc(all, func(a, b scoredVM) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})
	var r set
	for _, m := range pickAcrossDataCentres(all) {
		r.members = append(r.members, m.vm)
		if r.dispatcher == 0 && !f.isSuspect(m.vm) {
			r.dispatcher = m.vm
		}
	}
	if r.dispatcher == 0 && len(r.members) > 0 {
		r.dispatcher = r.members[0]
	}
	return r
}

// pickAcrossDataCentres returns the best VMs, from different data centres where
// possible. If one data centre is cut off, the others still have a majority of
// each set.
func pickAcrossDataCentres(all []scoredVM) []scoredVM {
	var best, rest []scoredVM
	for _, m := range all {
		taken := slices.ContainsFunc(best, func(b scoredVM) bool { return b.dataCentre == m.dataCentre })
		if taken || len(best) == setSize {
			rest = append(rest, m)
			continue
		}
		best = append(best, m)
	}
	missing := min(setSize-len(best), len(rest))
	return append(best, rest[:missing]...)
}

// mayDispatch reports whether VMs of a data centre may dispatch for a service:
// those of the service's data centres, or all VMs if none of these has a VM.
func (f *fleet) mayDispatch(s *baobabstep.Service, dataCentre string) bool {
	if len(s.DataCentres) == 0 || slices.Contains(s.DataCentres, dataCentre) {
		return true
	}
	for i := range f.view.Members {
		if slices.Contains(s.DataCentres, f.view.Members[i].DataCentre) {
			return false
		}
	}
	return true
}

// countReachable counts the service's data centres that have a VM that is not
// suspect. One side of a partition must stop claiming well before the other side
// starts to claim without it. Excluding suspect VMs ensures that, since a VM is
// suspect before it counts as dead.
func (f *fleet) countReachable(s *baobabstep.Service) int {
	n := 0
	for _, d := range s.DataCentres {
		if f.reachable(d) {
			n++
		}
	}
	return n
}

// allReachable reports whether no data centre of the service is cut off or down.
func (f *fleet) allReachable(s *baobabstep.Service) bool {
	return f.countReachable(s) == len(s.DataCentres)
}

func (f *fleet) reachable(dataCentre string) bool {
	for i := range f.view.Members {
		vm := &f.view.Members[i]
		if vm.DataCentre == dataCentre && vm.State != baobabstep.VMSuspect {
			return true
		}
	}
	return false
}

// mayClaim reports whether this side of a possible partition may own claims. It
// must have VMs in most of the service's data centres, or in half of them
// including the first by name, which is true for one side only.
func (f *fleet) mayClaim(s *baobabstep.Service) bool {
	n := len(s.DataCentres)
	if n == 0 {
		return true
	}
	reached := f.countReachable(s)
	if 2*reached == n {
		return f.reachable(slices.Min(s.DataCentres))
	}
	return 2*reached > n
}

func score(vm baobabstep.VMID, id groupID) uint64 {
	return mixBits(mixBits(uint64(vm)^0xa0761d6478bd642f) ^ mixBits(uint64(id.service)+uint64(id.index)*0x9e3779b97f4a7c15))
}

// mixBits is a bijection in which each output bit depends on all input bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// initSets initialises the present and former sets of a new group. A VM that
// started recently doesn't know the former sets. The most likely one is the
// present set without this VM.
func (g *group) initSets(now time.Time, f *fleet) {
	if g.engine.uptime(now) < g.engine.opts.RetransmissionWindow {
		g.formerSets = append(g.formerSets, formerSet{
			set:   f.setOf(g.id, g.service, g.engine.opts.Self),
			until: g.engine.startedAt,
		})
	}
	for _, former := range f.formerFleets {
		g.recordFormerSet(former.until, former.fleet.setOf(g.id, g.service, 0))
	}
	g.fleet = f
	g.set = f.setOf(g.id, g.service, 0)
	if n := len(g.formerSets); n > 0 && g.formerSets[n-1].set.dispatcher != g.set.dispatcher {
		g.tookOverAt = g.formerSets[n-1].until
	}
}

// recordFormerSet records that a set was in force until a point in time. Equal
// consecutive sets are merged.
func (g *group) recordFormerSet(until time.Time, s set) {
	if n := len(g.formerSets); n > 0 && g.formerSets[n-1].set.equal(s) {
		g.formerSets[n-1].until = until
		return
	}
	g.formerSets = append(g.formerSets, formerSet{set: s, until: until})
}

func (s set) equal(t set) bool {
	return s.dispatcher == t.dispatcher && slices.Equal(s.members, t.members)
}

// applyFleet updates the group's sets for a new view.
func (g *group) applyFleet(now time.Time, f *fleet) {
	g.fleet = f
	g.formerSets = slices.DeleteFunc(g.formerSets, func(s formerSet) bool {
		return now.Sub(s.until) >= g.engine.opts.RetransmissionWindow
	})
	next := f.setOf(g.id, g.service, 0)
	if !next.equal(g.set) {
		g.recordFormerSet(now, g.set)
	}
	if self := g.engine.opts.Self; next.dispatcher == self && g.set.dispatcher != self && now.Sub(g.lastDispatched) > dispatchIdleGap {
		g.tookOverAt = now
	}
	g.set = next
	g.adoptOrphans(now)
}

func (e *Engine) uptime(now time.Time) time.Duration { return now.Sub(e.startedAt) }

// historyDepth returns how far back this VM remembers all requests of the group:
// to the start of its process, or to the newest tombstone that a flood forced it
// to drop early.
func (g *group) historyDepth(now time.Time) time.Duration {
	return min(g.engine.uptime(now), g.tombstones.completeFor(now))
}

// dispatcherChangedWithin reports whether another VM may have been the dispatcher
// within the last d.
func (g *group) dispatcherChangedWithin(now time.Time, d time.Duration) bool {
	if g.historyDepth(now) < d || g.engine.regroupedWithin(now, g.id.service, d) {
		return true
	}
	for i := range g.formerSets {
		former := &g.formerSets[i]
		if now.Sub(former.until) < d && former.set.dispatcher != g.engine.opts.Self {
			return true
		}
	}
	return false
}
