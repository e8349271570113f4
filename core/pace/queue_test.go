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
	// lossBacklog is the backlog at which modelLink loses datagrams.
	lossBacklog = 50 * time.Millisecond
)

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// datagram returns a datagram of a flow. Seq holds its number, which the Queue ignores.
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

// modelLink is a link that loses datagrams sent at a backlog of lossBacklog or more.
type modelLink struct {
	rate                    float64
	freeAt                  time.Time
	lost, delivered         int
	maxDelay, maxSmallDelay time.Duration
	sent                    []baobabstep.OutgoingDatagram
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
		l.delivered++
		l.freeAt = l.freeAt.Add(drainTime(size(&out[i]), l.rate))
		l.maxDelay = max(l.maxDelay, l.freeAt.Sub(epoch))
		if isSmall(&out[i]) {
			l.maxSmallDelay = max(l.maxSmallDelay, l.freeAt.Sub(epoch))
		}
	}
}

// drainQueue releases datagrams at the interval of a VM until none is held.
func (l *modelLink) drainQueue(q *Queue, now time.Time) {
	for q.Held() > 0 {
		now = now.Add(4 * time.Millisecond)
		var out []baobabstep.OutgoingDatagram
		q.Release(now, &out)
		l.send(now, out)
		q.ConfirmSent()
	}
}

// Guards against a link that loses datagrams from the bursts of a few callers, including small
// requests.
func TestBurstIsNotLost(t *testing.T) {
	for _, test := range []struct {
		name                           string
		rate                           float64
		windows, requests, lostUnpaced int
		maxDelayMS, maxSmallDelayMS    int64
	}{
		{"the window of one caller on 2 Mbit/s", 2 * mbit, 1, 0, 6, 85, 0},
		{"one window and small requests on 2 Mbit/s", 2 * mbit, 1, 5, 11, 85, 55},
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
			paced.send(epoch, q.Admit(epoch, out))
			paced.drainQueue(q, epoch)
			qt.Check(t, paced.lost, qt.Equals, 0)
			qt.Check(t, paced.delivered, qt.Equals, offered)
			qt.Check(t, paced.maxDelay.Milliseconds() <= test.maxDelayMS, qt.IsTrue, qt.Commentf("%v", paced.maxDelay))
			qt.Check(t, paced.maxSmallDelay.Milliseconds() <= test.maxSmallDelayMS, qt.IsTrue, qt.Commentf("%v", paced.maxSmallDelay))
		})
	}
}

// Guards against a segment that overtakes an earlier one of its flow because it is small, or
// while another goroutine sends released segments.
func TestFlowsKeepOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	q, l := New(link.New(2*mbit)), &modelLink{rate: 2 * mbit}
	next := make([]uint32, 4)
	offer := func(now time.Time) {
		flow := random.IntN(len(next))
		bytes := []int{smallBytes, largeBytes}[random.IntN(2)]
		l.send(now, q.Admit(now, []baobabstep.OutgoingDatagram{datagram(uint16(flow), next[flow], bytes)}))
		next[flow]++
	}
	for step := range 3000 {
		now := epoch.Add(time.Duration(step) * 2 * time.Millisecond)
		offer(now)
		var out []baobabstep.OutgoingDatagram
		q.Release(now, &out)
		offer(now)
		l.send(now, out)
		q.ConfirmSent()
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

// Guards against unbounded memory use under overload, and against sending segments that their
// callers have already retransmitted.
func TestHeldDatagramsAreBounded(t *testing.T) {
	const offered = 100_000
	for _, rate := range []float64{2 * mbit, 1000 * mbit} {
		q, l := New(link.New(rate)), &modelLink{rate: rate}
		l.send(epoch, q.Admit(epoch, append(datagrams(1, offered/2, largeBytes), datagrams(2, offered/2, smallBytes)...)))
		qt.Check(t, q.large.bytes <= min(int(rate*maxHeldTime.Seconds()), maxHeldBytes), qt.IsTrue)
		qt.Check(t, q.small.bytes <= min(int(rate*maxHeldTime.Seconds()), maxHeldBytes), qt.IsTrue)
		qt.Check(t, l.delivered+q.Held()+int(q.Dropped()), qt.Equals, offered)
		l.drainQueue(q, epoch)
		qt.Check(t, l.lost, qt.Equals, 0)
		qt.Check(t, l.delivered+int(q.Dropped()), qt.Equals, offered)
		qt.Check(t, l.maxDelay < maxWait+lossBacklog+10*time.Millisecond, qt.IsTrue, qt.Commentf("%v", l.maxDelay))
	}
}

// Guards against holding or copying datagrams, or signalling held ones, when the link has room
// or an unknown rate.
func TestNothingIsHeldWhileLinkHasRoom(t *testing.T) {
	for _, rate := range []float64{0, 1000 * mbit} {
		q, out := New(link.New(rate)), datagrams(1, 64, largeBytes)
		first := &out[0].Raw[0]
		qt.Check(t, testing.AllocsPerRun(20, func() { out = q.Admit(epoch, out) }), qt.Equals, 0.0)
		qt.Assert(t, out, qt.HasLen, 64)
		qt.Check(t, &out[0].Raw[0], qt.Equals, first)
		qt.Check(t, q.Pending(), qt.HasLen, 0)
		qt.Check(t, q.CongestedSince(epoch), qt.IsFalse)
	}
}

// newFullQueue returns a queue that holds six datagrams of flow 1.
func newFullQueue() *Queue {
	q := New(link.New(2 * mbit))
	q.Admit(epoch, datagrams(1, 15, largeBytes))
	return q
}

// Guards against held datagrams that are overwritten when the read buffer is reused.
func TestHeldDatagramsAreCopied(t *testing.T) {
	q, out := New(link.New(2*mbit)), datagrams(1, 15, largeBytes)
	offered := append([]baobabstep.OutgoingDatagram(nil), out...)
	q.Admit(epoch, out)
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

// Guards against resets that are delayed by the bulk data of other flows.
func TestResetIsNotHeld(t *testing.T) {
	reset := datagram(1, 0, 0)
	reset.Target = 0
	qt.Check(t, newFullQueue().Admit(epoch, []baobabstep.OutgoingDatagram{reset}), qt.HasLen, 1)
}

// Guards against counting evidence against targets while segments are held in the VM.
func TestHeldDatagramsCountAsCongestion(t *testing.T) {
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
