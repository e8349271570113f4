package token

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
	"baobabstep/core/answer"
	"baobabstep/core/decay"
)

// loadWindow is the time over which requests count as load. It is long compared with the
// time of a request, so that single requests do not make the count jump, and short compared
// with the seconds in which demand changes.
const loadWindow = 2 * time.Second

// load counts what is sent to one target, and holds the evidence on its health and its
// answers.
type load struct {
	// id identifies the target; active is the set of targets that may have something to
	// report to other VMs.
	id     baobabstep.TargetID
	active *targetSet
	// flows is the number of open flows for which this VM has records.
	flows atomic.Int32

	mu sync.Mutex
	// ownRequests are the recent requests that this VM sent.
	ownRequests decayingCounter
	// otherRequests are the recent requests of other VMs, by their latest loads.
	otherRequests float64
	// inheritedRequests is what a new target is assumed to get from other VMs, until their
	// reports show it.
	inheritedRequests decayingCounter
	health            health
	// outcomes counts the outcomes of requests that this VM sent; otherAnswers and
	// otherCallers are those in the loads of other VMs of the data centre.
	outcomes     answer.TargetCounter
	otherAnswers answer.Sample
	otherCallers answer.CallerSet
	answerHealth answer.Health
	// nextTrial is when a target on trial may get its next flow.
	nextTrial time.Time
	coldState coldState
}

// newLoad returns the load of a new target.
func newLoad(now time.Time, id baobabstep.TargetID, active *targetSet) *load {
	return &load{id: id, active: active, health: health{knownSince: now}}
}

// markActive adds the target to those that the next Router.Loads examines.
func (l *load) markActive() { l.active.add(l.id) }

// minReportedRequests is the weight of recent requests below which none are reported:
// heartbeats carry whole tenths.
const minReportedRequests = 0.1

// entry returns the target's load for this VM's heartbeats, and whether the target stays
// active, which means that it has something to report or may have later without a further
// event. mean is the mean latency of its service.
func (l *load) entry(now time.Time, mean time.Duration) (entry baobabstep.TargetLoad, active bool) {
	entry = l.silenceReport(now)
	entry.Target = l.id
	entry.Requests, _ = l.requests(now)
	sample, callers, notable := l.answerReport(now, mean)
	if notable {
		entry.Answers, entry.Failed, entry.MeanLatency, entry.Callers = sample.Answers, sample.Failed, sample.Latency, uint16(callers)
	}
	active = entry.Requests >= minReportedRequests || sample.Answers >= minReportedFailures || entry.Unanswered > 0 || entry.ReportedSilent
	return entry, active
}

// assessment is the state of a target, at one moment, that the choice of a target depends
// on.
type assessment struct {
	// suspect and needsProbe are as in health; ownRequests are the recent requests of this
	// VM, otherRequests those of other VMs.
	suspect, needsProbe        bool
	ownRequests, otherRequests float64
	// certainlyFull is set if a new flow to the target would be lost.
	certainlyFull bool
	// latency is the mean latency of a request in seconds, answers the weight of the
	// answers that it was measured from.
	latency, answers float64
	// penalty is the work, in slots, by which the target's score is raised; onTrial is set
	// while the target is on trial, and trialDue if it may get a trial flow now.
	penalty           float64
	onTrial, trialDue bool
}

// assess reads everything that the choice of a target needs while holding the lock once.
func (l *load) assess(now time.Time) assessment {
	l.mu.Lock()
	defer l.mu.Unlock()
	answers := l.outcomes.Sample(now).Merge(l.otherAnswers)
	onTrial := l.answerHealth.State == answer.OnTrial
	suspect, needsProbe := l.health.status(now)
	if l.health.seemsSilent(now) {
		suspect, needsProbe = true, false
	}
	return assessment{
		suspect: suspect, needsProbe: needsProbe, certainlyFull: !needsProbe && l.health.full.isCertain(now),
		ownRequests: l.ownRequests.read(now), otherRequests: max(l.otherRequests, l.inheritedRequests.read(now)),
		latency: answers.Latency.Seconds(), answers: answers.Answers - answers.Failed,
		penalty: l.answerHealth.Penalty, onTrial: onTrial, trialDue: onTrial && !now.Before(l.nextTrial),
	}
}

// priorWeight is the weight, in answers, of the service's mean against the latencies
// measured at a target. Single latencies vary by half their mean, so one measurement says
// about as much as the assumption that the target is like the others.
const priorWeight = 1.0

// serviceTime returns the estimated time of a request in seconds; mean is the mean over the
// targets of the service. Measurements decay, so a target that gets no more requests is
// assumed to be as fast as the others again.
func (a *assessment) serviceTime(mean float64) float64 {
	return (mean*priorWeight + a.latency*a.answers) / (priorWeight + a.answers)
}

