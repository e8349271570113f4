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
	// nextDeadline is not after the earliest deadline.
	nextDeadline time.Time
}

func newQueue() *queue {
	return &queue{flows: make(map[baobabstep.FlowKey]*held), callers: make(map[netip.Addr]*callerQueue)}
}

func (q *queue) find(key baobabstep.FlowKey) *held { return q.flows[key] }

// add appends a copy of a segment to the queue of its caller.
func (q *queue) add(now time.Time, p *baobabstep.Segment, deadline time.Time) {
	h := &held{segment: *p, since: now, deadline: deadline}
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
	if q.count == 1 || deadline.Before(q.nextDeadline) {
		q.nextDeadline = deadline
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

// next removes and returns the first segment of the caller whose turn it is, or nil if
// nothing waits.
func (q *queue) next() *held {
	if len(q.turns) == 0 {
		return nil
	}
	c := q.turns[0]
	q.turns = append(q.turns[1:], c)
	h := c.held[0]
	q.remove(h)
	return h
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

// expire removes and returns the segments whose deadlines have passed, in the order of the
// callers' turns.
func (q *queue) expire(now time.Time) (expired []*held) {
	if q.count == 0 || now.Before(q.nextDeadline) {
		return nil
	}
	q.nextDeadline = time.Time{}
	for _, c := range q.turns {
		for _, h := range c.held {
			switch {
			case !now.Before(h.deadline):
				expired = append(expired, h)
			case q.nextDeadline.IsZero() || h.deadline.Before(q.nextDeadline):
				q.nextDeadline = h.deadline
			}
		}
	}
	for _, h := range expired {
		q.remove(h)
	}
	return expired
}
