package token

import (
	"time"

	"baobabstep"
)

// ConfirmTable records that at a time the store held no newer routing table than the one in
// force. Until the first call no caller is reset for lack of a route: the table may come from an
// outdated replica that lacks routes which other VMs already serve.
func (r *Router) ConfirmTable(at time.Time) {
	for {
		known := r.tableConfirmedAt.Load()
		if known != nil && !at.After(*known) || r.tableConfirmedAt.CompareAndSwap(known, &at) {
			return
		}
	}
}

// handleUnrouted resets or drops a segment of a flow whose address has no route, or no route any
// more.
func (r *Router) handleUnrouted(now time.Time, s *snapshot, h flowHash, p *baobabstep.Segment, out *[]baobabstep.OutgoingDatagram) {
	shard := r.flows.shard(h)
	shard.mu.Lock()
	since := shard.markUnrouted(now, p)
	shard.mu.Unlock()
	if !r.routeIsAbsent(since) {
		r.record(now, EventRouteUnconfirmed, s, nil, nil, p)
		return
	}
	r.record(now, EventUnrouted, s, nil, nil, p)
	if p.Kind != baobabstep.KindReset {
		appendReset(p, out)
	}
}

// routeIsAbsent reports whether the store is known to have held no route for an address at or
// after a time.
func (r *Router) routeIsAbsent(since time.Time) bool {
	confirmed := r.tableConfirmedAt.Load()
	return confirmed != nil && !confirmed.Before(since)
}

// confirmationSlack is how much later than a segment the store must have lacked its route. The time
// of a confirmation that VMs pass on is late by the transit time of their messages.
const confirmationSlack = 200 * time.Millisecond

// maxUnroutedFlows limits the established flows without a route that a shard records. Segments of
// further ones are dropped.
const maxUnroutedFlows = 1024

// markUnrouted returns the time at which the route of a segment's flow must be known to be absent
// for the caller to be reset: any time for a new flow, and for a flow that this VM has routed
// before.
//
// An established flow that this VM knows nothing of was routed by another VM, perhaps by a newer
// table. A reset would end it although its target lives, so it has to be known that the route was
// absent after the flow was open. The caller retransmits what is dropped until then.
func (s *shard) markUnrouted(now time.Time, p *baobabstep.Segment) (since time.Time) {
	known := s.flows[p.Flow] != nil
	s.remove(p.Flow)
	if p.Kind == baobabstep.KindOpen || p.Kind == baobabstep.KindReset {
		delete(s.unrouted, p.Flow)
		return time.Time{}
	}
	mark, marked := s.unrouted[p.Flow]
	switch {
	case !marked && len(s.unrouted) >= maxUnroutedFlows:
		return now.Add(confirmationSlack)
	case known:
		mark.since = time.Time{}
	case !marked:
		mark.since = now.Add(confirmationSlack)
	}
	if s.unrouted == nil {
		s.unrouted = make(map[baobabstep.FlowKey]unroutedFlow)
	}
	mark.lastPacketAt = now
	s.unrouted[p.Flow] = mark
	return mark.since
}

// unroutedFlow is an established flow whose address has no route.
type unroutedFlow struct {
	// since is as returned by markUnrouted.
	since, lastPacketAt time.Time
}

// expireUnrouted drops the records of flows without a route that were idle for a time. The caller
// holds s.mu.
func (s *shard) expireUnrouted(now time.Time, idle time.Duration) {
	for key, mark := range s.unrouted {
		if now.Sub(mark.lastPacketAt) >= idle {
			delete(s.unrouted, key)
		}
	}
}

// appendReset appends a reset of the segment's flow to its caller.
func appendReset(p *baobabstep.Segment, out *[]baobabstep.OutgoingDatagram) {
	*out = append(*out, baobabstep.OutgoingDatagram{Flow: p.Flow, Seq: p.Acked})
}
