package token

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

// target is one registered target with this VM's state about it. A new registration
// replaces the target; the load is kept.
type target struct {
	id           baobabstep.TargetID
	registration baobabstep.Registration
	load         *load
	service      *serviceStats
	// missingSince is when the registration was found missing; zero while it is there. A
	// missing target still gets the packets of its flows.
	missingSince time.Time
	// lapseGraceUntil is until when a target whose registration is missing may still get
	// new flows, because it may have lapsed while the store was unreachable.
	lapseGraceUntil time.Time
	// leavingUntil is until when the target gets no new flows because it was draining or
	// gone before the store was restored from a backup.
	leavingUntil time.Time
	// coldUntil is when the target stops being cold, by its registration.
	coldUntil time.Time
	// evacuated is set while the target's data centre gets no new flows.
	evacuated bool
}

// acceptsNewFlows reports whether the target may get new flows.
func (t *target) acceptsNewFlows(now time.Time) bool {
	available := t.missingSince.IsZero() || now.Before(t.lapseGraceUntil)
	return available && !t.isDraining(now) && !t.evacuated
}

func (t *target) isDraining(now time.Time) bool {
	return t.registration.Draining || now.Before(t.leavingUntil)
}

// sameIncarnation reports whether other is the same incarnation of the same target, so that
// what was learned of one applies to the other. A target that restarts under its identifier
// holds no flows, is idle and cold, and is not to blame for what the previous incarnation
// left unanswered. Only its answer health is kept, so that a target that fails, restarts and
// fails again is detected sooner.
func (t *target) sameIncarnation(other *target) bool {
	return other != nil && t.id == other.id && t.registration.StartedMS == other.registration.StartedMS
}

// pool holds the targets of one service, including missing ones, sorted by identifier.
type pool struct {
	targets []*target
}

// search returns the index at which a target is, or should be inserted.
func (p *pool) search(id baobabstep.TargetID) (at int, found bool) {
	return slices.BinarySearchFunc(p.targets, id, func(t *target, id baobabstep.TargetID) int { return cmp.Compare(t.id, id) })
}

// find returns the target whose token for the flow is token, or nil. If there are two, as
// there may be after a later target joined, it is unknown which one holds the flow, and the
// result is nil.
func (p *pool) find(h flowHash, token uint32) *target {
	var found *target
	for _, t := range p.targets {
		if tokenFor(h, t.id) != token {
			continue
		}
		if found != nil {
			return nil
		}
		found = t
	}
	return found
}
