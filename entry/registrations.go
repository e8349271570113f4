package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// updateTargets replaces all registrations by those of a revision. It returns the same as
// updateRoutes.
func (sc *stateCache) updateTargets(now time.Time, list []baobabstep.Registration, revision baobabstep.Revision, from origin) (changed bool, change *heartbeat.Change, err error) {
	next, err := heartbeat.NewRegistrations(list)
	if err != nil {
		return false, nil, err
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	cached := &sc.states[heartbeat.Targets]
	if from.source == sourceStore && !cached.revisionFromReplica && revision.Era == cached.revision.Era && revision.Before(cached.revision) {
		if merged := sc.mergeHistory(next, revision); merged != nil {
			next, list, revision = merged, merged.List(), cached.revision
		}
	}
	first := !cached.isKnown()
	if !sc.needsUpdate(now, heartbeat.Targets, next.Checksum(), revision, from) {
		return false, nil, nil
	}
	var d heartbeat.Difference
	if !first {
		d = sc.targets.DiffTo(next)
		sc.logLeaving(now, d, revision, viaList, from)
		if err := sc.recordDifference(d, next.Checksum(), revision); err != nil {
			return false, nil, err
		}
	}
	sc.targets = next
	oldSum := sc.setContent(now, heartbeat.Targets, next.Checksum(), revision, from)
	if !first {
		change = heartbeat.NewTargetsChange(d, oldSum, cached.announced(now))
	}
	sc.pendingSections, sc.sectionsMissing = heartbeat.Difference{}, false
	sc.router.SetRegistrations(now, list)
	sc.updateMarks(now)
	sc.logTargetsChanged(from)
	return true, change, nil
}

// recordDifference adds the difference from the cached registrations to those of a revision, with a
// checksum, to the history. The cached registrations are no longer valid afterwards.
//
// A read can make more changes at once than a message holds. They are recorded as several changes,
// each with a revision of its own, so that other VMs get them in steps. The store has had that many
// revisions in between, as each target writes its registration itself; a VM that loses a step
// requests the following ones. Few others hold a base that is unconfirmed, so steps from it would only
// keep them from the sections that they need. The caller holds sc.mu.
func (sc *stateCache) recordDifference(d heartbeat.Difference, sum uint64, revision baobabstep.Revision) error {
	cached := &sc.states[heartbeat.Targets]
	from := cached.revision
	parts := []heartbeat.Difference{d}
	if len(d.Put)+len(d.Removed) > maxStepTargets && !cached.unconfirmed {
		parts = d.Split(maxStepTargets)
	}
	if from.Era != revision.Era || revision.Number < from.Number+uint64(len(parts)) {
		parts = []heartbeat.Difference{d}
	}
	last := len(parts) - 1
	for i, part := range parts[:last] {
		if err := sc.targets.Apply(part); err != nil {
			return err
		}
		to := baobabstep.Revision{Era: revision.Era, Number: revision.Number - uint64(last-i)}
		sc.history.Add(from, to, sc.targets.Checksum(), part)
		from = to
	}
	sc.history.Add(from, revision, sum, parts[last])
	return nil
}

// mergeHistory applies to next, which was read from the store at an older revision, the
// changes in the history since then. It returns nil if the history does not reach back that
// far or on an error. Without the merge, no read would confirm the cached targets while
// changes arrive faster than all pages can be read, and every VM would read the store itself.
// The caller holds sc.mu.
func (sc *stateCache) mergeHistory(next *heartbeat.Registrations, revision baobabstep.Revision) *heartbeat.Registrations {
	d, ok := sc.history.Since(revision)
	if !ok {
		return nil
	}
	if err := next.Apply(d); err != nil {
		return nil
	}
	return next
}

func (sc *stateCache) logTargetsChanged(from origin) {
	sc.log.WithFields(log.Fields{
		"revision": sc.states[heartbeat.Targets].revision.Number, "era": sc.states[heartbeat.Targets].revision.Era, "targets": sc.targets.Len(), "source": from.source,
	}).Info("targets changed")
}

// applyTargetChanges applies changes that a watch reported, up to a revision. It ignores them
// if the cached revision is not older.
func (sc *stateCache) applyTargetChanges(now time.Time, changes []baobabstep.RegistrationChange, revision baobabstep.Revision) (changed bool, change *heartbeat.Change, err error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	cached := &sc.states[heartbeat.Targets]
	if !cached.revision.Before(revision) {
		sc.recordOutdated(now, heartbeat.Targets, revision, origin{source: sourceWatch})
		return false, nil, nil
	}
	d := sc.netDifference(changes)
	if d.Empty() {
		sc.setRevision(now, heartbeat.Targets, revision)
		return false, nil, nil
	}
	oldSum, err := sc.applyDifference(now, d, revision, origin{source: sourceWatch})
	if err != nil {
		return false, nil, err
	}
	return true, heartbeat.NewTargetsChange(d, oldSum, cached.announced(now)), nil
}

// watchedBatch holds consecutive changes up to a revision.
type watchedBatch struct {
	changes  []baobabstep.RegistrationChange
	revision baobabstep.Revision
}

// splitChanges divides changes that a watch reported up to a revision into batches that each fit
// one message to peers.
func splitChanges(changes []baobabstep.RegistrationChange, revision baobabstep.Revision) (batches []watchedBatch) {
	for part := range slices.Chunk(changes, maxStepTargets) {
		batches = append(batches, watchedBatch{changes: part, revision: part[len(part)-1].Revision})
	}
	batches[len(batches)-1].revision = revision
	return batches
}

// netDifference returns the net effect on the cached targets of changes in the order in which
// they were made.
func (sc *stateCache) netDifference(changes []baobabstep.RegistrationChange) (d heartbeat.Difference) {
	latest := make(map[baobabstep.TargetID]*baobabstep.RegistrationChange)
	for i := range changes {
		if sc.states[heartbeat.Targets].revision.Before(changes[i].Revision) {
			latest[changes[i].Registration.ID] = &changes[i]
		}
	}
	for _, id := range slices.Sorted(maps.Keys(latest)) {
		old, exists := sc.targets.Get(id)
		switch c := latest[id]; {
		case c.Removed && exists:
			d.Removed = append(d.Removed, id)
		case !c.Removed && (!exists || old != c.Registration):
			d.Put = append(d.Put, c.Registration)
		}
	}
	return d
}

// applyDifference applies a difference to the targets and the router, and returns the previous
// checksum. The caller holds sc.mu.
func (sc *stateCache) applyDifference(now time.Time, d heartbeat.Difference, revision baobabstep.Revision, from origin) (oldSum uint64, err error) {
	sc.logLeaving(now, d, revision, viaChange, from)
	if err := sc.targets.Apply(d); err != nil {
		return 0, err
	}
	sc.applyPendingSections(now)
	sc.sectionsMissing = false
	sc.history.Add(sc.states[heartbeat.Targets].revision, revision, sc.targets.Checksum(), d)
	oldSum = sc.setContent(now, heartbeat.Targets, sc.targets.Checksum(), revision, from)
	sc.router.ChangeRegistrations(now, d.Put, d.Removed)
	sc.updateMarks(now)
	sc.logTargetsChanged(from)
	return oldSum, nil
}

const (
	// maxStepTargets limits the targets in a change, so that it fits the limit on fragments.
	maxStepTargets = 200
	// maxResponseTargets limits the targets in the changes of one response.
	maxResponseTargets = 600
)

// targetsChangesSince returns consecutive changes from the registrations of a revision, with
// checksum sum, towards the cached ones, or false if the history does not reach back that far.
func (sc *stateCache) targetsChangesSince(now time.Time, revision baobabstep.Revision, sum uint64) (changes []*heartbeat.Change, ok bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	steps, ok := sc.history.Steps(revision, maxStepTargets, maxResponseTargets)
	if !ok {
		return nil, false
	}
	current := sc.states[heartbeat.Targets].announced(now)
	for i := range steps {
		held := heartbeat.MakeVersionInfo(steps[i].To, steps[i].Checksum, heartbeat.MaxAge)
		if steps[i].Checksum == current.Checksum {
			held = current
		}
		changes = append(changes, heartbeat.NewTargetsChange(steps[i].Difference, sum, held))
		sum = steps[i].Checksum
	}
	return changes, true
}
