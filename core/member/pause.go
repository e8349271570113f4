package member

import "time"

// unsureAfterPauseDuration is the time after a pause in which a missing record of
// this VM still proves nothing, because updates that it missed may be in transit.
const unsureAfterPauseDuration = 3 * time.Second

// pause tracks whether this VM may act on its records.
type pause struct {
	// starting is set until a peer answers for the first time.
	starting bool
	// active is set from a pause until a peer answers a ping sent after it.
	active      bool
	startedAt   time.Time
	lastSeq     uint64 // pings sent after the pause have higher ones
	unsureUntil time.Time
	// lastTickWall is the wall-clock time of the last tick.
	lastTickWall time.Time
}

// advanceClock updates the current time and detects pauses. Entry points call it
// first, so that a VM that was paused notices before it acts: others may have
// declared it dead and taken over its flows and requests.
func (f *Fleet) advanceClock(now time.Time) {
	if now.After(f.now) {
		f.now = now
	}
	if f.gap(now) > f.options.PauseLimit {
		f.stats.Pauses++
		f.beginPause()
	}
}

// gap returns the time since the last tick. The monotonic clock stops while
// the machine is suspended, so the wall clock is compared too. A wall clock that
// was set forward only costs an extra ping.
func (f *Fleet) gap(now time.Time) time.Duration {
	gap := now.Sub(f.start) - time.Duration(f.lastTick.Load())
	if !f.pause.lastTickWall.IsZero() {
		gap = max(gap, now.Round(0).Sub(f.pause.lastTickWall))
	}
	return gap
}

// beginPause makes this VM ask its peers whether they still consider it alive, and
// extends deadlines, since peers may have answered while it was not receiving.
func (f *Fleet) beginPause() {
	f.extendDeadlines(f.now.Sub(f.start) - time.Duration(f.lastTick.Load()))
	f.lastTick.Store(int64(f.now.Sub(f.start)))
	f.pause.lastTickWall = f.now.Round(0)
	f.pause.active = true
	f.pause.startedAt = f.now
	f.pause.lastSeq = f.seq
	f.nextContact = f.now
	f.raiseIncarnation(f.self.vm.Incarnation + 1)
	f.viewStale.Store(true)
}

// extendDeadlines extends the timeouts that apply to other VMs and data centres by
// a gap in which this VM did not run.
func (f *Fleet) extendDeadlines(gap time.Duration) {
	f.probe = probe{}
	for _, d := range f.sortedDataCentres {
		d.beatAt = d.beatAt.Add(gap)
	}
	for _, r := range f.own.records {
		if notDead(r) && !r.stateSince.IsZero() {
			r.stateSince = r.stateSince.Add(gap)
		}
		if !r.connectionLostAt.IsZero() {
			r.connectionLostAt = r.connectionLostAt.Add(gap)
		}
	}
}

// endPauseIfAnswered ends a pause if the answered ping was sent after it.
func (f *Fleet) endPauseIfAnswered(seq uint64) {
	if f.pause.active && seq <= f.pause.lastSeq {
		return
	}
	f.endPause()
}

func (f *Fleet) endPause() {
	if !f.pause.active && !f.pause.starting {
		return
	}
	f.pause.active = false
	f.pause.starting = false
	f.pause.unsureUntil = f.now.Add(unsureAfterPauseDuration)
	f.viewStale.Store(true)
}

// endPauseAfterTimeout ends a pause without an answer after RejoinTimeout, because
// a VM without peers has to continue. A VM that just started stays unsure as long
// as the list names VMs that may hold records and none of them has answered.
func (f *Fleet) endPauseAfterTimeout() {
	switch {
	case f.pause.active && f.now.Sub(f.pause.startedAt) >= f.options.RejoinTimeout:
		f.endPause()
	case f.pause.starting && len(f.candidates) == 0 && f.now.Sub(f.start) >= f.options.RejoinTimeout:
		f.endPause()
	}
	if !f.pause.unsureUntil.IsZero() && !f.now.Before(f.pause.unsureUntil) {
		f.pause.unsureUntil = time.Time{}
		f.viewStale.Store(true)
	}
}

// Paused reports whether this VM was paused and no peer has answered since.
// While it does, the VM must not act on its records.
func (f *Fleet) Paused(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceClock(now)
	return f.pause.active
}
