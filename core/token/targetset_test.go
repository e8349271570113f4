package token

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// Guards against loads of other VMs that are lost because they arrived before the
// target's registration.
func TestNewTargetsAreReportedOnce(t *testing.T) {
	r := newRouter(t)
	qt.Assert(t, r.TakeNewTargets(), qt.DeepEquals, []baobabstep.TargetID{1, 2, 3})
	qt.Assert(t, r.TakeNewTargets(), qt.HasLen, 0)
	again := registration(2, "fixtures", "b")
	again.StartedMS = 7
	r.ChangeRegistrations(start, []baobabstep.Registration{again, registration(3, "results", "a"), registration(4, "results", "a")}, nil)
	qt.Assert(t, r.TakeNewTargets(), qt.DeepEquals, []baobabstep.TargetID{2, 4})
}

// Guards against an empty heartbeat because another goroutine prepares one at the same
// time.
func TestLoadsFromTwoGoroutines(t *testing.T) {
	r := newRouter(t)
	open(t, r, start, flowFrom(1, fixtures))
	ended := make(chan error)
	for range 2 {
		go func() {
			for range 1000 {
				if got := len(r.Loads(start)); got != 1 {
					ended <- fmt.Errorf("got %d loads, want 1", got)
					return
				}
			}
			ended <- nil
		}()
	}
	qt.Assert(t, <-ended, qt.IsNil)
	qt.Assert(t, <-ended, qt.IsNil)
}

// Guards against a cost of heartbeats that grows with the number of known targets.
func TestLoadsListOnlyActiveTargets(t *testing.T) {
	for _, targets := range []int{10, 100, 1000} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			r := newRouter(t)
			list := make([]baobabstep.Registration, targets)
			for i := range list {
				list[i] = registration(baobabstep.TargetID(i+1), "fixtures", "a")
			}
			r.SetRegistrations(start, list)
			qt.Assert(t, r.Loads(start), qt.HasLen, 0)
			target, _ := open(t, r, start, flowFrom(1, fixtures))
			loads := r.Loads(start)
			qt.Assert(t, loads, qt.HasLen, 1)
			qt.Assert(t, loads[0].Target, qt.Equals, target)
			qt.Assert(t, r.Loads(start.Add(time.Second)), qt.HasLen, 1)
			qt.Assert(t, r.Loads(start.Add(time.Minute)), qt.HasLen, 0)
		})
	}
}
