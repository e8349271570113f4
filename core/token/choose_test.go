package token

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// manyTargets returns n targets of fixtures in the router's data centre.
func manyTargets(n int) []baobabstep.Registration {
	var list []baobabstep.Registration
	for id := range n {
		list = append(list, registration(baobabstep.TargetID(id+1), "fixtures", "a"))
	}
	return list
}

// openMany opens flows over a second and returns how many each target got.
func openMany(t testing.TB, r *Router, from time.Time, firstPort, n int) map[baobabstep.TargetID]int {
	t.Helper()
	got := map[baobabstep.TargetID]int{}
	for i := range n {
		now := from.Add(time.Duration(i) * time.Second / time.Duration(n))
		target, _ := open(t, r, now, flowFrom(uint16(firstPort+i), fixtures))
		got[target]++
	}
	return got
}

func TestEvenLoad(t *testing.T) {
	r := newRouter(t)
	r.SetRegistrations(start, manyTargets(10))
	for id, n := range openMany(t, r, start, 1, 200) {
		qt.Assert(t, n >= 15 && n <= 25, qt.IsTrue, qt.Commentf("target %d got %d of 200", id, n))
	}
}

// A target joins a service whose others carry long flows. Chosen by open flows
// alone it got each new flow of every VM at once, filled its queue, and callers
// were told 503. It has to get its part and no more.
func TestNewTargetIsNotFlooded(t *testing.T) {
	r := newRouter(t)
	r.SetRegistrations(start, manyTargets(10))
	openMany(t, r, start, 1, 400)
	joined := start.Add(time.Second)
	r.SetRegistrations(joined, manyTargets(11))
	got := openMany(t, r, joined, 1000, 110)[11]
	qt.Assert(t, got >= 5 && got <= 20, qt.IsTrue, qt.Commentf("got %d of 110", got))
}

func TestColdTargetGetsLess(t *testing.T) {
	r := newRouter(t)
	list := manyTargets(10)
	list[5].ColdFor = time.Minute
	r.SetRegistrations(start, list)
	openMany(t, r, start, 1, 400)
	got := openMany(t, r, start.Add(time.Second), 1000, 400)
	qt.Assert(t, got[6]*5 <= got[7]*4, qt.IsTrue, qt.Commentf("%v", got))
}

func TestOwnDataCentreIsPreferred(t *testing.T) {
	r := newRouter(t)
	t.Run("while it has room", func(t *testing.T) {
		qt.Assert(t, openMany(t, r, start, 1, 5)[1], qt.Equals, 5)
	})
	t.Run("but not past all others", func(t *testing.T) {
		qt.Assert(t, openMany(t, r, start, 100, 200)[2] > 50, qt.IsTrue)
	})
}

// A caller on an established flow sends one request in several segments, and
// acknowledges what it gets between requests. Each request counts once.
func TestRequestsOnAnEstablishedFlowCount(t *testing.T) {
	r := newRouter(t)
	key := flowFrom(1, results)
	_, token := open(t, r, start, key)
	next := firstSeq + 1
	segment := func(acked uint32, size uint16) {
		s := data(key, token)
		s.Seq, s.Acked, s.Size = next, acked, size
		next += uint32(size)
		handle(r, start, s)
	}
	for range 3 {
		segment(100, 1200) // the request that the first packet counted for
	}
	segment(900, 0) // acknowledges its answer
	for range 2 {
		segment(900, 1200) // the second request
	}
	next -= 1200
	segment(900, 1200) // repeats its last segment
	own, _ := r.current.Load().targets[3].load.requests(start)
	qt.Assert(t, own, qt.Equals, 2.0)
}
