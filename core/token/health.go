package token

import (
	"time"

	"baobabstep"
)

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
	// mostOfOneVM is the most that the flows of one other VM count, and as many
	// its first segments: its own link may be full or broken, behind which every
	// target seems silent.
	mostOfOneVM = 2
	// enoughVMs is the number of other VMs that have to find a target silent for
	// one own request to be enough, and sureVMs that for none. Three VMs, each with
	// its own callers and its own link, of which one had a first segment left
	// unanswered and none has heard of the target since, are not one broken link.
	enoughVMs, sureVMs = 2, 3
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
	// reports are what other VMs of the data centre say that found it silent.
	reports []baobabstep.Silence
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
	avoidance
}

// setSilence sets what other VMs say, and tells whether the target was avoided until
// one of them heard of it.
func (h *health) setSilence(said baobabstep.TargetLoad) (again bool) {
	h.reports, h.othersHeardAt = said.Silence, said.HeardAt
	if h.avoidUntil.IsZero() || !h.othersHeardAt.After(h.avoidedAt) {
		return false
	}
	h.avoidUntil = time.Time{}
	return true
}

// answered notes that a target was heard of.
func (h *health) answered(now time.Time) {
	*h = health{heardAt: now, reports: h.reports, othersHeardAt: h.othersHeardAt, knownSince: h.knownSince, avoidance: h.ended()}
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
// are unanswered, and whether it accepts flows is not known yet. A dark target is
// so found out in 200 ms, and its flows can be ended. Each VM sends one; the word of
// the first of them that is left without an answer stops the others.
func (h *health) doubtful(now time.Time) bool {
	_, doubtful := h.standing(now)
	return doubtful
}

// freshAnswer is how old a segment is at least when its sender is taken to have had
// no answer: callers send copies after 200 ms. A target that anybody heard of since
// has answered others meanwhile.
const freshAnswer = 200 * time.Millisecond

// newRun is how long the word of other VMs against a target that has just
// appeared is ignored. A target that starts again under its identifier was
// silent before; VMs that have not heard of the new run yet say so for one
// heartbeat and the way of the news, which is longer where many VMs take turns.
const newRun = time.Second

// word is what other VMs of the data centre say of a target together.
type word struct {
	// vms is the number of those that found it silent, unanswered and opens are
	// the flows of all of them, and first segments among these; vanished are those
	// that it seems to have refused.
	vms, unanswered, opens, vanished int
}

// others returns what other VMs say of the target, as far as nobody has heard of
// it since.
func (h *health) others(now time.Time) (w word) {
	if now.Sub(h.knownSince) < newRun {
		return word{}
	}
	for _, r := range h.reports {
		asked := r.LeftAt.Add(-freshAnswer)
		if now.Sub(r.LeftAt) >= freshFor || h.heardAt.After(asked) || h.othersHeardAt.After(asked) {
			continue
		}
		w.vms++
		w.unanswered += min(r.Unanswered, mostOfOneVM)
		w.opens += min(r.Opens, mostOfOneVM)
		w.vanished += min(r.Vanished, mostOfOneVM)
	}
	return w
}

// suspect tells whether new flows should avoid the target.
func (h *health) suspect(now time.Time) bool {
	suspect, _ := h.standing(now)
	return suspect
}

// standing tells both with one look at what others say; a target is never both.
func (h *health) standing(now time.Time) (suspect, doubtful bool) {
	others := h.others(now)
	many := h.unanswered+others.unanswered >= suspectAt
	waits := now.Before(h.trialAt)
	doubtful = many && !waits && h.opens+h.vanished+others.opens+others.vanished == 0
	suspect = now.Before(h.avoidUntil) || many && (h.unanswered < suspectAt || waits)
	return suspect && !doubtful, doubtful
}

// weight is how much the word of others counts beside own flows: as much as one
// first segment, or one own flow less than darkAt if several VMs agree.
func (w word) weight() int {
	most := darkAt / 2
	if w.vms >= enoughVMs {
		most = darkAt - 1
	}
	return min(w.unanswered+w.opens, most)
}

// isSure tells whether the word of others is enough by itself.
func (w word) isSure() bool {
	return w.vms >= sureVMs && w.opens > 0 && w.unanswered+w.opens >= darkAt
}

// dark tells whether the target is gone or out of reach. A VM that is not alone in
// its data centre needs others to agree: if its own link is full or broken, every
// target seems silent, and none is.
func (h *health) dark(now time.Time, alone bool) bool {
	others := h.others(now)
	switch {
	case others.isSure():
		return true
	case h.unanswered == 0 || h.opens+others.opens == 0:
		return false
	case now.Sub(h.leftAt) >= freshFor:
		return false
	case h.othersHeardAt.After(h.leftAt.Add(-copyAfter)):
		return false // it answered another VM while it seemed silent here
	case others.vms == 0 && !alone:
		return false
	}
	return h.unanswered+h.opens+others.weight() >= darkAt
}

// tried notes that a target gets a flow: a suspect one gets no other until it
// is heard of or the next trial is due.
func (h *health) tried(now time.Time) {
	if h.unanswered+h.others(now).unanswered >= suspectAt {
		h.trialAt = now.Add(max(h.pause, firstTrial))
	}
	if h.distrusted() {
		h.avoidUntil = now.Add(h.avoidSpan)
	}
}
