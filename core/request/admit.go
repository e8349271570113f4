package request

import (
	"time"

	"baobabstep"
)

// admitFirst decides about a request that has no entry here.
func (g *group) admitFirst(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	g.engine.stats.arrived.Add(1)
	g.serving(now)
	if g.engine.paused.Load() {
		g.engine.stats.finished(baobabstep.CodeOutcomeUnknown)
		g.tellUnknown(now, p, out)
		return
	}
	en := g.add(now, p, stateQueued)
	if en == nil {
		// Without an entry nothing stops a copy from being run.
		g.engine.stats.finished(baobabstep.CodeOutcomeUnknown)
		g.tellUnknown(now, p, out)
		return
	}
	en.class = g.service.ClassOf(p.Flow.Caller.Addr(), p.Class)
	en.idempotent = p.Idempotent
	en.deadline = now.Add(g.timeout(p))
	en.claim.window = g.window(p)
	if code := g.admissible(now, en, p); code != baobabstep.CodeOK {
		g.refuseNotRun(now, en, result{code: code, retryAfter: g.retryAfter(now)}, out)
		return
	}
	en.payload = append([]byte(nil), p.Payload...)
	en.needsClaim = g.needsClaim(now, en)
	if en.needsClaim {
		g.beginClaim(now, en, en.claim.window, out)
		if en.claim.failed {
			g.unknown(now, en, out)
			return
		}
	}
	g.enqueue(now, en, out)
}

// needsClaim tells whether the claim has to be owned before a hand-over. An
// idempotent request needs it only while another VM was the dispatcher a short
// time ago: that one may have told the caller of a copy "not run".
func (g *group) needsClaim(now time.Time, en *entry) bool {
	return !en.idempotent || g.changedWithin(now, en.claim.window)
}

// window is how far back another dispatcher may have taken a copy: of a first
// transmission only as long as copies of one packet can be apart.
func (g *group) window(p *baobabstep.Packet) time.Duration {
	if p.Seq == 0 {
		return g.engine.opts.Settle
	}
	return g.engine.opts.Remember
}

// timeout returns the time that the request has left.
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
	// returnShare is the share of the slots' work that is promised to
	// callers which were refused.
	returnShare = 0.15
)

