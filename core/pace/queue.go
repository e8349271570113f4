// Package pace spaces out what a VM sends, so that the queue of its own link does not overflow.
//
// # The model
//
// The outgoing side of a VM's link is a queue that drains at the link's rate and loses what
// would wait in it for too long:
//
//	VM -> [Queue] -> [link: at most 50 ms] -> targets
//
// A burst of one caller exceeds that on a small link. What the link loses, the caller repeats
// after 200 ms, and the repetition takes the link's time again. A [Queue] keeps the backlog of
// the link below its limit and holds the rest for a moment.
//
//   - A small datagram goes before a large one, since it delays the large one by little.
//   - A reset goes at once.
//   - The datagrams of one flow keep their order.
//   - A datagram is not held for so long that its caller has repeated it. A large one that
//     finds the Queue full, or waited too long, is dropped, as the link would have done.
//
// The backlog is that of [link.Meter], which counts a datagram when it is sent. What waits in
// the Queue counts as waiting on the link for all who ask for the link's load.
package pace

import (
	"sync"
	"time"

	"baobabstep"
	"baobabstep/core/link"
)

const (
	// largeBacklog and smallBacklog are the backlogs of the link from which large and small
	// datagrams wait.
	largeBacklog = 42 * time.Millisecond
	smallBacklog = 46 * time.Millisecond
	// maxSmall is the size in bytes of the largest small datagram.
	maxSmall = 300
	// maxHeldTime bounds the bytes that are held, by the time that the link takes for them;
	// maxHeldBytes bounds them on a fast link. Each applies to small and to large datagrams.
	maxHeldTime  = 110 * time.Millisecond
	maxHeldBytes = 512 << 10
	// maxWait is the longest time that a large datagram is held. With the time on the link and
	// the way of the answer it is less than the 200 ms after which callers retransmit.
	maxWait = 130 * time.Millisecond
)

// Queue decides which datagrams a VM sends now and holds the others. It is safe for concurrent
// use. It counts what it sends at the meter.
type Queue struct {
	meter *link.Meter
	// pending holds a value if datagrams may be held.
	pending chan struct{}

	mu           sync.Mutex
	small, large waiting
	// flows are the flows with datagrams that are held or were released and are not sent yet.
	// Later datagrams of these flows wait behind them. released are the flows of the latter.
	flows    map[baobabstep.FlowKey]counts
	released []baobabstep.FlowKey
	// heldAt is when a datagram was last held; zero if none ever was.
	heldAt  time.Time
	dropped uint64
}

// counts are the numbers of datagrams of one flow, and how many of them are or were in the
// list of large datagrams.
type counts struct{ all, large int }

var _ baobabstep.LinkMeter = (*Queue)(nil)

// New returns the queue before the link that the meter measures. It holds nothing if the rate
// of the link is unknown.
func New(meter *link.Meter) *Queue {
	return &Queue{meter: meter, pending: make(chan struct{}, 1), flows: make(map[baobabstep.FlowKey]counts)}
}

