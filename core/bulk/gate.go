// Package bulk decides when a VM lets a new bulk flow onto its own link.
//
// # The model
//
// A bulk flow sends a request of many segments and keeps a whole window of them in flight,
// however many other flows there are. Each flow that sends therefore adds a window to the
// queue before the VM's link:
//
//	wait = flows that send x window / rate of the link
//
// From a wait of 200 ms on, callers retransmit segments that are still queued, and the link
// carries everything twice. One flow that sends is already enough to fill the link, so
// fewer flows at a time finish just as many in a second, and small requests pass quickly.
//
// A [Gate] admits a bulk flow if few enough send, and otherwise holds its first segment in
// a queue. Nothing has run for a flow that is held: its caller waits, or opens another flow
// through another VM. The gate refuses what would not be admitted in time, since a caller
// that is refused at once tries again elsewhere.
//
// Callers take turns in the queue. A caller with many flows waits for its own flows, and a
// caller with one flow waits for one flow of each of the others.
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
	// callerWindow is how many bytes a caller keeps in flight, headers included.
	callerWindow = 16 * 1270
	// targetWait is the wait that the flows that send may cause.
	targetWait = 40 * time.Millisecond
	// busyShare is the share of the link's rate from which flows that send are the cause of
	// a queue. Below it, they are slow for other reasons.
	busyShare = 0.5
	// loadDelay is how long the load of a link lags behind the flows that were admitted.
	loadDelay = 150 * time.Millisecond
	// maxSendingPause is the time without payload after which a flow no longer counts as
	// one that sends. Callers retransmit after 200 ms.
	maxSendingPause = 250 * time.Millisecond
	// sweepInterval is the time between two searches for flows that paused.
	sweepInterval = 25 * time.Millisecond
	// tryDuration is how long a caller waits for the answer to its first segment, and
	// openingTime what the rest of the opening takes once the segment goes on.
	tryDuration = 1400 * time.Millisecond
	openingTime = 250 * time.Millisecond
	// copyTolerance is how much earlier or later than expected a copy may arrive: by the wait
	// before a link, and the time until an answer reaches the caller.
	copyTolerance = targetWait + 10*time.Millisecond
	// maxExpectedWait is the longest expected wait for which any flow is held.
	maxExpectedWait = 800 * time.Millisecond
	// rateWindow is the window over which admissions are counted.
	rateWindow = time.Second
	// minBulkShare is the least share of the link that bulk flows are expected to get.
	minBulkShare = 0.5
	// maxDisplaced bounds the displaced segments that Release has not returned yet.
	maxDisplaced = 64
)

// retransmittedAfter is how long after the first copy of a first segment each further copy
// is sent.
var retransmittedAfter = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// Options configures a [Gate]. Zero values select the defaults given with each field.
type Options struct {
	// BytesPerSecond is the rate of the link. If it is 0, the rate is unknown and every
	// flow is admitted.
	BytesPerSecond float64
	// MaxHeld and MaxHeldBytes bound the first segments that are held (256, or four times as
	// many as may send at once on a large link; 256 bytes each).
	MaxHeld, MaxHeldBytes int
}

// Gate admits bulk flows. It is safe for concurrent use.
type Gate struct {
	options Options
	waiting atomic.Int64
	pending chan struct{}
	refused [numDecisions]atomic.Uint64

	mu sync.Mutex
	// sending are the admitted bulk flows that send, by the time of their last payload.
	sending map[baobabstep.FlowKey]time.Time
	sweptAt time.Time
	// admitted are the times of the latest admissions in a ring; oldest is the index of the
	// oldest one.
	admitted []time.Time
	oldest   int
	queue    *queue
	// admissions is the decayed number of admissions at lastAdmission.
	admissions    float64
	lastAdmission time.Time
	stopped       bool
}

// New returns a gate that holds nothing.
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

// limit returns the number of flows that may send at once while the link is busy.
func (g *Gate) limit() int { return g.options.limit() }

func (o *Options) limit() int {
	return max(1, int(targetWait.Seconds()*o.BytesPerSecond/callerWindow))
}

