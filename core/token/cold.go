package token

import (
	"time"

	"baobabstep"
	"baobabstep/core/quota"
)

// coldLimit is what a cold target of a service bears, from all VMs together.
type coldLimit struct {
	quota.Limit
	// lasts is how long a target stays cold after its start.
	lasts time.Duration
}

// makeColdLimits returns the limits of a table by service. What is as before is the
// same value, so that shares of it stay known.
func makeColdLimits(o *Options, table *baobabstep.RoutingTable, before map[string]*coldLimit) map[string]*coldLimit {
	limits := make(map[string]*coldLimit, len(table.ColdLimits))
	for _, c := range table.ColdLimits {
		l := &coldLimit{
			Limit: quota.Limit{PerSecond: c.PerSecond, Bound: c.PerSecond*o.ColdOvershoot + o.ColdSlack},
			lasts: c.Lasts,
		}
		if old := before[c.Service]; old != nil && *old == *l {
			l = old
		}
		limits[c.Service] = l
	}
	return limits
}

// coldness is what is known of a target beside its own word, and how many new flows
// it got from this VM lately. The load of the target guards it.
type coldness struct {
	// presumedUntil is until when the target is taken to be cold though it does
	// not say so, and closedUntil until when it gets no flow because of that.
	presumedUntil, closedUntil time.Time
	meter                      quota.Meter
	// share is that of view and limit.
	share quota.Share
	view  *quota.View
	limit *coldLimit
}

// shareOf returns this VM's share of the limit on a target.
func (c *coldness) shareOf(id baobabstep.TargetID, view *quota.View, limit *coldLimit) quota.Share {
	if c.view != view || c.limit != limit {
		c.view, c.limit, c.share = view, limit, view.ShareOf(uint64(id), limit.Limit)
	}
	return c.share
}

// restartSettle is how long a target that is back gets no further flow: the VMs
// learn at different moments that it is, and each may have sent it one to find out.
const restartSettle = time.Second

// presumeCold takes a target to be cold that took no flows and is heard of again.
//
// It may have started anew, and its registration says so only seconds later. All
// VMs would go for the target that seems idle: it got twice what it bears.
func (r *Router) presumeCold(now time.Time, t *target) {
	if limit := r.current.Load().coldLimits[t.registration.Service]; limit != nil {
		t.load.presumeCold(now.Add(restartSettle), now.Add(limit.lasts))
	}
}

func (l *load) presumeCold(closedUntil, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cold.closedUntil, l.cold.presumedUntil = closedUntil, until
}

// takesCold tells whether a target may get one more new flow from this VM, as far as
// the limit on cold targets goes.
//
// Only the VMs beside a target divide its limit: the fewer they are, the sooner
// each knows the others. Those of other data centres send a cold target nothing.
func (r *Router) takesCold(now time.Time, t *target, limit *coldLimit) bool {
	if !t.isCold(now) {
		return true
	}
	view := r.view.Load()
	if view == nil || t.registration.DataCentre != r.o.DataCentre {
		return false
	}
	t.load.mu.Lock()
	defer t.load.mu.Unlock()
	c := &t.load.cold
	return !now.Before(c.closedUntil) && c.meter.Allows(now, c.shareOf(t.id, view, limit))
}

// isCold tells whether the target is cold, by its own word or because it is taken to
// be.
func (t *target) isCold(now time.Time) bool {
	if now.Before(t.coldUntil) {
		return true
	}
	t.load.mu.Lock()
	defer t.load.mu.Unlock()
	return now.Before(t.load.cold.presumedUntil)
}

const (
	// urgentSoon is how soon after an urgent flow another one is expected.
	urgentSoon = 200 * time.Millisecond
	// ordinaryFloor: of so many ordinary flows one does not wait for urgent ones.
	ordinaryFloor = 8
)

// leavesLast tells whether a flow leaves the only target that takes one more to
// urgent flows, as ordinary ones do. Where all targets of a service are cold, each
// takes its next flow at a moment, and ordinary flows, which come more often, would
// take nearly all.
func (r *Router) leavesLast(now time.Time, route *rule, list []candidate) bool {
	if !route.ordinary || len(list) != 1 || !list[0].target.isCold(now) {
		return false
	}
	return list[0].target.service.expectsUrgent(now) && r.draw()%ordinaryFloor != 0
}

// noteFlow notes that a new flow of a rule came; ordinary ones say nothing.
func (s *service) noteFlow(now time.Time, route *rule) {
	if route.ordinary {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.urgentAt = now
}

func (s *service) expectsUrgent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.urgentAt) < urgentSoon
}

// useCold notes a first segment that goes to a target.
func (r *Router) useCold(now time.Time, s *snapshot, t *target) {
	limit := s.coldLimits[t.registration.Service]
	if limit == nil {
		return
	}
	t.load.mu.Lock()
	defer t.load.mu.Unlock()
	t.load.cold.meter.Record(now, t.load.cold.share)
}

// SetView tells which VMs of the data centre divide what its cold targets bear.
func (r *Router) SetView(view *quota.View) { r.view.Store(view) }

// LimitsCold tells whether any service limits what its cold targets get.
func (r *Router) LimitsCold() bool { return len(r.current.Load().coldLimits) > 0 }
