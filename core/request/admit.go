package request

import (
	"time"

	"baobabstep"
)

// admitNew admits or refuses a request that has no entry here.
func (g *group) admitNew(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	g.engine.stats.arrived.Add(1)
	g.noteDispatching(now)
	if g.engine.paused.Load() {
		g.engine.stats.countResult(baobabstep.CodeOutcomeUnknown)
		g.sendUnknown(now, p, out)
		return
	}
	en := g.addEntry(now, p, stateQueued)
	if en == nil {
		// Without an entry nothing prevents a copy from being run.
		g.engine.stats.countResult(baobabstep.CodeOutcomeUnknown)
		g.sendUnknown(now, p, out)
		return
	}
	en.class = g.service.ClassOf(p.Flow.Caller.Addr(), p.Class)
	en.idempotent = p.Idempotent
	en.deadline = now.Add(g.timeout(p))
	en.claim.window = g.claimWindow(p)
	if code := g.checkAdmission(now, en, p); code != baobabstep.CodeOK {
		g.refuseNotRun(now, en, result{code: code, retryAfter: g.retryAfter(now)}, out)
		return
	}
	en.payload = append([]byte(nil), p.Payload...)
	en.needsClaim = g.needsClaim(now, en)
	if en.needsClaim {
		g.startClaim(now, en, en.claim.window, out)
		if en.claim.failed {
			g.finishUnknown(now, en, out)
			return
		}
	}
	g.enqueue(now, en, out)
}

// needsClaim reports whether the claim must be owned before the request is sent
// to a target. An idempotent request needs it only if another VM was the
// dispatcher recently, since that VM may have answered a copy with "not run".
func (g *group) needsClaim(now time.Time, en *entry) bool {
	return !en.idempotent || g.dispatcherChangedWithin(now, en.claim.window)
}

// claimWindow returns how far back another dispatcher may have received a copy of
// the request. For a first transmission that is limited by the delay between
// copies of one packet.
func (g *group) claimWindow(p *baobabstep.Packet) time.Duration {
	if p.Seq == 0 {
		return g.engine.opts.DuplicateWindow
	}
	return g.engine.opts.RetransmissionWindow
}

// timeout returns the time left for the request.
func (g *group) timeout(p *baobabstep.Packet) time.Duration {
	d := p.Timeout
	if d <= 0 {
		d = g.service.DefaultTimeout
	}
	if limit := g.service.MaxTimeout; limit > 0 && (d <= 0 || d > limit) {
		d = limit
	}
	if d <= 0 {
		d = defaultTimeout
	}
	return d
}

const (
	defaultTimeout    = 5 * time.Second
	defaultQueueLimit = 4
	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	// refusedReturnShare is the share of the slots' capacity that retryAfter
	// assigns to the retries of refused callers.
	refusedReturnShare = 0.15
)

// checkAdmission returns CodeOK if the request can be expected to finish in time,
// or else the code of its refusal.
func (g *group) checkAdmission(now time.Time, en *entry, p *baobabstep.Packet) baobabstep.Code {
	if g.engine.stopping.Load() && len(g.set.members) < 2 {
		return baobabstep.CodeStopping
	}
	g.refreshCapacity(now)
	if g.capacity.slots == 0 {
		return baobabstep.CodeRefusedNotRun
	}
	q := &g.queues[en.class&1]
	if q.numWaiting >= g.queueLimit() {
		return baobabstep.CodeOverloaded
	}
	if !q.callerMayAdd(p.Flow.Caller.Addr(), g.queueLimit()) {
		return baobabstep.CodeOverloaded
	}
	wait := g.expectedWait(en.class)
	if now.Add(wait + g.capacity.serviceTime).After(en.deadline) {
		return baobabstep.CodeOverloaded
	}
	limit := time.Duration(g.engine.opts.MaxUrgentWait * float64(g.capacity.serviceTime))
	// The backlog of a dispatcher change is worked off first.
	tookOver := now.Sub(g.tookOverAt) < 3*maxTakeOver
	if en.class == baobabstep.ClassUrgent && wait > limit && !tookOver {
		return baobabstep.CodeOverloaded
	}
	return baobabstep.CodeOK
}

func (g *group) queueLimit() int {
	limit := g.service.QueueLimit
	if limit <= 0 {
		limit = defaultQueueLimit
	}
	return limit * g.capacity.slots
}

// expectedWait estimates the queueing time of a request that arrives now. Urgent
// requests wait for the urgent ones before them, slowed down by the share of
// slots that ordinary requests get. Ordinary requests wait for all queued ones.
func (g *group) expectedWait(class baobabstep.Class) time.Duration {
	urgent, ordinary := g.queues[0].numWaiting, g.queues[1].numWaiting
	ahead := float64(urgent + ordinary)
	if class == baobabstep.ClassUrgent {
		ahead = float64(urgent)
		if ordinary > 0 {
			ahead /= max(0.1, 1-g.service.OrdinaryFloor)
		}
	}
	return time.Duration(ahead * float64(g.capacity.serviceTime) / float64(max(1, g.capacity.slots)))
}

