package token

import (
	"fmt"
	"time"

	"baobabstep"
	"baobabstep/core/answer"
	"baobabstep/core/room"
)

// EventKind is the kind of a decision.
type EventKind uint8

// Kinds of events. The line comment of each is its name in logs and metrics.
const (
	// EventPlaced: a new flow was sent to a target chosen for it.
	EventPlaced EventKind = iota // flow_placed
	// EventRepeated: a retransmitted first segment was sent to the same target.
	EventRepeated // flow_repeated
	// EventMoved: a retransmitted first segment was sent to another target.
	EventMoved // flow_moved
	// EventRefused: there was no target for a new flow; the caller was reset.
	EventRefused // flow_refused
	// EventColdUnknown: a VM that has just started does not know yet which targets may be cold;
	// the first segment was dropped.
	EventColdUnknown // cold_unknown
	// EventTargetsUnconfirmed: there is no target for a new flow in registrations that may be
	// outdated; the first segment was dropped.
	EventTargetsUnconfirmed // targets_unconfirmed
	// EventNoRoom: the targets are so busy that an ordinary new flow would be answered too
	// late; the caller was reset.
	EventNoRoom // flow_no_room
	// EventUnrouted: the address has no route; the caller was reset.
	EventUnrouted // flow_unrouted
	// EventRouteUnconfirmed: the address has no route in a routing table that may be outdated;
	// the segment was dropped.
	EventRouteUnconfirmed // route_unconfirmed
	// EventEnded: the flow's target is unreachable; the caller was reset.
	EventEnded // flow_ended
	// EventUnknownToken: no target matches the flow's token; the segment was dropped.
	EventUnknownToken // token_unknown
	// EventStrayToken: a segment of an open flow has the token of another target; it was sent to
	// the one where the flow is open.
	EventStrayToken // token_stray
	// EventUnready: routes or targets are not known yet; the segment was dropped.
	EventUnready // segment_unready
	// EventSilent: a target left a flow unanswered.
	EventSilent // target_silent
	// EventHeard: a silent target was heard from again.
	EventHeard // target_heard
	// EventAvoided: a target accepts no flows and gets none for a while, by the evidence of
	// this VM or of others.
	EventAvoided // target_avoided
	// EventFailing: a target fails more requests than the others of its service.
	EventFailing // target_failing
	// EventOnTrial: a target that failed gets a few flows again, on trial.
	EventOnTrial // target_on_trial
	// EventTrusted: a target that failed has passed its trial.
	EventTrusted // target_trusted
	// EventSilenceIgnored: a flow was left unanswered while this VM's own link was congested,
	// which is no evidence against its target.
	EventSilenceIgnored // silence_ignored
	// EventLinkHeld: the first segment of a bulk flow waits for the VM's own link.
	EventLinkHeld // flow_link_held
	// EventLinkReleased: a first segment that waited goes on.
	EventLinkReleased // flow_link_released
	// EventLinkRefused: a bulk flow would wait too long for the VM's own link; the caller
	// was reset.
	EventLinkRefused // flow_link_refused
	// EventYielded: an ordinary new flow was refused, because the targets reject requests
	// for lack of room; the caller was reset.
	EventYielded // flow_yielded
	// EventRoomShort: the targets of a service reject requests for lack of room, and
	// ordinary new flows are refused in part.
	EventRoomShort // room_short
	// EventRoomBack: all new flows to a service are admitted again.
	EventRoomBack // room_back
	numEvents
)

