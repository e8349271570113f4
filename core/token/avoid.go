package token

import "time"

const (
	// relapseWindow is how soon after an avoidance a new one counts as a relapse. It is
	// longer than the pauses of a target that is up and down in turns, such as one whose
	// process crashes at its start.
	relapseWindow = 10 * time.Second
	// maxFleetTrialInterval bounds the time between two trials of an avoided target by all
	// VMs of a data centre together, maxVMTrialInterval the time between two trials by one
	// VM. For relapseWindow, heartbeats report that an avoided target answered; a VM that
	// receives none of these finds out by its own trial.
	maxFleetTrialInterval = 4 * time.Second
	maxVMTrialInterval    = 30 * time.Second
)

// avoidance keeps new flows away from a target that accepts none. Evidence against a target
// expires after a second, so that it does not end flows that were opened later. Without the
// avoidance state each VM of a data centre would then send a flow as a trial: 39 VMs sent
// 39 flows a second to each unreachable target. With it, the VMs together send about one
// flow per fleetTrialInterval.
type avoidance struct {
	avoidUntil time.Time
	// avoidedAt is when the avoidance last began, fleetTrialInterval the time between two
	// trials by all VMs together.
	avoidedAt          time.Time
	fleetTrialInterval time.Duration
	// vmTrialInterval is the time between two trials by one VM; in between, each of the
	// other VMs makes one.
	vmTrialInterval time.Duration
}

// startAvoidance starts an avoidance if the evidence shows that the target accepts no
// flows, and reports whether it did. vms is the number of VMs of the data centre, draw a
// random number from 0 to 1 that spreads their trials.
func (h *health) startAvoidance(now time.Time, vms int, draw float64) bool {
	others := h.summariseReports(now)
	own, ownRefused := h.unanswered, h.opens+h.vanished
	if now.Sub(h.unansweredAt) >= evidenceLifetime {
		own, ownRefused = 0, 0
	}
	if own+others.unanswered < suspectThreshold || ownRefused+others.opens+others.vanished == 0 || now.Before(h.avoidUntil) {
		return false
	}
	switch {
	case !h.recentlyAvoided(now):
		h.fleetTrialInterval = minTrialPause
	case !h.unheardSinceAvoided():
		h.fleetTrialInterval = min(2*h.fleetTrialInterval, maxFleetTrialInterval)
	}
	h.avoidedAt = now
	h.vmTrialInterval = min(time.Duration(vms)*h.fleetTrialInterval, maxVMTrialInterval)
	h.avoidUntil = now.Add(time.Duration(draw * float64(h.vmTrialInterval)))
	return true
}

// unheardSinceAvoided reports whether the target was avoided and no VM has heard from it
// since.
func (h *health) unheardSinceAvoided() bool {
	return !h.avoidedAt.IsZero() && !h.heardAt.After(h.avoidedAt) && !h.othersHeardAt.After(h.avoidedAt)
}

// lifted returns the avoidance after the target was heard from: it is over, but kept to
// detect a relapse.
func (a avoidance) lifted() avoidance {
	a.avoidUntil = time.Time{}
	return a
}

// recentlyAvoided reports whether the target was avoided within relapseWindow. Other VMs
// may then still avoid it, so this VM reports when it last heard from the target.
func (a avoidance) recentlyAvoided(now time.Time) bool {
	return !a.avoidedAt.IsZero() && now.Sub(a.avoidedAt) < relapseWindow
}
