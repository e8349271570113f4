package token

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// strayFlow is a flow that two targets accepted: target 1, whose answer was lost, and the one at
// which this VM placed the copy of its first segment.
type strayFlow struct {
	t           testing.TB
	router      *Router
	key         baobabstep.FlowKey
	home, other baobabstep.TargetID
}

func newStrayFlow(t testing.TB) *strayFlow {
	r := newRouter(t)
	r.SetRegistrations(start, manyTargets(2))
	f := &strayFlow{t: t, router: r, key: flowFrom(1, fixtures)}
	out := handle(r, start, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: f.key, Seq: firstSeq, Acked: 1})
	f.other = out[0].Target
	f.home = 3 - f.other
	return f
}

// segment returns a segment of the flow with the token of a target, after some bytes in both directions.
func (f *strayFlow) segment(token baobabstep.TargetID, sent, acked uint32, size uint16) baobabstep.Segment {
	return baobabstep.Segment{
		Kind: baobabstep.KindData, Flow: f.key, Token: tokenFor(hashFlow(f.key), token), Seq: firstSeq + 1 + sent, Acked: 9e8 + acked, Size: size,
	}
}

// assertAt checks that a segment is sent to a target with the token of that target.
func (f *strayFlow) assertAt(now time.Time, s baobabstep.Segment, want baobabstep.TargetID) {
	f.t.Helper()
	out := handle(f.router, now, s)
	qt.Assert(f.t, out, qt.HasLen, 1)
	qt.Assert(f.t, out[0].Target, qt.Equals, want)
	qt.Assert(f.t, out[0].Token, qt.Equals, tokenFor(hashFlow(f.key), want))
}

// Failure: a target that answered a copy of a first segment repeats its answer, the caller echoes
// its token in the next request on the flow that is open elsewhere, and that target resets the flow.
func TestStrayTokenDoesNotMoveOpenFlow(t *testing.T) {
	at := start.Add(time.Second)
	t.Run("after the handshake", func(t *testing.T) {
		f := newStrayFlow(t)
		f.assertAt(start, f.segment(f.home, 0, 0, 0), f.home)
		f.assertAt(at, f.segment(f.other, 0, 0, 100), f.home)
		f.assertAt(at, f.segment(f.other, 100, 600, 100), f.home)
	})
	t.Run("after an answer", func(t *testing.T) {
		f := newStrayFlow(t)
		f.assertAt(start, f.segment(f.home, 0, 0, 100), f.home)
		f.assertAt(start, f.segment(f.home, 100, 600, 0), f.home)
		f.assertAt(at, f.segment(f.other, 100, 600, 100), f.home)
		closing := f.segment(f.other, 200, 1200, 0)
		closing.Kind = baobabstep.KindClose
		f.assertAt(at, closing, f.home)
	})
	t.Run("of the target where the copy opened it", func(t *testing.T) {
		f := newStrayFlow(t)
		f.assertAt(start, f.segment(f.other, 0, 0, 0), f.other)
		f.assertAt(at, f.segment(f.home, 0, 0, 100), f.other)
	})
}

// Failure: a segment goes to another target than its token names although this VM does not know
// where the flow is open.
func TestTokenIsFollowedUnlessHomeIsKnown(t *testing.T) {
	at := start.Add(time.Second)
	t.Run("a first request tells nothing, its token may be stray", func(t *testing.T) {
		f := newStrayFlow(t)
		f.assertAt(start, f.segment(f.home, 0, 0, 100), f.home)
		f.assertAt(at, f.segment(f.other, 0, 0, 100), f.other)
	})
	t.Run("another connection from the same port", func(t *testing.T) {
		f := newStrayFlow(t)
		f.assertAt(start, f.segment(f.home, 0, 0, 0), f.home)
		f.assertAt(at, f.segment(f.other, 0, 2*maxSequenceGap, 100), f.other)
	})
	t.Run("the target has restarted or gone", func(t *testing.T) {
		for _, list := range [][]baobabstep.Registration{
			{registration(1, "fixtures", "a"), registration(2, "fixtures", "a")}, {},
		} {
			f := newStrayFlow(t)
			f.assertAt(start, f.segment(f.home, 0, 0, 0), f.home)
			left := []baobabstep.Registration{registration(f.other, "fixtures", "a")}
			if len(list) > 0 {
				list[f.home-1].StartedMS = 1
				left = list
			}
			f.router.SetRegistrations(at, left)
			f.router.SetRegistrations(at.Add(2*time.Minute), left)
			f.assertAt(at.Add(2*time.Minute), f.segment(f.other, 0, 0, 100), f.other)
		}
	})
	t.Run("a reset of the caller", func(t *testing.T) {
		f := newStrayFlow(t)
		f.assertAt(start, f.segment(f.home, 0, 0, 0), f.home)
		reset := f.segment(f.other, 0, 0, 0)
		reset.Kind = baobabstep.KindReset
		f.assertAt(at, reset, f.other)
	})
}
