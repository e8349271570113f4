package token

import (
	"maps"
	"slices"
	"sync"
	"time"

	"baobabstep"
)

const (
	// inquiryTimeout is how long the copy of a first segment waits for another VM to tell where the
	// flow was placed.
	inquiryTimeout = 30 * time.Millisecond
	// inquiryRetention is how long the outcome of an inquiry is kept: until a caller has sent its
	// last copy.
	inquiryRetention = time.Second
	// maxInquiries limits the flows that are asked for at the same time.
	maxInquiries = 256
)

// inquiries are the flows of which this VM got a copy of the first segment and not the first
// segment itself: the fabric sends them to another VM since. If their targets have accepted them
// and only the answers were lost, a second target would answer the copies, and the caller would
// alternate between the tokens of both. So the VMs of the data centre are asked first. A VM that has
// ended tells nothing.
type inquiries struct {
	mu    sync.Mutex
	flows map[baobabstep.FlowKey]*inquiry
	// unsent are the flows for which no question was sent yet.
	unsent []baobabstep.Opening
	// pending holds a value while there may be inquiries to send or to end.
	pending chan struct{}
}

type inquiry struct {
	segment baobabstep.Segment
	askedAt time.Time
	// settled is set once the segment may be placed, home is the target to place it at, 0 if none
	// is known.
	settled bool
	home    baobabstep.TargetID
}

func newInquiries() *inquiries {
	return &inquiries{flows: make(map[baobabstep.FlowKey]*inquiry), pending: make(chan struct{}, 1)}
}

// check returns whether the copy p of a first segment has to wait, otherwise the target at which
// another VM placed the flow, 0 if none is known.
func (q *inquiries) check(now time.Time, p *baobabstep.Segment) (home baobabstep.TargetID, wait bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if known := q.flows[p.Flow]; known != nil && known.segment.Seq == p.Seq {
		return known.home, !known.settled
	}
	if len(q.flows) >= maxInquiries {
		q.forgetOld(now)
	}
	if len(q.flows) >= maxInquiries {
		return 0, false
	}
	asked := &inquiry{segment: *p, askedAt: now}
	asked.segment.Raw = slices.Clone(p.Raw)
	q.flows[p.Flow] = asked
	q.unsent = append(q.unsent, baobabstep.Opening{Flow: p.Flow, Seq: p.Seq})
	select {
	case q.pending <- struct{}{}:
	default:
	}
	return 0, true
}

// settle ends an inquiry and returns its segment, or false if it has ended before.
func (q *inquiries) settle(o baobabstep.Opening, home baobabstep.TargetID) (baobabstep.Segment, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	asked := q.flows[o.Flow]
	if asked == nil || asked.segment.Seq != o.Seq || asked.settled {
		return baobabstep.Segment{}, false
	}
	asked.settled, asked.home = true, home
	return asked.segment, true
}

// overdue returns the flows for which no answer came in time, in the order in which they were asked
// for, and forgets those whose callers have given up.
func (q *inquiries) overdue(now time.Time, timeout time.Duration) (list []baobabstep.Opening) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.forgetOld(now)
	var late []*inquiry
	for _, asked := range q.flows {
		if !asked.settled && now.Sub(asked.askedAt) >= timeout {
			late = append(late, asked)
		}
	}
	slices.SortFunc(late, func(a, b *inquiry) int { return a.askedAt.Compare(b.askedAt) })
	for _, asked := range late {
		list = append(list, baobabstep.Opening{Flow: asked.segment.Flow, Seq: asked.segment.Seq})
	}
	return list
}

// forgetOld forgets the flows whose callers have given up. The caller holds q.mu.
func (q *inquiries) forgetOld(now time.Time) {
	maps.DeleteFunc(q.flows, func(_ baobabstep.FlowKey, asked *inquiry) bool {
		return now.Sub(asked.askedAt) >= inquiryRetention
	})
}

// waiting returns the number of segments that wait for an answer.
func (q *inquiries) waiting() (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, asked := range q.flows {
		if !asked.settled {
			n++
		}
	}
	return n
}

// InquiriesPending returns a channel that holds a value while TakeInquiries may have openings, or
// EndInquiries segments to place.
func (r *Router) InquiriesPending() <-chan struct{} { return r.inquiries.pending }

// InquiryCount returns the number of first segments that wait for the answer of another VM.
func (r *Router) InquiryCount() int { return r.inquiries.waiting() }

// TakeInquiries returns the flows to ask the other VMs of the data centre for.
func (r *Router) TakeInquiries() []baobabstep.Opening {
	r.inquiries.mu.Lock()
	defer r.inquiries.mu.Unlock()
	list := r.inquiries.unsent
	r.inquiries.unsent = nil
	return list
}

// PlacedAt returns the target at which this VM placed a flow, and whether it did.
func (r *Router) PlacedAt(o baobabstep.Opening) (id baobabstep.TargetID, ok bool) {
	shard := r.flows.shard(hashFlow(o.Flow))
	shard.mu.Lock()
	defer shard.mu.Unlock()
	f := shard.flows[o.Flow]
	if f == nil || f.seq != o.Seq || f.closed {
		return 0, false
	}
	return f.target.id, true
}

// SettleInquiry places a flow at the target at which another VM placed it.
func (r *Router) SettleInquiry(now time.Time, o baobabstep.Opening, home baobabstep.TargetID, out *[]baobabstep.OutgoingDatagram) {
	if p, ok := r.inquiries.settle(o, home); ok {
		r.Handle(now, &p, out)
	}
}

// EndInquiries places the flows for which no answer came in time; all of them if no question can
// be sent.
func (r *Router) EndInquiries(now time.Time, all bool, out *[]baobabstep.OutgoingDatagram) {
	timeout := inquiryTimeout
	if all {
		timeout = 0
	}
	for _, o := range r.inquiries.overdue(now, timeout) {
		r.SettleInquiry(now, o, 0, out)
	}
}

// asksFor reports whether other VMs are asked where a flow was placed before its first segment is
// placed here.
func (r *Router) asksFor(f *flow, p *baobabstep.Segment) bool {
	return f == nil && p.Acked > 0 && r.vmCount() > 1 && r.enabled(MechanismInquiries)
}

// waitsOrIsHome reports whether the copy of a first segment waits until other VMs have told where the
// flow was placed, or was placed there. The caller holds the lock of the flow's shard.
func (r *Router) waitsOrIsHome(now time.Time, s *snapshot, route *rule, h flowHash, p *baobabstep.Segment, out *[]baobabstep.OutgoingDatagram) bool {
	home, wait := r.inquiries.check(now, p)
	return wait || home != 0 && r.placeAtHome(now, s, route, h, home, p, out)
}

// placeAtHome sends the copy of a first segment to the target at which another VM placed the flow,
// and reports whether that target may still get it. The caller holds the lock of the flow's shard.
func (r *Router) placeAtHome(now time.Time, s *snapshot, route *rule, h flowHash, home baobabstep.TargetID, p *baobabstep.Segment, out *[]baobabstep.OutgoingDatagram) bool {
	t := s.targets[home]
	if t == nil || !t.acceptsNewFlows(now) || !route.leadsTo(t.registration.Service) {
		return false
	}
	r.place(now, s, route, h, t, p, out)
	return true
}