// admissible tells whether the request can be expected to finish in time.
func (g *group) admissible(now time.Time, en *entry, p *baobabstep.Packet) baobabstep.Code {
	if g.engine.stopping.Load() && len(g.set.members) < 2 {
		return baobabstep.CodeStopping
	}
	g.refreshCapacity(now)
	if g.capacity.slots == 0 {
		return baobabstep.CodeRefusedNotRun
	}
	q := &g.queues[en.class&1]
	if q.n >= g.queueLimit() {
		return baobabstep.CodeOverloaded
	}
	if !q.fair(p.Flow.Caller.Addr(), g.queueLimit()) {
		return baobabstep.CodeOverloaded
	}
	wait := g.expectedWait(en.class)
	if now.Add(wait + g.capacity.serviceTime).After(en.deadline) {
		return baobabstep.CodeOverloaded
	}
	limit := time.Duration(g.engine.opts.UrgentWait * float64(g.capacity.serviceTime))
	// What had to wait for a take-over is worked off first.
	tookOver := now.Sub(g.took) < 3*maxTakeOver
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

// expectedWait estimates the time in the queue of a request that arrives now:
// urgent ones wait for the urgent ones before them, slowed down by the share
// of slots that ordinary ones get; those wait for all.
func (g *group) expectedWait(class baobabstep.Class) time.Duration {
	urgent, ordinary := g.queues[0].n, g.queues[1].n
	ahead := float64(urgent + ordinary)
	if class == baobabstep.ClassUrgent {
		ahead = float64(urgent)
		if ordinary > 0 {
			ahead /= max(0.1, 1-g.service.OrdinaryFloor)
		}
	}
	return time.Duration(ahead * float64(g.capacity.serviceTime) / float64(max(1, g.capacity.slots)))
}

// retryAfter returns when a refused caller should come back. Each refusal books
// its return behind those before it, at a rate that is a share of what the
// slots can serve: callers that all came back as soon as the present queue is
// gone would only be refused again, and more of them each time. The factor of
// 0.75 to 1.25 breaks up callers that were refused together elsewhere.
func (g *group) retryAfter(now time.Time) time.Duration {
	g.refreshCapacity(now)
	if g.returns.Before(now) {
		g.returns = now
	}
	if g.returns.Sub(now) < maxRetryAfter {
		perSlot := float64(g.capacity.serviceTime) / returnShare
		g.returns = g.returns.Add(time.Duration(perSlot / float64(max(1, g.capacity.slots))))
	}
	d := g.returns.Sub(now) + g.expectedWait(baobabstep.ClassOrdinary)
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d*3/4 + time.Duration(g.shard.rand.Int64N(int64(d/2)))
}

// tellUnknown tells a caller for whose request no entry can be made or used.
func (g *group) tellUnknown(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	out.Caller(&baobabstep.Packet{
		Kind:       baobabstep.KindRefusal,
		Flow:       p.Flow,
		Service:    g.id.service,
		Code:       baobabstep.CodeOutcomeUnknown,
		RetryAfter: g.retryAfter(now),
	})
}

// refuseNotRun ends a request that was not run. The caller is told so once no
// copy can be run any more, which takes the claim; without it the outcome is
// unknown.
func (g *group) refuseNotRun(now time.Time, en *entry, r result, out *baobabstep.Outbox) {
	// An idempotent request is handed over without a claim, so another
	// dispatcher of a short time ago may have done so, and so may one in a
	// data centre that is cut off.
	unproved := en.idempotent && (g.changedWithin(now, en.claim.window) || !g.fleet.whole(g.service))
	if en.maybeRan || unproved {
		g.unknown(now, en, out)
		return
	}
	en.payload = nil
	en.verdict = r
	en.setState(stateRefusing)
	g.beginClaim(now, en, en.claim.window, out)
	switch {
	case en.claim.failed:
		g.unknown(now, en, out)
	case en.claim.owned:
		en.finish(now, r, out)
	default:
		en.setTimer(now.Add(g.engine.opts.ClaimResend))
	}
}

// expireWaiting repeats a claim that was not answered, and gives up waiting
// requests whose time is over.
func (g *group) expireWaiting(now time.Time, en *entry, out *baobabstep.Outbox) {
	if en.claim.begun && !en.claim.owned {
		if now.Sub(en.claim.since) >= g.engine.opts.ClaimTimeout {
			g.unknown(now, en, out)
			return
		}
		if now.Sub(en.claim.sent) >= g.engine.opts.ClaimResend {
			g.sendClaim(now, en, out)
		}
	}
	if en.state == stateQueued && !now.Before(en.giveUpAt()) {
		g.refuseNotRun(now, en, result{code: baobabstep.CodeDeadlineExceeded, retryAfter: g.retryAfter(now)}, out)
		return
	}
	en.setTimer(en.waitTimer(now))
}

// giveUpAt is when a queued request can no longer finish in time.
func (en *entry) giveUpAt() time.Time {
	return en.deadline.Add(-en.group.capacity.serviceTime / 2)
}

// waitTimer is the next time at which a waiting request needs attention.
func (en *entry) waitTimer(now time.Time) time.Time {
	due := en.giveUpAt()
	if en.state == stateRefusing || (en.claim.begun && !en.claim.owned) {
		resend := now.Add(en.group.engine.opts.ClaimResend)
		if en.state == stateRefusing || resend.Before(due) {
			due = resend
		}
	}
	return due
}

// cancelUnknown notes a cancel that overtook its request.
func (g *group) cancelUnknown(now time.Time, p *baobabstep.Packet) {
	if p.FromTarget {
		return
	}
	en := g.add(now, p, stateDone)
	if en == nil {
		return
	}
	en.cancelled = true
	// Another dispatcher may have run it; nothing is proved here.
	en.result.code = baobabstep.CodeOutcomeUnknown
	en.remember(now)
}

// cancel ends a request at its caller's wish.
func (g *group) cancel(now time.Time, en *entry, out *baobabstep.Outbox) {
	switch en.state {
	case stateQueued, stateBackoff:
		g.refuseNotRun(now, en, result{code: baobabstep.CodeCancelled}, out)
	case stateRunning:
		if en.cancelled {
			return
		}
		// The slot stays taken until the target answers, since the
		// target may go on: giving it away now would only be refused.
		en.cancelled = true
		g.cancelAttempt(en, out)
		g.tellCancelled(en, out)
		en.setTimer(earlier(en.deadline, now.Add(cancelGrace)))
	default:
	}
}

// cancelGrace is how long a target may take to stop a cancelled attempt.
const cancelGrace = 200 * time.Millisecond

func (g *group) tellCancelled(en *entry, out *baobabstep.Outbox) {
	out.Caller(&baobabstep.Packet{
		Kind:    baobabstep.KindRefusal,
		Flow:    en.key,
		Service: g.id.service,
		Code:    baobabstep.CodeOutcomeUnknown,
	})
}

func (g *group) cancelAttempt(en *entry, out *baobabstep.Outbox) {
	out.Target(&baobabstep.Packet{
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
