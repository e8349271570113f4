package flow

import (
	"time"

	"baobabstep"
)

// probeSeq returns the sequence number of a VM's probes. Callers and targets
// echo it, so the VM that receives an acknowledgement can identify the prober.
func probeSeq(vm baobabstep.VMID) uint32 { return uint32(vm) | 1<<31 }

// probe asks one end whether it still has the flow.
func (t *task) probe(rec *record, d direction) {
	tg := t.r.reg.target(rec.target)
	if d == toTarget && tg.addressTaken.Load() {
		return
	}
	t.count(EventProbeSent)
	rec.setProbes(d, max(1, rec.countProbes(d)))
	rec.lastProbe = uint16(t.tick)
	dest := baobabstep.DestCaller
	if d == toTarget {
		dest = baobabstep.DestTarget
	}
	s := t.sendControl(dest, baobabstep.KindProbe, d == toCaller)
	s.Packet.Seq = probeSeq(t.r.opts.Self)
	s.Packet.Service, s.Packet.Target = tg.service, tg.id
	if d == toTarget {
		s.Address = tg.address
	}
}

// routeProbeAck forwards an acknowledgement to the VM whose probe it answers.
// It returns false if that is this VM or unknown: the packet is then handled
// like any other of the flow.
func (t *task) routeProbeAck() bool {
	if t.p.Kind != baobabstep.KindProbeAck || t.p.Seq == probeSeq(t.r.opts.Self) || t.p.Route.Purpose != baobabstep.PurposeNone {
		return false
	}
	prober, found := t.snap.probers[t.p.Seq]
	if !found {
		return false
	}
	t.relay(prober)
	return true
}

// ownProbe reports whether the packet acknowledges a probe of this VM.
func (t *task) ownProbe() bool { return t.p.Seq == probeSeq(t.r.opts.Self) }

// Weights of the evidence from an unanswered probe, and the sum at which a
// flow counts as silent. The first probe sets the sum to 1, so three probes
// suffice with strong evidence and six with weak evidence.
const (
	strongEvidence   = 2
	weakEvidence     = 1
	silenceThreshold = probeMask
)

// maxUnsuspiciousSilent is the number of flows that may have unanswered probes
// at once without suggesting a fault of this VM's own network path.
const maxUnsuspiciousSilent = 3

// probeIdle probes the idle directions of a flow, and ends the flow if one of
// them stays silent. It reports whether the flow ended.
//
// Only the holder probes. A VM sees only part of a flow's packets, since
// others enter at the second copy, but acknowledgements are forwarded to the
// prober.
func (t *task) probeIdle(rec *record) bool {
	for d := toCaller; d <= toTarget; d++ {
		if since(t.tick, t.lastHeard(rec, d)) < t.idleLimit(rec, d) {
			t.probePath(rec, d)
			continue
		}
		started := rec.countProbes(d) > 0
		if started {
			t.r.scan.unanswered[d]++
		}
		if rec.counters&0x3f != 0 && since16(t.tick, rec.lastProbe) < t.probeInterval(rec, d) {
			continue
		}
		if started && t.handleSilence(rec, d) {
			return true
		}
		if !t.r.probes.take(t.now, 1) {
			t.count(EventProbeLimit)
			return false
		}
		if !started && t.awaitsTarget(rec, d) {
			// The caller is waiting, so evidence of the path is
			// requested with the first probe rather than after it
			// went unanswered.
			t.r.scan.evidenceWanted[t.path(rec, d)] = t.tick
		}
		t.probe(rec, d)
	}
	return false
}

func (t *task) lastHeard(rec *record, d direction) tick {
	if d == toCaller {
		return rec.lastFromCaller
	}
	return rec.lastFromTarget
}

