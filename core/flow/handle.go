package flow

import (
	"fmt"
	"time"

	"baobabstep"
	"baobabstep/core/place"
)

// task is the work on one flow, with its shard locked: handling a packet, or
// the periodic work on a record.
type task struct {
	r    *Router
	snap *snapshot
	s    *shard
	now  time.Time
	tick tick
	hash baobabstep.KeyHash
	p    *baobabstep.Packet
	// rec is the record of a task without a packet.
	rec *record
	out *baobabstep.Outbox

	cachedOwners place.Owners
	ownersCached bool
}

// Handle processes one packet of a flow and appends the packets to send to
// out. It does not allocate if the VM has the flow's record.
func (r *Router) Handle(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	snap := r.current.Load()
	t := task{r: r, snap: snap, now: now, tick: r.tick(now), p: p, out: out}
	if snap.config == nil || snap.view == nil {
		r.shards[0].mu.Lock()
		defer r.shards[0].mu.Unlock()
		r.shards[0].events[EventDroppedNotReady]++
		return
	}
	t.hash = place.Hash(snap.config.FlowSecret, p.Flow)
	t.s = r.shard(&t.hash)
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	switch p.Route.Purpose {
	case baobabstep.PurposeReplicate:
		t.handleReplicate()
	case baobabstep.PurposeLearn:
		t.handleLearn()
	case baobabstep.PurposeStored:
		t.handleStored()
	case baobabstep.PurposeForget:
		t.handleForget()
	default:
		t.routePacket()
	}
}

func (t *task) count(e Event) { t.s.events[e]++ }

// reportInvariant counts and reports a violated invariant.
func (t *task) reportInvariant(name, format string, args ...any) {
	t.count(EventInvariantBroken)
	if t.r.opts.Invariant != nil {
		t.r.opts.Invariant(name, fmt.Sprintf("%v: ", t.flowKey())+fmt.Sprintf(format, args...))
	}
}

// findRecord returns the flow's record, or nil. StateSearching is not a
// record.
func (t *task) findRecord() *record {
	rec := t.s.find(&t.hash)
	if rec == nil || rec.state == StateSearching {
		return nil
	}
	return rec
}

// owners returns the current owners of the flow.
func (t *task) owners() place.Owners {
	if !t.ownersCached {
		t.cachedOwners = t.snap.table.Owners(t.hash, t.dataCentres())
		t.ownersCached = true
	}
	return t.cachedOwners
}

// dataCentres returns the data centres whose VMs may own the flow; nil means
// all.
func (t *task) dataCentres() []string {
	if t.rec != nil {
		return t.r.reg.service(t.rec.service).dataCentres
	}
	i, found := t.r.reg.findService(t.p.Flow.Service, 0)
	if !found {
		return nil
	}
	return t.r.reg.service(i).dataCentres
}

func (t *task) isSuspect(vm baobabstep.VMID) bool {
	return t.snap.states[vm] == baobabstep.VMSuspect
}

// routePacket handles a packet from a caller or target, received directly or
// forwarded by another VM.
func (t *task) routePacket() {
	rec := t.findRecord()
	switch {
	case t.routeProbeAck():
	case t.snap.paused:
		t.relayWhilePaused()
	case rec == nil:
		t.handleUnknown()
	case rec.ended():
		t.handleLatePacket(rec)
	case t.p.FromTarget:
		t.noteMissingCopy(rec)
		t.handleTargetPacket(rec)
	default:
		t.noteMissingCopy(rec)
		t.handleCallerPacket(rec)
	}
}

// noteMissingCopy marks the other owner's copy as missing if the packet
// visited that owner, which had no record: it may have restarted.
func (t *task) noteMissingCopy(rec *record) {
	if t.p.Route.NTried == 0 || !rec.has(flagCopied) {
		return
	}
	if other := t.owners().Other(t.r.opts.Self); t.tried(other) {
		clearCopied(rec)
		rec.clear(flagRepairSent)
	}
}

// handleCallerPacket handles a caller's packet for a flow in the table.
func (t *task) handleCallerPacket(rec *record) {
	switch t.p.Kind {
	case baobabstep.KindOpen:
		t.handleRepeatedOpen(rec)
	case baobabstep.KindData, baobabstep.KindProbe:
		if rec.state == StateOpening {
			t.handleEarlyData(rec)
			return
		}
		t.noteCallerPacket(rec)
		if !t.needsVerification(rec) {
			t.markInUse(rec)
		}
		t.sendToTarget(rec)
	case baobabstep.KindProbeAck:
		if t.ownProbe() {
			t.noteAck(rec)
			t.noteCallerPacket(rec)
			return
		}
		t.sendToTarget(rec)
	case baobabstep.KindClose:
		t.closeFlow(rec)
	case baobabstep.KindReset:
		t.sendToTarget(rec)
		t.endFlow(rec, StateReset, t.p.Code)
	default:
		t.count(EventDroppedInvalid)
	}
}

