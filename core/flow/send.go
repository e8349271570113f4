package flow

import (
	"net/netip"
	"time"

	"baobabstep"
)

// emit appends the packet, without its route, and returns it for changes.
func (t *turn) emit(dest baobabstep.Dest) *baobabstep.Send {
	s := t.add()
	s.Dest, s.VM, s.Address = dest, 0, netip.AddrPort{}
	s.Packet = *t.p
	s.Packet.Route = baobabstep.Route{}
	return s
}

// add makes room for one more packet. It extends the outbox in place, since a
// Send is large enough for copies of it to count.
func (t *turn) add() *baobabstep.Send {
	out := *t.out
	if len(out) < cap(out) {
		out = out[:len(out)+1]
	} else {
		out = append(out, baobabstep.Send{})
	}
	*t.out = out
	return &out[len(out)-1]
}

// control appends a packet of its own for the same flow.
func (t *turn) control(dest baobabstep.Dest, kind baobabstep.Kind, fromTarget bool) *baobabstep.Send {
	s := t.add()
	*s = baobabstep.Send{Dest: dest}
	s.Packet.Kind = kind
	s.Packet.FromTarget = fromTarget
	s.Packet.Flow = t.flow()
	s.Packet.Version = t.snap.config.Version
	return s
}

// flow returns the key of the flow at hand.
func (t *turn) flow() baobabstep.FlowKey {
	if t.rec != nil {
		return t.r.key(t.rec)
	}
	return t.p.Flow
}

// refuseCaller tells the caller that its flow does not exist.
func (t *turn) refuseCaller(code baobabstep.Code, retry time.Duration) {
	s := t.control(baobabstep.DestCaller, baobabstep.KindReset, true)
	s.Packet.Code = code
	s.Packet.RetryAfter = retry
}

// refuseTarget tells the target that sent the packet to let the flow go. Ends
// of flows are not answered, so that two resets never chase each other.
func (t *turn) refuseTarget() {
	if t.p.Kind == baobabstep.KindReset || t.p.Kind == baobabstep.KindClose {
		return
	}
	i, found := t.vouched()
	if !found {
		return
	}
	t.sendReset(t.r.reg.target(i), baobabstep.CodeUnknownFlow)
}

// resetTarget tells the record's target to let the flow go.
func (t *turn) resetTarget(rec *record, code baobabstep.Code) {
	t.sendReset(t.r.reg.target(rec.target), code)
}

func (t *turn) sendReset(tg *target, code baobabstep.Code) {
	if tg.taken.Load() {
		return
	}
	s := t.control(baobabstep.DestTarget, baobabstep.KindReset, false)
	s.Address = tg.address
	s.Packet.Service, s.Packet.Target = tg.service, tg.id
	s.Packet.Code = code
}

// vouched returns the number of the target that the packet says it is from, if
// it belongs to the service that the caller addressed.
func (t *turn) vouched() (uint32, bool) {
	if _, found := t.r.reg.findService(t.p.Flow.Service, t.p.Service); !found {
		return 0, false
	}
	return t.r.reg.findTarget(t.p.Target, t.p.Service)
}

// toCaller sends the packet to the caller, by way of the other owner if that
// one lacks the record.
func (t *turn) toCaller(rec *record) {
	if tg := t.r.reg.target(rec.target); t.p.Target != tg.id {
		t.broken("I3", "answer of target %x for a flow of %x", t.p.Target, tg.id)
		return
	}
	if t.viaOther(rec) {
		return
	}
	t.emit(baobabstep.DestCaller)
}

// toTarget sends the packet to the record's target, by way of the other owner
// if that one lacks the record.
func (t *turn) toTarget(rec *record) {
	tg := t.r.reg.target(rec.target)
	if !t.mayReach(rec, tg) {
		return
	}
	if t.viaOther(rec) {
		return
	}
	t.straight(tg)
}

// straight sends the packet to a target.
func (t *turn) straight(tg *target) {
	s := t.emit(baobabstep.DestTarget)
	s.Address = tg.address
	s.Packet.Service, s.Packet.Target = tg.service, tg.id
	s.Packet.Version = t.snap.config.Version
}

// mayReach keeps services apart: a packet goes to a target only while the
// address that the caller used, and the address of the target, still stand for
// the record's service. Otherwise the flow ends with a reset to both ends; a
// target whose address was taken is not told, since another service would be.
func (t *turn) mayReach(rec *record, tg *target) bool {
	sv := t.r.reg.service(rec.service)
	if sv.address != t.p.Flow.Service || sv.id != tg.service {
		t.broken("I2", "service %x at %v, target of %x", sv.id, sv.address, tg.service)
		return false
	}
	if tg.taken.Load() {
		t.count(EventTargetTaken)
		t.breakOff(rec, baobabstep.CodeTargetGone)
		return false
	}
	if sv.moved.Load() && t.snap.config.Version >= uint64(rec.version) {
		t.count(EventServiceMoved)
		t.breakOff(rec, baobabstep.CodeWrongService)
		return false
	}
	return true
}

// breakOff ends a flow with an explicit reset to both ends.
func (t *turn) breakOff(rec *record, code baobabstep.Code) {
	t.refuseCaller(code, 0)
	t.resetTarget(rec, code)
	if rec.live() {
		t.finish(rec, StateReset, code)
	}
}
