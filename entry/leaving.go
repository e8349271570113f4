package entry

import (
	"maps"
	"slices"
	"time"

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
