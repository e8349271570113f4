package flow

import (
	"time"

	"baobabstep"
	"baobabstep/core/place"
)

// repairAgain is the time after which an unconfirmed copy is sent again.
const repairAgain = time.Second

// evaluate brings the role that a record caches up to date with the table.
func (t *turn) evaluate(rec *record) {
	if rec.gen == t.snap.gen {
		return
	}
	rec.gen = t.snap.gen
	o := t.owners()
	rec.clear(flagHolder | flagSecond | flagTried | flagVia | flagCopied)
	if rec.copies == t.fingerprint(o) {
		rec.set(flagCopied)
	}
	if rec.state == StateEstablished && rec.detail != detailInUse {
		rec.detail = 0
	}
	switch t.r.o.Self {
	case o.Holder:
		rec.set(flagHolder)
		t.recount(rec)
	case o.Second:
		rec.set(flagSecond)
	}
	if !rec.has(flagHolder) {
		t.uncount(rec)
	}
}

// otherOwner returns the owner that should have a copy of this VM's record, or
// 0. A suspected VM gets none: the packet would be lost with it.
func (t *turn) otherOwner() baobabstep.VMID {
	other := t.owners().Other(t.r.o.Self)
	if other == t.r.o.Self || t.suspect(other) {
		return 0
	}
	return other
}

// viaOther sends the packet by way of the other owner if that one is not known
// to have the record. It goes this way once, then straight for a while: if the
// other VM is dead, the packet is lost and its sender repeats it.
func (t *turn) viaOther(rec *record) bool {
	t.evaluate(rec)
	if !rec.live() || !rides(t.p.Kind) {
		return false
	}
	doubt := !t.p.FromTarget && t.p.Kind != baobabstep.KindOpen && t.unproven(rec)
	if !doubt && (rec.has(flagCopied) || !t.repairDue(rec)) {
		return false
	}
	if t.p.FromTarget && rec.has(flagVia) && !rec.has(flagConfirmed) {
		// The acceptance went by way of the other owner. The caller's next
		// packet proves that; if it was lost, the caller repeats its open.
		return false
	}
	other := t.otherOwner()
	if other == 0 {
		t.count(EventSingleCopy)
		return false
	}
	t.count(EventReplicated)
	if rec.detail != detailDoubt {
		rec.lastRepair = uint16(t.tick)
		rec.set(flagTried)
	}
	if doubt {
		rec.detail = detailDoubt
	}
	if t.p.Kind == baobabstep.KindOpened {
		rec.set(flagVia)
	}
	s := t.emit(baobabstep.DestVM)
	s.VM = other
	s.Packet.Service, s.Packet.Target = t.r.reg.target(rec.target).service, t.r.reg.target(rec.target).id
	s.Packet.Version = t.snap.config.Version
	s.Packet.Route.Purpose = baobabstep.PurposeReplicate
	s.Packet.Route.From = t.r.o.Self
	s.Packet.Route.Record = t.wire(rec)
	return true
}

// rides tells whether a packet may carry a record by way of the other owner.
// Ends of flows do not: the copy would outlive them.
func rides(k baobabstep.Kind) bool {
	switch k {
	case baobabstep.KindOpen, baobabstep.KindOpened, baobabstep.KindData, baobabstep.KindProbe:
		return true
	}
	return false
}

// setCopied notes that the present owners have the record.
func (t *turn) setCopied(rec *record) {
	rec.copies = t.fingerprint(t.owners())
	rec.set(flagCopied)
}

// fingerprint identifies the lives of two owners. A VM that left and came back
// may have lost its memory, so its copy does not count any more.
func (t *turn) fingerprint(o place.Owners) uint32 {
	lives := t.snap.lives[o.Holder].epoch + t.snap.lives[o.Second].epoch
	return o.Fingerprint() + lives<<1
}

