package entry

import (
	"context"

	"baobabstep"
)

func (f *follower) readRoutes(ctx context.Context) (baobabstep.Revision, error) {
	began := f.node.clock.Now()
	table, revision, err := f.directory.RoutingTable(ctx)
	if err != nil {
		return 0, err
	}
	return revision, f.node.learnRoutes(table, origin{source: sourceStore, confirmed: began})
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

func (f *follower) readTargets(ctx context.Context) (baobabstep.Revision, error) {
	began := f.node.clock.Now()
	list, revision, err := f.directory.Registrations(ctx)
	if err != nil {
		return 0, err
	}
	return revision, f.node.learnTargets(list, revision, origin{source: sourceStore, confirmed: began})
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
