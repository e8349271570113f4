package token

import (
	"math"
	"slices"
	"time"

	"baobabstep"
)

const (
	// lateAt is the mean time of answers, as a part of the aim of a route, from
	// which its ordinary flows are refused. Times in a queue spread so far that
	// one answer in ten is late at four tenths.
	//
	// The load that it answers is one beyond the slots, in which every queue is
	// full: what is taken then waits behind a whole queue, is late, and makes all
	// others late. Lower, calm days would be refused flows.
	lateAt = 0.3
	// calmFactor is by how much longer than in calm times answers have to take as
	// well. Where the aim is hardly more than what a request takes in a slot,
	// nothing is gained by refusing: it is not the queue that makes them late.
	calmFactor = 1.5
)

// admits tells whether a new flow of the rule is taken, where answers of the best
// target take the given time, and a calm time while hardly any request waits;
// draw is a random number.
//
// The part that is refused grows with the time: just as much is taken as keeps
// the time where it is, so that admission does not swing between all and nothing.
// A caller that is refused knows at once, may try again, and knows that nothing
// ran.
func (r *rule) admits(took, calm time.Duration, draw uint64) bool {
	limit := max(lateAt*r.aim.Seconds(), calmFactor*calm.Seconds())
	if !r.ordinary || r.aim <= 0 || calm <= 0 || took.Seconds() <= limit {
		return true
	}
	return float64(draw)/math.MaxUint64 < limit/took.Seconds()
}

// leastUrgent returns, for each service, the priority of its least urgent rule.
func leastUrgent(table *baobabstep.RoutingTable) map[string]int {
	least := make(map[string]int)
	for i := range table.Rules {
		for _, share := range table.Rules[i].Shares {
			if priority, known := least[share.Service]; !known || table.Rules[i].Priority > priority {
				least[share.Service] = table.Rules[i].Priority
			}
		}
	}
	return least
}

// isOrdinary tells whether the flows of a rule may be refused for want of room:
// their requests may be repeated, and no rule of the same service is less urgent.
func isOrdinary(rule *baobabstep.Rule, leastUrgent map[string]int) bool {
	lessUrgent := func(s baobabstep.Share) bool { return leastUrgent[s.Service] > rule.Priority }
	return rule.Repeatable && !slices.ContainsFunc(rule.Shares, lessUrgent)
}
