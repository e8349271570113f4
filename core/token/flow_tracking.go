package token

import (
	"slices"
	"time"

	"baobabstep"
	"baobabstep/core/answer"
)

// shouldMove reports whether a retransmitted first segment should go to another target than
// before. It also counts the flow against its target.
//
// If the first target answered after all, the caller would have a flow at one target and
// the token of another. So a flow moves only if its target may get no new flows any more,
// or if other flows found the target silent as well, or found it silent earlier and it has
// not been heard from since. An answer arrives within milliseconds, a retransmission 200 ms
// later.
func (r *Router) shouldMove(now time.Time, s *snapshot, route *rule, f *flow) bool {
	if now.Sub(f.requestSentAt) < minRetransmissionDelay {
		return false
	}
	if !f.countedUnanswered {
		f.countedUnanswered = true
		r.noteUnanswered(now, f, openRepeated)
	}
	if !route.leadsTo(f.target.registration.Service) {
		return true
	}
	present := s.targets[f.target.id]
	return !f.target.sameIncarnation(present) || !present.acceptsNewFlows(now) || f.target.load.suspect(now) || f.target.load.unheardSinceAvoided()
}

// noteAnswer records that a target was heard from; accepted is set if it accepted a flow.
func (r *Router) noteAnswer(now time.Time, t *target, accepted bool) {
	recovered, wasSuspect, disputed := t.load.noteAnswer(now, accepted)
	if recovered {
		r.presumeCold(now, t)
	}
	if wasSuspect {
		r.record(now, EventHeard, r.current.Load(), nil, t, nil)
	}
	if disputed {
		r.alarms.add(t.id)
	}
}

// noteUnanswered counts a flow against its target. If the target was heard from after the
// flow's segment was sent, the target is alive and the segment or its answer was lost; then
// the target's health is not affected.
func (r *Router) noteUnanswered(now time.Time, f *flow, kind silenceKind) {
	t := f.target
	if r.congestedSince(f.requestSentAt) {
		t.load.noteDelayed(now, f.requestSentAt, kind, r.alone())
		r.record(now, EventSilenceIgnored, r.current.Load(), nil, t, nil)
		return
	}
	if kind != requestRepeated {
		r.countOutcome(now, f, answer.Refused)
	}
	if here, elsewhere := t.load.lastHeard(); here.After(f.requestSentAt) || elsewhere.After(f.requestSentAt) {
		if kind == openRepeated {
			t.load.noteRefused(now, f.requestSentAt)
		}
		return
	}
	t.load.noteUnanswered(now, kind)
	r.record(now, EventSilent, r.current.Load(), nil, t, nil)
	r.avoidIfRefusing(now, t)
	t.load.updateVerdict(now, r.alone())
	r.alarms.add(t.id)
}

// maxHearingAge is how recently another target of the service must have been heard from for
// this VM to rule out that its own link is broken.
const maxHearingAge = 500 * time.Millisecond

// contradictionDelay is the time between finding a target unreachable and resetting its flows,
// in which a VM that hears from the target can contradict: an alarm is held back for up to
// minAlarmInterval by its sender and then takes milliseconds.
const contradictionDelay = 50 * time.Millisecond

// confirmedUnreachable reports whether the flows of a target should be reset, so that their
// callers retry elsewhere early. Otherwise the callers wait for an answer until their
// timeouts.
//
// The target, and not this VM's own link, is at fault if another target of the service was
// heard from within maxHearingAge. While the link is congested, the reports of other VMs
// decide.
func (r *Router) confirmedUnreachable(now time.Time, s *snapshot, t *target) bool {
	alone := r.alone()
	v := t.load.updateVerdict(now, alone)
	unreachable := v.unreachable
	switch {
	case !r.enabled(MechanismCongestion):
		v.settled = true
	case r.congestedSince(now):
		unreachable = v.reported
	case alone && r.vmCount() > 1:
		// A contradiction may be queued on the congested link of its sender.
		v.settled = now.Sub(v.since) >= callerRetransmissionDelay
	}
	if !v.settled || !unreachable {
		return false
	}
	p := s.pools[t.registration.Service]
	if p == nil {
		return false
	}
	targets := p.targets
	return !r.pathMayBeSlow(now, targets, t) && slices.ContainsFunc(targets, func(other *target) bool {
		return other != t && now.Sub(lastHeardLocally(other)) < maxHearingAge && !other.load.unreachable(now, alone)
	})
}

// maxPathDelay is the silence of all targets of another data centre from which they count as
// unreachable although VMs of that data centre are heard.
const maxPathDelay = time.Second

// pathReviewInterval is how long the state of a path is cached, as computing it reads all
// targets of a service.
const pathReviewInterval = 20 * time.Millisecond

