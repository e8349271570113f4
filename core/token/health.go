package token

import "time"

const (
	// copyAfter is the least time between a first segment and a copy of it, or
	// between a request and its repetition, for the copy to say something of
	// the target. Callers repeat after 200 ms; a copy that waited in this VM's
	// own socket comes at once behind the first.
	copyAfter = 150 * time.Millisecond
	// suspectAt is the number of flows in a row that a target left unanswered
	// from which it gets no new flow. One may be a datagram that was lost.
	suspectAt = 2
	// firstTrial and lastTrial bound the time after which a suspect target
	// gets one flow again. Each trial of a target that is still dark costs a
	// caller 200 ms.
	firstTrial = time.Second
	lastTrial  = 4 * time.Second
)

// health is what a VM concludes of a target from the segments of its callers.
// A caller that goes on after its first segment, or acknowledges more than
// before, has heard from its target; one that repeats itself has not.
type health struct {
	// unanswered counts flows in a row.
	unanswered int
	// since is when the first of them was found unanswered.
	since time.Time
	// trialAt is when a suspect target may get one flow, pause the time until
	// the trial after that.
	trialAt time.Time
	pause   time.Duration
}

// answered notes that a target was heard of.
func (h *health) answered() { *h = health{} }

// left notes a flow that the target left unanswered.
func (h *health) left(now time.Time) {
	h.unanswered++
	if h.unanswered == 1 {
		h.since = now
	}
	if h.unanswered < suspectAt || now.Before(h.trialAt) {
		return
	}
	h.pause = min(max(2*h.pause, firstTrial), lastTrial)
	h.trialAt = now.Add(h.pause)
}

// suspect tells whether new flows should avoid the target.
func (h *health) suspect(now time.Time) bool {
	return h.unanswered >= suspectAt && now.Before(h.trialAt)
}

// tried notes that a target gets a flow: a suspect one gets no other until it
// is heard of or the next trial is due.
func (h *health) tried(now time.Time) {
	if h.unanswered >= suspectAt {
		h.trialAt = now.Add(max(h.pause, firstTrial))
	}
}
