package pace

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/link"
)

const (
	mbit       = 125e3
	largeBytes = 1240
	smallBytes = 60
	// lossBacklog is the backlog from which the model of a link loses datagrams.
	lossBacklog = 50 * time.Millisecond
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// datagram returns the datagram with the given number of a flow; the Queue ignores Seq.
func datagram(flow uint16, number uint32, bytes int) baobabstep.OutgoingDatagram {
	caller := netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), flow)
	return baobabstep.OutgoingDatagram{Target: 1, Flow: baobabstep.FlowKey{Caller: caller}, Seq: number, Raw: make([]byte, bytes)}
}

func datagrams(flow uint16, count, bytes int) (out []baobabstep.OutgoingDatagram) {
	for i := range count {
		out = append(out, datagram(flow, uint32(i), bytes))
	}
	return out
}

// modelLink drains at its rate and loses what is sent on a backlog of lossBacklog or more.
type modelLink struct {
	rate             float64
	freeAt           time.Time
	lost, carried    int
	longest, longSml time.Duration
	sent             []baobabstep.OutgoingDatagram
}

func (l *modelLink) send(now time.Time, out []baobabstep.OutgoingDatagram) {
	for i := range out {
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.sent = append(l.sent, out[i])
		if l.freeAt.Sub(now) >= lossBacklog {
			l.lost++
			continue
		}
		l.carried++
		l.freeAt = l.freeAt.Add(drainTime(size(&out[i]), l.rate))
		l.longest = max(l.longest, l.freeAt.Sub(epoch))
		if isSmall(&out[i]) {
			l.longSml = max(l.longSml, l.freeAt.Sub(epoch))
		}
	}
}

// drainQueue reviews a queue as a VM does until nothing is held.
func (l *modelLink) drainQueue(q *Queue, now time.Time) {
	for q.Held() > 0 {
		now = now.Add(4 * time.Millisecond)
		var out []baobabstep.OutgoingDatagram
		q.Release(now, &out)
		l.send(now, out)
		q.Sent()
	}
}

// Failure: the link loses a part of what a few callers send at the same time, and the small
// requests among it.
func TestBurstIsNotLost(t *testing.T) {
	for _, test := range []struct {
		name                           string
		rate                           float64
		windows, requests, lostUnpaced int
		longestMS, smallLongestMS      int64
	}{
		{"the window of one caller on 2 Mbit/s", 2 * mbit, 1, 0, 6, 85, 0},
		{"that and requests of others", 2 * mbit, 1, 5, 11, 85, 55},
		{"five windows on 10 Mbit/s", 10 * mbit, 5, 20, 50, 85, 55},
		{"a burst that the link holds", 10 * mbit, 2, 20, 0, 40, 40},
	} {
		t.Run(test.name, func(t *testing.T) {
			var out []baobabstep.OutgoingDatagram
			for flow := range test.windows {
				out = append(out, datagrams(uint16(flow), 16, largeBytes)...)
			}
			out = append(out, datagrams(100, test.requests, smallBytes)...)
			unpaced, paced := &modelLink{rate: test.rate}, &modelLink{rate: test.rate}
			unpaced.send(epoch, out)
			qt.Check(t, unpaced.lost, qt.Equals, test.lostUnpaced)
			q, offered := New(link.New(test.rate)), len(out)
			paced.send(epoch, q.Pass(epoch, out))
			paced.drainQueue(q, epoch)
			qt.Check(t, paced.lost, qt.Equals, 0)
			qt.Check(t, paced.carried, qt.Equals, offered)
			qt.Check(t, paced.longest.Milliseconds() <= test.longestMS, qt.IsTrue, qt.Commentf("%v", paced.longest))
			qt.Check(t, paced.longSml.Milliseconds() <= test.smallLongestMS, qt.IsTrue, qt.Commentf("%v", paced.longSml))
		})
	}
}

// Failure: a later segment of a flow overtakes an earlier one, because it is small, or while
// another goroutine sends what was released.
func TestFlowsKeepOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	q, l := New(link.New(2*mbit)), &modelLink{rate: 2 * mbit}
	next := make([]uint32, 4)
	offer := func(now time.Time) {
		flow := random.IntN(len(next))
		bytes := []int{smallBytes, largeBytes}[random.IntN(2)]
		l.send(now, q.Pass(now, []baobabstep.OutgoingDatagram{datagram(uint16(flow), next[flow], bytes)}))
		next[flow]++
	}
	for step := range 3000 {
		now := epoch.Add(time.Duration(step) * 2 * time.Millisecond)
		offer(now)
		var out []baobabstep.OutgoingDatagram
		q.Release(now, &out)
		offer(now)
		l.send(now, out)
		q.Sent()
	}
	last := make(map[baobabstep.FlowKey]uint32)
	for _, d := range l.sent {
		qt.Assert(t, d.Seq >= last[d.Flow], qt.IsTrue)
		last[d.Flow] = d.Seq + 1
	}
	qt.Check(t, l.lost, qt.Equals, 0)
	qt.Check(t, q.Dropped() > 0, qt.IsTrue)
	l.drainQueue(q, epoch.Add(6*time.Second))
	qt.Check(t, q.flows, qt.HasLen, 0)
}

