package token

import (
	"time"

	"baobabstep"
	"baobabstep/core/quota"
)

// coldLimit is the limit on new flows to a cold target of a service, from all VMs together.
type coldLimit struct {
	quota.Limit
	// duration is how long a target stays cold after its start.
	duration time.Duration
}

// makeColdLimits returns the limits of a table by service. An unchanged limit keeps its
// pointer, so that cached shares of it stay valid.
func makeColdLimits(o *Options, table *baobabstep.RoutingTable, before map[string]*coldLimit) map[string]*coldLimit {
	limits := make(map[string]*coldLimit, len(table.ColdLimits))
	for _, c := range table.ColdLimits {
		l := &coldLimit{
			Limit:    quota.Limit{PerSecond: c.PerSecond, Bound: c.PerSecond*o.ColdOvershoot + o.ColdSlack},
			duration: c.Duration,
		}
		if old := before[c.Service]; old != nil && *old == *l {
			l = old
		}
		limits[c.Service] = l
	}
	return limits
}

// coldState is what this VM knows of a target's warm-up apart from its registration, and
// the new flows that it recently sent to the target. The target's load guards it.
type coldState struct {
	// presumedUntil is until when the target is presumed cold although its registration
	// does not say so, and blockedUntil until when it gets no flows for that reason.
	presumedUntil, blockedUntil time.Time
	meter                       quota.Meter
	// share is the cached share for view and limit.
	share quota.Share
	view  *quota.View
	limit *coldLimit
}

// updateShare returns this VM's share of the limit on a target, recomputed if the view or
// the limit changed.
func (c *coldState) updateShare(id baobabstep.TargetID, view *quota.View, limit *coldLimit) quota.Share {
	if c.view != view || c.limit != limit {
		c.view, c.limit, c.share = view, limit, view.ShareOf(uint64(id), limit.Limit)
	}
	return c.share
}

// recoverySettleTime is how long a recovered target gets no further flows. The VMs learn of
// the recovery at different moments, and each may have sent it a trial flow.
const recoverySettleTime = time.Second

// presumeCold marks a target as cold that accepted no flows and has just been heard from
// again.
//
// It may have restarted, which its registration shows only seconds later. Without this all
// VMs would choose the target because it seems idle; it got twice its limit.
func (r *Router) presumeCold(now time.Time, t *target) {
	if limit := r.current.Load().coldLimits[t.registration.Service]; limit != nil {
		t.load.presumeCold(now.Add(recoverySettleTime), now.Add(limit.duration))
		r.recovered.add(now, t.id)
	}
}

func (l *load) presumeCold(blockedUntil, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldState.blockedUntil, l.coldState.presumedUntil = blockedUntil, until
}

// coldLimitAllows reports whether the limit on cold targets allows one more new flow from
// this VM to a target.
//
// Only the VMs of the target's data centre share its limit: with fewer VMs, each learns of
// the others sooner. VMs of other data centres send a cold target no flows.
func (r *Router) coldLimitAllows(now time.Time, s *snapshot, t *target, limit *coldLimit) bool {
	if !t.isCold(now) && !s.presumesCold(now, t, limit) {
		return true
	}
	view := r.view.Load()
	if view == nil || t.registration.DataCentre != r.options.DataCentre {
		return false
	}
	t.load.mu.Lock()
	defer t.load.mu.Unlock()
	c := &t.load.coldState
	return !now.Before(c.blockedUntil) && c.meter.Allows(now, c.updateShare(t.id, view, limit))
}

// isCold reports whether the target is cold, by its registration or by presumption.
func (t *target) isCold(now time.Time) bool {
	if now.Before(t.coldUntil) {
		return true
	}
	t.load.mu.Lock()
	defer t.load.mu.Unlock()
	return now.Before(t.load.coldState.presumedUntil)
}

const (
	// urgentExpectedWithin is how long after an urgent flow another one is expected.
	urgentExpectedWithin = 200 * time.Millisecond
	// ordinaryBypassInterval: one of this many ordinary flows does not yield to urgent
	// flows.
	ordinaryBypassInterval = 8
)

// yieldsToUrgent reports whether an ordinary flow leaves the only target that accepts one
// more flow to urgent flows. Where all targets of a service are cold, each accepts its next
// flow at a certain moment, and ordinary flows, which are more frequent, would take nearly
// all of these.
func (r *Router) yieldsToUrgent(now time.Time, window poolWindow, route *rule, list []candidate) bool {
	if !route.ordinary || len(list) != 1 {
		return false
	}
	t := list[0].target
	if !t.isCold(now) && !window.snapshot.presumesCold(now, t, window.limit) {
		return false
	}
	return t.service.expectsUrgent(now) && r.randomUint64()%ordinaryBypassInterval != 0
}

// noteUrgentFlow records the time of a new flow of a rule if the rule is not ordinary.
func (s *serviceStats) noteUrgentFlow(now time.Time, route *rule) {
	if route.ordinary {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastUrgentAt = now
}

func (s *serviceStats) expectsUrgent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.lastUrgentAt) < urgentExpectedWithin
}

// consumeColdShare counts a first segment sent to a target against this VM's share of the
// cold limit.
func (r *Router) consumeColdShare(now time.Time, s *snapshot, t *target) {
	limit := s.coldLimits[t.registration.Service]
	if limit == nil {
		return
	}
	t.load.mu.Lock()
	defer t.load.mu.Unlock()
	t.load.coldState.meter.Record(now, t.load.coldState.share)
}

// SetView sets the VMs of the data centre that share the limits on its cold targets.
func (r *Router) SetView(view *quota.View) { r.view.Store(view) }

// HasColdLimits reports whether any service limits new flows to its cold targets.
func (r *Router) HasColdLimits() bool { return len(r.current.Load().coldLimits) > 0 }
