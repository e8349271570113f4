package request

import (
	"slices"
	"time"

	"baobabstep"
)

// claim is the state of this VM's claim of a request.
type claim struct {
	started   bool
	owned     bool
	failed    bool
	startedAt time.Time
	sentAt    time.Time
	// window is how long ago another dispatcher may have received a copy. All
	// former sets of that time vote on the claim.
	window time.Duration
	// asked are the VMs that may have stored the claim, acks those whose
	// confirmation counts.
	asked, acks []baobabstep.VMID
	// shortHistory are the VMs whose records don't reach back as far as window.
	shortHistory []baobabstep.VMID
}

// startClaim asks the VMs of all voting sets to store the claim.
func (g *group) startClaim(now time.Time, en *entry, window time.Duration, out *baobabstep.Outbox) {
	if en.claim.started {
		return
	}
	en.claim = claim{started: true, startedAt: now, window: window}
	if !g.fleet.mayClaim(g.service) || g.engine.paused.Load() || g.engine.regroupedWithin(now, g.id.service, window) {
		en.claim.failed = true
		return
	}
	if g.historyDepth(now) >= window {
		en.claim.acks = append(en.claim.acks, g.engine.opts.Self)
	}
	g.sendClaim(now, en, out)
	g.updateClaimOwned(now, en)
}

// forEachVotingSet calls f for the present set and for each former set that was
// in force within window.
func (g *group) forEachVotingSet(now time.Time, window time.Duration, f func(members []baobabstep.VMID)) {
	f(g.set.members)
	for i := range g.formerSets {
		former := &g.formerSets[i]
		if now.Sub(former.until) < window && len(former.set.members) > 0 {
			f(former.set.members)
		}
	}
}

func (g *group) sendClaim(now time.Time, en *entry, out *baobabstep.Outbox) {
	en.claim.sentAt = now
	var asked []baobabstep.VMID
	g.forEachVotingSet(now, en.claim.window, func(members []baobabstep.VMID) {
		for _, vm := range members {
			if vm == g.engine.opts.Self || slices.Contains(asked, vm) || slices.Contains(en.claim.acks, vm) || !g.fleet.contains(vm) {
				continue
			}
			asked = append(asked, vm)
			if !slices.Contains(en.claim.asked, vm) {
				en.claim.asked = append(en.claim.asked, vm)
			}
			g.engine.stats.claims.Add(1)
			out.ToVM(vm, g.claimPacket(now, en, baobabstep.PurposeReplicate))
		}
	})
}

// claimPacket returns a packet about the claim, without a payload since a witness
// never runs the request. Seq is the claimer's token, Attempt the attempt that
// the claim permits.
func (g *group) claimPacket(now time.Time, en *entry, purpose baobabstep.Purpose) *baobabstep.Packet {
	return &baobabstep.Packet{
		Kind:       baobabstep.KindRequest,
		Flow:       en.key,
		Seq:        g.engine.claimToken,
		Service:    g.id.service,
		Attempt:    1,
		Class:      en.class,
		Idempotent: en.idempotent,
		Timeout:    max(0, en.deadline.Sub(now)),
		Route:      baobabstep.Route{Purpose: purpose, From: g.engine.opts.Self},
	}
}

// updateClaimOwned checks whether a majority of every voting set has confirmed
// the claim.
func (g *group) updateClaimOwned(now time.Time, en *entry) {
	owned := true
	g.forEachVotingSet(now, en.claim.window, func(members []baobabstep.VMID) {
		n := 0
		for _, vm := range members {
			if slices.Contains(en.claim.acks, vm) {
				n++
			}
		}
		owned = owned && 2*n > len(members)
	})
	en.claim.owned = en.claim.owned || owned
}

// claimUnattainable reports whether the claim cannot get a majority because the
// records of too many VMs of a set don't reach back far enough. The caller is
// then answered at once.
func (g *group) claimUnattainable(now time.Time, en *entry) bool {
	self := g.engine.opts.Self
	unattainable := false
	g.forEachVotingSet(now, en.claim.window, func(members []baobabstep.VMID) {
		unavailable := 0
		for _, vm := range members {
			selfUnavailable := vm == self && !slices.Contains(en.claim.acks, self)
			if selfUnavailable || slices.Contains(en.claim.shortHistory, vm) {
				unavailable++
			}
		}
		unattainable = unattainable || 2*(len(members)-unavailable) <= len(members)
	})
	return unattainable
}

