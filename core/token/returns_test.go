package token

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/quota"
)

// longAgo is a time since which a VM knows all ends of evacuations.
var longAgo = start.Add(-time.Hour)

// newStartingRouter returns the router of a VM of data centre a that has just started, with a warm
// target in data centres a and b.
func newStartingRouter() *Router {
	r := newColdRouter(registration(1, "fixtures", "a"), registration(2, "fixtures", "b"))
	r.SetReturnsKnownSince(start)
	r.SetView(&quota.View{Self: 1})
	return r
}

// Guards against flows of a VM that has just started to targets that are cold without their
// registrations showing it, because their data centre was evacuated until a moment ago.
func TestStartingVMPresumesTargetsCold(t *testing.T) {
	key := flowFrom(1, fixtures)
	t.Run("a first segment waits for what other VMs know", func(t *testing.T) {
		r := newStartingRouter()
		assertDropped(t, r, start, openSegment(key))
		qt.Check(t, r.Stats().Events[EventColdUnknown.String()], qt.Equals, uint64(1))
		qt.Assert(t, r.LearnReturns(baobabstep.Returns{Since: longAgo}), qt.IsTrue)
		target, _ := open(t, r, start.Add(200*time.Millisecond), key)
		qt.Check(t, target, qt.Equals, baobabstep.TargetID(1))
	})
	t.Run("other VMs know of an end", func(t *testing.T) {
		r := newStartingRouter()
		r.LearnReturns(baobabstep.Returns{Since: longAgo, DataCentres: map[string]time.Time{"a": start.Add(-time.Second)}})
		assertPlaced(t, r, start, 100, 2)
		assertPlaced(t, r, start.Add(2900*time.Millisecond), 200, 2)
		placed, _, _ := openSteadily(t, r, start.Add(3*time.Second), time.Second)
		qt.Check(t, placed > 0, qt.IsTrue)
	})
	t.Run("other VMs found a target to accept flows again", func(t *testing.T) {
		running := newColdRouter(registration(1, "fixtures", "a"), registration(2, "fixtures", "b"))
		running.SetReturnsKnownSince(longAgo)
		target := running.current.Load().targets[1]
		target.load.mu.Lock()
		target.load.health.avoidedAt, target.load.health.avoidUntil = start.Add(-time.Second), start
		target.load.mu.Unlock()
		running.noteAnswer(start, target, false)
		known, _ := running.Returns(start.Add(time.Second))
		qt.Assert(t, known.Targets, qt.DeepEquals, map[baobabstep.TargetID]time.Time{1: start})

		r := newStartingRouter()
		r.LearnReturns(known)
		assertPlaced(t, r, start.Add(3900*time.Millisecond), 100, 2)
		target1, _, _ := openSteadily(t, r, start.Add(4*time.Second), time.Second)
		qt.Check(t, target1 > 0, qt.IsTrue)
		known, _ = running.Returns(start.Add(4 * time.Second))
		qt.Check(t, known.Targets, qt.HasLen, 0)
	})
	t.Run("nobody answers", func(t *testing.T) {
		r := newStartingRouter()
		assertReset(t, r, start.Add(returnsWait), openSegment(key))
		r.SetView(&quota.View{Self: 1, Settled: true})
		_, worst, _ := openSteadily(t, r, start.Add(returnsWait), 2*time.Second)
		qt.Check(t, worst <= 2, qt.IsTrue, qt.Commentf("got %d", worst))
		_, worst, refused := openSteadily(t, r, start.Add(4*time.Second), time.Second)
		qt.Check(t, worst > 2 && refused == 0, qt.IsTrue, qt.Commentf("got %d, %d refused", worst, refused))
	})
	t.Run("a VM that started as well knows little more", func(t *testing.T) {
		r := newStartingRouter()
		r.LearnReturns(baobabstep.Returns{Since: start.Add(-time.Second)})
		assertReset(t, r, start.Add(2900*time.Millisecond), openSegment(key))
		open(t, r, start.Add(3*time.Second), key)
	})
	t.Run("without a limit there is nothing to wait for", func(t *testing.T) {
		r := newRouter(t)
		r.SetReturnsKnownSince(start)
		open(t, r, start, key)
		_, relevant := r.Returns(start)
		qt.Check(t, relevant, qt.IsFalse)
	})
}

