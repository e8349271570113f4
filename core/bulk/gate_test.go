package bulk

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

var (
	start = time.Unix(1_800_000_000, 0)
	full  = baobabstep.LinkLoad{Received: 1}
)

const testSize = 40_000

func offer(g *Gate, now time.Time, key baobabstep.FlowKey, retransmissions uint32) Decision {
	return g.Offer(now, firstSegment(key, retransmissions), Route{MeanSize: testSize}, full)
}

func firstSegment(key baobabstep.FlowKey, retransmissions uint32) *baobabstep.Segment {
	return &baobabstep.Segment{Flow: key, Seq: 1, Acked: retransmissions, Raw: make([]byte, 31)}
}

// fullGate returns a gate for a link of 10 Mbit/s on which the limit of sending flows is reached.
func fullGate(t *testing.T) *Gate {
	t.Helper()
	g := New(Options{BytesPerSecond: modelRate})
	for i := range g.limit() {
		qt.Assert(t, offer(g, start, flowOf(1, i), 0), qt.Equals, Admitted)
	}
	return g
}

// assertReleased checks the decision and the flows of the segments released at a time.
func assertReleased(t *testing.T, g *Gate, now time.Time, want Decision, keys ...baobabstep.FlowKey) {
	t.Helper()
	list := g.Release(now, full)
	qt.Assert(t, list, qt.HasLen, len(keys))
	for i, r := range list {
		qt.Check(t, r.Decision, qt.Equals, want)
		qt.Check(t, r.Segment.Flow, qt.Equals, keys[i])
	}
}

// complete completes all sending flows.
func complete(g *Gate) {
	for key := range g.sending {
		g.Complete(key)
	}
}

