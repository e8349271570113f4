package entry

import (
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

// markLeaving keeps new flows from the targets that leave by a change that does not apply yet.
func (sc *stateCache) markLeaving(now time.Time, c *heartbeat.Change) {
	if c.Kind != heartbeat.Targets {
		return
	}
	leaving, err := c.LeavingTargets()
	if err != nil || len(leaving) == 0 {
		return
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	var known []baobabstep.Registration
	for _, r := range leaving {
		if old, ok := sc.targets.Get(r.ID); ok && old.StartedMS == r.StartedMS {
			known = append(known, r)
		}
	}
	if len(known) > 0 {
		sc.router.ChangeRegistrations(now, known, nil)
	}
}
