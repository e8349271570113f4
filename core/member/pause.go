package member

import "time"

// unsureAfterPause is the time after a pause in which "no record" of this VM
// still proves nothing: what it missed is on its way.
const unsureAfterPause = 3 * time.Second

// pause tracks whether this VM may act on what it remembers.
type pause struct {
	// starting is set until a peer has answered for the first time.
	starting bool
	// on is set from a pause until a peer answered a ping sent after it.
	on    bool
	at    time.Time
	seq   uint64 // pings after the pause have higher ones
	until time.Time
	// wall is the time of the last tick by the wall clock.
	wall time.Time
}

// observe notes the present time. Every entry point calls it first, so that a
// VM that was paused notices before it decides anything: others may have
// declared it dead meanwhile and given its work away.
func (f *Fleet) observe(now time.Time) {
	if now.After(f.now) {
		f.now = now
	}
	if f.gap(now) > f.o.PauseLimit {
		f.stats.Pauses++
		f.beginPause()
	}
}

// gap returns the time since the last tick. The monotonic clock stops while
// the whole machine is suspended, so the wall clock is asked too. If that one
// was merely set forward, a ping too many is the only harm.
func (f *Fleet) gap(now time.Time) time.Duration {
	gap := now.Sub(f.start) - time.Duration(f.ticked.Load())
	if !f.pause.wall.IsZero() {
		gap = max(gap, now.Round(0).Sub(f.pause.wall))
	}
	return gap
}

// beginPause makes this VM ask its peers whether they still count on it. What
// was silent may have been so because this VM did not listen.
func (f *Fleet) beginPause() {
	f.forgive(f.now.Sub(f.start) - time.Duration(f.ticked.Load()))
	f.ticked.Store(int64(f.now.Sub(f.start)))
	f.pause.wall = f.now.Round(0)
	f.pause.on = true
	f.pause.at = f.now
	f.pause.seq = f.seq
	f.nextContact = f.now
	f.raise(f.me.vm.Incarnation + 1)
	f.stale.Store(true)
}

// forgive takes a gap in which this VM did nothing out of what it holds
// against others.
func (f *Fleet) forgive(gap time.Duration) {
	f.probe = probe{}
	for _, d := range f.sorted {
		d.beatAt = d.beatAt.Add(gap)
	}
	for _, r := range f.own.records {
		if living(r) && !r.since.IsZero() {
			r.since = r.since.Add(gap)
		}
		if !r.doubted.IsZero() {
			r.doubted = r.doubted.Add(gap)
		}
	}
}

// reacknowledged ends a pause if the ping was sent after it.
func (f *Fleet) reacknowledged(seq uint64) {
	if f.pause.on && seq <= f.pause.seq {
		return
	}
	f.endPause()
}

func (f *Fleet) endPause() {
	if !f.pause.on && !f.pause.starting {
		return
	}
	f.pause.on = false
	f.pause.starting = false
	f.pause.until = f.now.Add(unsureAfterPause)
	f.stale.Store(true)
}

// rejoin ends a pause without an answer after a while: a VM that is alone has
// to go on. One that just started stays unsure as long as the list names VMs
// that may hold records and none of them has answered.
func (f *Fleet) rejoin() {
	switch {
	case f.pause.on && f.now.Sub(f.pause.at) >= f.o.RejoinTimeout:
		f.endPause()
	case f.pause.starting && len(f.candidates) == 0 && f.now.Sub(f.start) >= f.o.RejoinTimeout:
		f.endPause()
	}
	if !f.pause.until.IsZero() && !f.now.Before(f.pause.until) {
		f.pause.until = time.Time{}
		f.stale.Store(true)
	}
}

// Paused reports whether this VM was paused and no peer has answered since.
// It must not act on its records then.
func (f *Fleet) Paused(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	return f.pause.on
}