func TestGate(t *testing.T) {
	later := start.Add(50 * time.Millisecond)
	waiting := flowOf(2, 1)

	// Guards against a flow that stays held after a slot is free again.
	t.Run("a held flow is admitted when another completes", func(t *testing.T) {
		g := fullGate(t)
		qt.Assert(t, offer(g, start, waiting, 0), qt.Equals, Held)
		assertReleased(t, g, later, Admitted)
		g.Complete(flowOf(1, 0))
		assertReleased(t, g, later, Admitted, waiting)
		qt.Check(t, g.Waiting(), qt.Equals, 0)
	})
	// Guards against forwarding two first segments of one flow, which opens it at two targets.
	t.Run("retransmissions of a held segment are dropped", func(t *testing.T) {
		g := fullGate(t)
		qt.Assert(t, offer(g, start, waiting, 0), qt.Equals, Held)
		qt.Check(t, offer(g, start.Add(200*time.Millisecond), waiting, 1), qt.Equals, AlreadyHeld)
		qt.Check(t, g.Waiting(), qt.Equals, 1)
	})
	// Guards against opening a flow after its caller has given up.
	t.Run("nothing is forwarded after its deadline", func(t *testing.T) {
		g := fullGate(t)
		qt.Assert(t, offer(g, start, waiting, 0), qt.Equals, Held)
		for i, after := range retransmissionOffsets[1:] {
			qt.Assert(t, offer(g, start.Add(after), waiting, uint32(i+1)), qt.Equals, AlreadyHeld)
		}
		late := start.Add(openingTimeout - remainingOpeningTime)
		complete(g)
		assertReleased(t, g, late, Expired, waiting)
		qt.Check(t, g.Refusals()["expired"], qt.Equals, uint64(1))
	})
	// Guards against forwarding or resetting a flow that another VM may have opened with the
	// next retransmission.
	t.Run("nothing is forwarded while another VM may have the next retransmission", func(t *testing.T) {
		g := fullGate(t)
		qt.Assert(t, offer(g, start, waiting, 0), qt.Equals, Held)
		complete(g)
		assertReleased(t, g, start.Add(200*time.Millisecond-retransmissionTolerance), Admitted)
		qt.Check(t, g.Waiting(), qt.Equals, 1)
		qt.Assert(t, offer(g, start.Add(200*time.Millisecond), waiting, 1), qt.Equals, AlreadyHeld)
		assertReleased(t, g, start.Add(200*time.Millisecond), Admitted, waiting)
	})
	t.Run("a segment without its next retransmission is dropped", func(t *testing.T) {
		for i, due := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond} {
			g := fullGate(t)
			qt.Assert(t, offer(g, start, waiting, uint32(i)), qt.Equals, Held)
			assertReleased(t, g, start.Add(due+retransmissionTolerance), Overdue, waiting)
		}
	})
	// Guards against a reset that ends a flow opened by another VM.
	t.Run("a stop while another VM may have the next retransmission resets nothing", func(t *testing.T) {
		g := fullGate(t)
		qt.Assert(t, offer(g, start, waiting, 0), qt.Equals, Held)
		g.Stop()
		assertReleased(t, g, start.Add(200*time.Millisecond), Overdue, waiting)
	})
	t.Run("a duplicate does not count as the next retransmission", func(t *testing.T) {
		g := fullGate(t)
		qt.Assert(t, offer(g, start, waiting, 0), qt.Equals, Held)
		qt.Assert(t, offer(g, start.Add(100*time.Millisecond), waiting, 0), qt.Equals, AlreadyHeld)
		assertReleased(t, g, start.Add(200*time.Millisecond+retransmissionTolerance), Overdue, waiting)
	})
	t.Run("a delayed retransmission sets an earlier deadline", func(t *testing.T) {
		g := fullGate(t)
		qt.Assert(t, offer(g, start, waiting, 0), qt.Equals, Held)
		qt.Assert(t, offer(g, start.Add(100*time.Millisecond), waiting, 2), qt.Equals, AlreadyHeld)
		assertReleased(t, g, start.Add(openingTimeout-remainingOpeningTime-500*time.Millisecond), Expired, waiting)
	})
	t.Run("a later retransmission has an earlier deadline", func(t *testing.T) {
		g := fullGate(t)
		qt.Assert(t, offer(g, start, waiting, 2), qt.Equals, Held)
		assertReleased(t, g, start.Add(openingTimeout-remainingOpeningTime-600*time.Millisecond), Expired, waiting)
	})
	t.Run("a flow with too long an expected wait is refused immediately", func(t *testing.T) {
		g := fullGate(t)
		counts := make(map[Decision]int)
		for i := range 100 {
			counts[offer(g, start, flowOf(2, i), 0)]++
		}
		// Half of the link's rate completes 15 uploads of 40 kB per second.
		qt.Check(t, counts[Held], qt.Equals, int(maxExpectedWait.Seconds()*minBulkShare*modelRate/testSize))
		qt.Check(t, counts[Held]+counts[TooLate], qt.Equals, 100)
	})
	// Guards against holding flows that would miss their objective.
	t.Run("the objective bounds the expected wait", func(t *testing.T) {
		for _, test := range []struct{ objective, want time.Duration }{
			{0, maxExpectedWait}, {400 * time.Millisecond, 200 * time.Millisecond}, {time.Minute, maxExpectedWait},
		} {
			g := fullGate(t)
			for i := range 100 {
				g.Offer(start, firstSegment(flowOf(2, i), 0), Route{MeanSize: testSize, Objective: test.objective}, full)
			}
			qt.Check(t, g.Waiting(), qt.Equals, int(test.want.Seconds()*minBulkShare*modelRate/testSize))
		}
	})
	// Guards against a caller with many flows that starves the others.
	t.Run("callers are served round-robin", func(t *testing.T) {
		g := fullGate(t)
		for i := range 100 {
			offer(g, start, flowOf(2, i), 0)
		}
		qt.Assert(t, offer(g, start, flowOf(3, 1), 0), qt.Equals, Held)
		complete(g)
		assertReleased(t, g, later, Admitted, flowOf(2, 0), flowOf(3, 1))
	})
	t.Run("a full queue makes room for other callers", func(t *testing.T) {
		g := New(Options{BytesPerSecond: modelRate, MaxHeld: 4})
		for i := range g.limit() {
			offer(g, start, flowOf(1, i), 0)
		}
		for i := range 4 {
			qt.Assert(t, offer(g, start, flowOf(2, i), 0), qt.Equals, Held)
		}
		qt.Check(t, offer(g, start, flowOf(2, 9), 0), qt.Equals, NoRoom)
		qt.Check(t, offer(g, start, flowOf(3, 1), 0), qt.Equals, Held)
		assertReleased(t, g, start, Displaced, flowOf(2, 3))
	})
	// Guards against callers of held flows that wait for their timeout when the VM stops.
	t.Run("a stop refuses what is held", func(t *testing.T) {
		g := fullGate(t)
		qt.Assert(t, offer(g, start, waiting, 0), qt.Equals, Held)
		g.Stop()
		assertReleased(t, g, start, Stopping, waiting)
		qt.Check(t, offer(g, start, waiting, 0), qt.Equals, Stopping)
	})
	// Guards against new flows that overtake held ones.
	t.Run("a new flow waits behind held flows", func(t *testing.T) {
		g := fullGate(t)
		qt.Assert(t, offer(g, start, waiting, 0), qt.Equals, Held)
		g.Complete(flowOf(1, 0))
		qt.Check(t, offer(g, start, flowOf(2, 2), 0), qt.Equals, Held)
	})
	t.Run("a flow that reuses a port is not a retransmission", func(t *testing.T) {
		g := fullGate(t)
		qt.Assert(t, offer(g, start, waiting, 0), qt.Equals, Held)
		p := firstSegment(waiting, 0)
		p.Seq++
		qt.Check(t, g.Offer(start, p, Route{MeanSize: testSize}, full), qt.Equals, Held)
		complete(g)
		list := g.Release(later, full)
		qt.Assert(t, list, qt.HasLen, 1)
		qt.Check(t, list[0].Segment.Seq, qt.Equals, p.Seq)
	})
	// Guards against admitting a burst of flows before the load of the link reflects it.
	t.Run("the load lags behind admissions", func(t *testing.T) {
		g := fullGate(t)
		idle := baobabstep.LinkLoad{}
		qt.Check(t, g.Offer(later, firstSegment(waiting, 0), Route{MeanSize: testSize}, idle), qt.Equals, Held)
		qt.Check(t, g.Release(start.Add(loadDelay-1), idle), qt.HasLen, 0)
		qt.Check(t, g.Release(start.Add(loadDelay), idle), qt.HasLen, 1)
	})
	// Guards against refusals on a link that completes more flows than minBulkShare implies.
	t.Run("admissions in the last second shorten the expected wait", func(t *testing.T) {
		g := New(Options{BytesPerSecond: modelRate})
		for i := range 40 {
			qt.Assert(t, offer(g, start, flowOf(1, i), 0), qt.Equals, Admitted)
			if i < 40-g.limit() {
				g.Complete(flowOf(1, i))
			}
		}
		for i := range 100 {
			offer(g, start, flowOf(2, i), 0)
		}
		qt.Check(t, g.Waiting(), qt.Equals, int(40*maxExpectedWait.Seconds()))
	})
	t.Run("an idle flow does not count as sending", func(t *testing.T) {
		g := fullGate(t)
		g.Payload(start.Add(200*time.Millisecond), flowOf(1, 0))
		qt.Check(t, offer(g, start.Add(sendingIdleTimeout), flowOf(2, 1), 0), qt.Equals, Admitted)
		qt.Check(t, offer(g, start.Add(sendingIdleTimeout), flowOf(2, 2), 0), qt.Equals, Held)
	})
}

