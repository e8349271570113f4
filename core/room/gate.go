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
	// window is the decay time constant of outcome counts. It is about the time that a
	// request spends in a full queue: with a shorter one, the gate would react before the
	// outcomes are known.
	window = 300 * time.Millisecond
	// toleratedRejectedShare is the rejected share up to which all flows are admitted: queues
	// that never overflow leave slots idle at times, and callers retry. Beyond it, the
	// admitted share falls by a factor of e per rejectedShareScale. At an offered load of
	// twice the capacity, a tenth to a sixth of the requests is then rejected, and an urgent
	// request with three tries fails a few times in a thousand.
	toleratedRejectedShare = 0.05
	rejectedShareScale     = 0.04
	// The overload has ended when the rejected share is below recoveryRejectedShare and the
	// latency below recoveryLatencyRatio times the unloaded latency. The admitted share then
	// grows exponentially by recoveryRate per second. While the gate limits an overload,
	// queues are longer than that.
	recoveryRejectedShare = toleratedRejectedShare
	recoveryLatencyRatio  = 1.8
	recoveryRate          = 8.0
	// Below normalLatencyRatio times the unloaded latency there are no queues, so the admitted
	// share grows regardless of the rejected share: the rejections are failures, which
	// refusing flows does not reduce.
	normalLatencyRatio = 1.2
	// minAdmitted is the minimum admitted share. The outcomes of the admitted flows show when
	// the overload has ended.
	minAdmitted = 0.04
	// The gate closes when the rejected share is at least closeRejectedShare and the latency
	// at least closeLatencyRatio times the unloaded latency. It requires at least
	// minRejections recent rejections, and the number of distinct targets among them must be
	// at least minDistinctShare of the number of rejections or of all targets, whichever is
	// smaller.
	closeRejectedShare = 0.1
	closeLatencyRatio  = 1.5
	minRejections      = 8
	minDistinctShare   = 0.6
	// maxRejections is the number of rejections that are stored, and rejectionLifetime the
	// time after which they are ignored.
	maxRejections     = 16
	rejectionLifetime = time.Second
	// maxElapsed limits the time between two updates for which the admitted share grows.
	maxElapsed = 200 * time.Millisecond
)

// rejection is a request that a target rejected.
type rejection struct {
	target baobabstep.TargetID
	at     time.Time
}

// Gate controls the admission of new ordinary flows to one service. It is safe for
// concurrent use. The zero value admits all flows.
type Gate struct {
	mu sync.Mutex
	// answered and rejected are decayed counts of requests, timed is the decayed count of
	// answered requests of known latency, and logLatency the decayed sum of the logarithms
	// of their latencies, all as of decayedAt.
	answered, rejected, timed, logLatency float64
	decayedAt                             time.Time
	rejections                            [maxRejections]rejection
	nextRejection                         int
	// closed is set while the admission of ordinary flows is limited, and admitted is the
	// share of them that is admitted meanwhile.
	closed    bool
	admitted  float64
	updatedAt time.Time
	state     State
	// overloaded is the result of Overloaded. It is not protected by mu because it is read
	// for each answer.
	overloaded atomic.Bool
}

// State is the state of a gate as of its last update.
type State struct {
	// Closed is set while the admission of ordinary flows is limited.
	Closed bool
	// Admitted is the share of new ordinary flows that is admitted.
	Admitted float64
	// Rejected is the share of recent requests that targets rejected, and LatencyRatio the
	// ratio of the latency of the others to the unloaded latency.
	Rejected, LatencyRatio float64
}

// AddAnswered counts an answered request; latency is 0 if unknown.
func (g *Gate) AddAnswered(now time.Time, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decayTo(now)
	g.answered++
	if latency <= 0 {
		return
	}
	g.timed++
	g.logLatency += math.Log(latency.Seconds())
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
// load, 0 if unknown, and targets the number of its targets that accept new flows. changed
// is set if the gate has closed or opened.
func (g *Gate) Update(now time.Time, unloaded time.Duration, targets int) (s State, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.decayTo(now)
	elapsed := min(now.Sub(g.updatedAt), maxElapsed)
	g.updatedAt = now
	wasClosed := g.closed
	g.state.Rejected, g.state.LatencyRatio = g.measure(unloaded)
	if !g.closed && g.shouldClose(now, targets) {
		g.closed, g.admitted = true, 1
	}
	if g.closed {
		g.adjust(elapsed)
	}
	g.state.Closed, g.state.Admitted = g.closed, 1
	if g.closed {
		g.state.Admitted = g.admitted
	}
	g.overloaded.Store(g.state.Admitted < 1 && g.state.LatencyRatio >= closeLatencyRatio)
	return g.state, g.closed != wasClosed
}

// Open opens the gate. It is for a service without urgent flows, where refusing flows has no
// benefit. changed is set if the gate was closed.
func (g *Gate) Open() (s State, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed = g.closed
	g.closed = false
	g.state.Closed, g.state.Admitted = false, 1
	g.overloaded.Store(false)
	return g.state, changed
}

// measure returns the share of rejected requests and the ratio of the geometric mean latency
// of the others to the unloaded latency.
func (g *Gate) measure(unloaded time.Duration) (rejected, latencyRatio float64) {
	if all := g.answered + g.rejected; all > 0 {
		rejected = g.rejected / (all + 1) // the added 1 lowers the share when there are few requests
	}
	latencyRatio = 1
	if g.timed > 0.1 && unloaded > 0 {
		latencyRatio = math.Exp(g.logLatency/g.timed) / unloaded.Seconds()
	}
	return rejected, latencyRatio
}

// shouldClose reports whether an open gate meets the conditions for closing.
func (g *Gate) shouldClose(now time.Time, targets int) bool {
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
	return recent >= minRejections && float64(distinct) >= minDistinctShare*float64(min(recent, targets))
}

// adjust updates the admitted share of a closed gate, and opens the gate when the share has
// reached 1 and the latency is below the closing threshold.
func (g *Gate) adjust(elapsed time.Duration) {
	recovered := g.state.Rejected < recoveryRejectedShare && g.state.LatencyRatio < recoveryLatencyRatio
	noQueues := g.timed >= 1 && g.state.LatencyRatio < normalLatencyRatio // without known latencies the ratio is 1
	if recovered || noQueues {
		g.admitted *= math.Exp(recoveryRate * elapsed.Seconds())
	} else {
		g.admitted = math.Exp(min(0, toleratedRejectedShare-g.state.Rejected) / rejectedShareScale)
	}
	g.admitted = min(1, max(minAdmitted, g.admitted))
	if g.admitted >= 1 && g.state.LatencyRatio < closeLatencyRatio {
		g.closed, g.admitted = false, 1
	}
}

// Admits reports whether to admit a new ordinary flow. random is a uniformly distributed
// random number.
func (s State) Admits(random uint64) bool {
	return !s.Closed || float64(random)/math.MaxUint64 < s.Admitted
}

// Admits calls [State.Admits] on the state as of the last update.
func (g *Gate) Admits(random uint64) bool { return g.State().Admits(random) }

// Overloaded reports whether, as of the last update, the gate refused flows and the latency
// was elevated. Otherwise targets have free capacity, and a rejected request is a failure of
// the target.
func (g *Gate) Overloaded() bool { return g.overloaded.Load() }

// State returns the state as of the last update.
func (g *Gate) State() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.updatedAt.IsZero() {
		return State{Admitted: 1, LatencyRatio: 1}
	}
	return g.state
}
