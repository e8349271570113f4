package token

import (
	"time"

	"baobabstep"
)

const (
	// minRetransmissionDelay is the least time between a first segment or a request and its
	// retransmission for the latter to count as evidence against the target. Callers
	// retransmit after 200 ms; a retransmission that was delayed in this VM's own socket
	// buffer arrives right after the original.
	minRetransmissionDelay = 150 * time.Millisecond
	// suspectThreshold is the number of consecutive unanswered flows from which a target
	// gets no new flows. A single one may be a lost datagram.
	suspectThreshold = 2
	// unreachableThreshold is the count from which a target is considered gone or
	// unreachable, and its flows are reset. A repeated request counts 1 and a repeated
	// first segment 2. At least one repeated first segment is required, as an answer may
	// take long whatever the state of the target.
	unreachableThreshold = 4
	// minSilentRequests is the number of repeated requests that are required besides. A
	// target that holds as many flows as it can leaves all first segments unanswered and
	// still answers on its open flows.
	minSilentRequests = 2
	// maxCountPerVM bounds both the flows and the first segments counted from the report of
	// one other VM. If that VM's own link is full or broken, every target seems silent to
	// it.
	maxCountPerVM = 2
	// corroboratingVMs is the number of other VMs that must find a target silent for one
	// own request to suffice as evidence, conclusiveVMs the number for which no own
	// evidence is needed. One broken link cannot explain the reports of three VMs, each
	// with its own callers and its own link, if one of them had a first segment unanswered
	// and none has heard from the target since.
	corroboratingVMs, conclusiveVMs = 2, 3
	// evidenceLifetime is how long evidence against a target counts against its open flows
	// and is reported to other VMs. A VM may have no packets for a target for minutes; its
	// old evidence must not end a flow that was opened through another VM after the target
	// recovered. While the target stays silent, each repeated request renews the evidence.
	evidenceLifetime = 3 * time.Second
	// maxReportedCount bounds each count in a report, which holds up to 100 flows in all.
	maxReportedCount = 30
	// minTrialPause and maxTrialPause bound the time after which a suspect target gets one
	// trial flow. Each trial of a target that is still unreachable costs a caller 200 ms.
	minTrialPause = time.Second
	maxTrialPause = 4 * time.Second
)

// silenceKind is the way in which a target left a flow unanswered.
type silenceKind uint8

const (
	// requestRepeated: the caller repeated a request. The target may be slow.
	requestRepeated silenceKind = iota
	// openRepeated: the caller repeated the first segment.
	openRepeated
	// openVanished: no packet followed the first segment. Either the target refused the
	// flow, or its later packets go through other VMs.
	openVanished
)

// health is the evidence on whether a target is alive, taken from the segments of its
// callers. A caller that continues after its first segment, or acknowledges more than
// before, has heard from the target; a caller that retransmits has not.
type health struct {
	// unanswered counts consecutive unanswered flows; opens and vanished count those of
	// kind openRepeated and openVanished among them.
	unanswered, opens, vanished int
	// requests counts the repeated requests, the second repetition of a request included.
	// requestsAt is when the latest of them was repeated.
	requests   int
	requestsAt time.Time
	// reports are the reports of other VMs of the data centre that found the target silent.
	reports []baobabstep.SilenceReport
	// othersHeardAt is when one of these VMs last heard from the target, by their reports.
	othersHeardAt time.Time
	// heardAt is when this VM last heard from the target, unansweredAt when the target last
	// left a flow unanswered.
	heardAt, unansweredAt time.Time
	// repeatedAt is when a caller of the target last retransmitted a segment.
	repeatedAt time.Time
	// knownSince is when this incarnation of the target was registered.
	knownSince time.Time
	// trialAt is when a suspect target may get one flow, trialPause the time from then
	// until the next trial.
	trialAt    time.Time
	trialPause time.Duration
	// unreachableSince is when the target was found unreachable; zero while it is not.
	unreachableSince time.Time
	// delayed is the evidence of silence from while this VM's own link was congested.
	delayed delayedSilence
	full    fullness
	avoidance
}