// clearCopied notes that the other owner may have an older record.
func clearCopied(rec *record) {
	rec.copies = 0
	rec.clear(flagCopied)
}

func (t *turn) repairDue(rec *record) bool {
	return !rec.has(flagTried) || since16(t.tick, rec.lastRepair) >= ticks(repairAgain)
}

// wire returns the record as it travels between VMs.
func (t *turn) wire(rec *record) baobabstep.Record {
	tg := t.r.reg.target(rec.target)
	return baobabstep.Record{
		Target:      tg.id,
		Service:     tg.service,
		Address:     tg.address,
		Version:     uint64(rec.version),
		Established: rec.state == StateEstablished,
		Age:         t.age(rec),
		Confirmed:   rec.state == StateEstablished && rec.detail == detailInUse,
		Attempt:     rec.attempt(),
	}
}

func (t *turn) age(rec *record) time.Duration {
	return time.Duration(max(0, int64(t.tick)-int64(rec.opened))) * tickLength
}

// teach sends the record to another VM.
func (t *turn) teach(to baobabstep.VMID, rec *record) {
	s := t.control(baobabstep.DestVM, baobabstep.KindProbe, false)
	s.VM = to
	s.Packet.Route.Purpose = baobabstep.PurposeLearn
	s.Packet.Route.From = t.r.o.Self
	s.Packet.Route.Record = t.wire(rec)
}

// answer sends a message without a record to another VM.
func (t *turn) answer(to baobabstep.VMID, purpose baobabstep.Purpose) {
	if to == 0 || to == t.r.o.Self {
		return
	}
	s := t.control(baobabstep.DestVM, baobabstep.KindProbe, false)
	s.VM = to
	s.Packet.Route.Purpose = purpose
	s.Packet.Route.From = t.r.o.Self
}

// tellOwners sends a message with the record's identity to the other owners.
func (t *turn) tellOwners(purpose baobabstep.Purpose, rec *record) {
	o := t.owners()
	for _, vm := range [...]baobabstep.VMID{o.Holder, o.Second} {
		if vm == 0 || vm == t.r.o.Self {
			continue
		}
		first := len(*t.out)
		t.answer(vm, purpose)
		(*t.out)[first].Packet.Target = t.r.reg.target(rec.target).id
	}
}

// replicate stores the record that a packet brought and sends the packet on to
// where it was going.
func (t *turn) replicate() {
	if t.snap.paused {
		t.whilePaused()
		return
	}
	from := t.p.Route.From
	rec := t.take()
	switch {
	case rec == nil:
		// The table is full or the record unusable. The packet still has
		// to arrive.
		t.carryOn()
	case rec.finished():
		t.answer(from, baobabstep.PurposeForget)
		t.late(rec)
	case t.p.FromTarget && t.p.Target != t.r.reg.target(rec.target).id:
		t.count(EventDroppedWrongTarget)
		t.teach(from, rec)
	case t.p.FromTarget:
		t.heardTarget(rec)
		t.confirmCopy(from)
		t.emit(baobabstep.DestCaller)
	default:
		rec.fromCaller = t.tick
		if t.p.Kind != baobabstep.KindOpen && rec.state == StateEstablished {
			rec.detail = detailInUse
		}
		if t.disagrees(rec) {
			t.teach(from, rec)
		} else {
			t.confirmCopy(from)
		}
		if tg := t.r.reg.target(rec.target); t.mayReach(rec, tg) {
			t.straight(tg)
		}
	}
}

// confirmCopy tells the sender that its record is stored. Opens and acceptances
// need no confirmation: the caller's next packet is one.
func (t *turn) confirmCopy(from baobabstep.VMID) {
	if t.p.Kind == baobabstep.KindData || t.p.Kind == baobabstep.KindProbe {
		t.answer(from, baobabstep.PurposeStored)
	}
}

