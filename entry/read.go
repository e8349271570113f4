package entry

import (
	"context"
	"time"

	"baobabstep"
)

func (f *follower) readRoutes(ctx context.Context, how baobabstep.Freshness) (baobabstep.Revision, error) {
	began := f.node.clock.Now()
	table, revision, err := f.directory.RoutingTable(ctx, how)
	if err != nil {
		return 0, err
	}
	return revision, f.node.learnRoutes(table, readFrom(how, began, f.node.o.Settings.Token.ConfigApply()))
}

// readFrom returns the origin of what was read. What a copy held is taken to be as
// old as the bound allows, until the store or another VM says that it still holds.
func readFrom(how baobabstep.Freshness, began time.Time, within time.Duration) origin {
	if how == baobabstep.Recent {
		return origin{source: sourceCopy, confirmed: began.Add(-within), recent: true}
	}
	return origin{source: sourceStore, confirmed: began}
}

func (f *follower) watchRoutes(ctx context.Context, after baobabstep.Revision) (baobabstep.Revision, bool, error) {
	table, revision, err := f.directory.WatchRoutingTable(ctx, after, watchWait)
	if err != nil || table == nil {
		return revision, false, err
	}
	// The table was the newest when the watch returned, like one that is read;
	// what the watch may have passed over comes with the next reading.
	return revision, true, f.node.learnRoutes(table, origin{source: sourceWatch, confirmed: f.node.clock.Now()})
}

func (f *follower) readTargets(ctx context.Context, how baobabstep.Freshness) (baobabstep.Revision, error) {
	began := f.node.clock.Now()
	list, revision, err := f.directory.Registrations(ctx, how)
	if err != nil {
		return 0, err
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
