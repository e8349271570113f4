package entry

import (
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// When a VM reads the store is decided by the age of its cached state and by its rank, without an
// election.
const (
	// firstReadAge is the age of the cached state, as a share of the time in which an update
	// has to be in force, at which the first VM of the fleet by rank reads the store again,
	// whatever its watches report.
	firstReadAge = 0.4
	// remoteReadAge is the same for the first VMs of the other data centres, and
	// remoteReadStep is added for each one before it in rank. They receive the age of the
	// first VM up to 0.5 s late, and read only if it does not.
	remoteReadAge  = 0.6
	remoteReadStep = 0.03
	// backupReadAge and backupReadStep are the same for all other VMs. The last ones read at
	// maxReadAge, which leaves 0.45 s of 3 s for a failed call.
	backupReadAge  = 0.75
	backupReadStep = 0.02
	maxReadAge     = 0.85
	// parallelReads is the number of VMs of the fleet that may read all registrations at the same
	// time because their own are too old.
	parallelReads = 4
	// peerShare is the share of the apply bound for which a VM waits for the registrations of a
	// peer that holds newer ones.
	peerShare = 0.5
	// maxLatePauses limits the pause after a read whose result was already too old, in multiples
	// of the time that it took.
	maxLatePauses = 8
	// unknownListBytes is the assumed size of a list of which a VM knows one page, or nothing.
	unknownListBytes = 3e6
	// smallListTargets is the number of targets up to which one call reads all registrations. VMs
	// read such lists without waiting for each other.
	smallListTargets = 500
	// isolationTimeout is the silence of all other VMs after which a VM does not wait for their
	// reads.
	isolationTimeout = 2 * time.Second
	// rankSettleTime is how long a VM that has started waits for heartbeats of others before
	// it acts as the first by rank.
	rankSettleTime = 700 * time.Millisecond
	// replicaConfirmDelay is how long content from a replica may stay unconfirmed before the
	// first VM by rank reads the store. replicaConfirmSpread is the share of the bound over
	// which VMs that start together spread that read: many of them act as the first until
	// they have received heartbeats of all. All VMs receive the result of the first read
	// within half a second.
	replicaConfirmDelay  = 1200 * time.Millisecond
	replicaConfirmSpread = 0.25

	// sectionTimeout is how long a VM with incomplete targets waits for the next section
	// before it reads all targets from the store.
	sectionTimeout = 400 * time.Millisecond
	// maxSectionWait bounds how long a VM keeps waiting for sections beyond its full read
	// delay. Sections from peers that hold different registrations may not converge.
	maxSectionWait = 3 * time.Second
	// registrationBytes is the size of a registration in a response of the store.
	registrationBytes = 300
	// fullReadBytes is the size of a full read of the targets of a large fleet. The full read
	// delay scales with the time that the link takes to transfer it.
	fullReadBytes = 12e6
	// minFullReadDelay and maxFullReadDelay bound the longest full read delay that can be
	// drawn, in seconds.
	minFullReadDelay, maxFullReadDelay = 0.1, 8.0
)

// dueAt returns when the query has to be read again.
func (s *storeSyncer) dueAt(now time.Time, q *storeQuery) time.Time {
	if s.lacksWatchRevision(now, q) {
		return now
	}
	age := readAgeForRank(s.node.rank(now))
	if !s.node.peerTable.KnowsOthers(now) {
		age = max(age, backupReadAge) // in a fleet that starts, most VMs have received no heartbeat of a VM with a lower rank yet
	}
	first := s.kindDueAt(q, q.primaryKind(), age)
	for _, kind := range q.kinds[1:] {
		if due := s.kindDueAt(q, kind, age); due.Before(first) {
			first = due
		}
	}
	return first.Add(s.queueDelay(now, q))
}

// lacksWatchRevision reports whether this VM is to watch a query and has not read it from the store
// itself, so that nobody watches it until then. A state that is not confirmed either is read soon, and in
// a fleet that starts many VMs act as the first one.
func (s *storeSyncer) lacksWatchRevision(now time.Time, q *storeQuery) bool {
	return q.revision.Load() == nil && s.shouldWatch(now) && !s.node.cache.state(q.primaryKind()).unconfirmed
}

// queueDelay returns how long a VM waits, beyond the age at which it reads, for the reads of those
// before it in rank. Each of them can send its result to all others, while a store to which all
// of a large fleet turn at the same time answers none of them in time: the results are then too
// old when they arrive, and the next reads are due at once.
//
// While another VM holds newer registrations, the VM gets them from it sooner than from the store.
func (s *storeSyncer) queueDelay(now time.Time, q *storeQuery) time.Duration {
	rank := s.node.rank(now)
	if rank.First() || q.primaryKind() != heartbeat.Targets || s.node.peerTable.SilentFor(now) >= isolationTimeout {
		return 0
	}
	_, incomplete := s.node.cache.incompleteTargets()
	cached := s.node.cache.state(heartbeat.Targets)
	targets, readTime := s.node.cache.targetCount(), max(s.fullReadTime(), q.readTime)
	switch {
	case incomplete, cached.unconfirmed && targets == 0: // there may be many more targets
		readTime = max(readTime, s.transferTime(unknownListBytes))
	case !cached.unconfirmed && targets <= smallListTargets:
		return 0
	}
	ahead := rank.Near*(rank.Far+1) + rank.Far // each data centre has about as many VMs before it
	delay := time.Duration(ahead) * readTime / parallelReads
	if s.node.peerTable.HoldsNewer(now, heartbeat.Targets, cached.revision, cached.sum, q.applyBound) {
		delay += time.Duration(peerShare * float64(q.applyBound))
	}
	return delay
}

// fullReadTime estimates how long reading all registrations takes at least.
func (s *storeSyncer) fullReadTime() time.Duration {
	return s.transferTime(float64(s.node.cache.targetCount() * registrationBytes))
}

// transferTime returns how long the VM's link takes for a number of bytes.
func (s *storeSyncer) transferTime(bytes float64) time.Duration {
	return time.Duration(bytes / s.node.options.Settings.Token.LinkBytesPerSecond() * float64(time.Second))
}

// kindDueAt returns when a kind has to be read again by a VM that reads at an age, given as a
// share of the apply bound.
func (s *storeSyncer) kindDueAt(q *storeQuery, kind heartbeat.Kind, age float64) time.Time {
	cached := s.node.cache.state(kind)
	if since, incomplete := s.node.cache.incompleteTargets(); incomplete && kind == heartbeat.Targets {
		due := s.node.startedAt.Add(s.fullReadDelay())
		return earlierOf(laterOf(due, since.Add(sectionTimeout)), due.Add(maxSectionWait))
	}
	if cached.unconfirmed {
		wait := replicaConfirmDelay + time.Duration(s.expSpread*(min(age, backupReadAge)-firstReadAge+replicaConfirmSpread)*float64(q.applyBound))
		return s.node.startedAt.Add(min(wait, time.Duration(maxReadAge*float64(q.applyBound))))
	}
	return cached.confirmedAt.Add(time.Duration(age * float64(q.applyBound)))
}

// fullReadDelay returns how long after its start a VM with incomplete targets reads all of
// them from the store, unless peers have sent the missing ones by then.
//
// VMs with faster links have shorter delays, and among VMs with equal links few draw a short
// one, so a fleet that starts together makes only a few full reads.
func (s *storeSyncer) fullReadDelay() time.Duration {
	link := s.node.options.Settings.Token.LinkBytesPerSecond()
	longest := min(max(fullReadBytes/link, minFullReadDelay), maxFullReadDelay)
	return time.Duration(longest * s.expSpread * float64(time.Second))
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

// readAgeForRank returns the age at which the VM of a rank reads the store, as a share of the
// time in which an update has to be in force.
func readAgeForRank(rank heartbeat.Rank) float64 {
	switch {
	case rank.First():
		return firstReadAge
	case rank.Near == 0:
		return min(remoteReadAge+remoteReadStep*float64(rank.Far-1), backupReadAge)
	default:
		return min(backupReadAge+backupReadStep*float64(rank.Near-1), maxReadAge)
	}
}

// shouldWatch reports whether this VM runs the fleet's watches of the store.
func (s *storeSyncer) shouldWatch(now time.Time) bool {
	return s.node.rank(now).First() && now.Sub(s.node.startedAt) >= rankSettleTime && s.node.peerTable.KnowsOthers(now)
}

// watchState is whether a VM watches a query of the store.
type watchState uint8

// Watch states. The line comment of each is its name in logs.
const (
	// watchIdle: it is another VM's turn.
	watchIdle watchState = iota // idle
	// watchWaiting: the VM knows no revision from which to watch.
	watchWaiting // waiting
	watchRunning // running
)

// nextWatchState returns whether this VM watches a query that it knows up to a revision, nil if none.
func (s *storeSyncer) nextWatchState(now time.Time, after *baobabstep.Revision) watchState {
	switch {
	case !s.shouldWatch(now):
		return watchIdle
	case after == nil:
		return watchWaiting
	default:
		return watchRunning
	}
}
