package token

import "sync/atomic"

type counts struct {
	passed atomic.Uint64
	events [numEvents]atomic.Uint64
}

// Stats counts decisions since the start, and what is held now.
type Stats struct {
	// Events counts each kind of event, by its name.
	Events map[string]uint64
	// Passed are later segments sent to the targets that their tokens name.
	Passed uint64
	// Flows are the records held.
	Flows int
	// Version is the routing table's; Targets are those known, Silent those of
	// them that get no new flows.
	Version         uint64
	Targets, Silent int
}

// Stats returns the present counts.
func (r *Router) Stats() Stats {
	s := r.current.Load()
	stats := Stats{
		Events: make(map[string]uint64, numEvents), Passed: r.counts.passed.Load(),
		Flows: r.flows.count(), Version: s.version, Targets: len(s.targets),
	}
	for kind := range numEvents {
		stats.Events[kind.String()] = r.counts.events[kind].Load()
	}
	for _, t := range s.targets {
		if flows, _ := t.load.unanswered(); flows >= suspectAt {
			stats.Silent++
		}
	}
	return stats
}
