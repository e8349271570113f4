package flow

import "baobabstep"

// closeFlow ends a flow that its caller or target closed. Like replication at
// the open, the end costs a hop but no message of its own: the close passes
// through the second copy, which ends its record, then the holder, which does
// the same and sends the close to the other end.
//
//	close: entry -> second copy -> holder -> target
//
// Separate messages for each end would cost a VM that ends thousands of flows
// a second many times its control budget. The holder comes last because it
// probes idle flows. If the close is lost before it reaches the holder, the
// holder finds within half a minute that the caller is gone, and ends the flow
// at the target and the second copy. If the holder dies with the close, the
// second copy sends it again; see repeatClose.
func (t *task) closeFlow(rec *record) {
	t.refreshRole(rec)
	tg := t.r.reg.target(rec.target)
	if !t.p.FromTarget && !t.checkService(rec, tg) {
		return
	}
	other := t.otherOwner()
	owner := rec.has(flagHolder) || rec.has(flagSecond)
	switch {
	case other == 0 || !owner || rec.state != StateEstablished:
		t.closeDirect(rec, tg)
	case rec.has(flagSecond):
		t.closeAtSecond(rec, tg, other)
	case t.tried(other):
		// The second copy has no record to end.
		t.closeDirect(rec, tg)
	default:
		t.forward(other)
	}
}

// closeAtSecond ends the record at the second copy and sends the close to the
// holder.
func (t *task) closeAtSecond(rec *record, tg *target, holder baobabstep.VMID) {
	t.count(EventClosed)
	s := t.sendPacket(baobabstep.DestVM)
	s.VM = holder
	s.Packet.Service, s.Packet.Target = tg.service, tg.id
	s.Packet.Route.Purpose = baobabstep.PurposeForget
	s.Packet.Route.From = t.r.opts.Self
	t.setEnded(rec, StateClosed, baobabstep.CodeOK)
	if !t.p.FromTarget {
		rec.set(flagViaOwner)
		rec.copyFingerprint = t.owners().Fingerprint()
	}
}

// repeatClose sends the close of an ended flow straight to the target if the
// owners changed after the close was sent to the holder. The holder may have
// died with it, and no other VM knows that the target still has the flow. A
// target that received the close before ignores this one.
func (t *task) repeatClose(rec *record) {
	if !rec.has(flagViaOwner) || rec.gen == t.snap.gen {
		return
	}
	rec.gen = t.snap.gen
	if rec.copyFingerprint == t.owners().Fingerprint() {
		return
	}
	rec.clear(flagViaOwner)
	tg := t.r.reg.target(rec.target)
	if tg.addressTaken.Load() {
		return
	}
	s := t.sendControl(baobabstep.DestTarget, baobabstep.KindClose, false)
	s.Address = tg.address
	s.Packet.Service, s.Packet.Target = tg.service, tg.id
}

// closeDirect sends the close to the other end and notifies the owners.
func (t *task) closeDirect(rec *record, tg *target) {
	if t.p.FromTarget {
		t.sendPacket(baobabstep.DestCaller)
	} else {
		t.sendDirect(tg)
	}
	t.endFlow(rec, StateClosed, baobabstep.CodeOK)
}

// handleForget ends a flow that ended at another VM, and forwards the close if
// the notice is one.
func (t *task) handleForget() {
	t.endByNotice()
	if t.p.Kind == baobabstep.KindClose {
		t.forwardClose()
	}
}

func (t *task) forwardClose() {
	if t.p.FromTarget {
		t.sendPacket(baobabstep.DestCaller)
		return
	}
	i, found := t.r.reg.findTarget(t.p.Target, t.p.Service)
	if !found || t.r.reg.target(i).addressTaken.Load() {
		t.count(EventDroppedUnknown)
		return
	}
	t.sendDirect(t.r.reg.target(i))
}
