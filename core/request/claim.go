package request

import (
	"slices"
	"time"

	"baobabstep"
)

// claim is the progress of this VM's claim of a request.
type claim struct {
	begun  bool
	owned  bool
	failed bool
	since  time.Time
	sent   time.Time
	// window is how far back the claim has to reach.
	window time.Duration
	// asked are the VMs that may have stored the claim, acks those that said
	// so and count.
	asked, acks []baobabstep.VMID
	// young are those whose memory does not reach far enough.
	young []baobabstep.VMID
}

// beginClaim asks the VMs of all sets that have a say to store the claim.
func (g *group) beginClaim(now time.Time, en *entry, window time.Duration, out *baobabstep.Outbox) {
	if en.claim.begun {
		return
	}
	en.claim = claim{begun: true, since: now, window: window}
	if !g.fleet.mayClaim(g.service) || g.engine.paused.Load() || g.engine.movedWithin(now, g.id.service, window) {
		en.claim.failed = true
		return
	}
	if g.memory(now) >= window {
		en.claim.acks = append(en.claim.acks, g.engine.opts.Self)
	}
	g.sendClaim(now, en, out)
	g.judgeClaim(now, en)
}

// sets calls f for each set that has a say over a claim.
func (g *group) sets(now time.Time, window time.Duration, f func(members []baobabstep.VMID)) {
	f(g.set.members)
	for i := range g.former {
		former := &g.former[i]
		if now.Sub(former.until) < window && len(former.set.members) > 0 {
			f(former.set.members)
		}
	}
}

func (g *group) sendClaim(now time.Time, en *entry, out *baobabstep.Outbox) {
	en.claim.sent = now
	var asked []baobabstep.VMID
	g.sets(now, en.claim.window, func(members []baobabstep.VMID) {
		for _, vm := range members {
			if vm == g.engine.opts.Self || slices.Contains(asked, vm) || slices.Contains(en.claim.acks, vm) || !g.fleet.has(vm) {
				continue
			}
			asked = append(asked, vm)
			if !slices.Contains(en.claim.asked, vm) {
				en.claim.asked = append(en.claim.asked, vm)
			}
			g.engine.stats.claims.Add(1)
			out.VM(vm, g.claimPacket(now, en, baobabstep.PurposeReplicate))
		}
	})
}

// claimPacket carries no payload: a witness never runs the request. Seq is the
// claimer's token, Attempt the attempt that the claim allows.
func (g *group) claimPacket(now time.Time, en *entry, purpose baobabstep.Purpose) *baobabstep.Packet {
	return &baobabstep.Packet{
		Kind:       baobabstep.KindRequest,
		Flow:       en.key,
		Seq:        g.engine.token,
		Service:    g.id.service,
		Attempt:    1,
		Class:      en.class,
		Idempotent: en.idempotent,
		Timeout:    max(0, en.deadline.Sub(now)),
		Route:      baobabstep.Route{Purpose: purpose, From: g.engine.opts.Self},
	}
}

