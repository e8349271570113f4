package request

import (
	"container/heap"
	"time"

	"baobabstep"
)

// state is the stage that a request has reached.
type state uint8

const (
	// stateQueued waits for a slot, or for the claim that it needs first.
	stateQueued state = iota
	// stateRunning was sent to a target.
	stateRunning
	// stateBackoff waits for its next attempt.
	stateBackoff
	// stateRefusing waits for the claim that a "not run" refusal requires.
	stateRefusing
	// stateDone has sent its result to the caller.
	stateDone
	// stateMoved is owned by another VM.
	stateMoved
	// stateStored was claimed by another VM, and this VM is a witness.
	stateStored
)

var stateNames = [...]string{"queued", "running", "backoff", "refusing", "done", "moved", "stored"}

func (s state) String() string { return stateNames[s] }

func (s state) open() bool { return s <= stateRefusing }

// entry is the ledger's record of one request.
type entry struct {
	group *group
	key   baobabstep.FlowKey
	hash  baobabstep.KeyHash
	state state
	class baobabstep.Class

	idempotent bool
	// needsClaim is set if the claim must be owned before the first attempt.
	needsClaim bool
	arrived    time.Time
	deadline   time.Time
	payload    []byte

	// attempt counts the attempts. target and sentAt belong to the last one.
	attempt uint16
	target  baobabstep.TargetID
	sentAt  time.Time
	// holdsSlot is set while the attempt has a slot of target. outcomeReported is
	// set once the outcome of the last attempt was reported for target.
	holdsSlot, outcomeReported bool
	// maybeRan is set once an attempt ended in a way that doesn't rule out that
	// it ran.
	maybeRan bool
	// cancelled is set once the caller has cancelled a running attempt.
	cancelled bool
	// waiting is set while the entry is in a queue.
	waiting bool

	claim          claim
	pendingRefusal result
	result         result
	partial        partialAnswer
	// owner is the VM that owns the request in stateMoved and stateStored.
	owner      baobabstep.VMID
	ownerToken uint32
	// adopted is set once the owner has left and this VM answers for it.
	adopted bool

	// due is the time of the entry's timer, timerIndex its index in the heap.
	due        time.Time
	timerIndex int
}

// result is the result sent to the caller.
type result struct {
	code       baobabstep.Code
	retryAfter time.Duration
	// answer is kept for retransmissions within MaxPendingBytes.
	answer    [][]byte
	keptBytes int
}

// addEntry adds a new entry to the ledger. It returns nil if the shard is full.
func (g *group) addEntry(now time.Time, p *baobabstep.Packet, st state) *entry {
	if g.shard.numEntries >= g.engine.opts.MaxShardEntries {
		g.engine.stats.ledgerFull.Add(1)
		return nil
	}
	g.shard.numEntries++
	en := &entry{group: g, key: p.Flow, hash: g.engine.hash(p.Flow), state: st, arrived: now, timerIndex: -1}
	g.ledger[p.Flow] = en
	if st.open() {
		g.numOpen++
	}
	return en
}

// setState changes the state of an entry and updates the count of open requests.
func (en *entry) setState(st state) {
	if en.state.open() && !st.open() {
		en.group.numOpen--
	}
	if !en.state.open() && st.open() {
		en.group.numOpen++
	}
	en.state = st
	if st != stateQueued {
		en.group.removeFromQueue(en)
	}
}

// remove deletes the entry from the ledger.
func (en *entry) remove() {
	if en.timerIndex >= 0 {
		heap.Remove(&en.group.shard.timers, en.timerIndex)
	}
	en.setState(stateDone)
	en.dropAnswer()
	en.dropParts()
	en.group.shard.numEntries--
	delete(en.group.ledger, en.key)
}

// scheduleTombstone keeps the entry for retransmissions for DuplicateWindow, after
// which a tombstone replaces it.
func (en *entry) scheduleTombstone(now time.Time) {
	en.payload = nil
	en.setTimer(now.Add(en.group.engine.opts.DuplicateWindow))
}

// finish ends a request, sends its result to the caller and keeps the result.
func (en *entry) finish(now time.Time, r result, out *baobabstep.Outbox) {
	en.concludeAttempt(now, baobabstep.CodeCancelled)
	en.dropParts()
	en.group.engine.stats.countResult(r.code)
	en.result = r
	en.setState(stateDone)
	if !en.cancelled {
		en.sendResult(out)
	}
	en.sendForget(out)
	if r.code != baobabstep.CodeOK {
		// A tombstone gives the same answer as the entry, and a flood of refused
		// requests must not fill the ledger.
		en.replaceByTombstone(now)
		return
	}
	en.scheduleTombstone(now)
}

