package token

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

// target is one registered target and what this VM knows of its load. The
// registration is replaced as a whole; the counts live on.
type target struct {
	id           baobabstep.TargetID
	registration baobabstep.Registration
	load         *load
	service      *service
	// missingSince is when the registration was found gone; zero while it is
	// there. A target that is gone still gets the packets of its flows.
	missingSince time.Time
	// sparedUntil is until when a target whose registration is missing may
	// still get new flows: it may have lapsed while the store was away.
	sparedUntil time.Time
	// leavingUntil is until when the target gets no new flow because it had said that
	// it leaves, or was gone, before the store came back
	// from a backup.
	leavingUntil time.Time
	// coldUntil is when the target stops being cold, by its own word.
	coldUntil time.Time
	// evacuated is set while the target's data centre gets no new flow.
	evacuated bool
}

// choosable tells whether the target may get new flows.
func (t *target) choosable(now time.Time) bool {
	there := t.missingSince.IsZero() || now.Before(t.sparedUntil)
	return there && !t.leaves(now) && !t.evacuated
}

func (t *target) leaves(now time.Time) bool {
	return t.registration.Draining || now.Before(t.leavingUntil)
}

// sameRun tells whether other is the same run of the same target, so that what
// was learned of one holds for the other. A target that starts again under its
// identifier holds no flow, is idle and cold, and what its predecessor left
// unanswered says nothing of it. Only the verdict on its answers goes on: one that
// fails, starts again and fails is found sooner.
func (t *target) sameRun(other *target) bool {
	return other != nil && t.id == other.id && t.registration.Life == other.registration.Life
}

// pool is the targets of one service, those that are gone included, sorted by
// identifier.
type pool struct {
	targets []*target
}

// search returns where a target is, or should be inserted.
func (p *pool) search(id baobabstep.TargetID) (at int, found bool) {
	return slices.BinarySearchFunc(p.targets, id, func(t *target, id baobabstep.TargetID) int { return cmp.Compare(t.id, id) })
}

// find returns the target that gives token for the flow, or nil. If two do, as
// a target that joined later may, neither can be trusted to be the right one.
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
