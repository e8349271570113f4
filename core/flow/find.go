package flow

import (
	"time"

	"baobabstep"
	"baobabstep/core/place"
)

// unknown handles a packet without a record: it goes to the VMs that may have
// one, and if all were asked, the holder decides.
func (t *turn) unknown() {
	if t.p.Route.Exhausted {
		t.exhausted()
		return
	}
	if t.p.FromTarget && t.p.Kind == baobabstep.KindProbeAck && t.ownProbe() {
		// The answer to a search, which began when all had been asked.
		t.decide()
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
	t.exhausted()
}

// exhausted decides for a packet that no VM knew, if this VM holds the flow.
// Two VMs that each take the other for the holder pass a packet to and fro
// once, then the one that was asked decides.
func (t *turn) exhausted() {
	holder := t.owners().Holder
	standsIn := t.suspect(holder) && t.owners().Second == t.r.o.Self
	if holder == t.r.o.Self || standsIn || t.tried(holder) || t.p.Route.NTried >= baobabstep.MaxTried {
		t.decide()
		return
	}
	t.count(EventReturned)
	t.forward(holder)
	(*t.out)[len(*t.out)-1].Packet.Route.Exhausted = true
}

// nextToAsk returns the next VM that may have the record, or 0.
func (t *turn) nextToAsk() baobabstep.VMID {
	if t.p.Route.NTried >= baobabstep.MaxTried {
		return 0
	}
	if t.p.Kind == baobabstep.KindOpen && !t.p.FromTarget {
		return t.nextForOpen()
	}
	o := t.owners()
	if t.p.Kind == baobabstep.KindClose {
		// A close passes the second copy before the holder; see closeFlow.
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

// nextForOpen returns where an open goes next. It may be a repetition, and
// the record with the previous owners; a second target would then hold the
// flow as well. Previous owners are asked only for a while after a change, and
// only if they share no VM with the present ones: a shared holder has the
// record itself, and a shared second copy is on the open's way.
func (t *turn) nextForOpen() baobabstep.VMID {
	o := t.owners()
	for i := range t.snap.history {
		past := &t.snap.history[i]
		if t.now.Sub(past.Until) > t.r.o.OpenSearch {
			break
		}
		before := t.ownersUnder(past.Table)
		if before.Has(o.Holder) || before.Has(o.Second) || before.Has(t.r.o.Self) {
			continue
		}
		if next := t.pickUntried(before); next != 0 {
			t.count(EventAsked)
			return next
		}
	}
	if o.Holder == t.r.o.Self {
		return 0
	}
	if t.suspect(o.Holder) && o.Second == t.r.o.Self {
		return 0
	}
	return t.pickUntried(o)
}

// previousDataCentres returns those that the service had before its list last
// changed.
func (t *turn) previousDataCentres() []string {
	i, found := t.r.reg.findService(t.p.Flow.Service, 0)
	if !found {
		return nil
	}
	return t.r.reg.service(i).previous
}

// pickUntried returns the first owner worth asking, or 0. A suspected VM is
// not asked: the packet would be lost with it, each time it is repeated.
func (t *turn) pickUntried(o place.Owners) baobabstep.VMID {
	for _, vm := range [...]baobabstep.VMID{o.Holder, o.Second} {
		state, member := t.snap.states[vm]
		if member && state != baobabstep.VMSuspect && vm != t.r.o.Self && !t.tried(vm) {
			return vm
		}
	}
	return 0
}

func (t *turn) tried(vm baobabstep.VMID) bool {
	for _, v := range t.p.Route.Tried[:t.p.Route.NTried] {
		if v == vm {
			return true
		}
	}
	return false
}

// forward passes the packet to another VM that may have the record, noting
// that this one has none.
func (t *turn) forward(to baobabstep.VMID) {
	if to == 0 || to == t.r.o.Self {
		t.count(EventDroppedLoop)
		return
	}
	route := &t.pass(to).Packet.Route
	if int(route.NTried) < len(route.Tried) && !t.tried(t.r.o.Self) {
		route.Tried[route.NTried] = t.r.o.Self
		route.NTried++
	}
}

// pass sends the packet to another VM without a word on this VM's records.
func (t *turn) pass(to baobabstep.VMID) *baobabstep.Send {
	t.count(EventForwarded)
	s := t.emit(baobabstep.DestVM)
	s.VM = to
	s.Packet.Route = t.p.Route
	s.Packet.Route.Purpose = baobabstep.PurposeForward
	s.Packet.Route.From = t.r.o.Self
	return s
}

// passOn hands a packet to another VM, since a paused one decides nothing: its
// flows may have moved, and its records may be out of date.
func (t *turn) passOn() {
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

// decide acts as holder on a packet that no VM knew.
func (t *turn) decide() {
	switch {
	case t.p.FromTarget:
		t.rebuild()
	case t.p.Kind == baobabstep.KindOpen:
		t.open()
	case t.p.Kind == baobabstep.KindData || t.p.Kind == baobabstep.KindProbe:
		t.lost()
	default:
		t.count(EventDroppedUnknown)
	}
}

// rebuild makes the record anew from a target's packet: the target is the
// authority on holding the flow. Ends of flows need none.
func (t *turn) rebuild() {
	switch t.p.Kind {
	case baobabstep.KindOpened, baobabstep.KindData, baobabstep.KindProbe, baobabstep.KindProbeAck:
	default:
		t.count(EventDroppedUnknown)
		return
	}
	tg, valid := t.vouched()
	sv, known := t.r.reg.findService(t.p.Flow.Service, t.p.Service)
	if !valid || !known {
		t.count(EventDroppedWrongTarget)
		return
	}
	t.forgetSearch()
	t.count(EventRecovered)
	rec := t.create(sv, StateEstablished, 0)
	t.aim(rec, tg, false)
	rec.version = clampVersion(t.p.Version)
	t.evaluate(rec)
	if t.p.Kind == baobabstep.KindProbeAck {
		if other := t.otherOwner(); other != 0 {
			t.teach(other, rec)
		}
		return
	}
	t.toCaller(rec)
}

// searchTTL is how long a search for a flow is remembered.
const searchTTL = 5 * time.Second

// maxSearched bounds the targets asked for one flow.
const maxSearched = 64

// lost answers a caller whose flow no VM knows. All VMs with a copy may have
// died while the flow lives on at its target, so the targets are asked first;
// the one that holds it answers, which rebuilds the record. The packet itself
// is dropped, and the caller repeats it. If no target has answered when it
// does, the flow is gone and the caller is told.
func (t *turn) lost() {
	mark := t.s.find(&t.hash)
	if mark == nil {
		t.search()
		return
	}
	switch waited := since(t.tick, mark.fromCaller); {
	case waited < ticks(t.r.o.SearchWait):
		t.count(EventDroppedUnknown)
	case t.unsure():
		t.count(EventDroppedUnsure)
		t.drop(mark)
	default:
		t.count(EventUnknownReset)
		t.drop(mark)
		t.refuseCaller(baobabstep.CodeUnknownFlow, 0)
	}
}

// search asks the targets of the service for the flow.
func (t *turn) search() {
	sv, found := t.r.reg.findService(t.p.Flow.Service, 0)
	if !found || !t.roomForOpen() {
		t.count(EventDroppedUnknown)
		return
	}
	id := t.r.reg.service(sv).id
	asked := 0
	t.r.reg.targetsOf(id, func(*target) { asked++ })
	if !t.r.searches.take(t.now, float64(min(asked, maxSearched))) {
		t.count(EventSearchLimit)
		return
	}
	t.count(EventSearched)
	t.create(sv, StateSearching, 0)
	asked = 0
	t.r.reg.targetsOf(id, func(tg *target) {
		if asked++; asked > maxSearched || tg.taken.Load() {
			return
		}
		s := t.control(baobabstep.DestTarget, baobabstep.KindProbe, false)
		s.Address = tg.address
		s.Packet.Seq = probeSeq(t.r.o.Self)
		s.Packet.Service, s.Packet.Target = tg.service, tg.id
	})
}

// forgetSearch removes the mark of a search for the flow.
func (t *turn) forgetSearch() {
	if rec := t.s.find(&t.hash); rec != nil && rec.state == StateSearching {
		t.drop(rec)
	}
}
