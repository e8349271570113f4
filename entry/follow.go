package entry

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/apex/log"
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
	// gatherRoutes and gatherTargets are the pauses between two watches. Changes
	// come in bursts, as when a service is released; together they cost one call.
	// Targets write all the time that they live, and end each watch at once. A target
	// that drains serves for seconds, and one that is gone is found silent sooner than
	// its registration lapses, so half a second later is soon enough.
	gatherRoutes  = 100 * time.Millisecond
	gatherTargets = 500 * time.Millisecond
	// absentRetry is the pause after the store said that there is no routing
	// table yet.
	absentRetry = 500 * time.Millisecond
	// absentSpread is the time over which VMs that start together spread their second
	// read of a routing table that did not exist at the first.
	absentSpread = 2 * time.Second
	// firstRetry and lastRetry bound the pauses after failed calls.
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
	// seldom is by how much longer a VM waits to which two others of its data
	// centre are nearer to try.
	seldom = 5
	// lookInterval is how often a VM looks whether it has to read or watch: a
	// heartbeat may have told it otherwise meanwhile.
	lookInterval = 250 * time.Millisecond

	// readerAge is the age of its beliefs, as a share of the time in which
	// news has to be in force, at which the first VM of the fleet reads the
	// store again whatever its watches say.
	readerAge = 0.4
	// farAge is the same for the first VMs of the other data centres, and
	// farStep is added for each that comes before: they hear the first one's
	// age up to 0.5 s late, and read only if it does not.
	farAge  = 0.6
	farStep = 0.03
	// nearAge and nearStep are the same for all other VMs. The last reads at
	// lastAge, which leaves 0.45 s of 3 for a failed call.
	nearAge  = 0.75
	nearStep = 0.02
	lastAge  = 0.85
	// settleTime is how long a VM that has started lets others be heard before
	// it takes itself for the first.
	settleTime = 700 * time.Millisecond
	// confirmTime is how long what a copy of the store held may go unconfirmed
	// before the first VM reads the store, and confirmSpread the share of the bound
	// over which those that start together draw when they do: many of them take
	// themselves for the first until they have heard of all. The first reading of
	// any is known to all within half a second.
	confirmTime   = 1200 * time.Millisecond
	confirmSpread = 0.25

	// sectionTimeout is how long a VM with incomplete targets waits for the next section
	// before it reads all targets from the store.
	sectionTimeout = 400 * time.Millisecond
	// maxSectionWait bounds how long a VM keeps waiting for sections beyond its full read
	// delay. Sections from peers that hold different registrations may not converge.
	maxSectionWait = 3 * time.Second
	// fullReadBytes is the size of a full read of the targets of a large fleet. The full
	// read delay scales with the time that the link takes to transfer it.
	fullReadBytes = 12e6
	// minFullReadDelay and maxFullReadDelay bound the longest full read delay that can
	// be drawn, in seconds.
	minFullReadDelay, maxFullReadDelay = 0.1, 8.0
)

// Sources of beliefs, as the log names them.
const (
	sourceStore = "store"
	sourceWatch = "watch"
	sourcePeer  = "peer"
	// sourceCopy is a copy of the store, which may be seconds old.
	sourceCopy = "copy"
)

var newsSources = []string{sourceStore, sourceWatch, sourcePeer, sourceCopy}

// follower keeps the beliefs in step with the directory.
//
// A watch brings news within milliseconds, but is no proof that there was none:
// while a store drops its history, a watch can pass over a change. So what is
// held is read again at a bounded age, by one VM of the fleet; the others
// hear from it, and read for themselves only if they do not.
type follower struct {
	node      *Node
	directory baobabstep.Directory
	// spread is drawn at the start from a uniform distribution from 0 to 1. expSpread is
	// drawn with exponentialSpread, which gives few VMs less than half.
	spread, expSpread float64
}

// spreadRate is the rate parameter of the distribution of follower.expSpread. The
// density at 0 is exp(-spreadRate) times that at 1.
const spreadRate = 6.0

// exponentialSpread maps a uniform sample from 0 to 1 to a truncated exponential
// distribution whose density rises towards 1. Used as a delay, it keeps the number of
// requests small regardless of how many VMs start together: what the first ones learn
// reaches the others before their timers expire. Multicast protocols suppress feedback
// with the same distribution of timers.
func exponentialSpread(uniform float64) float64 {
	low := math.Exp(-spreadRate)
	return 1 + math.Log(low+(1-low)*uniform)/spreadRate
}

