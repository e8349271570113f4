package flow

import "strings"

// Event is a kind of event that the router counts.
type Event uint8

// Events. The line comment of each is its name in metrics.
const (
	EventForwarded          Event = iota // forwarded
	EventAsked                           // asked_previous_owner
	EventReturned                        // returned_exhausted
	EventOpened                          // flow_opened
	EventEstablished                     // flow_established
	EventClosed                          // flow_closed
	EventReset                           // flow_reset
	EventRefusedByTarget                 // open_refused_by_target
	EventOpenRefused                     // open_refused
	EventOpenRepeated                    // open_repeated
	EventOpenExpired                     // open_expired
	EventHalfOpenEvicted                 // half_open_evicted
	EventHalfOpenLimit                   // half_open_limit
	EventReplicated                      // replicated
	EventSingleCopy                      // single_copy
	EventLearned                         // learned
	EventConfirmed                       // copy_confirmed
	EventConflict                        // conflict
	EventConflictOfTwo                   // conflict_of_established
	EventRepaired                        // repair_sent
	EventAudited                         // copy_audited
	EventHandedOver                      // handed_over
	EventSurplusDropped                  // surplus_dropped
	EventRecovered                       // recovered_from_target
	EventSearched                        // target_search
	EventSearchLimit                     // target_search_limit
	EventUnknownReset                    // unknown_flow_reset
	EventDroppedUnsure                   // dropped_unsure
	EventDroppedPaused                   // dropped_paused
	EventDroppedNotReady                 // dropped_not_ready
	EventDroppedLate                     // dropped_late
	EventDroppedWrongTarget              // dropped_wrong_target
	EventDroppedUnknown                  // dropped_unknown
	EventDroppedInvalid                  // dropped_invalid
	EventDroppedLoop                     // dropped_loop
	EventServiceMoved                    // service_moved
	EventTargetTaken                     // target_address_taken
	EventQuarantined                     // target_quarantined
	EventDrainedPicked                   // drained_target_picked
	EventProbed                          // probe_sent
	EventProbeLimit                      // probe_limit
	EventSilent                          // flow_silent
	EventSilentHeld                      // flow_silent_held
	EventPathSuspected                   // path_suspected
	EventInvariant                       // invariant_broken
	numEvents
)

// stateName returns the metric name of a state.
func stateName(s State) string { return strings.ToLower(strings.TrimPrefix(s.String(), "State")) }

// Stats holds the counters and gauges of a router.
type Stats struct {
	// Events counts events since the start, by metric name.
	Events map[string]uint64
	// Flows counts records by the metric name of their state.
	Flows map[string]int
	// HalfOpen counts flows whose caller has sent nothing since they
	// opened.
	HalfOpen int
	// Bytes is the memory of the flow table in bytes.
	Bytes int
}

// Stats returns the current counters. It locks one shard at a time.
func (r *Router) Stats() Stats {
	stats := Stats{Events: make(map[string]uint64), Flows: make(map[string]int)}
	var events [numEvents]uint64
	for _, s := range r.shards {
		s.mu.Lock()
		for e := range numEvents {
			events[e] += s.events[e]
		}
		for state := StateSearching; state < numStates; state++ {
			stats.Flows[stateName(state)] += s.counts[state]
		}
		stats.HalfOpen += s.halfOpenCount
		stats.Bytes += s.bytes()
		s.mu.Unlock()
	}
	for e, n := range events {
		stats.Events[Event(e).String()] = n
	}
	return stats
}
