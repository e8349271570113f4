package target

import (
	"time"

	"baobabstep"
)

// smoothing averages evidence over about ten samples.
const smoothing = 0.1

// failingShare is the smoothed share of failures that ejects a target after
// minSamples outcomes. It catches targets that fail often but not
// consecutively.
const (
	failingShare = 0.5
	minSamples   = 10
)

// earlyReturnAnswers is the number of answers without a failure in between that
// end an ejection early; rampAnswers is the number that end a ramp early.
const (
	earlyReturnAnswers = 3
	rampAnswers        = 20
)

// minRefusalPause is the first pause of a target that refused work for lack of
// capacity. It doubles with each consecutive refusal, up to maxRefusalPause.
const (
	minRefusalPause = 20 * time.Millisecond
	maxRefusalPause = time.Second
)

// health is the evidence about one target.
type health struct {
	// evaluated is set once updateUsable has seen the target.
	evaluated bool

	// failures counts consecutive failures, refusals those for lack of
	// capacity.
	failures, refusals int
	// answers counts successes since the last failure or return.
	answers      int
	failureShare float64
	samples      int
	// ejectedUntil is the end of the current ejection. ejections counts recent
	// ones and drops by one for each MaxEjectTime without any.
	ejectedUntil time.Time
	ejections    int
	pausedUntil  time.Time

	// down is set while this VM, as a prober, finds the target down.
	down               bool
	prober             bool
	missed, goodProbes int
	probePending       bool
	// serviceTime is the smoothed service time in seconds.
	serviceTime float64
}

// healthy reports whether the target may get work. Outcomes come first. A probe
// result counts if this VM or two other probers found it; a single other prober
// may be cut off from just this target.
func (h *health) healthy(now time.Time, e *entry) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	if h.down {
		return false
	}
	peersDown := 0
	for i := range e.peerStates {
		if e.peerStates[i].down {
			peersDown++
		}
	}
	return peersDown < 2
}

func (h *health) paused(now time.Time) bool { return now.Before(h.pausedUntil) }

