package token

import (
	"maps"
	"slices"
	"time"

	"baobabstep"
)

// LearnReturns adds what another VM knows of ended evacuations, and reports whether that was
// new. A zero Since leaves the known one unchanged.
func (r *Router) LearnReturns(known baobabstep.Returns) (changed bool) {
	if _, changed = mergeReturns(r.current.Load().returns, known); !changed {
		return false
	}
	r.changeLock.Lock()
	defer r.changeLock.Unlock()
	next := *r.current.Load()
	next.returns, changed = mergeReturns(next.returns, known)
	r.install(&next)
	return changed
}

// mergeReturns returns known with what other adds to it, and whether that was anything.
func mergeReturns(known, other baobabstep.Returns) (merged baobabstep.Returns, changed bool) {
	merged = baobabstep.Returns{Since: known.Since, DataCentres: maps.Clone(known.DataCentres)}
	if !other.Since.IsZero() && known.Since.Sub(other.Since) >= returnPrecision {
		merged.Since, changed = other.Since, true
	}
	for name, at := range other.DataCentres {
		if at.Sub(known.DataCentres[name]) >= returnPrecision {
			merged.DataCentres, changed = withReturn(merged.DataCentres, name, at), true
		}
	}
	return merged, changed
}

// returnPrecision is the least difference between two times that counts. Each message that
// passes a time on adds its transit time.
const returnPrecision = 500 * time.Millisecond

func withReturn(last map[string]time.Time, name string, at time.Time) map[string]time.Time {
	if last == nil {
		last = make(map[string]time.Time)
	}
	last[name] = at
	return last
}

// SetReturnsKnownSince sets the time since which this VM can have seen evacuations end. Until the
// router learns more from other VMs, all targets are presumed cold for as long as a target that
// became cold just before may be.
func (r *Router) SetReturnsKnownSince(since time.Time) {
	r.changeLock.Lock()
	defer r.changeLock.Unlock()
	next := *r.current.Load()
	next.returns.Since = since
	r.install(&next)
}

// Returns returns what this VM knows of ended evacuations, as far as it matters for the limits
// on cold targets. It returns false if there are none.
func (r *Router) Returns(now time.Time) (known baobabstep.Returns, relevant bool) {
	s := r.current.Load()
	if len(s.coldLimits) == 0 {
		return known, false
	}
	longest := time.Duration(0)
	for _, limit := range s.coldLimits {
		longest = max(longest, limit.duration)
	}
	known = baobabstep.Returns{Since: s.returns.Since, DataCentres: maps.Clone(s.returns.DataCentres)}
	maps.DeleteFunc(known.DataCentres, func(_ string, at time.Time) bool { return now.Sub(at) >= longest })
	return known, true
}

// returnsAfter returns the returns after the evacuations change from before to s at a time.
func (s *snapshot) returnsAfter(now time.Time, before map[string]bool) baobabstep.Returns {
	known := s.returns
	known.DataCentres = maps.Clone(known.DataCentres)
	for name := range before {
		if !s.evacuated[name] {
			known.DataCentres = withReturn(known.DataCentres, name, now)
		}
	}
	return known
}

// presumesCold reports whether a target may have become cold lately without its registration
// showing it: its data centre got new flows again, or may have without this VM knowing.
func (s *snapshot) presumesCold(now time.Time, t *target, limit *coldLimit) bool {
	known := &s.returns
	return now.Before(known.Since.Add(limit.duration)) || len(known.DataCentres) > 0 && now.Before(known.DataCentres[t.registration.DataCentre].Add(limit.duration))
}

// returnsWait is how long after its start a VM drops first segments that it could place if it
// knew that their targets are warm: until the VMs of a fleet that starts have found each other and
// share the limits. A running VM answers the first heartbeat at once. A refusal would cost the
// caller one of few tries, while its copies after 0.2 and 0.6 s may be served.
const returnsWait = 1500 * time.Millisecond

// awaitsReturns reports whether a new flow of a rule finds no target because this VM has just
// started and has not learned from others which targets may be cold.
func (r *Router) awaitsReturns(now time.Time, s *snapshot, route *rule) bool {
	if !now.Before(s.returns.Since.Add(returnsWait)) {
		return false
	}
	return slices.ContainsFunc(route.shares, func(share baobabstep.Share) bool {
		p := s.pools[share.Service]
		return s.coldLimits[share.Service] != nil && p != nil && p.countAccepting(now) > 0
	})
}
