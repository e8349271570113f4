package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"baobabstep"
)

const (
	// watchWait is how long a watch waits for a change; each counts as a call.
	watchWait = 20 * time.Second
	// routesAge is the age at which the routing table is read again whatever
	// the watch says: half of the time in which a table has to be in force
	// leaves the other half for a failed call.
	routesAge = 1500 * time.Millisecond
	// targetsAge is the same for registrations.
	targetsAge = 2 * time.Second
	// firstRetry and lastRetry bound the pauses after failed calls.
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
	// earlyEmpty is the share of its wait before which a watch that returns
	// nothing was cut.
	earlyEmpty = 0.9
)

// follower keeps the router in step with the directory.
//
// A watch brings news within milliseconds, but is no proof that there was none:
// while a store drops its history, a watch can pass over a change. So what was
// read is read again at a bounded age.
type follower struct {
	node      *Node
	directory baobabstep.Directory

	randLock sync.Mutex
	rand     *rand.Rand

	// mu guards registered and listed.
	mu         sync.Mutex
	registered map[baobabstep.TargetID]baobabstep.Registration
}

func newFollower(n *Node) *follower {
	return &follower{
		node:       n,
		directory:  n.o.Directory,
		rand:       rand.New(rand.NewPCG(n.o.Rand.Uint64(), n.o.Rand.Uint64())),
		registered: map[baobabstep.TargetID]baobabstep.Registration{},
	}
}

// reading is one thing that is read, then watched, and read again.
type reading struct {
	name string
	age  time.Duration
	read func(ctx context.Context) (baobabstep.Revision, error)
	// watch returns whether anything changed.
	watch func(ctx context.Context, after baobabstep.Revision, wait time.Duration) (baobabstep.Revision, bool, error)
}

func (f *follower) followRoutes(ctx context.Context) error {
	return f.follow(ctx, reading{name: "routes", age: routesAge, read: f.readRoutes, watch: f.watchRoutes})
}

func (f *follower) followTargets(ctx context.Context) error {
	return f.follow(ctx, reading{name: "targets", age: targetsAge, read: f.readTargets, watch: f.watchTargets})
}

// follow runs until ctx ends. A watch runs beside the readings; the earliest
// news counts.
func (f *follower) follow(ctx context.Context, r reading) error {
	revisions := make(chan baobabstep.Revision, 1)
	again := make(chan struct{}, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		f.watchAll(ctx, r, revisions, again)
	}()
	pauses := newPauses()
	lost := false
	for ctx.Err() == nil {
		revision, err := r.read(ctx)
		if ctx.Err() != nil {
			break
		}
		f.noteDependency(r.name, err, &lost)
		wait := r.age
		if err != nil {
			wait = pauses.NextBackOff()
		} else {
			pauses.Reset()
			offer(revisions, revision)
		}
		select {
		case <-ctx.Done():
		case <-again:
		case <-time.After(wait):
		}
	}
	<-ended
	return nil
}

// offer replaces what waits in a channel of one value.
func offer(c chan baobabstep.Revision, r baobabstep.Revision) {
	select {
	case <-c:
	default:
	}
	c <- r
}

// watchAll watches from the newest revision that was read, and asks for a new
// reading whenever a watch ended in another way than it should.
func (f *follower) watchAll(ctx context.Context, r reading, revisions <-chan baobabstep.Revision, again chan<- struct{}) {
	var after baobabstep.Revision
	for ctx.Err() == nil {
		if after == 0 {
			select {
			case <-ctx.Done():
				return
			case after = <-revisions:
			}
		}
		began := f.node.clock.Now()
		next, changed, err := r.watch(ctx, after, watchWait)
		waited := f.node.clock.Now().Sub(began)
		cut := err != nil || !changed && waited < time.Duration(earlyEmpty*float64(watchWait))
		if !cut {
			after = next
			continue
		}
		after = 0
		drainRevisions(revisions)
		select {
		case again <- struct{}{}:
		default:
		}
	}
}

func drainRevisions(c <-chan baobabstep.Revision) {
	select {
	case <-c:
	default:
	}
}

func newPauses() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstRetry, lastRetry
	return b
}

// noteDependency logs the loss and the return of the store.
func (f *follower) noteDependency(name string, err error, lost *bool) {
	switch {
	case err != nil && !*lost:
		f.node.log.WithError(err).WithField("reading", name).Warn("store lost")
	case err == nil && *lost:
		f.node.log.WithField("reading", name).Info("store regained")
	}
	*lost = err != nil
}

func (f *follower) readRoutes(ctx context.Context) (baobabstep.Revision, error) {
	table, revision, err := f.directory.RoutingTable(ctx)
	if err != nil {
		return 0, err
	}
	f.adopt(table, revision)
	return revision, nil
}

func (f *follower) watchRoutes(ctx context.Context, after baobabstep.Revision, wait time.Duration) (baobabstep.Revision, bool, error) {
	table, revision, err := f.directory.WatchRoutingTable(ctx, after, wait)
	if err != nil {
		return 0, false, err
	}
	if table != nil {
		f.adopt(table, revision)
	}
	return revision, table != nil, nil
}

func (f *follower) adopt(table *baobabstep.RoutingTable, revision baobabstep.Revision) {
	if f.node.router.SetTable(f.node.clock.Now(), table) {
		f.node.log.WithFields(log.Fields{
			"version": table.Version, "rules": len(table.Rules), "revision": uint64(revision),
		}).Info("routing table in force")
	}
}

func (f *follower) readTargets(ctx context.Context) (baobabstep.Revision, error) {
	list, revision, err := f.directory.Registrations(ctx)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.registered)
	for i := range list {
		f.registered[list[i].ID] = list[i]
	}
	f.publish()
	return revision, nil
}

func (f *follower) watchTargets(ctx context.Context, after baobabstep.Revision, wait time.Duration) (baobabstep.Revision, bool, error) {
	changes, revision, err := f.directory.WatchRegistrations(ctx, after, wait)
	if err != nil {
		return 0, false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range changes {
		r := changes[i].Registration
		if changes[i].Gone {
			delete(f.registered, r.ID)
			continue
		}
		f.registered[r.ID] = r
	}
	if len(changes) > 0 {
		f.publish()
	}
	return revision, len(changes) > 0, nil
}

// publish hands the registrations to the router.
func (f *follower) publish() {
	list := make([]baobabstep.Registration, 0, len(f.registered))
	for _, r := range f.registered {
		list = append(list, r)
	}
	f.node.router.SetRegistrations(f.node.clock.Now(), list)
}
