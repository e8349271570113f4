package request

import (
	"time"

	"baobabstep"
)

const (
	// maxRetryTokens limits the retry budget that accumulates while there are no
	// retries.
	maxRetryTokens = 10
	baseBackoff    = 4 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
	// minAttemptTimeout is the shortest attempt timeout, after which an attempt
	// counts as lost. The timeout is attemptTimeoutFactor service times
	// otherwise.
	minAttemptTimeout    = 100 * time.Millisecond
	attemptTimeoutFactor = 8
	// lossySlotFactor, in service times, is how long an attempt keeps its slot
	// while other requests wait for one and the loss rate exceeds lossyThreshold.
	// At a lower loss rate it keeps the slot until the attempt itself counts as
	// lost, since the next request in a slot that was released too early is
	// refused by the target.
	lossySlotFactor = 5
	lossyThreshold  = 0.02
)

func (g *group) enqueue(now time.Time, en *entry, out *baobabstep.Outbox) {
	g.refreshCapacity(now)
	g.addToQueue(en)
	en.setTimer(en.waitTimer(now))
	g.dispatch(now, out)
}

func (g *group) enqueueRetry(now time.Time, en *entry, out *baobabstep.Outbox) {
	if !now.Before(en.latestStart()) {
		g.refuseNotRun(now, en, result{code: baobabstep.CodeDeadlineExceeded, retryAfter: g.retryAfter(now)}, out)
		return
	}
	g.enqueue(now, en, out)
}

// dispatch sends waiting requests to targets while there are free slots. A paused
// VM sends nothing: it doesn't know which targets started to leave during the
// pause, or whether another VM now assigns their slots. Waiting requests are
// refused at their deadline, or sent once the VM is no longer paused.
func (g *group) dispatch(now time.Time, out *baobabstep.Outbox) {
	if g.engine.paused.Load() {
		return
	}
	for {
		en := g.nextReady(now)
		if en == nil {
			return
		}
		if !now.Before(en.latestStart()) {
			g.refuseNotRun(now, en, result{code: baobabstep.CodeDeadlineExceeded, retryAfter: g.retryAfter(now)}, out)
			continue
		}
		id, code := g.engine.opts.Targets.PickSlot(now, g.slotQuery(en.target))
		if code == baobabstep.CodeNoCapacity && g.reclaimOldestSlot(now) {
			continue
		}
		if code != baobabstep.CodeOK {
			return
		}
		g.updateOrdinaryCredit(en)
		g.startAttempt(now, en, id, out)
	}
}

// nextReady chooses between the classes: urgent first, but while both wait
// ordinary requests get their guaranteed share of the slots.
func (g *group) nextReady(now time.Time) *entry {
	takingOver := g.takingOver(now)
	urgent := g.queues[0].firstReady(takingOver)
	ordinary := g.queues[1].firstReady(takingOver)
	switch {
	case urgent == nil:
		return ordinary
	case ordinary == nil || g.ordinaryCredit < 1:
		return urgent
	default:
		return ordinary
	}
}

func (g *group) updateOrdinaryCredit(en *entry) {
	if en.class != baobabstep.ClassUrgent {
		g.ordinaryCredit = max(0, g.ordinaryCredit-1)
		return
	}
	if g.queues[1].numWaiting > 0 {
		g.ordinaryCredit += g.service.OrdinaryFloor / max(0.01, 1-g.service.OrdinaryFloor)
	}
}

// startAttempt sends the next attempt of a request to a target.
func (g *group) startAttempt(now time.Time, en *entry, id baobabstep.TargetID, out *baobabstep.Outbox) {
	if !en.idempotent && (en.attempt > 0 || !en.claim.owned) {
		g.engine.reportBroken("I5", "non-idempotent request sent to targets twice or without its claim")
	}
	if en.pendingRefusal.code != baobabstep.CodeOK {
		g.engine.reportBroken("I4", "request sent to a target after its refusal was decided")
	}
	en.attempt++
	en.target = id
	en.sentAt = now
	en.holdsSlot = true
	en.outcomeReported = false
	for len(g.attempts) > 0 && !g.attempts[0].occupiesSlot() {
		g.attempts[0] = runningAttempt{}
		g.attempts = g.attempts[1:]
	}
	g.attempts = append(g.attempts, runningAttempt{en, en.attempt})
	en.setState(stateRunning)
	g.engine.stats.handedOver.Add(1)
	out.ToTarget(&baobabstep.Packet{
		Kind:       baobabstep.KindRequest,
		Flow:       en.key,
		Service:    g.id.service,
		Target:     id,
		Version:    g.engine.config.Load().Version,
		Attempt:    en.attempt,
		Class:      en.class,
		Idempotent: en.idempotent,
		Timeout:    en.deadline.Sub(now),
		Payload:    en.payload,
	})
	en.setTimer(earlier(en.deadline, now.Add(g.attemptTimeout())))
}

