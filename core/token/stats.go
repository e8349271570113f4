package token

import "sync/atomic"

type counts struct {
	placed, copies, moved, passed, refused, ended, unrouted, unknown, unready atomic.Uint64
}

// Stats counts packets since the start, and what is held now.
type Stats struct {
	// Placed are first packets sent to a target chosen for them, Copies their
	// repetitions, Passed later packets.
	Placed, Copies, Passed uint64
	// Moved are copies of first packets sent to another target.
	Moved uint64
	// Refused found no target, Unrouted no route, Unknown no target for their
	// token; Unready came before routes and targets were known.
	Refused, Unrouted, Unknown, Unready uint64
	// Ended are flows reset because their target is out of reach.
	Ended uint64
	// Flows are the records held.
	Flows int
	// Version is the routing table's; Targets are those known.
	Version uint64
	Targets int
}

// Stats returns the present counts.
func (r *Router) Stats() Stats {
	s := r.current.Load()
	return Stats{
		Placed: r.counts.placed.Load(), Copies: r.counts.copies.Load(), Moved: r.counts.moved.Load(), Passed: r.counts.passed.Load(),
		Refused: r.counts.refused.Load(), Ended: r.counts.ended.Load(), Unrouted: r.counts.unrouted.Load(),
		Unknown: r.counts.unknown.Load(), Unready: r.counts.unready.Load(),
		Flows: r.flows.count(), Version: s.version, Targets: len(s.targets),
	}
}
