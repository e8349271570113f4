package target

import (
	"time"

	"baobabstep"
)

// Evidence is smoothed over about ten samples.
const smoothing = 0.1

// failingShare is the smoothed share of failures that ejects, after
// minSamples outcomes: it finds targets that fail often but not in a row.
const (
	failingShare = 0.5
	minSamples   = 10
)

// returnAnswers is the number of answers without a failure between them that
// end an ejection early; rampAnswers is how many end a ramp early.
const (
	returnAnswers = 3
	rampAnswers   = 20
)

// holdTime is the first pause of a target that refused work for lack of room.
// It doubles with each refusal in a row, up to maxHoldTime.
const (
	holdTime    = 20 * time.Millisecond
	maxHoldTime = time.Second
)

// health is the evidence about one target.
type health struct {
	// seen is set once the entry was placed.
	seen bool

	// failures counts bad outcomes in a row, refusals those for lack of room.
	failures, refusals int
	// answers counts good outcomes since the last failure or return.
	answers int
	failing float64
	samples int
	// ejectedUntil ends the present ejection; ejections counts the recent
	// ones, one of which is forgotten for each MaxEjectTime without any.
	ejectedUntil time.Time
	ejections    int
	holdUntil    time.Time

	// down is this VM's own finding as a prober; otherDown counts the
	// probers that told so.
	down               bool
	prober             bool
	missed, goodProbes int
	probePending       bool
	// serviceTime is the smoothed service time in seconds.
	serviceTime float64
}

// good tells whether the target may get work. Outcomes come first. A probe
// finding counts when this VM or two other probers made it; one other prober
// may be cut off from the target alone.
func (h *health) good(now time.Time, e *entry) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	if h.down {
		return false
	}
	others := 0
	for i := range e.others {
		if e.others[i].down {
			others++
		}
	}
	return others < 2
}

func (h *health) holding(now time.Time) bool { return now.Before(h.holdUntil) }

// Outcome is what became of real work. A CodeOK with a service time of 0
// counts as an answer whose time is not known.
func (r *Registry) Outcome(now time.Time, id baobabstep.TargetID, code baobabstep.Code, serviceTime time.Duration) {
	e := r.entryOf(id)
	if e == nil {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	switch code {
	case baobabstep.CodeOK:
		e.succeeded(now, serviceTime)
	case baobabstep.CodeTargetLeaving:
		// For a VM that is cut off from all other sources the first
		// refusal is the news.
		e.health.goodProbes = 0
		e.setLeaving(SourceTarget, true)
	case baobabstep.CodeShed, baobabstep.CodeNoCapacity, baobabstep.CodeOverloaded:
		e.refused(now)
	case baobabstep.CodeCancelled:
	default:
		e.failed(now)
	}
}

func (e *entry) succeeded(now time.Time, serviceTime time.Duration) {
	h := &e.health
	h.failures = 0
	h.refusals = 0
	h.samples++
	h.failing -= smoothing * h.failing
	h.answers++
	if now.Before(h.ejectedUntil) && h.answers >= returnAnswers {
		// Work reached it all the same, in panic mode, and was answered.
		// Waiting for the end of the ejection would keep a service short
		// of targets long after a mass failure is over.
		h.ejectedUntil = now
		e.pool.dirty = true
	}
	if serviceTime <= 0 {
		return
	}
	e.observe(serviceTime.Seconds())
}

// observe takes a service time into the target's and the pool's mean, and
// adapts the limit of slots: a target that is much slower than its pool is
// given fewer at once.
func (e *entry) observe(seconds float64) {
	smooth(&e.health.serviceTime, seconds, smoothing)
	n := float64(max(1, len(e.pool.entries)))
	smooth(&e.pool.serviceTime, seconds, smoothing/n)
	if e.health.serviceTime > 2*e.pool.serviceTime {
		e.limit = max(1, e.limit*0.9)
		return
	}
	e.limit = min(float64(e.target.Slots), e.limit+0.1)
}

func smooth(mean *float64, x, share float64) {
	if *mean == 0 {
		*mean = x
		return
	}
	*mean += share * (x - *mean)
}

// refused pauses a target that has no room. That is no failure, but a target
// that refuses at once looks idle and would otherwise attract all work.
func (e *entry) refused(now time.Time) {
	h := &e.health
	pause := holdTime << min(h.refusals, 6)
	h.refusals++
	h.holdUntil = now.Add(min(pause, maxHoldTime))
}

func (e *entry) failed(now time.Time) {
	h := &e.health
	h.answers = 0
	if now.Before(h.ejectedUntil) {
		// It is out already. Failures of work that reached it in panic
		// mode must not eject it again as soon as it is back.
		return
	}
	h.failures++
	h.samples++
	h.failing += smoothing * (1 - h.failing)
	inRow := h.failures >= e.pool.reg.opts.EjectFailures
	often := h.samples >= minSamples && h.failing > failingShare
	if inRow || often {
		e.eject(now)
	}
}

// eject takes the target out for a time that doubles while it keeps failing,
// so that a flapping target is mostly out.
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
	h.failing = 0
	e.pool.dirty = true
	e.changed()
}

// Report takes a target's answer to this VM's own probe.
func (r *Registry) Report(now time.Time, id baobabstep.TargetID, report baobabstep.TargetReport) {
	e := r.entryOf(id)
	if e == nil {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	h := &e.health
	h.probePending = false
	h.missed = 0
	e.learnReport(int(report.Connections))
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

func (e *entry) learnReport(connections int) {
	// The reported service time is left alone: answers of real work tell it
	// better, and a wrong one would set the pace of admission and retries.
	e.reported = reported{known: true, connections: connections, base: e.flows}
	e.recount()
	e.changed()
}

func (e *entry) setDown(down bool) {
	if e.health.down == down {
		return
	}
	e.health.down = down
	e.pool.dirty = true
	e.changed()
}

// register is one source's update on leaving. The version grows with each
// change, so that updates merge without clocks.
type register struct {
	version uint64
	leaving bool
	// spread counts how often the update still has to be sent.
	spread int
}

// updateSpread is how often a leaving update is sent after it was made or learned.
const updateSpread = 4

func (e *entry) isLeaving() bool {
	for i := range e.leaving {
		if e.leaving[i].leaving {
			return true
		}
	}
	return false
}

func (e *entry) setLeaving(s Source, leaving bool) {
	g := &e.leaving[s]
	if g.leaving == leaving {
		return
	}
	g.version++
	g.leaving = leaving
	g.spread = updateSpread
	e.pool.dirty = true
	e.changed()
}

// Leaving takes a source's update that a target is leaving, or no longer is.
func (r *Registry) Leaving(_ time.Time, id baobabstep.TargetID, source Source, leaving bool) {
	e := r.entryOf(id)
	if e == nil || source >= numSources {
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	e.setLeaving(source, leaving)
}
