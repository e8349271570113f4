package target

import (
	"slices"
	"time"

	"baobabstep"
)

// probeAssignment is one target that this VM probes.
type probeAssignment struct {
	entry *entry
	dueAt time.Time
}

// assignProbes determines which targets this VM probes. Each is probed by the
// first Probers VMs of its data centre by rendezvous hashing, or of the whole
// view if its data centre has none. The caller holds r.mu.
func (r *Registry) assignProbes(now time.Time) {
	if r.view == nil {
		return
	}
	oldDue := make(map[*entry]time.Time, len(r.assignments))
	for _, p := range r.assignments {
		oldDue[p.entry] = p.dueAt
	}
	members := membersByDataCentre(r.view)
	r.assignments = nil
	for _, e := range r.index.Load().list {
		assigned := !e.removed && r.isProber(members, e, e.target.ID)
		e.pool.mu.Lock()
		e.setProber(assigned)
		e.pool.mu.Unlock()
		if !assigned {
			continue
		}
		next, ok := oldDue[e]
		if !ok {
			next = now.Add(r.jitter(r.opts.ProbeInterval))
		}
		r.assignments = append(r.assignments, probeAssignment{entry: e, dueAt: next})
	}
	slices.SortFunc(r.assignments, func(a, b probeAssignment) int { return a.dueAt.Compare(b.dueAt) })
}

// setProber resets the probe results when an assignment begins or ends.
func (e *entry) setProber(assigned bool) {
	h := &e.health
	if h.prober != assigned {
		// Probes of an earlier assignment are outdated.
		h.goodProbes = 0
		e.pool.dirty = true
	}
	if h.prober && !assigned {
		h.missed = 0
		h.probePending = false
		e.setDown(false)
	}
	h.prober = assigned
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

func (r *Registry) isProber(members map[string][]baobabstep.VMID, e *entry, id baobabstep.TargetID) bool {
	vms := members[e.target.DataCentre]
	if len(vms) == 0 {
		vms = members[""]
	}
	if !slices.Contains(vms, r.opts.Self) {
		return false
	}
	ownScore := proberScore(r.opts.Self, id)
	higher := 0
	for _, vm := range vms {
		if proberScore(vm, id) > ownScore {
			higher++
		}
	}
	return higher < r.opts.Probers
}

func proberScore(vm baobabstep.VMID, id baobabstep.TargetID) uint64 {
	return mix(mix(uint64(vm)) ^ uint64(id))
}

// jitter returns a random duration below d. The caller holds r.mu.
func (r *Registry) jitter(d time.Duration) time.Duration {
	return time.Duration(r.opts.Rand.Int64N(int64(d)))
}

// ProbeTargets returns the targets to probe now. A probe without an answer by
// the time the next one is due counts as missed.
func (r *Registry) ProbeTargets(now time.Time) []baobabstep.TargetID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []baobabstep.TargetID
	for i := range r.assignments {
		a := &r.assignments[i]
		if now.Before(a.dueAt) {
			continue
		}
		a.dueAt = now.Add(r.opts.ProbeInterval*3/4 + r.jitter(r.opts.ProbeInterval/2))
		due = append(due, r.startProbe(a.entry))
	}
	return due
}

func (r *Registry) startProbe(e *entry) baobabstep.TargetID {
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