// Event is one decision and its inputs.
type Event struct {
	Kind EventKind
	// Flow and Seq identify the flow by its two addresses, and the segment by its sequence
	// number.
	Flow baobabstep.FlowKey
	Seq  uint32
	// Rule and Service are those of the flow; Version is that of the routing table in
	// force.
	Rule, Service string
	Version       uint64
	// Latency is the target's mean latency and LatencyObjective that of the rule, for a
	// flow refused under overload.
	Latency, LatencyObjective time.Duration
	// Known, Draining, Gone and Evacuated count the targets of the service, where none
	// could take a new flow.
	Known, Draining, Gone, Evacuated, Full int
	// Target is 0 if there is none; DataCentre is the target's.
	Target     baobabstep.TargetID
	DataCentre string
	// Requests are the recent requests of all VMs at the target.
	Requests float64
	// Unanswered, Opens and UnansweredRequests are the counts of unanswered flows, first
	// segments and requests on open flows at the target seen by this VM. The others are those
	// reported by other VMs of the data centre.
	Unanswered, Opens, UnansweredRequests                          int
	OthersUnanswered, OthersOpens, OthersRequests, OthersVMsSilent int
	// SinceHeard is the time since the target was last heard from, negative if it never
	// was.
	SinceHeard time.Duration
	// Answers and Failed are the recent answers of the target to all VMs, and
	// PeerFailureRate the usual failure rate in its service, for changes of answer health;
	// FailedCallers is a lower bound on the number of callers whose requests failed.
	Answers, Failed, PeerFailureRate float64
	FailedCallers                    int
	// LinkCause is the cause of a refusal by the VM's own link, LinkWaiting the number of
	// first segments that wait for it, and LinkWaited how long this one did.
	LinkCause   string
	LinkWaiting int
	LinkWaited  time.Duration
	// Room is the state of the service's admission, for changes of it.
	Room room.State
}

// FlowName returns the name of a flow in logs: its caller and the service address.
func (e *Event) FlowName() string {
	return fmt.Sprintf("%v/%v", e.Flow.Caller, e.Flow.Service)
}

// Recorder receives events. It is called with a lock held and must not block.
type Recorder func(now time.Time, e *Event)

// newEvent returns an event with what is known of the flow and the target.
func (r *Router) newEvent(now time.Time, kind EventKind, s *snapshot, route *rule, t *target, p *baobabstep.Segment) *Event {
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
		e.Latency, e.LatencyObjective = t.load.latency(now), route.latencyObjective
	}
	if t != nil {
		e.Target, e.Service, e.DataCentre = t.id, t.registration.Service, t.registration.DataCentre
		_, e.Requests = t.load.requests(now)
		e.setEvidence(t.load.evidence(now))
	}
	return e
}

func (e *Event) setEvidence(found evidence) {
	e.Unanswered, e.Opens, e.UnansweredRequests, e.SinceHeard = found.unanswered, found.opens, found.requests, found.sinceHeard
	e.OthersUnanswered, e.OthersOpens, e.OthersRequests, e.OthersVMsSilent = found.others.unanswered, found.others.opens, found.others.requests, found.others.vms
}

// countTargets counts the targets of a rule's services by the reason why they get no new
// flows.
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
			case t.isDraining(now):
				e.Draining++
			case t.evacuated:
				e.Evacuated++
			case t.load.assess(now).certainlyFull:
				e.Full++
			}
			e.Known++
		}
	}
}

// recordAnswerHealth records a change of a target's answer health, with the observations
// behind it.
func (r *Router) recordAnswerHealth(now time.Time, s *snapshot, t *target, state answer.State, evidence answer.Observations) {
	kind := EventTrusted
	switch state {
	case answer.Failing:
		kind = EventFailing
	case answer.OnTrial:
		kind = EventOnTrial
	}
	r.counts.events[kind].Add(1)
	if r.options.Record == nil || !r.options.EventEnabled(now, kind) {
		return
	}
	e := r.newEvent(now, kind, s, nil, t, nil)
	e.Answers, e.Failed = evidence.Target.Answers, evidence.Target.Failed
	e.PeerFailureRate, e.FailedCallers = evidence.PeerFailureRate, evidence.FailedCallers.Count()
	r.options.Record(now, e)
}

// record counts an event and passes it to the recorder if it is wanted.
func (r *Router) record(now time.Time, kind EventKind, s *snapshot, route *rule, t *target, p *baobabstep.Segment) {
	r.counts.events[kind].Add(1)
	if r.options.Record != nil && r.options.EventEnabled(now, kind) {
		r.options.Record(now, r.newEvent(now, kind, s, route, t, p))
	}
}