// Guards against holding flows for which the VM's link has room.
func TestGateAdmitsWithinCapacity(t *testing.T) {
	t.Run("with an unknown rate", func(t *testing.T) {
		qt.Check(t, New(Options{}).Active(), qt.IsFalse)
	})
	t.Run("on a link that is far from full", func(t *testing.T) {
		g := fullGate(t)
		now := start.Add(loadDelay)
		for i := range 100 {
			now = now.Add(loadDelay)
			for key := range g.sending {
				g.Payload(now, key)
			}
			d := g.Offer(now, firstSegment(flowOf(2, i), 0), Route{MeanSize: testSize}, baobabstep.LinkLoad{Received: 0.4})
			qt.Check(t, d, qt.Equals, Admitted)
		}
	})
	t.Run("on a link of 1,000 Mbit/s", func(t *testing.T) {
		g := New(Options{BytesPerSecond: 125e6})
		for i := range g.limit() { // 246 flows
			qt.Check(t, offer(g, start, flowOf(1, i), 0), qt.Equals, Admitted)
		}
	})
}

// Guards against refusing flows on a large link that would carry them in time.
func TestBurstOnLargeLink(t *testing.T) {
	g := New(Options{BytesPerSecond: 125e6})
	load := baobabstep.LinkLoad{}
	admitted := 0
	for i := range 1000 {
		d := g.Offer(start, firstSegment(flowOf(1, i), 0), Route{MeanSize: testSize}, load)
		qt.Assert(t, d.Refused(), qt.IsFalse, qt.Commentf("flow %d: %v", i, d))
		if d == Admitted {
			admitted++
		}
	}
	qt.Check(t, admitted, qt.Equals, g.limit())
	complete(g)
	for _, r := range g.Release(start.Add(20*time.Millisecond), load) {
		qt.Check(t, r.Decision, qt.Equals, Admitted)
		admitted++
	}
	qt.Check(t, admitted, qt.Equals, 2*g.limit())
}