// sendResult sends the result to the caller.
func (en *entry) sendResult(out *baobabstep.Outbox) {
	if en.result.code != baobabstep.CodeOK {
		out.ToCaller(&baobabstep.Packet{
			Kind:       baobabstep.KindRefusal,
			Flow:       en.key,
			Service:    en.group.id.service,
			Attempt:    en.attempt,
			Code:       en.result.code,
			RetryAfter: en.result.retryAfter,
		})
		return
	}
	n := len(en.result.answer)
	for i, part := range en.result.answer {
		out.ToCaller(&baobabstep.Packet{
			Kind:    baobabstep.KindAnswer,
			Flow:    en.key,
			Service: en.group.id.service,
			Target:  en.target,
			Attempt: en.attempt,
			Part:    uint16(i),
			Parts:   uint16(n),
			Payload: part,
		})
	}
}

// concludeAttempt releases the slot of the last attempt and reports the attempt's
// outcome once.
func (en *entry) concludeAttempt(now time.Time, code baobabstep.Code) {
	if en.attempt == 0 || en.outcomeReported {
		return
	}
	en.outcomeReported = true
	en.group.updateLossRate(code)
	targets, elapsed := en.group.engine.opts.Targets, now.Sub(en.sentAt)
	if !en.holdsSlot {
		targets.Outcome(now, en.target, code, elapsed)
		return
	}
	en.holdsSlot = false
	targets.SlotDone(now, en.target, code, elapsed)
}

// updateLossRate updates the smoothed share of attempts that ended without a
// reply.
func (g *group) updateLossRate(code baobabstep.Code) {
	const weight = 0.01
	g.lossRate -= weight * g.lossRate
	if code == baobabstep.CodeOutcomeUnknown {
		g.lossRate += weight
	}
}

// releaseSlotEarly releases the slot while the attempt may still be answered.
func (en *entry) releaseSlotEarly(now time.Time) {
	if !en.holdsSlot {
		return
	}
	en.holdsSlot = false
	en.group.engine.opts.Targets.SlotDone(now, en.target, baobabstep.CodeCancelled, 0)
}

// handleKnown handles a packet of a request that has an entry here.
func (g *group) handleKnown(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	if en.state == stateMoved || en.state == stateStored {
		g.handleForeign(now, en, p, out)
		return
	}
	switch p.Kind {
	case baobabstep.KindRequest:
		g.handleCopy(now, en, p, out)
	case baobabstep.KindAnswer:
		g.handleAnswer(now, en, p, out)
	case baobabstep.KindRefusal:
		g.handleTargetRefusal(now, en, p, out)
	case baobabstep.KindCancel:
		g.cancel(now, en, out)
	default:
	}
}

// handleCopy handles a further copy of a known request.
func (g *group) handleCopy(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	g.engine.stats.copies.Add(1)
	if en.state != stateDone {
		return
	}
	if en.result.code != baobabstep.CodeOK || len(en.result.answer) > 0 {
		// A first transmission with Seq 0 is a duplicate made by the network, and
		// the caller already has the result. A retransmission means that the
		// result was lost.
		if p.Seq > 0 {
			en.sendResult(out)
		}
		return
	}
	if p.Seq == 0 {
		return
	}
	if !en.idempotent || g.checkAdmission(now, en, p) != baobabstep.CodeOK {
		g.sendUnknown(now, p, out)
		return
	}
	en.maybeRan = true
	en.payload = append([]byte(nil), p.Payload...)
	en.deadline = now.Add(g.timeout(p))
	en.setState(stateQueued)
	g.enqueue(now, en, out)
}

// timers is a heap of entries by due time.
type timers []*entry

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].due.Before(t[j].due) }

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].timerIndex = i
	t[j].timerIndex = j
}

func (t *timers) Push(x any) {
	en := x.(*entry)
	en.timerIndex = len(*t)
	*t = append(*t, en)
}

func (t *timers) Pop() any {
	old := *t
	en := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	en.timerIndex = -1
	return en
}

// popDue removes and returns an entry whose timer is due, or returns nil.
func (t *timers) popDue(now time.Time) *entry {
	if len(*t) == 0 || (*t)[0].due.After(now) {
		return nil
	}
	return heap.Pop(t).(*entry)
}

// setTimer sets the entry's only timer.
func (en *entry) setTimer(due time.Time) {
	en.due = due
	t := &en.group.shard.timers
	if en.timerIndex >= 0 {
		heap.Fix(t, en.timerIndex)
		return
	}
	heap.Push(t, en)
}

// handleTimer handles the timer of an entry.
func (g *group) handleTimer(now time.Time, en *entry, out *baobabstep.Outbox) {
	switch en.state {
	case stateQueued, stateRefusing:
		g.expireWaiting(now, en, out)
	case stateRunning:
		g.expireRunning(now, en, out)
	case stateBackoff:
		en.setState(stateQueued)
		g.enqueueRetry(now, en, out)
	case stateStored:
		g.expireStored(now, en, out)
	case stateDone, stateMoved:
		en.replaceByTombstone(now)
	}
}
