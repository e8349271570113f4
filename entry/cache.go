package entry

import (
	"sync"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/token"
)

// flowRouter places flows by the state of a stateCache.
type flowRouter interface {
	SetTable(now time.Time, table *baobabstep.RoutingTable) bool
	ConfirmTable(at time.Time)
	ConfirmTargets()
	SetRegistrations(now time.Time, list []baobabstep.Registration)
	ChangeRegistrations(now time.Time, put []baobabstep.Registration, gone []baobabstep.TargetID)
	SetEvacuations(now time.Time, dataCentres []string)
	StoreRestored(now time.Time)
}

var _ flowRouter = (*token.Router)(nil)

// stateCache holds the routes, targets and evacuations that this VM applies. The state of each
// kind has a revision, a source and an age: the time since the store was last known to hold
// nothing newer.
type stateCache struct {
	router flowRouter
	log    log.Interface
	limits LogLimiter
	// outdatedCount counts updates that were older than the cached state, by source.
	outdatedCount map[string]uint64

	mu     sync.Mutex
	states [heartbeat.NumKinds]cachedState
	// reads are the times of the reads that confirmed them.
	reads readTimes
	// era is the newest era of the store that is known. restoredAt is when it replaced an
	// earlier era, or zero if it never did.
	era        uint64
	restoredAt time.Time
	// restoredSignal receives a value after each restore of the store.
	restoredSignal chan struct{}
	// table, targets and evacuated are the decoded contents of states.
	table     *baobabstep.RoutingTable
	targets   *heartbeat.Registrations
	evacuated []string
	// history holds the latest changes to targets.
	history heartbeat.History
	// marks are the targets that leave by changes that do not apply yet.
	marks leavingMarks
	// pinned are the registrations of which sections are sent to peers, nil if none were
	// requested yet.
	pinned *pinnedTargets
	// pendingSections holds the changes to targets by sections that are not yet applied to the
	// router.
	pendingSections heartbeat.Difference
	// lastSectionAt is when targets were last changed by a section or by the first page of the
	// store.
	lastSectionAt time.Time
	// sectionsMissing is set while targets have been changed by sections but do not yet equal
	// those of the sender.
	sectionsMissing bool
	// evacuationsInForce lists the data centres that get no new flows. It differs from
	// evacuated while pendingMerge is set.
	evacuationsInForce []string
	pendingMerge       *evacuationMerge
}

// cachedState is the cached state of one kind.
type cachedState struct {
	// revision is the store's revision; that of routes is the table's version.
	revision baobabstep.Revision
	sum      uint64
	// content is the encoded content that is sent to other VMs; that of targets is encoded
	// when a VM requests it.
	content []byte
	// confirmedAt is when the store was last known to hold nothing newer, and read the read of the
	// store that showed it, 0 if it is not known.
	confirmedAt time.Time
	read        heartbeat.ReadID
	// unconfirmed is set while the content is only known to have been in a replica.
	unconfirmed bool
	// revisionFromReplica is set while the revision is known only from a replica of the store.
	// A replica can be ahead of a store that was restored from a backup, so content read from
	// the store itself replaces it even if its revision is lower.
	revisionFromReplica bool
}

func newStateCache(router flowRouter, logger log.Interface, limits LogLimiter) *stateCache {
	return &stateCache{
		router: router, log: logger, limits: limits, outdatedCount: make(map[string]uint64), restoredSignal: make(chan struct{}, 1),
		targets: heartbeat.EmptyRegistrations(),
	}
}

// outdatedUpdateClass is the class of log lines about ignored outdated updates.
const outdatedUpdateClass = "outdated update ignored"

// recordOutdated counts and logs an update that is older than the cached state. Outdated
// updates from other VMs are common and only counted. The caller holds sc.mu.
func (sc *stateCache) recordOutdated(now time.Time, kind heartbeat.Kind, offered baobabstep.Revision, from origin) {
	sc.outdatedCount[from.source]++
	if from.source == sourcePeer || !sc.limits.Wanted(now, outdatedUpdateClass) {
		return
	}
	cached := &sc.states[kind]
	sc.log.WithFields(log.Fields{
		"kind": kind.String(), "source": from.source, "offered": offered.Number, "offered_era": offered.Era,
		"held": cached.revision.Number, "held_era": cached.revision.Era,
		"age_ms": now.Sub(cached.confirmedAt).Milliseconds(),
	}).Warn("outdated update ignored")
}

