package entry

import (
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// confirm records that the store held nothing newer than the cached state of a kind at a time. The
// caller holds sc.mu.
func (sc *stateCache) confirm(kind heartbeat.Kind, at time.Time) {
	sc.states[kind].confirm(at)
	sc.passConfirmation(kind)
}

// passConfirmation tells the router whether the cached state of a kind is confirmed, and since when.
// The caller holds sc.mu.
func (sc *stateCache) passConfirmation(kind heartbeat.Kind) {
	cached := &sc.states[kind]
	switch {
	case !cached.isKnown() || cached.unconfirmed:
	case kind == heartbeat.Routes:
		sc.router.ConfirmTable(cached.confirmedAt)
	case kind == heartbeat.Targets:
		sc.router.ConfirmTargets()
	}
}

// confirm is stateCache.confirm without telling the router.
func (cs *cachedState) confirm(at time.Time) {
	if at.After(cs.confirmedAt) {
		cs.confirmedAt, cs.unconfirmed = at, false
	}
}

// confirmByPeer records that another VM has the same content at a revision, and that the store
// held nothing newer at a time.
//
// An unconfirmed state stays so if the other VM knows as little: at a fleet's start all VMs hold
// what a replica held, and each would take that of another for a confirmation that is already
// overdue.
//
// The cached state takes over a newer revision: the end of an evacuation restores the content
// from before it. If that kept its earlier revision, a delayed message of a third VM about the
// evacuation itself would replace it, as if it had been confirmed.
func (sc *stateCache) confirmByPeer(now time.Time, kind heartbeat.Kind, revision baobabstep.Revision, at time.Time, maxAge time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	cached := &sc.states[kind]
	if cached.revision.Before(revision) {
		sc.setRevision(now, kind, revision)
		cached.revisionFromReplica = false
	}
	if !cached.unconfirmed || now.Sub(at) < maxAge {
		sc.confirm(kind, at)
	}
}
