package flow

import (
	"time"

	"baobabstep"
	"baobabstep/core/place"
)

// handleUnknown handles a packet without a record. It is forwarded to the VMs
// that may have the record; once all were asked, the holder decides.
func (t *task) handleUnknown() {
	if t.p.Route.Exhausted {
		t.handleExhausted()
		return
	}
	if t.p.FromTarget && t.p.Kind == baobabstep.KindProbeAck && t.ownProbe() {
		// This answers searchTargets, which runs after all VMs were
		// asked.
		t.decideAsHolder()
		return
	}
	if next := t.nextToAsk(); next != 0 {
		t.forward(next)
		return
	}
	o := t.owners()
	if o.Holder == 0 {
		t.count(EventDroppedUnknown)
		return
	}
	t.handleExhausted()
}

// handleExhausted handles a packet for which no VM has a record: the holder
// decides, others forward the packet to the holder. If two VMs consider each
// other the holder, the packet is forwarded back once, and the VM that was
// already asked decides.
func (t *task) handleExhausted() {
	holder := t.owners().Holder
	replacesHolder := t.isSuspect(holder) && t.owners().Second == t.r.opts.Self
	if holder == t.r.opts.Self || replacesHolder || t.tried(holder) || t.p.Route.NTried >= baobabstep.MaxTried {
		t.decideAsHolder()
		return
	}
	t.count(EventReturnedExhausted)
	t.forward(holder)
	(*t.out)[len(*t.out)-1].Packet.Route.Exhausted = true
}

// nextToAsk returns the next VM that may have the record, or 0.
func (t *task) nextToAsk() baobabstep.VMID {
	if t.p.Route.NTried >= baobabstep.MaxTried {
		return 0
	}
	if t.p.Kind == baobabstep.KindOpen && !t.p.FromTarget {
		return t.nextForOpen()
	}
	o := t.owners()
	if t.p.Kind == baobabstep.KindClose {
		// A close visits the second copy before the holder; see
		// closeFlow.
		o.Holder, o.Second = o.Second, o.Holder
	}
	if next := t.pickUntried(o); next != 0 {
		return next
	}
	for i := range t.snap.history {
		if next := t.pickUntried(t.ownersUnder(t.snap.history[i].Table)); next != 0 {
			return next
		}
	}
	if previous := t.previousDataCentres(); previous != nil {
		return t.pickUntried(t.snap.table.Owners(t.hash, previous))
	}
	return 0
}

// nextForOpen returns the next VM for an open, or 0 if this VM should handle
// it. The open may be a repetition whose record is with the previous owners;
// missing that record would open the flow on a second target. Previous owners
// are asked only for Options.OpenSearchWindow after a view change, and only if
// they share no VM with the current ones: a shared holder has the record
// itself, and a shared second copy is on the open's path.
func (t *task) nextForOpen() baobabstep.VMID {
	o := t.owners()
	for i := range t.snap.history {
		past := &t.snap.history[i]
		if t.now.Sub(past.Until) > t.r.opts.OpenSearchWindow {
			break
		}
		before := t.ownersUnder(past.Table)
		if before.Has(o.Holder) || before.Has(o.Second) || before.Has(t.r.opts.Self) {
			continue
		}
		if next := t.pickUntried(before); next != 0 {
			t.count(EventAskedPreviousOwner)
			return next
		}
	}
	if o.Holder == t.r.opts.Self {
		return 0
	}
	if t.isSuspect(o.Holder) && o.Second == t.r.opts.Self {
		return 0
	}
	return t.pickUntried(o)
}

// previousDataCentres returns the service's data centres before the last
// change of the list.
func (t *task) previousDataCentres() []string {
	i, found := t.r.reg.findService(t.p.Flow.Service, 0)
	if !found {
		return nil
	}
	return t.r.reg.service(i).previous
}

// pickUntried returns the first owner that can be asked, or 0. Suspected VMs
// are skipped: every repetition of the packet would be lost.
func (t *task) pickUntried(o place.Owners) baobabstep.VMID {
	for _, vm := range [...]baobabstep.VMID{o.Holder, o.Second} {
		state, member := t.snap.states[vm]
		if member && state != baobabstep.VMSuspect && vm != t.r.opts.Self && !t.tried(vm) {
			return vm
		}
	}
	return 0
}

func (t *task) tried(vm baobabstep.VMID) bool {
	for _, v := range t.p.Route.Tried[:t.p.Route.NTried] {
		if v == vm {
			return true
		}
	}
	return false
}

// forward sends the packet to another VM that may have the record, and adds
// this VM to the list of those that do not.
func (t *task) forward(to baobabstep.VMID) {
	if to == 0 || to == t.r.opts.Self {
		t.count(EventDroppedLoop)
		return
	}
	route := &t.relay(to).Packet.Route
	if int(route.NTried) < len(route.Tried) && !t.tried(t.r.opts.Self) {
		route.Tried[route.NTried] = t.r.opts.Self
		route.NTried++
	}
}