// setSilence sets the reports of other VMs, and reports whether one of them heard from the
// target and so ended an avoidance.
func (h *health) setSilence(report baobabstep.TargetLoad) (resumed bool) {
	h.reports, h.othersHeardAt = report.SilenceReports, report.HeardAt
	if h.avoidUntil.IsZero() || !h.othersHeardAt.After(h.avoidedAt) {
		return false
	}
	h.avoidUntil = time.Time{}
	return true
}

// noteAnswer records that the target was heard from on an open flow, which clears the evidence
// against it. If it left first segments unanswered meanwhile, it may be full.
func (h *health) noteAnswer(now time.Time) {
	if h.unanswered == 0 && h.delayed.flows == 0 && h.trialAt.IsZero() && h.avoidUntil.IsZero() && h.unreachableSince.IsZero() {
		h.heardAt = now // nothing to clear, as with nearly all segments
		return
	}
	h.full.noteRefused(now, h.opens)
	*h = health{heardAt: now, reports: h.reports, othersHeardAt: h.othersHeardAt, knownSince: h.knownSince, full: h.full, avoidance: h.lifted()}
}

// noteAccepted records that the target accepted a flow.
func (h *health) noteAccepted(now time.Time) {
	h.noteAnswer(now)
	h.full.noteAccepted(now)
}

// noteUnanswered records a flow that the target left unanswered.
func (h *health) noteUnanswered(now time.Time, kind silenceKind) {
	h.unanswered++
	h.unansweredAt = now
	if kind != openVanished {
		h.repeatedAt = now
	}
	switch kind {
	case requestRepeated:
		h.requests, h.requestsAt = h.requests+1, now
	case openRepeated:
		h.opens++
	case openVanished:
		h.vanished++
	}
	switch {
	case h.unanswered < suspectThreshold || now.Before(h.trialAt):
	case h.opens+h.vanished == 0:
		h.trialAt = now // the next flow shows whether the target is slow or gone
	default:
		h.trialPause = min(max(2*h.trialPause, minTrialPause), maxTrialPause)
		h.trialAt = now.Add(h.trialPause)
	}
}

// renewUnanswered renews the evidence after a further repetition of a counted request.
func (h *health) renewUnanswered(now time.Time) {
	h.unansweredAt, h.repeatedAt, h.requestsAt = now, now, now
	h.requests = min(h.requests+1, max(h.requests, minSilentRequests))
}

// silentRequests returns the number of repeated requests while they count as evidence: not once
// another VM has heard from the target since, however many first segments are unanswered.
func (h *health) silentRequests(now time.Time) int {
	if now.Sub(h.requestsAt) >= evidenceLifetime || h.othersHeardAt.After(h.requestsAt.Add(-minRetransmissionDelay)) {
		return 0
	}
	return h.requests
}

// needsProbe reports whether the next new flow should go to the target as a probe: requests
// are unanswered, and it is not known whether the target accepts flows. An unreachable
// target is so detected within 200 ms, and its flows can be reset. Each VM sends one probe;
// the first report of an unanswered probe stops the others.
func (h *health) needsProbe(now time.Time) bool {
	_, needsProbe := h.status(now)
	return needsProbe
}

// callerRetransmissionDelay is the time after which callers retransmit a segment. A target
// that any VM heard from after the unanswered segment was first sent is alive.
const callerRetransmissionDelay = 200 * time.Millisecond

// newIncarnationGrace is how long reports of other VMs against a newly registered target
// are ignored. A target that restarts under its identifier was silent before the restart.
// VMs that do not know the new incarnation report the silence for one more heartbeat plus
// the propagation time of registrations, which grows with the number of VMs that take
// turns.
const newIncarnationGrace = time.Second