// Guards against unbounded memory use by held first segments.
func TestGateMemoryIsBounded(t *testing.T) {
	for _, test := range []struct {
		name    string
		callers int
	}{{"one caller", 1}, {"many callers", 50_000}} {
		t.Run(test.name, func(t *testing.T) {
			g := New(Options{BytesPerSecond: modelRate})
			for i := range 100_000 {
				g.Offer(start, &baobabstep.Segment{Flow: flowOf(i%test.callers, i/test.callers%65536), Seq: uint32(i), Raw: make([]byte, 1231)}, Route{MeanSize: 1}, full)
				if g.queue.bytes > g.options.MaxHeldBytes || g.Waiting() > g.options.MaxHeld+maxDisplaced {
					t.Fatalf("%d segments and %d bytes held", g.Waiting(), g.queue.bytes)
				}
			}
			qt.Check(t, len(g.queue.flows), qt.Equals, g.queue.count)
			qt.Check(t, len(g.sending), qt.Equals, g.limit())
		})
	}
}

// Guards against unbounded memory use by flows of which only payload is seen.
func TestGateRemovesIdleFlows(t *testing.T) {
	g := New(Options{BytesPerSecond: modelRate})
	for i := range 50_000 {
		g.Payload(start.Add(time.Duration(i)*time.Millisecond), flowOf(i%250, i/250))
	}
	qt.Check(t, len(g.sending) <= int((sendingIdleTimeout+sweepInterval)/time.Millisecond), qt.IsTrue, qt.Commentf("%d", len(g.sending)))
}

func TestRequestSizes(t *testing.T) {
	for _, test := range []struct {
		name  string
		sizes []uint32
		want  bool
	}{
		{"none", nil, false},
		{"uploads", []uint32{40_000, 20_000, 60_000}, true},
		{"small requests", []uint32{900, 900, 5_400}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r RequestSizes
			for _, size := range test.sizes {
				r.Add(size)
			}
			qt.Check(t, r.Bulk(), qt.Equals, test.want)
		})
	}
	// Guards against uploads that fill the link before the first of them is complete.
	t.Run("an unfinished upload", func(t *testing.T) {
		var r RequestSizes
		r.AddUnfinished(5_000)
		qt.Check(t, r.Bulk(), qt.IsFalse)
		r.AddUnfinished(10_000)
		qt.Check(t, r.Bulk(), qt.IsTrue)
	})
}