// pathState is the cached result of pathSilent for one data centre.
type pathState struct {
	at     time.Time
	silent bool
}

// pathMayBeSlow reports whether the path to another data centre may explain the silence of
// a target: others there are silent as well, none is heard from, and the VMs there are alive.
// If the data centre is disconnected, its VMs are soon no longer heard.
func (r *Router) pathMayBeSlow(now time.Time, targets []*target, t *target) bool {
	name := t.registration.DataCentre
	if !r.enabled(MechanismCongestion) || name == r.options.DataCentre || (*r.vmsHeard.Load())[name] == 0 {
		return false
	}
	return now.Sub(laterOf(t.load.lastHeard())) < maxPathDelay && t.service.pathSilent(now, name, targets)
}

// pathSilent reports whether several targets of the service in a data centre seem silent, and
// none there was heard from recently.
func (s *serviceStats) pathSilent(now time.Time, dataCentre string, targets []*target) bool {
	s.pathsLock.Lock()
	defer s.pathsLock.Unlock()
	state, ok := s.paths[dataCentre]
	if age := now.Sub(state.at); !ok || age < 0 || age >= pathReviewInterval {
		state = pathState{at: now, silent: multipleTargetsSilent(now, dataCentre, targets)}
		if s.paths == nil {
			s.paths = make(map[string]pathState)
		}
		s.paths[dataCentre] = state
	}
	return state.silent
}