// silenceSummary combines the reports of other VMs of the data centre on a target.
type silenceSummary struct {
	// vms is the number of VMs that found the target silent; unanswered counts the flows of
	// all of them, opens the first segments among these, vanished the flows that it seems to
	// have refused, and requests the repeated requests.
	vms, unanswered, opens, vanished, requests int
}

// evaluateReport returns when the last segment of a report was first sent, and whether the report
// is usable: it is fresh, and the link of its sender was not congested when the evidence was
// collected.
func evaluateReport(now time.Time, r baobabstep.SilenceReport) (sentAt time.Time, usable bool) {
	sentAt = r.LastUnansweredAt.Add(-callerRetransmissionDelay)
	congested := !r.CongestedAt.IsZero() && !r.CongestedAt.Before(sentAt.Add(-congestionMargin)) && !r.CongestedAt.After(r.LastUnansweredAt)
	return sentAt, !congested && now.Sub(r.LastUnansweredAt) < evidenceLifetime
}

// contradictsReports reports whether the usable reports of other VMs may reset flows of
// the target although this VM has heard from it since and no VM has reported that.
func (h *health) contradictsReports(now time.Time) bool {
	var sum silenceSummary
	for i := range h.reports {
		if sentAt, usable := evaluateReport(now, h.reports[i]); usable && h.heardAt.After(sentAt) && !h.othersHeardAt.After(sentAt) {
			sum.add(&h.reports[i], h.reports[i].Requests())
		}
	}
	return sum.requests > 0 && sum.opens > 0 && sum.unanswered+sum.opens >= unreachableThreshold
}

// summariseReports returns the sum of the other VMs' fresh reports, without those that are
// older than the latest sign of life from the target.
func (h *health) summariseReports(now time.Time) (sum silenceSummary) {
	if now.Sub(h.knownSince) < newIncarnationGrace {
		return silenceSummary{}
	}
	for i := range h.reports {
		sentAt, usable := evaluateReport(now, h.reports[i])
		if !usable || h.heardAt.After(sentAt) || h.othersHeardAt.After(sentAt) {
			continue
		}
		sum.add(&h.reports[i], h.requestsIn(now, &h.reports[i]))
	}
	return sum
}

// requestsIn returns the repeated requests in a report, 0 if they are older than the latest sign of
// life from the target.
func (h *health) requestsIn(now time.Time, r *baobabstep.SilenceReport) int {
	sentAt := r.RequestUnansweredAt.Add(-callerRetransmissionDelay)
	switch {
	case r.RequestUnansweredAt.IsZero(): // a VM of an earlier version
	case now.Sub(r.RequestUnansweredAt) >= evidenceLifetime, h.heardAt.After(sentAt), h.othersHeardAt.After(sentAt):
		return 0
	}
	return r.Requests()
}

// add adds the report of one VM, with the given number of repeated requests.
func (s *silenceSummary) add(r *baobabstep.SilenceReport, requests int) {
	s.vms++
	s.unanswered += min(r.Unanswered, maxCountPerVM)
	s.opens += min(r.UnansweredOpens, maxCountPerVM)
	s.vanished += min(r.NotRetransmitted, maxCountPerVM)
	s.requests += min(requests, maxCountPerVM)
}

// suspect reports whether new flows should avoid the target.
func (h *health) suspect(now time.Time) bool {
	suspect, _ := h.status(now)
	return suspect
}

// status returns suspect and needsProbe from one summary of the reports. A target is never
// both.
func (h *health) status(now time.Time) (suspect, needsProbe bool) {
	others := h.summariseReports(now)
	manyUnanswered := h.unanswered+others.unanswered >= suspectThreshold
	trialWaiting := now.Before(h.trialAt)
	needsProbe = manyUnanswered && !trialWaiting && h.opens+h.vanished+others.opens+others.vanished == 0
	suspect = h.full.acceptsNone(now) || now.Before(h.avoidUntil) || manyUnanswered && (h.unanswered < suspectThreshold || trialWaiting)
	return suspect && !needsProbe, needsProbe
}