// idleLimit returns the idle time after which a direction is probed. It varies
// with the key, so that flows opened together are not probed together. A
// caller that has sent nothing since its flow opened is probed sooner, and
// sooner still when half-open flows have used more than half of their share.
func (t *task) idleLimit(rec *record, d direction) tick {
	if d == toCaller && !rec.has(flagConfirmed) {
		if 2*t.s.halfOpenCount > t.r.halfOpenShare() {
			return ticks(evictAge)
		}
		return ticks(t.r.opts.ConfirmAfter)
	}
	if t.awaitsTarget(rec, d) {
		return ticks(t.r.opts.AnswerTimeout)
	}
	limit := ticks(t.r.opts.IdleProbeAfter)
	return limit - limit*uint32(rec.hash[15])/1024
}

// awaitsTarget reports whether the caller has sent a packet since the target's
// last one. Flows that are idle at both ends are probed rarely.
func (t *task) awaitsTarget(rec *record, d direction) bool {
	return d == toTarget && since(t.tick, rec.lastFromCaller) < since(t.tick, rec.lastFromTarget)
}

func (t *task) probeInterval(rec *record, d direction) tick {
	if t.awaitsTarget(rec, d) {
		return ticks(t.r.opts.AnswerProbeInterval)
	}
	return ticks(t.r.opts.ProbeInterval)
}

// handleSilence handles an unanswered probe and reports whether it ended the
// flow. The flow is reset at both ends, so that the caller can open another
// within seconds, unless this VM may itself be disconnected: that must not end
// a healthy flow.
func (t *task) handleSilence(rec *record, d direction) bool {
	weight := 0
	if t.silenceCounts(d) {
		weight = t.evidenceWeight(rec, d)
	}
	t.r.scan.evidenceWanted[t.path(rec, d)] = t.tick
	if weight == 0 {
		t.holdReset(rec, d)
	}
	if since(t.tick, t.lastHeard(rec, d)) > ticks(t.r.opts.MaxResetHold) {
		weight = silenceThreshold
	}
	rec.setProbes(d, rec.countProbes(d)+weight)
	if rec.countProbes(d) < silenceThreshold {
		return false
	}
	t.count(EventFlowSilent)
	t.resetFlow(rec, baobabstep.CodeFlowSilent)
	return true
}

// settleTime is how long after a membership change an unanswered probe of a
// target does not count: until then some VMs do not know the prober and cannot
// forward an acknowledgement to it.
const settleTime = time.Second

// silenceCounts reports whether an unanswered probe may count as evidence.
//
// A caller's packets may arrive only at VMs that this VM cannot reach, even
// while other callers answer. So unanswered probes of callers do not count
// while the view is unsure or within Options.GracePeriod after a change.
//
// A target's packets arrive at this VM or at none, and only probes that it
// missed while it answered others count against it. So settleTime suffices:
// waiting for Options.GracePeriod would take longer than a caller's own
// timeout, and the caller of a flow that its target lost would not learn that
// it may reconnect at once.
func (t *task) silenceCounts(d direction) bool {
	if t.snap.paused {
		return false
	}
	graceEnd, wait := t.snap.graceEnd, t.r.opts.GracePeriod
	if d == toTarget {
		wait = min(settleTime, wait)
		graceEnd = graceEnd.Add(wait - t.r.opts.GracePeriod)
	}
	settled := !t.now.Before(graceEnd) && t.now.Sub(t.snap.changedAt) >= wait
	return settled && (d == toTarget || !t.snap.view.Unsure)
}

// evidenceWeight returns the weight of an unanswered probe. It is above zero
// only if the path to that end and back is known to have worked after the
// probe was sent, because other flows of the same end answered this VM's
// probes or, if few flows are silent, sent packets. A path that was down and
// recovers therefore adds at most one weight per flow, which the flow's own
// next answer clears.
func (t *task) evidenceWeight(rec *record, d direction) int {
	probed := since16(t.tick, rec.lastProbe)
	after := func(heard tick) bool { return since(t.tick, heard) <= probed }
	few := t.r.scan.lastUnanswered[d] <= maxUnsuspiciousSilent
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
	case after(tg.lastAck.Load()):
		return strongEvidence
	case after(t.r.lastAckIn(tg.dataCentre)), few && after(tg.lastPacket.Load()):
		return weakEvidence
	}
	return 0
}

