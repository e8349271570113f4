package token

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
	"baobabstep/core/answer"
	"baobabstep/core/fade"
)

// loadWindow is the time over which requests count as load. It is long against
// the time that a request takes, so that the count does not jump with each, and
// short against the seconds in which demand moves.
const loadWindow = 2 * time.Second

// load counts what is sent to one target.
type load struct {
	// id identifies the target; active is the set of targets that may have something
	// to report to other VMs.
	id     baobabstep.TargetID
	active *targetSet
	// flows are the open flows that this VM has records of.
	flows atomic.Int32

	mu sync.Mutex
	// recent are the requests that this VM sent.
	recent meter
	// others are the requests that other VMs sent, by their last word.
	others float64
	health health
	// tally counts what became of requests that this VM sent; othersAnswers
	// and othersCallers are what other VMs of the data centre say of theirs.
	tally         answer.Tally
	othersAnswers answer.Sample
	othersCallers answer.Callers
	verdict       answer.Verdict
	// nextTrial is when a target on trial may get the next flow.
	nextTrial time.Time
	cold      coldness
}

// newLoad returns the load of a target that appears.
func newLoad(now time.Time, id baobabstep.TargetID, active *targetSet) *load {
	return &load{id: id, active: active, health: health{knownSince: now}}
}

// markActive adds the target to those that the next Router.Loads examines.
func (l *load) markActive() { l.active.add(l.id) }

// leastToldRequests is the weight of recent requests below which a target has none to
// report: heartbeats carry whole tenths.
const leastToldRequests = 0.1

// toldLoad returns what other VMs are told of the target, and whether the target stays
// active: it has something to report, or may have later without a further event. mean
// is the time of answers of its service.
func (l *load) toldLoad(now time.Time, mean time.Duration) (told baobabstep.TargetLoad, active bool) {
	told = l.toldSilence(now)
	told.Target = l.id
	told.Requests, _ = l.requests(now)
	sample, callers, notable := l.toldAnswers(now, mean)
	if notable {
		told.Answers, told.Failed, told.Took, told.Callers = sample.Answers, sample.Failed, sample.Took, uint16(callers)
	}
	active = told.Requests >= leastToldRequests || sample.Answers >= leastTold || told.Unanswered > 0 || told.Disputed
	return told, active
}

// assessment is what a load says for the choice of a target, at one moment.
type assessment struct {
	// suspect and doubtful are as in health; own are the recent requests that
	// this VM sent, others those that other VMs did.
	suspect, doubtful bool
	own, others       float64
	// took is how long requests take in seconds, answers the weight of those
	// that were seen.
	took, answers float64
	// penalty is the work, in slots, by which the target counts as busier;
	// onTrial and trialDue tell whether it is tried, and may get a flow now.
	penalty           float64
	onTrial, trialDue bool
}

// assess returns all that the choice of a target needs under one lock.
func (l *load) assess(now time.Time) assessment {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.tally.Sample(now).Plus(l.othersAnswers)
	onTrial := l.verdict.State == answer.OnTrial
	suspect, doubtful := l.health.standing(now)
	return assessment{
		suspect: suspect, doubtful: doubtful,
		own: l.recent.read(now), others: l.others,
		took: seen.Took.Seconds(), answers: seen.Answers - seen.Failed,
		penalty: l.verdict.Penalty, onTrial: onTrial, trialDue: onTrial && !now.Before(l.nextTrial),
	}
}

// doubt is the weight, in answers, that the mean of the service has against the
// times that were seen at a target. Times of single requests differ by half their
// mean, so one says about as much as that the target is like the others.
const doubt = 1.0

// serviceTime returns how long a request takes, in seconds, where mean is what
// it takes at the targets of the service on average. What was seen fades, so a
// target that got no more requests is taken for as fast as the others again.
func (a *assessment) serviceTime(mean float64) float64 {
	return (mean*doubt + a.took*a.answers) / (doubt + a.answers)
}

// tellTimes and tellOne are by how much a target's times have to differ from its
// service's for other VMs to be told, as the logarithm of the ratio: by a factor
// of 1.5, and for few answers by twice what chance makes of the mean of so many,
// whose logarithm deviates by 0.6 for one. What the others are not told they take
// for the mean.
const (
	tellTimes = 0.4
	tellOne   = 1.2
)

// toldAnswers returns what other VMs are told of a target's answers, and whether
// there is anything to tell. mean is the time of answers of its service.
func (l *load) toldAnswers(now time.Time, mean time.Duration) (s answer.Sample, callers answer.Callers, notable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s = l.tally.Sample(now)
	odd := false
	if good := s.Answers - s.Failed; good >= 1 && mean > 0 && s.Took > 0 {
		odd = math.Abs(math.Log(s.Took.Seconds()/mean.Seconds())) > max(tellTimes, tellOne/math.Sqrt(good))
	}
	return s, l.tally.Callers(now), s.Failed >= leastTold || odd
}

