package token

import (
	"maps"
	"slices"
	"sync"
	"time"

	"baobabstep"
)

// LearnReturns adds what another VM knows of returned data centres and targets, and reports whether
// that was new. A zero Since leaves the known one unchanged.
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
	merged = known
	if !other.Since.IsZero() && known.Since.Sub(other.Since) >= returnPrecision {
		merged.Since, changed = other.Since, true
	}
	var moreDataCentres, moreTargets bool
	merged.DataCentres, moreDataCentres = mergeTimes(known.DataCentres, other.DataCentres)
	merged.Targets, moreTargets = mergeTimes(known.Targets, other.Targets)
	return merged, changed || moreDataCentres || moreTargets
}

// returnPrecision is the least difference between two times that counts. Each message that
// passes a time on adds its transit time.
const returnPrecision = 500 * time.Millisecond

// mergeTimes returns known with the later times of other, and whether there were any. It modifies
// neither.
func mergeTimes[K comparable](known, other map[K]time.Time) (merged map[K]time.Time, changed bool) {
	merged = known
	for key, at := range other {
		if at.Sub(merged[key]) < returnPrecision {
			continue
		}
		if !changed {
			merged, changed = make(map[K]time.Time, len(known)+1), true
			maps.Copy(merged, known)
		}
		merged[key] = at
	}
	return merged, changed
}

// SetReturnsKnownSince sets the time since which this VM can have seen data centres and targets
// return. Until the router learns more from other VMs, all targets are presumed cold for as long as
// a target that became cold just before may be.
func (r *Router) SetReturnsKnownSince(since time.Time) {
	r.changeLock.Lock()
	defer r.changeLock.Unlock()
	next := *r.current.Load()
	next.returns.Since = since
	r.install(&next)
}

// Returns returns the returned data centres and targets that this VM knows of, as far as they
// matter for the limits on cold targets. It returns false if there are none.
func (r *Router) Returns(now time.Time) (known baobabstep.Returns, relevant bool) {
	s := r.current.Load()
	if len(s.coldLimits) == 0 {
		return known, false
	}
	longest := time.Duration(0)
	for _, limit := range s.coldLimits {
		longest = max(longest, limit.duration)
	}
	targets, _ := mergeTimes(s.returns.Targets, r.recovered.times(now, longest))
	return baobabstep.Returns{
		Since: s.returns.Since, DataCentres: within(now, longest, s.returns.DataCentres), Targets: within(now, longest, targets),
	}, true
}

// within returns the entries of times that are younger than age.
func within[K comparable](now time.Time, age time.Duration, times map[K]time.Time) map[K]time.Time {
	young := make(map[K]time.Time)
	for key, at := range times {
		if now.Sub(at) < age {
			young[key] = at
		}
	}
	return young
}

// recoveredTargets are the targets that this VM found to accept flows again, with the time. They
// are not in the snapshot, as they are found while a segment is handled.
type recoveredTargets struct {
	mu sync.Mutex
	at map[baobabstep.TargetID]time.Time
}

func (t *recoveredTargets) add(now time.Time, id baobabstep.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at == nil {
		t.at = make(map[baobabstep.TargetID]time.Time)
	}
	t.at[id] = now
}

// times returns the targets that recovered within age, and forgets the others.
func (t *recoveredTargets) times(now time.Time, age time.Duration) map[baobabstep.TargetID]time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at = within(now, age, t.at)
	return maps.Clone(t.at)
}

// returnsAfter returns the returns after the evacuations change from before to s at a time.
func (s *snapshot) returnsAfter(now time.Time, before map[string]bool) baobabstep.Returns {
	ended := make(map[string]time.Time)
	for name := range before {
		if !s.evacuated[name] {
			ended[name] = now
		}
	}
	known := s.returns
	known.DataCentres = maps.Clone(known.DataCentres)
	if known.DataCentres == nil {
		known.DataCentres = ended
	}
	maps.Copy(known.DataCentres, ended)
	return known
}

// presumesCold reports whether a target may have become cold lately without its registration
// showing it: it or its data centre returned, or may have without this VM knowing.
func (s *snapshot) presumesCold(now time.Time, t *target, limit *coldLimit) bool {
	known, after := &s.returns, now.Add(-limit.duration)
	return known.Since.After(after) || known.DataCentres[t.registration.DataCentre].After(after) || known.Targets[t.id].After(after)
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
	return slices.ContainsFunc(route.shares, func(share baobabstep.Share) bool { return s.coldLimits[share.Service] != nil })
}
