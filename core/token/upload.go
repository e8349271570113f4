package token

import (
	"time"

	"baobabstep"
	"baobabstep/core/bulk"
)

func newBulkGate(o *Options) *bulk.Gate {
	if o.Link == nil || o.Disabled.Has(MechanismLinkAdmission) {
		return bulk.New(bulk.Options{})
	}
	return bulk.New(bulk.Options{BytesPerSecond: o.Link.BytesPerSecond()})
}

// admitsToLink reports whether a new flow may be forwarded now as far as the VM's own link is
// concerned. Otherwise the first segment was held, dropped as a retransmission of a held one,
// or the caller was reset.
func (r *Router) admitsToLink(now time.Time, s *snapshot, route *rule, p *baobabstep.Segment, out *[]baobabstep.OutgoingDatagram) bool {
	if !r.bulkGate.Active() {
		return true
	}
	if !route.requestSizes.Bulk() {
		r.bulkGate.Withdraw(p.Flow) // held earlier, when the route was bulk
		return true
	}
	switch d := r.bulkGate.Offer(now, p, bulk.Route{MeanSize: route.requestSizes.Mean(), Objective: route.latencyObjective}, r.options.Link.Load(now)); {
	case d == bulk.Admitted:
		return true
	case d == bulk.Held:
		r.recordLinkAdmission(now, EventLinkHeld, s, route, p, bulk.Released{})
	case d.Refused():
		r.recordLinkAdmission(now, EventLinkRefused, s, route, p, bulk.Released{Decision: d})
		appendReset(p, out)
	}
	return false
}

// ReleaseHeld forwards the held first segments for which the VM's own link has room again, and
// refuses or drops those that waited too long.
func (r *Router) ReleaseHeld(now time.Time, out *[]baobabstep.OutgoingDatagram) {
	if r.bulkGate.Waiting() == 0 {
		return
	}
	s := r.current.Load()
	for _, released := range r.bulkGate.Release(now, r.options.Link.Load(now)) {
		r.release(now, s, released, out)
	}
}

func (r *Router) release(now time.Time, s *snapshot, released bulk.Released, out *[]baobabstep.OutgoingDatagram) {
	p := &released.Segment
	h, route := hashFlow(p.Flow), s.rules[p.Flow.Service]
	shard := r.flows.shard(h)
	if route != nil {
		shard.mu.Lock()
		defer shard.mu.Unlock()
	}
	switch {
	case route == nil:
		r.bulkGate.Cancel(p.Flow)
		r.handleUnrouted(now, s, h, p, out)
	case openedWhileHeld(shard.flows[p.Flow], now.Add(-released.Waited), p):
		r.bulkGate.Withdraw(p.Flow)
	case released.Decision.Refused():
		r.recordLinkAdmission(now, EventLinkRefused, s, route, p, released)
		if released.Decision != bulk.Overdue {
			appendReset(p, out)
		}
	default:
		r.recordLinkAdmission(now, EventLinkReleased, s, route, p, released)
		r.bulkGate.Withdraw(p.Flow) // a copy may have been held since the gate released the segment
		r.placeFlow(now, s, route, h, r.lastTried(now, p), p, out)
	}
}

// openedWhileHeld reports whether a flow was opened while its first segment was held since the
// given time: this VM forwarded a copy, or another VM did and later segments arrived here.
func openedWhileHeld(f *flow, since time.Time, p *baobabstep.Segment) bool {
	return f != nil && (f.seq == p.Seq || f.lastPacketAt.After(since))
}

// HeldPending returns a channel that is readable if first segments may be held.
func (r *Router) HeldPending() <-chan struct{} { return r.bulkGate.Pending() }

// HeldCount returns the number of first segments that are held.
func (r *Router) HeldCount() int { return r.bulkGate.Waiting() }

// StopHolding makes the router hold no further first segments. The next ReleaseHeld refuses
// held ones, so that their callers retry through other VMs.
func (r *Router) StopHolding() { r.bulkGate.Stop() }

// dropHeld removes the held first segment of a flow that its caller resets.
func (r *Router) dropHeld(p *baobabstep.Segment) {
	if p.Kind == baobabstep.KindReset && r.bulkGate.Waiting() > 0 {
		r.bulkGate.Cancel(p.Flow)
	}
}

// trackUpload records from a later segment whether a bulk flow is sending. A flow stops sending
// with a segment that is shorter than those before it, which is the last of its request, or
// when the answer begins.
func (r *Router) trackUpload(now time.Time, f *flow, p *baobabstep.Segment) {
	if !r.bulkGate.Active() {
		return
	}
	if p.Size > 0 {
		f.rule.requestSizes.AddUnfinished(f.sentEnd - f.requestStart)
	}
	if !f.rule.requestSizes.Bulk() {
		return
	}
	switch ended := p.Kind == baobabstep.KindReset || p.Kind == baobabstep.KindClose; {
	case ended || p.Size == 0 && p.Acked != f.requestAcked:
		r.bulkGate.Complete(f.key)
	case p.Size == 0 || p.Acked != f.requestAcked || f.closed:
	case p.Size < f.segmentSize && p.Seq+uint32(p.Size) == f.sentEnd:
		f.requestSent = true
		r.bulkGate.Complete(f.key)
	case f.requestSent && p.Seq+uint32(p.Size) != f.sentEnd: // retransmission
	default:
		f.segmentSize, f.requestSent = p.Size, false
		r.bulkGate.Payload(now, f.key)
	}
}

// recordLinkAdmission records the outcome for a first segment for which the VM's own link had
// no room.
func (r *Router) recordLinkAdmission(now time.Time, kind EventKind, s *snapshot, route *rule, p *baobabstep.Segment, released bulk.Released) {
	r.counts.events[kind].Add(1)
	if r.options.Record == nil || !r.options.EventEnabled(now, kind) {
		return
	}
	e := r.newEvent(now, kind, s, route, nil, p)
	e.LinkWaiting, e.LinkWaited = r.bulkGate.Waiting(), released.Waited
	if released.Decision.Refused() {
		e.LinkCause = released.Decision.String()
	}
	r.options.Record(now, e)
}
