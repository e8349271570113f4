package token

import (
	"maps"
	"slices"
	"time"

	"baobabstep/core/answer"
	"baobabstep/core/room"
)

// countRoom counts the outcome of a request for the admission to the target's service.
// Targets that fail more than their peers say nothing about the room of the service.
func (t *target) countRoom(now time.Time, outcome answer.Outcome, took time.Duration) {
	if outcome != answer.Answered && outcome != answer.Short || t.load.currentAnswerHealth().State != answer.Trusted {
		return
	}
	if outcome == answer.Short {
		t.service.gate.AddRejected(now, t.id)
	} else {
		t.service.gate.AddAnswered(now, took)
	}
}

// idleBusyShare is the busy share of a target up to which it has room for ordinary flows,
// whatever the others have. Flows differ in their requests, so that some targets are full
// while others are idle; without the refused flows nothing else would fill these.
const idleBusyShare = 0.8

// maxRejectedForIdle is the share of rejected requests from which no target counts as idle.
// When a peak begins, the load estimates lag behind, and all targets seem idle.
const maxRejectedForIdle = 0.15

// hasRoom reports whether to admit a new flow of a rule to a target with an estimated busy
// share: an ordinary flow is refused if the service has no room for it. The few flows of a
// target on trial are admitted, since without them the trial shows nothing.
func (r *Router) hasRoom(t *target, route *rule, busy float64) bool {
	if !route.ordinary || !r.enabled(MechanismRoom) {
		return true
	}
	state := t.service.gate.State()
	idle := busy < idleBusyShare && state.Rejected < maxRejectedForIdle
	return idle || state.Admits(r.randomUint64()) || t.load.currentAnswerHealth().State == answer.OnTrial
}

// updateRoom updates the admission of all services. Where all flows are ordinary, nobody
// gains by refusals, and the admission stays unlimited.
func (r *Router) updateRoom(now time.Time, s *snapshot) {
	if !r.enabled(MechanismRoom) {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[name]
		if len(p.targets) == 0 {
			continue
		}
		service := p.targets[0].service
		update := service.gate.Open
		if s.urgentServices[name] {
			update = func() (room.State, bool) {
				return service.gate.Update(now, service.unloadedLatency(), p.countAccepting(now))
			}
		}
		if state, changed := update(); changed {
			r.recordRoom(now, s, name, state)
		}
	}
}

// countAccepting returns the number of targets that may get new flows.
func (p *pool) countAccepting(now time.Time) (n int) {
	for _, t := range p.targets {
		if t.acceptsNewFlows(now) {
			n++
		}
	}
	return n
}

// recordRoom records that the admission to a service has become limited, or is no longer.
func (r *Router) recordRoom(now time.Time, s *snapshot, service string, state room.State) {
	kind := EventRoomBack
	if state.Closed {
		kind = EventRoomShort
	}
	r.counts.events[kind].Add(1)
	if r.options.Record == nil || !r.options.EventEnabled(now, kind) {
		return
	}
	e := r.newEvent(now, kind, s, nil, nil, nil)
	e.Service, e.Room = service, state
	r.options.Record(now, e)
}
