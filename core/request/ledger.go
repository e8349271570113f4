package request

import (
	"container/heap"
	"time"

	"baobabstep"
)

// state is where a request is on its way.
type state uint8

const (
	// stateQueued awaits a slot, or the claim that it needs before one.
	stateQueued state = iota
	// stateRunning was handed to a target.
	stateRunning
	// stateBackoff awaits its next attempt.
	stateBackoff
	// stateRefusing awaits the claim without which "not run" may not be said.
	stateRefusing
	// stateDone has told its caller the result.
	stateDone
	// stateMoved belongs to another VM.
	stateMoved
	// stateStored was claimed by another VM; this VM is a witness.
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
	// needsClaim is set if the claim has to be owned before a hand-over.
	needsClaim bool
	arrived    time.Time
	deadline   time.Time
	payload    []byte

	// attempt numbers the hand-overs; target, sentAt belong to the last.
	attempt uint16
	target  baobabstep.TargetID
	sentAt  time.Time
	// slot is set while a slot of target is taken, judged once the last
	// attempt was counted as evidence about target.
	slot, judged bool
	// maybeRan is set once an attempt ended in a way that does not prove
	// that it was not run.
	maybeRan bool
	// cancelled is set once the caller left while an attempt was running.
	cancelled bool
	// waiting is set while the entry is in a queue.
	waiting bool

	claim   claim
	verdict result
	result  result
	parts   parts
	// owner is the VM that the request belongs to, in moved and stored.
	owner baobabstep.VMID
	token uint32
	// adopted is set once the owner is gone and this VM answers for it.
	adopted bool

	// due is the time of the entry's timer, at index timer of the heap.
	due   time.Time
	timer int
}

// result is what the caller is told.
type result struct {
	code       baobabstep.Code
	retryAfter time.Duration
	// answer is kept for retransmissions while there is room.
	answer [][]byte
	kept   int
}

// add puts a new entry into the ledger, or returns nil when it is full.
func (g *group) add(now time.Time, p *baobabstep.Packet, st state) *entry {
	if g.shard.entries >= g.engine.opts.MaxEntries {
		g.engine.stats.ledgerFull.Add(1)
		return nil
	}
	g.shard.entries++
	en := &entry{group: g, key: p.Flow, hash: g.engine.hash(p.Flow), state: st, arrived: now, timer: -1}
	g.ledger[p.Flow] = en
	if st.open() {
		g.open++
	}
	return en
}

// setState moves an entry and keeps the count of open requests.
func (en *entry) setState(st state) {
	if en.state.open() && !st.open() {
		en.group.open--
	}
	if !en.state.open() && st.open() {
		en.group.open++
	}
	en.state = st
	if st != stateQueued {
		en.group.leaveQueue(en)
	}
}

// remove takes the entry out of the ledger.
func (en *entry) remove() {
	if en.timer >= 0 {
		heap.Remove(&en.group.shard.timers, en.timer)
	}
	en.setState(stateDone)
	en.dropAnswer()
	en.dropParts()
	en.group.shard.entries--
	delete(en.group.ledger, en.key)
}

// remember keeps the entry for retransmissions until it is left as a tombstone.
func (en *entry) remember(now time.Time) {
	en.payload = nil
	en.setTimer(now.Add(en.group.engine.opts.Settle))
}

// finish tells the caller the result and keeps it.
func (en *entry) finish(now time.Time, r result, out *baobabstep.Outbox) {
	en.releaseSlot(now, baobabstep.CodeCancelled)
	en.dropParts()
	en.group.engine.stats.finished(r.code)
	en.result = r
	en.setState(stateDone)
	if !en.cancelled {
		en.tell(out)
	}
	en.forgetClaim(out)
	if r.code != baobabstep.CodeOK {
		// A tombstone says the same as the entry, and a flood of refused
		// requests must not fill the ledger.
		en.leaveTombstone(now)
		return
	}
	en.remember(now)
}

// tell sends the result to the caller.
func (en *entry) tell(out *baobabstep.Outbox) {
	if en.result.code != baobabstep.CodeOK {
		out.Caller(&baobabstep.Packet{
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
		out.Caller(&baobabstep.Packet{
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

// releaseSlot gives the slot of the last attempt back, and says once what
// became of the attempt.
func (en *entry) releaseSlot(now time.Time, code baobabstep.Code) {
	if en.attempt == 0 || en.judged {
		return
	}
	en.judged = true
	en.group.noteLoss(code)
	targets, took := en.group.engine.opts.Targets, now.Sub(en.sentAt)
	if !en.slot {
		targets.Outcome(now, en.target, code, took)
		return
	}
	en.slot = false
	targets.SlotDone(now, en.target, code, took)
}

// noteLoss keeps the smoothed share of attempts that ended in silence.
func (g *group) noteLoss(code baobabstep.Code) {
	const weight = 0.01
	g.lost -= weight * g.lost
	if code == baobabstep.CodeOutcomeUnknown {
		g.lost += weight
	}
}

// yieldSlot gives the slot back while the attempt may still be answered.
func (en *entry) yieldSlot(now time.Time) {
	if !en.slot {
		return
	}
	en.slot = false
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
		g.again(now, en, p, out)
	case baobabstep.KindAnswer:
		g.answered(now, en, p, out)
	case baobabstep.KindRefusal:
		g.refusedByTarget(now, en, p, out)
	case baobabstep.KindCancel:
		g.cancel(now, en, out)
	default:
	}
}

// again handles a further copy of a known request.
func (g *group) again(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	g.engine.stats.copies.Add(1)
	if en.state != stateDone {
		return
	}
	if en.result.code != baobabstep.CodeOK || len(en.result.answer) > 0 {
		// A first transmission is a copy made on the way; the caller
		// was told. A repeated one says that the result was lost.
		if p.Seq > 0 {
			en.tell(out)
		}
		return
	}
	if p.Seq == 0 {
		return
	}
	if !en.idempotent || g.admissible(now, en, p) != baobabstep.CodeOK {
		g.tellUnknown(now, p, out)
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
	t[i].timer = i
	t[j].timer = j
}

func (t *timers) Push(x any) {
	en := x.(*entry)
	en.timer = len(*t)
	*t = append(*t, en)
}

func (t *timers) Pop() any {
	old := *t
	en := old[len(old)-1]
	old[len(old)-1] = nil
	*t = old[:len(old)-1]
	en.timer = -1
	return en
}

// pop returns an entry whose time has come, or nil.
func (t *timers) pop(now time.Time) *entry {
	if len(*t) == 0 || (*t)[0].due.After(now) {
		return nil
	}
	return heap.Pop(t).(*entry)
}

// setTimer sets the entry's only timer.
func (en *entry) setTimer(due time.Time) {
	en.due = due
	t := &en.group.shard.timers
	if en.timer >= 0 {
		heap.Fix(t, en.timer)
		return
	}
	heap.Push(t, en)
}

// expire does what is due for an entry.
func (g *group) expire(now time.Time, en *entry, out *baobabstep.Outbox) {
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
		en.leaveTombstone(now)
	}
}
