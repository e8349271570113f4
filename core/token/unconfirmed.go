package token

import "time"

// AwaitTargets makes the router drop first segments for which it finds no target, rather than
// refuse them, until ConfirmTargets is called. The registrations of a VM that has just started may
// come from an outdated replica that lacks the targets of a new service.
func (r *Router) AwaitTargets() { r.targetsUnconfirmed.Store(true) }

// ConfirmTargets records that the registrations were confirmed to be the newest ones.
func (r *Router) ConfirmTargets() { r.targetsUnconfirmed.Store(false) }

// refusalUnconfirmed reports whether a new flow of a rule finds no target only by what this VM does
// not know for certain, and the event to record. The caller's copy decides then.
func (r *Router) refusalUnconfirmed(now time.Time, s *snapshot, route *rule) (kind EventKind, unconfirmed bool) {
	cold := r.awaitsReturns(now, s, route)
	if !cold && !r.targetsUnconfirmed.Load() {
		return 0, false
	}
	accepting := 0
	for _, share := range route.shares {
		if p := s.pools[share.Service]; p != nil {
			accepting += p.countAccepting(now)
		}
	}
	if accepting == 0 {
		return EventTargetsUnconfirmed, r.targetsUnconfirmed.Load()
	}
	return EventColdUnknown, cold
}
