package token

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
)

// loadWindow is the time over which requests count as load. It is long against
// the time that a request takes, so that the count does not jump with each, and
// short against the seconds in which demand moves.
const loadWindow = 2 * time.Second

// load counts what is sent to one target.
type load struct {
	// flows are the open flows that this VM has records of.
	flows atomic.Int32

	mu sync.Mutex
	// recent are the requests that this VM sent.
	recent meter
	// others are the requests that other VMs sent, by their last word.
	others float64
	health health
	// took is how long requests at the target take, in seconds, by this VM's
	// own callers; 0 before any was seen. tookAt is when the last one ended.
	took   float64
	tookAt time.Time
}

const (
	// tookGain is the weight of one request in load.took: some five requests
	// show that a target has become slow.
	tookGain = 0.2
	// tookFade is the time after which a target that got no more requests is
	// taken for as fast as the others again. Slow targets get few.
	tookFade = 5 * time.Second
)

// finished notes how long a request took.
func (l *load) finished(now time.Time, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.tookAt.IsZero() {
		l.took = took.Seconds()
	}
	l.took += tookGain * (took.Seconds() - l.took)
	l.tookAt = now
}

// newLoad returns the load of a target that appears.
func newLoad(now time.Time) *load { return &load{health: health{knownSince: now}} }

// assessment is what a load says for the choice of a target, at one moment.
type assessment struct {
	// suspect and doubtful are as in health, requests those of all VMs.
	suspect, doubtful bool
	requests          float64
	// took is how long requests take in seconds, weight what that counts
	// against the mean of the service, and measured that any was seen lately.
	took, weight float64
	measured     bool
}

// assess returns all that the choice of a target needs under one lock.
func (l *load) assess(now time.Time) assessment {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := assessment{
		suspect: l.health.suspect(now), doubtful: l.health.doubtful(now),
		requests: l.recent.read(now) + l.others, took: l.took,
	}
	if !l.tookAt.IsZero() {
		since := now.Sub(l.tookAt)
		a.weight, a.measured = math.Exp(-float64(since)/float64(tookFade)), since < tookFade
	}
	return a
}

// serviceTime returns how long a request takes, in seconds, where mean is what
// it takes at the targets of the service on average.
func (a *assessment) serviceTime(mean float64) float64 { return mean + (a.took-mean)*a.weight }

// answered notes that the target was heard of, and tells whether it had been
// suspect.
func (l *load) answered(now time.Time) (again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	again = l.health.unanswered >= suspectAt
	l.health.answered(now)
	return again
}

// left notes a flow that the target left unanswered.
func (l *load) left(now time.Time, how silence) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.left(now, how)
}

// suspect tells whether new flows should avoid the target.
func (l *load) suspect(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.suspect(now)
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

// disputed tells whether other VMs say that the target is silent.
func (l *load) disputed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.others > 0
}

// meter counts events, each with a weight that fades over loadWindow.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) read(now time.Time) float64 {
	passed := now.Sub(m.at)
	if passed <= 0 || m.value == 0 {
		return m.value
	}
	return m.value * math.Exp(-float64(passed)/float64(loadWindow))
}

func (m *meter) add(now time.Time, n float64) {
	m.value = m.read(now) + n
	m.at = now
}

// placed counts the first request of a new flow.
func (l *load) placed(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent.add(now, 1)
	l.health.tried(now)
}

// started counts a request on an established flow.
func (l *load) started(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent.add(now, 1)
}

// requests returns the recent requests of this VM and of all others.
func (l *load) requests(now time.Time) (own, all float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	own = l.recent.read(now)
	return own, own + l.others
}

// setOthers sets what other VMs say of the target.
func (l *load) setOthers(said baobabstep.TargetLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.others = said.Requests
	l.health.others, l.health.othersOpens = said.Unanswered, said.Opens
	l.health.witnesses, l.health.othersHeardAt = said.Witnesses, said.HeardAt
}

// unanswered returns the numbers of flows in a row that were left unanswered,
// and of those that were from their first segment on.
func (l *load) unanswered() (flows, opens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.unanswered, l.health.opens
}

// told returns what other VMs are told of the target: unanswered, while fresh.
func (l *load) told(now time.Time) (flows, opens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.health.leftAt) >= freshFor {
		return 0, 0
	}
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
	return l.health.unanswered, l.health.opens, l.health.others, heard
}

// begin gives a target that has just appeared the load that others have. With
// none it would get every new flow of every VM until it had caught up, many
// times what it can run.
func (l *load) begin(now time.Time, own float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent = meter{value: own, at: now}
}
