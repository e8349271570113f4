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
	// darkAt is the count from which a target is taken for gone or out of
	// reach, and its flows are ended. A repeated request counts 1, and a first
	// segment 2; without any of those a target is never dark. It accepts a
	// flow at once however much it has to do, while an answer may take long.
	darkAt = 4
	// enoughWitnesses is the number of other VMs that have to be sure that a
	// target is silent for one own request to be enough.
	enoughWitnesses = 2
	// freshFor is how long what was found of a target counts against its open
	// flows, and is told to other VMs. A VM may have nothing for a target for
	// minutes; what it found before must not end a flow that was opened over
	// another VM since the target is back. While the target stays silent, each
	// request that is repeated makes it fresh again.
	freshFor = time.Second
	// firstTrial and lastTrial bound the time after which a suspect target
	// gets one flow again. Each trial of a target that is still dark costs a
	// caller 200 ms.
	firstTrial = time.Second
	lastTrial  = 4 * time.Second
)

// silence is how a target left a flow unanswered.
type silence uint8

const (
	// requestRepeated: a request was sent again. The target may be slow.
	requestRepeated silence = iota
	// openRepeated: a copy of the first segment came.
	openRepeated
	// openVanished: nothing came after the first segment. The target refused
	// the flow, or the rest of it goes over other VMs.
	openVanished
)

// health is what a VM concludes of a target from the segments of its callers.
// A caller that goes on after its first segment, or acknowledges more than
// before, has heard from its target; one that repeats itself has not.
type health struct {
	// unanswered counts flows in a row, opens and vanished those among them
	// of openRepeated and openVanished.
	unanswered, opens, vanished int
	// others and othersOpens are the greatest such numbers that another VM of
	// the data centre says.
	others, othersOpens int
	// witnesses is the number of VMs of the data centre that are sure of it on
	// their own.
	witnesses int
	// othersHeardAt is when such a VM last heard of the target, by its word.
	othersHeardAt time.Time
	// heardAt is when the target was last heard of, leftAt when it last left a
	// flow unanswered.
	heardAt, leftAt time.Time
	// knownSince is when this run of the target appeared.
	knownSince time.Time
	// trialAt is when a suspect target may get one flow, pause the time until
	// the trial after that.
	trialAt time.Time
	pause   time.Duration
}

// answered notes that a target was heard of.
func (h *health) answered(now time.Time) {
	*h = health{
		heardAt: now, others: h.others, othersOpens: h.othersOpens,
		witnesses: h.witnesses, othersHeardAt: h.othersHeardAt, knownSince: h.knownSince,
	}
}

// left notes a flow that the target left unanswered.
func (h *health) left(now time.Time, how silence) {
	h.unanswered++
	h.leftAt = now
	switch how {
	case openRepeated:
		h.opens++
	case openVanished:
		h.vanished++
	}
	switch {
	case h.unanswered < suspectAt || now.Before(h.trialAt):
	case h.opens+h.vanished == 0:
		h.trialAt = now // the next flow tells whether it is slow or gone
	default:
		h.pause = min(max(2*h.pause, firstTrial), lastTrial)
		h.trialAt = now.Add(h.pause)
	}
}

// doubtful tells whether the next new flow should go to the target: requests
// are unanswered, and whether it accepts flows is not known yet. A dark target
// is so found out in 200 ms, and its flows can be ended.
func (h *health) doubtful(now time.Time) bool {
	return h.unanswered >= suspectAt && h.opens+h.vanished == 0 && !now.Before(h.trialAt) && h.othersOpens == 0
}

// freshAnswer is how long ago a target may have been heard of for the word of
// other VMs against it to be ignored: their callers' copies are 200 ms old.
const freshAnswer = 200 * time.Millisecond

// newRun is how long the word of other VMs against a target that has just
// appeared is ignored. A target that starts again under its identifier was
// silent before; VMs that have not heard of the new run yet say so for one
// heartbeat and the way of the news, 0.8 s where 29 VMs take turns.
const newRun = time.Second

// believed returns what other VMs of the data centre say of the target, as far
// as this one has not heard of it since.
func (h *health) believed(now time.Time) (unanswered, opens int) {
	if now.Sub(h.heardAt) < freshAnswer || now.Sub(h.knownSince) < newRun {
		return 0, 0
	}
	return h.others, h.othersOpens
}

// suspect tells whether new flows should avoid the target.
func (h *health) suspect(now time.Time) bool {
	others, _ := h.believed(now)
	return h.unanswered+others >= suspectAt && (h.unanswered < suspectAt || now.Before(h.trialAt))
}

// wordOfOthers is the most that the word of other VMs counts: as much as one
// first segment, or one own flow less than darkAt if two VMs are sure. One may
// have a full link of its own, behind which every target seems silent.
func (h *health) wordOfOthers() int {
	if h.witnesses >= enoughWitnesses {
		return darkAt - 1
	}
	return darkAt / 2
}

// dark tells whether the target is gone or out of reach. The word of others
// counts only beside an own flow. A VM that is not alone in its data centre needs
// another one to agree: if its own link is full or broken, every target seems
// silent, and none is.
func (h *health) dark(now time.Time, alone bool) bool {
	others, othersOpens := h.believed(now)
	switch {
	case h.unanswered == 0 || h.opens+othersOpens == 0:
		return false
	case now.Sub(h.leftAt) >= freshFor:
		return false
	case h.othersHeardAt.After(h.leftAt.Add(-copyAfter)):
		return false // it answered another VM while it seemed silent here
	case others == 0 && !alone:
		return false
	}
	return h.unanswered+h.opens+min(others+othersOpens, h.wordOfOthers()) >= darkAt
}

// tried notes that a target gets a flow: a suspect one gets no other until it
// is heard of or the next trial is due.
func (h *health) tried(now time.Time) {
	if h.unanswered >= suspectAt {
		h.trialAt = now.Add(max(h.pause, firstTrial))
	}
}
