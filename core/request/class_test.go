package request

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// An account gives the class of its callers by their addresses. A caller that
// asks for more than that would be served before everyone else.
func TestClassFollowsTheRulesOfTheService(t *testing.T) {
	b := newBench(t, 3, 1, 1)
	everyone := baobabstep.ClassRule{Callers: netip.MustParsePrefix("0.0.0.0/0"), Class: baobabstep.ClassOrdinary}
	b.config.Services[0].ClassRules = []baobabstep.ClassRule{everyone}
	key := b.ask(b.members()[0], request{number: 1, idempotent: true, timeout: time.Second, class: baobabstep.ClassUrgent})
	b.run(5 * time.Millisecond)
	found, known := b.vms[b.members()[0]].engine.Explain(key)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, found.Class, qt.Equals, baobabstep.ClassOrdinary.String())
}
