// Package bulk implements admission control for bulk flows on a VM's own link.
//
// # The model
//
// A bulk flow sends a request of many segments and keeps a full window in flight, regardless
// of the number of other flows. Each sending flow therefore adds a window to the queue before
// the VM's link:
//
//	queueing delay = sending flows x window / link rate
//
// At a queueing delay of 200 ms or more, callers retransmit segments that are still queued,
// and the link carries everything twice. A single sending flow can fill the link, so limiting
// the number of concurrent flows does not reduce throughput, and keeps the latency of small
// requests low.
//
// A [Gate] admits a bulk flow if the number of sending flows is below a limit, and otherwise
// holds its first segment in a queue. No request has been started for a held flow: its caller
// waits, or opens another flow through another VM. The gate refuses flows that would not be
// admitted in time, since a caller that is refused immediately retries through another VM.
//
// The queue is served round-robin by caller: a caller with many flows waits for its own
// flows, and a caller with one flow waits for one flow of each of the others.
//
// A Gate starts no goroutines, and takes the current time as an argument.
package bulk

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
	"baobabstep/core/decay"
)

const (
	// callerWindow is a caller's window in bytes, including headers.
	callerWindow = 16 * 1270
	// targetQueueDelay is the maximum queueing delay that sending flows may cause.
	targetQueueDelay = 40 * time.Millisecond
	// congestedUtilization is the link utilization at or above which a queue is attributed to
	// the sending flows. Below it, other causes limit their rate.
	congestedUtilization = 0.5
	// loadDelay is the time until admitted flows are reflected in the load of the link.
	loadDelay = 150 * time.Millisecond
	// sendingIdleTimeout is the time without payload after which a flow no longer counts as
	// sending. It exceeds the 200 ms after which callers retransmit.
	sendingIdleTimeout = 250 * time.Millisecond
	// sweepInterval is the minimum interval between sweeps for idle flows.
	sweepInterval = 25 * time.Millisecond
	// openingTimeout is how long a caller waits for the answer to its first segment, and
	// remainingOpeningTime the time that the opening takes once the segment is forwarded.
	openingTimeout       = 1400 * time.Millisecond
	remainingOpeningTime = 250 * time.Millisecond
	// retransmissionTolerance is how much earlier or later than expected a retransmission may
	// arrive. It covers the queueing delay before a link and the time until an answer reaches
	// the caller.
	retransmissionTolerance = targetQueueDelay + 10*time.Millisecond
	// maxExpectedWait is the upper bound on the expected wait of a held flow.
	maxExpectedWait = 800 * time.Millisecond
	// rateWindow is the window over which admissions are counted.
	rateWindow = time.Second
	// minBulkShare is the minimum share of the link that bulk flows are assumed to get.
	minBulkShare = 0.5
	// maxDisplaced limits the displaced segments that Release has not returned yet.
	maxDisplaced = 64
)

// retransmissionOffsets are the times at which a caller sends a first segment and its
// retransmissions, relative to the first transmission.
var retransmissionOffsets = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Options configures a [Gate]. The zero value of a field selects its default.
type Options struct {
	// BytesPerSecond is the rate of the link. If it is 0, the rate is unknown and every
	// flow is admitted.
	BytesPerSecond float64
	// MaxHeld and MaxHeldBytes limit the number and the total size of held first segments. The
	// defaults are 256 segments, or four times the limit of sending flows if that is more, and
	// 256 bytes per segment.
	MaxHeld, MaxHeldBytes int
}

// Gate admits bulk flows. It is safe for concurrent use.
type Gate struct {
	options Options
	waiting atomic.Int64
	pending chan struct{}
	refused [numDecisions]atomic.Uint64

	mu sync.Mutex
	// sending maps the bulk flows that send to the time of their last payload.
	sending map[baobabstep.FlowKey]time.Time
	sweptAt time.Time
	// admitted is a ring buffer of the times of the latest admissions; oldest is the index of
	// the oldest one.
	admitted []time.Time
	oldest   int
	queue    *queue
	// admissions is the decayed number of admissions at lastAdmission.
	admissions    float64
	lastAdmission time.Time
	stopped       bool
}

