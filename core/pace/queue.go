// Package pace paces the datagrams that a VM sends, so that the queue of its own link does not
// overflow.
//
// # The model
//
// The sending side of a VM's link is a queue that drains at the link's rate and drops datagrams
// that would wait in it for too long:
//
//	VM -> [Queue] -> [link: at most 50 ms] -> targets
//
// On a small link, a burst of one caller exceeds that limit. The caller retransmits a lost
// datagram after 200 ms, and the retransmission uses the link's capacity again. A [Queue] keeps
// the backlog of the link below its limit and briefly holds the excess.
//
//   - Small datagrams take precedence over large ones, which they delay only slightly.
//   - Resets are sent immediately.
//   - The datagrams of a flow stay in order.
//   - No datagram is held until its caller has retransmitted it. A datagram that finds the
//     Queue full and a large one that has waited too long are dropped, as the link would have
//     done.
//
// The backlog is that of [link.Meter], which counts a datagram when it is sent. The load that
// the Queue reports includes held datagrams as part of the link's backlog.
package pace

import (
	"sync"
	"time"

	"baobabstep"
	"baobabstep/core/link"
)

const (
	// largeBacklogLimit and smallBacklogLimit are the backlogs of the link at which large and
	// small datagrams are held.
	largeBacklogLimit = 42 * time.Millisecond
	smallBacklogLimit = 46 * time.Millisecond
	// maxSmallBytes is the maximum size of a small datagram.
	maxSmallBytes = 300
	// maxHeldTime limits the held bytes by their transmission time on the link, and
	// maxHeldBytes limits them on a fast link. Both apply separately to small and large
	// datagrams.
	maxHeldTime  = 110 * time.Millisecond
	maxHeldBytes = 512 << 10
	// maxWait is the maximum time that a large datagram is held. Together with the time on the
	// link and the transit time of the answer, it is below the 200 ms after which callers retransmit.
	maxWait = 130 * time.Millisecond
)

// Queue decides which datagrams a VM sends now and holds the others. It is safe for concurrent
// use. It records the datagrams to send at the meter.
type Queue struct {
	meter *link.Meter
	// pending is readable if datagrams may be held.
	pending chan struct{}

	mu           sync.Mutex
	small, large datagramQueue
	// flows counts the datagrams of each flow that are held, or released and not sent yet. Later
	// datagrams of these flows are held behind them. released lists the flow of each datagram
	// that is released and not sent yet.
	flows    map[baobabstep.FlowKey]flowCounts
	released []baobabstep.FlowKey
	// lastHeldAt is when a datagram was last held, or zero if none ever was.
	lastHeldAt time.Time
	dropped    uint64
}

// flowCounts holds the number of datagrams of one flow, and how many of them are or were in
// the queue of large datagrams.
type flowCounts struct{ all, large int }

var _ baobabstep.LinkMeter = (*Queue)(nil)

// New returns an empty queue for the link that the meter measures. It holds nothing if the rate
// of the link is unknown.
func New(meter *link.Meter) *Queue {
	return &Queue{meter: meter, pending: make(chan struct{}, 1), flows: make(map[baobabstep.FlowKey]flowCounts)}
}

// Admit returns the datagrams of out that are to be sent now, in the array of out, and records
// them at the meter. It holds copies of the others.
func (q *Queue) Admit(now time.Time, out []baobabstep.OutgoingDatagram) []baobabstep.OutgoingDatagram {
	rate := q.meter.BytesPerSecond()
	if rate <= 0 || len(out) == 0 {
		return out
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := q.newBatch(now)
	send := out[:0]
	for i := range out {
		if q.canSend(&batch, &out[i]) {
			batch.add(&out[i])
			send = append(send, out[i])
		} else {
			q.hold(now, rate, &out[i])
		}
	}
	q.meter.Sent(now, batch.bytes)
	return send
}

// canSend reports whether a datagram may be sent now.
func (q *Queue) canSend(b *batch, d *baobabstep.OutgoingDatagram) bool {
	switch {
	case d.Target == 0:
		return true
	case q.flows[d.Flow].all > 0:
		return false
	case isSmall(d):
		return q.small.empty() && b.backlog < smallBacklogLimit
	}
	return q.small.empty() && q.large.empty() && b.backlog < largeBacklogLimit
}

func (q *Queue) hold(now time.Time, rate float64, d *baobabstep.OutgoingDatagram) {
	q.lastHeldAt = now
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

// Release appends the held datagrams for which the link has room again to out, and records them
// at the meter. The caller must send them and then call ConfirmSent, and must not call Release
// concurrently.
func (q *Queue) Release(now time.Time, out *[]baobabstep.OutgoingDatagram) {
	q.release(now, out, smallBacklogLimit, largeBacklogLimit)
}

// Flush releases all held datagrams except those that have waited too long, for a VM that
// stops.
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
	q.lastHeldAt = now
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

// ConfirmSent records that all released datagrams have been sent, so that later datagrams of
// the same flows may be sent.
func (q *Queue) ConfirmSent() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, key := range q.released {
		flow := q.flows[key]
		flow.all--
		// The small datagrams of a flow are released before its large ones.
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

// Pending returns a channel that is readable if datagrams may be held.
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

// Load implements [baobabstep.LinkMeter]. The backlog includes held datagrams.
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
	return !q.lastHeldAt.IsZero() && !q.lastHeldAt.Before(since)
}

// CongestedAt returns when the link was last congested, or zero if it never was. The time is in
// the future while a backlog drains.
func (q *Queue) CongestedAt() time.Time {
	at := q.meter.CongestedAt()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.lastHeldAt.After(at) {
		return q.lastHeldAt
	}
	return at
}
