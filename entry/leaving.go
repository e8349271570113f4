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
	// targets are the registrations of those that leave, nil for those that end.
	targets  map[baobabstep.TargetID]*baobabstep.Registration
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
		return ok && known.StartedMS > r.StartedMS // an earlier incarnation has left
	})
	if len(leaving)+len(c.RemovedTargets) == 0 {
		return
	}
	sc.logLeaving(now, heartbeat.Difference{Put: leaving, Removed: c.RemovedTargets}, c.Result.Revision(), viaMark, origin{source: sourcePeer})
	sc.marks.add(leaving, c)
	sc.applyMarks(now)
}

func (m *leavingMarks) add(leaving []baobabstep.Registration, c *heartbeat.Change) {
	if m.targets == nil {
		m.targets = make(map[baobabstep.TargetID]*baobabstep.Registration)
	}
	for i := range leaving {
		m.targets[leaving[i].ID] = &leaving[i]
	}
	for _, id := range c.RemovedTargets {
		m.targets[id] = nil
	}
	if m.revision.Before(c.Result.Revision()) {
		m.revision = c.Result.Revision()
	}
}

// applyMarks keeps new flows from the marked targets. The caller holds sc.mu.
func (sc *stateCache) applyMarks(now time.Time) {
	var leaving []baobabstep.Registration
	var gone []baobabstep.TargetID
	for _, id := range slices.Sorted(maps.Keys(sc.marks.targets)) {
		if r := sc.marks.targets[id]; r != nil {
			leaving = append(leaving, *r)
		} else {
			gone = append(gone, id)
		}
	}
	sc.router.ChangeRegistrations(now, leaving, gone)
}

// updateMarks applies the cached registrations of the marked targets once these are as new as the
// changes that marked them. Older ones that the router has just got do not end the marks. The
// caller holds sc.mu.
func (sc *stateCache) updateMarks(now time.Time) {
	if len(sc.marks.targets) == 0 {
		return
	}
	if sc.states[heartbeat.Targets].revision.Before(sc.marks.revision) {
		sc.applyMarks(now)
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
