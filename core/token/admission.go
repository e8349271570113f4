package token

import (
	"math"
	"slices"
	"time"

	"baobabstep"
)

const (
	// admissionObjectiveFraction is the mean latency, as a fraction of the rule's latency
	// objective, above which ordinary flows are refused. Latencies in a queue vary so much
	// that at a mean of 0.4 of the objective one answer in ten is late.
	//
	// The limit is meant for loads that exceed the slots, with every queue full: a request
	// admitted then waits behind a full queue, is late, and delays all others. A lower
	// fraction would refuse flows under normal load.
	admissionObjectiveFraction = 0.3
	// admissionUnloadedFactor is the ratio of the mean latency to the unloaded latency that
	// has to be exceeded as well. Where the objective is close to the service time of a
	// request, answers are late without any queue, and refusing flows does not help.
	admissionUnloadedFactor = 1.5
)

// admits reports whether to accept a new flow of the rule, given the latency at the best
// target and the unloaded latency of the service; draw is a random number.
//
// The refused fraction grows with the latency, so that just enough flows are admitted to
// keep the latency constant; admission then does not oscillate between all and none. A
// refused caller learns at once that nothing ran, and may retry.
func (r *rule) admits(latency, unloaded time.Duration, draw uint64) bool {
	limit := max(admissionObjectiveFraction*r.latencyObjective.Seconds(), admissionUnloadedFactor*unloaded.Seconds())
	if !r.ordinary || r.latencyObjective <= 0 || unloaded <= 0 || latency.Seconds() <= limit {
		return true
	}
	return float64(draw)/math.MaxUint64 < limit/latency.Seconds()
}

// lowestPriorities returns, for each service, the priority value of its least urgent rule.
func lowestPriorities(table *baobabstep.RoutingTable) map[string]int {
	lowest := make(map[string]int)
	for i := range table.Rules {
		for _, share := range table.Rules[i].Shares {
			if priority, known := lowest[share.Service]; !known || table.Rules[i].Priority > priority {
				lowest[share.Service] = table.Rules[i].Priority
			}
		}
	}
	return lowest
}

// isOrdinary reports whether flows of a rule may be refused under overload: its requests
// may be repeated, and no rule of the same service is less urgent.
func isOrdinary(rule *baobabstep.Rule, lowest map[string]int) bool {
	lessUrgent := func(s baobabstep.Share) bool { return lowest[s.Service] > rule.Priority }
	return rule.Repeatable && !slices.ContainsFunc(rule.Shares, lessUrgent)
}
