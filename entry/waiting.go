package entry

import (
	"maps"
	"slices"
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

const (
	// maxWaitingChanges limits the changes that wait for those before them, and maxChangeWait how
	// long they do.
	maxWaitingChanges = 32
	maxChangeWait     = 2 * time.Second
	// maxRelayedChanges limits the changes that are remembered as passed on.
	maxRelayedChanges = 64
)

// waitingChange is a change that is based on content that this VM does not hold yet. Changes can
// overtake each other on their ways through the relay tree.
type waitingChange struct {
	change     *heartbeat.Change
	receivedAt time.Time
}

// relayedChange identifies a change that was passed on.
type relayedChange struct {
	kind     heartbeat.Kind
	revision baobabstep.Revision
	checksum uint64
}

// markRelayed reports whether a change was not passed on yet, and records it.
func (s *peerExchange) markRelayed(c *heartbeat.Change) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := relayedChange{kind: c.Kind, revision: c.Result.Revision(), checksum: c.Result.Checksum}
	if slices.Contains(s.relayed, key) {
		return false
	}
	s.relayed = append(s.relayed, key)
	s.relayed = s.relayed[max(0, len(s.relayed)-maxRelayedChanges):]
	return true
}

// hold keeps a change that does not apply yet. If too many wait, the oldest one is dropped.
func (s *peerExchange) hold(now time.Time, c *heartbeat.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = append(s.waiting, waitingChange{change: c, receivedAt: now})
	s.waiting = s.waiting[max(0, len(s.waiting)-maxWaitingChanges):]
}

// takeWaiting removes and returns a waiting change of content with a checksum, nil if there is
// none. It drops the changes that have waited too long.
func (s *peerExchange) takeWaiting(now time.Time, kind heartbeat.Kind, checksum uint64) *heartbeat.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = slices.DeleteFunc(s.waiting, func(w waitingChange) bool { return now.Sub(w.receivedAt) >= maxChangeWait })
	at := slices.IndexFunc(s.waiting, func(w waitingChange) bool {
		return w.change.Kind == kind && w.change.BaseChecksum == checksum
	})
	if at < 0 {
		return nil
	}
	c := s.waiting[at].change
	s.waiting = slices.Delete(s.waiting, at, at+1)
	return c
}

// leavingMarks are the targets that get no new flows because of changes that do not apply yet, and
// the newest revision of these changes.
type leavingMarks struct {
	targets  map[baobabstep.TargetID]bool
	revision baobabstep.Revision
}

// markLeaving keeps new flows from the targets that leave or end by a change that does not apply
// yet.
func (sc *stateCache) markLeaving(now time.Time, c *heartbeat.Change) {
	if c.Kind != heartbeat.Targets {
		return
	}
	leaving, err := c.LeavingTargets()
	if err != nil {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	leaving = slices.DeleteFunc(leaving, func(r baobabstep.Registration) bool {
		known, ok := sc.targets.Get(r.ID)
		return !ok || known.StartedMS != r.StartedMS
	})
	if len(leaving)+len(c.RemovedTargets) == 0 {
		return
	}
	sc.router.ChangeRegistrations(now, leaving, c.RemovedTargets)
	sc.marks.add(leaving, c)
}

func (m *leavingMarks) add(leaving []baobabstep.Registration, c *heartbeat.Change) {
	if m.targets == nil {
		m.targets = make(map[baobabstep.TargetID]bool)
	}
	for i := range leaving {
		m.targets[leaving[i].ID] = true
	}
	for _, id := range c.RemovedTargets {
		m.targets[id] = true
	}
	if m.revision.Before(c.Result.Revision()) {
		m.revision = c.Result.Revision()
	}
}

// clearMarks applies the cached registrations of the marked targets once these are as new as the
// changes that marked them. The caller holds sc.mu.
func (sc *stateCache) clearMarks(now time.Time) {
	if len(sc.marks.targets) == 0 || sc.states[heartbeat.Targets].revision.Before(sc.marks.revision) {
		return
	}
	var present []baobabstep.Registration
	var gone []baobabstep.TargetID
	for _, id := range slices.Sorted(maps.Keys(sc.marks.targets)) {
		if r, ok := sc.targets.Get(id); ok {
			present = append(present, r)
		} else {
			gone = append(gone, id)
		}
	}
	sc.marks = leavingMarks{}
	sc.router.ChangeRegistrations(now, present, gone)
}

func (s *peerExchange) setSuperseded(revision baobabstep.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.superseded = revision
}

// requestMissingChanges requests the next changes if the last response did not lead to the newest
// registrations. It does not wait for a heartbeat of a VM that holds them.
func (n *Node) requestMissingChanges(now time.Time) {
	held := n.cache.state(heartbeat.Targets).revision
	n.exchange.mu.Lock()
	superseded := held.Number > 0 && n.exchange.superseded == held
	n.exchange.mu.Unlock()
	if superseded && n.allowRequest(now, heartbeat.Targets, held) {
		n.sendRequest(now, heartbeat.Targets)
	}
}