func multipleTargetsSilent(now time.Time, dataCentre string, targets []*target) bool {
	silent := 0
	for _, t := range targets {
		if t.registration.DataCentre != dataCentre {
			continue
		}
		if now.Sub(laterOf(t.load.lastHeard())) < callerRetransmissionDelay {
			return false
		}
		if t.load.foundSilent(now) {
			silent++
		}
	}
	return silent > 1
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endStrandedFlow resets a flow whose request is at a target that has become unreachable,
// and reports whether it did. If the target acknowledged the request, the caller sends no
// retransmission that the VM could answer with a reset, and waits for its timeout: 2 s for
// an answer that takes 30 ms.
func (r *Router) endStrandedFlow(now time.Time, s *snapshot, f *flow, out *[]baobabstep.OutgoingDatagram) bool {
	if !f.answerPending || f.opening || f.closed || !r.enabled(MechanismEndFlows) {
		return false
	}
	if !r.confirmedUnreachable(now, s, f.target) {
		return false
	}
	f.outcomePending, f.answerPending = false, false
	f.close()
	segment := baobabstep.Segment{Flow: f.key, Seq: f.sentEnd, Acked: f.acked}
	r.record(now, EventEnded, s, f.rule, f.target, &segment)
	appendReset(&segment, out)
	return true
}

// lastHeardLocally returns when this VM last heard from a target.
func lastHeardLocally(t *target) time.Time {
	here, _ := t.load.lastHeard()
	return here
}

// trackSegment updates the record f of a flow, nil if there is none, from a later packet to t.
func (r *Router) trackSegment(now time.Time, shard *shard, f *flow, t *target, route *rule, p *baobabstep.Segment) {
	switch {
	case f == nil:
		f = newAdoptedFlow(now, t, route, p)
		shard.add(p.Flow, f)
	case !f.target.sameIncarnation(t):
		// Either the flow was opened at another target than the one this VM last sent it
		// to, or the target has restarted and will tell the caller that the flow is gone.
		r.noteAnswer(now, t, false)
		adopted := newAdoptedFlow(now, t, route, p)
		adopted.homeKnown = f.completesHandshake(p)
		f = adopted
		shard.add(p.Flow, f)
	default:
		r.updateFlow(now, f, p)
	}
	r.bulkGate.Withdraw(p.Flow) // another VM opened the flow
	r.trackUpload(now, f, p)
	if p.Kind == baobabstep.KindReset || p.Kind == baobabstep.KindClose {
		f.close()
		t.load.noteFlowEnded(now)
	}
}

// maxSequenceGap is the largest difference between the sequence numbers of two segments of a flow
// that this VM sees one after the other: it may see few of them.
const maxSequenceGap = 1 << 20

// homeOf returns the target at which the flow of a later segment is open if this VM knows that it is
// another one than t, which the segment's token names, else nil.
//
// If two targets answered copies of a first segment, both repeat their answers, and the caller
// echoes the token that came last in its next segment. The target that it did not choose would
// reset the flow. The segment's acknowledgement number belongs to the target that it did choose.
func (f *flow) homeOf(t *target, p *baobabstep.Segment) *target {
	if f == nil || !f.homeKnown || f.closed || f.target.sameIncarnation(t) || !f.continuesWith(p) {
		return nil
	}
	return f.target
}

// continuesWith reports whether a segment belongs to the same connection as the record's last one,
// at the same target.
func (f *flow) continuesWith(p *baobabstep.Segment) bool {
	near := func(a, b uint32) bool {
		distance := int32(a - b)
		return -maxSequenceGap < distance && distance < maxSequenceGap
	}
	return p.Kind != baobabstep.KindReset && near(p.Acked, f.acked) && near(p.Seq, f.sentEnd)
}

// completesHandshake reports whether a segment is the end of the handshake of an opening flow. The
// caller sends it as soon as a target answers, so its token is that of the target that it chose.
func (f *flow) completesHandshake(p *baobabstep.Segment) bool {
	return f.opening && p.Kind == baobabstep.KindData && p.Size == 0 && p.Seq == f.seq+1
}

// newAdoptedFlow returns the record of a flow that this VM did not place.
func newAdoptedFlow(now time.Time, t *target, route *rule, p *baobabstep.Segment) *flow {
	return &flow{
		key: p.Flow, seq: p.Seq - 1, target: t, rule: route, lastPacketAt: now, requestSentAt: now, acked: p.Acked, requestAcked: p.Acked, requestStart: p.Seq, sentEnd: p.Seq + uint32(p.Size),
	}
}

// updateFlow updates the record of a known flow from a later segment.
func (r *Router) updateFlow(now time.Time, f *flow, p *baobabstep.Segment) {
	// The acknowledgement number of a caller's reset is undefined.
	progress := p.Kind != baobabstep.KindReset && seqAfter(p.Acked, f.acked)
	f.homeKnown = f.homeKnown || progress && !f.opening || f.completesHandshake(p)
	if f.opening || progress {
		f.countedUnanswered = false
		r.noteAnswer(now, f.target, f.opening)
	}
	if progress && !f.opening && f.answerPending && r.bulkGate.Active() {
		f.rule.requestSizes.Add(f.sentEnd - f.requestStart)
	}
	if progress && !f.opening && f.timingPending && p.Size == 0 {
		f.timingPending = false
		f.latency = now.Sub(f.requestSentAt)
		if r.options.ObserveRequestTime != nil {
			r.options.ObserveRequestTime(f.latency)
		}
	}
	if f.opening {
		r.openingFlows.remove(p.Flow.Caller.Addr(), f)
		// The first segment was counted as the start of the first request.
		f.opening, f.acked, f.requestAcked = false, p.Acked, p.Acked
		f.sentEnd, f.requestStart = p.Seq, p.Seq
		f.beginRequest(now)
	}
	if end := p.Seq + uint32(p.Size); seqAfter(end, f.sentEnd) {
		f.sentEnd = end
		// The end of a flow occupies a sequence number as well: the acknowledgement after
		// it is past the end of the payload, but starts no request.
		if p.Size > 0 && p.Acked != f.requestAcked {
			r.settleRequest(now, f, p.Acked)
			f.requestAcked, f.requestStart = p.Acked, p.Seq
			f.beginRequest(now)
			f.target.load.countRequest(now)
		}
	} else if p.Size > 0 && !progress {
		r.noteRetransmission(now, f)
	}
	f.lastPacketAt = now
	if progress {
		f.acked, f.lastProgressAt = p.Acked, now
		f.answerPending = p.Acked == f.requestAcked // still set if p starts a request
	}
	switch p.Kind {
	case baobabstep.KindClose:
		r.settleRequest(now, f, f.acked)
	case baobabstep.KindReset:
		f.outcomePending = false // the caller gave up, which is no evidence against the target
	}
}

// noteRetransmission counts a flow whose request is retransmitted. Further retransmissions renew the
// evidence.
func (r *Router) noteRetransmission(now time.Time, f *flow) {
	switch {
	case !f.countedUnanswered:
		if now.Sub(f.requestSentAt) < minRetransmissionDelay {
			return
		}
		f.countedUnanswered = true
		r.noteUnanswered(now, f, requestRepeated)
	case now.Sub(f.repeatedAt) < minRetransmissionDelay:
		return // another segment of the same retransmission
	case !r.congestedSince(f.repeatedAt) && f.target.load.renewUnanswered(now, f.repeatedAt):
		f.target.load.updateVerdict(now, r.alone())
		r.alarms.add(f.target.id)
	}
	f.repeatedAt = now
}

// beginRequest records the start of a request.
func (f *flow) beginRequest(now time.Time) {
	f.requestSentAt, f.timingPending, f.outcomePending, f.answerPending, f.latency = now, true, true, true, 0
}

// seqAfter reports whether sequence number a comes after b, modulo 2^32.
func seqAfter(a, b uint32) bool { return int32(a-b) > 0 }
