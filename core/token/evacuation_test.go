package token

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// assertPlaced checks that 40 new flows, from the given port on, go to exactly the given
// targets.
func assertPlaced(t testing.TB, r *Router, now time.Time, port uint16, want ...baobabstep.TargetID) {
	t.Helper()
	seen := make(map[baobabstep.TargetID]bool)
	for n := range uint16(40) {
		target, _ := open(t, r, now, flowFrom(port+n, fixtures))
		seen[target] = true
	}
	wanted := make(map[baobabstep.TargetID]bool)
	for _, id := range want {
		wanted[id] = true
	}
	qt.Assert(t, seen, qt.DeepEquals, wanted)
}

// A data centre is evacuated. New flows go to other data centres; open flows stay, since
// the platform counts a reset that no target sent as a broken flow, and the target still
// answers.
func TestEvacuatedDataCentreGetsNoNewFlow(t *testing.T) {
	r := newRouter(t)
	key := flowFrom(1, fixtures)
	target, token := open(t, r, start, key)
	qt.Assert(t, target, qt.Equals, baobabstep.TargetID(1))
	r.SetEvacuations(start, []string{"a"})
	assertPlaced(t, r, start, 100, 2)
	assertPassed(t, r, start, data(key, token), 1)

	t.Run("nor does a new target there", func(t *testing.T) {
		r.ChangeRegistrations(start, []baobabstep.Registration{registration(4, "fixtures", "a")}, nil)
		assertPlaced(t, r, start, 200, 2)
		r.SetRegistrations(start, append(threeTargets(), registration(5, "fixtures", "a")))
		assertPlaced(t, r, start, 300, 2)
	})
	t.Run("retransmitted first segment moves to another data centre", func(t *testing.T) {
		r := newRouter(t)
		key := flowFrom(1, fixtures)
		open(t, r, start, key)
		r.SetEvacuations(start, []string{"a"})
		target, _ := open(t, r, start.Add(200*time.Millisecond), key)
		qt.Assert(t, target, qt.Equals, baobabstep.TargetID(2))
	})
	t.Run("until the evacuation ends", func(t *testing.T) {
		r.SetEvacuations(start, nil)
		r.SetPeerLoads(start, map[baobabstep.TargetID]baobabstep.TargetLoad{2: {Requests: 1000}}, map[string]int{"b": 1})
		assertPlaced(t, r, start, 400, 1, 5)
	})
}

// Every data centre that holds a service is evacuated. New flows are refused at once, so
// that callers know that nothing ran.
func TestAllDataCentresEvacuated(t *testing.T) {
	r := newRouter(t)
	r.SetEvacuations(start, []string{"a", "b"})
	key := flowFrom(1, fixtures)
	assertReset(t, r, start, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq})
	t.Run("the event counts evacuated targets", func(t *testing.T) {
		s := r.current.Load()
		e := r.newEvent(start, EventRefused, s, s.rules[fixtures], nil, nil)
		qt.Assert(t, e.Evacuated, qt.Equals, 2)
		qt.Assert(t, e.Known, qt.Equals, 2)
	})
}
