package bulk

import (
	"net/netip"
	"slices"
	"time"

	"baobabstep"
)

// held is a queued first segment.
type held struct {
	segment         baobabstep.Segment
	since, deadline time.Time
	// retransmissions is the retransmission count of the latest copy of the segment, and
	// receivedAt when that copy arrived.
	retransmissions uint32
	receivedAt      time.Time
}

// nextRetransmissionAt returns when the caller's next retransmission is expected, or the zero
// time if none is.
func (h *held) nextRetransmissionAt() time.Time {
	next := int(min(h.retransmissions, uint32(len(retransmissionOffsets)))) + 1
	if next >= len(retransmissionOffsets) {
		return time.Time{}
	}
	return h.receivedAt.Add(retransmissionOffsets[next] - retransmissionOffsets[next-1])
}

// isLatestCopy reports whether no other VM can have received a later copy of the segment. If one
// can, it may have opened the flow, and the segment must neither be forwarded nor refused.
func (h *held) isLatestCopy(now time.Time) bool {
	next := h.nextRetransmissionAt()
	return next.IsZero() || now.Before(next.Add(-retransmissionTolerance))
}

// end returns when the segment leaves the queue at the latest, and the cause.
func (h *held) end() (time.Time, Decision) {
	if next := h.nextRetransmissionAt(); !next.IsZero() && next.Add(retransmissionTolerance).Before(h.deadline) {
		return next.Add(retransmissionTolerance), Overdue
	}
	return h.deadline, Expired
}

// recordRetransmission records a copy of the segment. A copy with an earlier deadline was
// delayed, and its deadline applies.
func (h *held) recordRetransmission(now time.Time, retransmissions uint32, deadline time.Time) {
	if retransmissions <= h.retransmissions {
		return
	}
	h.retransmissions, h.receivedAt = retransmissions, now
	if deadline.Before(h.deadline) {
		h.deadline = deadline
	}
}

// callerQueue holds the first segments of one caller in the order of their arrival.
type callerQueue struct {
	caller netip.Addr
	held   []*held
}

// queue holds first segments. It is served round-robin by caller.
type queue struct {
	flows   map[baobabstep.FlowKey]*held
	callers map[netip.Addr]*callerQueue
	// rotation is the order in which callers are served next.
	rotation []*callerQueue
	// count and bytes are the number and the total size of the held segments.
	count, bytes int
	// displaced are the segments that were removed to make room and are yet to be refused.
	displaced []*held
	// nextEnd is a lower bound of the earliest end of a held segment.
	nextEnd time.Time
}

func newQueue() *queue {
	return &queue{flows: make(map[baobabstep.FlowKey]*held), callers: make(map[netip.Addr]*callerQueue)}
}

func (q *queue) find(key baobabstep.FlowKey) *held { return q.flows[key] }

// add appends a copy of a segment to the queue of its caller.
func (q *queue) add(now time.Time, p *baobabstep.Segment, deadline time.Time) {
	h := &held{segment: *p, since: now, deadline: deadline, retransmissions: p.Acked, receivedAt: now}
	h.segment.Raw = slices.Clone(p.Raw)
	q.flows[p.Flow] = h
	caller := p.Flow.Caller.Addr()
	c := q.callers[caller]
	if c == nil {
		c = &callerQueue{caller: caller}
		q.callers[caller] = c
		q.rotation = append(q.rotation, c)
	}
	c.held = append(c.held, h)
	q.count++
	q.bytes += len(h.segment.Raw)
	q.updateNextEnd(h)
}

func (q *queue) updateNextEnd(h *held) {
	if end, _ := h.end(); q.count == 1 || end.Before(q.nextEnd) {
		q.nextEnd = end
	}
}

func (q *queue) remove(h *held) {
	key := h.segment.Flow
	c := q.callers[key.Caller.Addr()]
	c.held = slices.DeleteFunc(c.held, func(other *held) bool { return other == h })
	if len(c.held) == 0 {
		delete(q.callers, c.caller)
		q.rotation = slices.DeleteFunc(q.rotation, func(other *callerQueue) bool { return other == c })
	}
	delete(q.flows, key)
	q.count--
	q.bytes -= len(h.segment.Raw)
}

// next removes and returns the first eligible segment in the order of rotation, or nil if
// there is none. A segment is eligible if isLatestCopy reports so. Callers without an eligible
// segment keep their position.
func (q *queue) next(now time.Time) *held {
	for i, c := range q.rotation {
		j := slices.IndexFunc(c.held, func(h *held) bool { return h.isLatestCopy(now) })
		if j < 0 {
			continue
		}
		q.rotation = append(slices.Delete(q.rotation, i, i+1), c)
		h := c.held[j]
		q.remove(h)
		return h
	}
	return nil
}

// clear removes and returns all segments, in the order of rotation.
func (q *queue) clear() (all []*held) {
	for _, c := range q.rotation {
		all = append(all, c.held...)
	}
	for _, h := range all {
		q.remove(h)
	}
	return all
}

// ahead returns the number of held segments that are served before a new one of the caller.
func (q *queue) ahead(caller netip.Addr) int {
	own := q.heldBy(caller)
	n := own
	for _, c := range q.rotation {
		if c.caller != caller {
			n += min(len(c.held), own+1)
		}
	}
	return n
}

func (q *queue) heldBy(caller netip.Addr) int {
	if c := q.callers[caller]; c != nil {
		return len(c.held)
	}
	return 0
}

// longest returns the caller queue with the most segments, or nil if the queue is empty.
func (q *queue) longest() (longest *callerQueue) {
	for _, c := range q.rotation {
		if longest == nil || len(c.held) > len(longest.held) {
			longest = c
		}
	}
	return longest
}

// expire removes and returns the segments whose end has passed, in the order of rotation.
func (q *queue) expire(now time.Time) (expired []*held) {
	if q.count == 0 || now.Before(q.nextEnd) {
		return nil
	}
	q.nextEnd = time.Time{}
	for _, c := range q.rotation {
		for _, h := range c.held {
			switch end, _ := h.end(); {
			case !now.Before(end):
				expired = append(expired, h)
			case q.nextEnd.IsZero() || end.Before(q.nextEnd):
				q.nextEnd = end
			}
		}
	}
	for _, h := range expired {
		q.remove(h)
	}
	return expired
}