// storeClaim handles a claim at a witness. The first claim of a request wins.
func (g *group) storeClaim(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	en := g.ledger[p.Flow]
	if en == nil {
		if t, ok := g.tombstones.get(now, g.engine.opts.RetransmissionWindow, g.engine.hash(p.Flow)); ok {
			g.engine.stats.conflicts.Add(1)
			g.replyToClaim(now, p, baobabstep.CodeConflict, t.owner, out)
			return
		}
		en = g.addEntry(now, p, stateStored)
		if en == nil {
			return
		}
		en.owner = p.Route.From
		en.ownerToken = p.Seq
		en.class = p.Class
		en.idempotent = p.Idempotent
		en.attempt = p.Attempt
		en.deadline = now.Add(p.Timeout)
		en.setTimer(en.deadline.Add(g.engine.opts.DuplicateWindow))
	}
	code := baobabstep.CodeOK
	if en.state != stateStored || en.owner != p.Route.From || en.ownerToken != p.Seq {
		code = baobabstep.CodeConflict
		g.engine.stats.conflicts.Add(1)
	}
	owner := en.owner
	if en.state != stateStored && en.state != stateMoved {
		owner = g.engine.opts.Self
	}
	g.replyToClaim(now, p, code, owner, out)
}

// replyToClaim answers a claim. Timeout is how far back this VM's records reach.
// In a conflict Tried[0] is the owner.
func (g *group) replyToClaim(now time.Time, p *baobabstep.Packet, code baobabstep.Code, owner baobabstep.VMID, out *baobabstep.Outbox) {
	q := &baobabstep.Packet{
		Kind:    baobabstep.KindRequest,
		Flow:    p.Flow,
		Seq:     p.Seq,
		Service: g.id.service,
		Attempt: p.Attempt,
		Code:    code,
		Timeout: g.historyDepth(now),
		Route:   baobabstep.Route{Purpose: baobabstep.PurposeStored, From: g.engine.opts.Self},
	}
	if code != baobabstep.CodeOK {
		q.Route.Tried[0] = owner
		q.Route.NTried = 1
	}
	out.ToVM(p.Route.From, q)
}

// handleClaimReply handles a witness's reply to a claim.
func (g *group) handleClaimReply(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	en := g.ledger[p.Flow]
	if en == nil || !en.state.open() || !en.claim.started || en.claim.owned || p.Seq != g.engine.claimToken {
		return
	}
	if p.Code != baobabstep.CodeOK {
		g.handleClaimConflict(now, en, p.Route.Tried[0], out)
		return
	}
	if slices.Contains(en.claim.acks, p.Route.From) {
		return
	}
	if p.Timeout < en.claim.window {
		en.claim.shortHistory = append(en.claim.shortHistory, p.Route.From)
		if g.claimUnattainable(now, en) {
			g.finishUnknown(now, en, out)
		}
		return
	}
	en.claim.acks = append(en.claim.acks, p.Route.From)
	g.updateClaimOwned(now, en)
	if en.claim.owned {
		g.handleClaimOwned(now, en, out)
	}
}

func (g *group) handleClaimOwned(now time.Time, en *entry, out *baobabstep.Outbox) {
	if en.state == stateRefusing {
		en.finish(now, en.pendingRefusal, out)
		return
	}
	g.dispatch(now, out)
}

// handleClaimConflict ends this VM's part in a request that another VM owns. If
// the owner has left, its fallback witness answers the caller. If the owner was
// an earlier process of this VM, no one else will, so the outcome is unknown.
func (g *group) handleClaimConflict(now time.Time, en *entry, owner baobabstep.VMID, out *baobabstep.Outbox) {
	if !g.fleet.contains(owner) {
		owner = g.fallbackWitness(owner)
	}
	if owner == 0 || owner == g.engine.opts.Self || en.attempt > 0 {
		g.finishUnknown(now, en, out)
		return
	}
	en.owner = owner
	en.setState(stateMoved)
	en.scheduleTombstone(now)
	if en.claim.window < g.engine.opts.RetransmissionWindow {
		return
	}
	// The caller retransmitted the request, so its result may have been lost. The
	// owner sends it again.
	p := g.claimPacket(now, en, baobabstep.PurposeForward)
	p.Seq, p.Attempt = 1, 0
	p.Route.Tried[0], p.Route.NTried = g.engine.opts.Self, 1
	out.ToVM(owner, p)
}