// reading is how some kinds are read and watched together.
type reading struct {
	// kinds are those of one call; the first stands for the reading.
	kinds []heartbeat.Kind
	name  string
	// within is the time in which news has to be in force.
	within time.Duration
	// gather is the pause between two watches.
	gather time.Duration
	read   func(ctx context.Context, how baobabstep.Freshness) (baobabstep.Revision, error)
	// readFirst, used for the first reading, reads a single page; nil if the content
	// always fits one.
	readFirst func(ctx context.Context, how baobabstep.Freshness) (baobabstep.Revision, error)
	// tried is set once a reading was tried. It belongs to the goroutine that reads.
	tried bool
	// watch returns whether anything changed.
	watch func(ctx context.Context, after baobabstep.Revision) (baobabstep.Revision, bool, error)
	// again asks for a reading at once.
	again chan struct{}
	// revision is the newest of the store that this VM read itself; a watch
	// goes on from there.
	revision atomic.Pointer[baobabstep.Revision]
}

// desired is the reading of what the operators want: routes and evacuations lie
// side by side in the store, and one call reads both.
func (f *follower) desired() *reading {
	return &reading{
		kinds: []heartbeat.Kind{heartbeat.Routes, heartbeat.Evacuations}, name: "desired",
		within: f.node.o.Settings.Token.DesiredApply(), gather: gatherRoutes,
		read: f.readDesired, watch: f.watchDesired, again: make(chan struct{}, 1),
	}
}

func (f *follower) targets() *reading {
	return &reading{
		kinds: []heartbeat.Kind{heartbeat.Targets}, name: "targets", within: f.node.o.Settings.Token.Drain(), gather: gatherTargets,
		readFirst: f.readFirstTargets, read: f.readTargets, watch: f.watchTargets, again: make(chan struct{}, 1),
	}
}

// kind returns the kind that stands for the reading.
func (r *reading) kind() heartbeat.Kind { return r.kinds[0] }

// due returns when something has to be read again.
func (f *follower) due(now time.Time, r *reading) time.Time {
	age := dueAge(f.node.rank(now))
	if !f.node.board.KnowsOthers(now) {
		age = max(age, nearAge) // in a fleet that starts most VMs hear none with a lower rank at first
	}
	first := f.dueOf(r, r.kind(), age)
	for _, kind := range r.kinds[1:] {
		if due := f.dueOf(r, kind, age); due.Before(first) {
			first = due
		}
	}
	return first
}

// dueOf returns when a kind has to be read again by a VM that does so at an age.
func (f *follower) dueOf(r *reading, kind heartbeat.Kind, age float64) time.Time {
	held := f.node.beliefs.get(kind)
	if since, incomplete := f.node.beliefs.incompleteTargets(); incomplete && kind == heartbeat.Targets {
		due := f.node.started.Add(f.fullReadDelay())
		return earlierOf(laterOf(due, since.Add(sectionTimeout)), due.Add(maxSectionWait))
	}
	if held.unconfirmed {
		wait := confirmTime + time.Duration((min(age, nearAge)-readerAge+confirmSpread*f.expSpread)*float64(r.within))
		return f.node.started.Add(min(wait, time.Duration(lastAge*float64(r.within))))
	}
	return held.confirmed.Add(time.Duration(age * float64(r.within)))
}

// freshness returns how new the next reading has to be. A VM that starts takes what
// a copy of the store holds, at a tenth of the price, and serves by it at once; the
// heartbeats of the others, or a reading when it is due, say within two seconds
// whether it still holds. A fleet that starts would otherwise read every page once
// for each VM at the full price.
func (r *reading) freshness(incomplete bool) baobabstep.Freshness {
	if r.tried && !incomplete {
		return baobabstep.Newest
	}
	return baobabstep.Recent
}

