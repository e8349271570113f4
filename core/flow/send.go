package flow

import (
	"net/netip"
	"time"

	"baobabstep"
)

// sendPacket appends the packet, without its route, and returns the entry for
// modification.
func (t *task) sendPacket(dest baobabstep.Dest) *baobabstep.OutgoingPacket {
	s := t.addSend()
	s.Dest, s.VM, s.Address = dest, 0, netip.AddrPort{}
	s.Packet = *t.p
	s.Packet.Route = baobabstep.Route{}
	return s
}

// addSend extends the outbox by one entry. It reuses the entry in place, since
// Send is large enough for copies to be costly.
func (t *task) addSend() *baobabstep.OutgoingPacket {
	out := *t.out
	if len(out) < cap(out) {
		out = out[:len(out)+1]
	} else {
		out = append(out, baobabstep.OutgoingPacket{})
	}
	*t.out = out
	return &out[len(out)-1]
}

// sendControl appends a new packet for the same flow.
func (t *task) sendControl(dest baobabstep.Dest, kind baobabstep.Kind, fromTarget bool) *baobabstep.OutgoingPacket {
	s := t.addSend()
	*s = baobabstep.OutgoingPacket{Dest: dest}
	s.Packet.Kind = kind
	s.Packet.FromTarget = fromTarget
	s.Packet.Flow = t.flowKey()
	s.Packet.Version = t.snap.config.Version
	return s
}

// flowKey returns the key of the task's flow.
func (t *task) flowKey() baobabstep.FlowKey {
	if t.rec != nil {
		return t.r.key(t.rec)
	}
	return t.p.Flow
}

// resetCaller sends the caller a reset with code.
func (t *task) resetCaller(code baobabstep.Code, retry time.Duration) {
	s := t.sendControl(baobabstep.DestCaller, baobabstep.KindReset, true)
	s.Packet.Code = code
	s.Packet.RetryAfter = retry
}

// resetSender resets the flow at the target that sent the packet. Closes and
// resets are not answered, so that resets cannot trigger each other endlessly.
func (t *task) resetSender() {
	if t.p.Kind == baobabstep.KindReset || t.p.Kind == baobabstep.KindClose {
		return
	}
	i, found := t.sourceTarget()
	if !found {
		return
	}
	t.sendReset(t.r.reg.target(i), baobabstep.CodeUnknownFlow)
}

// resetTarget resets the flow at the record's target.
func (t *task) resetTarget(rec *record, code baobabstep.Code) {
	t.sendReset(t.r.reg.target(rec.target), code)
}

func (t *task) sendReset(tg *target, code baobabstep.Code) {
	if tg.addressTaken.Load() {
		return
	}
	s := t.sendControl(baobabstep.DestTarget, baobabstep.KindReset, false)
	s.Address = tg.address
	s.Packet.Service, s.Packet.Target = tg.service, tg.id
	s.Packet.Code = code
}

// sourceTarget returns the index of the target that the packet names as its
// source, if it belongs to the service that the caller addressed.
func (t *task) sourceTarget() (uint32, bool) {
	if _, found := t.r.reg.findService(t.p.Flow.Service, t.p.Service); !found {
		return 0, false
	}
	return t.r.reg.findTarget(t.p.Target, t.p.Service)
}

// sendToCaller sends the packet to the caller, through the other owner if that
// owner may lack the record.
func (t *task) sendToCaller(rec *record) {
	if tg := t.r.reg.target(rec.target); t.p.Target != tg.id {
		t.reportInvariant("I3", "packet from target %x for a flow of target %x", t.p.Target, tg.id)
		return
	}
	if t.sendViaOther(rec) {
		return
	}
	t.sendPacket(baobabstep.DestCaller)
}

// sendToTarget sends the packet to the record's target, through the other
// owner if that owner may lack the record.
func (t *task) sendToTarget(rec *record) {
	tg := t.r.reg.target(rec.target)
	if !t.checkService(rec, tg) {
		return
	}
	if t.sendViaOther(rec) {
		return
	}
	t.sendDirect(tg)
}

// sendDirect sends the packet to a target.
func (t *task) sendDirect(tg *target) {
	s := t.sendPacket(baobabstep.DestTarget)
	s.Address = tg.address
	s.Packet.Service, s.Packet.Target = tg.service, tg.id
	s.Packet.Version = t.snap.config.Version
}

// checkService reports whether the packet may be sent to the record's target:
// the caller's destination address and the target's address must still belong
// to the record's service. Otherwise it resets the flow at both ends, except
// at a target whose address was reassigned, since another service would
// receive the reset.
func (t *task) checkService(rec *record, tg *target) bool {
	sv := t.r.reg.service(rec.service)
	if sv.address != t.p.Flow.Service || sv.id != tg.service {
		t.reportInvariant("I2", "flow of service %x at %v has a target of service %x", sv.id, sv.address, tg.service)
		return false
	}
	if tg.addressTaken.Load() {
		t.count(EventTargetAddressTaken)
		t.resetFlow(rec, baobabstep.CodeTargetGone)
		return false
	}
	if sv.addressMoved.Load() && t.snap.config.Version >= uint64(rec.version) {
		t.count(EventServiceMoved)
		t.resetFlow(rec, baobabstep.CodeWrongService)
		return false
	}
	return true
}

// resetFlow ends a flow with an explicit reset to both ends.
func (t *task) resetFlow(rec *record, code baobabstep.Code) {
	t.resetCaller(code, 0)
	t.resetTarget(rec, code)
	if rec.live() {
		t.endFlow(rec, StateReset, code)
	}
}
