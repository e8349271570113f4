package target

import (
	"slices"
	"time"

	"baobabstep"
)

// assignment is one target that this VM probes.
type assignment struct {
	entry *entry
	next  time.Time
}

// assignProbes works out which targets this VM probes: each is probed by the
// first Probers VMs of its data centre by rendezvous hashing, or of the whole
// view when its data centre has none. The caller holds r.mu.
func (r *Registry) assignProbes(now time.Time) {
	if r.view == nil {
		return
	}
	old := make(map[*entry]time.Time, len(r.assignments))
	for _, d := range r.assignments {
		old[d.entry] = d.next
	}
	members := membersByDataCentre(r.view)
	r.assignments = nil
	for _, e := range r.index.Load().list {
		mine := !e.removed && r.probes(members, e, e.target.ID)
		e.pool.mu.Lock()
		e.setProber(mine)
		e.pool.mu.Unlock()
		if !mine {
			continue
		}
		next, ok := old[e]
		if !ok {
			next = now.Add(r.jitter(r.opts.ProbeInterval))
		}
		r.assignments = append(r.assignments, assignment{entry: e, next: next})
	}
	slices.SortFunc(r.assignments, func(a, b assignment) int { return a.next.Compare(b.next) })
}

// setProber drops findings of a assignment that ended.
func (e *entry) setProber(mine bool) {
	h := &e.health
	if h.prober != mine {
		// Probes of an earlier assignment prove nothing.
		h.goodProbes = 0
		e.pool.dirty = true
	}
	if h.prober && !mine {
		h.missed = 0
		h.probePending = false
		e.setDown(false)
	}
	h.prober = mine
}

func membersByDataCentre(v *baobabstep.View) map[string][]baobabstep.VMID {
	m := make(map[string][]baobabstep.VMID)
	for i := range v.Members {
		vm := &v.Members[i]
		m[vm.DataCentre] = append(m[vm.DataCentre], vm.ID)
		m[""] = append(m[""], vm.ID)
	}
	return m
}

func (r *Registry) probes(members map[string][]baobabstep.VMID, e *entry, id baobabstep.TargetID) bool {
	vms := members[e.target.DataCentre]
	if len(vms) == 0 {
		vms = members[""]
	}
	if !slices.Contains(vms, r.opts.Self) {
		return false
	}
	own := rank(r.opts.Self, id)
	above := 0
	for _, vm := range vms {
		if rank(vm, id) > own {
			above++
		}
	}
	return above < r.opts.Probers
}

func rank(vm baobabstep.VMID, id baobabstep.TargetID) uint64 {
	return mix(mix(uint64(vm)) ^ uint64(id))
}

// jitter returns a random time below d. The caller holds r.mu.
func (r *Registry) jitter(d time.Duration) time.Duration {
	return time.Duration(r.opts.Rand.Int64N(int64(d)))
}

// ProbeTargets returns the targets to probe now. A probe that was not answered
// when the next one is due counts as missed.
func (r *Registry) ProbeTargets(now time.Time) []baobabstep.TargetID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []baobabstep.TargetID
	for i := range r.assignments {
		d := &r.assignments[i]
		if now.Before(d.next) {
			continue
		}
		d.next = now.Add(r.opts.ProbeInterval*3/4 + r.jitter(r.opts.ProbeInterval/2))
		due = append(due, r.probe(d.entry))
	}
	return due
}

func (r *Registry) probe(e *entry) baobabstep.TargetID {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	h := &e.health
	if h.probePending {
		h.missed++
		h.goodProbes = 0
		e.pool.dirty = e.pool.dirty || e.reg().cutOff(e.target.DataCentre)
	}
	if h.missed >= r.opts.ProbeMisses {
		e.setDown(true)
	}
	h.probePending = true
	return e.target.ID
}
