package token

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// sendCopy sends a copy of a flow's first segment and returns where it went.
func sendCopy(t testing.TB, r *Router, now time.Time, key baobabstep.FlowKey) baobabstep.TargetID {
	t.Helper()
	out := handle(r, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq, Acked: 1})
	qt.Assert(t, out, qt.HasLen, 1)
	return out[0].Target
}

// darkRouter returns a router with four targets in its data centre, of which
// the first two flows found one silent, and that target.
func darkRouter(t testing.TB) (*Router, baobabstep.TargetID, time.Time) {
	t.Helper()
	r := newRouter(t)
	r.SetRegistrations(start, manyTargets(4))
	flows := map[baobabstep.TargetID][]baobabstep.FlowKey{}
	for port := range uint16(8) {
		key := flowFrom(port+1, fixtures)
		target, _ := open(t, r, start, key)
		flows[target] = append(flows[target], key)
	}
	later := start.Add(200 * time.Millisecond)
	qt.Assert(t, sendCopy(t, r, later, flows[1][0]), qt.Equals, baobabstep.TargetID(1))
	qt.Assert(t, sendCopy(t, r, later, flows[1][1]), qt.Not(qt.Equals), baobabstep.TargetID(1))
	return r, 1, later
}

// A target crashes and says nothing. Callers repeat their first packets after
// 200 ms; until its registration lapses seconds later each new flow to it
// would run into its caller's time limit. The second flow that it leaves
// unanswered moves to another target, and new flows go elsewhere.
func TestSilentTargetGetsNoNewFlows(t *testing.T) {
	r, dark, now := darkRouter(t)
	for id, n := range openMany(t, r, now, 100, 100) {
		qt.Assert(t, id, qt.Not(qt.Equals), dark, qt.Commentf("got %d flows", n))
	}
}

func TestSilentTargetIsTried(t *testing.T) {
	r, dark, now := darkRouter(t)
	now = now.Add(firstTrial)
	got := openMany(t, r, now, 100, 50)
	qt.Assert(t, got[dark], qt.Equals, 1)

	t.Run("less and less while it stays silent", func(t *testing.T) {
		qt.Assert(t, openMany(t, r, now.Add(firstTrial), 1000, 50)[dark] <= 1, qt.IsTrue)
	})
	t.Run("and is taken back once it answers", func(t *testing.T) {
		r, dark, now := darkRouter(t)
		now = now.Add(firstTrial)
		for port := uint16(100); ; port++ {
			key := flowFrom(port, fixtures)
			target, token := open(t, r, now, key)
			if target == dark {
				handle(r, now, data(key, token))
				break
			}
		}
		qt.Assert(t, openMany(t, r, now, 1000, 100)[dark] > 10, qt.IsTrue)
	})
}

// This VM was slow: a first packet and its copy waited in its socket together.
// The target has had no time to answer, so the copy says nothing of it, and a
// move would leave the flow open at one target with the token of another.
func TestCopyBehindItsFirstPacketMovesNothing(t *testing.T) {
	r, dark, now := darkRouter(t)
	r.SetRegistrations(now, []baobabstep.Registration{registration(dark, "fixtures", "a")})
	key := flowFrom(500, fixtures)
	open(t, r, now, key)
	r.SetRegistrations(now, manyTargets(4))
	qt.Assert(t, sendCopy(t, r, now.Add(copyAfter-1), key), qt.Equals, dark)
}

// All targets look dark: this VM has lost its own link, or its callers have.
// Refusing would make that an outage of the service.
func TestAllTargetsSilentChangesNothing(t *testing.T) {
	r := newRouter(t)
	r.SetRegistrations(start, manyTargets(2))
	for port := range uint16(10) {
		key := flowFrom(port+1, fixtures)
		open(t, r, start, key)
		sendCopy(t, r, start.Add(200*time.Millisecond), key)
	}
	open(t, r, start.Add(300*time.Millisecond), flowFrom(99, fixtures))
}
