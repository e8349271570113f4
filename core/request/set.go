package request

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

// setSize is the number of VMs that keep the claims of a group. Three is the
// least number of which one may die without any claim being lost or stalled.
const setSize = 3

// fleet is a view with what is looked up in it.
type fleet struct {
	view   *baobabstep.View
	states map[baobabstep.VMID]baobabstep.VMState
	// former are the fleets of a short time ago, the oldest first. A group
	// that is first used after a change needs them as much as one that was
	// there before.
	former []formerFleet
}

type formerFleet struct {
	fleet *fleet
	until time.Time
}

// newFleet returns the fleet of a view that follows old.
func newFleet(now time.Time, v *baobabstep.View, old *fleet, remember time.Duration) *fleet {
	f := &fleet{view: v, states: make(map[baobabstep.VMID]baobabstep.VMState, len(v.Members))}
	if old != nil {
		for _, past := range old.former {
			if now.Sub(past.until) < remember {
				f.former = append(f.former, past)
			}
		}
		last := *old
		last.former = nil
		f.former = append(f.former, formerFleet{&last, now})
	}
	for i := range v.Members {
		f.states[v.Members[i].ID] = v.Members[i].State
	}
	return f
}

func (f *fleet) has(vm baobabstep.VMID) bool {
	_, ok := f.states[vm]
	return ok
}

func (f *fleet) suspect(vm baobabstep.VMID) bool {
	return f.states[vm] == baobabstep.VMSuspect
}

// set is the VMs that keep the claims of a group.
type set struct {
	// members has the best rendezvous score first.
	members []baobabstep.VMID
	// acting is the dispatcher: the first member that is not suspect. A
	// suspect member keeps its vote, since it may be alive.
	acting baobabstep.VMID
}

// formerSet is a set that was in force until a moment ago.
type formerSet struct {
	set   set
	until time.Time
}

// scored is a VM with its rendezvous score for a group.
type scored struct {
	vm         baobabstep.VMID
	dataCentre string
	score      uint64
}

// setOf computes the set of a group, leaving out one VM.
func (f *fleet) setOf(id groupID, s *baobabstep.Service, without baobabstep.VMID) set {
	var all []scored
	for i := range f.view.Members {
		vm := &f.view.Members[i]
		if vm.ID == without || !f.serves(s, vm.DataCentre) {
			continue
		}
		all = append(all, scored{vm.ID, vm.DataCentre, score(vm.ID, id)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})
	var r set
	for _, m := range spread(all) {
		r.members = append(r.members, m.vm)
		if r.acting == 0 && !f.suspect(m.vm) {
			r.acting = m.vm
		}
	}
	if r.acting == 0 && len(r.members) > 0 {
		r.acting = r.members[0]
	}
	return r
}

// spread returns the best VMs, of different data centres as far as there are:
// when one data centre is cut off, the others still have most of each set.
func spread(all []scored) []scored {
	var best, rest []scored
	for _, m := range all {
		taken := slices.ContainsFunc(best, func(b scored) bool { return b.dataCentre == m.dataCentre })
		if taken || len(best) == setSize {
			rest = append(rest, m)
			continue
		}
		best = append(best, m)
	}
	missing := min(setSize-len(best), len(rest))
	return append(best, rest[:missing]...)
}

// serves tells whether VMs of a data centre may dispatch for a service: those
// of its own data centres, or all when none of these has a VM.
func (f *fleet) serves(s *baobabstep.Service, dataCentre string) bool {
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

// reached counts the service's data centres that have a VM which is not
// suspect. A side of a partition has to stop claiming well before the other
// side begins to count without it, and suspicion comes before death.
func (f *fleet) reached(s *baobabstep.Service) int {
	n := 0
	for _, d := range s.DataCentres {
		if f.reaches(d) {
			n++
		}
	}
	return n
}

// whole tells whether no data centre of the service is cut off or down.
func (f *fleet) whole(s *baobabstep.Service) bool { return f.reached(s) == len(s.DataCentres) }

func (f *fleet) reaches(dataCentre string) bool {
	for i := range f.view.Members {
		vm := &f.view.Members[i]
		if vm.DataCentre == dataCentre && vm.State != baobabstep.VMSuspect {
			return true
		}
	}
	return false
}

// mayClaim tells whether this side of a possible partition may own claims: it
// has VMs in most of the service's data centres, or in half of them with the
// first by name among them, since only one side can have that.
func (f *fleet) mayClaim(s *baobabstep.Service) bool {
	n := len(s.DataCentres)
	if n == 0 {
		return true
	}
	reached := f.reached(s)
	if 2*reached == n {
		return f.reaches(slices.Min(s.DataCentres))
	}
	return 2*reached > n
}

func score(vm baobabstep.VMID, id groupID) uint64 {
	return mix(mix(uint64(vm)^0xa0761d6478bd642f) ^ mix(uint64(id.service)+uint64(id.index)*0x9e3779b97f4a7c15))
}

// mix is a bijection whose output bits all depend on all input bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// start sets up the sets of a new group. A VM that started a short time ago
// does not know the sets of before; the most likely one is the present one
// without itself.
func (g *group) start(now time.Time, f *fleet) {
	if g.engine.age(now) < g.engine.opts.Remember {
		g.former = append(g.former, formerSet{
			set:   f.setOf(g.id, g.service, g.engine.opts.Self),
			until: g.engine.started,
		})
	}
	for _, past := range f.former {
		g.change(past.until, past.fleet.setOf(g.id, g.service, 0))
	}
	g.fleet = f
	g.set = f.setOf(g.id, g.service, 0)
	if n := len(g.former); n > 0 && g.former[n-1].set.acting != g.set.acting {
		g.took = g.former[n-1].until
	}
}

// change notes that a set was in force until a moment. Neighbours that are
// alike are kept once.
func (g *group) change(until time.Time, s set) {
	if n := len(g.former); n > 0 && g.former[n-1].set.equal(s) {
		g.former[n-1].until = until
		return
	}
	g.former = append(g.former, formerSet{set: s, until: until})
}

func (s set) equal(t set) bool { return s.acting == t.acting && slices.Equal(s.members, t.members) }

// follow takes over a new view.
func (g *group) follow(now time.Time, f *fleet) {
	g.fleet = f
	g.former = slices.DeleteFunc(g.former, func(s formerSet) bool {
		return now.Sub(s.until) >= g.engine.opts.Remember
	})
	next := f.setOf(g.id, g.service, 0)
	if !next.equal(g.set) {
		g.change(now, g.set)
	}
	if self := g.engine.opts.Self; next.acting == self && g.set.acting != self && now.Sub(g.lastServed) > idleGap {
		g.took = now
	}
	g.set = next
	g.adopt(now)
}

func (e *Engine) age(now time.Time) time.Duration { return now.Sub(e.started) }

// memory is how far back this VM remembers all requests of the group: to the
// start of its process, or to where a flood made it drop tombstones early.
func (g *group) memory(now time.Time) time.Duration {
	return min(g.engine.age(now), g.tombstones.reach(now))
}

// changedWithin tells whether another VM may have been the dispatcher a short
// time ago.
func (g *group) changedWithin(now time.Time, d time.Duration) bool {
	if g.memory(now) < d || g.engine.movedWithin(now, g.id.service, d) {
		return true
	}
	for i := range g.former {
		former := &g.former[i]
		if now.Sub(former.until) < d && former.set.acting != g.engine.opts.Self {
			return true
		}
	}
	return false
}
