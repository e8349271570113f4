package request

import (
	"time"

	"baobabstep"
)

const (
	// maxRetryTokens bounds what a quiet time can save up for retries.
	maxRetryTokens = 10
	baseBackoff    = 4 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
	// minAttemptTimeout and attemptTimes bound the time after which an
	// attempt is taken for lost: attemptTimes service times.
	minAttemptTimeout = 100 * time.Millisecond
	attemptTimes      = 8
	// lossySlotTimes service times is how long an attempt keeps its slot
	// when others wait for one and more than lossyShare of the attempts end
	// in silence. Where fewer are lost, it keeps it until it is taken for
	// lost itself: a slot given away too early is a refusal.
	lossySlotTimes = 5
	lossyShare     = 0.02
)

func (g *group) enqueue(now time.Time, en *entry, out *baobabstep.Outbox) {
	g.refreshCapacity(now)
	g.enqueueEntry(en)
	en.setTimer(en.waitTimer(now))
	g.dispatch(now, out)
}

func (g *group) enqueueRetry(now time.Time, en *entry, out *baobabstep.Outbox) {
	if !now.Before(en.giveUpAt()) {
		g.refuseNotRun(now, en, result{code: baobabstep.CodeDeadlineExceeded, retryAfter: g.retryAfter(now)}, out)
		return
	}
	g.enqueue(now, en, out)
}

// dispatch hands over waiting requests while there are slots. A paused VM hands
// over nothing: it has not heard which targets began to leave meanwhile, nor who
// else gives out their slots by now. What waits is given up at its deadline, or
// handed over once the VM is sure of its place again.
func (g *group) dispatch(now time.Time, out *baobabstep.Outbox) {
	if g.engine.paused.Load() {
		return
	}
	for {
		en := g.nextReady(now)
		if en == nil {
			return
		}
		if !now.Before(en.giveUpAt()) {
			g.refuseNotRun(now, en, result{code: baobabstep.CodeDeadlineExceeded, retryAfter: g.retryAfter(now)}, out)
			continue
		}
		id, code := g.engine.opts.Targets.PickSlot(now, g.slotQuery(en.target))
		if code == baobabstep.CodeNoCapacity && g.yieldSlot(now) {
			continue
		}
		if code != baobabstep.CodeOK {
			return
		}
		g.tookTurn(en)
		g.handOver(now, en, id, out)
	}
}

// nextReady chooses between the classes: urgent first, but while both wait
// ordinary requests get their floor of the slots.
func (g *group) nextReady(now time.Time) *entry {
	takingOver := g.takingOver(now)
	urgent := g.queues[0].ready(takingOver)
	ordinary := g.queues[1].ready(takingOver)
	switch {
	case urgent == nil:
		return ordinary
	case ordinary == nil || g.ordinaryCredit < 1:
		return urgent
	default:
		return ordinary
	}
}

func (g *group) tookTurn(en *entry) {
	if en.class != baobabstep.ClassUrgent {
		g.ordinaryCredit = max(0, g.ordinaryCredit-1)
		return
	}
	if g.queues[1].n > 0 {
		g.ordinaryCredit += g.service.OrdinaryFloor / max(0.01, 1-g.service.OrdinaryFloor)
	}
}

