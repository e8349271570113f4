package room

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
	"baobabstep/core/decay"
)

const (
	// window is the time constant with which outcomes decay. It is about the time that a
	// request spends in a full queue: an earlier reaction would be to less than is known.
	window = 300 * time.Millisecond
	// Up to a rejected share of harmlessShare all flows are admitted: queues that never
	// overflow leave slots idle at times, and callers try again. Beyond it, the admitted
	// share falls by a factor of e with each yieldScale. In a peak of twice the slots a
	// tenth to a sixth of the requests is then rejected, and an urgent request with three
	// tries fails a few times in a thousand.
	harmlessShare = 0.05
	yieldScale    = 0.04
	// With fewer rejections than endRejectedShare and at a latency below endLatencyRatio
	// times the unloaded one, the overload has ended: then the share rises by endRate. In an
	// overload that is under control, queues are longer.
	endRejectedShare = harmlessShare
	endLatencyRatio  = 1.8
	endRate          = 8.0
	// Below normalLatencyRatio times the unloaded latency there are no queues, so the share
	// rises whatever is rejected: the rejections are failures, and refusals do not help.
	normalLatencyRatio = 1.2
	// minAdmitted is the least admitted share. The admitted flows show when the overload
	// has ended.
	minAdmitted = 0.04
	// The gate closes at a share of rejected requests of closeRejectedShare, seen in at
	// least minRejections rejections, of as many targets as distinctShare of the rejections
	// or of all targets, and at a latency of closeLatencyRatio times the unloaded one.
	closeRejectedShare = 0.1
	closeLatencyRatio  = 1.5
	minRejections      = 8
	distinctShare      = 0.6
	// maxRejections is the number of remembered rejections, and rejectionLifetime how long
	// they count.
	maxRejections     = 16
	rejectionLifetime = time.Second
	// maxStep is the longest time between two updates that counts.
	maxStep = 200 * time.Millisecond
)

// rejection is a request that a target rejected.
type rejection struct {
	target baobabstep.TargetID
	at     time.Time
}

// Gate is the admission of new ordinary flows of one service. It is safe for concurrent
// use. The zero value admits all flows.
type Gate struct {
	mu sync.Mutex
	// answered and rejected are the weights of recent requests, timed that of the answered
	// ones whose latency is known, and logLatency the sum of the logarithms of these
	// latencies, all as of decayedAt.
	answered, rejected, timed, logLatency float64
	decayedAt                             time.Time
	rejections                            [maxRejections]rejection
	nextRejection                         int
	// closed is set while the share of ordinary flows that are admitted, admitted, is
	// less than 1.
	closed    bool
	admitted  float64
	updatedAt time.Time
	state     State
	// overloaded is what Overloaded returns, outside of mu because it is read for each
	// answer.
	overloaded atomic.Bool
}

// State is the state of a gate at its last update.
type State struct {
	// Closed is set while only a part of the ordinary flows is admitted.
	Closed bool
	// Admitted is the share of ordinary flows that are admitted.
	Admitted float64
	// Rejected is the share of recent requests that targets rejected, and LatencyRatio the
	// ratio of the latency of the others to the unloaded latency.
	Rejected, LatencyRatio float64
}

// AddAnswered counts a request that was answered; took is 0 if its latency is unknown.
func (g *Gate) AddAnswered(now time.Time, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decayTo(now)
	g.answered++
	if took <= 0 {
		return
	}
	g.timed++
	g.logLatency += math.Log(took.Seconds())
}

// AddRejected counts a request that a target rejected.
func (g *Gate) AddRejected(now time.Time, target baobabstep.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decayTo(now)
	g.rejected++
	g.rejections[g.nextRejection] = rejection{target, now}
	g.nextRejection = (g.nextRejection + 1) % maxRejections
}

func (g *Gate) decayTo(now time.Time) {
	factor := decay.Factor(now.Sub(g.decayedAt), window)
	g.answered *= factor
	g.rejected *= factor
	g.timed *= factor
	g.logLatency *= factor
	if now.After(g.decayedAt) {
		g.decayedAt = now
	}
}