// reclaimOldestSlot releases the slot of the oldest attempt if the loss rate is
// high and that attempt has gone unanswered for too long. Its answer is still
// accepted.
func (g *group) reclaimOldestSlot(now time.Time) bool {
	if g.lossRate <= lossyThreshold {
		return false
	}
	keep := lossySlotFactor * g.capacity.serviceTime
	for len(g.attempts) > 0 {
		r := g.attempts[0]
		holds := r.occupiesSlot()
		if holds && now.Sub(r.entry.sentAt) < keep {
			return false
		}
		g.attempts[0] = runningAttempt{}
		g.attempts = g.attempts[1:]
		if holds {
			r.entry.releaseSlotEarly(now)
			return true
		}
	}
	return false
}

func (g *group) attemptTimeout() time.Duration {
	return max(minAttemptTimeout, attemptTimeoutFactor*g.capacity.serviceTime)
}

// expireRunning handles an attempt that exceeded its timeout or deadline.
func (g *group) expireRunning(now time.Time, en *entry, out *baobabstep.Outbox) {
	if en.cancelled {
		g.abandonAttempt(now, en)
		g.finishUnknown(now, en, out)
		return
	}
	if !now.Before(en.deadline) {
		g.cancelAttempt(en, out)
		g.abandonAttempt(now, en)
		g.finishUnknown(now, en, out)
		return
	}
	if !g.mayRetry(en) {
		g.presumeLost(now, en, out)
		return
	}
	g.cancelAttempt(en, out)
	g.abandonAttempt(now, en)
	g.scheduleRetry(now, en)
}

// presumeLost releases the slot of an attempt that is probably lost and cannot be
// retried. Its answer is still accepted until the deadline. If the network loses
// one attempt in ten, and each keeps its slot until the deadline, a hundred
// service times later, lost attempts fill all slots and requests are refused
// while targets are idle. If the target is only slow, it refuses the next attempt
// without running it, so a wrong guess costs one refusal.
func (g *group) presumeLost(now time.Time, en *entry, out *baobabstep.Outbox) {
	en.concludeAttempt(now, baobabstep.CodeOutcomeUnknown)
	en.setTimer(en.deadline)
	g.dispatch(now, out)
}

// abandonAttempt ends an attempt without a reply. It counts against the target
// only if the target had a full attempt timeout to answer.
func (g *group) abandonAttempt(now time.Time, en *entry) {
	en.maybeRan = true
	code := baobabstep.CodeCancelled
	if !en.cancelled && now.Sub(en.sentAt) >= g.attemptTimeout() {
		code = baobabstep.CodeOutcomeUnknown
	}
	en.concludeAttempt(now, code)
}

// mayRetry reports whether the request may be sent to a target once more.
func (g *group) mayRetry(en *entry) bool {
	return en.idempotent && !en.cancelled && int(en.attempt) < g.engine.opts.MaxAttempts && g.retryTokens >= 1
}

// scheduleRetry takes a token from the retry budget and waits for a random time,
// so that requests that failed together don't retry together.
func (g *group) scheduleRetry(now time.Time, en *entry) {
	g.retryTokens--
	g.engine.stats.retries.Add(1)
	limit := min(baseBackoff<<min(en.attempt, 10), maxBackoff)
	en.setState(stateBackoff)
	en.setTimer(earlier(en.deadline, now.Add(time.Duration(g.shard.rand.Int64N(int64(limit))))))
}

// handleTargetRefusal handles a target's reply that it did not run the attempt.
func (g *group) handleTargetRefusal(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	if !p.FromTarget || !en.matchesAttempt(p) {
		g.engine.stats.lateAnswers.Add(1)
		return
	}
	if p.Code == baobabstep.CodeOutcomeUnknown || p.Code == baobabstep.CodeOK {
		en.maybeRan = true
	}
	if en.maybeRan {
		g.abandonAttempt(now, en)
	}
	en.concludeAttempt(now, p.Code)
	switch {
	case en.cancelled && !en.maybeRan:
		g.refuseNotRun(now, en, result{code: baobabstep.CodeCancelled}, out)
	case en.maybeRan && !en.idempotent:
		g.finishUnknown(now, en, out)
	case g.mayRetry(en):
		g.scheduleRetry(now, en)
	default:
		g.refuseNotRun(now, en, result{code: baobabstep.CodeRefusedNotRun, retryAfter: g.retryAfter(now)}, out)
	}
	g.dispatch(now, out)
}

// matchesAttempt reports whether an answer belongs to the running attempt, as
// opposed to a late, duplicate, misrouted or superseded answer.
func (en *entry) matchesAttempt(p *baobabstep.Packet) bool {
	return en.state == stateRunning && p.Attempt == en.attempt && p.Target == en.target
}
