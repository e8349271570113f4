package flow

import (
	"time"

	"baobabstep"
)

// openRetryAfter is the RetryAfter of refused opens.
const openRetryAfter = time.Second

// openFlow creates a flow, as the holder or in place of a suspected holder.
func (t *task) openFlow() {
	config := t.snap.config.ServiceAt(t.p.Flow.Service)
	if config == nil {
		t.refuseOpen(baobabstep.CodeNoTarget)
		return
	}
	sv, found := t.r.reg.findService(config.Address, config.ID)
	if !found {
		t.refuseOpen(baobabstep.CodeNoTarget)
		return
	}
	if !t.roomForOpen() {
		t.refuseOpen(baobabstep.CodeTableFull)
		return
	}
	tg, code := t.pickTarget(config)
	if code != baobabstep.CodeOK {
		t.refuseOpen(code)
		return
	}
	t.dropSearch()
	rec := t.createRecord(sv, StateOpening, 0)
	t.assignTarget(rec, tg, true)
	rec.version = clampVersion(t.snap.config.Version)
	rec.setAttempt(1)
	t.refreshRole(rec)
	t.count(EventOpened)
	t.sendToTarget(rec)
}

func (t *task) refuseOpen(code baobabstep.Code) {
	t.count(EventOpenRefused)
	t.resetCaller(code, openRetryAfter)
}

// pickTarget asks the Chooser for a target that accepts new flows of the
// service. The Chooser may learn of a drain later than the configuration does.
func (t *task) pickTarget(config *baobabstep.Service) (uint32, baobabstep.Code) {
	for range maxAttempts {
		id, code := t.r.opts.Chooser.PickFlow(t.now, config, t.r.opts.DataCentre, t.s.random.Uint64())
		if code != baobabstep.CodeOK {
			return 0, code
		}
		i, found := t.r.reg.findTarget(id, config.ID)
		drained := t.snap.config.Target(id) == nil || t.snap.config.Target(id).Drained
		if found && !drained && t.mayOpenTo(t.r.reg.target(i)) {
			return i, baobabstep.CodeOK
		}
		if drained {
			t.count(EventDrainedTargetPicked)
		} else {
			t.count(EventTargetQuarantined)
		}
		t.r.opts.Chooser.FlowClosed(t.now, id)
	}
	return 0, baobabstep.CodeNoTarget
}

// mayOpenTo rejects addresses that recently belonged to another service. A VM
// with an older configuration may still send that service's packets there, and
// the target could not tell them from its own.
func (t *task) mayOpenTo(tg *target) bool {
	for i := range t.snap.config.Quarantine {
		q := &t.snap.config.Quarantine[i]
		if q.Address == tg.address && q.Service != tg.service {
			return false
		}
	}
	return !tg.addressTaken.Load()
}

// roomForOpen reports whether the table can take another half-open flow, and
// evicts one if necessary. Half-open flows may use a fixed share of each
// shard, so that a flood of opens cannot displace established flows.
func (t *task) roomForOpen() bool {
	if t.s.used >= max(1, t.r.opts.MaxFlows/len(t.r.shards)) {
		t.count(EventHalfOpenLimit)
		return false
	}
	caller := t.p.Flow.Caller.Addr().As16()
	if int(t.r.callers.counter(&caller).Load()) >= t.r.opts.MaxHalfOpenPerCaller {
		t.count(EventHalfOpenLimit)
		return false
	}
	if t.s.halfOpenCount < t.r.halfOpenShare() || t.evictHalfOpen() {
		return true
	}
	t.count(EventHalfOpenLimit)
	return false
}

// halfOpenShare returns the maximum of half-open flows per shard.
func (r *Router) halfOpenShare() int { return max(1, r.opts.MaxHalfOpen/len(r.shards)) }

// evictTries bounds the positions examined for one eviction. They are chosen
// at random: flows opened together are stored together, so neighbours of a
// record that cannot be evicted usually cannot be either.
const evictTries = 64

