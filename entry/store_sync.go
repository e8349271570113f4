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
	// watchTimeout is how long a watch waits for a change. Each watch counts as a call.
	watchTimeout = 20 * time.Second
	// minEmptyWatchShare is the share of watchTimeout before which a watch that returns
	// without a change counts as interrupted.
	minEmptyWatchShare = 0.9
	// routesBatchDelay and targetsBatchDelay are the pauses between two watches. Changes come
	// in bursts, as in the release of a service; a burst then costs one call. Targets write as
	// long as they live, and end each watch at once. A target that drains continues to serve
	// for seconds, and a target that is gone is detected as silent before its registration
	// lapses, so a delay of half a second is acceptable.
	routesBatchDelay  = 100 * time.Millisecond
	targetsBatchDelay = 500 * time.Millisecond
	// manyChanges is the number of changes in the result of a watch from which on the next one
	// follows without a pause. The store limits the changes in a result, so more may be due, and a
	// watch that pauses after each would fall behind.
	manyChanges = 100
	// missingTableRetry is the pause after the store reported that there is no routing table
	// yet.
	missingTableRetry = 500 * time.Millisecond
	// missingTableSpread is the time over which VMs that start together spread their second
	// read of a routing table that did not exist at the first.
	missingTableSpread = 2 * time.Second
	// minRetryDelay and maxRetryDelay bound the pauses after failed calls.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// backupRetryFactor lengthens the retry delay of a VM that has at least two VMs of its
	// data centre before it in rank.
	backupRetryFactor = 5
	// pollInterval is how often a VM checks whether it has to read or watch; a heartbeat may
	// have changed that in the meantime.
	pollInterval = 250 * time.Millisecond
)

// Sources of updates, as they appear in the log.
const (
	sourceStore = "store"
	sourceWatch = "watch"
	sourcePeer  = "peer"
	// sourceReplica is a replica of the store, which may be seconds old.
	sourceReplica = "copy"
)

var updateSources = []string{sourceStore, sourceWatch, sourcePeer, sourceReplica}

// storeSyncer keeps the cached state in sync with the store.
//
// A watch reports changes within milliseconds, but does not prove that there were none: while
// a store compacts its history, a watch can miss a change. The state is therefore read again
// at a bounded age, by one VM of the fleet. The others receive the result from it, and read
// the store themselves only if they do not.
type storeSyncer struct {
	node      *Node
	directory baobabstep.Directory
	// uniformSpread is drawn at the start from a uniform distribution from 0 to 1. expSpread
	// is drawn with exponentialSpread, which gives few VMs less than half.
	uniformSpread, expSpread float64
	// readCount counts the reads of the store.
	readCount atomic.Uint64
}

// spreadRate is the rate parameter of the distribution of storeSyncer.expSpread. The density
// at 0 is exp(-spreadRate) times that at 1.
const spreadRate = 6.0

// exponentialSpread maps a uniform sample from 0 to 1 to a truncated exponential distribution
// whose density rises towards 1. Used as a delay, it keeps the number of requests small
// regardless of how many VMs start together: the results of the first ones reach the others
// before their timers expire. Multicast protocols suppress feedback with the same distribution
// of timers.
func exponentialSpread(uniform float64) float64 {
	low := math.Exp(-spreadRate)
	return 1 + math.Log(low+(1-low)*uniform)/spreadRate
}

// storeQuery describes how the kinds of state that one call returns are read and watched.
type storeQuery struct {
	// kinds are the kinds that one call returns. The first one identifies the query.
	kinds []heartbeat.Kind
	name  string
	// applyBound is the time in which an update has to be in force.
	applyBound time.Duration
	// batchDelay is the pause between two watches.
	batchDelay time.Duration
	read       func(ctx context.Context, freshness baobabstep.Freshness) (baobabstep.Revision, error)
	// readFirstPage, used for the first read, reads a single page; nil if the content always
	// fits one.
	readFirstPage func(ctx context.Context, freshness baobabstep.Freshness) (baobabstep.Revision, error)
	// attempted is set once a read was attempted. It belongs to the goroutine that reads.
	attempted bool
	// readTime is how long the last successful read took, and latePauses the last pause after a
	// late one in multiples of it. They belong to the goroutine that reads.
	readTime   time.Duration
	latePauses int
	// watch returns the number of changes.
	watch func(ctx context.Context, after baobabstep.Revision) (baobabstep.Revision, int, error)
	// readNow requests an immediate read.
	readNow chan struct{}
	// revision is the newest revision that this VM read from the store itself, from which a
	// watch continues.
	revision atomic.Pointer[baobabstep.Revision]
}

