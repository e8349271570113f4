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

// setSuperseded records the revision to which a response of changes led, if it is not the newest.
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
