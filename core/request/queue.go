package request

import "net/netip"

// queue holds waiting requests of one class in order of arrival. Entries that
// stopped waiting stay in the slice until they reach its front.
type queue struct {
	entries []*entry
	// n counts the entries that still wait; byCaller by caller address.
	n        int
	byCaller map[netip.Addr]int
}

// fairMin is the number of waiting requests that each caller may have however
// many callers there are.
const fairMin = 4

// fair tells whether a caller may add one more: past half of the limit each
// caller is held to its even share of the queue.
func (q *queue) fair(caller netip.Addr, limit int) bool {
	if 2*q.n < limit {
		return true
	}
	share := limit / max(1, len(q.byCaller))
	return q.byCaller[caller] < max(fairMin, share)
}

func (q *queue) push(en *entry) {
	if q.byCaller == nil {
		q.byCaller = make(map[netip.Addr]int)
	}
	q.entries = append(q.entries, en)
	q.byCaller[en.key.Caller.Addr()]++
	q.n++
}

// left takes back the count of an entry that no longer waits.
func (q *queue) left(en *entry) {
	q.n--
	caller := en.key.Caller.Addr()
	q.byCaller[caller]--
	if q.byCaller[caller] <= 0 {
		delete(q.byCaller, caller)
	}
}

// lookAhead bounds how many requests that await their claim are passed over.
const lookAhead = 32

// ready returns the first waiting entry that may be handed over.
func (q *queue) ready(takingOver bool) *entry {
	for len(q.entries) > 0 && !q.entries[0].waiting {
		q.entries[0] = nil
		q.entries = q.entries[1:]
	}
	for _, en := range q.entries[:min(lookAhead, len(q.entries))] {
		if takingOver && !en.idempotent {
			continue
		}
		if en.waiting && (!en.needsClaim || en.claim.owned) {
			return en
		}
	}
	return nil
}

// enqueue queues an entry and hands over what can be.
func (g *group) enqueueEntry(en *entry) {
	en.waiting = true
	g.queues[en.class&1].push(en)
}

// leaveQueue takes an entry out of its queue.
func (g *group) leaveQueue(en *entry) {
	if !en.waiting {
		return
	}
	en.waiting = false
	g.queues[en.class&1].left(en)
}
