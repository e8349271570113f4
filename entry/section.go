package entry

import (
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// If the registrations do not fit one page of the store, a VM that starts reads the first page
// and requests sections with the others from its peers. Until its targets are complete, it
// routes flows to those it knows and announces no revision of them.

// addIncompleteTargets adds some of the registrations, unless a complete list is cached.
func (sc *stateCache) addIncompleteTargets(now time.Time, list []baobabstep.Registration) error {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.states[heartbeat.Targets].isKnown() {
		return nil
	}
	d := heartbeat.Difference{Put: list}
	if err := sc.targets.Apply(d); err != nil {
		return err
	}
	sc.lastSectionAt = now
	sc.pendingSections.Merge(d)
	sc.applyPendingSections(now)
	return nil
}

// applySection applies a section to the targets. taken reports whether the sender's revision
// is newer, and complete whether the targets are now equal to the sender's. Errors:
// CodeMalformed, CodeInternal.
func (sc *stateCache) applySection(now time.Time, s *heartbeat.Section, from origin) (taken, complete bool, err error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	cached, revision := &sc.states[heartbeat.Targets], s.VersionInfo.Revision()
	if !cached.revision.Before(revision) {
		return false, false, nil
	}
	d, err := s.Difference(sc.targets)
	if err != nil {
		return false, false, err
	}
	sc.logLeaving(now, d, revision, viaSection, from)
	if err := sc.targets.Apply(d); err != nil {
		return false, false, err
	}
	sc.lastSectionAt = now
	sc.pendingSections.Merge(d)
	sc.history = heartbeat.History{}
	cached.content = nil
	if sc.targets.Checksum() != s.VersionInfo.Checksum {
		if cached.isKnown() {
			cached.sum = sc.targets.Checksum()
		}
		sc.sectionsMissing = true
		return true, false, nil
	}
	sc.sectionsMissing = false
	sc.setContent(now, heartbeat.Targets, s.VersionInfo.Checksum, revision, from)
	sc.applyPendingSections(now)
	sc.updateMarks(now)
	sc.logTargetsChanged(from)
	return true, true, nil
}

// applyPendingSections applies pending changes by sections to the router. The caller holds
// sc.mu.
func (sc *stateCache) applyPendingSections(now time.Time) {
	if sc.pendingSections.Empty() {
		return
	}
	sc.router.ChangeRegistrations(now, sc.pendingSections.Put, sc.pendingSections.Removed)
	sc.updateMarks(now)
	sc.pendingSections = heartbeat.Difference{}
}

// flushSections applies pending changes by sections to the router. They are batched because
// the router copies its targets at each change.
func (sc *stateCache) flushSections(now time.Time) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.applyPendingSections(now)
}

// digests returns the bucket digests of the targets.
func (sc *stateCache) digests() []byte {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.targets.Digests()
}

// pinShare is the share of the time in which an update has to be in force for which a VM sends
// sections of the same registrations. While registrations change, sections of the newest ones would
// belong to a different revision in each response, and their receiver would never be complete. It
// gets the changes since then afterwards.
const pinShare = 0.25

// pinnedTargets are the registrations of which a VM sends sections.
type pinnedTargets struct {
	registrations *heartbeat.Registrations
	revision      baobabstep.Revision
	confirmedAt   time.Time
	read          heartbeat.ReadID
	pinnedAt      time.Time
}

// pin replaces the pinned registrations by the cached ones unless they are at most maxAge old, of
// the same era and newer than those of a requester at a revision. The caller holds sc.mu.
func (sc *stateCache) pin(now time.Time, requester baobabstep.Revision, maxAge time.Duration) {
	cached := &sc.states[heartbeat.Targets]
	if p := sc.pinned; p != nil && now.Sub(p.pinnedAt) < maxAge && p.revision.Era == cached.revision.Era && requester.Before(p.revision) {
		return
	}
	sc.pinned = &pinnedTargets{
		registrations: sc.targets.Clone(), revision: cached.announced(now).Revision(), confirmedAt: cached.confirmedAt, read: cached.read, pinnedAt: now,
	}
}

// differingSections returns sections of the buckets of the pinned registrations that differ from
// digests, for a requester at a revision. The pinned registrations are at most maxAge old. complete
// reports whether the sections are all that differ. The first bucket depends on the VM, so that
// responses of several VMs to one requester overlap less.
func (sc *stateCache) differingSections(now time.Time, requester baobabstep.Revision, digests []byte, self baobabstep.VMID, maxAge time.Duration) (sections []*heartbeat.Section, complete bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.pin(now, requester, maxAge)
	p := sc.pinned
	info := heartbeat.MakeVersionInfo(p.revision, p.registrations.Checksum(), now.Sub(p.confirmedAt))
	info.Read = p.read
	return p.registrations.Sections(info, digests, int(uint64(self)%heartbeat.NumBuckets), maxResponseBytes)
}

// incompleteTargets reports whether only some of the registrations are known, and when the
// last of them were received.
func (sc *stateCache) incompleteTargets() (since time.Time, incomplete bool) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.lastSectionAt, !sc.states[heartbeat.Targets].isKnown() && !sc.lastSectionAt.IsZero()
}

// targetCount returns the number of known targets.
func (sc *stateCache) targetCount() int {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.targets.Len()
}

// needsMoreSections reports whether sections are missing and the last one was received within
// sectionRequestTimeout.
func (sc *stateCache) needsMoreSections(now time.Time) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.sectionsMissing && now.Sub(sc.lastSectionAt) < sectionRequestTimeout
}

// sectionRequestTimeout is how long after the last section a VM continues to request the
// missing ones without receiving a heartbeat that announces a newer revision.
const sectionRequestTimeout = 2 * time.Second

// requestMissingSections requests the sections that are still missing. It does not wait for a
// heartbeat of a VM that holds them, as heartbeats can be infrequent.
func (n *Node) requestMissingSections(now time.Time) {
	cached := n.cache.state(heartbeat.Targets).revision
	if n.cache.needsMoreSections(now) && n.allowRequest(now, heartbeat.Targets, cached) {
		n.sendRequest(now, heartbeat.Targets)
	}
}