// handOver sends the next attempt to a target.
func (g *group) handOver(now time.Time, en *entry, id baobabstep.TargetID, out *baobabstep.Outbox) {
	if !en.idempotent && (en.attempt > 0 || !en.claim.owned) {
		g.engine.breaks("I5", "request that is not idempotent handed over twice or without its claim")
	}
	if en.verdict.code != baobabstep.CodeOK {
		g.engine.breaks("I4", "request handed over after its refusal was decided")
	}
	en.attempt++
	en.target = id
	en.sentAt = now
	en.slot = true
	en.judged = false
	for len(g.running) > 0 && !g.running[0].holds() {
		g.running[0] = running{}
		g.running = g.running[1:]
	}
	g.running = append(g.running, running{en, en.attempt})
	en.setState(stateRunning)
	g.engine.stats.handedOver.Add(1)
	out.Target(&baobabstep.Packet{
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

// yieldSlot gives away the slot of the oldest attempt if that was not heard of
// for long and many are lost. The attempt may still be answered.
func (g *group) yieldSlot(now time.Time) bool {
	if g.lost <= lossyShare {
		return false
	}
	keep := lossySlotTimes * g.capacity.serviceTime
	for len(g.running) > 0 {
		r := g.running[0]
		holds := r.holds()
		if holds && now.Sub(r.entry.sentAt) < keep {
			return false
		}
		g.running[0] = running{}
		g.running = g.running[1:]
		if holds {
			r.entry.yieldSlot(now)
			return true
		}
	}
	return false
}

func (g *group) attemptTimeout() time.Duration {
	return max(minAttemptTimeout, attemptTimes*g.capacity.serviceTime)
}

// expireRunning ends an attempt that took too long.
func (g *group) expireRunning(now time.Time, en *entry, out *baobabstep.Outbox) {
	if en.cancelled {
		g.lose(now, en)
		g.unknown(now, en, out)
		return
	}
	if !now.Before(en.deadline) {
		g.cancelAttempt(en, out)
		g.lose(now, en)
		g.unknown(now, en, out)
		return
	}
	if !g.mayRetry(en) {
		g.presumeFree(now, en, out)
		return
	}
	g.cancelAttempt(en, out)
	g.lose(now, en)
	g.retry(now, en)
}

// presumeFree gives back the slot of an attempt that is probably lost and may
// not be tried again; its answer is still awaited. If the fabric loses one
// attempt in ten, and each holds its slot to the deadline, a hundred service
// times away, the slots fill up with work that nobody does, and requests are
// refused before idle targets. If the target is only slow, it refuses the next
// attempt without running it, so an early guess costs no more than that.
func (g *group) presumeFree(now time.Time, en *entry, out *baobabstep.Outbox) {
	en.releaseSlot(now, baobabstep.CodeOutcomeUnknown)
	en.setTimer(en.deadline)
	g.dispatch(now, out)
}

// lose ends an attempt of which nothing was heard. It is evidence against the
// target only if the target had a fair time to answer.
func (g *group) lose(now time.Time, en *entry) {
	en.maybeRan = true
	code := baobabstep.CodeCancelled
	if !en.cancelled && now.Sub(en.sentAt) >= g.attemptTimeout() {
		code = baobabstep.CodeOutcomeUnknown
	}
	en.releaseSlot(now, code)
}

// mayRetry tells whether the request may be handed over once more.
func (g *group) mayRetry(en *entry) bool {
	return en.idempotent && !en.cancelled && int(en.attempt) < g.engine.opts.MaxAttempts && g.retryTokens >= 1
}

// retry waits a random time, so that the requests of one failure do not come
// back together, and takes its cost from the budget.
func (g *group) retry(now time.Time, en *entry) {
	g.retryTokens--
	g.engine.stats.retries.Add(1)
	limit := min(baseBackoff<<min(en.attempt, 10), maxBackoff)
	en.setState(stateBackoff)
	en.setTimer(earlier(en.deadline, now.Add(time.Duration(g.shard.rand.Int64N(int64(limit))))))
}

// refusedByTarget handles a target's word that it did not run the attempt.
func (g *group) refusedByTarget(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	if !p.FromTarget || !en.matches(p) {
		g.engine.stats.lateAnswers.Add(1)
		return
	}
	if p.Code == baobabstep.CodeOutcomeUnknown || p.Code == baobabstep.CodeOK {
		en.maybeRan = true
	}
	if en.maybeRan {
		g.lose(now, en)
	}
	en.releaseSlot(now, p.Code)
	switch {
	case en.cancelled && !en.maybeRan:
		g.refuseNotRun(now, en, result{code: baobabstep.CodeCancelled}, out)
	case en.maybeRan && !en.idempotent:
		g.unknown(now, en, out)
	case g.mayRetry(en):
		g.retry(now, en)
	default:
		g.refuseNotRun(now, en, result{code: baobabstep.CodeRefusedNotRun, retryAfter: g.retryAfter(now)}, out)
	}
	g.dispatch(now, out)
}

// matches tells whether an answer is for the attempt that is running: late,
// doubled, crossed and superseded ones are not.
func (en *entry) matches(p *baobabstep.Packet) bool {
	return en.state == stateRunning && p.Attempt == en.attempt && p.Target == en.target
}
