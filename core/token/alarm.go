package token

import (
	"maps"
	"math"
	"slices"
	"time"

	"baobabstep"
)

// alarmQueue holds the targets to report to the other VMs of the data centre at once. Each
// VM sees only a few of a target's flows, and callers lose time with every delay.
type alarmQueue struct {
	targetSet
	// pending holds a value while the set is not empty.
	pending chan struct{}
}

func newAlarmQueue() *alarmQueue {
	return &alarmQueue{pending: make(chan struct{}, 1)}
}

func (t *alarmQueue) add(id baobabstep.TargetID) {
	t.targetSet.add(id)
	select {
	case t.pending <- struct{}{}:
	default:
	}
}

// AlarmsPending returns a channel that holds a value while TakeAlarms has loads.
func (r *Router) AlarmsPending() <-chan struct{} { return r.alarms.pending }

// TakeAlarms returns the loads of the targets that, since the last call, left a flow
// unanswered or were heard from although other VMs report them as silent.
func (r *Router) TakeAlarms(now time.Time) (list []baobabstep.TargetLoad) {
	targets := r.current.Load().targets
	for _, id := range r.alarms.take() {
		if t := targets[id]; t != nil && r.enabled(MechanismAlarms) {
			load := t.load.silenceReport(now)
			load.Target = id
			list = append(list, load)
		}
	}
	return list
}

// SetSilenceReports sets other VMs' reports on the silence of some targets; the rest of
// their loads stays as it is.
func (r *Router) SetSilenceReports(now time.Time, reports map[baobabstep.TargetID]baobabstep.TargetLoad) {
	targets := r.current.Load().targets
	for _, id := range slices.Sorted(maps.Keys(reports)) { // sorted, because avoidIfRefusing draws a random number for each
		if t := targets[id]; t != nil {
			if t.load.setSilence(r.applicableLoad(reports[id])) {
				r.noteHeardAgain(now, t)
			}
			r.avoidIfRefusing(now, t)
			t.load.updateVerdict(now, r.alone())
			if r.enabled(MechanismCongestion) && t.load.contradictsReports(now) {
				r.alarms.add(id)
			}
		}
	}
}

// noteHeardAgain records that another VM heard from a target that was avoided.
func (r *Router) noteHeardAgain(now time.Time, t *target) {
	r.record(now, EventHeard, r.current.Load(), nil, t, nil)
	r.presumeCold(now, t)
}

// avoidIfRefusing starts an avoidance of a target that accepts no flows. Its duration is
// drawn at random so that the trials of the VMs are spread.
func (r *Router) avoidIfRefusing(now time.Time, t *target) {
	if r.enabled(MechanismAvoidance) {
		if t.load.startAvoidance(now, r.vmCount(), float64(r.randomUint64())/math.MaxUint64) {
			r.record(now, EventAvoided, r.current.Load(), nil, t, nil)
		}
	}
}