// Guards against times that drift as they are passed from VM to VM, and end the presumption early
// or never.
func TestReturnsKeepTheirTimes(t *testing.T) {
	r := newStartingRouter()
	r.SetEvacuations(start, []string{"b"})
	r.SetEvacuations(start.Add(time.Second), nil)
	own, relevant := r.Returns(start.Add(2 * time.Second))
	qt.Assert(t, relevant, qt.IsTrue)
	qt.Check(t, own, qt.DeepEquals, baobabstep.Returns{
		Since: start, DataCentres: map[string]time.Time{"b": start.Add(time.Second)}, Targets: map[baobabstep.TargetID]time.Time{},
	})
	for _, late := range []time.Duration{-time.Hour, 0, 100 * time.Millisecond} {
		qt.Check(t, r.LearnReturns(baobabstep.Returns{Since: start.Add(late), DataCentres: map[string]time.Time{"b": start.Add(time.Second + late)}}), qt.Equals, late < 0)
	}
	own, _ = r.Returns(start.Add(2 * time.Second))
	qt.Check(t, own.DataCentres["b"], qt.Equals, start.Add(time.Second))
	own, _ = r.Returns(start.Add(5 * time.Second))
	qt.Check(t, own.DataCentres, qt.HasLen, 0)
}

// Guards against a sum over all VMs above the bound on a cold target while half of the VMs start at
// the end of the evacuation of its data centre, whether or not the other half tells them.
func TestColdBoundHoldsWhileVMsStart(t *testing.T) {
	for _, vms := range []int{6, 300} {
		for _, told := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d VMs, told %v", vms, told), func(t *testing.T) {
				f := newReturnedFleet(vms)
				worst := f.play(t, told)
				qt.Check(t, worst <= 2*1.5+5, qt.IsTrue, qt.Commentf("got %d", worst))
			})
		}
	}
}

// returnedFleet is the fleet of data centre a, which gets new flows again at start.
type returnedFleet struct {
	random  *rand.Rand
	views   []quota.View
	routers []*Router
}

func newReturnedFleet(vms int) *returnedFleet {
	f := &returnedFleet{random: rand.New(rand.NewPCG(1, uint64(vms)))}
	var all []baobabstep.VMID
	for n := range vms {
		all = append(all, baobabstep.VMID(n+1))
	}
	for n := range vms {
		r := newColdRouter(registration(1, "fixtures", "a"))
		if n < vms/2 {
			r.SetReturnsKnownSince(start)
		} else {
			r.SetEvacuations(start.Add(-time.Minute), []string{"a"})
			r.SetEvacuations(start, nil)
		}
		view := quota.View{Self: all[n], Others: append(append([]baobabstep.VMID(nil), all[:n]...), all[n+1:]...), Settled: true}
		f.views, f.routers = append(f.views, view), append(f.routers, r)
		r.SetView(&f.views[n])
	}
	return f
}

// play opens flows through all VMs for two seconds. It returns the most flows at the target in any
// second.
func (f *returnedFleet) play(t testing.TB, told bool) (worst int) {
	t.Helper()
	var at []time.Duration
	for after := time.Duration(0); after < 2*time.Second; after += time.Millisecond {
		now, n := start.Add(after), f.random.IntN(len(f.routers))
		known, _ := f.routers[len(f.routers)-1].Returns(now)
		if told && n < len(f.routers)/2 && f.random.IntN(100) == 0 {
			known.Since = longAgo
			f.routers[n].LearnReturns(known)
		}
		out := handle(f.routers[n], now, openSegment(flowFrom(uint16(after/time.Millisecond), fixtures)))
		if len(out) > 0 && out[0].Target == 1 {
			at = append(at, after)
		}
		for len(at) > 0 && after-at[0] >= time.Second {
			at = at[1:]
		}
		worst = max(worst, len(at))
	}
	return worst
}