// handleEarlyData handles data for a record in StateOpening. The caller
// received an acceptance that passed through other VMs and may come from
// another target than the record's, so the data must not be sent to the
// record's target. It is forwarded to the other owners; if none has an
// established record, the record's target is probed.
func (t *task) handleEarlyData(rec *record) {
	if next := t.nextToAsk(); next != 0 && !t.p.Route.Exhausted {
		t.forward(next)
		return
	}
	t.count(EventDroppedUnsure)
	if t.r.probes.take(t.now, 1) {
		t.probe(rec, toTarget)
	}
}

// handleTargetPacket handles a target's packet for a flow in the table.
func (t *task) handleTargetPacket(rec *record) {
	tg := t.r.reg.target(rec.target)
	t.refreshRole(rec)
	switch {
	case t.mayBeSuperseded(rec) && t.mayAskHolder():
		t.relay(t.owners().Holder)
		return
	case t.p.Target != tg.id || t.p.Service != tg.service:
		t.handleWrongTarget(rec)
		return
	}
	if heard := tg.lastPacket.Load(); heard != t.tick {
		tg.lastPacket.Store(t.tick)
	}
	switch t.p.Kind {
	case baobabstep.KindOpened, baobabstep.KindData, baobabstep.KindProbe:
		t.noteTargetPacket(rec)
		t.sendToCaller(rec)
	case baobabstep.KindProbeAck:
		if t.ownProbe() {
			t.noteAck(rec)
			t.noteTargetPacket(rec)
			return
		}
		t.sendToCaller(rec)
	case baobabstep.KindClose:
		t.closeFlow(rec)
	case baobabstep.KindReset:
		t.handleTargetReset(rec)
	default:
		t.count(EventDroppedInvalid)
	}
}

// noteCallerPacket records that the caller is alive. The packet does not show
// which target the caller uses.
func (t *task) noteCallerPacket(rec *record) {
	rec.lastFromCaller = t.tick
	rec.setProbes(toCaller, 0)
	if t.r.callersHeard.Load() != t.tick {
		t.r.callersHeard.Store(t.tick)
	}
	if rec.state != StateEstablished {
		return
	}
	if !rec.has(flagConfirmed) {
		t.s.setState(rec, StateEstablished, confirm)
	}
	if rec.has(flagViaOwner) && t.viewStable() {
		// The acceptance reached the caller, and so the record reached
		// the other owner.
		rec.clear(flagViaOwner)
		t.setCopied(rec)
	}
}

// viewStable reports whether this VM's view has been certain for
// Options.GracePeriod, so that no other VM can have opened its flows again.
func (t *task) viewStable() bool {
	return !t.mayBeIsolated() && t.now.Sub(t.snap.changedAt) >= t.r.opts.GracePeriod
}

// markInUse records that the caller sends data to the record's target. If the
// acceptance passed through the other owner, this proves that owner's copy
// too.
func (t *task) markInUse(rec *record) {
	rec.detail = detailInUse
	if rec.has(flagViaOwner) {
		rec.clear(flagViaOwner)
		t.setCopied(rec)
	}
}

// maxAcceptanceAge is how long after the target's last packet the caller's
// first data can only belong to the acceptance that this VM forwarded.
const maxAcceptanceAge = 2 * time.Second

// verifyTimeout is how long to wait for the other owner's confirmation.
const verifyTimeout = 3 * time.Second

// needsVerification reports whether the caller may use another record of this
// established flow. The acceptance may have been lost, or other VMs may have
// opened the flow again while this VM was paused or partitioned. Data sent to
// this record's target would then be split between two targets. So it is sent
// through the other owner, which has any conflicting record and otherwise
// confirms this one. An owner that does not answer within verifyTimeout is
// taken for dead, and its record for lost.
func (t *task) needsVerification(rec *record) bool {
	t.refreshRole(rec)
	switch {
	case rec.state != StateEstablished || rec.has(flagCopied) || t.otherOwner() == 0:
		return false
	case rec.detail == detailInUse || rec.detail == detailVerifyTimeout:
		return false
	case rec.detail == detailVerifying:
		return !t.verifyTimedOut(rec)
	}
	owner := rec.has(flagHolder) || rec.has(flagSecond)
	return !owner || !t.viewStable() || since(t.tick, rec.lastFromTarget) > ticks(maxAcceptanceAge)
}

