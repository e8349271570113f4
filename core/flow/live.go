package flow

import (
	"time"

	"baobabstep"
)

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
	rec.setProbes(d, max(1, rec.countProbes(d)))
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
	t.pass(prober)
	return true
}

// ownProbe tells whether the packet answers a probe of this VM, which ends
// here.
func (t *turn) ownProbe() bool { return t.p.Seq == probeSeq(t.r.o.Self) }

// Weights of the evidence that an unanswered probe gives, and the sum at which
// a flow counts as silent. The first probe starts the sum at 1, so three
// probes suffice with strong evidence and six with weak.
const (
	strongEvidence = 2
	weakEvidence   = 1
	enoughEvidence = probeMask
)

// fewSilent is the number of flows that may be silent at once without casting
// doubt on this VM's own path.
const fewSilent = 3

// checkAlive probes the directions of a flow that are idle, and ends the flow
// if one stayed silent over all probes. It reports whether the flow ended.
//
// Only the holder probes. A VM's own sight is partial, since packets also
// enter at the second copy; a probe's answer comes back to the prober itself.
func (t *turn) checkAlive(rec *record) bool {
	for d := toCaller; d <= toTarget; d++ {
		if since(t.tick, t.lastHeard(rec, d)) < t.idleLimit(rec, d) {
			t.witness(rec, d)
			continue
		}
		started := rec.countProbes(d) > 0
		if started {
			t.r.scan.silent[d]++
		}
		if rec.tries&0x3f != 0 && since16(t.tick, rec.lastProbe) < t.probeInterval(rec, d) {
			continue
		}
		if started && t.silent(rec, d) {
			return true
		}
		if !t.r.probes.take(t.now, 1) {
			t.count(EventProbeLimit)
			return false
		}
		if !started && t.unanswered(rec, d) {
			// A caller waits, so evidence of the path is asked for with
			// the first probe, not once that was in vain.
			t.r.scan.wanted[t.path(rec, d)] = t.tick
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
// by the key, so that flows that opened together are not probed together. A
// caller not heard since its flow opened is probed sooner, and at once when
// half-open flows use up their share.
func (t *turn) idleLimit(rec *record, d direction) tick {
	if d == toCaller && !rec.has(flagConfirmed) {
		if 2*t.s.half > t.r.halfOpenShare() {
			return ticks(evictAge)
		}
		return ticks(t.r.o.ConfirmAfter)
	}
	if t.unanswered(rec, d) {
		return ticks(t.r.o.AnswerWait)
	}
	limit := ticks(t.r.o.IdleProbe)
	return limit - limit*uint32(rec.hash[15])/1024
}

// unanswered tells whether the target owes its caller a sign of life: the
// caller spoke, and the target has said nothing since. A flow in which both
// ends are quiet owes nobody anything and is probed rarely.
func (t *turn) unanswered(rec *record, d direction) bool {
	return d == toTarget && since(t.tick, rec.fromCaller) < since(t.tick, rec.fromTarget)
}

func (t *turn) probeInterval(rec *record, d direction) tick {
	if t.unanswered(rec, d) {
		return ticks(t.r.o.AnswerProbeInterval)
	}
	return ticks(t.r.o.ProbeInterval)
}

// silent handles a probe that was not answered, and tells whether that ended
// the flow. It is reset at both ends, so that the caller can open another
// within seconds, unless the silence may be this VM's own: a healthy flow must
// not end because the VM that looks at it is cut off.
func (t *turn) silent(rec *record, d direction) bool {
	weight := 0
	if t.maySilence(d) {
		weight = t.evidence(rec, d)
	}
	t.r.scan.wanted[t.path(rec, d)] = t.tick
	if weight == 0 {
		t.hold(rec, d)
	}
	if since(t.tick, t.lastHeard(rec, d)) > ticks(t.r.o.MaxHold) {
		weight = enoughEvidence
	}
	rec.setProbes(d, rec.countProbes(d)+weight)
	if rec.countProbes(d) < enoughEvidence {
		return false
	}
	t.count(EventSilent)
	t.breakOff(rec, baobabstep.CodeFlowSilent)
	return true
}

// settleTime is how long after a change of the fleet an unanswered probe of a
// target may not count: until then some VMs do not know the prober and cannot
// pass an answer on to it.
const settleTime = time.Second

// maySilence tells whether an unanswered probe may count at all.
//
// A caller may be heard by VMs out of reach: other callers that answer prove
// nothing for it, and neither does anything for Grace after a change.
//
// A target answers this VM or none, and only probes that it missed while it
// answered others count against it. It need not wait for Grace: a flow that was
// forgotten at the time of a change would outlast its caller's patience, and
// that caller would never learn that it may reconnect at once.
func (t *turn) maySilence(d direction) bool {
	if t.snap.paused {
		return false
	}
	certain, wait := t.snap.certain, t.r.o.Grace
	if d == toTarget {
		wait = min(settleTime, wait)
		certain = certain.Add(wait - t.r.o.Grace)
	}
	settled := !t.now.Before(certain) && t.now.Sub(t.snap.changed) >= wait
	return settled && (d == toTarget || !t.snap.view.Unsure)
}

// evidence weighs an unanswered probe. It says something of the flow only if
// the way to that end and back is known to have worked after the probe was
// sent: this VM's probes of other flows of the same end were answered. So a
// path that was down and comes back leaves a flow one weight at most, and its
// own next answer clears that.
func (t *turn) evidence(rec *record, d direction) int {
	probed := since16(t.tick, rec.lastProbe)
	after := func(heard tick) bool { return since(t.tick, heard) <= probed }
	few := t.r.scan.silentBefore[d] <= fewSilent
	if d == toCaller {
		switch {
		case after(t.r.callersAcked.Load()):
			return strongEvidence
		case few && after(t.r.callersHeard.Load()):
			return weakEvidence
		}
		return 0
	}
	tg := t.r.reg.target(rec.target)
	switch {
	case after(tg.acked.Load()):
		return strongEvidence
	case after(t.r.ackedIn(tg.dataCentre)), few && after(tg.heard.Load()):
		return weakEvidence
	}
	return 0
}

// path names the way of which evidence is wanted: to the targets of one data
// centre, or to callers.
func (t *turn) path(rec *record, d direction) string {
	if d == toCaller {
		return callersPath
	}
	return t.r.reg.target(rec.target).dataCentre
}

// callersPath is the path to callers. No data centre has this name.
const callersPath = "\x00callers"

// maxWitnesses bounds the flows of one path that are probed in one pass to
// learn whether the path works.
const maxWitnesses = 16

// witness probes a flow that is not idle if a flow on the same path is silent.
// Its answer tells a flow that was forgotten from a path that is down.
func (t *turn) witness(rec *record, d direction) {
	path := t.path(rec, d)
	wanted, found := t.r.scan.wanted[path]
	if !found || rec.tries&0x3f != 0 || since(t.tick, wanted) > passTicks*2 || t.r.scan.witnesses[path] >= maxWitnesses {
		return
	}
	if t.r.probes.take(t.now, 1) {
		t.r.scan.witnesses[path]++
		t.probe(rec, d)
	}
}

// hold notes that a silent flow is not reset since its path is in doubt.
func (t *turn) hold(rec *record, d direction) {
	t.count(EventSilentHeld)
	if d == toCaller {
		return
	}
	tg := t.r.reg.target(rec.target)
	if tg.silent.Add(1) == suspectFrom {
		t.count(EventPathSuspected)
	}
	t.askNeighbour(tg)
}

// askNeighbour asks another target of the data centre for the flow. It has not
// got it and says so, which shows that the path works also to a VM that has no
// other flow there.
func (t *turn) askNeighbour(silent *target) {
	var neighbour *target
	t.r.reg.targetsOf(silent.service, func(tg *target) {
		if tg.dataCentre == silent.dataCentre && tg.id != silent.id && !tg.taken.Load() {
			neighbour = tg
		}
	})
	if neighbour == nil || !t.r.probes.take(t.now, 1) {
		return
	}
	s := t.control(baobabstep.DestTarget, baobabstep.KindProbe, false)
	s.Address = neighbour.address
	s.Packet.Seq = probeSeq(t.r.o.Self)
	s.Packet.Service, s.Packet.Target = neighbour.service, neighbour.id
}

// suspectFrom is the number of unanswered probes of one target from which its
// path is suspected.
const suspectFrom = 8

// unsure tells whether "nobody answered" may be this VM's own fault.
func (t *turn) unsure() bool {
	return t.snap.paused || t.snap.view.Unsure || t.now.Before(t.snap.certain)
}

// noteAck notes the answer to a probe of this VM: the way there and back works.
func (t *turn) noteAck(rec *record) {
	if !t.p.FromTarget {
		t.r.callersAcked.Store(t.tick)
		return
	}
	tg := t.r.reg.target(rec.target)
	tg.acked.Store(t.tick)
	tg.silent.Store(0)
}

// ackedIn returns when a target of a data centre last answered a probe.
func (r *Router) ackedIn(dataCentre string) tick {
	if r.scan.ackedBy == nil {
		r.scan.ackedBy = make(map[string]tick)
		for _, tg := range *r.reg.targets.Load() {
			if tg != nil {
				r.scan.ackedBy[tg.dataCentre] = max(r.scan.ackedBy[tg.dataCentre], tg.acked.Load())
			}
		}
	}
	return r.scan.ackedBy[dataCentre]
}
