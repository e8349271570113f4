package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// openAfter is the number of failures in a row that opens the circuit.
	openAfter = 4
	// firstPause is the pause before the first trial call. It doubles up to
	// one that grows with the fleet, from 1 s to 20 s, so that
	// all VMs together make some hundred trials a second at most, and a small
	// fleet is back soon. The whole fleet finds the platform down at the same
	// moment; pauses are drawn from the full range so that its return does not
	// meet all at once.
	firstPause  = 250 * time.Millisecond
	minMaxPause = time.Second
	maxMaxPause = 20 * time.Second
	pausePerVM  = 10 * time.Millisecond
)

// circuit stops calls to a platform that is down. While it is open a single
// trial passes after each pause.
type circuit struct {
	mu       sync.Mutex
	rand     *rand.Rand
	failures int
	trial    bool
	nextAt   time.Time
	pause    time.Duration
	maxPause time.Duration
}

func newCircuit(r *rand.Rand) *circuit {
	return &circuit{rand: r, pause: firstPause, maxPause: minMaxPause}
}

func (c *circuit) setFleetSize(vms int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maxPause = min(max(minMaxPause, time.Duration(vms)*pausePerVM), maxMaxPause)
}

func (c *circuit) open() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures >= openAfter
}

func (c *circuit) allow(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failures < openAfter {
		return true
	}
	if c.trial || now.Before(c.nextAt) {
		return false
	}
	c.trial = true
	return true
}

// release takes back an allow whose call was not made.
func (c *circuit) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trial = false
}

func (c *circuit) report(now time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trial = false
	if ok {
		c.failures, c.pause = 0, firstPause
		return
	}
	c.failures++
	if c.failures < openAfter {
		return
	}
	c.nextAt = now.Add(firstPause/4 + time.Duration(c.rand.Int64N(int64(c.pause))))
	c.pause = min(2*c.pause, c.maxPause)
}