// verifyTimedOut ends the verification if it has lasted longer than
// verifyTimeout, and reports whether it did.
func (t *task) verifyTimedOut(rec *record) bool {
	if since16(t.tick, rec.lastRepair) <= ticks(verifyTimeout) {
		return false
	}
	rec.detail = detailVerifyTimeout
	return true
}

// confirm marks a flow whose caller has answered.
func confirm(rec *record) { rec.set(flagConfirmed) }

// noteTargetPacket records that the target is alive. The first such packet
// shows that the target accepted the flow.
func (t *task) noteTargetPacket(rec *record) {
	rec.lastFromTarget = t.tick
	rec.setProbes(toTarget, 0)
	if rec.state == StateOpening {
		t.establish(rec)
	}
}

// handleWrongTarget handles a packet from a target other than the record's.
//
// If the record is still opening and the sender claims the flow, the record
// switches to the sender: another VM chose it, and the caller may already use
// it. If the record is established, the sender's flow lost a conflict or ended
// before its key was reused. Its packet must not reach the caller, who would
// take it for part of the current flow. The sender gets a reset only if the
// caller is known to use this record; otherwise this record may be the one
// that lost.
func (t *task) handleWrongTarget(rec *record) {
	claims := t.p.Kind == baobabstep.KindOpened || t.p.Kind == baobabstep.KindData
	next, valid := t.sourceTarget()
	if valid && t.p.Code == baobabstep.CodeUnknownFlow {
		// This answers probeNeighbour.
		t.r.reg.target(next).lastAck.Store(t.tick)
	}
	switch {
	case claims && valid && rec.state == StateOpening:
		t.count(EventConflict)
		t.resetTarget(rec, baobabstep.CodeUnknownFlow)
		t.changeTarget(rec, next)
		rec.version = clampVersion(t.p.Version)
		t.noteTargetPacket(rec)
		t.sendToCaller(rec)
	case !rec.has(flagHolder) && t.mayAskHolder():
		t.relay(t.owners().Holder)
	case rec.detail == detailInUse:
		t.count(EventDroppedWrongTarget)
		t.resetSender()
	default:
		t.count(EventDroppedWrongTarget)
	}
}

// mayBeSuperseded reports whether the owners may have replaced this VM's
// record unnoticed: this VM is not an owner, and the caller is not known to
// use the record.
func (t *task) mayBeSuperseded(rec *record) bool {
	return !rec.has(flagHolder) && !rec.has(flagSecond) && rec.detail != detailInUse
}

// mayAskHolder reports whether the packet can be forwarded to the holder.
func (t *task) mayAskHolder() bool {
	holder := t.owners().Holder
	return t.p.Route.Purpose == baobabstep.PurposeNone && holder != 0 && holder != t.r.opts.Self && !t.isSuspect(holder)
}

// handleLatePacket handles a packet of a flow that has ended.
func (t *task) handleLatePacket(rec *record) {
	sameTarget := t.p.Target == t.r.reg.target(rec.target).id
	repeatedClose := t.p.Kind == baobabstep.KindClose && rec.state == StateClosed
	switch {
	case repeatedClose && t.p.FromTarget && sameTarget:
		t.sendToCaller(rec)
	case repeatedClose && !t.p.FromTarget:
		t.sendToTarget(rec)
	case t.p.FromTarget:
		t.count(EventDroppedLate)
		t.resetSender()
	case t.p.Kind == baobabstep.KindClose || t.p.Kind == baobabstep.KindReset:
		t.count(EventDroppedLate)
	default:
		t.count(EventDroppedLate)
		t.resetCaller(rec.resetCode(), 0)
	}
}

// resetCode returns the reset code for senders of late packets.
func (rec *record) resetCode() baobabstep.Code {
	if rec.state == StateReset && rec.detail != 0 {
		return baobabstep.Code(rec.detail) + codeBase
	}
	return baobabstep.CodeUnknownFlow
}

// endFlow ends the flow and notifies the other owner. It keeps the record for
// late packets. Packets that report the end must already be in the outbox.
func (t *task) endFlow(rec *record, state State, code baobabstep.Code) {
	if state == StateClosed {
		t.count(EventClosed)
	} else {
		t.count(EventReset)
	}
	t.setEnded(rec, state, code)
	t.notifyOwners(baobabstep.PurposeForget, rec)
}

// setEnded is endFlow without the notification.
func (t *task) setEnded(rec *record, state State, code baobabstep.Code) {
	t.uncountFlow(rec)
	t.s.setState(rec, state, nil)
	rec.lastFromCaller, rec.lastFromTarget = t.tick, t.tick
	rec.detail = 0
	rec.clear(flagViaOwner)
	if code > codeBase && code < codeBase+100 {
		rec.detail = uint8(code - codeBase)
	}
}