// judgeClaim works out whether the claim is owned.
func (g *group) judgeClaim(now time.Time, en *entry) {
	owned := true
	g.sets(now, en.claim.window, func(members []baobabstep.VMID) {
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

// hopeless tells whether so many VMs of a set do not remember far enough that
// the claim cannot be owned: then the caller need not wait for it.
func (g *group) hopeless(now time.Time, en *entry) bool {
	self := g.engine.opts.Self
	found := false
	g.sets(now, en.claim.window, func(members []baobabstep.VMID) {
		lost := 0
		for _, vm := range members {
			without := vm == self && !slices.Contains(en.claim.acks, self)
			if without || slices.Contains(en.claim.young, vm) {
				lost++
			}
		}
		found = found || 2*(len(members)-lost) <= len(members)
	})
	return found
}

// storeClaim is the witness's side: the first owner wins.
func (g *group) storeClaim(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	en := g.ledger[p.Flow]
	if en == nil {
		if t, ok := g.tombstones.get(now, g.engine.opts.Remember, g.engine.hash(p.Flow)); ok {
			g.engine.stats.conflicts.Add(1)
			g.ackClaim(now, p, baobabstep.CodeConflict, t.owner, out)
			return
		}
		en = g.add(now, p, stateStored)
		if en == nil {
			return
		}
		en.owner = p.Route.From
		en.token = p.Seq
		en.class = p.Class
		en.idempotent = p.Idempotent
		en.attempt = p.Attempt
		en.deadline = now.Add(p.Timeout)
		en.setTimer(en.deadline.Add(g.engine.opts.Settle))
	}
	code := baobabstep.CodeOK
	if en.state != stateStored || en.owner != p.Route.From || en.token != p.Seq {
		code = baobabstep.CodeConflict
		g.engine.stats.conflicts.Add(1)
	}
	owner := en.owner
	if en.state != stateStored && en.state != stateMoved {
		owner = g.engine.opts.Self
	}
	g.ackClaim(now, p, code, owner, out)
}

// ackClaim answers a claim. Timeout is how far back this VM's memory reaches.
// Tried[0] is the owner, in a conflict.
func (g *group) ackClaim(now time.Time, p *baobabstep.Packet, code baobabstep.Code, owner baobabstep.VMID, out *baobabstep.Outbox) {
	q := &baobabstep.Packet{
		Kind:    baobabstep.KindRequest,
		Flow:    p.Flow,
		Seq:     p.Seq,
		Service: g.id.service,
		Attempt: p.Attempt,
		Code:    code,
		Timeout: g.memory(now),
		Route:   baobabstep.Route{Purpose: baobabstep.PurposeStored, From: g.engine.opts.Self},
	}
	if code != baobabstep.CodeOK {
		q.Route.Tried[0] = owner
		q.Route.NTried = 1
	}
	out.VM(p.Route.From, q)
}

// claimAnswered takes a witness's answer.
func (g *group) claimAnswered(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	en := g.ledger[p.Flow]
	if en == nil || !en.state.open() || !en.claim.begun || en.claim.owned || p.Seq != g.engine.token {
		return
	}
	if p.Code != baobabstep.CodeOK {
		g.claimLost(now, en, p.Route.Tried[0], out)
		return
	}
	if slices.Contains(en.claim.acks, p.Route.From) {
		return
	}
	if p.Timeout < en.claim.window {
		en.claim.young = append(en.claim.young, p.Route.From)
		if g.hopeless(now, en) {
			g.unknown(now, en, out)
		}
		return
	}
	en.claim.acks = append(en.claim.acks, p.Route.From)
	g.judgeClaim(now, en)
	if en.claim.owned {
		g.claimOwned(now, en, out)
	}
}

func (g *group) claimOwned(now time.Time, en *entry, out *baobabstep.Outbox) {
	if en.state == stateRefusing {
		en.finish(now, en.verdict, out)
		return
	}
	g.dispatch(now, out)
}

// claimLost ends this VM's part in a request that another VM owns. If that VM
// is gone its heir answers; if it was an earlier process of this one, nobody
// ever will.
func (g *group) claimLost(now time.Time, en *entry, owner baobabstep.VMID, out *baobabstep.Outbox) {
	if !g.fleet.has(owner) {
		owner = g.heir(owner)
	}
	if owner == 0 || owner == g.engine.opts.Self || en.attempt > 0 {
		g.unknown(now, en, out)
		return
	}
	en.owner = owner
	en.setState(stateMoved)
	en.remember(now)
	if en.claim.window < g.engine.opts.Remember {
		return
	}
	// The caller repeated the request: it may wait for a result that is lost.
	p := g.claimPacket(now, en, baobabstep.PurposeForward)
	p.Seq, p.Attempt = 1, 0
	p.Route.Tried[0], p.Route.NTried = g.engine.opts.Self, 1
	out.VM(owner, p)
}

// unknown ends a request of which nothing can be proved.
func (g *group) unknown(now time.Time, en *entry, out *baobabstep.Outbox) {
	en.finish(now, result{code: baobabstep.CodeOutcomeUnknown, retryAfter: g.retryAfter(now)}, out)
}

// forgetClaim tells the witnesses that the caller has its result, so that none
// of them tells it "unknown" when this VM dies.
func (en *entry) forgetClaim(out *baobabstep.Outbox) {
	for _, vm := range en.claim.asked {
		p := en.group.claimPacket(en.deadline, en, baobabstep.PurposeForget)
		p.Code = en.result.code
		out.VM(vm, p)
	}
}

// forget marks a stored claim as answered. The entry stays as a tombstone: a
// late copy must not be run.
func (g *group) forget(now time.Time, p *baobabstep.Packet) {
	en := g.ledger[p.Flow]
	if en == nil || en.state != stateStored || en.owner != p.Route.From || en.token != p.Seq {
		return
	}
	en.result.code = p.Code
	en.leaveTombstone(now)
}

// adopt looks after stored claims whose owner left the view: their callers
// still wait, and the owner may be dead.
func (g *group) adopt(now time.Time) {
	for _, en := range g.ledger {
		if en.state != stateStored || en.adopted || g.fleet.has(en.owner) {
			continue
		}
		if g.heir(en.owner) == g.engine.opts.Self {
			en.adopted = true
			en.setTimer(now.Add(g.adoptGrace(now, en)))
		}
	}
}

// minAdoptGrace leaves time for an answer on its way, and for an owner that
// stops in good order to finish.
const minAdoptGrace = time.Second

func (g *group) adoptGrace(now time.Time, en *entry) time.Duration {
	g.refreshCapacity(now)
	grace := max(minAdoptGrace, 8*g.capacity.serviceTime)
	return max(0, min(grace, en.deadline.Sub(now)))
}

// expireStored ends a stored claim: unanswered by an owner that is gone, or
// past the time when its caller still waits.
func (g *group) expireStored(now time.Time, en *entry, out *baobabstep.Outbox) {
	if en.adopted {
		g.unknown(now, en, out)
		return
	}
	en.result.code = baobabstep.CodeOutcomeUnknown
	en.leaveTombstone(now)
}

// nextForeign returns the VM that should answer for a request of another VM:
// the owner while it lives, then its heir. An answer is not entrusted to
// an owner that is suspect.
func (g *group) nextForeign(en *entry, p *baobabstep.Packet) baobabstep.VMID {
	doubtful := g.fleet.suspect(en.owner) && p.Kind == baobabstep.KindAnswer
	if g.fleet.has(en.owner) && !tried(p, en.owner) && !doubtful {
		return en.owner
	}
	heir := g.heir(en.owner)
	if heir != g.engine.opts.Self && heir != 0 && !tried(p, heir) {
		return heir
	}
	return 0
}

// heir returns the witness that answers for the requests of an owner which is
// gone or suspect: the first other living VM of the set that the owner was in.
// The present dispatcher need not be one of the witnesses.
func (g *group) heir(owner baobabstep.VMID) baobabstep.VMID {
	if slices.Contains(g.set.members, owner) {
		return g.firstAlive(g.set.members, owner)
	}
	for i := len(g.former) - 1; i >= 0; i-- {
		if members := g.former[i].set.members; slices.Contains(members, owner) {
			return g.firstAlive(members, owner)
		}
	}
	return g.set.acting
}

func (g *group) firstAlive(members []baobabstep.VMID, but baobabstep.VMID) baobabstep.VMID {
	for _, vm := range members {
		if vm != but && g.fleet.has(vm) && !g.fleet.suspect(vm) {
			return vm
		}
	}
	return 0
}

// handleForeign handles a packet of a request that belongs to another VM.
func (g *group) handleForeign(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	if next := g.nextForeign(en, p); next != 0 {
		g.forward(next, p, out)
		return
	}
	switch p.Kind {
	case baobabstep.KindRequest:
		// An adopted request gets its result within the grace.
		if p.Seq > 0 && !en.adopted {
			g.tellUnknown(now, p, out)
		}
	case baobabstep.KindAnswer:
		g.answeredForeign(now, en, p, out)
	default:
	}
}
