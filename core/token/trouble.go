package token

import (
	"maps"
	"math"
	"slices"
	"time"

	"baobabstep"
)

// troubles are the targets of which the other VMs of the data centre are to hear
// at once: each VM sees few of their flows, and callers lose with each moment.
type troubles struct {
	targetSet
	// pending holds a value while the set is not empty.
	pending chan struct{}
}

func newTroubles() *troubles {
	return &troubles{pending: make(chan struct{}, 1)}
}

func (t *troubles) add(id baobabstep.TargetID) {
	t.targetSet.add(id)
	select {
	case t.pending <- struct{}{}:
	default:
	}
}

// Troubled yields a value when Troubles has something to tell.
func (r *Router) Troubled() <-chan struct{} { return r.troubles.pending }

// Troubles returns what to tell of targets that left a flow unanswered, or were
// heard of though others found them silent, since it was last asked.
func (r *Router) Troubles(now time.Time) (list []baobabstep.TargetLoad) {
	targets := r.current.Load().targets
	for _, id := range r.troubles.take() {
		if t := targets[id]; t != nil && r.on(MechanismAlarms) {
			told := t.load.toldSilence(now)
			told.Target = id
			list = append(list, told)
		}
	}
	return list
}

// SetSilence tells what other VMs say of the silence of some targets; all else that
// they said stays.
func (r *Router) SetSilence(now time.Time, said map[baobabstep.TargetID]baobabstep.TargetLoad) {
	targets := r.current.Load().targets
	for _, id := range slices.Sorted(maps.Keys(said)) { // in order: each draws
		if t := targets[id]; t != nil {
			if t.load.setSilence(r.heeded(said[id])) {
				r.heardAgain(now, t)
			}
			r.avoid(now, t)
		}
	}
}

// heardAgain notes that another VM heard of a target that was avoided.
func (r *Router) heardAgain(now time.Time, t *target) {
	r.record(now, EventHeard, r.current.Load(), nil, t, nil)
	r.presumeCold(now, t)
}

// avoid keeps new flows away from a target if it takes none, for a time that the
// VMs of the data centre draw so that their trials are spread.
func (r *Router) avoid(now time.Time, t *target) {
	if r.on(MechanismAvoidance) {
		if t.load.avoid(now, r.vms(), float64(r.draw())/math.MaxUint64) {
			r.record(now, EventAvoided, r.current.Load(), nil, t, nil)
		}
	}
}