// desiredQuery returns the query of the operators' desired state. Routes and evacuations are
// adjacent in the store, so one call reads both.
func (s *storeSyncer) desiredQuery() *storeQuery {
	return &storeQuery{
		kinds: []heartbeat.Kind{heartbeat.Routes, heartbeat.Evacuations}, name: "desired",
		applyBound: s.node.options.Settings.Token.DesiredApply(), batchDelay: routesBatchDelay,
		read: s.readDesired, watch: s.watchDesired, readNow: make(chan struct{}, 1),
	}
}

func (s *storeSyncer) targetsQuery() *storeQuery {
	return &storeQuery{
		kinds: []heartbeat.Kind{heartbeat.Targets}, name: "targets", applyBound: s.node.options.Settings.Token.Drain(), batchDelay: targetsBatchDelay,
		readFirstPage: s.readFirstTargetsPage, read: s.readTargets, watch: s.watchTargets, readNow: make(chan struct{}, 1),
	}
}

// queryKinds are the primary kinds of all queries.
var queryKinds = []heartbeat.Kind{heartbeat.Routes, heartbeat.Targets}

// primaryKind returns the kind that identifies the query.
func (q *storeQuery) primaryKind() heartbeat.Kind { return q.kinds[0] }

// freshness returns how fresh the next read has to be. A VM that starts reads a replica of the
// store, which costs a tenth of a read of the newest state, and serves by it at once. Within
// two seconds the heartbeats of the others, or a read when it is due, tell whether the replica
// was up to date. If all first reads were of the newest state, a fleet that starts would read
// every page once for each VM at the full cost.
func (q *storeQuery) freshness(incomplete bool) baobabstep.Freshness {
	if q.attempted && !incomplete {
		return baobabstep.Newest
	}
	return baobabstep.Recent
}

// readLoop reads a query whenever it is due, until ctx ends.
func (s *storeSyncer) readLoop(ctx context.Context, q *storeQuery) error {
	delays := newRetryBackOff()
	for ctx.Err() == nil {
		now := s.node.clock.Now()
		if wait := s.dueAt(now, q).Sub(now); wait > 0 && !sleep(ctx, min(wait, pollInterval), q.readNow) {
			continue
		}
		err := s.readOnce(ctx, q)
		if d := s.delayAfterRead(s.node.clock.Now(), q, err, delays); d > 0 {
			sleep(ctx, d, q.readNow)
		}
	}
	return nil
}

// delayAfterRead returns how long to wait after a read that ended with err before checking
// again when the next one is due.
func (s *storeSyncer) delayAfterRead(now time.Time, q *storeQuery, err error, delays backoff.BackOff) time.Duration {
	switch {
	case err != nil:
		return s.retryDelay(now, err, delays.NextBackOff())
	case !s.dueAt(now, q).After(now):
		return max(delays.NextBackOff(), s.latePause(now, q)) // the read was outdated, and the next one may be as well
	}
	delays.Reset()
	q.latePauses = 0
	return 0
}

// latePause returns how long to wait after a read whose result was already too old. It doubles
// each time, so that an overloaded store recovers. The first VM by rank, for which all others wait,
// does not wait itself.
func (s *storeSyncer) latePause(now time.Time, q *storeQuery) time.Duration {
	if s.node.rank(now).First() {
		return 0
	}
	q.latePauses = min(max(1, 2*q.latePauses), maxLatePauses)
	return time.Duration(q.latePauses) * q.readTime
}

// readOnce reads a query once and records the result.
func (s *storeSyncer) readOnce(ctx context.Context, q *storeQuery) error {
	_, incomplete := s.node.cache.incompleteTargets()
	freshness, read := q.freshness(incomplete && q.readFirstPage != nil), q.read
	if !q.attempted && q.readFirstPage != nil {
		read = q.readFirstPage
	}
	q.attempted = true
	s.logRead(q, freshness)
	start := s.node.clock.Now()
	revision, err := read(ctx, freshness)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	s.logReadDone(q, start, err)
	if err == nil {
		q.readTime = s.node.clock.Now().Sub(start)
	}
	s.recordStoreStatus(q, err)
	if err == nil && freshness == baobabstep.Newest {
		q.advanceRevision(revision)
		s.node.storeRead[q.primaryKind()].Store(true)
	}
	return err
}

