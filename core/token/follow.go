package token

import (
	"time"

	"baobabstep"
	"baobabstep/core/answer"
)

// moves tells whether the copy of a first segment should go to another target
// than the first one did, and counts the flow against its target.
//
// A target that answers after all would leave the caller with a flow at one
// target and the token of the other. So a flow moves only away from a target
// that other flows find silent as well, or did before and nobody has heard of it
// since: an answer comes within milliseconds, and the copy 200 ms later.
func (r *Router) moves(now time.Time, s *snapshot, f *flow) bool {
	if now.Sub(f.sent) < copyAfter {
		return false
	}
	if !f.unanswered {
		f.unanswered = true
		r.left(now, f, openRepeated)
	}
	present := s.targets[f.target.id]
	return !f.target.sameRun(present) || !present.choosable(now) || f.target.load.suspect(now) || f.target.load.distrusted()
}

// answered notes that a target was heard of.
func (r *Router) answered(now time.Time, t *target) {
	back, again, disputed := t.load.answered(now)
	if back {
		r.presumeCold(now, t)
	}
	if again {
		r.record(now, EventHeard, r.current.Load(), nil, t, nil)
	}
	if disputed {
		r.troubles.add(t.id)
	}
}

// left counts a flow against its target. A target that was heard of since the
// flow's segment went out lives: then the segment was lost, or its answer.
func (r *Router) left(now time.Time, f *flow, how silence) {
	t := f.target
	if how != requestRepeated {
		r.count(now, f, answer.Refused)
	}
	if here, elsewhere := t.load.heardAt(); here.After(f.sent) || elsewhere.After(f.sent) {
		return
	}
	t.load.left(now, how)
	r.record(now, EventSilent, r.current.Load(), nil, t, nil)
	r.avoid(now, t)
	r.troubles.add(t.id)
}

// hearingFor is how long ago another target of the service may have been heard
// of for this VM to trust that it hears at all.
const hearingFor = 500 * time.Millisecond

// outOfReach tells whether the flows of a target should be ended, so that their
// callers try again elsewhere while they have time. Without that they wait for
// an answer until their time limits.
//
// It is the target that is silent, not this VM that hears nothing, if another
// target of the service was heard of just now.
func (r *Router) outOfReach(now time.Time, s *snapshot, t *target) bool {
	alone := r.vms() == 1
	if !t.load.dark(now, alone) {
		return false
	}
	for _, other := range s.pools[t.registration.Service].targets {
		if other != t && !other.load.dark(now, alone) && now.Sub(heardHere(other)) < hearingFor {
			return true
		}
	}
	return false
}

// giveUp ends a flow whose request is at a target that has gone dark since. Its
// caller may have had the request acknowledged: then it sends no copy that the VM
// could answer, and waits for its time limit, 2 s for an answer that takes 30 ms.
func (r *Router) giveUp(now time.Time, s *snapshot, f *flow, out *[]baobabstep.Forward) bool {
	if !f.waits || f.opening || f.closed || !r.on(MechanismEndFlows) {
		return false
	}
	if !r.outOfReach(now, s, f.target) {
		return false
	}
	f.asked, f.waits = false, false
	f.close()
	segment := baobabstep.Segment{Flow: f.key, Seq: f.sentEnd, Acked: f.acked}
	r.record(now, EventEnded, s, f.rule, f.target, &segment)
	reset(&segment, out)
	return true
}

// heardHere returns when this VM last heard of a target.
func heardHere(t *target) time.Time {
	here, _ := t.load.heardAt()
	return here
}

// note keeps the record of a flow in step with a later packet.
func (r *Router) note(now time.Time, shard *shard, t *target, route *rule, p *baobabstep.Segment) {
	f := shard.flows[p.Flow]
	switch {
	case f == nil:
		shard.add(p.Flow, adopted(now, t, route, p))
	case !f.target.sameRun(t):
		// The flow was opened at another target than this VM sent it to last, or
		// the target has started again and will tell the caller that it is gone.
		r.answered(now, t)
		shard.add(p.Flow, adopted(now, t, route, p))
	default:
		r.follow(now, f, p)
	}
	if p.Kind == baobabstep.KindReset || p.Kind == baobabstep.KindClose {
		shard.flows[p.Flow].close()
	}
}

// adopted returns the record of a flow that this VM did not place.
func adopted(now time.Time, t *target, route *rule, p *baobabstep.Segment) *flow {
	return &flow{
		key: p.Flow, target: t, rule: route, heard: now, sent: now, acked: p.Acked, requestAcked: p.Acked, sentEnd: p.Seq + uint32(p.Size),
	}
}

// follow notes what a later segment says of a flow that this VM knows.
func (r *Router) follow(now time.Time, f *flow, p *baobabstep.Segment) {
	// What a caller's reset acknowledges is not said anywhere.
	progress := p.Kind != baobabstep.KindReset && after(p.Acked, f.acked)
	if f.opening || progress {
		f.unanswered = false
		r.answered(now, f.target)
	}
	if progress && !f.opening && f.timed && p.Size == 0 {
		f.timed = false
		f.took = now.Sub(f.sent)
		if r.o.Finished != nil {
			r.o.Finished(f.took)
		}
	}
	if f.opening {
		r.openings.done(p.Flow.Caller.Addr(), f)
		// The first segment counted as the start of the first request.
		f.opening, f.acked, f.requestAcked = false, p.Acked, p.Acked
		f.sentEnd = p.Seq
		f.ask(now)
	}
	if end := p.Seq + uint32(p.Size); after(end, f.sentEnd) {
		f.sentEnd = end
		// The end of a flow takes a number too: the acknowledgement after it is
		// past what was sent, but begins no request.
		if p.Size > 0 && p.Acked != f.requestAcked {
			r.settle(now, f, p.Acked)
			f.requestAcked = p.Acked
			f.ask(now)
			f.target.load.started(now)
		}
	} else if p.Size > 0 && !progress && !f.unanswered && now.Sub(f.sent) >= copyAfter {
		f.unanswered = true
		r.left(now, f, requestRepeated)
	}
	f.heard = now
	if progress {
		f.acked, f.progressAt = p.Acked, now
		f.waits = p.Acked == f.requestAcked // it began a request
	}
	switch p.Kind {
	case baobabstep.KindClose:
		r.settle(now, f, f.acked)
	case baobabstep.KindReset:
		f.asked = false // the caller left; that says nothing of the target
	}
}

// ask notes that a request begins.
func (f *flow) ask(now time.Time) {
	f.sent, f.timed, f.asked, f.waits, f.took = now, true, true, true, 0
}

// after tells whether number a follows b, both modulo 2^32.
func after(a, b uint32) bool { return int32(a-b) > 0 }