// fullReadDelay returns how long after its start a VM with incomplete targets reads all
// of them from the store, unless peers have sent the others by then.
//
// VMs with faster links have shorter delays, and among VMs with equal links few draw a
// short one, so a fleet that starts together makes only a few full reads.
func (f *follower) fullReadDelay() time.Duration {
	link := f.node.o.Settings.Token.LinkBytesPerSecond()
	longest := min(max(fullReadBytes/link, minFullReadDelay), maxFullReadDelay)
	return time.Duration(longest * f.expSpread * float64(time.Second))
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// dueAge returns the age at which the VM of a rank reads the store, as a share
// of the time in which news has to be in force.
func dueAge(rank heartbeat.Rank) float64 {
	switch {
	case rank.First():
		return readerAge
	case rank.Near == 0:
		return min(farAge+farStep*float64(rank.Far-1), nearAge)
	default:
		return min(nearAge+nearStep*float64(rank.Near-1), lastAge)
	}
}

// watches tells whether this VM holds the fleet's watches.
func (f *follower) watches(now time.Time) bool {
	return f.node.rank(now).First() && now.Sub(f.node.started) >= settleTime && f.node.board.KnowsOthers(now)
}

// follow reads a kind whenever it is due, until ctx ends.
func (f *follower) follow(ctx context.Context, r *reading) error {
	pauses := newPauses()
	for ctx.Err() == nil {
		now := f.node.clock.Now()
		if wait := f.due(now, r).Sub(now); wait > 0 && !pause(ctx, min(wait, lookInterval), r.again) {
			continue
		}
		err := f.readOnce(ctx, r)
		if d := f.pauseAfter(f.node.clock.Now(), r, err, pauses); d > 0 {
			pause(ctx, d, r.again)
		}
	}
	return nil
}

// pauseAfter returns how long to wait after a reading that ended with err, before it
// is looked again when the next one is due.
func (f *follower) pauseAfter(now time.Time, r *reading, err error, pauses backoff.BackOff) time.Duration {
	switch {
	case err != nil:
		return f.retryPause(now, err, pauses.NextBackOff())
	case !f.due(now, r).After(now):
		return pauses.NextBackOff() // it was passed over, and the next one may be as well
	}
	pauses.Reset()
	return 0
}

// readOnce reads a kind, and notes what became of it.
func (f *follower) readOnce(ctx context.Context, r *reading) error {
	_, incomplete := f.node.beliefs.incompleteTargets()
	how, read := r.freshness(incomplete && r.readFirst != nil), r.read
	if !r.tried && r.readFirst != nil {
		read = r.readFirst
	}
	r.tried = true
	f.logReading(r, how)
	revision, err := read(ctx, how)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	f.noteStore(r, err)
	if err == nil && how == baobabstep.Newest {
		r.advance(revision)
	}
	return err
}

// logReading says why the store is asked: each call costs.
func (f *follower) logReading(r *reading, how baobabstep.Freshness) {
	now := f.node.clock.Now()
	rank, held := f.node.rank(now), f.node.beliefs.get(r.kind())
	fields := log.Fields{"reading": r.name, "freshness": how.String(), "near": rank.Near, "far": rank.Far, "unconfirmed": held.unconfirmed}
	if age, known := f.node.beliefs.age(now, r.kind()); known {
		fields["age_ms"] = age.Milliseconds()
	}
	f.node.log.WithFields(fields).Info("store read")
}

// retryPause returns how long to wait after a failed reading. A store that is
// away, or has nothing yet, is asked by the first VMs; the others hear from them
// once it answers, and ask seldom.
func (f *follower) retryPause(now time.Time, err error, otherwise time.Duration) time.Duration {
	rank := f.node.rank(now)
	absent := baobabstep.CodeOf(err) == baobabstep.CodeNotFound
	switch {
	case absent && now.Sub(f.node.started) < settleTime:
		return settleTime + time.Duration(f.expSpread*float64(absentSpread)) // until it knows who is the first
	case absent && rank.First() && f.node.board.KnowsOthers(now):
		return absentRetry
	case absent:
		return 2 * absentRetry
	case rank.Near > 1:
		return otherwise * seldom
	default:
		return otherwise
	}
}

// pause waits, and returns whether a reading was asked for meanwhile.
func pause(ctx context.Context, d time.Duration, again <-chan struct{}) bool {
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

// watch watches a kind while this VM is the first of the fleet, until ctx ends.
// It asks for a reading whenever a watch ended in another way than it should. A
// watch goes on for a while after another VM became the first.
func (f *follower) watch(ctx context.Context, r *reading) error {
	pauses := newPauses()
	for ctx.Err() == nil {
		now := f.node.clock.Now()
		after := r.revision.Load()
		if after == nil || !f.watches(now) {
			pause(ctx, lookInterval, nil)
			continue
		}
		next, changed, err := r.watch(ctx, *after)
		if ctx.Err() != nil {
			break
		}
		cut := err != nil || !changed && f.node.clock.Now().Sub(now) < time.Duration(earlyEmpty*float64(watchWait))
		if !cut {
			r.advance(next)
			pauses.Reset()
			pause(ctx, r.gather, nil)
			continue
		}
		f.askAgain(r)
		pause(ctx, pauses.NextBackOff(), nil)
	}
	return nil
}

// advance notes a revision up to which all changes are known.
func (r *reading) advance(to baobabstep.Revision) {
	if known := r.revision.Load(); known == nil || known.Before(to) {
		r.revision.Store(&to)
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

// noteStore logs the loss and the return of the store, and lets the others know:
// another VM has to read in this one's place.
func (f *follower) noteStore(r *reading, err error) {
	if baobabstep.CodeOf(err) == baobabstep.CodeNotFound {
		err = nil // it answered
	}
	lost := err != nil
	switch {
	case f.node.blind[r.kind()].Swap(lost) == lost:
		return
	case lost:
		f.node.log.WithError(err).WithField("reading", r.name).Warn("store lost")
	default:
		f.node.log.WithField("reading", r.name).Info("store regained")
	}
	f.node.announce(true)
}