// Failure: a VM that is offered far more than its link carries runs out of memory, or sends
// segments that their callers have already repeated.
func TestHeldDatagramsAreBounded(t *testing.T) {
	const offered = 100_000
	for _, rate := range []float64{2 * mbit, 1000 * mbit} {
		q, l := New(link.New(rate)), &modelLink{rate: rate}
		l.send(epoch, q.Pass(epoch, append(datagrams(1, offered/2, largeBytes), datagrams(2, offered/2, smallBytes)...)))
		qt.Check(t, q.large.bytes <= min(int(rate*maxHeldTime.Seconds()), maxHeldBytes), qt.IsTrue)
		qt.Check(t, q.small.bytes <= min(int(rate*maxHeldTime.Seconds()), maxHeldBytes), qt.IsTrue)
		qt.Check(t, l.carried+q.Held()+int(q.Dropped()), qt.Equals, offered)
		l.drainQueue(q, epoch)
		qt.Check(t, l.lost, qt.Equals, 0)
		qt.Check(t, l.carried+int(q.Dropped()), qt.Equals, offered)
		qt.Check(t, l.longest < maxWait+lossBacklog+10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", l.longest))
	}
}

// Failure: a VM holds, copies or reviews datagrams although its link has room, or is of unknown
// rate.
func TestNothingIsHeldWhereTheLinkHasRoom(t *testing.T) {
	for _, rate := range []float64{0, 1000 * mbit} {
		q, out := New(link.New(rate)), datagrams(1, 64, largeBytes)
		first := &out[0].Raw[0]
		qt.Check(t, testing.AllocsPerRun(20, func() { out = q.Pass(epoch, out) }), qt.Equals, 0.0)
		qt.Assert(t, out, qt.HasLen, 64)
		qt.Check(t, &out[0].Raw[0], qt.Equals, first)
		qt.Check(t, q.Pending(), qt.HasLen, 0)
		qt.Check(t, q.CongestedSince(epoch), qt.IsFalse)
	}
}

// newFullQueue returns a queue that holds six datagrams of flow 1.
func newFullQueue() *Queue {
	q := New(link.New(2 * mbit))
	q.Pass(epoch, datagrams(1, 15, largeBytes))
	return q
}

// Failure: a held datagram has the contents of a later one, since the read buffer is reused.
func TestHeldDatagramsAreCopied(t *testing.T) {
	q, out := New(link.New(2*mbit)), datagrams(1, 15, largeBytes)
	offered := append([]baobabstep.OutgoingDatagram(nil), out...)
	q.Pass(epoch, out)
	for i := range offered {
		offered[i].Raw[0] = 1
	}
	var held []baobabstep.OutgoingDatagram
	q.Flush(epoch, &held)
	qt.Assert(t, held, qt.HasLen, 6)
	for i, d := range held {
		qt.Check(t, d.Seq, qt.Equals, uint32(9+i))
		qt.Check(t, d.Raw[0], qt.Equals, byte(0))
	}
}

// Failure: a caller learns of its refusal only after the bulk of others has gone.
func TestResetGoesAtOnce(t *testing.T) {
	reset := datagram(1, 0, 0)
	reset.Target = 0
	qt.Check(t, newFullQueue().Pass(epoch, []baobabstep.OutgoingDatagram{reset}), qt.HasLen, 1)
}

// Failure: evidence against targets counts although segments wait in the VM.
func TestHeldDatagramsAreCongestion(t *testing.T) {
	q, meter := newFullQueue(), link.New(2*mbit)
	qt.Check(t, q.Load(epoch).Backlog > 70*time.Millisecond, qt.IsTrue)
	now := epoch.Add(60 * time.Millisecond)
	qt.Check(t, q.Held(), qt.Equals, 6)
	q.Release(now, new([]baobabstep.OutgoingDatagram))
	qt.Check(t, q.Held(), qt.Equals, 0)
	qt.Check(t, q.CongestedSince(now), qt.IsTrue)
	qt.Check(t, q.CongestedAt(), qt.Equals, now)
	qt.Check(t, q.CongestedSince(now.Add(time.Second)), qt.IsFalse)
	qt.Check(t, New(meter).CongestedAt().IsZero(), qt.IsTrue)
}
