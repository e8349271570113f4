package request

import "net/netip"

// queue holds the waiting requests of one class in order of arrival. Entries that
// no longer wait stay in the slice until they reach its front.
type queue struct {
	entries []*entry
	// numWaiting counts the entries that still wait, perCaller the same by caller
	// address.
	numWaiting int
	perCaller  map[netip.Addr]int
}

// minPerCaller is the number of waiting requests that each caller may have
// regardless of the number of callers.
const minPerCaller = 4

// callerMayAdd reports whether a caller may add one more request. Once the queue
// is half full, each caller is limited to an equal share of it.
func (q *queue) callerMayAdd(caller netip.Addr, limit int) bool {
	if 2*q.numWaiting < limit {
		return true
	}
	share := limit / max(1, len(q.perCaller))
	return q.perCaller[caller] < max(minPerCaller, share)
}

func (q *queue) push(en *entry) {
	if q.perCaller == nil {
		q.perCaller = make(map[netip.Addr]int)
	}
	q.entries = append(q.entries, en)
	q.perCaller[en.key.Caller.Addr()]++
	q.numWaiting++
}

// decrement updates the counts for an entry that no longer waits.
func (q *queue) decrement(en *entry) {
	q.numWaiting--
	caller := en.key.Caller.Addr()
	q.perCaller[caller]--
	if q.perCaller[caller] <= 0 {
		delete(q.perCaller, caller)
	}
}

// maxLookAhead limits how many requests that wait for their claim are skipped.
const maxLookAhead = 32

// firstReady returns the first waiting entry that may be sent to a target.
func (q *queue) firstReady(takingOver bool) *entry {
	for len(q.entries) > 0 && !q.entries[0].waiting {
		q.entries[0] = nil
		q.entries = q.entries[1:]
	}
	for _, en := range q.entries[:min(maxLookAhead, len(q.entries))] {
		if takingOver && !en.idempotent {
			continue
		}
		if en.waiting && (!en.needsClaim || en.claim.owned) {
			return en
		}
	}
	return nil
}

// addToQueue appends an entry to the queue of its class.
func (g *group) addToQueue(en *entry) {
	en.waiting = true
	g.queues[en.class&1].push(en)
}

// removeFromQueue marks an entry as no longer waiting.
func (g *group) removeFromQueue(en *entry) {
	if !en.waiting {
		return
	}
	en.waiting = false
	g.queues[en.class&1].decrement(en)
}
