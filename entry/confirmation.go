package entry

import (
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// confirm records that the store held nothing newer than the cached state of a kind when it was read
// as from says. The caller holds sc.mu.
func (sc *stateCache) confirm(kind heartbeat.Kind, from origin) {
	sc.confirmState(kind, from)
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

// confirmState is confirm without telling the router.
func (sc *stateCache) confirmState(kind heartbeat.Kind, from origin) {
	cs, at := &sc.states[kind], sc.reads.note(from.read, from.confirmedAt)
	switch {
	case from.read != 0 && from.read == cs.read:
		cs.confirmedAt = at
	case at.After(cs.confirmedAt):
		cs.confirmedAt, cs.read, cs.unconfirmed = at, from.read, false
	}
}

// noteRead records when a read took place, of content that does not apply yet.
func (sc *stateCache) noteRead(from origin) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.reads.note(from.read, from.confirmedAt)
}

// maxReadTimes is the number of reads that are remembered: those that a fleet makes while heartbeats
// about one of them arrive. Where many VMs start together, each may read routes and registrations.
const maxReadTimes = 256

// readTimes are the times of the latest known reads of the store, as far as this VM can tell. The zero
// value is empty.
type readTimes struct {
	list [maxReadTimes]readTime
	next int
}

type readTime struct {
	read heartbeat.ReadID
	at   time.Time
}

// note records when a read took place according to one message, and returns the earliest time
// according to any. Each message puts it later than it was, by the time that it took. An unknown
// read is not recorded.
func (r *readTimes) note(read heartbeat.ReadID, at time.Time) time.Time {
	if read == 0 {
		return at
	}
	for i := range r.list {
		known := &r.list[i]
		if known.read != read {
			continue
		}
		if at.Before(known.at) {
			known.at = at
		}
		return known.at
	}
	r.list[r.next] = readTime{read: read, at: at}
	r.next = (r.next + 1) % maxReadTimes
	return at
}

// confirmByPeer records that another VM has the same content at a revision, and that the store
// held nothing newer when it was read as from says.
//
// An unconfirmed state stays so if the other VM knows as little: at a fleet's start all VMs hold
// what a replica held, and each would take that of another for a confirmation that is already
// overdue.
//
// The cached state takes over a newer revision: the end of an evacuation restores the content
// from before it. If that kept its earlier revision, a delayed message of a third VM about the
// evacuation itself would replace it, as if it had been confirmed.
func (sc *stateCache) confirmByPeer(now time.Time, kind heartbeat.Kind, revision baobabstep.Revision, from origin, maxAge time.Duration) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	cached := &sc.states[kind]
	if cached.revision.Before(revision) {
		sc.setRevision(now, kind, revision)
		cached.revisionFromReplica = false
	}
	if !cached.unconfirmed || now.Sub(from.confirmedAt) < maxAge {
		sc.confirm(kind, from)
	}
}