// leastTold is the weight of failures below which nothing is told.
const leastTold = 0.2

// answered notes that the target was heard of, and tells whether it had taken no
// flows, whether it had been suspect, and whether other VMs say that it is silent
// and are to hear of it.
func (l *load) answered(now time.Time) (back, again, disputed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	back = l.health.distrusted()
	again = l.health.unanswered >= suspectAt
	disputed = l.health.others(now).vms > 0 || now.Before(l.health.avoidUntil)
	l.health.answered(now)
	return back, again, disputed
}

// left notes a flow that the target left unanswered.
func (l *load) left(now time.Time, how silence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	l.health.left(now, how)
}

// suspect tells whether new flows should avoid the target.
func (l *load) suspect(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.suspect(now)
}

// distrusted tells whether the target took no flows when last tried.
func (l *load) distrusted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.distrusted()
}

// dark tells whether the target is gone or out of reach; alone is set if no other
// VM of the data centre is heard.
func (l *load) dark(now time.Time, alone bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.dark(now, alone)
}

// heardAt returns when the target was last heard of here, and by other VMs of
// the data centre as far as they say.
func (l *load) heardAt() (here, elsewhere time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.heardAt, l.health.othersHeardAt
}

// setSilence sets what other VMs say of the silence of the target, and tells
// whether it was avoided until now.
func (l *load) setSilence(said baobabstep.TargetLoad) (again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	return l.health.setSilence(said)
}

// avoid keeps new flows away from the target if it takes none, and tells whether
// that begins.
func (l *load) avoid(now time.Time, vms int, draw float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	return l.health.avoid(now, vms, draw)
}

// toldSilence returns what other VMs are told of the silence of the target, while
// it is fresh, and when it was heard of if they say that it is silent.
func (l *load) toldSilence(now time.Time) baobabstep.TargetLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := &l.health
	told := baobabstep.TargetLoad{HeardAt: h.heardAt, Disputed: len(h.reports) > 0 || h.lately(now)}
	if now.Sub(h.leftAt) < freshFor {
		told.Unanswered, told.Opens, told.Vanished, told.LeftAt = h.unanswered, h.opens, h.vanished, h.leftAt
	}
	return told
}

// meter counts events, each with a weight that fades over loadWindow.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) read(now time.Time) float64 {
	if m.value == 0 {
		return 0 // most targets of a large fleet
	}
	return m.value * fade.Left(now.Sub(m.at), loadWindow)
}

func (m *meter) add(now time.Time, n float64) {
	m.value = m.read(now) + n
	m.at = now
}

// placed counts the first request of a new flow. Another one may go to a target
// on trial after trialGap.
func (l *load) placed(now time.Time, trialGap time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	l.recent.add(now, 1)
	l.health.tried(now)
	l.nextTrial = now.Add(trialGap)
}

// started counts a request on an established flow.
func (l *load) started(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	l.recent.add(now, 1)
}

// requests returns the recent requests of this VM and of all others.
func (l *load) requests(now time.Time) (own, all float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own = l.recent.read(now)
	return own, own + l.others
}

// setOthers sets what other VMs say of the target, and tells whether it was avoided
// until now.
func (l *load) setOthers(said baobabstep.TargetLoad) (again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(said.Silence) > 0 {
		l.markActive()
	}
	l.others = said.Requests
	l.othersAnswers = answer.Sample{Answers: said.Answers, Failed: said.Failed, Took: said.Took}
	l.othersCallers = answer.Callers(said.Callers)
	return l.health.setSilence(said)
}

// unanswered returns the numbers of flows in a row that were left unanswered,
// and of those that were from their first segment on.
func (l *load) unanswered() (flows, opens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.unanswered, l.health.opens
}

// evidence returns what stands against the target here and by the word of other
// VMs, and how long ago it was heard of; negative if never.
func (l *load) evidence(now time.Time) (unanswered, opens, others int, heard time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	heard = -1
	if !l.health.heardAt.IsZero() {
		heard = now.Sub(l.health.heardAt)
	}
	return l.health.unanswered, l.health.opens, l.health.others(now).unanswered, heard
}

// begin gives a target that has just appeared the load that others have. With
// none it would get every new flow of every VM until it had caught up, many
// times what it can run.
func (l *load) begin(now time.Time, own float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.markActive()
	l.recent = meter{value: own, at: now}
}