// outdatedCounts returns the number of ignored outdated updates, by source.
func (sc *stateCache) outdatedCounts() map[string]float64 {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	counts := make(map[string]float64)
	for _, source := range updateSources {
		counts[source] = float64(sc.outdatedCount[source])
	}
	return counts
}

// origin describes where an update came from and how fresh it is.
type origin struct {
	source string
	// confirmedAt is when the store held nothing newer, and read the read of the store that showed
	// it, 0 if it is not known.
	confirmedAt time.Time
	read        heartbeat.ReadID
	// fromReplica is set for content read from a replica of the store.
	fromReplica bool
}

// updateRoutes applies a routing table if it is newer. It returns whether it was and the
// change from the previous table, which is nil for the first one.
func (sc *stateCache) updateRoutes(now time.Time, table *baobabstep.RoutingTable, from origin) (changed bool, change *heartbeat.Change, err error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	cached := &sc.states[heartbeat.Routes]
	revision := tableRevision(table)
	switch {
	case revision.Before(cached.revision):
		sc.recordOutdated(now, heartbeat.Routes, revision, from)
		if from.source == sourceStore {
			sc.confirm(heartbeat.Routes, from) // everything in the store is older
		}
		return false, nil, nil
	case revision == cached.revision:
		sc.confirm(heartbeat.Routes, from)
		return false, nil, nil
	}
	heartbeat.SortTable(table)
	content, err := heartbeat.EncodeRoutes(table)
	if err != nil {
		return false, nil, err
	}
	sc.router.SetTable(now, table)
	next := cachedState{revision: revision, sum: heartbeat.Checksum(content), content: content, unconfirmed: from.fromReplica}
	next.confirmedAt, next.read = sc.reads.note(from.read, from.confirmedAt), from.read
	if sc.table != nil {
		change = heartbeat.NewRoutesChange(sc.table, table, cached.sum, next.announced(now))
	}
	sc.table, *cached = table, next
	sc.passConfirmation(heartbeat.Routes)
	sc.log.WithFields(log.Fields{
		"version": table.Version, "rules": len(table.Rules), "source": from.source, "age_ms": now.Sub(from.confirmedAt).Milliseconds(),
	}).Info("routing table in force")
	return true, change, nil
}

// tableRevision returns the revision of a routing table. It has no era: operators number
// tables themselves and never reuse a lower number, even after a restore of the store.
func tableRevision(table *baobabstep.RoutingTable) baobabstep.Revision {
	return baobabstep.Revision{Number: table.Version}
}

// isKnown reports whether any state is cached.
func (cs *cachedState) isKnown() bool { return cs.revision != baobabstep.Revision{} }

// setRevision sets the cached revision of a kind. The first revision of a later era shows that
// the store was restored; the router is told before it gets any state of that era. The caller
// holds sc.mu.
func (sc *stateCache) setRevision(now time.Time, kind heartbeat.Kind, to baobabstep.Revision) {
	known := sc.states[heartbeat.Targets].isKnown() || sc.states[heartbeat.Evacuations].isKnown()
	sc.states[kind].revision = to
	if kind == heartbeat.Targets {
		sc.history.Advance(to)
	}
	if to.Era <= sc.era {
		return
	}
	sc.era = to.Era
	if !known {
		return
	}
	sc.restoredAt = now
	sc.router.StoreRestored(now)
	select {
	case sc.restoredSignal <- struct{}{}:
	default:
	}
	sc.log.WithFields(log.Fields{"era": to.Era, "revision": to.Number, "kind": kind.String()}).Warn("store restored")
}

