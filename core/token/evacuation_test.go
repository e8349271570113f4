package token

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// assertPlaced checks that new flows from port on go to targets of one data centre.
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

// Operators empty a data centre. Callers that open a flow are served by the others;
// callers with an open flow keep it, since the platform counts a reset that no
// target sent as a broken flow, and the target still answers.
func TestEvacuatedDataCentreGetsNoNewFlow(t *testing.T) {
	r := newRouter(t)
	key := flowFrom(1, fixtures)
	target, token := open(t, r, start, key)
	qt.Assert(t, target, qt.Equals, baobabstep.TargetID(1))
	r.SetEvacuations(start, []string{"a"})
	assertPlaced(t, r, start, 100, 2)
	assertPassed(t, r, start, data(key, token), 1)

	t.Run("nor does a target that appears there", func(t *testing.T) {
		r.ChangeRegistrations(start, []baobabstep.Registration{registration(4, "fixtures", "a")}, nil)
		assertPlaced(t, r, start, 200, 2)
		r.SetRegistrations(start, append(threeTargets(), registration(5, "fixtures", "a")))
		assertPlaced(t, r, start, 300, 2)
	})
	t.Run("nor the copy of a first segment that went there", func(t *testing.T) {
		r := newRouter(t)
		key := flowFrom(1, fixtures)
		open(t, r, start, key)
		r.SetEvacuations(start, []string{"a"})
		target, _ := open(t, r, start.Add(200*time.Millisecond), key)
		qt.Assert(t, target, qt.Equals, baobabstep.TargetID(2))
	})
	t.Run("until it is taken back", func(t *testing.T) {
		r.SetEvacuations(start, nil)
		r.SetOthers(start, map[baobabstep.TargetID]baobabstep.TargetLoad{2: {Requests: 1000}}, map[string]int{"b": 1})
		assertPlaced(t, r, start, 400, 1, 5)
	})
}

// Operators empty every data centre that holds a service. Nothing may go there any
// more, so callers are refused at once, which is true: nothing ran.
func TestAllIsEvacuated(t *testing.T) {
	r := newRouter(t)
	r.SetEvacuations(start, []string{"a", "b"})
	key := flowFrom(1, fixtures)
	assertReset(t, r, start, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq})
	t.Run("the log says why", func(t *testing.T) {
		s := r.current.Load()
		e := r.about(start, EventRefused, s, s.rules[fixtures], nil, nil)
		qt.Assert(t, e.Evacuated, qt.Equals, 2)
		qt.Assert(t, e.Known, qt.Equals, 2)
	})
}