// New returns a gate with an empty queue.
func New(o Options) *Gate {
	o.MaxHeld = cmp.Or(o.MaxHeld, max(256, 4*o.limit()))
	o.MaxHeldBytes = cmp.Or(o.MaxHeldBytes, 256*o.MaxHeld)
	g := &Gate{options: o, pending: make(chan struct{}, 1), sending: make(map[baobabstep.FlowKey]time.Time), queue: newQueue()}
	if g.Active() {
		g.admitted = make([]time.Time, g.limit())
	}
	return g
}

// Active reports whether the gate may hold flows.
func (g *Gate) Active() bool { return g.options.BytesPerSecond > 0 }

// limit returns the maximum number of concurrently sending flows while the link is congested.
func (g *Gate) limit() int { return g.options.limit() }

func (o *Options) limit() int {
	return max(1, int(targetQueueDelay.Seconds()*o.BytesPerSecond/callerWindow))
}

// Route holds the properties of a flow's route that admission depends on.
type Route struct {
	// MeanSize is the mean size of its requests in bytes.
	MeanSize float64
	// Objective is the time within which its requests should be answered, 0 if unknown.
	Objective time.Duration
}

// maxWait returns the longest expected wait for which a flow is held. A longer wait leaves too
// little of the objective for the request itself.
func (r Route) maxWait() time.Duration {
	if r.Objective <= 0 {
		return maxExpectedWait
	}
	return min(maxExpectedWait, r.Objective/2)
}

// Offer decides on the first segment of a new bulk flow. load is the current load of the link.
// The gate copies the segments that it holds.
func (g *Gate) Offer(now time.Time, p *baobabstep.Segment, route Route, load baobabstep.LinkLoad) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.decide(now, p, route, load)
	g.countRefusal(d)
	g.setWaiting()
	return d
}

func (g *Gate) decide(now time.Time, p *baobabstep.Segment, route Route, load baobabstep.LinkLoad) Decision {
	deadline := now.Add(openingTimeout - remainingOpeningTime - retransmissionOffsets[min(p.Acked, uint32(len(retransmissionOffsets)-1))])
	if h := g.queue.find(p.Flow); h != nil {
		if h.segment.Seq == p.Seq {
			h.recordRetransmission(now, p.Acked, deadline)
			g.queue.updateNextEnd(h)
			return AlreadyHeld
		}
		g.queue.remove(h) // the caller reuses its port
	}
	if g.queue.count == 0 && !g.isLinkFull(now, load) {
		g.admit(now, p.Flow)
		return Admitted
	}
	wait := g.expectedWait(now, p, route.MeanSize)
	switch {
	case g.stopped:
		return Stopping
	case wait > route.maxWait() || now.Add(wait).After(deadline):
		return TooLate
	case !g.makeRoom(p):
		return NoRoom
	}
	g.queue.add(now, p, deadline)
	return Held
}

// isLinkFull reports whether another sending flow would exceed the limit of queueing delay.
func (g *Gate) isLinkFull(now time.Time, load baobabstep.LinkLoad) bool {
	g.sweep(now)
	if len(g.sending) < g.limit() {
		return false
	}
	return max(load.Received, load.Sent) >= congestedUtilization || now.Sub(g.admitted[g.oldest]) < loadDelay
}

// sweep removes idle flows.
func (g *Gate) sweep(now time.Time) {
	if now.Sub(g.sweptAt) < sweepInterval {
		return
	}
	g.sweptAt = now
	for key, last := range g.sending {
		if now.Sub(last) >= sendingIdleTimeout {
			delete(g.sending, key)
		}
	}
}

func (g *Gate) admit(now time.Time, key baobabstep.FlowKey) {
	g.sending[key] = now
	g.admissions = 1 + g.admissions*decay.Factor(now.Sub(g.lastAdmission), rateWindow)
	g.lastAdmission = now
	g.admitted[g.oldest] = now
	g.oldest = (g.oldest + 1) % len(g.admitted)
}

// expectedWait returns how long a new flow would wait for those ahead of it. The rate of
// admissions estimates that of completions, as the two are equal while flows are held.
func (g *Gate) expectedWait(now time.Time, p *baobabstep.Segment, size float64) time.Duration {
	perSecond := max(g.admissions*decay.Factor(now.Sub(g.lastAdmission), rateWindow)/rateWindow.Seconds(), minBulkShare*g.options.BytesPerSecond/max(size, callerWindow))
	return time.Duration(float64(g.queue.ahead(p.Flow.Caller.Addr())+1) / perSecond * float64(time.Second))
}