// retryAfter returns the delay after which a refused caller should retry. Each
// refusal reserves a retry time after those of earlier refusals, at a rate that
// is a share of the slots' capacity. If all callers retried as soon as the
// present queue is empty, they would only be refused again, in growing numbers.
// The random factor of 0.75 to 1.25 spreads out callers that were refused
// together by different VMs.
func (g *group) retryAfter(now time.Time) time.Duration {
	g.refreshCapacity(now)
	if g.returnsBookedUntil.Before(now) {
		g.returnsBookedUntil = now
	}
	if g.returnsBookedUntil.Sub(now) < maxRetryAfter {
		perSlot := float64(g.capacity.serviceTime) / refusedReturnShare
		g.returnsBookedUntil = g.returnsBookedUntil.Add(time.Duration(perSlot / float64(max(1, g.capacity.slots))))
	}
	d := g.returnsBookedUntil.Sub(now) + g.expectedWait(baobabstep.ClassOrdinary)
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d*3/4 + time.Duration(g.shard.rand.Int64N(int64(d/2)))
}

// sendUnknown refuses a request with "outcome unknown" if no entry can be created
// or used for it.
func (g *group) sendUnknown(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	out.ToCaller(&baobabstep.Packet{
		Kind:       baobabstep.KindRefusal,
		Flow:       p.Flow,
		Service:    g.id.service,
		Code:       baobabstep.CodeOutcomeUnknown,
		RetryAfter: g.retryAfter(now),
	})
}

// refuseNotRun ends a request that was not run. The caller is told so only once
// the claim is owned, which ensures that no copy can run later. Without the claim
// the outcome is unknown.
func (g *group) refuseNotRun(now time.Time, en *entry, r result, out *baobabstep.Outbox) {
	// Idempotent requests are sent to targets without a claim. A former
	// dispatcher, or one in an unreachable data centre, may have done so.
	mayHaveRun := en.idempotent && (g.dispatcherChangedWithin(now, en.claim.window) || !g.fleet.allReachable(g.service))
	if en.maybeRan || mayHaveRun {
		g.finishUnknown(now, en, out)
		return
	}
	en.payload = nil
	en.pendingRefusal = r
	en.setState(stateRefusing)
	g.startClaim(now, en, en.claim.window, out)
	switch {
	case en.claim.failed:
		g.finishUnknown(now, en, out)
	case en.claim.owned:
		en.finish(now, r, out)
	default:
		en.setTimer(now.Add(g.engine.opts.ClaimResend))
	}
}

// expireWaiting resends an unanswered claim, and refuses a waiting request whose
// time is over.
func (g *group) expireWaiting(now time.Time, en *entry, out *baobabstep.Outbox) {
	if en.claim.started && !en.claim.owned {
		if now.Sub(en.claim.startedAt) >= g.engine.opts.ClaimTimeout {
			g.finishUnknown(now, en, out)
			return
		}
		if now.Sub(en.claim.sentAt) >= g.engine.opts.ClaimResend {
			g.sendClaim(now, en, out)
		}
	}
	if en.state == stateQueued && !now.Before(en.latestStart()) {
		g.refuseNotRun(now, en, result{code: baobabstep.CodeDeadlineExceeded, retryAfter: g.retryAfter(now)}, out)
		return
	}
	en.setTimer(en.waitTimer(now))
}

// latestStart returns the time after which a queued request can no longer finish
// before its deadline.
func (en *entry) latestStart() time.Time {
	return en.deadline.Add(-en.group.capacity.serviceTime / 2)
}

// waitTimer returns the next time at which a waiting request has to be checked.
func (en *entry) waitTimer(now time.Time) time.Time {
	due := en.latestStart()
	if en.state == stateRefusing || (en.claim.started && !en.claim.owned) {
		resend := now.Add(en.group.engine.opts.ClaimResend)
		if en.state == stateRefusing || resend.Before(due) {
			due = resend
		}
	}
	return due
}

// recordEarlyCancel stores a cancel that arrived before its request.
func (g *group) recordEarlyCancel(now time.Time, p *baobabstep.Packet) {
	if p.FromTarget {
		return
	}
	en := g.addEntry(now, p, stateDone)
	if en == nil {
		return
	}
	en.cancelled = true
	// Another dispatcher may have run the request.
	en.result.code = baobabstep.CodeOutcomeUnknown
	en.scheduleTombstone(now)
}

// cancel ends a request that its caller cancelled.
func (g *group) cancel(now time.Time, en *entry, out *baobabstep.Outbox) {
	switch en.state {
	case stateQueued, stateBackoff:
		g.refuseNotRun(now, en, result{code: baobabstep.CodeCancelled}, out)
	case stateRunning:
		if en.cancelled {
			return
		}
		// The slot stays taken until the target answers. The target may still be
		// running the request and would refuse another one in this slot.
		en.cancelled = true
		g.cancelAttempt(en, out)
		g.sendCancelled(en, out)
		en.setTimer(earlier(en.deadline, now.Add(cancelGrace)))
	default:
	}
}

// cancelGrace is how long a target may take to stop a cancelled attempt.
const cancelGrace = 200 * time.Millisecond

func (g *group) sendCancelled(en *entry, out *baobabstep.Outbox) {
	out.ToCaller(&baobabstep.Packet{
		Kind:    baobabstep.KindRefusal,
		Flow:    en.key,
		Service: g.id.service,
		Code:    baobabstep.CodeOutcomeUnknown,
	})
}

func (g *group) cancelAttempt(en *entry, out *baobabstep.Outbox) {
	out.ToTarget(&baobabstep.Packet{
		Kind:    baobabstep.KindCancel,
		Flow:    en.key,
		Service: g.id.service,
		Target:  en.target,
		Attempt: en.attempt,
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
