package bulk

import (
	"net/netip"
	"slices"
	"time"

	"baobabstep"
)

// held is a first segment that waits.
type held struct {
	segment         baobabstep.Segment
	since, deadline time.Time
	// copies is the number of the latest copy of the segment, and copiedAt when it arrived.
	copies   uint32
	copiedAt time.Time
}

// nextCopyAt returns when the caller's next copy is expected, or the zero time if none is.
func (h *held) nextCopyAt() time.Time {
	next := int(min(h.copies, uint32(len(retransmittedAfter)))) + 1
	if next >= len(retransmittedAfter) {
		return time.Time{}
	}
	return h.copiedAt.Add(retransmittedAfter[next] - retransmittedAfter[next-1])
}

// isCurrent reports whether no other VM can have got a later copy. Only then may the
// segment go on or its caller be reset: the other VM may have opened the flow.
func (h *held) isCurrent(now time.Time) bool {
	next := h.nextCopyAt()
	return next.IsZero() || now.Before(next.Add(-copyTolerance))
}

// end returns when the segment is no longer held, and the cause.
func (h *held) end() (time.Time, Decision) {
	if next := h.nextCopyAt(); !next.IsZero() && next.Add(copyTolerance).Before(h.deadline) {
		return next.Add(copyTolerance), Overdue
	}
	return h.deadline, Expired
}

// repeat records a copy of the segment, which arrived late if it has an earlier deadline.
func (h *held) repeat(now time.Time, copies uint32, deadline time.Time) {
	if copies <= h.copies {
		return
	}
	h.copies, h.copiedAt = copies, now
	if deadline.Before(h.deadline) {
		h.deadline = deadline
	}
}

// callerQueue holds the first segments of one caller in the order of their arrival.
type callerQueue struct {
	caller netip.Addr
	held   []*held
}

// queue holds first segments. Callers take turns.
type queue struct {
	flows   map[baobabstep.FlowKey]*held
	callers map[netip.Addr]*callerQueue
	// turns are the callers in the order of their turns.
	turns []*callerQueue
	// count and bytes are the number of waiting segments and their size.
	count, bytes int
	// displaced were removed to make room, and have to be refused.
	displaced []*held
	// nextEnd is not after the earliest end of a waiting segment.
	nextEnd time.Time
}

func newQueue() *queue {
	return &queue{flows: make(map[baobabstep.FlowKey]*held), callers: make(map[netip.Addr]*callerQueue)}
}

func (q *queue) find(key baobabstep.FlowKey) *held { return q.flows[key] }

// add appends a copy of a segment to the queue of its caller.
func (q *queue) add(now time.Time, p *baobabstep.Segment, deadline time.Time) {
	h := &held{segment: *p, since: now, deadline: deadline, copies: p.Acked, copiedAt: now}
	h.segment.Raw = slices.Clone(p.Raw)
	q.flows[p.Flow] = h
	caller := p.Flow.Caller.Addr()
	c := q.callers[caller]
	if c == nil {
		c = &callerQueue{caller: caller}
		q.callers[caller] = c
		q.turns = append(q.turns, c)
	}
	c.held = append(c.held, h)
	q.count++
	q.bytes += len(h.segment.Raw)
	q.noteEnd(h)
}

func (q *queue) noteEnd(h *held) {
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
		q.turns = slices.DeleteFunc(q.turns, func(other *callerQueue) bool { return other == c })
	}
	delete(q.flows, key)
	q.count--
	q.bytes -= len(h.segment.Raw)
}

// next removes and returns the first current segment of the caller whose turn it is, or nil
// if there is none. Callers without one keep their turns.
func (q *queue) next(now time.Time) *held {
	for i, c := range q.turns {
		j := slices.IndexFunc(c.held, func(h *held) bool { return h.isCurrent(now) })
		if j < 0 {
			continue
		}
		q.turns = append(slices.Delete(q.turns, i, i+1), c)
		h := c.held[j]
		q.remove(h)
		return h
	}
	return nil
}

// clear removes and returns all segments, in the order of the callers' turns.
func (q *queue) clear() (all []*held) {
	for _, c := range q.turns {
		all = append(all, c.held...)
	}
	for _, h := range all {
		q.remove(h)
	}
	return all
}

// ahead returns how many waiting segments go on before a new one of the caller.
func (q *queue) ahead(caller netip.Addr) int {
	own := q.heldBy(caller)
	n := own
	for _, c := range q.turns {
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

// longest returns the caller with the most waiting segments, or nil if nothing waits.
func (q *queue) longest() (longest *callerQueue) {
	for _, c := range q.turns {
		if longest == nil || len(c.held) > len(longest.held) {
			longest = c
		}
	}
	return longest
}

// expire removes and returns the segments that are no longer held, in the order of the
// callers' turns.
func (q *queue) expire(now time.Time) (expired []*held) {
	if q.count == 0 || now.Before(q.nextEnd) {
		return nil
	}
	q.nextEnd = time.Time{}
	for _, c := range q.turns {
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
