package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"baobabstep/platform/standin"
)

const (
	// requestLimit is a caller's time limit.
	requestLimit = 1500 * time.Millisecond
	// pause is the mean time between two requests of one user, idlePause that on a flow which is
	// idle most of the time.
	pause     = 40 * time.Millisecond
	idlePause = 700 * time.Millisecond
	// longFlow is the number of requests on a long flow, idleFlow that on an idle one.
	longFlow = 60
	idleFlow = 8
)

// load drives requests through the fleet.
type load struct {
	fleet    *fleet
	numbers  atomic.Uint64
	finished chan struct{}
}

// user opens flows from one caller until ctx ends, short ones, long ones and idle ones
// in turn, and leaves a flow only after its last request.
func (l *load) user(ctx context.Context, c *standin.Caller, random *rand.Rand) {
	defer func() { l.finished <- struct{}{} }()
	for ctx.Err() == nil {
		requests, wait := 1, pause
		switch random.IntN(8) {
		case 0, 1:
			requests = 1 + random.IntN(longFlow)
		case 2:
			requests, wait = 1+random.IntN(idleFlow), idlePause
		}
		l.flow(ctx, c, serviceAddress(random.IntN(len(services))), requests, wait, random)
	}
}

// flow opens one flow and sends requests on it, with the given mean pause between them.
func (l *load) flow(ctx context.Context, c *standin.Caller, service netip.AddrPort, requests int, wait time.Duration, random *rand.Rand) {
	f, outcome := c.Open(ctx, service)
	defer f.Close()
	if outcome != standin.Answered {
		l.end(ctx, outcome, nil)
		return
	}
	for n := range requests {
		outcome := f.Request(ctx, l.numbers.Add(1), requestLimit)
		t := l.fleet.byID(f.Target)
		l.end(ctx, outcome, t)
		if outcome != standin.Answered {
			return
		}
		if n == 0 {
			l.fleet.judge.placed(t, time.Now())
		}
		sleep(ctx, time.Duration(random.Float64()*2*float64(wait)))
	}
}

func (l *load) end(ctx context.Context, outcome standin.Outcome, t *target) {
	if ctx.Err() == nil {
		l.fleet.judge.ended(outcome, t, time.Now())
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
