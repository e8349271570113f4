package quota

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

var start = time.Unix(1_800_000_000, 0)

// coldTargetLimit returns the limit that the settings of a deployment set for
// cold targets.
func coldTargetLimit(perSecond float64) Limit {
	return Limit{PerSecond: perSecond, Bound: 1.5*perSecond + 5}
}

// viewOf returns the settled view of VM self among all.
func viewOf(self int, all ...int) *View {
	v := &View{Self: vmID(self), Settled: true}
	for _, n := range all {
		if n != self {
			v.Others = append(v.Others, vmID(n))
		}
	}
	return v
}

func vmID(n int) baobabstep.VMID { return baobabstep.MakeVMID(fmt.Sprintf("vm-%d", n)) }

func upTo(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// Callers want as many flows at a cold target as it accepts, but the target must
// not get more. VMs with the same view must together use between half of the
// limit and all of it.
func TestSharesAddUp(t *testing.T) {
	for _, vms := range []int{1, 3, 8, 26, 77, 195} {
		var views []*View
		for n := range vms {
			views = append(views, viewOf(n, upTo(vms)...))
		}
		for _, rate := range []float64{0.3, 1, 1.5, 4, 6, 10, 20} {
			t.Run(fmt.Sprintf("%d VMs, %v a second", vms, rate), func(t *testing.T) {
				limit := coldTargetLimit(rate)
				for key := range uint64(20) {
					sum := 0.0
					for _, view := range views {
						if s := view.ShareOf(key, limit); s.Count > 0 {
							sum += float64(s.Count) / s.Interval.Seconds()
						}
					}
					qt.Assert(t, sum <= min(limit.PerSecond, limit.Bound/2)+1e-6, qt.IsTrue, qt.Commentf("got %v", sum))
					qt.Assert(t, sum >= limit.PerSecond/2, qt.IsTrue, qt.Commentf("got %v", sum))
				}
			})
		}
	}
}

func TestZeroShare(t *testing.T) {
	settled := viewOf(0, 0, 1)
	for _, test := range []struct {
		name  string
		view  *View
		limit Limit
	}{
		{"a VM that may not know the others", &View{Self: 1}, coldTargetLimit(100)},
		{"a limit of zero", settled, coldTargetLimit(0)},
		{"a negative limit", settled, coldTargetLimit(-3)},
		{"a bound below one use", settled, Limit{PerSecond: 5, Bound: 0.9}},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.view.ShareOf(1, test.limit), qt.Equals, Share{})
		})
	}
}

func TestMeter(t *testing.T) {
	share := Share{Count: 2, Interval: time.Second}
	var m Meter
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, ms := range []int{0, 100} {
		qt.Assert(t, m.Allows(at(ms), share), qt.IsTrue)
		m.Record(at(ms), share)
	}
	qt.Assert(t, m.Allows(at(999), share), qt.IsFalse)
	qt.Assert(t, m.Allows(at(1000), share), qt.IsTrue)
	m.Record(at(1000), share)
	qt.Assert(t, m.Allows(at(1099), share), qt.IsFalse)
	qt.Assert(t, m.Allows(at(1100), share), qt.IsTrue)
	t.Run("a share that shrinks counts what was used before", func(t *testing.T) {
		qt.Assert(t, m.Allows(at(1100), Share{Count: 1, Interval: time.Second}), qt.IsFalse)
	})
	t.Run("no share allows nothing", func(t *testing.T) {
		qt.Assert(t, m.Allows(at(9000), Share{}), qt.IsFalse)
	})
}

// Three VMs each hold one of two views, the whole fleet or any part of it, and
// may change to the other between any two uses. All of them try to use the target
// in every step of a quarter of a second. For all views and orders of changes, no
// second may exceed the bound.
func TestBoundHoldsForAllViews(t *testing.T) {
	const vms, steps, stepsInSecond = 3, 8, 4
	views := make([][]*View, vms)
	for n := range vms {
		a, b := (n+1)%vms, (n+2)%vms
		views[n] = []*View{viewOf(n), viewOf(n, a), viewOf(n, b), viewOf(n, a, b)}
	}
	// history is the views that a VM holds: first until the step change, then
	// second.
	type history struct{ first, second, change int }
	var histories []history
	for second := range 4 {
		histories = append(histories, history{second: second})
		for first := range 4 {
			for change := 1; first != second && change < stepsInSecond; change++ {
				histories = append(histories, history{first, second, change})
			}
		}
	}
	limit := coldTargetLimit(2)
	most := 0
	play := func(held [vms]history) int {
		var meters [vms]Meter
		uses := make([]int, steps)
		for step := range steps {
			now := start.Add(time.Duration(step) * time.Second / stepsInSecond)
			for n := range vms {
				view := views[n][held[n].first]
				if step >= held[n].change {
					view = views[n][held[n].second]
				}
				share := view.ShareOf(7, limit)
				for meters[n].Allows(now, share) {
					meters[n].Record(now, share)
					uses[step]++
				}
			}
		}
		worst := 0
		for at := range steps - stepsInSecond + 1 {
			sum := 0
			for _, n := range uses[at : at+stepsInSecond] {
				sum += n
			}
			worst = max(worst, sum)
		}
		return worst
	}
	for _, a := range histories {
		for _, b := range histories {
			for _, c := range histories {
				held := [vms]history{a, b, c}
				worst := play(held)
				if most = max(most, worst); float64(worst) > limit.Bound {
					t.Fatalf("views %v: got %d in a second, want at most %v", held, worst, limit.Bound)
				}
			}
		}
	}
	qt.Assert(t, most >= 2, qt.IsTrue)
}
