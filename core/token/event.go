package token

import (
	"fmt"
	"time"

	"baobabstep"
	"baobabstep/core/answer"
)

// EventKind says what was decided.
type EventKind uint8

// Kinds of events. The comment of each is its name in logs and metrics.
const (
	// EventPlaced: a new flow was sent to a target chosen for it.
	EventPlaced EventKind = iota // flow_placed
	// EventRepeated: the copy of a first segment followed the first one.
	EventRepeated // flow_repeated
	// EventMoved: the copy of a first segment went to another target.
	EventMoved // flow_moved
	// EventRefused: there was no target for a new flow; the caller was reset.
	EventRefused // flow_refused
	// EventNoRoom: the targets are so busy that an ordinary new flow would be
	// answered too late; the caller was reset.
	EventNoRoom // flow_no_room
	// EventUnrouted: the address has no route; the caller was reset.
	EventUnrouted // flow_unrouted
	// EventEnded: the flow's target is out of reach; the caller was reset.
	EventEnded // flow_ended
	// EventUnknown: no target gives the flow's token; the segment was dropped.
	EventUnknown // token_unknown
	// EventUnready: routes or targets are not known yet; dropped.
	EventUnready // segment_unready
	// EventSilent: a target left a flow unanswered.
	EventSilent // target_silent
	// EventHeard: a target that was silent is heard of again.
	EventHeard // target_heard
	// EventAvoided: a target takes no flows and gets none for a while, by what
	// this VM found or others say.
	EventAvoided // target_avoided
	// EventFailing: a target fails more than the others of its service.
	EventFailing // target_failing
	// EventTried: a target that failed gets a few flows again.
	EventTried // target_on_trial
	// EventTrusted: a target that failed has passed its trial.
	EventTrusted // target_trusted
	numEvents
)

// Event is one decision, with what decided it.
type Event struct {
	Kind EventKind
	// Flow and Seq name the flow: its two ends, and the number of the segment.
	Flow baobabstep.FlowKey
	Seq  uint32
	// Rule and Service are those of the flow, Version that of the routing
	// table in force.
	Rule, Service string
	Version       uint64
	// Took is how long answers of the target take, Aim how long they may, where
	// there was no room.
	Took, Aim time.Duration
	// Known, Draining, Gone and Evacuated count the targets of the service, where
	// none could take a new flow.
	Known, Draining, Gone, Evacuated int
	// Target is 0 if there is none, DataCentre is the target's.
	Target     baobabstep.TargetID
	DataCentre string
	// Requests are the recent requests at the target, of all VMs.
	Requests float64
	// Unanswered and Opens are what stood against the target here, Others what
	// other VMs of the data centre said.
	Unanswered, Opens, Others int
	// Heard is how long ago the target was heard of; negative if never.
	Heard time.Duration
	// Answers and Failed are the recent answers of the target by all VMs, and
	// Peers the usual share of failures in its service, where the event is
	// about them; Callers is the number of callers that failed, at least.
	Answers, Failed, Peers float64
	Callers                int
}

// FlowName returns the name of a flow in logs: its caller and the service address.
func (e *Event) FlowName() string {
	return fmt.Sprintf("%v/%v", e.Flow.Caller, e.Flow.Service)
}

// Recorder takes in events. It is called with a lock held and must not block.
type Recorder func(now time.Time, e *Event)

// about returns an event about a flow and a target, with what is known of both.
func (r *Router) about(now time.Time, kind EventKind, s *snapshot, route *rule, t *target, p *baobabstep.Segment) *Event {
	e := &Event{Kind: kind, Version: s.version}
	if p != nil {
		e.Flow, e.Seq = p.Flow, p.Seq
	}
	if route != nil {
		e.Rule = route.name
	}
	if kind == EventRefused {
		e.countTargets(now, s, route)
	}
	if kind == EventNoRoom {
		e.Took, e.Aim = t.load.time(now), route.aim
	}
	if t != nil {
		e.Target, e.Service, e.DataCentre = t.id, t.registration.Service, t.registration.DataCentre
		_, e.Requests = t.load.requests(now)
		e.Unanswered, e.Opens, e.Others, e.Heard = t.load.evidence(now)
	}
	return e
}

// countTargets says why a rule had no target for a new flow.
func (e *Event) countTargets(now time.Time, s *snapshot, route *rule) {
	for _, share := range route.shares {
		e.Service = share.Service
		p := s.pools[share.Service]
		if p == nil {
			continue
		}
		for _, t := range p.targets {
			switch {
			case !t.missingSince.IsZero():
				e.Gone++
			case t.leaves(now):
				e.Draining++
			case t.evacuated:
				e.Evacuated++
			}
			e.Known++
		}
	}
}

// recordVerdict records that something else is thought of a target now.
func (r *Router) recordVerdict(now time.Time, s *snapshot, t *target, state answer.State, with answer.Evidence) {
	kind := EventTrusted
	switch state {
	case answer.Failing:
		kind = EventFailing
	case answer.OnTrial:
		kind = EventTried
	}
	r.counts.events[kind].Add(1)
	if r.o.Record == nil || !r.o.Wanted(now, kind) {
		return
	}
	e := r.about(now, kind, s, nil, t, nil)
	e.Answers, e.Failed = with.Target.Answers, with.Target.Failed
	e.Peers, e.Callers = with.Peers, with.Callers.Count()
	r.o.Record(now, e)
}

// record counts an event and hands it to the recorder.
func (r *Router) record(now time.Time, kind EventKind, s *snapshot, route *rule, t *target, p *baobabstep.Segment) {
	r.counts.events[kind].Add(1)
	if r.o.Record != nil && r.o.Wanted(now, kind) {
		r.o.Record(now, r.about(now, kind, s, route, t, p))
	}
}
