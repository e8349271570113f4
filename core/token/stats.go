package token

import (
	"sync/atomic"

	"baobabstep/core/answer"
	"baobabstep/core/room"
)

type counts struct {
	forwarded atomic.Uint64
	events    [numEvents]atomic.Uint64
	// outcomes counts requests by answer.Outcome.
	outcomes [answer.NumOutcomes]atomic.Uint64
}

// Stats holds counts of decisions since the start, and present sizes.
type Stats struct {
	// Events counts events by the names of their kinds.
	Events map[string]uint64
	// Passed counts later segments sent to the targets that their tokens name.
	Passed uint64
	// Outcomes counts requests by the names of their outcomes in package answer.
	Outcomes map[string]uint64
	// Flows is the number of flow records.
	Flows int
	// Version is that of the routing table in force. Targets counts the known targets,
	// Silent those that get no new flows because they left flows unanswered, and Failing
	// those that get few flows.
	Version                  uint64
	Targets, Silent, Failing int
	// Evacuated is the number of data centres that get no new flows.
	Evacuated int
	// LinkHeld is the number of first segments that wait for the VM's own link, and
	// LinkRefusals counts the flows that it refused, by cause.
	LinkHeld     int
	LinkRefusals map[string]uint64
	// Rooms holds the admission to each service that has targets.
	Rooms map[string]room.State
}

// Stats returns the present counts.
func (r *Router) Stats() Stats {
	s := r.current.Load()
	stats := Stats{
		Events: make(map[string]uint64, numEvents), Outcomes: make(map[string]uint64, answer.NumOutcomes), Passed: r.counts.forwarded.Load(),
		Flows: r.flows.count(), Version: s.version, Targets: len(s.targets), Evacuated: len(s.evacuated),
		LinkHeld: r.bulkGate.Waiting(), LinkRefusals: r.bulkGate.Refusals(),
	}
	for kind := range numEvents {
		stats.Events[kind.String()] = r.counts.events[kind].Load()
	}
	for outcome := range answer.NumOutcomes {
		stats.Outcomes[outcome.String()] = r.counts.outcomes[outcome].Load()
	}
	for _, t := range s.targets {
		if t.load.currentAnswerHealth().State != answer.Trusted {
			stats.Failing++
		}
		if flows, _ := t.load.unansweredCounts(); flows >= suspectThreshold {
			stats.Silent++
		}
	}
	stats.Rooms = make(map[string]room.State, len(s.pools))
	for name, p := range s.pools {
		if len(p.targets) > 0 {
			stats.Rooms[name] = p.targets[0].service.gate.State()
		}
	}
	return stats
}