// evictAge is the age below which a half-open flow is not evicted. A
// legitimate caller answers within a round trip.
const evictAge = time.Second

// unansweredAge is the time since the caller's last packet after which a
// probed half-open flow may be evicted. While half-open flows are near their
// limit, the probe is sent at most one scan after evictAge, which leaves the
// caller two seconds to answer.
const unansweredAge = evictAge + scanTicks*tickLength + 2*time.Second

// evictHalfOpen removes an evictable half-open flow. A target that had
// accepted it gets a reset.
func (t *task) evictHalfOpen() bool {
	size := t.s.size()
	for range evictTries {
		rec := t.s.recordAt(t.s.random.Uint32N(size))
		if !t.evictable(rec) {
			continue
		}
		t.count(EventHalfOpenEvicted)
		if rec.state == StateEstablished {
			t.resetOther(rec, baobabstep.CodeTableFull)
		}
		t.dropRecord(rec)
		return true
	}
	return false
}

// evictable reports whether a half-open flow may be evicted: its target did
// not accept it in time, or its caller did not answer a probe.
func (t *task) evictable(rec *record) bool {
	if !rec.halfOpen() {
		return false
	}
	if rec.state == StateEstablished {
		return rec.countProbes(toCaller) > 0 && since(t.tick, rec.lastFromCaller) >= ticks(unansweredAge)
	}
	return since(t.tick, rec.lastFromCaller) >= ticks(evictAge)
}

// resetOther resets the target of a record that is not the packet's.
func (t *task) resetOther(rec *record, code baobabstep.Code) {
	first := len(*t.out)
	t.resetTarget(rec, code)
	if len(*t.out) > first {
		(*t.out)[first].Packet.Flow = t.r.key(rec)
	}
}

// key returns the flow key of a record.
func (r *Router) key(rec *record) baobabstep.FlowKey {
	return baobabstep.FlowKey{
		Caller:  rec.callerAddress(),
		Service: r.reg.service(rec.service).address,
		Number:  rec.number,
	}
}

// createRecord adds a record without a target.
func (t *task) createRecord(sv uint32, state State, age time.Duration) *record {
	rec := t.s.insert(&t.hash)
	rec.setKey(t.p.Flow)
	t.s.counts[StateFree]++
	t.s.setState(rec, state, nil)
	rec.service = sv
	rec.target = noTarget
	rec.opened = int32(t.tick) - int32(min(age/tickLength, 1<<30))
	rec.lastFromCaller, rec.lastFromTarget = t.tick, t.tick
	rec.gen = t.snap.gen - 1
	return rec
}

const noTarget = ^uint32(0)

// dropRecord removes a record from the table.
func (t *task) dropRecord(rec *record) {
	t.uncountFlow(rec)
	if rec.target != noTarget {
		t.r.reg.target(rec.target).flows.Add(-1)
	}
	t.s.setState(rec, StateFree, nil)
	t.s.counts[StateFree]--
	t.s.remove(rec)
}

// assignTarget sets a record's target. counted is set if the Chooser has
// already counted the flow.
func (t *task) assignTarget(rec *record, tg uint32, counted bool) {
	if rec.target != noTarget {
		t.r.reg.target(rec.target).flows.Add(-1)
	}
	rec.target = tg
	t.r.reg.target(tg).flows.Add(1)
	if counted {
		rec.set(flagCounted)
	}
}

// changeTarget moves a record, and the Chooser's count, to another target.
func (t *task) changeTarget(rec *record, tg uint32) {
	if rec.state == StateEstablished && rec.detail == detailInUse {
		t.reportInvariant("I1", "target of an in-use flow changes from %x", t.r.reg.target(rec.target).id)
	}
	counted := rec.has(flagCounted)
	t.uncountFlow(rec)
	t.assignTarget(rec, tg, false)
	if counted {
		t.countFlow(rec)
	}
}