// whilePaused handles a packet that came with a record at a VM that does not
// trust itself. The sender's decision stands: a record of this VM's own that
// the caller is not known to use gives way to it. If the caller uses another
// target, the packet is dropped rather than sent to a second one. So is an open,
// which may have waited here for as long as the pause was: its target may be
// leaving by now, and the caller repeats it by another way.
func (t *turn) whilePaused() {
	if t.p.Kind == baobabstep.KindOpen && !t.p.FromTarget {
		t.count(EventDroppedPaused)
		return
	}
	rec := t.find()
	if rec != nil && rec.live() && t.r.reg.target(rec.target).id != t.p.Route.Record.Target {
		if rec.detail == detailInUse {
			t.count(EventDroppedPaused)
			t.teach(t.p.Route.From, rec)
			return
		}
		t.drop(rec)
	}
	t.take()
	t.carryOn()
}

// carryOn sends a packet on by the record that it carries, without storing it.
func (t *turn) carryOn() {
	in := t.p.Route.Record
	if t.p.FromTarget && in.Target != 0 && in.Target == t.p.Target {
		t.emit(baobabstep.DestCaller)
		return
	}
	i, found := t.r.reg.findTarget(in.Target, in.Service)
	if t.p.FromTarget || !found || t.r.reg.target(i).taken.Load() {
		t.count(EventDroppedUnknown)
		return
	}
	s := t.emit(baobabstep.DestTarget)
	s.Address = t.r.reg.target(i).address
	s.Packet.Service, s.Packet.Target = in.Service, in.Target
}

// learn stores a record that another VM sent.
func (t *turn) learn() {
	from := t.p.Route.From
	if t.snap.paused && t.find() != nil {
		return
	}
	rec := t.take()
	switch {
	case rec == nil:
		return
	case rec.finished():
		t.answer(from, baobabstep.PurposeForget)
	case t.disagrees(rec):
		t.teach(from, rec)
	default:
		t.answer(from, baobabstep.PurposeStored)
	}
}

// disagrees tells whether the sender of the packet's record has to learn better.
func (t *turn) disagrees(rec *record) bool {
	in := t.p.Route.Record
	return t.r.reg.target(rec.target).id != in.Target || rec.state == StateEstablished && !in.Established
}

// identity returns the packet's record with the fields that Beats compares, as
// this VM would have stored it.
func (t *turn) identity() baobabstep.Record {
	in := t.p.Route.Record
	in.Version = uint64(clampVersion(in.Version))
	in.Attempt = min(in.Attempt, maxAttempts)
	return in
}

// take merges the packet's record into the table and returns the record that
// is in force then, or nil if there is none.
//
// Two records of one flow arise when two VMs held it at once, such as on two
// sides of a partition. The order of Beats makes all VMs keep the same one;
// the target of the other is told, since it would hold the flow for nobody.
func (t *turn) take() *record {
	in := t.identity()
	if in.Target == 0 || in.Service == 0 {
		t.count(EventDroppedInvalid)
		return nil
	}
	rec := t.find()
	if rec == nil {
		return t.store(in)
	}
	if rec.finished() {
		return rec
	}
	mine := t.wire(rec)
	switch {
	case mine.Target == in.Target:
		t.merge(rec, mine, in)
	case mine.Confirmed && in.Confirmed:
		t.endBoth(rec, in)
	case Beats(in, mine):
		t.adopt(rec, mine, in)
	default:
		t.conflict(mine, in)
		t.resetLoser(in)
	}
	return rec
}

// merge takes in what another VM knows of the same flow on the same target.
func (t *turn) merge(rec *record, mine, in baobabstep.Record) {
	if Beats(in, mine) {
		rec.version = clampVersion(in.Version)
		rec.setAttempt(in.Attempt)
	}
	t.accept(rec, in)
	if in.Established || !mine.Established {
		t.noteCopy(rec)
	}
}