// minReportedLogRatio and singleAnswerLogRatio are the deviations of a target's latency
// from that of its service above which it is reported to other VMs, as the logarithm of the
// ratio. The first is a factor of 1.5. The second applies to few answers: it is twice the
// standard deviation of the logarithm of the mean, which is 0.6 for one answer. Other VMs
// assume the mean for targets that are not reported.
const (
	minReportedLogRatio  = 0.4
	singleAnswerLogRatio = 1.2
)

// answerReport returns what to report to other VMs of the target's answers, and whether it
// deviates enough to be reported. mean is the mean latency of its service.
func (l *load) answerReport(now time.Time, mean time.Duration) (s answer.Sample, callers answer.CallerSet, notable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s = l.outcomes.Sample(now)
	deviates := false
	if answered := s.Answers - s.Failed; answered >= 1 && mean > 0 && s.Latency > 0 {
		deviates = math.Abs(math.Log(s.Latency.Seconds()/mean.Seconds())) > max(minReportedLogRatio, singleAnswerLogRatio/math.Sqrt(answered))
	}
	return s, l.outcomes.FailedCallers(now), s.Failed >= minReportedFailures || deviates
}

// minReportedFailures is the weight of failures below which none are reported.
const minReportedFailures = 0.2

// noteAnswer records that the target was heard from; accepted is set if it accepted a flow. It
// reports whether the target had been avoided without being heard from since, whether it had been
// suspect, and whether other VMs report it as silent and need a report of the answer.
func (l *load) noteAnswer(now time.Time, accepted bool) (recovered, wasSuspect, disputed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	recovered = l.health.unheardSinceAvoided()
	wasSuspect = l.health.unanswered >= suspectThreshold
	disputed = l.health.summariseReports(now).vms > 0 || now.Before(l.health.avoidUntil)
	if accepted {
		l.health.noteAccepted(now)
	} else {
		l.health.noteAnswer(now)
	}
	return recovered, wasSuspect, disputed
}

// noteUnanswered records a flow that the target left unanswered.
func (l *load) noteUnanswered(now time.Time, kind silenceKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	l.health.noteUnanswered(now, kind)
}

// noteRefused records that the target, which is alive, left a first segment of a flow unanswered
// that was sent at a time.
func (l *load) noteRefused(now, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.health.full.acceptedAt.After(sentAt) {
		l.health.full.noteRefused(now, 1)
	}
}

// noteFlowEnded records that a caller ended a flow at the target.
func (l *load) noteFlowEnded(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.full.noteFlowEnded(now)
}

// renewUnanswered renews the evidence against the target after a further repetition of a
// counted segment, and reports whether it did. sentAt is when the segment was sent before.
func (l *load) renewUnanswered(now, sentAt time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.health.unanswered == 0 || l.health.heardAt.After(sentAt) || l.health.othersHeardAt.After(sentAt) {
		return false
	}
	l.markActive()
	l.health.renewUnanswered(now)
	return true
}

// noteDelayed records a flow that the target left unanswered while this VM's own link was
// congested.
func (l *load) noteDelayed(now, sentAt time.Time, kind silenceKind, alone bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.health.heardAt.After(sentAt) || l.health.othersHeardAt.After(sentAt) {
		return
	}
	l.health.delayed.note(now, kind)
	l.health.updateVerdict(now, alone)
}

// suspect reports whether new flows should avoid the target.
func (l *load) suspect(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.suspect(now)
}

// unheardSinceAvoided reports whether the target accepted no flows when it was last tried.
func (l *load) unheardSinceAvoided() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.unheardSinceAvoided()
}

// unreachable reports whether the target is gone or unreachable; alone is set if no other
// VM of the data centre is heard.
func (l *load) unreachable(now time.Time, alone bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.unreachable(now, alone)
}

// updateVerdict returns the present verdict on the target.
func (l *load) updateVerdict(now time.Time, alone bool) verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.updateVerdict(now, alone)
}

// contradictsReports reports whether other VMs find the target silent, this VM has heard from
// it, and none has said so.
func (l *load) contradictsReports(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.contradictsReports(now)
}

// foundSilent reports whether there is fresh evidence that the target is silent.
func (l *load) foundSilent(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.unanswered > 0 && now.Sub(l.health.unansweredAt) < evidenceLifetime || l.health.summariseReports(now).vms > 0
}

// lastHeard returns when the target was last heard from by this VM, and by other VMs of the
// data centre according to their reports.
func (l *load) lastHeard() (here, elsewhere time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.heardAt, l.health.othersHeardAt
}

