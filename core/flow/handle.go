package flow

import (
	"fmt"
	"time"

	"baobabstep"
	"baobabstep/core/place"
)

// turn is the handling of one packet, with its shard locked.
type turn struct {
	r    *Router
	snap *snapshot
	s    *shard
	now  time.Time
	tick tick
	hash baobabstep.KeyHash
	p    *baobabstep.Packet
	// rec is the record that work without a packet is about.
	rec *record
	out *baobabstep.Outbox

	own    place.Owners
	gotOwn bool
}

// Handle decides what becomes of one packet of a flow and appends what has to
// be sent. It does not allocate for a flow whose record the VM has.
func (r *Router) Handle(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	snap := r.current.Load()
	t := turn{r: r, snap: snap, now: now, tick: r.tick(now), p: p, out: out}
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
		t.replicate()
	case baobabstep.PurposeLearn:
		t.learn()
	case baobabstep.PurposeStored:
		t.stored()
	case baobabstep.PurposeForget:
		t.forget()
	default:
		t.route()
	}
}

func (t *turn) count(e Event) { t.s.events[e]++ }

// broken reports a broken invariant.
func (t *turn) broken(name, format string, args ...any) {
	t.count(EventInvariant)
	if t.r.o.Invariant != nil {
		t.r.o.Invariant(name, fmt.Sprintf("%v: ", t.flow())+fmt.Sprintf(format, args...))
	}
}

// find returns the record, or nil. A search for the flow is no record.
func (t *turn) find() *record {
	rec := t.s.find(&t.hash)
	if rec == nil || rec.state == StateSearching {
		return nil
	}
	return rec
}

// owners returns the present owners of the packet's flow.
func (t *turn) owners() place.Owners {
	if !t.gotOwn {
		t.own = t.snap.table.Owners(t.hash, t.dataCentres())
		t.gotOwn = true
	}
	return t.own
}

// dataCentres returns those that may hold the flow; nil stands for all.
func (t *turn) dataCentres() []string {
	if t.rec != nil {
		return t.r.reg.service(t.rec.service).dataCentres
	}
	i, found := t.r.reg.findService(t.p.Flow.Service, 0)
	if !found {
		return nil
	}
	return t.r.reg.service(i).dataCentres
}

func (t *turn) suspect(vm baobabstep.VMID) bool {
	return t.snap.states[vm] == baobabstep.VMSuspect
}

// route handles a packet from outside, or one that another VM passed on.
func (t *turn) route() {
	rec := t.find()
	switch {
	case t.routeProbeAck():
	case t.snap.paused:
		t.passOn()
	case rec == nil:
		t.unknown()
	case rec.finished():
		t.late(rec)
	case t.p.FromTarget:
		t.noteAsked(rec)
		t.fromTarget(rec)
	default:
		t.noteAsked(rec)
		t.fromCaller(rec)
	}
}

// noteAsked takes back that the other owner has the record if the packet was
// there and found none: it may have restarted.
func (t *turn) noteAsked(rec *record) {
	if t.p.Route.NTried == 0 || !rec.has(flagCopied) {
		return
	}
	if other := t.owners().Other(t.r.o.Self); t.tried(other) {
		clearCopied(rec)
		rec.clear(flagTried)
	}
}

// fromCaller handles a caller's packet of a flow in the table.
func (t *turn) fromCaller(rec *record) {
	switch t.p.Kind {
	case baobabstep.KindOpen:
		t.repeatedOpen(rec)
	case baobabstep.KindData, baobabstep.KindProbe:
		if rec.state == StateOpening {
			t.tooEarly(rec)
			return
		}
		t.heardCaller(rec)
		if !t.unproven(rec) {
			t.inUse(rec)
		}
		t.toTarget(rec)
	case baobabstep.KindProbeAck:
		if t.ownProbe() {
			t.noteAck(rec)
			t.heardCaller(rec)
			return
		}
		t.toTarget(rec)
	case baobabstep.KindClose:
		t.closeFlow(rec)
	case baobabstep.KindReset:
		t.toTarget(rec)
		t.finish(rec, StateReset, t.p.Code)
	default:
		t.count(EventDroppedInvalid)
	}
}

