package flow

import (
	"time"

	"baobabstep"
)

// retryOpen is what a refused caller is told to wait.
const retryOpen = time.Second

// open creates a flow. The VM decides as holder, or stands in for one that is
// suspected.
func (t *turn) open() {
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
	tg, code := t.pick(config)
	if code != baobabstep.CodeOK {
		t.refuseOpen(code)
		return
	}
	t.forgetSearch()
	rec := t.create(sv, StateOpening, 0)
	t.aim(rec, tg, true)
	rec.version = clampVersion(t.snap.config.Version)
	rec.setAttempt(1)
	t.evaluate(rec)
	t.count(EventOpened)
	t.toTarget(rec)
}

func (t *turn) refuseOpen(code baobabstep.Code) {
	t.count(EventOpenRefused)
	t.refuseCaller(code, retryOpen)
}

// pick asks the Chooser for a target that may take new work of the service. The
// Chooser may have heard of a drain later than this VM's configuration.
func (t *turn) pick(config *baobabstep.Service) (uint32, baobabstep.Code) {
	for range maxAttempts {
		id, code := t.r.o.Chooser.PickFlow(t.now, config, t.r.o.DataCentre, t.s.random.Uint64())
		if code != baobabstep.CodeOK {
			return 0, code
		}
		i, found := t.r.reg.findTarget(id, config.ID)
		drained := t.snap.config.Target(id) == nil || t.snap.config.Target(id).Drained
		if found && !drained && t.mayOpenTo(t.r.reg.target(i)) {
			return i, baobabstep.CodeOK
		}
		if drained {
			t.count(EventDrainedPicked)
		} else {
			t.count(EventQuarantined)
		}
		t.r.o.Chooser.FlowClosed(t.now, id)
	}
	return 0, baobabstep.CodeNoTarget
}

// mayOpenTo refuses addresses that recently belonged to another service. A VM
// that acts on an older version may still send that service's packets there,
// and the target could not tell a stranger's flow from its own.
func (t *turn) mayOpenTo(tg *target) bool {
	for i := range t.snap.config.Quarantine {
		q := &t.snap.config.Quarantine[i]
		if q.Address == tg.address && q.Service != tg.service {
			return false
		}
	}
	return !tg.taken.Load()
}

// roomForOpen keeps a caller that only opens from pushing out established
// flows: half-open ones have a share of each shard, and when that is used up
// the shard's next half-open flow that had its time makes room.
func (t *turn) roomForOpen() bool {
	if t.s.used >= max(1, t.r.o.MaxFlows/len(t.r.shards)) {
		t.count(EventHalfOpenLimit)
		return false
	}
	caller := t.p.Flow.Caller.Addr().As16()
	if int(t.r.callers.of(&caller).Load()) >= t.r.o.MaxHalfOpenPerCaller {
		t.count(EventHalfOpenLimit)
		return false
	}
	if t.s.half < t.r.halfOpenShare() || t.evictHalfOpen() {
		return true
	}
	t.count(EventHalfOpenLimit)
	return false
}

// halfOpenShare is the number of half-open flows that one shard may hold.
func (r *Router) halfOpenShare() int { return max(1, r.o.MaxHalfOpen/len(r.shards)) }

// evictTries bounds the positions looked at for one eviction. They are random:
// flows that opened together stand together, and neighbours of a miss are
// misses.
const evictTries = 64

// evictAge is how long a half-open flow is safe from eviction. An honest
// caller answers within a round trip.
const evictAge = time.Second

// unansweredAge is the age from which a flow whose caller was probed may be
// evicted. Under pressure the probe goes out after evictAge and at most one
// pass of the scan; this leaves the caller two seconds to answer.
const unansweredAge = evictAge + passTicks*tickLength + 2*time.Second

// evictHalfOpen removes a half-open flow that is older than evictAge. A target
// that had accepted it is told.
func (t *turn) evictHalfOpen() bool {
	size := t.s.size()
	for range evictTries {
		rec := t.s.at(t.s.random.Uint32N(size))
		if !t.evictable(rec) {
			continue
		}
		t.count(EventHalfOpenEvicted)
		if rec.state == StateEstablished {
			t.resetOther(rec, baobabstep.CodeTableFull)
		}
		t.drop(rec)
		return true
	}
	return false
}

// evictable tells whether a half-open flow may make room: its target did not
// accept it in time, or its caller did not answer a probe.
func (t *turn) evictable(rec *record) bool {
	if !rec.halfOpen() {
		return false
	}
	if rec.state == StateEstablished {
		return rec.countProbes(toCaller) > 0 && since(t.tick, rec.fromCaller) >= ticks(unansweredAge)
	}
	return since(t.tick, rec.fromCaller) >= ticks(evictAge)
}

// resetOther resets the target of a record that is not the packet's.
func (t *turn) resetOther(rec *record, code baobabstep.Code) {
	first := len(*t.out)
	t.resetTarget(rec, code)
	if len(*t.out) > first {
		(*t.out)[first].Packet.Flow = t.r.key(rec)
	}
}

// key rebuilds the key of a record.
func (r *Router) key(rec *record) baobabstep.FlowKey {
	return baobabstep.FlowKey{
		Caller:  rec.callerAddress(),
		Service: r.reg.service(rec.service).address,
		Number:  rec.number,
	}
}

