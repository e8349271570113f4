package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

const (
	// watchWait is how long a watch waits for a change; each counts as a call.
	watchWait = 20 * time.Second
	// earlyEmpty is the share of its wait before which a watch that returns
	// nothing was cut.
	earlyEmpty = 0.9
	// firstRetry and lastRetry bound the pauses after failed calls.
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
	// lookInterval is how often a VM looks whether it has to read or watch: a
	// heartbeat may have told it otherwise meanwhile.
	lookInterval = 250 * time.Millisecond

	// readerAge is the age of its beliefs, as a share of the time in which
	// news has to be in force, at which the first VM of a data centre reads
	// the store again whatever its watches say.
	readerAge = 0.4
	// otherAge is the same for the second, and rankStep is added for each VM
	// more: they read only if the ones before them do not. The last of nine
	// reads at 0.8, which leaves 0.6 s of 3 for a failed call.
	otherAge = 0.55
	rankStep = 0.03
	lastAge  = 0.8
)

// Sources of beliefs, as the log names them.
const (
	sourceStore = "store"
	sourceWatch = "watch"
	sourcePeer  = "peer"
)

// follower keeps the beliefs in step with the directory.
//
// A watch brings news within milliseconds, but is no proof that there was none:
// while a store drops its history, a watch can pass over a change. So what is
// held is read again at a bounded age, by one VM of a data centre; the others
// hear from it, and read for themselves only if they do not.
type follower struct {
	node      *Node
	directory baobabstep.Directory
}

// reading is how one kind is read and watched.
type reading struct {
	kind heartbeat.Kind
	name string
	// within is the time in which news has to be in force.
	within time.Duration
	read   func(ctx context.Context) (baobabstep.Revision, error)
	// watch returns whether anything changed.
	watch func(ctx context.Context, after baobabstep.Revision) (baobabstep.Revision, bool, error)
	// again asks for a reading at once.
	again chan struct{}
	// revision is the newest of the store that this VM read itself; a watch
	// goes on from there.
	revision atomic.Uint64
}

func (f *follower) routes() *reading {
	return &reading{
		kind: heartbeat.Routes, name: "routes", within: f.node.o.Settings.Token.ConfigApply(),
		read: f.readRoutes, watch: f.watchRoutes, again: make(chan struct{}, 1),
	}
}

func (f *follower) targets() *reading {
	return &reading{
		kind: heartbeat.Targets, name: "targets", within: f.node.o.Settings.Token.Drain(),
		read: f.readTargets, watch: f.watchTargets, again: make(chan struct{}, 1),
	}
}

// due returns when a kind has to be read again.
func (f *follower) due(now time.Time, r *reading) time.Time {
	age := readerAge
	if rank := f.node.board.Rank(now); rank > 0 {
		age = min(otherAge+rankStep*float64(rank), lastAge)
	}
	return f.node.beliefs.get(r.kind).confirmed.Add(time.Duration(age * float64(r.within)))
}

// follow reads a kind whenever it is due, until ctx ends.
func (f *follower) follow(ctx context.Context, r *reading) error {
	pauses := newPauses()
	lost := false
	for ctx.Err() == nil {
		now := f.node.clock.Now()
		if wait := f.due(now, r).Sub(now); wait > 0 && !f.pause(ctx, min(wait, lookInterval), r.again) {
			continue
		}
		revision, err := r.read(ctx)
		if ctx.Err() != nil {
			break
		}
		f.noteStore(r.name, err, &lost)
		if err != nil {
			f.pause(ctx, pauses.NextBackOff(), r.again)
			continue
		}
		pauses.Reset()
		r.advance(revision)
	}
	return nil
}

// pause waits, and returns whether a reading was asked for meanwhile.
func (f *follower) pause(ctx context.Context, d time.Duration, again <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-again:
		return true
	case <-timer.C:
	}
	return false
}

// watch watches a kind while this VM is the first of its data centre, until ctx
// ends. It asks for a reading whenever a watch ended in another way than it
// should. A watch goes on for a while after another VM became the first.
func (f *follower) watch(ctx context.Context, r *reading) error {
	pauses := newPauses()
	for ctx.Err() == nil {
		now := f.node.clock.Now()
		after := baobabstep.Revision(r.revision.Load())
		if after == 0 || f.node.board.Rank(now) > 0 {
			f.pause(ctx, lookInterval, nil)
			continue
		}
		next, changed, err := r.watch(ctx, after)
		if ctx.Err() != nil {
			break
		}
		cut := err != nil || !changed && f.node.clock.Now().Sub(now) < time.Duration(earlyEmpty*float64(watchWait))
		if !cut {
			r.advance(next)
			pauses.Reset()
			continue
		}
		f.askAgain(r)
		f.pause(ctx, pauses.NextBackOff(), nil)
	}
	return nil
}

// advance notes a revision up to which all changes are known.
func (r *reading) advance(to baobabstep.Revision) {
	if uint64(to) > r.revision.Load() {
		r.revision.Store(uint64(to))
	}
}

func (f *follower) askAgain(r *reading) {
	select {
	case r.again <- struct{}{}:
	default:
	}
}

func newPauses() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = firstRetry, lastRetry
	return b
}

// noteStore logs the loss and the return of the store.
func (f *follower) noteStore(name string, err error, lost *bool) {
	switch {
	case err != nil && !*lost:
		f.node.log.WithError(err).WithField("reading", name).Warn("store lost")
	case err == nil && *lost:
		f.node.log.WithField("reading", name).Info("store regained")
	}
	*lost = err != nil
}
