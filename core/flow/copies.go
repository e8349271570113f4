package flow

import (
	"time"

	"baobabstep"
	"baobabstep/core/place"
)

// repairInterval is the time after which an unconfirmed copy is sent again.
const repairInterval = time.Second

// refreshRole updates the role cached in a record to the current owners.
func (t *task) refreshRole(rec *record) {
	if rec.gen == t.snap.gen {
		return
	}
	rec.gen = t.snap.gen
	o := t.owners()
	rec.clear(flagHolder | flagSecond | flagRepairSent | flagViaOwner | flagCopied)
	if rec.copyFingerprint == t.fingerprint(o) {
		rec.set(flagCopied)
	}
	if rec.state == StateEstablished && rec.detail != detailInUse {
		rec.detail = 0
	}
	switch t.r.opts.Self {
	case o.Holder:
		rec.set(flagHolder)
		t.countFlow(rec)
	case o.Second:
		rec.set(flagSecond)
	}
	if !rec.has(flagHolder) {
		t.uncountFlow(rec)
	}
}

// otherOwner returns the owner that should have a copy of this VM's record, or
// 0. A suspected VM is skipped, since packets to it are probably lost.
func (t *task) otherOwner() baobabstep.VMID {
	other := t.owners().Other(t.r.opts.Self)
	if other == t.r.opts.Self || t.isSuspect(other) {
		return 0
	}
	return other
}

// sendViaOther sends the packet through the other owner if that owner may lack
// the record, and reports whether it did. After one such packet, others go
// straight for repairInterval: if the other VM is dead, the packet is lost and
// its sender repeats it.
func (t *task) sendViaOther(rec *record) bool {
	t.refreshRole(rec)
	if !rec.live() || !mayCarryRecord(t.p.Kind) {
		return false
	}
	verify := !t.p.FromTarget && t.p.Kind != baobabstep.KindOpen && t.needsVerification(rec)
	if !verify && (rec.has(flagCopied) || !t.repairDue(rec)) {
		return false
	}
	if t.p.FromTarget && rec.has(flagViaOwner) && !rec.has(flagConfirmed) {
		// The acceptance was sent through the other owner. The
		// caller's next packet proves its arrival; if it was lost, the
		// caller repeats its open.
		return false
	}
	other := t.otherOwner()
	if other == 0 {
		t.count(EventSingleCopy)
		return false
	}
	t.count(EventReplicated)
	if rec.detail != detailVerifying {
		rec.lastRepair = uint16(t.tick)
		rec.set(flagRepairSent)
	}
	if verify {
		rec.detail = detailVerifying
	}
	if t.p.Kind == baobabstep.KindOpened {
		rec.set(flagViaOwner)
	}
	s := t.sendPacket(baobabstep.DestVM)
	s.VM = other
	s.Packet.Service, s.Packet.Target = t.r.reg.target(rec.target).service, t.r.reg.target(rec.target).id
	s.Packet.Version = t.snap.config.Version
	s.Packet.Route.Purpose = baobabstep.PurposeReplicate
	s.Packet.Route.From = t.r.opts.Self
	s.Packet.Route.Record = t.wireRecord(rec)
	return true
}

// mayCarryRecord reports whether a packet may carry a record through the other
// owner. Closes and resets may not: the copy would outlive the flow.
func mayCarryRecord(k baobabstep.Kind) bool {
	switch k {
	case baobabstep.KindOpen, baobabstep.KindOpened, baobabstep.KindData, baobabstep.KindProbe:
		return true
	}
	return false
}

// setCopied marks the record as stored by the current owners.
func (t *task) setCopied(rec *record) {
	rec.copyFingerprint = t.fingerprint(t.owners())
	rec.set(flagCopied)
}

// fingerprint identifies two owners and their epochs. The copy of a VM that
// left and came back does not count, since its memory may be lost.
func (t *task) fingerprint(o place.Owners) uint32 {
	epochs := t.snap.epochs[o.Holder].epoch + t.snap.epochs[o.Second].epoch
	return o.Fingerprint() + epochs<<1
}

