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
		name       string
		ordinary   bool
		aim        time.Duration
		took, calm time.Duration
		refused    float64 // the part of the flows
	}{
		{"a calm day", true, 120 * ms, 28 * ms, 25 * ms, 0},
		{"answers take twice the limit", true, 120 * ms, 72 * ms, 20 * ms, 0.5},
		{"answers take four times the limit", true, 120 * ms, 144 * ms, 20 * ms, 0.75},
		{"the same, for urgent flows", false, 120 * ms, 144 * ms, 20 * ms, 0},
		{"an aim that no request can meet", true, 20 * ms, 33 * ms, 25 * ms, 0},
		{"the same, and a queue", true, 20 * ms, 75 * ms, 25 * ms, 0.5},
		{"an aim that is far", true, 400 * ms, 110 * ms, 25 * ms, 0},
		{"no aim", true, 0, 900 * ms, 25 * ms, 0},
		{"a VM that has seen too little", true, 120 * ms, 900 * ms, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &rule{ordinary: test.ordinary, aim: test.aim}
			refused := 0
			const draws = 1000
			for i := range uint64(draws) {
				if !r.admits(test.took, test.calm, i*(math.MaxUint64/draws)) {
					refused++
				}
			}
			qt.Assert(t, math.Abs(float64(refused)/draws-test.refused) < 0.01, qt.IsTrue, qt.Commentf("%d of %d", refused, draws))
		})
	}
}

// Of the rules that lead to one service only the least urgent is ordinary, and only
// if its requests may be repeated.
func TestOrdinaryRules(t *testing.T) {
	rule := func(service string, priority int, repeatable bool) baobabstep.Rule {
		return baobabstep.Rule{Priority: priority, Repeatable: repeatable, Shares: []baobabstep.Share{{Service: service}}}
	}
	table := &baobabstep.RoutingTable{Rules: []baobabstep.Rule{
		rule("a", 2, true), rule("a", 1, true), rule("a", 2, false), rule("b", 0, true), rule("c", 3, false),
	}}
	for i, want := range []bool{true, false, false, true, false} {
		qt.Check(t, isOrdinary(&table.Rules[i], leastUrgent(table)), qt.Equals, want, qt.Commentf("rule %d", i))
	}
}