// Pass decides about datagrams that are ready to be sent. It returns those to send now, in the
// array of out, and counts them at the meter. It copies those that it holds.
func (q *Queue) Pass(now time.Time, out []baobabstep.OutgoingDatagram) []baobabstep.OutgoingDatagram {
	rate := q.meter.BytesPerSecond()
	if rate <= 0 || len(out) == 0 {
		return out
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.newBatch(now)
	send := out[:0]
	for i := range out {
		if q.passes(&batch, &out[i]) {
			batch.add(&out[i])
			send = append(send, out[i])
		} else {
			q.hold(now, rate, &out[i])
		}
	}
	q.meter.Sent(now, batch.bytes)
	return send
}

// passes reports whether a datagram may be sent now.
func (q *Queue) passes(b *batch, d *baobabstep.OutgoingDatagram) bool {
	switch {
	case d.Target == 0:
		return true
	case q.flows[d.Flow].all > 0:
		return false
	case isSmall(d):
		return q.small.empty() && b.backlog < smallBacklog
	}
	return q.small.empty() && q.large.empty() && b.backlog < largeBacklog
}

func (q *Queue) hold(now time.Time, rate float64, d *baobabstep.OutgoingDatagram) {
	q.heldAt = now
	limit := min(int(rate*maxHeldTime.Seconds()), maxHeldBytes)
	flow, list := q.flows[d.Flow], &q.small
	if !isSmall(d) || flow.large > 0 {
		list = &q.large
	}
	if list.bytes+size(d) > limit {
		q.dropped++
		return
	}
	list.add(now, d)
	flow.all++
	if list == &q.large {
		flow.large++
	}
	q.flows[d.Flow] = flow
	select {
	case q.pending <- struct{}{}:
	default:
	}
}

// Release appends the held datagrams for which the link has room again to out, and counts them
// at the meter. The caller sends them and then calls Sent, and calls Release from one
// goroutine at a time.
func (q *Queue) Release(now time.Time, out *[]baobabstep.OutgoingDatagram) {
	q.release(now, out, smallBacklog, largeBacklog)
}

// Flush appends all held datagrams to out, for a VM that stops.
func (q *Queue) Flush(now time.Time, out *[]baobabstep.OutgoingDatagram) {
	const unlimited = 1 << 62
	q.release(now, out, unlimited, unlimited)
}

func (q *Queue) release(now time.Time, out *[]baobabstep.OutgoingDatagram, smallLimit, largeLimit time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.small.empty() && q.large.empty() {
		return
	}
	q.heldAt = now
	batch := q.newBatch(now)
	for !q.small.empty() && batch.backlog < smallLimit {
		h := q.small.take()
		q.released = append(q.released, h.datagram.Flow)
		*out = append(*out, batch.add(&h.datagram))
	}
	for !q.large.empty() && q.small.empty() && batch.backlog < largeLimit {
		h := q.large.take()
		q.released = append(q.released, h.datagram.Flow)
		if now.Sub(h.since) > maxWait {
			q.dropped++
			continue
		}
		*out = append(*out, batch.add(&h.datagram))
	}
	q.meter.Sent(now, batch.bytes)
}

// Sent says that all that was released has been sent. Only then may later datagrams of the same
// flows pass.
func (q *Queue) Sent() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range q.released {
		flow := q.flows[key]
		flow.all--
		// All that is released of a flow's small datagrams is released before its large ones.
		flow.large = min(flow.large, flow.all)
		if flow.all == 0 {
			delete(q.flows, key)
		} else {
			q.flows[key] = flow
		}
	}
	clear(q.released)
	q.released = q.released[:0]
}

// Pending returns a channel that holds a value if datagrams may be held.
func (q *Queue) Pending() <-chan struct{} { return q.pending }

// Held returns the number of datagrams that are held.
func (q *Queue) Held() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.small.count() + q.large.count()
}

// Dropped returns the number of datagrams dropped since the start.
func (q *Queue) Dropped() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

// BytesPerSecond implements [baobabstep.LinkMeter].
func (q *Queue) BytesPerSecond() float64 { return q.meter.BytesPerSecond() }

// Load implements [baobabstep.LinkMeter]. The backlog includes what is held.
func (q *Queue) Load(now time.Time) baobabstep.LinkLoad {
	load := q.meter.Load(now)
	if rate := q.meter.BytesPerSecond(); rate > 0 {
		q.mu.Lock()
		defer q.mu.Unlock()
		load.Backlog += drainTime(q.small.bytes+q.large.bytes, rate)
	}
	return load
}

// CongestedSince implements [baobabstep.LinkMeter]. The link is congested while datagrams are
// held.
func (q *Queue) CongestedSince(since time.Time) bool {
	if q.meter.CongestedSince(since) {
		return true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.heldAt.IsZero() && !q.heldAt.Before(since)
}

// CongestedAt returns when the link was last congested, zero if it never was. The time is in
// the future while a backlog drains.
func (q *Queue) CongestedAt() time.Time {
	at := q.meter.CongestedAt()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.heldAt.After(at) {
		return q.heldAt
	}
	return at
}
