package token

import "time"

const (
	// relapseWithin is how soon after a target was avoided it counts as a relapse
	// if it has to be again: longer than the pauses of a target that goes down and
	// up by turns, as one does whose process crashes at its start.
	relapseWithin = 10 * time.Second
	// longestGap bounds the time between two trials of an avoided target by all
	// VMs of a data centre, and longestSpan that between two trials of one VM.
	// Word of a target that is heard of comes with heartbeats for relapseWithin;
	// a VM that none of them reaches finds out by itself.
	longestGap  = 4 * time.Second
	longestSpan = 30 * time.Second
)

// avoidance is how long new flows keep away from a target that takes none. What
// stands against a target is forgotten after a second, so that it ends no flow that
// was opened later; without this memory each VM of a data centre then sent a flow to
// find out again: 39 of them, every second, to each dark target. Together the VMs
// send about one in each gap.
type avoidance struct {
	avoidUntil time.Time
	// avoidedAt is when what is known of it was found, avoidGap the time between
	// two trials of all VMs.
	avoidedAt time.Time
	avoidGap  time.Duration
	// avoidSpan is the time between two trials of one VM: in each the others have
	// theirs.
	avoidSpan time.Duration
}

// avoid keeps new flows away from a target that takes none, and tells whether it
// is one. vms is the number of VMs of the data centre, draw a random number from 0
// to 1.
func (h *health) avoid(now time.Time, vms int, draw float64) bool {
	others := h.others(now)
	own, ownRefused := h.unanswered, h.opens+h.vanished
	if now.Sub(h.leftAt) >= freshFor {
		own, ownRefused = 0, 0
	}
	if own+others.unanswered < suspectAt || ownRefused+others.opens+others.vanished == 0 || now.Before(h.avoidUntil) {
		return false
	}
	switch {
	case !h.lately(now):
		h.avoidGap = firstTrial
	case !h.distrusted():
		h.avoidGap = min(2*h.avoidGap, longestGap)
	}
	h.avoidedAt = now
	h.avoidSpan = min(time.Duration(vms)*h.avoidGap, longestSpan)
	h.avoidUntil = now.Add(time.Duration(draw * float64(h.avoidSpan)))
	return true
}

// distrusted tells whether the target was avoided and nobody has heard of it since.
func (h *health) distrusted() bool {
	return !h.avoidedAt.IsZero() && !h.heardAt.After(h.avoidedAt) && !h.othersHeardAt.After(h.avoidedAt)
}

// ended returns the avoidance of a target that was heard of: it ends, but is
// remembered in case of a relapse.
func (a avoidance) ended() avoidance {
	a.avoidUntil = time.Time{}
	return a
}

// lately tells whether the target was avoided not long ago: then others may still
// do so, and are told when it was heard of.
func (a avoidance) lately(now time.Time) bool {
	return !a.avoidedAt.IsZero() && now.Sub(a.avoidedAt) < relapseWithin
}
