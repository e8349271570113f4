package token

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
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
}

// answered notes that the target was heard of.
func (l *load) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.answered()
}

// left notes a flow that the target left unanswered.
func (l *load) left(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.health.left(now)
}

// suspect tells whether new flows should avoid the target.
func (l *load) suspect(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.health.suspect(now)
}

// meter counts events, each with a weight that fades over loadWindow.
type meter struct {
	value float64
	at    time.Time
}

func (m *meter) read(now time.Time) float64 {
	passed := now.Sub(m.at)
	if passed <= 0 {
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

// begin gives a target that has just appeared the load that others have. With
// none it would get every new flow of every VM until it had caught up, many
// times what it can run.
func (l *load) begin(now time.Time, own float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent = meter{value: own, at: now}
}
