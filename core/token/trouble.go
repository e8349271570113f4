package token

import (
	"maps"
	"math"
	"slices"
	"time"

	"baobabstep"
)

// urgentReportQueue holds the targets to report to the other VMs of the data centre at
// once. Each VM sees only a few of a target's flows, and callers lose time with every
// delay.
type urgentReportQueue struct {
	targetSet
	// pending holds a value while the set is not empty.
	pending chan struct{}
}

func newUrgentReportQueue() *urgentReportQueue {
	return &urgentReportQueue{pending: make(chan struct{}, 1)}
}

func (t *urgentReportQueue) add(id baobabstep.TargetID) {
	t.targetSet.add(id)
	select {
	case t.pending <- struct{}{}:
	default:
	}
}

// UrgentReportsPending returns a channel that holds a value while TakeUrgentReports has
// reports.
func (r *Router) UrgentReportsPending() <-chan struct{} { return r.urgentReports.pending }

// TakeUrgentReports returns reports on the targets that, since the last call, left a flow
// unanswered or were heard from although other VMs report them as silent.
func (r *Router) TakeUrgentReports(now time.Time) (list []baobabstep.TargetLoad) {
	targets := r.current.Load().targets
	for _, id := range r.urgentReports.take() {
		if t := targets[id]; t != nil && r.enabled(MechanismAlarms) {
			report := t.load.silenceReport(now)
			report.Target = id
			list = append(list, report)
		}
	}
	return list
}

// SetSilenceReports sets other VMs' reports on the silence of some targets; their other
// reports stay as they are.
func (r *Router) SetSilenceReports(now time.Time, reports map[baobabstep.TargetID]baobabstep.TargetLoad) {
	targets := r.current.Load().targets
	for _, id := range slices.Sorted(maps.Keys(reports)) { // sorted, because avoidIfRefusing draws a random number for each
		if t := targets[id]; t != nil {
			if t.load.setSilence(r.applicableReport(reports[id])) {
				r.noteHeardAgain(now, t)
			}
			r.avoidIfRefusing(now, t)
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