// makeRoom reports whether the queue has room for another segment. If it is full, the latest
// flow of the caller with the most held flows is displaced in favour of a caller with fewer.
func (g *Gate) makeRoom(p *baobabstep.Segment) bool {
	hasRoom := func() bool {
		return g.queue.count < g.options.MaxHeld && g.queue.bytes+len(p.Raw) <= g.options.MaxHeldBytes
	}
	for !hasRoom() {
		if len(g.queue.displaced) >= maxDisplaced {
			return false
		}
		longest := g.queue.longest()
		if longest == nil || len(longest.held) <= g.queue.heldBy(p.Flow.Caller.Addr())+1 {
			return false
		}
		g.queue.displaced = append(g.queue.displaced, longest.held[len(longest.held)-1])
		g.queue.remove(longest.held[len(longest.held)-1])
	}
	return true
}

// Payload records that a bulk flow sent payload of a request that is still unanswered.
func (g *Gate) Payload(now time.Time, key baobabstep.FlowKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	g.sending[key] = now
}

// Complete records that a bulk flow has sent its request, or has ended.
func (g *Gate) Complete(key baobabstep.FlowKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.sending, key)
}

// Withdraw removes the first segment of a flow if it is held, because the flow was opened by
// other means.
func (g *Gate) Withdraw(key baobabstep.FlowKey) {
	if g.Waiting() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if h := g.queue.find(key); h != nil {
		g.queue.remove(h)
	}
	g.setWaiting()
}

// Cancel removes a flow that was admitted or held and will not be opened.
func (g *Gate) Cancel(key baobabstep.FlowKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.sending, key)
	if h := g.queue.find(key); h != nil {
		g.queue.remove(h)
	}
	g.setWaiting()
}

// Released is a first segment that is no longer held.
type Released struct {
	// Decision is Admitted or the cause of the refusal.
	Decision Decision
	Segment  baobabstep.Segment
	// Waited is how long the segment was held.
	Waited time.Duration
}

// Release returns the first segments that are to be forwarded, refused or dropped now.
func (g *Gate) Release(now time.Time, load baobabstep.LinkLoad) (list []Released) {
	if g.Waiting() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, h := range g.queue.displaced {
		list = append(list, g.release(now, h, Displaced))
	}
	g.queue.displaced = nil
	for _, h := range g.queue.expire(now) {
		_, cause := h.end()
		list = append(list, g.release(now, h, cause))
	}
	if g.stopped {
		for _, h := range g.queue.clear() {
			list = append(list, g.release(now, h, Stopping))
		}
	}
	for g.queue.count > 0 && !g.isLinkFull(now, load) {
		h := g.queue.next(now)
		if h == nil {
			break
		}
		g.admit(now, h.segment.Flow)
		list = append(list, g.release(now, h, Admitted))
	}
	g.setWaiting()
	return list
}

// release returns the result for a segment that was removed from the queue.
func (g *Gate) release(now time.Time, h *held, d Decision) Released {
	if !h.isLatestCopy(now) {
		d = Overdue
	}
	g.countRefusal(d)
	return Released{Decision: d, Segment: h.segment, Waited: now.Sub(h.since)}
}

// Stop makes the gate hold no further flows. The next Release refuses all held flows.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
}

// Waiting returns the number of first segments that are held.
func (g *Gate) Waiting() int { return int(g.waiting.Load()) }

// Pending returns a channel that is readable if first segments may be held.
func (g *Gate) Pending() <-chan struct{} { return g.pending }

func (g *Gate) setWaiting() {
	n := g.queue.count + len(g.queue.displaced)
	g.waiting.Store(int64(n))
	if n > 0 {
		select {
		case g.pending <- struct{}{}:
		default:
		}
	}
}

func (g *Gate) countRefusal(d Decision) {
	if d.Refused() {
		g.refused[d].Add(1)
	}
}

// Refusals returns the number of refused flows by the name of the cause.
func (g *Gate) Refusals() map[string]uint64 {
	counts := make(map[string]uint64)
	for d := range numDecisions {
		if d.Refused() {
			counts[d.String()] = g.refused[d].Load()
		}
	}
	return counts
}
