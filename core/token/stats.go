package token

import (
	"sync/atomic"

	"baobabstep/core/answer"
)

type counts struct {
	passed atomic.Uint64
	events [numEvents]atomic.Uint64
	// outcomes are those of requests, by answer.Outcome.
	outcomes [answer.NumOutcomes]atomic.Uint64
}

// Stats counts decisions since the start, and what is held now.
type Stats struct {
	// Events counts each kind of event, by its name.
	Events map[string]uint64
	// Passed are later segments sent to the targets that their tokens name.
	Passed uint64
	// Outcomes counts what became of requests, by the names of package answer.
	Outcomes map[string]uint64
	// Flows are the records held.
	Flows int
	// Version is the routing table's; Targets are those known, Silent those of
	// them that get no new flows, and Failing those that get few.
	Version                  uint64
	Targets, Silent, Failing int
	// Evacuated are the data centres that get no new flow.
	Evacuated int
}

// Stats returns the present counts.
func (r *Router) Stats() Stats {
	s := r.current.Load()
	stats := Stats{
		Events: make(map[string]uint64, numEvents), Outcomes: make(map[string]uint64, answer.NumOutcomes), Passed: r.counts.passed.Load(),
		Flows: r.flows.count(), Version: s.version, Targets: len(s.targets), Evacuated: len(s.evacuated),
	}
	for kind := range numEvents {
		stats.Events[kind.String()] = r.counts.events[kind].Load()
	}
	for outcome := range answer.NumOutcomes {
		stats.Outcomes[outcome.String()] = r.counts.outcomes[outcome].Load()
	}
	for _, t := range s.targets {
		if t.load.judged().State != answer.Trusted {
			stats.Failing++
		}
		if flows, _ := t.load.unanswered(); flows >= suspectAt {
			stats.Silent++
		}
	}
	return stats
}
