package request

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// The account's rules assign a class to callers by their addresses. Without this
// check, callers that request a higher class would be served before all others.
func TestClassFollowsTheRulesOfTheService(t *testing.T) {
	b := newTestBed(t, 3, 1, 1)
	everyone := baobabstep.ClassRule{Callers: netip.MustParsePrefix("0.0.0.0/0"), Class: baobabstep.ClassOrdinary}
	b.config.Services[0].ClassRules = []baobabstep.ClassRule{everyone}
	key := b.sendRequest(b.members()[0], transmission{number: 1, idempotent: true, timeout: time.Second, class: baobabstep.ClassUrgent})
	b.run(5 * time.Millisecond)
	found, known := b.vms[b.members()[0]].engine.Explain(key)
	qt.Assert(t, known, qt.IsTrue)
	qt.Assert(t, found.Class, qt.Equals, baobabstep.ClassOrdinary.String())
}