// tooEarly handles data of a flow that this VM still believes to be opening.
// The caller heard of an acceptance that went by other VMs, and it may have
// come from another target than the record's: data must not go there on a
// guess. An owner that knows is asked, and if none does, the target is.
func (t *turn) tooEarly(rec *record) {
	if next := t.nextToAsk(); next != 0 && !t.p.Route.Exhausted {
		t.forward(next)
		return
	}
	t.count(EventDroppedUnsure)
	if t.r.probes.take(t.now, 1) {
		t.probe(rec, toTarget)
	}
}

// fromTarget handles a target's packet of a flow in the table.
func (t *turn) fromTarget(rec *record) {
	tg := t.r.reg.target(rec.target)
	t.evaluate(rec)
	switch {
	case t.outsider(rec) && t.mayForward():
		t.pass(t.owners().Holder)
		return
	case t.p.Target != tg.id || t.p.Service != tg.service:
		t.wrongTarget(rec)
		return
	}
	if heard := tg.heard.Load(); heard != t.tick {
		tg.heard.Store(t.tick)
	}
	switch t.p.Kind {
	case baobabstep.KindOpened, baobabstep.KindData, baobabstep.KindProbe:
		t.heardTarget(rec)
		t.toCaller(rec)
	case baobabstep.KindProbeAck:
		if t.ownProbe() {
			t.noteAck(rec)
			t.heardTarget(rec)
			return
		}
		t.toCaller(rec)
	case baobabstep.KindClose:
		t.closeFlow(rec)
	case baobabstep.KindReset:
		t.resetByTarget(rec)
	default:
		t.count(EventDroppedInvalid)
	}
}

// heardCaller notes a sign of life from the caller. It does not tell which
// target the caller believes to use.
func (t *turn) heardCaller(rec *record) {
	rec.fromCaller = t.tick
	rec.setProbes(toCaller, 0)
	if t.r.callersHeard.Load() != t.tick {
		t.r.callersHeard.Store(t.tick)
	}
	if rec.state != StateEstablished {
		return
	}
	if !rec.has(flagConfirmed) {
		t.s.enter(rec, StateEstablished, confirm)
	}
	if rec.has(flagVia) && t.calm() {
		// The acceptance has reached the caller, and the copy before it.
		rec.clear(flagVia)
		t.setCopied(rec)
	}
}

// calm tells whether this VM's view of the fleet has been certain for a while,
// so that no other VM can have opened its flows anew.
func (t *turn) calm() bool {
	return !t.unsure() && t.now.Sub(t.snap.changed) >= t.r.o.Grace
}

// inUse notes that the caller's data goes to the record's target. The
// acceptance came to the caller by way of the other owner, so that copy is
// proven as well.
func (t *turn) inUse(rec *record) {
	rec.detail = detailInUse
	if rec.has(flagVia) {
		rec.clear(flagVia)
		t.setCopied(rec)
	}
}

// provenFor is the time after the target was heard in which the caller's first
// data can only belong to the acceptance that this VM passed on.
const provenFor = 2 * time.Second

// doubtFor is how long the other owner is waited for.
const doubtFor = 3 * time.Second

// unproven tells whether an accepted flow may be one that the caller knows
// nothing of. The acceptance may have been lost, others may have opened the
// flow anew while this VM was paused or cut off, and the caller uses theirs.
// Its data, sent to this record's target, would be split between two. So while
// in doubt it goes by way of the other owner, who knows if there is another
// record, and whose confirmation ends the doubt. An owner that stays silent
// past doubtFor is dead, and its record with it.
func (t *turn) unproven(rec *record) bool {
	t.evaluate(rec)
	switch {
	case rec.state != StateEstablished || rec.has(flagCopied) || t.otherOwner() == 0:
		return false
	case rec.detail == detailInUse || rec.detail == detailNoDoubt:
		return false
	case rec.detail == detailDoubt:
		return !t.endDoubt(rec)
	}
	owner := rec.has(flagHolder) || rec.has(flagSecond)
	return !owner || !t.calm() || since(t.tick, rec.fromTarget) > ticks(provenFor)
}

// endDoubt ends the doubt if it lasted long enough, and tells so.
func (t *turn) endDoubt(rec *record) bool {
	if since16(t.tick, rec.lastRepair) <= ticks(doubtFor) {
		return false
	}
	rec.detail = detailNoDoubt
	return true
}