// needsUpdate reports whether an update of a kind that the store numbers has to replace the
// cached content. It ignores an outdated update and confirms the cached content if the update
// is equal. The caller holds sc.mu.
func (sc *stateCache) needsUpdate(now time.Time, kind heartbeat.Kind, sum uint64, revision baobabstep.Revision, from origin) bool {
	cached := &sc.states[kind]
	overridden := cached.revisionFromReplica && from.source == sourceStore
	switch {
	case revision.Before(cached.revision) && !overridden:
		sc.recordOutdated(now, kind, revision, from)
		return false
	case cached.isKnown() && sum == cached.sum:
		sc.setRevision(now, kind, revision)
		cached.revisionFromReplica = from.fromReplica
		sc.confirm(kind, from)
		return false
	}
	return true
}

// setContent sets the checksum and revision of a kind to those of new content, and returns the
// previous checksum. The caller holds sc.mu.
func (sc *stateCache) setContent(now time.Time, kind heartbeat.Kind, sum uint64, revision baobabstep.Revision, from origin) (oldSum uint64) {
	cached := &sc.states[kind]
	oldSum = cached.sum
	sc.setRevision(now, kind, revision)
	cached.sum, cached.content = sum, nil
	sc.confirmState(kind, from)
	cached.unconfirmed = cached.unconfirmed || from.fromReplica
	cached.revisionFromReplica = from.fromReplica
	sc.passConfirmation(kind)
	return oldSum
}

// applyPeerChange applies a change sent by a peer. It returns whether the change was newer
// than the cached state. Errors: CodeConflict if the change is based on other content;
// CodeIncomplete if only some of the targets are known; CodeMalformed.
func (sc *stateCache) applyPeerChange(now time.Time, c *heartbeat.Change, from origin) (changed bool, err error) {
	if c.Kind == heartbeat.Routes {
		table, err := sc.applyRoutesChange(c)
		if err != nil {
			return false, err
		}
		changed, _, err = sc.updateRoutes(now, table, from)
		return changed, err
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	cached := &sc.states[heartbeat.Targets]
	switch {
	case !cached.revision.Before(c.Result.Revision()):
		return false, nil
	case !cached.isKnown():
		return false, baobabstep.Errorf(baobabstep.CodeIncomplete, "entry.change", "got a change of targets of which only some are known")
	}
	d, err := c.Difference(sc.targets)
	if err != nil {
		return false, err
	}
	_, err = sc.applyDifference(now, d, c.Result.Revision(), from)
	return err == nil, err
}

func (sc *stateCache) applyRoutesChange(c *heartbeat.Change) (*baobabstep.RoutingTable, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return c.ApplyRoutes(sc.table, sc.states[heartbeat.Routes].sum)
}

// stateWithContent returns the cached state of a kind, with its content encoded. Errors:
// CodeInternal.
func (sc *stateCache) stateWithContent(kind heartbeat.Kind) (cachedState, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	cached := &sc.states[kind]
	if cached.content == nil && kind == heartbeat.Targets {
		content, err := heartbeat.EncodeTargets(sc.targets.List())
		if err != nil {
			return cachedState{}, baobabstep.Errorf(baobabstep.CodeInternal, "entry.whole", "%w", err)
		}
		cached.content = content
	}
	return *cached, nil
}

// state returns the cached state of a kind.
func (sc *stateCache) state(kind heartbeat.Kind) cachedState {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.states[kind]
}

// age returns how long ago the store was last known to hold nothing newer than the cached
// state, or false if it never was.
func (sc *stateCache) age(now time.Time, kind heartbeat.Kind) (time.Duration, bool) {
	confirmed := sc.state(kind).confirmedAt
	return now.Sub(confirmed), !confirmed.IsZero()
}

// announcedStates returns what heartbeats announce about the cached state of each kind.
func (sc *stateCache) announcedStates(now time.Time) (held [heartbeat.NumKinds]heartbeat.VersionInfo) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for kind := range held {
		held[kind] = sc.states[kind].announced(now)
	}
	return held
}

// replicaRevisionNumber is announced in place of a revision number known only from a replica
// of the store. If that number were ahead of the store, peers would ignore the store's
// revisions until it caught up.
const replicaRevisionNumber = 1

func (cs *cachedState) announced(now time.Time) heartbeat.VersionInfo {
	revision := cs.revision
	if cs.revisionFromReplica {
		revision.Number = replicaRevisionNumber
	}
	held := heartbeat.MakeVersionInfo(revision, cs.sum, now.Sub(cs.confirmedAt))
	held.Read = cs.read
	return held
}
