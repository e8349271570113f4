package token

import (
	"maps"
	"slices"
	"time"

	"baobabstep/core/answer"
	"baobabstep/core/room"
)

// countRoom counts the outcome of a request in the gate of the target's service. Targets that
// fail more than their peers are ignored: their outcomes do not reflect the load of the
// service.
func (t *target) countRoom(now time.Time, outcome answer.Outcome, latency time.Duration) {
	if outcome != answer.Answered && outcome != answer.Short || t.load.currentAnswerHealth().State != answer.Trusted {
		return
	}
	if outcome == answer.Short {
		t.service.gate.AddRejected(now, t.id)
	} else {
		t.service.gate.AddAnswered(now, latency)
	}
}

// idleBusyShare is the busy share below which a target accepts ordinary flows even if the gate
// of the service is closed. Flows differ in their load, so some targets are full while others
// have idle slots, which would stay idle if ordinary flows were refused.
const idleBusyShare = 0.8

// maxRejectedForIdle is the share of rejected requests at or above which no target counts as
// idle. At the start of an overload the load estimates lag behind, and all targets seem idle.
const maxRejectedForIdle = 0.15

// hasRoom reports whether to admit a new flow of a rule to a target with the given estimated
// busy share. An ordinary flow is refused if neither the target is idle nor the gate of the
// service admits it. Flows to a target on trial are always admitted: they are few, and the
// trial depends on their outcomes.
func (r *Router) hasRoom(t *target, route *rule, busy float64) bool {
	if !route.ordinary || !r.enabled(MechanismRoom) {
		return true
	}
	state := t.service.gate.State()
	idle := busy < idleBusyShare && state.Rejected < maxRejectedForIdle
	return idle || state.Admits(r.randomUint64()) || t.load.currentAnswerHealth().State == answer.OnTrial
}

// updateRoom updates the gates of all services. The gate of a service without urgent flows
// stays open, since refusing flows has no benefit there.
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

// countAccepting returns the number of targets that accept new flows.
func (p *pool) countAccepting(now time.Time) (n int) {
	for _, t := range p.targets {
		if t.acceptsNewFlows(now) {
			n++
		}
	}
	return n
}

// recordRoom records that the gate of a service has closed or opened.
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