// logRead logs a read of the store with the reason for it, since each call has a cost.
func (s *storeSyncer) logRead(q *storeQuery, freshness baobabstep.Freshness) {
	now := s.node.clock.Now()
	rank, cached := s.node.rank(now), s.node.cache.state(q.primaryKind())
	fields := log.Fields{"reading": q.name, "freshness": freshness.String(), "near": rank.Near, "far": rank.Far, "unconfirmed": cached.unconfirmed}
	if age, known := s.node.cache.age(now, q.primaryKind()); known {
		fields["age_ms"] = age.Milliseconds()
	}
	s.node.log.WithFields(fields).Info("store read")
}

// logReadDone logs how long a read took and how old the cached state is after it. A read that
// takes longer than the state may be old is due again as soon as it ends.
func (s *storeSyncer) logReadDone(q *storeQuery, start time.Time, err error) {
	now := s.node.clock.Now()
	fields := log.Fields{"reading": q.name, "took_ms": now.Sub(start).Milliseconds(), "code": baobabstep.CodeOf(err).String()}
	s.node.addAge(now, fields, "age_ms", q.primaryKind())
	s.node.log.WithFields(fields).Info("store read done")
}

// retryDelay returns how long to wait after a failed read. While the store is unavailable or
// still empty, the first VMs by rank retry often; the others retry seldom, and receive the
// state from them once the store responds.
func (s *storeSyncer) retryDelay(now time.Time, err error, defaultDelay time.Duration) time.Duration {
	rank := s.node.rank(now)
	absent := baobabstep.CodeOf(err) == baobabstep.CodeNotFound
	switch {
	case absent && now.Sub(s.node.startedAt) < rankSettleTime:
		return rankSettleTime + time.Duration(s.expSpread*float64(missingTableSpread)) // until it knows which VM is the first by rank
	case absent && rank.First() && s.node.peerTable.KnowsOthers(now):
		return missingTableRetry
	case absent:
		return 2 * missingTableRetry
	case rank.Near > 1:
		return defaultDelay * backupRetryFactor
	default:
		return defaultDelay
	}
}

// sleep waits for d, until ctx ends or until signal receives a value. It returns whether it
// received one.
func sleep(ctx context.Context, d time.Duration, signal <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-signal:
		return true
	case <-timer.C:
	}
	return false
}

// watchLoop watches a query while this VM is the first of the fleet by rank, until ctx ends.
// It requests a read whenever a watch fails or returns early. A watch continues until it
// returns even if another VM becomes the first.
func (s *storeSyncer) watchLoop(ctx context.Context, q *storeQuery) error {
	delays := newRetryBackOff()
	state := watchIdle
	for ctx.Err() == nil {
		now := s.node.clock.Now()
		after := q.revision.Load()
		next := s.nextWatchState(now, after)
		s.logWatchState(q, state, next, after)
		if state = next; state != watchRunning {
			sleep(ctx, pollInterval, nil)
			continue
		}
		to, changes, err := q.watch(ctx, *after)
		if ctx.Err() != nil {
			break
		}
		interrupted := err != nil || changes == 0 && s.node.clock.Now().Sub(now) < time.Duration(minEmptyWatchShare*float64(watchTimeout))
		if !interrupted {
			q.advanceRevision(to)
			delays.Reset()
			if changes < manyChanges {
				sleep(ctx, q.batchDelay, nil)
			}
			continue
		}
		s.requestRead(q)
		sleep(ctx, delays.NextBackOff(), nil)
	}
	return nil
}

// advanceRevision records a revision up to which all changes are known.
func (q *storeQuery) advanceRevision(to baobabstep.Revision) {
	if known := q.revision.Load(); known == nil || known.Before(to) {
		q.revision.Store(&to)
	}
}

func (s *storeSyncer) requestRead(q *storeQuery) {
	select {
	case q.readNow <- struct{}{}:
	default:
	}
}

func newRetryBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = minRetryDelay, maxRetryDelay
	return b
}

// recordStoreStatus logs when the store becomes unavailable or available again, and announces
// it at once: another VM has to take over reading.
func (s *storeSyncer) recordStoreStatus(q *storeQuery, err error) {
	if baobabstep.CodeOf(err) == baobabstep.CodeNotFound {
		err = nil // the store responded
	}
	unavailable := err != nil
	if now := s.node.clock.Now(); unavailable && q.primaryKind() == heartbeat.Targets {
		s.node.targetsReadFailedAt.Store(&now)
	}
	switch {
	case s.node.storeUnreadable[q.primaryKind()].Swap(unavailable) == unavailable:
		return
	case unavailable:
		s.node.log.WithError(err).WithField("reading", q.name).Warn("store unavailable")
	default:
		s.node.log.WithField("reading", q.name).Info("store available again")
	}
	s.node.announce(true)
}