// cappedWeight is the weight of other VMs' reports beside own evidence: at most that of one
// first segment, or just below unreachableThreshold if several VMs agree.
func (s silenceSummary) cappedWeight() int {
	most := unreachableThreshold / 2
	if s.vms >= corroboratingVMs {
		most = unreachableThreshold - 1
	}
	return min(s.unanswered+s.opens, most)
}

// isConclusive reports whether the reports of other VMs suffice without own evidence.
func (s silenceSummary) isConclusive() bool {
	return s.vms >= conclusiveVMs && s.isSufficient()
}

// isCorroborated reports whether the reports of other VMs suffice together with own evidence
// from a congested link, which is weaker than evidence from an uncongested one.
func (s silenceSummary) isCorroborated() bool {
	return s.vms >= corroboratingVMs && s.isSufficient()
}

// isSufficient reports whether the target left enough requests and first segments unanswered to
// count as unreachable.
func (s silenceSummary) isSufficient() bool {
	return s.requests >= minSilentRequests && s.opens > 0 && s.unanswered+s.opens >= unreachableThreshold
}

// verdict is the result of evaluating the evidence on whether a target is unreachable.
type verdict struct {
	// unreachable is as in health, reported the same for a VM whose own link is congested.
	unreachable, reported bool
	// since is when the first of them was set.
	since time.Time
	// settled is set once the time for a contradiction by another VM has passed, or if the
	// target does not answer on an open flow of this VM either.
	settled bool
}

// updateVerdict returns the verdict on the target and records when it was found
// unreachable.
func (h *health) updateVerdict(now time.Time, alone bool) verdict {
	others := h.summariseReports(now)
	v := verdict{unreachable: h.unreachableWith(now, alone, others), reported: others.isConclusive() || others.isCorroborated() && h.hasOwnEvidence(now)}
	switch {
	case !v.unreachable && !v.reported:
		h.unreachableSince = time.Time{}
		return v
	case h.unreachableSince.IsZero():
		h.unreachableSince = now
	}
	v.since = h.unreachableSince
	v.settled = alone || h.unanswered > h.opens+h.vanished || now.Sub(h.unreachableSince) >= contradictionDelay
	return v
}

// unreachable reports whether the target is gone or unreachable. A VM that is not alone in
// its data centre needs the agreement of another VM: if its own link is full or broken,
// every target seems silent to it.
func (h *health) unreachable(now time.Time, alone bool) bool {
	return h.unreachableWith(now, alone, h.summariseReports(now))
}

func (h *health) unreachableWith(now time.Time, alone bool, others silenceSummary) bool {
	if others.isConclusive() {
		return true
	}
	if h.unanswered == 0 {
		return false
	}
	full := h.full.silentOpens(now)
	switch {
	case h.opens+others.opens+full == 0:
		return false
	case h.silentRequests(now)+others.requests < minSilentRequests:
		return false // the target may only be full
	case now.Sub(h.repeatedAt) >= evidenceLifetime:
		return false // vanished flows may continue through other VMs
	case h.othersHeardAt.After(h.unansweredAt.Add(-minRetransmissionDelay)):
		return false // the target answered another VM while it seemed silent here
	case others.vms == 0 && !alone:
		return false
	}
	own := max(h.unanswered, h.opens+h.vanished+h.silentRequests(now)) + h.opens + 2*full
	return own+others.cappedWeight() >= unreachableThreshold
}

// noteTrial records that the target gets a flow. A suspect target gets no other flow until
// it is heard from or the next trial is due.
func (h *health) noteTrial(now time.Time) {
	if h.unanswered+h.summariseReports(now).unanswered >= suspectThreshold {
		h.trialAt = now.Add(max(h.trialPause, minTrialPause))
	}
	if h.unheardSinceAvoided() {
		h.avoidUntil = now.Add(h.vmTrialInterval)
	}
}
