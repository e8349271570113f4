package flow

import "baobabstep"

// closeFlow ends a flow whose caller or target closed it. Like the copy at the
// open, the end costs a hop and no message of its own: the close passes the
// second copy, which forgets the flow, then the holder, which forgets it and
// sends the close to its end.
//
//	close: entry -> second copy -> holder -> target
//
// With a message for each end, a VM that ends thousands of flows a second would
// spend many times its control budget on them. The order matters: the holder is
// the one that probes quiet flows. If the close is lost on any leg before the
// holder, the holder still has the record, finds that the caller has gone, and
// ends the flow at the target and the second copy within half a minute. If the
// holder died with it, the second copy sends it again; see repeatClose.
func (t *turn) closeFlow(rec *record) {
	t.evaluate(rec)
	tg := t.r.reg.target(rec.target)
	if !t.p.FromTarget && !t.mayReach(rec, tg) {
		return
	}
	other := t.otherOwner()
	owner := rec.has(flagHolder) || rec.has(flagSecond)
	switch {
	case other == 0 || !owner || rec.state != StateEstablished:
		t.closeStraight(rec, tg)
	case rec.has(flagSecond):
		t.closeBySecond(rec, tg, other)
	case t.tried(other):
		// The second copy has no record to forget.
		t.closeStraight(rec, tg)
	default:
		t.forward(other)
	}
}

// closeBySecond forgets the flow at the second copy and sends the close on to
// the holder.
func (t *turn) closeBySecond(rec *record, tg *target, holder baobabstep.VMID) {
	t.count(EventClosed)
	s := t.emit(baobabstep.DestVM)
	s.VM = holder
	s.Packet.Service, s.Packet.Target = tg.service, tg.id
	s.Packet.Route.Purpose = baobabstep.PurposeForget
	s.Packet.Route.From = t.r.o.Self
	t.end(rec, StateClosed, baobabstep.CodeOK)
	if !t.p.FromTarget {
		rec.set(flagVia)
		rec.copies = t.owners().Fingerprint()
	}
}

// repeatClose sends the close of an ended flow again, straight to the target, if
// the owners changed after it was sent on by way of the holder: that one may have
// died with the close, and nobody else knows that the target holds a flow for
// nobody. A target that had it already takes no notice.
func (t *turn) repeatClose(rec *record) {
	if !rec.has(flagVia) || rec.gen == t.snap.gen {
		return
	}
	rec.gen = t.snap.gen
	if rec.copies == t.owners().Fingerprint() {
		return
	}
	rec.clear(flagVia)
	tg := t.r.reg.target(rec.target)
	if tg.taken.Load() {
		return
	}
	s := t.control(baobabstep.DestTarget, baobabstep.KindClose, false)
	s.Address = tg.address
	s.Packet.Service, s.Packet.Target = tg.service, tg.id
}

// closeStraight sends the close to its end and tells the owners beside it.
func (t *turn) closeStraight(rec *record, tg *target) {
	if t.p.FromTarget {
		t.emit(baobabstep.DestCaller)
	} else {
		t.straight(tg)
	}
	t.finish(rec, StateClosed, baobabstep.CodeOK)
}

// forget ends a flow that ended at another VM, and sends on the close that
// brought the news, if one did.
func (t *turn) forget() {
	t.forgetRecord()
	if t.p.Kind == baobabstep.KindClose {
		t.closeOnwards()
	}
}

func (t *turn) closeOnwards() {
	if t.p.FromTarget {
		t.emit(baobabstep.DestCaller)
		return
	}
	i, found := t.r.reg.findTarget(t.p.Target, t.p.Service)
	if !found || t.r.reg.target(i).taken.Load() {
		t.count(EventDroppedUnknown)
		return
	}
	t.straight(t.r.reg.target(i))
}
