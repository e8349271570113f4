package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/mix"
)

func (s *storeSyncer) readDesired(ctx context.Context, freshness baobabstep.Freshness) (baobabstep.Revision, error) {
	start := s.node.clock.Now()
	state, revision, err := s.directory.Desired(ctx, freshness)
	if state == nil {
		return baobabstep.Revision{}, err
	}
	from := s.readOrigin(freshness, start, s.node.options.Settings.Token.DesiredApply())
	err = errors.Join(err, s.node.updateEvacuations(state.Evacuated, revision, from))
	if state.Table == nil {
		return baobabstep.Revision{}, err
	}
	return revision, errors.Join(err, s.node.updateRoutes(state.Table, from))
}

// readOrigin returns the origin of content that was read. Content of a replica counts as
// maxAge old until the store or another VM confirms it.
func (s *storeSyncer) readOrigin(freshness baobabstep.Freshness, start time.Time, maxAge time.Duration) origin {
	if freshness == baobabstep.Recent {
		return origin{source: sourceReplica, confirmedAt: start.Add(-maxAge), fromReplica: true}
	}
	return origin{source: sourceStore, confirmedAt: start, read: s.nextReadID()}
}

// nextReadID returns an identifier that no other read of any VM has, with high probability.
func (s *storeSyncer) nextReadID() heartbeat.ReadID {
	vm := uint64(s.node.options.Settings.VM().ID)
	incarnation := mix.Uint64(uint64(s.node.startedAt.UnixMilli()))
	return heartbeat.ReadID(max(1, uint32(mix.Uint64(vm^incarnation+s.readCount.Add(1)))))
}

func (s *storeSyncer) watchDesired(ctx context.Context, after baobabstep.Revision) (baobabstep.Revision, int, error) {
	change, revision, err := s.directory.WatchDesired(ctx, after, watchTimeout)
	if err != nil || change.Empty() {
		return revision, 0, err
	}
	changes := len(change.Evacuations)
	if len(change.Evacuations) > 0 {
		err = s.node.applyWatchedEvacuations(change.Evacuations)
	}
	if change.Table != nil {
		changes++
		// The table was the newest one when the watch returned, as after a read. Changes that
		// the watch may have missed arrive with the next read.
		err = errors.Join(err, s.node.updateRoutes(change.Table, origin{source: sourceWatch, confirmedAt: s.node.clock.Now(), read: s.nextReadID()}))
	}
	return revision, changes, err
}

// readFirstTargetsPage reads the first page of targets. If there are more pages, the VM routes
// flows to the targets of this page until it has received the others.
func (s *storeSyncer) readFirstTargetsPage(ctx context.Context, freshness baobabstep.Freshness) (baobabstep.Revision, error) {
	start := s.node.clock.Now()
	list, complete, revision, err := s.directory.FirstRegistrations(ctx, freshness)
	switch {
	case err != nil:
		return baobabstep.Revision{}, err
	case complete:
		return revision, s.node.updateTargets(list, revision, s.readOrigin(freshness, start, s.node.options.Settings.Token.Drain()))
	}
	return baobabstep.Revision{}, s.node.cache.addIncompleteTargets(s.node.clock.Now(), list)
}

func (s *storeSyncer) readTargets(ctx context.Context, freshness baobabstep.Freshness) (baobabstep.Revision, error) {
	start := s.node.clock.Now()
	list, revision, err := s.readAllRegistrations(ctx, freshness)
	if err != nil {
		return baobabstep.Revision{}, err
	}
	return revision, s.node.updateTargets(list, revision, s.readOrigin(freshness, start, s.node.options.Settings.Token.Drain()))
}

func (s *storeSyncer) watchTargets(ctx context.Context, after baobabstep.Revision) (baobabstep.Revision, int, error) {
	changes, revision, err := s.directory.WatchRegistrations(ctx, after, watchTimeout)
	if err != nil || len(changes) == 0 {
		return revision, 0, err
	}
	for _, batch := range splitChanges(changes, revision) {
		changed, change, err := s.node.cache.applyTargetChanges(s.node.clock.Now(), batch.changes, batch.revision)
		if err != nil {
			return revision, len(changes), err
		}
		if changed {
			s.node.publishChange(change, true)
		}
	}
	return revision, len(changes), nil
}

// readAllRegistrations reads all registrations as of one revision.
//
// Targets write between two pages, so the pages alone give a list that the store never held. Its
// checksum would match that of no peer, and no peer could apply a change made from it. The changes
// since the oldest page make it that of one revision.
func (s *storeSyncer) readAllRegistrations(ctx context.Context, freshness baobabstep.Freshness) ([]baobabstep.Registration, baobabstep.Revision, error) {
	read, err := s.directory.Registrations(ctx, freshness)
	if err != nil {
		return nil, baobabstep.Revision{}, err
	}
	at := read.Oldest
	var changes []baobabstep.RegistrationChange
	for at.Before(read.Newest) {
		more, next, err := s.directory.WatchRegistrations(ctx, at, 0)
		if err != nil || !at.Before(next) {
			return read.Registrations, read.Oldest, ctx.Err() // the next watch continues from the oldest page
		}
		changes, at = append(changes, more...), next
	}
	return applyChanges(read.Registrations, changes), at, nil
}

// applyChanges returns a list of registrations after changes, which are in the order in which they
// were made.
func applyChanges(list []baobabstep.Registration, changes []baobabstep.RegistrationChange) []baobabstep.Registration {
	last := make(map[baobabstep.TargetID]*baobabstep.RegistrationChange, len(changes))
	for i := range changes {
		last[changes[i].Registration.ID] = &changes[i]
	}
	list = slices.DeleteFunc(list, func(r baobabstep.Registration) bool { return last[r.ID] != nil })
	for _, c := range last {
		if !c.Removed {
			list = append(list, c.Registration)
		}
	}
	return list
}