// accept takes over from in what its target and caller are known to have done.
func (t *turn) accept(rec *record, in baobabstep.Record) {
	if in.Established && rec.state == StateOpening {
		t.s.enter(rec, StateEstablished, confirm)
	}
	if in.Confirmed {
		rec.detail = detailInUse
	}
}

// endBoth ends a flow that its caller used on two targets, such as on two sides
// of a partition. Neither target has seen all of it, so to go on with one of
// them would be a guess: all ends get a reset.
func (t *turn) endBoth(rec *record, in baobabstep.Record) {
	t.conflict(t.wire(rec), in)
	t.resetLoser(in)
	t.breakOff(rec, baobabstep.CodeUnknownFlow)
}

// store adds the record that a packet brought.
func (t *turn) store(in baobabstep.Record) *record {
	sv, known := t.r.reg.findService(t.p.Flow.Service, in.Service)
	if !known || !t.roomForCopy(in.Established) {
		t.count(EventDroppedUnknown)
		return nil
	}
	tg := t.r.reg.learnTarget(in)
	t.forgetSearch()
	t.count(EventLearned)
	rec := t.create(sv, StateOpening, in.Age)
	t.aim(rec, tg, false)
	rec.version = clampVersion(in.Version)
	rec.setAttempt(in.Attempt)
	t.accept(rec, in)
	t.evaluate(rec)
	t.noteCopy(rec)
	return rec
}

// roomForCopy bounds the copies of half-open flows to twice the share that this
// VM allows itself: other holders keep to the same share.
func (t *turn) roomForCopy(established bool) bool {
	if t.s.used >= max(1, t.r.o.MaxFlows/len(t.r.shards)) {
		return false
	}
	return established || t.s.half < 2*t.r.halfOpenShare()
}

// adopt lets the incoming record of another target win over the present one.
func (t *turn) adopt(rec *record, mine, in baobabstep.Record) {
	t.conflict(mine, in)
	t.resetTarget(rec, baobabstep.CodeUnknownFlow)
	tg := t.r.reg.learnTarget(in)
	t.setTarget(rec, tg)
	rec.version = clampVersion(in.Version)
	rec.setAttempt(in.Attempt)
	rec.detail = 0
	t.accept(rec, in)
	clearCopied(rec)
	t.noteCopy(rec)
}

func (t *turn) conflict(a, b baobabstep.Record) {
	t.count(EventConflict)
	if a.Established && b.Established {
		t.count(EventConflictOfTwo)
	}
}

// resetLoser tells the target of a record that lost to let the flow go.
func (t *turn) resetLoser(in baobabstep.Record) {
	if i, found := t.r.reg.findTarget(in.Target, in.Service); found {
		t.sendReset(t.r.reg.target(i), baobabstep.CodeUnknownFlow)
	}
}

// noteCopy notes that the sender of the packet's record has the same one.
func (t *turn) noteCopy(rec *record) {
	t.evaluate(rec)
	if o := t.owners(); o.Has(t.r.o.Self) && o.Other(t.r.o.Self) == t.p.Route.From {
		t.setCopied(rec)
	}
}

// stored notes that another VM confirmed a copy.
func (t *turn) stored() {
	rec := t.find()
	if rec == nil || !rec.live() {
		return
	}
	t.evaluate(rec)
	o := t.owners()
	if o.Has(t.p.Route.From) {
		t.count(EventConfirmed)
		t.setCopied(rec)
	}
}

// forgetRecord ends a flow that ended at another VM. An established flow only ends
// by a message that names its target: the message may be late, and the key in
// use for another flow.
func (t *turn) forgetRecord() {
	rec := t.find()
	if rec == nil || !rec.live() {
		return
	}
	if t.p.Target != 0 && t.p.Target != t.r.reg.target(rec.target).id {
		t.count(EventDroppedLate)
		return
	}
	if rec.state == StateOpening {
		t.drop(rec)
		return
	}
	t.end(rec, StateClosed, baobabstep.CodeOK)
}