// Route is what the gate needs to know of a flow's route.
type Route struct {
	// MeanSize is the mean size of its requests in bytes.
	MeanSize float64
	// Objective is the time within which its requests should be answered, 0 if unknown.
	Objective time.Duration
}

// maxWait returns the longest expected wait for which a flow is held. What waits longer
// leaves too little of the objective for the request itself.
func (r Route) maxWait() time.Duration {
	if r.Objective <= 0 {
		return maxExpectedWait
	}
	return min(maxExpectedWait, r.Objective/2)
}

// Offer decides on the first segment of a new bulk flow. load is the present use of the
// link. The gate keeps a copy of a segment that it holds.
func (g *Gate) Offer(now time.Time, p *baobabstep.Segment, route Route, load baobabstep.LinkLoad) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	d := g.decide(now, p, route, load)
	g.countRefusal(d)
	g.setWaiting()
	return d
}

func (g *Gate) decide(now time.Time, p *baobabstep.Segment, route Route, load baobabstep.LinkLoad) Decision {
	deadline := now.Add(tryDuration - openingTime - retransmittedAfter[min(p.Acked, uint32(len(retransmittedAfter)-1))])
	if h := g.queue.find(p.Flow); h != nil {
		if h.segment.Seq == p.Seq {
			h.repeat(now, p.Acked, deadline)
			g.queue.noteEnd(h)
			return AlreadyHeld
		}
		g.queue.remove(h) // the caller reuses its port
	}
	if g.queue.count == 0 && !g.isFull(now, load) {
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

// isFull reports whether one more flow would make the queue before the link too long.
func (g *Gate) isFull(now time.Time, load baobabstep.LinkLoad) bool {
	g.sweep(now)
	if len(g.sending) < g.limit() {
		return false
	}
	return max(load.Received, load.Sent) >= busyShare || now.Sub(g.admitted[g.oldest]) < loadDelay
}

// sweep removes flows that paused.
func (g *Gate) sweep(now time.Time) {
	if now.Sub(g.sweptAt) < sweepInterval {
		return
	}
	g.sweptAt = now
	for key, last := range g.sending {
		if now.Sub(last) >= maxSendingPause {
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

// expectedWait returns how long a new flow would wait for those before it. While flows
// wait, as many are admitted as complete.
func (g *Gate) expectedWait(now time.Time, p *baobabstep.Segment, size float64) time.Duration {
	perSecond := max(g.admissions*decay.Factor(now.Sub(g.lastAdmission), rateWindow)/rateWindow.Seconds(), minBulkShare*g.options.BytesPerSecond/max(size, callerWindow))
	return time.Duration(float64(g.queue.ahead(p.Flow.Caller.Addr())+1) / perSecond * float64(time.Second))
}

// makeRoom reports whether the queue has room for one more segment. If it is full, the
// caller with the most waiting flows loses its latest one to a caller with fewer.
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

// Payload records that a bulk flow sent payload of a request that is not answered yet.
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

// Withdraw forgets the first segment of a flow if it is held, because the flow was opened
// otherwise.
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

// Cancel forgets a flow that was admitted or held and will not be opened.
func (g *Gate) Cancel(key baobabstep.FlowKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.sending, key)
	if h := g.queue.find(key); h != nil {
		g.queue.remove(h)
	}
	g.setWaiting()
}

// Released is a first segment that is held no longer.
type Released struct {
	// Decision is Admitted or the cause of the refusal.
	Decision Decision
	Segment  baobabstep.Segment
	// Waited is how long the segment was held.
	Waited time.Duration
}

// Release returns the first segments that go on now, are refused, or are dropped.
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
	for g.queue.count > 0 && !g.isFull(now, load) {
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

// release returns what becomes of a segment that was removed from the queue.
func (g *Gate) release(now time.Time, h *held, d Decision) Released {
	if !h.isCurrent(now) {
		d = Overdue
	}
	g.countRefusal(d)
	return Released{Decision: d, Segment: h.segment, Waited: now.Sub(h.since)}
}

// Stop makes the gate hold nothing from now on. The next Release refuses all that waits.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
}

// Waiting returns the number of first segments that are held.
func (g *Gate) Waiting() int { return int(g.waiting.Load()) }

// Pending returns a channel that holds a value if first segments may be held.
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