// Update recomputes the admitted share. unloaded is the latency of the service under light
// load, 0 if unknown, and targets the number of its targets that may get new
// flows. changed is set if the gate
// has closed or opened.
func (g *Gate) Update(now time.Time, unloaded time.Duration, targets int) (s State, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decayTo(now)
	step := min(now.Sub(g.updatedAt), maxStep)
	g.updatedAt = now
	before := g.closed
	g.state.Rejected, g.state.LatencyRatio = g.measure(unloaded)
	if !g.closed && g.mustClose(now, targets) {
		g.closed, g.admitted = true, 1
	}
	if g.closed {
		g.adjust(step)
	}
	g.state.Closed, g.state.Admitted = g.closed, 1
	if g.closed {
		g.state.Admitted = g.admitted
	}
	g.overloaded.Store(g.state.Admitted < 1 && g.state.LatencyRatio >= closeLatencyRatio)
	return g.state, g.closed != before
}

// Open opens the gate, for a service where no flow can gain by the refusal of others. changed
// is set if the gate was closed.
func (g *Gate) Open() (s State, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed = g.closed
	g.closed = false
	g.state.Closed, g.state.Admitted = false, 1
	g.overloaded.Store(false)
	return g.state, changed
}

// measure returns the share of rejected requests, and the ratio of the latency of the
// others to the unloaded latency.
func (g *Gate) measure(unloaded time.Duration) (rejected, latencyRatio float64) {
	if all := g.answered + g.rejected; all > 0 {
		rejected = g.rejected / (all + 1) // one more, so that the last few requests decide less
	}
	latencyRatio = 1
	if g.timed > 0.1 && unloaded > 0 {
		latencyRatio = math.Exp(g.logLatency/g.timed) / unloaded.Seconds()
	}
	return rejected, latencyRatio
}

// mustClose reports whether an open gate has to close.
func (g *Gate) mustClose(now time.Time, targets int) bool {
	if g.state.Rejected < closeRejectedShare || g.state.LatencyRatio < closeLatencyRatio {
		return false
	}
	var recent, distinct int
	for i, r := range g.rejections {
		if r.at.IsZero() || now.Sub(r.at) >= rejectionLifetime {
			continue
		}
		recent++
		first := true
		for _, other := range g.rejections[:i] {
			if other.target == r.target && now.Sub(other.at) < rejectionLifetime {
				first = false
			}
		}
		if first {
			distinct++
		}
	}
	return recent >= minRejections && float64(distinct) >= distinctShare*float64(min(recent, targets))
}

// adjust changes the admitted share of a closed gate.
func (g *Gate) adjust(step time.Duration) {
	ended := g.state.Rejected < endRejectedShare && g.state.LatencyRatio < endLatencyRatio
	noQueues := g.timed >= 1 && g.state.LatencyRatio < normalLatencyRatio // without latencies the ratio is 1
	if ended || noQueues {
		g.admitted *= math.Exp(endRate * step.Seconds())
	} else {
		g.admitted = math.Exp(min(0, harmlessShare-g.state.Rejected) / yieldScale)
	}
	g.admitted = min(1, max(minAdmitted, g.admitted))
	if g.admitted >= 1 && g.state.LatencyRatio < closeLatencyRatio {
		g.closed, g.admitted = false, 1
	}
}

// Admits reports whether to admit a new ordinary flow; draw is a random number.
func (s State) Admits(draw uint64) bool {
	return !s.Closed || float64(draw)/math.MaxUint64 < s.Admitted
}

// Admits is [State.Admits] of the state at the last update.
func (g *Gate) Admits(draw uint64) bool { return g.State().Admits(draw) }

// Overloaded reports whether flows were refused at the last update while queues were long.
// At other times the targets have room, and one that rejects requests fails them.
func (g *Gate) Overloaded() bool { return g.overloaded.Load() }

// State returns the state at the last update.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.updatedAt.IsZero() {
		return State{Admitted: 1, LatencyRatio: 1}
	}
	return g.state
}