// create adds a record without a target.
func (t *turn) create(sv uint32, state State, age time.Duration) *record {
	rec := t.s.insert(&t.hash)
	rec.setKey(t.p.Flow)
	t.s.counts[StateFree]++
	t.s.enter(rec, state, nil)
	rec.service = sv
	rec.target = noTarget
	rec.opened = int32(t.tick) - int32(min(age/tickLength, 1<<30))
	rec.fromCaller, rec.fromTarget = t.tick, t.tick
	rec.gen = t.snap.gen - 1
	return rec
}

// noTarget marks a record without a target.
const noTarget = ^uint32(0)

// drop removes a record altogether.
func (t *turn) drop(rec *record) {
	t.uncount(rec)
	if rec.target != noTarget {
		t.r.reg.target(rec.target).flows.Add(-1)
	}
	t.s.enter(rec, StateFree, nil)
	t.s.counts[StateFree]--
	t.s.remove(rec)
}

// aim points a record at a target. counted tells that the Chooser has already
// counted the flow.
func (t *turn) aim(rec *record, tg uint32, counted bool) {
	if rec.target != noTarget {
		t.r.reg.target(rec.target).flows.Add(-1)
	}
	rec.target = tg
	t.r.reg.target(tg).flows.Add(1)
	if counted {
		rec.set(flagCounted)
	}
}

// setTarget moves a record to another target and the Chooser's count with it.
func (t *turn) setTarget(rec *record, tg uint32) {
	if rec.state == StateEstablished && rec.detail == detailInUse {
		t.broken("I1", "flow in use moves from target %x", t.r.reg.target(rec.target).id)
	}
	counted := rec.has(flagCounted)
	t.uncount(rec)
	t.aim(rec, tg, false)
	if counted {
		t.recount(rec)
	}
}

// recount has the Chooser count the flow. Only the holder counts, so that a
// flow is counted once in the fleet.
func (t *turn) recount(rec *record) {
	if !rec.has(flagCounted) && rec.live() {
		rec.set(flagCounted)
		t.r.o.Chooser.FlowOpened(t.now, t.r.reg.target(rec.target).id)
	}
}

func (t *turn) uncount(rec *record) {
	if rec.has(flagCounted) {
		rec.clear(flagCounted)
		t.r.o.Chooser.FlowClosed(t.now, t.r.reg.target(rec.target).id)
	}
}

// establish notes that the target accepted the flow. The other owner has to
// learn of it, so the packet goes that way.
func (t *turn) establish(rec *record) {
	t.count(EventEstablished)
	t.evaluate(rec)
	t.s.enter(rec, StateEstablished, nil)
	if !rec.has(flagHolder) {
		// Only the holder waits for the caller; another VM may never
		// see a packet of it.
		t.s.enter(rec, StateEstablished, confirm)
	}
	clearCopied(rec)
	rec.clear(flagTried)
}

// repeatedOpen handles an open whose record exists: the caller has not heard
// that its flow was accepted. Something on the way of the second copy may have
// died, so this one goes straight, and the copy is sent beside it.
func (t *turn) repeatedOpen(rec *record) {
	t.count(EventOpenRepeated)
	if rec.state == StateEstablished {
		rec.clear(flagVia)
	}
	t.evaluate(rec)
	other := t.otherOwner()
	if other != 0 && !rec.has(flagCopied) && t.repairDue(rec) {
		t.teach(other, rec)
	}
	rec.lastRepair = uint16(t.tick)
	rec.set(flagTried)
	t.toTarget(rec)
}

// resetByTarget handles a target's reset. A flow that it never accepted is
// tried elsewhere; the caller does not learn of it until tries run out.
func (t *turn) resetByTarget(rec *record) {
	if rec.state == StateEstablished {
		t.emit(baobabstep.DestCaller)
		t.finish(rec, StateReset, t.p.Code)
		return
	}
	if t.p.Code == baobabstep.CodeUnknownFlow {
		// The answer to a packet that overtook the open.
		t.count(EventDroppedLate)
		return
	}
	t.evaluate(rec)
	if !rec.has(flagHolder) && t.mayForward() {
		t.pass(t.owners().Holder)
		return
	}
	t.refused(rec)
}

// refused chooses another target for a flow that its target did not accept.
// The open is made anew, since its packet is gone; an open has no payload.
func (t *turn) refused(rec *record) {
	t.count(EventRefusedByTarget)
	if rec.has(flagCounted) {
		rec.clear(flagCounted)
		t.r.o.Chooser.FlowRefused(t.now, t.r.reg.target(rec.target).id, t.p.Code)
	}
	config := t.snap.config.ServiceAt(t.p.Flow.Service)
	if rec.attempt() >= maxAttempts || config == nil || config.ID != t.r.reg.service(rec.service).id {
		t.giveUp(rec, t.p.Code)
		return
	}
	tg, code := t.pick(config)
	if code != baobabstep.CodeOK {
		t.giveUp(rec, code)
		return
	}
	t.aim(rec, tg, true)
	rec.version = clampVersion(t.snap.config.Version)
	rec.setAttempt(rec.attempt() + 1)
	clearCopied(rec)
	rec.clear(flagTried)
	open := baobabstep.Packet{Kind: baobabstep.KindOpen, Flow: t.p.Flow}
	t.p = &open
	t.toTarget(rec)
}

// giveUp refuses an open. No mark against late packets stays: the caller may
// try again with the same key.
func (t *turn) giveUp(rec *record, code baobabstep.Code) {
	t.refuseOpen(code)
	t.tellOwners(baobabstep.PurposeForget, rec)
	t.drop(rec)
}