// countFlow adds the flow to the Chooser's count. Only the holder counts, so
// each flow is counted once in the fleet.
func (t *task) countFlow(rec *record) {
	if !rec.has(flagCounted) && rec.live() {
		rec.set(flagCounted)
		t.r.opts.Chooser.FlowOpened(t.now, t.r.reg.target(rec.target).id)
	}
}

func (t *task) uncountFlow(rec *record) {
	if rec.has(flagCounted) {
		rec.clear(flagCounted)
		t.r.opts.Chooser.FlowClosed(t.now, t.r.reg.target(rec.target).id)
	}
}

// establish records that the target accepted the flow. It marks the other
// owner's copy as outdated, so the packet is sent through that owner.
func (t *task) establish(rec *record) {
	t.count(EventEstablished)
	t.refreshRole(rec)
	t.s.setState(rec, StateEstablished, nil)
	if !rec.has(flagHolder) {
		// Only the holder waits for the caller's confirmation: other
		// VMs may never receive its packets.
		t.s.setState(rec, StateEstablished, confirm)
	}
	clearCopied(rec)
	rec.clear(flagRepairSent)
}

// handleRepeatedOpen handles an open of a flow that has a record: the caller
// did not receive the acceptance. A VM on the path through the second copy may
// be dead, so this open goes straight to the target, and the record is sent
// separately.
func (t *task) handleRepeatedOpen(rec *record) {
	t.count(EventOpenRepeated)
	if rec.state == StateEstablished {
		rec.clear(flagViaOwner)
	}
	t.refreshRole(rec)
	other := t.otherOwner()
	if other != 0 && !rec.has(flagCopied) && t.repairDue(rec) {
		t.sendRecord(other, rec)
	}
	rec.lastRepair = uint16(t.tick)
	rec.set(flagRepairSent)
	t.sendToTarget(rec)
}

// handleTargetReset handles a target's reset. An open that the target refused
// is retried with another target; the caller is notified when the attempts run
// out.
func (t *task) handleTargetReset(rec *record) {
	if rec.state == StateEstablished {
		t.sendPacket(baobabstep.DestCaller)
		t.endFlow(rec, StateReset, t.p.Code)
		return
	}
	if t.p.Code == baobabstep.CodeUnknownFlow {
		// This answers a packet that arrived before the open.
		t.count(EventDroppedLate)
		return
	}
	t.refreshRole(rec)
	if !rec.has(flagHolder) && t.mayAskHolder() {
		t.relay(t.owners().Holder)
		return
	}
	t.tryNextTarget(rec)
}

// tryNextTarget picks another target for a flow that its target refused. It
// builds a new open, since the original packet is gone; opens carry no
// payload.
func (t *task) tryNextTarget(rec *record) {
	t.count(EventRefusedByTarget)
	if rec.has(flagCounted) {
		rec.clear(flagCounted)
		t.r.opts.Chooser.FlowRefused(t.now, t.r.reg.target(rec.target).id, t.p.Code)
	}
	config := t.snap.config.ServiceAt(t.p.Flow.Service)
	if rec.attempt() >= maxAttempts || config == nil || config.ID != t.r.reg.service(rec.service).id {
		t.refuseAndDrop(rec, t.p.Code)
		return
	}
	tg, code := t.pickTarget(config)
	if code != baobabstep.CodeOK {
		t.refuseAndDrop(rec, code)
		return
	}
	t.assignTarget(rec, tg, true)
	rec.version = clampVersion(t.snap.config.Version)
	rec.setAttempt(rec.attempt() + 1)
	clearCopied(rec)
	rec.clear(flagRepairSent)
	open := baobabstep.Packet{Kind: baobabstep.KindOpen, Flow: t.p.Flow}
	t.p = &open
	t.sendToTarget(rec)
}

// refuseAndDrop refuses an open and drops its record, since the caller may
// reuse the key at once.
func (t *task) refuseAndDrop(rec *record, code baobabstep.Code) {
	t.refuseOpen(code)
	t.notifyOwners(baobabstep.PurposeForget, rec)
	t.dropRecord(rec)
}
