package entry

import (
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// If the registrations do not fit one page of the store, a VM that starts reads the
// first page and requests sections with the others from its peers. Until its targets
// are complete it routes flows to those it knows and announces no revision of them.

// holdIncomplete takes in some of the registrations, unless a complete list is held.
func (b *beliefs) holdIncomplete(now time.Time, list []baobabstep.Registration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held[heartbeat.Targets].isHeld() {
		return nil
	}
	d := heartbeat.Difference{Put: list}
	if err := b.targets.Apply(d); err != nil {
		return err
	}
	b.lastSectionAt = now
	b.unapplied.Merge(d)
	b.applySections(now)
	return nil
}

// takeSection applies a section to the targets. taken tells whether the sender's
// revision is newer, and complete whether the targets are now equal to the sender's.
// Errors: CodeMalformed, CodeInternal.
func (b *beliefs) takeSection(now time.Time, s *heartbeat.Section, from origin) (taken, complete bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held, revision := &b.held[heartbeat.Targets], s.Held.Revision()
	if !held.revision.Before(revision) {
		return false, false, nil
	}
	d, err := s.Difference(b.targets)
	if err != nil {
		return false, false, err
	}
	if err := b.targets.Apply(d); err != nil {
		return false, false, err
	}
	b.lastSectionAt = now
	b.unapplied.Merge(d)
	b.history = heartbeat.History{}
	held.content = nil
	if b.targets.Sum() != s.Held.Sum {
		if held.isHeld() {
			held.sum = b.targets.Sum()
		}
		b.sectionsMissing = true
		return true, false, nil
	}
	b.sectionsMissing = false
	b.replace(now, heartbeat.Targets, s.Held.Sum, revision, from)
	b.applySections(now)
	b.logTargets(from)
	return true, true, nil
}

// applySections applies pending changes by sections to the router. The caller holds b.mu.
func (b *beliefs) applySections(now time.Time) {
	if b.unapplied.Empty() {
		return
	}
	b.router.ChangeRegistrations(now, b.unapplied.Put, b.unapplied.Gone)
	b.unapplied = heartbeat.Difference{}
}

// settleSections applies pending changes by sections to the router. They are batched
// because the router copies its targets at each change.
func (b *beliefs) settleSections(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.applySections(now)
}

// digests returns the bucket digests of the targets.
func (b *beliefs) digests() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets.Digests()
}

// sections returns sections of the buckets that differ from digests. The first bucket
// depends on the VM, so that responses of several VMs to one requester overlap less.
func (b *beliefs) sections(now time.Time, digests []byte, self baobabstep.VMID) []*heartbeat.Section {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := b.held[heartbeat.Targets].told(now)
	return b.targets.Sections(told, digests, int(uint64(self)%heartbeat.NumBuckets), maxAnswerBytes)
}

// incompleteTargets tells whether only some of the registrations are known, and when
// the last of them were received.
func (b *beliefs) incompleteTargets() (since time.Time, incomplete bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastSectionAt, !b.held[heartbeat.Targets].isHeld() && !b.lastSectionAt.IsZero()
}

// needsMoreSections tells whether sections are missing and the last one was received
// within sectionRequestTimeout.
func (b *beliefs) needsMoreSections(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sectionsMissing && now.Sub(b.lastSectionAt) < sectionRequestTimeout
}

// sectionRequestTimeout is how long after the last section a VM continues to request the
// missing ones without receiving a heartbeat that announces a newer revision.
const sectionRequestTimeout = 2 * time.Second

// requestMissingSections requests the sections that are still missing. It does not wait
// for a heartbeat of a VM that holds them, as heartbeats can be infrequent.
func (n *Node) requestMissingSections(now time.Time) {
	held := n.beliefs.get(heartbeat.Targets).revision
	if n.beliefs.needsMoreSections(now) && n.mayWant(now, heartbeat.Targets, held) {
		n.sendWant(now, heartbeat.Targets)
	}
}
