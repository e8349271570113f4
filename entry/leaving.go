package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// leavingMarks are the targets that get no new flows because of changes that do not apply yet, and
// the newest revision of these changes.
type leavingMarks struct {
	targets  map[baobabstep.TargetID]bool
	revision baobabstep.Revision
}

// markLeaving keeps new flows from the targets that leave or end by a change that does not apply
// yet.
func (sc *stateCache) markLeaving(now time.Time, c *heartbeat.Change) {
	if c.Kind != heartbeat.Targets {
		return
	}
	leaving, err := c.LeavingTargets()
	if err != nil {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	leaving = slices.DeleteFunc(leaving, func(r baobabstep.Registration) bool {
		known, ok := sc.targets.Get(r.ID)
		return !ok || known.StartedMS != r.StartedMS
	})
	if len(leaving)+len(c.RemovedTargets) == 0 {
		return
	}
	sc.logLeaving(now, heartbeat.Difference{Put: leaving, Removed: c.RemovedTargets}, c.Result.Revision(), viaMark, origin{source: sourcePeer})
	sc.router.ChangeRegistrations(now, leaving, c.RemovedTargets)
	sc.marks.add(leaving, c)
}

func (m *leavingMarks) add(leaving []baobabstep.Registration, c *heartbeat.Change) {
	if m.targets == nil {
		m.targets = make(map[baobabstep.TargetID]bool)
	}
	for i := range leaving {
		m.targets[leaving[i].ID] = true
	}
	for _, id := range c.RemovedTargets {
		m.targets[id] = true
	}
	if m.revision.Before(c.Result.Revision()) {
		m.revision = c.Result.Revision()
	}
}

// clearMarks applies the cached registrations of the marked targets once these are as new as the
// changes that marked them. The caller holds sc.mu.
func (sc *stateCache) clearMarks(now time.Time) {
	if len(sc.marks.targets) == 0 || sc.states[heartbeat.Targets].revision.Before(sc.marks.revision) {
		return
	}
	var present []baobabstep.Registration
	var gone []baobabstep.TargetID
	for _, id := range slices.Sorted(maps.Keys(sc.marks.targets)) {
		if r, ok := sc.targets.Get(id); ok {
			present = append(present, r)
		} else {
			gone = append(gone, id)
		}
	}
	sc.marks = leavingMarks{}
	sc.router.ChangeRegistrations(now, present, gone)
}

// Ways in which a VM learns that targets leave, as they appear in the log.
const (
	viaList    = "list"
	viaChange  = "change"
	viaSection = "section"
	// viaMark is a change that does not apply yet.
	viaMark = "mark"
)

// leavingClass is the class of log lines about targets that leave.
const leavingClass = "targets leave"

// logLeaving logs the targets that a difference to the cached registrations keeps from new flows.
// The caller holds sc.mu.
func (sc *stateCache) logLeaving(now time.Time, d heartbeat.Difference, revision baobabstep.Revision, via string, from origin) {
	draining, gone := sc.leavingIn(d)
	if len(draining)+len(gone) == 0 || !sc.limits.Wanted(now, leavingClass) {
		return
	}
	fields := log.Fields{"draining": draining, "gone": gone, "revision": revision.Number, "via": via, "source": from.source}
	if !from.confirmedAt.IsZero() {
		fields["age_ms"] = now.Sub(from.confirmedAt).Milliseconds()
	}
	sc.log.WithFields(fields).Info(leavingClass)
}

// leavingIn returns the names of the cached targets that get new flows until a difference applies:
// those that it says are draining, and those that it removes. The caller holds sc.mu.
func (sc *stateCache) leavingIn(d heartbeat.Difference) (draining, gone []string) {
	accepting := func(id baobabstep.TargetID) bool {
		known, ok := sc.targets.Get(id)
		return ok && !known.Draining
	}
	for i := range d.Put {
		if d.Put[i].Draining && accepting(d.Put[i].ID) {
			draining = append(draining, targetName(d.Put[i].ID))
		}
	}
	for _, id := range d.Removed {
		if accepting(id) {
			gone = append(gone, targetName(id))
		}
	}
	return draining, gone
}
