package main

import (
	"context"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/standin/control"
)

// Two outages overlap, a partition and a lost answer start meanwhile. The stand-in
// replaces all of its faults at each call, so the end of one fault used to end
// the others, and a run held although less had gone wrong than it said.
func TestOverlapOfPlatformFaults(t *testing.T) {
	d := &demo{plan: testPlan(t, "tas-south"), cut: map[string]int{}}
	var now platformFaults
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", control.JSON(func(f platformFaults) (any, error) { now = f; return f, nil }))
	mux.HandleFunc("GET /fault", control.JSON(func(struct{}) (any, error) { return now, nil }))
	ctx, cancel := context.WithCancel(t.Context())
	end, err := control.Serve(ctx, d.plan.platformAddress(), mux)
	qt.Assert(t, err, qt.IsNil)
	defer func() {
		cancel()
		qt.Assert(t, <-end, qt.IsNil)
	}()
	change := func(f func(*overlap)) {
		t.Helper()
		qt.Assert(t, d.changePlatform(t.Context(), f), qt.IsNil)
	}
	change(func(o *overlap) { o.outages++ })
	change(func(o *overlap) { o.outages++ })
	change(func(o *overlap) { o.loseAnswers += 2 })
	d.cut["hobart-a"]++
	change(func(o *overlap) { o.outages-- })
	qt.Assert(t, now.Outage, qt.IsTrue)
	qt.Assert(t, now.LoseAnswers, qt.Equals, 2)
	qt.Assert(t, len(now.RefuseSources) > 0, qt.IsTrue)
	d.cut["hobart-a"]--
	change(func(o *overlap) { o.outages-- })
	qt.Assert(t, now.Outage, qt.IsFalse)
	qt.Assert(t, now.LoseAnswers, qt.Equals, 2)
	qt.Assert(t, now.RefuseSources, qt.HasLen, 0)
}
