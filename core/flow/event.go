package flow

import "strings"

// Event is a kind of event that the router counts.
type Event uint8

// Events. The line comment of each is its name in metrics.
const (
	EventForwarded             Event = iota // forwarded
	EventAskedPreviousOwner                 // asked_previous_owner
	EventReturnedExhausted                  // returned_exhausted
	EventOpened                             // flow_opened
	EventEstablished                        // flow_established
	EventClosed                             // flow_closed
	EventReset                              // flow_reset
	EventRefusedByTarget                    // open_refused_by_target
	EventOpenRefused                        // open_refused
	EventOpenRepeated                       // open_repeated
	EventOpenExpired                        // open_expired
	EventHalfOpenEvicted                    // half_open_evicted
	EventHalfOpenLimit                      // half_open_limit
	EventReplicated                         // replicated
	EventSingleCopy                         // single_copy
	EventLearned                            // learned
	EventCopyConfirmed                      // copy_confirmed
	EventConflict                           // conflict
	EventConflictOfEstablished              // conflict_of_established
	EventRepairSent                         // repair_sent
	EventCopyAudited                        // copy_audited
	EventHandedOver                         // handed_over
	EventSurplusDropped                     // surplus_dropped
	EventRecoveredFromTarget                // recovered_from_target
	EventTargetSearch                       // target_search
	EventTargetSearchLimit                  // target_search_limit
	EventUnknownFlowReset                   // unknown_flow_reset
	EventDroppedUnsure                      // dropped_unsure
	EventDroppedPaused                      // dropped_paused
	EventDroppedNotReady                    // dropped_not_ready
	EventDroppedLate                        // dropped_late
	EventDroppedWrongTarget                 // dropped_wrong_target
	EventDroppedUnknown                     // dropped_unknown
	EventDroppedInvalid                     // dropped_invalid
	EventDroppedLoop                        // dropped_loop
	EventServiceMoved                       // service_moved
	EventTargetAddressTaken                 // target_address_taken
	EventTargetQuarantined                  // target_quarantined
	EventDrainedTargetPicked                // drained_target_picked
	EventProbeSent                          // probe_sent
	EventProbeLimit                         // probe_limit
	EventFlowSilent                         // flow_silent
	EventFlowSilentHeld                     // flow_silent_held
	EventPathSuspected                      // path_suspected
	EventInvariantBroken                    // invariant_broken
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
