package entry

import (
	"context"
	"errors"
	"time"

	"baobabstep"
)

func (f *follower) readDesired(ctx context.Context, how baobabstep.Freshness) (baobabstep.Revision, error) {
	began := f.node.clock.Now()
	state, revision, err := f.directory.Desired(ctx, how)
	if state == nil {
		return baobabstep.Revision{}, err
	}
	from := readFrom(how, began, f.node.o.Settings.Token.DesiredApply())
	err = errors.Join(err, f.node.learnEvacuations(state.Evacuated, revision, from))
	if state.Table == nil {
		return baobabstep.Revision{}, err
	}
	return revision, errors.Join(err, f.node.learnRoutes(state.Table, from))
}

// readFrom returns the origin of what was read. What a copy held is taken to be as
// old as the bound allows, until the store or another VM says that it still holds.
func readFrom(how baobabstep.Freshness, began time.Time, within time.Duration) origin {
	if how == baobabstep.Recent {
		return origin{source: sourceCopy, confirmed: began.Add(-within), recent: true}
	}
	return origin{source: sourceStore, confirmed: began}
}

func (f *follower) watchDesired(ctx context.Context, after baobabstep.Revision) (baobabstep.Revision, bool, error) {
	change, revision, err := f.directory.WatchDesired(ctx, after, watchWait)
	if err != nil || change.Empty() {
		return revision, false, err
	}
	if len(change.Evacuations) > 0 {
		err = f.node.watchEvacuations(change.Evacuations)
	}
	if change.Table != nil {
		// The table was the newest when the watch returned, like one that is read;
		// what the watch may have passed over comes with the next reading.
		err = errors.Join(err, f.node.learnRoutes(change.Table, origin{source: sourceWatch, confirmed: f.node.clock.Now()}))
	}
	return revision, true, err
}

// readFirstTargets reads the first page of targets. If there are more, the VM routes
// flows to these until it has received the others.
func (f *follower) readFirstTargets(ctx context.Context, how baobabstep.Freshness) (baobabstep.Revision, error) {
	began := f.node.clock.Now()
	list, complete, revision, err := f.directory.FirstRegistrations(ctx, how)
	switch {
	case err != nil:
		return baobabstep.Revision{}, err
	case complete:
		return revision, f.node.learnTargets(list, revision, readFrom(how, began, f.node.o.Settings.Token.Drain()))
	}
	return baobabstep.Revision{}, f.node.beliefs.holdIncomplete(f.node.clock.Now(), list)
}

func (f *follower) readTargets(ctx context.Context, how baobabstep.Freshness) (baobabstep.Revision, error) {
	began := f.node.clock.Now()
	list, revision, err := f.directory.Registrations(ctx, how)
	if err != nil {
		return baobabstep.Revision{}, err
	}
	return revision, f.node.learnTargets(list, revision, readFrom(how, began, f.node.o.Settings.Token.Drain()))
}

func (f *follower) watchTargets(ctx context.Context, after baobabstep.Revision) (baobabstep.Revision, bool, error) {
	changes, revision, err := f.directory.WatchRegistrations(ctx, after, watchWait)
	if err != nil || len(changes) == 0 {
		return revision, false, err
	}
	changed, change, err := f.node.beliefs.changeTargets(f.node.clock.Now(), changes, revision)
	if changed {
		f.node.handOn(change, true)
	}
	return revision, true, err
}