// Outcome records the outcome of real work. CodeOK with a service time of 0 is
// a success of unknown duration.
func (r *Registry) Outcome(now time.Time, id baobabstep.TargetID, code baobabstep.Code, serviceTime time.Duration) {
	e := r.entryOf(id)
	if e == nil {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	switch code {
	case baobabstep.CodeOK:
		e.recordSuccess(now, serviceTime)
	case baobabstep.CodeTargetLeaving:
		// A VM that is cut off from all other sources learns of it from
		// the refusal first.
		e.health.goodProbes = 0
		e.setLeaving(SourceTarget, true)
	case baobabstep.CodeShed, baobabstep.CodeNoCapacity, baobabstep.CodeOverloaded:
		e.recordRefusal(now)
	case baobabstep.CodeCancelled:
	default:
		e.recordFailure(now)
	}
}

func (e *entry) recordSuccess(now time.Time, serviceTime time.Duration) {
	h := &e.health
	h.failures = 0
	h.refusals = 0
	h.samples++
	h.failureShare -= smoothing * h.failureShare
	h.answers++
	if now.Before(h.ejectedUntil) && h.answers >= earlyReturnAnswers {
		// The target got work in panic mode and answered it. Waiting out the
		// ejection would leave a service short of targets long after a mass
		// failure is over.
		h.ejectedUntil = now
		e.pool.dirty = true
	}
	if serviceTime <= 0 {
		return
	}
	e.observeServiceTime(serviceTime.Seconds())
}

// observeServiceTime updates the mean service times of the target and its pool,
// and adapts the slot limit: a target that is much slower than its pool gets
// fewer requests at once.
func (e *entry) observeServiceTime(seconds float64) {
	smooth(&e.health.serviceTime, seconds, smoothing)
	n := float64(max(1, len(e.pool.entries)))
	smooth(&e.pool.serviceTime, seconds, smoothing/n)
	if e.health.serviceTime > 2*e.pool.serviceTime {
		e.adaptiveSlots = max(1, e.adaptiveSlots*0.9)
		return
	}
	e.adaptiveSlots = min(float64(e.target.Slots), e.adaptiveSlots+0.1)
}

func smooth(mean *float64, x, weight float64) {
	if *mean == 0 {
		*mean = x
		return
	}
	*mean += weight * (x - *mean)
}

// recordRefusal pauses a target that lacks capacity. A refusal is not a
// failure, but a target that refuses at once looks idle and would otherwise
// attract all work.
func (e *entry) recordRefusal(now time.Time) {
	h := &e.health
	pause := minRefusalPause << min(h.refusals, 6)
	h.refusals++
	h.pausedUntil = now.Add(min(pause, maxRefusalPause))
}

func (e *entry) recordFailure(now time.Time) {
	h := &e.health
	h.answers = 0
	if now.Before(h.ejectedUntil) {
		// Already ejected. Failures of work that reached it in panic mode must
		// not eject it again as soon as it is back.
		return
	}
	h.failures++
	h.samples++
	h.failureShare += smoothing * (1 - h.failureShare)
	consecutive := h.failures >= e.pool.reg.opts.EjectFailures
	frequent := h.samples >= minSamples && h.failureShare > failingShare
	if consecutive || frequent {
		e.eject(now)
	}
}

// eject excludes the target for a time that doubles while it keeps failing, so
// that a flapping target is excluded most of the time.
func (e *entry) eject(now time.Time) {
	h := &e.health
	o := &e.pool.reg.opts
	if quiet := now.Sub(h.ejectedUntil); !h.ejectedUntil.IsZero() {
		h.ejections = max(0, h.ejections-int(quiet/o.MaxEjectTime))
	}
	length := min(o.EjectTime<<min(h.ejections, 10), o.MaxEjectTime)
	h.ejections++
	h.ejectedUntil = now.Add(length)
	h.failures = 0
	h.samples = 0
	h.failureShare = 0
	e.pool.dirty = true
	e.markChanged()
}

// RecordReport applies a target's answer to a probe of this VM.
func (r *Registry) RecordReport(now time.Time, id baobabstep.TargetID, report baobabstep.TargetReport) {
	e := r.entryOf(id)
	if e == nil {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	h := &e.health
	h.probePending = false
	h.missed = 0
	e.applyReport(int(report.Connections))
	if report.Draining {
		e.setLeaving(SourceTarget, true)
	}
	if !report.Healthy {
		e.setDown(true)
	}
	if report.Draining || !report.Healthy {
		h.goodProbes = 0
		return
	}
	h.goodProbes++
	e.pool.dirty = e.pool.dirty || h.goodProbes == 1
	if h.goodProbes >= r.opts.ReturnProbes {
		e.setDown(false)
		e.setLeaving(SourceTarget, false)
	}
}

func (e *entry) applyReport(connections int) {
	// The reported service time is ignored: answers of real work measure it
	// better, and a wrong one would distort the pace of admission and retries.
	e.lastReport = receivedReport{known: true, connections: connections, flowsAtReport: e.flows}
	e.updateLoad()
	e.markChanged()
}

func (e *entry) setDown(down bool) {
	if e.health.down == down {
		return
	}
	e.health.down = down
	e.pool.dirty = true
	e.markChanged()
}

// leavingState is one source's leaving update. Its version grows with each
// change, so that updates merge without clocks.
type leavingState struct {
	version uint64
	leaving bool
	// sendsLeft is how many more times the update has to be sent.
	sendsLeft int
}

// leavingSends is how often a leaving update is sent after it was made or
// received.
const leavingSends = 4

func (e *entry) isLeaving() bool {
	for i := range e.leaving {
		if e.leaving[i].leaving {
			return true
		}
	}
	return false
}

func (e *entry) setLeaving(s Source, leaving bool) {
	state := &e.leaving[s]
	if state.leaving == leaving {
		return
	}
	state.version++
	state.leaving = leaving
	state.sendsLeft = leavingSends
	e.pool.dirty = true
	e.markChanged()
}

// SetLeaving records that a source reports a target as leaving, or no longer.
func (r *Registry) SetLeaving(_ time.Time, id baobabstep.TargetID, source Source, leaving bool) {
	e := r.entryOf(id)
	if e == nil || source >= numSources {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.setLeaving(source, leaving)
}