// path returns the name of the path for which evidence is needed: that to the
// targets of one data centre, or to callers.
func (t *task) path(rec *record, d direction) string {
	if d == toCaller {
		return callersPath
	}
	return t.r.reg.target(rec.target).dataCentre
}

// callersPath is the path to callers. No data centre has this name.
const callersPath = "\x00callers"

// maxPathProbes bounds the extra probes sent per path and scan to learn
// whether the path works.
const maxPathProbes = 16

// probePath probes an active flow if another flow on the same path is silent.
// The answer distinguishes a lost flow from a broken path.
func (t *task) probePath(rec *record, d direction) {
	path := t.path(rec, d)
	wanted, found := t.r.scan.evidenceWanted[path]
	if !found || rec.counters&0x3f != 0 || since(t.tick, wanted) > scanTicks*2 || t.r.scan.pathProbes[path] >= maxPathProbes {
		return
	}
	if t.r.probes.take(t.now, 1) {
		t.r.scan.pathProbes[path]++
		t.probe(rec, d)
	}
}

// holdReset counts a silent flow that is not reset because its path is
// suspected.
func (t *task) holdReset(rec *record, d direction) {
	t.count(EventFlowSilentHeld)
	if d == toCaller {
		return
	}
	tg := t.r.reg.target(rec.target)
	if tg.unansweredProbes.Add(1) == suspectThreshold {
		t.count(EventPathSuspected)
	}
	t.probeNeighbour(tg)
}

// probeNeighbour probes another target of the data centre with the same flow
// key. The neighbour answers that it does not know the flow, which proves the
// path even if this VM has no other flow there.
func (t *task) probeNeighbour(silent *target) {
	var neighbour *target
	t.r.reg.targetsOf(silent.service, func(tg *target) {
		if tg.dataCentre == silent.dataCentre && tg.id != silent.id && !tg.addressTaken.Load() {
			neighbour = tg
		}
	})
	if neighbour == nil || !t.r.probes.take(t.now, 1) {
		return
	}
	s := t.sendControl(baobabstep.DestTarget, baobabstep.KindProbe, false)
	s.Address = neighbour.address
	s.Packet.Seq = probeSeq(t.r.opts.Self)
	s.Packet.Service, s.Packet.Target = neighbour.service, neighbour.id
}

// suspectThreshold is the number of unanswered probes of one target at which
// its path is suspected.
const suspectThreshold = 8

// mayBeIsolated reports whether missing answers may be due to this VM itself.
func (t *task) mayBeIsolated() bool {
	return t.snap.paused || t.snap.view.Unsure || t.now.Before(t.snap.graceEnd)
}

// noteAck records the acknowledgement of a probe: the path there and back
// works.
func (t *task) noteAck(rec *record) {
	if !t.p.FromTarget {
		t.r.callersAcked.Store(t.tick)
		return
	}
	tg := t.r.reg.target(rec.target)
	tg.lastAck.Store(t.tick)
	tg.unansweredProbes.Store(0)
}

// lastAckIn returns when a target of the data centre last acknowledged a
// probe.
func (r *Router) lastAckIn(dataCentre string) tick {
	if r.scan.lastAckByDataCentre == nil {
		r.scan.lastAckByDataCentre = make(map[string]tick)
		for _, tg := range *r.reg.targets.Load() {
			if tg != nil {
				r.scan.lastAckByDataCentre[tg.dataCentre] = max(r.scan.lastAckByDataCentre[tg.dataCentre], tg.lastAck.Load())
			}
		}
	}
	return r.scan.lastAckByDataCentre[dataCentre]
}
