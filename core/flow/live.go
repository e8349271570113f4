package flow

import (
	"time"

	"baobabstep"
)

// silentHold is how long resets wait while a target is silent as a whole but
// its data centre is not: the target may be restarting its network.
const silentHold = 30 * time.Second

// probeSeq marks the probes of a VM. Callers and targets echo it, which tells
// the entry VM whose probe an acknowledgement answers.
func probeSeq(vm baobabstep.VMID) uint32 { return uint32(vm) | 1<<31 }

// probe asks one end whether it still knows the flow.
func (t *turn) probe(rec *record, d direction) {
	tg := t.r.reg.target(rec.target)
	if d == toTarget && tg.taken.Load() {
		return
	}
	t.count(EventProbed)
	rec.setProbes(d, rec.countProbes(d)+1)
	rec.lastProbe = uint16(t.tick)
	dest := baobabstep.DestCaller
	if d == toTarget {
		dest = baobabstep.DestTarget
	}
	s := t.control(dest, baobabstep.KindProbe, d == toCaller)
	s.Packet.Seq = probeSeq(t.r.o.Self)
	s.Packet.Service, s.Packet.Target = tg.service, tg.id
	if d == toTarget {
		s.Address = tg.address
	}
}

// routeProbeAck sends an acknowledgement to the VM whose probe it answers. It
// returns false if that is this VM, or none: then the ack is a packet of the
// flow like any other.
func (t *turn) routeProbeAck() bool {
	if t.p.Kind != baobabstep.KindProbeAck || t.p.Seq == probeSeq(t.r.o.Self) || t.p.Route.Purpose != baobabstep.PurposeNone {
		return false
	}
	prober, found := t.snap.probers[t.p.Seq]
	if !found {
		return false
	}
	t.forward(prober)
	return true
}

// ownProbe tells whether the packet answers a probe of this VM, which ends
// here.
func (t *turn) ownProbe() bool { return t.p.Seq == probeSeq(t.r.o.Self) }

// checkAlive probes the directions of a flow that are idle, and ends the flow
// if one stayed silent over all probes. It reports whether the flow ended.
//
// Only the holder probes. A VM's own sight is partial, since packets also
// enter at the second copy; a probe's answer comes back to the prober itself.
func (t *turn) checkAlive(rec *record) bool {
	for d := toCaller; d <= toTarget; d++ {
		if since(t.tick, t.lastHeard(rec, d)) < t.idleLimit(rec, d) {
			continue
		}
		started := rec.tries&0x3f != 0
		if started && since16(t.tick, rec.lastProbe) < ticks(t.r.o.ProbeInterval) {
			continue
		}
		if rec.countProbes(d) >= t.r.o.MaxProbes {
			if t.silent(rec, d) {
				return true
			}
			continue
		}
		if !t.r.probes.take(t.now, 1) {
			t.count(EventProbeLimit)
			return false
		}
		t.probe(rec, d)
	}
	return false
}

func (t *turn) lastHeard(rec *record, d direction) tick {
	if d == toCaller {
		return rec.fromCaller
	}
	return rec.fromTarget
}

// idleLimit returns the silence after which a direction is probed. It is spread
// by the key, so that flows that opened together are not probed together.
func (t *turn) idleLimit(rec *record, d direction) tick {
	if d == toCaller && !rec.has(flagConfirmed) {
		return ticks(t.r.o.ConfirmAfter)
	}
	limit := ticks(t.r.o.IdleProbe)
	return limit - limit*uint32(rec.hash[15])/1024
}

// silent handles a direction that answered no probe. The flow is reset at both
// ends so that the caller can open another within seconds, unless the silence
// may be this VM's own: a healthy flow must not end because the VM that looks
// at it is cut off.
func (t *turn) silent(rec *record, d direction) bool {
	if t.unsure() || t.now.Sub(t.snap.changed) < t.r.o.Grace || t.held(rec, d) {
		t.count(EventSilentHeld)
		rec.lastProbe = uint16(t.tick)
		t.reprobe(rec, d)
		return false
	}
	t.count(EventSilent)
	t.breakOff(rec, baobabstep.CodeFlowSilent)
	return true
}

// reprobe keeps asking while a reset is held back, so that the flow counts as
// alive as soon as the path is back.
func (t *turn) reprobe(rec *record, d direction) {
	if t.r.probes.take(t.now, 1) {
		t.probe(rec, d)
	}
}

// unsure tells whether "nobody answered" may be this VM's own fault.
func (t *turn) unsure() bool {
	return t.snap.paused || t.snap.view.Unsure || t.now.Before(t.snap.certain)
}

// probeWindow is the time in which a silent direction was probed.
func (t *turn) probeWindow() tick {
	return ticks(time.Duration(t.r.o.MaxProbes)*t.r.o.ProbeInterval + time.Second)
}

// held tells whether the reset of a silent flow has to wait.
func (t *turn) held(rec *record, d direction) bool {
	if since(t.tick, t.lastHeard(rec, d)) > ticks(t.r.o.MaxHold) {
		return false
	}
	if d == toCaller {
		return since(t.tick, t.r.callersHeard.Load()) > t.probeWindow()
	}
	tg := t.r.reg.target(rec.target)
	quiet := since(t.tick, tg.heard.Load())
	if quiet <= t.probeWindow() {
		tg.silent.Store(0)
		return false
	}
	if tg.silent.Add(1) == suspectFrom {
		t.count(EventPathSuspected)
	}
	return since(t.tick, t.r.heardIn(tg.dataCentre)) > t.probeWindow() || quiet <= ticks(silentHold)
}

// suspectFrom is the number of silent flows of one silent target from which its
// path is suspected.
const suspectFrom = 4

// heardIn returns when the targets of a data centre were last heard.
func (r *Router) heardIn(dataCentre string) tick {
	if r.scan.heardBy == nil {
		r.scan.heardBy = make(map[string]tick)
		for _, tg := range *r.reg.targets.Load() {
			if tg != nil {
				r.scan.heardBy[tg.dataCentre] = max(r.scan.heardBy[tg.dataCentre], tg.heard.Load())
			}
		}
	}
	return r.scan.heardBy[dataCentre]
}
