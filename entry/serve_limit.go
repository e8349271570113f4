package entry

import (
	"net/netip"
	"time"
)

// serveRate returns the rate limit, in bytes a second, of sending content to other VMs.
func (n *Node) serveRate() float64 {
	return n.options.Settings.Token.LinkBytesPerSecond() * contentLinkShare
}

// reserveServe reports whether size bytes may be sent to a requester now, and if so counts
// them against the rate limit.
//
// The last requester keeps priority until it has sent no request for servePriority after the
// limit allows one. If many VMs that lack the same content were served in turn, all of them
// would complete it late, and none could relay it in the meantime.
func (n *Node) reserveServe(now time.Time, to netip.AddrPort, size int) bool {
	s := &n.exchange
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.canServe(now, to) {
		return false
	}
	s.lastServed = to
	s.nextServeAt = now.Add(time.Duration(float64(size) / n.serveRate() * float64(time.Second)))
	return true
}

// canServe reports whether the rate limit allows sending anything to a requester now.
func (n *Node) canServe(now time.Time, to netip.AddrPort) bool {
	n.exchange.mu.Lock()
	defer n.exchange.mu.Unlock()
	return n.exchange.canServe(now, to)
}

// canServe is Node.canServe for callers that hold s.mu.
func (s *peerExchange) canServe(now time.Time, to netip.AddrPort) bool {
	earliest := s.nextServeAt
	if s.lastServed.IsValid() && to != s.lastServed {
		earliest = earliest.Add(servePriority)
	}
	return s.nextServeAt.IsZero() || !now.Before(earliest)
}

// endPriority ends the priority of the last requester.
func (n *Node) endPriority() {
	n.exchange.mu.Lock()
	defer n.exchange.mu.Unlock()
	n.exchange.lastServed = netip.AddrPort{}
}
