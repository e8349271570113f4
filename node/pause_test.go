package node

import (
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep/core/flow"
)

// slowPolicy takes its time to take in a pause.
type slowPolicy struct {
	flow.Policy
	entered, release chan struct{}
	told             atomic.Bool
}

func (p *slowPolicy) SetPaused(now time.Time, paused bool) {
	close(p.entered)
	<-p.release
	p.Policy.SetPaused(now, paused)
	p.told.Store(true)
}

// A VM wakes up with packets waiting in several sockets, and two of its data
// goroutines notice the pause. The second one used to see that the pause was
// noted and went on, before the parts had been told: it could open flows and
// hand over requests that other VMs had taken over. It has to wait.
func TestPauseIsKnownToThePartsBeforeAnyPacket(t *testing.T) {
	f := newFixture(t)
	f.joined()
	slow := &slowPolicy{Policy: f.node.flows, entered: make(chan struct{}), release: make(chan struct{})}
	f.node.flows = slow
	f.clock.advance(pauseLimit + time.Millisecond)
	now := f.clock.Now()
	first, second := make(chan struct{}), make(chan bool, 1)
	go func() {
		defer close(first)
		f.node.notePause(now)
	}()
	<-slow.entered
	go func() {
		f.node.notePause(now)
		second <- slow.told.Load()
	}()
	for range 1000 {
		runtime.Gosched()
	}
	close(slow.release)
	qt.Assert(t, <-second, qt.IsTrue)
	<-first
}