// relay sends the packet to another VM without adding this VM to Route.Tried.
func (t *task) relay(to baobabstep.VMID) *baobabstep.OutgoingPacket {
	t.count(EventForwarded)
	s := t.sendPacket(baobabstep.DestVM)
	s.VM = to
	s.Packet.Route = t.p.Route
	s.Packet.Route.Purpose = baobabstep.PurposeForward
	s.Packet.Route.From = t.r.opts.Self
	return s
}

// relayWhilePaused forwards a packet to another owner. A paused VM decides
// nothing, since its flows may have moved and its records may be outdated.
func (t *task) relayWhilePaused() {
	next := t.pickUntried(t.owners())
	for i := 0; next == 0 && i < len(t.snap.history); i++ {
		next = t.pickUntried(t.ownersUnder(t.snap.history[i].Table))
	}
	if next == 0 || t.p.Route.NTried >= baobabstep.MaxTried {
		t.count(EventDroppedPaused)
		return
	}
	t.forward(next)
}

// decideAsHolder handles, as holder, a packet for which no VM has a record.
func (t *task) decideAsHolder() {
	switch {
	case t.p.FromTarget:
		t.rebuildRecord()
	case t.p.Kind == baobabstep.KindOpen:
		t.openFlow()
	case t.p.Kind == baobabstep.KindData || t.p.Kind == baobabstep.KindProbe:
		t.handleLostFlow()
	default:
		t.count(EventDroppedUnknown)
	}
}

// rebuildRecord creates a record from a target's packet, since the target is
// the authority on whether it has the flow. Closes and resets create no
// record.
func (t *task) rebuildRecord() {
	switch t.p.Kind {
	case baobabstep.KindOpened, baobabstep.KindData, baobabstep.KindProbe, baobabstep.KindProbeAck:
	default:
		t.count(EventDroppedUnknown)
		return
	}
	tg, valid := t.sourceTarget()
	sv, known := t.r.reg.findService(t.p.Flow.Service, t.p.Service)
	if !valid || !known {
		t.count(EventDroppedWrongTarget)
		return
	}
	t.dropSearch()
	t.count(EventRecoveredFromTarget)
	rec := t.createRecord(sv, StateEstablished, 0)
	t.assignTarget(rec, tg, false)
	rec.version = clampVersion(t.p.Version)
	t.refreshRole(rec)
	if t.p.Kind == baobabstep.KindProbeAck {
		if other := t.otherOwner(); other != 0 {
			t.sendRecord(other, rec)
		}
		return
	}
	t.sendToCaller(rec)
}

// searchTTL is how long a search for a flow is remembered.
const searchTTL = 5 * time.Second

// maxSearched bounds the targets probed for one flow.
const maxSearched = 64

// handleLostFlow handles a caller's packet for a flow without a record. All
// VMs with the record may have died while the target still has the flow, so
// the targets are probed first; an acknowledgement rebuilds the record. The
// packet is dropped, and the caller repeats it. If no target has answered by
// then, the caller gets a reset.
func (t *task) handleLostFlow() {
	searchRec := t.s.find(&t.hash)
	if searchRec == nil {
		t.searchTargets()
		return
	}
	switch waited := since(t.tick, searchRec.lastFromCaller); {
	case waited < ticks(t.r.opts.SearchTimeout):
		t.count(EventDroppedUnknown)
	case t.mayBeIsolated():
		t.count(EventDroppedUnsure)
		t.dropRecord(searchRec)
	default:
		t.count(EventUnknownFlowReset)
		t.dropRecord(searchRec)
		t.resetCaller(baobabstep.CodeUnknownFlow, 0)
	}
}

// searchTargets probes the targets of the service for the flow.
func (t *task) searchTargets() {
	sv, found := t.r.reg.findService(t.p.Flow.Service, 0)
	if !found || !t.roomForOpen() {
		t.count(EventDroppedUnknown)
		return
	}
	id := t.r.reg.service(sv).id
	asked := 0
	t.r.reg.targetsOf(id, func(*target) { asked++ })
	if !t.r.searches.take(t.now, float64(min(asked, maxSearched))) {
		t.count(EventTargetSearchLimit)
		return
	}
	t.count(EventTargetSearch)
	t.createRecord(sv, StateSearching, 0)
	asked = 0
	t.r.reg.targetsOf(id, func(tg *target) {
		if asked++; asked > maxSearched || tg.addressTaken.Load() {
			return
		}
		s := t.sendControl(baobabstep.DestTarget, baobabstep.KindProbe, false)
		s.Address = tg.address
		s.Packet.Seq = probeSeq(t.r.opts.Self)
		s.Packet.Service, s.Packet.Target = tg.service, tg.id
	})
}

// dropSearch removes the flow's entry in StateSearching.
func (t *task) dropSearch() {
	if rec := t.s.find(&t.hash); rec != nil && rec.state == StateSearching {
		t.dropRecord(rec)
	}
}
