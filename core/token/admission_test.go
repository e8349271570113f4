package token

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

func TestAdmits(t *testing.T) {
	const ms = time.Millisecond
	for _, test := range []struct {
		name              string
		ordinary          bool
		latencyObjective  time.Duration
		latency, unloaded time.Duration
		refused           float64 // expected fraction of refused flows
	}{
		{"unloaded service", true, 120 * ms, 28 * ms, 25 * ms, 0},
		{"latency of twice the limit", true, 120 * ms, 72 * ms, 20 * ms, 0.5},
		{"latency of four times the limit", true, 120 * ms, 144 * ms, 20 * ms, 0.75},
		{"latency of four times the limit, urgent flow", false, 120 * ms, 144 * ms, 20 * ms, 0},
		{"an objective below the unloaded latency", true, 20 * ms, 33 * ms, 25 * ms, 0},
		{"an objective below the unloaded latency, and a queue", true, 20 * ms, 75 * ms, 25 * ms, 0.5},
		{"a long objective", true, 400 * ms, 110 * ms, 25 * ms, 0},
		{"no objective", true, 0, 900 * ms, 25 * ms, 0},
		{"no unloaded latency known yet", true, 120 * ms, 900 * ms, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &rule{ordinary: test.ordinary, latencyObjective: test.latencyObjective}
			refused := 0
			const draws = 1000
			for i := range uint64(draws) {
				if !r.admits(test.latency, test.unloaded, i*(math.MaxUint64/draws)) {
					refused++
				}
			}
			qt.Assert(t, math.Abs(float64(refused)/draws-test.refused) < 0.01, qt.IsTrue, qt.Commentf("%d of %d", refused, draws))
		})
	}
}

// Guards against refusing flows that must not be refused: of the rules that lead to one
// service, only the least urgent is ordinary, and only if its requests may be repeated.
func TestOrdinaryRules(t *testing.T) {
	rule := func(service string, priority int, repeatable bool) baobabstep.Rule {
		return baobabstep.Rule{Priority: priority, Repeatable: repeatable, Shares: []baobabstep.Share{{Service: service}}}
	}
	table := &baobabstep.RoutingTable{Rules: []baobabstep.Rule{
		rule("a", 2, true), rule("a", 1, true), rule("a", 2, false), rule("b", 0, true), rule("c", 3, false),
	}}
	for i, want := range []bool{true, false, false, true, false} {
		qt.Check(t, isOrdinary(&table.Rules[i], lowestPriorities(table)), qt.Equals, want, qt.Commentf("rule %d", i))
	}
}
