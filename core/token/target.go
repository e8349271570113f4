package token

import (
	"sync/atomic"
	"time"

	"baobabstep"
)

// target is one registered target and what this VM knows of its load. The
// registration is replaced as a whole; the counts live on.
type target struct {
	id           baobabstep.TargetID
	registration baobabstep.Registration
	load         *load
	// missingSince is when the registration was found gone; zero while it is
	// there. A target that is gone still gets the packets of its flows.
	missingSince time.Time
}

// load counts what this VM has sent to one target.
type load struct {
	// flows are the open flows that this VM has records of.
	flows atomic.Int32
}

// choosable tells whether the target may get new flows.
func (t *target) choosable() bool {
	return t.missingSince.IsZero() && !t.registration.Draining
}

// pool is the targets of one service, those that are gone included.
type pool struct {
	targets []*target
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