// finishUnknown ends a request with "outcome unknown".
func (g *group) finishUnknown(now time.Time, en *entry, out *baobabstep.Outbox) {
	en.finish(now, result{code: baobabstep.CodeOutcomeUnknown, retryAfter: g.retryAfter(now)}, out)
}

// sendForget tells the witnesses that the caller has its result, so that none of
// them answers "outcome unknown" if this VM fails.
func (en *entry) sendForget(out *baobabstep.Outbox) {
	for _, vm := range en.claim.asked {
		p := en.group.claimPacket(en.deadline, en, baobabstep.PurposeForget)
		p.Code = en.result.code
		out.ToVM(vm, p)
	}
}

// handleForget replaces a stored claim by a tombstone once its caller has the
// result. The tombstone prevents a late copy from being run.
func (g *group) handleForget(now time.Time, p *baobabstep.Packet) {
	en := g.ledger[p.Flow]
	if en == nil || en.state != stateStored || en.owner != p.Route.From || en.ownerToken != p.Seq {
		return
	}
	en.result.code = p.Code
	en.replaceByTombstone(now)
}

// adoptOrphans takes over stored claims whose owner left the view and may be
// dead, since their callers still wait.
func (g *group) adoptOrphans(now time.Time) {
	for _, en := range g.ledger {
		if en.state != stateStored || en.adopted || g.fleet.contains(en.owner) {
			continue
		}
		if g.fallbackWitness(en.owner) == g.engine.opts.Self {
			en.adopted = true
			en.setTimer(now.Add(g.adoptionGrace(now, en)))
		}
	}
}

// minAdoptionGrace allows time for an answer in transit, and for an owner that
// stops gracefully to finish.
const minAdoptionGrace = time.Second

func (g *group) adoptionGrace(now time.Time, en *entry) time.Duration {
	g.refreshCapacity(now)
	grace := max(minAdoptionGrace, 8*g.capacity.serviceTime)
	return max(0, min(grace, en.deadline.Sub(now)))
}

// expireStored ends a stored claim that was adopted and not answered, or whose
// caller no longer waits.
func (g *group) expireStored(now time.Time, en *entry, out *baobabstep.Outbox) {
	if en.adopted {
		g.finishUnknown(now, en, out)
		return
	}
	en.result.code = baobabstep.CodeOutcomeUnknown
	en.replaceByTombstone(now)
}

// ownerOrFallback returns the VM that should handle a packet of another VM's
// request: the owner if it is in the view, or else its fallback witness. Answers
// are not sent to a suspect owner. It returns 0 if there is no such VM or it is
// this one.
func (g *group) ownerOrFallback(en *entry, p *baobabstep.Packet) baobabstep.VMID {
	ownerSuspect := g.fleet.isSuspect(en.owner) && p.Kind == baobabstep.KindAnswer
	if g.fleet.contains(en.owner) && !alreadyTried(p, en.owner) && !ownerSuspect {
		return en.owner
	}
	fallback := g.fallbackWitness(en.owner)
	if fallback != g.engine.opts.Self && fallback != 0 && !alreadyTried(p, fallback) {
		return fallback
	}
	return 0
}

// fallbackWitness returns the witness that answers for the requests of an owner
// that has left or is suspect: the first other healthy VM of the set that the
// owner was in. The present dispatcher need not be a witness.
func (g *group) fallbackWitness(owner baobabstep.VMID) baobabstep.VMID {
	if slices.Contains(g.set.members, owner) {
		return g.firstHealthy(g.set.members, owner)
	}
	for i := len(g.formerSets) - 1; i >= 0; i-- {
		if members := g.formerSets[i].set.members; slices.Contains(members, owner) {
			return g.firstHealthy(members, owner)
		}
	}
	return g.set.dispatcher
}

func (g *group) firstHealthy(members []baobabstep.VMID, except baobabstep.VMID) baobabstep.VMID {
	for _, vm := range members {
		if vm != except && g.fleet.contains(vm) && !g.fleet.isSuspect(vm) {
			return vm
		}
	}
	return 0
}

// handleForeign handles a packet of a request that another VM owns.
func (g *group) handleForeign(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	if next := g.ownerOrFallback(en, p); next != 0 {
		g.forward(next, p, out)
		return
	}
	switch p.Kind {
	case baobabstep.KindRequest:
		// An adopted request gets its result within the adoption grace period.
		if p.Seq > 0 && !en.adopted {
			g.sendUnknown(now, p, out)
		}
	case baobabstep.KindAnswer:
		g.handleForeignAnswer(now, en, p, out)
	default:
	}
}