// setSilence sets other VMs' reports on the silence of the target, and reports whether that
// ended an avoidance.
func (l *load) setSilence(report baobabstep.TargetLoad) (resumed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	return l.health.setSilence(report)
}

// startAvoidance starts an avoidance if the target accepts no flows, and reports whether it
// did.
func (l *load) startAvoidance(now time.Time, vms int, draw float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	return l.health.startAvoidance(now, vms, draw)
}

// silenceReport returns what to report to other VMs of the silence of the target: the
// evidence while it is fresh, and when the target was last heard from if other VMs report
// it as silent.
func (l *load) silenceReport(now time.Time) baobabstep.TargetLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &l.health
	report := baobabstep.TargetLoad{HeardAt: h.heardAt, ReportedSilent: len(h.reports) > 0 || h.recentlyAvoided(now)}
	if now.Sub(h.unansweredAt) < evidenceLifetime {
		requests := min(h.silentRequests(now), maxReportedCount)
		report.UnansweredOpens, report.NotRetransmitted = min(h.opens, maxReportedCount), min(h.vanished, maxReportedCount)
		report.Unanswered = requests + report.UnansweredOpens + report.NotRetransmitted
		report.LastUnansweredAt = h.unansweredAt
		if requests > 0 {
			report.RequestUnansweredAt = h.requestsAt
		}
	}
	return report
}

// decayingCounter counts events with weights that decay exponentially with loadWindow.
type decayingCounter struct {
	value float64
	at    time.Time
}

func (c *decayingCounter) read(now time.Time) float64 {
	if c.value == 0 {
		return 0 // true of most targets in a large fleet
	}
	return c.value * decay.Factor(now.Sub(c.at), loadWindow)
}

func (c *decayingCounter) add(now time.Time, n float64) {
	c.value = c.read(now) + n
	c.at = now
}

// countNewFlow counts the first request of a new flow. A target on trial may get its next
// flow after trialInterval.
func (l *load) countNewFlow(now time.Time, vms int, trialInterval time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	l.ownRequests.add(now, 1)
	l.health.noteTrial(now)
	l.health.full.notePlaced(now, vms)
	l.health.delayed.trialAt = now.Add(minTrialPause)
	l.nextTrial = now.Add(trialInterval)
}

// countRequest counts a request on an established flow.
func (l *load) countRequest(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	l.ownRequests.add(now, 1)
}

// requests returns the recent requests of this VM, and of all VMs.
func (l *load) requests(now time.Time) (own, all float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own = l.ownRequests.read(now)
	return own, own + l.otherRequests
}

// setPeerLoad sets the target's load on other VMs, and reports whether that ended an
// avoidance. alone is as in updateVerdict.
func (l *load) setPeerLoad(now time.Time, peers baobabstep.TargetLoad, alone bool) (resumed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(peers.SilenceReports) > 0 {
		l.markActive()
	}
	l.otherRequests = peers.Requests
	l.otherAnswers = answer.Sample{Answers: peers.Answers, Failed: peers.Failed, Latency: peers.MeanLatency}
	l.otherCallers = answer.CallerSet(peers.Callers)
	resumed = l.health.setSilence(peers)
	l.health.updateVerdict(now, alone)
	return resumed
}

// unansweredCounts returns the number of consecutive flows that were left unanswered, and
// how many of these left a first segment unanswered.
func (l *load) unansweredCounts() (flows, opens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.unanswered, l.health.opens
}

// evidence is what is known of the silence of a target, for events.
type evidence struct {
	// unanswered, opens and requests are the unanswered flows, first segments and requests on
	// open flows that this VM saw; others are those reported by other VMs.
	unanswered, opens, requests int
	others                      silenceSummary
	// sinceHeard is the time since the target was last heard from, negative if it never was.
	sinceHeard time.Duration
}

func (l *load) evidence(now time.Time) evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &l.health
	e := evidence{unanswered: h.unanswered, opens: h.opens, requests: h.silentRequests(now), others: h.summariseReports(now), sinceHeard: -1}
	if !h.heardAt.IsZero() {
		e.sinceHeard = now.Sub(h.heardAt)
	}
	return e
}

// inheritedShare is the part of the mean load of other VMs that a new target is assumed to
// have. It is less than 1, since the target is idle at first.
const inheritedShare = 0.8

// setInitialRequests gives a new target the load that the others have. With no load it
// would get every new flow of every VM until it had caught up, many times its capacity. In a
// large fleet nearly all load is that of the other VMs; it counts until their reports, which
// arrive one by one, show as much.
func (l *load) setInitialRequests(now time.Time, own, others float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	l.ownRequests = decayingCounter{value: own, at: now}
	l.inheritedRequests = decayingCounter{value: inheritedShare * others, at: now}
}