// confirm marks a flow whose caller is known to be there.
func confirm(rec *record) { rec.set(flagConfirmed) }

// heardTarget notes a sign of life from the target. The first one is its word
// that it holds the flow.
func (t *turn) heardTarget(rec *record) {
	rec.fromTarget = t.tick
	rec.setProbes(toTarget, 0)
	if rec.state == StateOpening {
		t.establish(rec)
	}
}

// wrongTarget handles a packet from a target other than the record's.
//
// If the record is still opening, the sender's word that it holds the flow is
// worth more: another VM chose it, and the caller may already use it. If the
// record is established, the sender holds a flow that lost against it, or that
// ended before its key was used again. Its packet must not reach the caller,
// who would take it for the present flow. It gets a reset only if the caller is
// known to use this record: otherwise this one may be the one that lost.
func (t *turn) wrongTarget(rec *record) {
	claims := t.p.Kind == baobabstep.KindOpened || t.p.Kind == baobabstep.KindData
	next, valid := t.vouched()
	if valid && t.p.Code == baobabstep.CodeUnknownFlow {
		// The answer of a neighbour that was asked to show the path.
		t.r.reg.target(next).acked.Store(t.tick)
	}
	switch {
	case claims && valid && rec.state == StateOpening:
		t.count(EventConflict)
		t.resetTarget(rec, baobabstep.CodeUnknownFlow)
		t.setTarget(rec, next)
		rec.version = clampVersion(t.p.Version)
		t.heardTarget(rec)
		t.toCaller(rec)
	case !rec.has(flagHolder) && t.mayForward():
		t.pass(t.owners().Holder)
	case rec.detail == detailInUse:
		t.count(EventDroppedWrongTarget)
		t.refuseTarget()
	default:
		t.count(EventDroppedWrongTarget)
	}
}

// outsider tells whether the VM has a record that the owners may have replaced
// without its knowledge: it is no owner, and the caller is not known to use the
// flow, so that another record may have won.
func (t *turn) outsider(rec *record) bool {
	return !rec.has(flagHolder) && !rec.has(flagSecond) && rec.detail != detailInUse
}

// mayForward tells whether the holder may still be asked about the packet.
func (t *turn) mayForward() bool {
	holder := t.owners().Holder
	return t.p.Route.Purpose == baobabstep.PurposeNone && holder != 0 && holder != t.r.o.Self && !t.suspect(holder)
}

// late handles a packet of a flow that has ended.
func (t *turn) late(rec *record) {
	same := t.p.Target == t.r.reg.target(rec.target).id
	again := t.p.Kind == baobabstep.KindClose && rec.state == StateClosed
	switch {
	case again && t.p.FromTarget && same:
		t.toCaller(rec)
	case again && !t.p.FromTarget:
		t.toTarget(rec)
	case t.p.FromTarget:
		t.count(EventDroppedLate)
		t.refuseTarget()
	case t.p.Kind == baobabstep.KindClose || t.p.Kind == baobabstep.KindReset:
		t.count(EventDroppedLate)
	default:
		t.count(EventDroppedLate)
		t.refuseCaller(rec.resetCode(), 0)
	}
}

// resetCode is what a late packet's sender is told.
func (rec *record) resetCode() baobabstep.Code {
	if rec.state == StateReset && rec.detail != 0 {
		return baobabstep.Code(rec.detail) + codeBase
	}
	return baobabstep.CodeUnknownFlow
}

// finish turns a record into a mark against late packets, and tells the other
// owner. What it says must already be in the outbox.
func (t *turn) finish(rec *record, state State, code baobabstep.Code) {
	if state == StateClosed {
		t.count(EventClosed)
	} else {
		t.count(EventReset)
	}
	t.end(rec, state, code)
	t.tellOwners(baobabstep.PurposeForget, rec)
}

// end is finish without telling anyone.
func (t *turn) end(rec *record, state State, code baobabstep.Code) {
	t.uncount(rec)
	t.s.enter(rec, state, nil)
	rec.fromCaller, rec.fromTarget = t.tick, t.tick
	rec.detail = 0
	rec.clear(flagVia)
	if code > codeBase && code < codeBase+100 {
		rec.detail = uint8(code - codeBase)
	}
}
