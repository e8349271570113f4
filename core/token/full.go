package token

import "time"

const (
	// fullThreshold is the number of first segments in a row that a target has to leave
	// unanswered, while it answers on open flows, to count as full. One may be lost.
	fullThreshold = 2
	// certainlyFullThreshold is the number from which a new flow is refused if all targets that
	// it could go to are full.
	certainlyFullThreshold = 4
)

// fullness is what is known of whether a target holds as many flows as it can. Such a target
// leaves all first segments unanswered and still answers on its open flows, so what clears the
// evidence of silence does not show that it accepts flows.
type fullness struct {
	// refused counts the first segments that were left unanswered since the target last
	// accepted a flow, and after which it was heard from.
	refused int
	// acceptedAt is when the target last accepted a flow, refusedAt when it last refused one.
	acceptedAt, refusedAt time.Time
	// retryAt is when the target may get a new flow, retryPause the time from then until the
	// next one.
	retryAt    time.Time
	retryPause time.Duration
}

// noteRefused records first segments that a live target left unanswered.
func (f *fullness) noteRefused(now time.Time, count int) {
	if count == 0 {
		return
	}
	f.refused += count
	f.refusedAt = now
	if f.isFull() && f.retryAt.IsZero() {
		f.retryPause = minTrialPause
		f.retryAt = now.Add(f.retryPause)
	}
}

// noteAccepted records that the target accepted a flow.
func (f *fullness) noteAccepted(now time.Time) { *f = fullness{acceptedAt: now} }

// noteFlowEnded records the end of a flow at the target, which has room for one more now.
func (f *fullness) noteFlowEnded(now time.Time) {
	if f.isFull() {
		f.retryAt = now
	}
}

// notePlaced records that the target gets a new flow. The next one waits, the longer the more VMs
// try the target in the same way.
func (f *fullness) notePlaced(now time.Time, vms int) {
	if !f.isFull() {
		return
	}
	longest := min(time.Duration(vms)*maxFleetTrialInterval, maxVMTrialInterval)
	f.retryPause = min(2*f.retryPause, longest)
	f.retryAt = now.Add(f.retryPause)
}

func (f *fullness) isFull() bool { return f.refused >= fullThreshold }

// acceptsNone reports whether new flows should avoid the target.
func (f *fullness) acceptsNone(now time.Time) bool { return f.isFull() && now.Before(f.retryAt) }

// isCertain reports whether a new flow to the target would be lost.
func (f *fullness) isCertain(now time.Time) bool {
	return f.acceptsNone(now) && f.refused >= certainlyFullThreshold
}

// silentOpens returns 1 if the target was full lately, else 0: it then counts as one more first
// segment that was left unanswered.
func (f *fullness) silentOpens(now time.Time) int {
	if f.isFull() && now.Sub(f.refusedAt) < relapseWindow {
		return 1
	}
	return 0
}

// allFull reports whether each candidate is known to be full.
func allFull(list []candidate) bool {
	for i := range list {
		if !list[i].assessment.certainlyFull {
			return false
		}
	}
	return len(list) > 0
}