// clearCopied marks the other owner's copy as outdated.
func clearCopied(rec *record) {
	rec.copyFingerprint = 0
	rec.clear(flagCopied)
}

func (t *task) repairDue(rec *record) bool {
	return !rec.has(flagRepairSent) || since16(t.tick, rec.lastRepair) >= ticks(repairInterval)
}

// wireRecord returns the record in the form sent to other VMs.
func (t *task) wireRecord(rec *record) baobabstep.Record {
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

func (t *task) age(rec *record) time.Duration {
	return time.Duration(max(0, int64(t.tick)-int64(rec.opened))) * tickLength
}

// sendRecord sends the record to another VM.
func (t *task) sendRecord(to baobabstep.VMID, rec *record) {
	s := t.sendControl(baobabstep.DestVM, baobabstep.KindProbe, false)
	s.VM = to
	s.Packet.Route.Purpose = baobabstep.PurposeLearn
	s.Packet.Route.From = t.r.opts.Self
	s.Packet.Route.Record = t.wireRecord(rec)
}

// sendNotice sends another VM a message without a record.
func (t *task) sendNotice(to baobabstep.VMID, purpose baobabstep.Purpose) {
	if to == 0 || to == t.r.opts.Self {
		return
	}
	s := t.sendControl(baobabstep.DestVM, baobabstep.KindProbe, false)
	s.VM = to
	s.Packet.Route.Purpose = purpose
	s.Packet.Route.From = t.r.opts.Self
}

// notifyOwners sends a message with the record's target to the other owners.
func (t *task) notifyOwners(purpose baobabstep.Purpose, rec *record) {
	o := t.owners()
	for _, vm := range [...]baobabstep.VMID{o.Holder, o.Second} {
		if vm == 0 || vm == t.r.opts.Self {
			continue
		}
		first := len(*t.out)
		t.sendNotice(vm, purpose)
		(*t.out)[first].Packet.Target = t.r.reg.target(rec.target).id
	}
}

// handleReplicate stores the record that a packet carries and sends the packet
// on to its destination.
func (t *task) handleReplicate() {
	if t.snap.paused {
		t.replicateWhilePaused()
		return
	}
	from := t.p.Route.From
	rec := t.mergeReceived()
	switch {
	case rec == nil:
		// The table is full or the record invalid. The packet is
		// delivered all the same.
		t.forwardByRecord()
	case rec.ended():
		t.sendNotice(from, baobabstep.PurposeForget)
		t.handleLatePacket(rec)
	case t.p.FromTarget && t.p.Target != t.r.reg.target(rec.target).id:
		t.count(EventDroppedWrongTarget)
		t.sendRecord(from, rec)
	case t.p.FromTarget:
		t.noteTargetPacket(rec)
		t.confirmCopy(from)
		t.sendPacket(baobabstep.DestCaller)
	default:
		rec.lastFromCaller = t.tick
		if t.p.Kind != baobabstep.KindOpen && rec.state == StateEstablished {
			rec.detail = detailInUse
		}
		if t.senderOutdated(rec) {
			t.sendRecord(from, rec)
		} else {
			t.confirmCopy(from)
		}
		if tg := t.r.reg.target(rec.target); t.checkService(rec, tg) {
			t.sendDirect(tg)
		}
	}
}

// confirmCopy tells the sender that its record is stored. Opens and
// acceptances need no confirmation, since the caller's next packet provides
// it.
func (t *task) confirmCopy(from baobabstep.VMID) {
	if t.p.Kind == baobabstep.KindData || t.p.Kind == baobabstep.KindProbe {
		t.sendNotice(from, baobabstep.PurposeStored)
	}
}

// replicateWhilePaused handles a packet with a record at a paused VM. The
// sender's record replaces one of this VM that the caller is not known to use.
// If the caller uses another target, the packet is dropped, so that it does
// not reach a second one. Opens are dropped too: one may have been queued here
// for the whole pause, its target may be leaving by now, and the caller
// repeats the open elsewhere.
func (t *task) replicateWhilePaused() {
	if t.p.Kind == baobabstep.KindOpen && !t.p.FromTarget {
		t.count(EventDroppedPaused)
		return
	}
	rec := t.findRecord()
	if rec != nil && rec.live() && t.r.reg.target(rec.target).id != t.p.Route.Record.Target {
		if rec.detail == detailInUse {
			t.count(EventDroppedPaused)
			t.sendRecord(t.p.Route.From, rec)
			return
		}
		t.dropRecord(rec)
	}
	t.mergeReceived()
	t.forwardByRecord()
}

// forwardByRecord sends a packet on according to the record it carries,
// without storing the record.
func (t *task) forwardByRecord() {
	in := t.p.Route.Record
	if t.p.FromTarget && in.Target != 0 && in.Target == t.p.Target {
		t.sendPacket(baobabstep.DestCaller)
		return
	}
	i, found := t.r.reg.findTarget(in.Target, in.Service)
	if t.p.FromTarget || !found || t.r.reg.target(i).addressTaken.Load() {
		t.count(EventDroppedUnknown)
		return
	}
	s := t.sendPacket(baobabstep.DestTarget)
	s.Address = t.r.reg.target(i).address
	s.Packet.Service, s.Packet.Target = in.Service, in.Target
}

// handleLearn stores a record that another VM sent.
func (t *task) handleLearn() {
	from := t.p.Route.From
	if t.snap.paused && t.findRecord() != nil {
		return
	}
	rec := t.mergeReceived()
	switch {
	case rec == nil:
		return
	case rec.ended():
		t.sendNotice(from, baobabstep.PurposeForget)
	case t.senderOutdated(rec):
		t.sendRecord(from, rec)
	default:
		t.sendNotice(from, baobabstep.PurposeStored)
	}
}

// senderOutdated reports whether the sender of the packet's record needs this
// VM's record.
func (t *task) senderOutdated(rec *record) bool {
	in := t.p.Route.Record
	return t.r.reg.target(rec.target).id != in.Target || rec.state == StateEstablished && !in.Established
}

// normalizedRecord returns the packet's record with the fields that
// HasPrecedence compares limited to the sizes stored in a record.
func (t *task) normalizedRecord() baobabstep.Record {
	in := t.p.Route.Record
	in.Version = uint64(clampVersion(in.Version))
	in.Attempt = min(in.Attempt, maxAttempts)
	return in
}

// mergeReceived merges the packet's record into the table and returns the
// resulting record, or nil if there is none.
//
// Two records of one flow arise when two VMs held it at once, such as on two
// sides of a partition. The order of HasPrecedence makes all VMs keep the same
// one; the target of the other gets a reset, since no VM would send it packets
// of the flow.
func (t *task) mergeReceived() *record {
	in := t.normalizedRecord()
	if in.Target == 0 || in.Service == 0 {
		t.count(EventDroppedInvalid)
		return nil
	}
	rec := t.findRecord()
	if rec == nil {
		return t.storeRecord(in)
	}
	if rec.ended() {
		return rec
	}
	own := t.wireRecord(rec)
	switch {
	case own.Target == in.Target:
		t.mergeSameTarget(rec, own, in)
	case own.Confirmed && in.Confirmed:
		t.resetBoth(rec, in)
	case HasPrecedence(in, own):
		t.replaceRecord(rec, own, in)
	default:
		t.countConflict(own, in)
		t.resetLosingTarget(in)
	}
	return rec
}

// mergeSameTarget merges a record of the same flow with the same target.
func (t *task) mergeSameTarget(rec *record, own, in baobabstep.Record) {
	if HasPrecedence(in, own) {
		rec.version = clampVersion(in.Version)
		rec.setAttempt(in.Attempt)
	}
	t.applyProgress(rec, in)
	if in.Established || !own.Established {
		t.noteSenderCopy(rec)
	}
}

// applyProgress marks the record established or in use if the received record
// is.
func (t *task) applyProgress(rec *record, in baobabstep.Record) {
	if in.Established && rec.state == StateOpening {
		t.s.setState(rec, StateEstablished, confirm)
	}
	if in.Confirmed {
		rec.detail = detailInUse
	}
}

// resetBoth ends a flow that its caller used on two targets, such as on two
// sides of a partition. Each target has received only part of the data, so the
// caller and both targets get a reset.
func (t *task) resetBoth(rec *record, in baobabstep.Record) {
	t.countConflict(t.wireRecord(rec), in)
	t.resetLosingTarget(in)
	t.resetFlow(rec, baobabstep.CodeUnknownFlow)
}

// storeRecord adds the record that a packet carries.
func (t *task) storeRecord(in baobabstep.Record) *record {
	sv, known := t.r.reg.findService(t.p.Flow.Service, in.Service)
	if !known || !t.roomForCopy(in.Established) {
		t.count(EventDroppedUnknown)
		return nil
	}
	tg := t.r.reg.findOrAddTarget(in)
	t.dropSearch()
	t.count(EventLearned)
	rec := t.createRecord(sv, StateOpening, in.Age)
	t.assignTarget(rec, tg, false)
	rec.version = clampVersion(in.Version)
	rec.setAttempt(in.Attempt)
	t.applyProgress(rec, in)
	t.refreshRole(rec)
	t.noteSenderCopy(rec)
	return rec
}

// roomForCopy limits half-open copies to twice this VM's own half-open share,
// since the other holders have the same share.
func (t *task) roomForCopy(established bool) bool {
	if t.s.used >= max(1, t.r.opts.MaxFlows/len(t.r.shards)) {
		return false
	}
	return established || t.s.halfOpenCount < 2*t.r.halfOpenShare()
}

// replaceRecord replaces the record by a winning one with another target.
func (t *task) replaceRecord(rec *record, own, in baobabstep.Record) {
	t.countConflict(own, in)
	t.resetTarget(rec, baobabstep.CodeUnknownFlow)
	tg := t.r.reg.findOrAddTarget(in)
	t.changeTarget(rec, tg)
	rec.version = clampVersion(in.Version)
	rec.setAttempt(in.Attempt)
	rec.detail = 0
	t.applyProgress(rec, in)
	clearCopied(rec)
	t.noteSenderCopy(rec)
}

func (t *task) countConflict(a, b baobabstep.Record) {
	t.count(EventConflict)
	if a.Established && b.Established {
		t.count(EventConflictOfEstablished)
	}
}

// resetLosingTarget resets the flow at the target of a losing record.
func (t *task) resetLosingTarget(in baobabstep.Record) {
	if i, found := t.r.reg.findTarget(in.Target, in.Service); found {
		t.sendReset(t.r.reg.target(i), baobabstep.CodeUnknownFlow)
	}
}

// noteSenderCopy marks the record as copied if its sender is the other owner.
func (t *task) noteSenderCopy(rec *record) {
	t.refreshRole(rec)
	if o := t.owners(); o.Has(t.r.opts.Self) && o.Other(t.r.opts.Self) == t.p.Route.From {
		t.setCopied(rec)
	}
}

// handleStored handles the confirmation of a copy.
func (t *task) handleStored() {
	rec := t.findRecord()
	if rec == nil || !rec.live() {
		return
	}
	t.refreshRole(rec)
	o := t.owners()
	if o.Has(t.p.Route.From) {
		t.count(EventCopyConfirmed)
		t.setCopied(rec)
	}
}

// endByNotice ends a flow that ended at another VM. If the notice names a
// target, it must be the record's: the notice may be late, and the key in use
// for another flow.
func (t *task) endByNotice() {
	rec := t.findRecord()
	if rec == nil || !rec.live() {
		return
	}
	if t.p.Target != 0 && t.p.Target != t.r.reg.target(rec.target).id {
		t.count(EventDroppedLate)
		return
	}
	if rec.state == StateOpening {
		t.dropRecord(rec)
		return
	}
	t.setEnded(rec, StateClosed, baobabstep.CodeOK)
}
