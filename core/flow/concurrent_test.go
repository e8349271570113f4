package flow_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/flow"
)

// lockedChooser is a fakeChooser for concurrent use.
type lockedChooser struct {
	mu sync.Mutex
	fakeChooser
}

func (c *lockedChooser) PickFlow(now time.Time, s *baobabstep.Service, near string, draw uint64) (baobabstep.TargetID, baobabstep.Code) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fakeChooser.PickFlow(now, s, near, draw)
}

func (c *lockedChooser) FlowOpened(now time.Time, id baobabstep.TargetID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fakeChooser.FlowOpened(now, id)
}

func (c *lockedChooser) FlowClosed(now time.Time, id baobabstep.TargetID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fakeChooser.FlowClosed(now, id)
}

// Several goroutines handle packets while view and configuration change and
// the periodic work runs. Each flow must be opened and closed once, and the
// chooser's counts must return to 0: a lost update would make a target look
// busy forever.
func TestConcurrentUse(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 3, dcs: 1, targets: 6})
	chooser := &lockedChooser{fakeChooser: fakeChooser{counts: map[baobabstep.TargetID]int{}}}
	self := x.vms[0].ID
	r := flow.New(x.now, flow.Options{Self: self, DataCentre: "dc0", Chooser: chooser, Rand: rand.New(rand.NewPCG(1, 1))})
	alone := &baobabstep.View{Self: self, Members: x.vms[:1]}
	r.SetConfig(x.now, x.config)
	r.SetView(x.now, alone)
	const threads, flows = 4, 2000
	var packets, control sync.WaitGroup
	for thread := range threads {
		packets.Go(func() {
			for n := range flows {
				openAndClose(x, r, x.key(thread*flows+n))
			}
		})
	}
	done := make(chan struct{})
	control.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			default:
			}
			now := x.now.Add(time.Duration(i) * time.Millisecond)
			var out baobabstep.Outbox
			r.Tick(now, &out)
			r.SetView(now, &baobabstep.View{Self: self, Members: x.vms[:1+i%2]})
			r.SetConfig(now, x.config)
			r.Stats()
			r.Explain(x.key(i))
		}
	})
	packets.Wait()
	close(done)
	control.Wait()
	r.SetView(x.now, alone)
	for i := range 100 {
		var out baobabstep.Outbox
		r.Tick(x.now.Add(time.Hour+time.Duration(i)*100*time.Millisecond), &out)
	}
	for id, n := range chooser.counts {
		qt.Assert(t, n, qt.Equals, 0, qt.Commentf("target %x", id))
	}
	qt.Assert(t, r.Stats().Flows["established"], qt.Equals, 0)
}

// openAndClose opens, uses and closes one flow at one router.
func openAndClose(x *testNetwork, r *flow.Router, key baobabstep.FlowKey) {
	var out baobabstep.Outbox
	r.Handle(x.now, &baobabstep.Packet{Kind: baobabstep.KindOpen, Flow: key}, &out)
	if len(out) == 0 {
		return
	}
	sent := out[0].Packet
	opened := baobabstep.Packet{
		Kind: baobabstep.KindOpened, FromTarget: true, Flow: key, Service: sent.Service, Target: sent.Target, Version: 1,
	}
	r.Handle(x.now, &opened, &out)
	r.Handle(x.now, &baobabstep.Packet{Kind: baobabstep.KindData, Flow: key}, &out)
	closing := baobabstep.Packet{Kind: baobabstep.KindClose, Flow: key}
	closing.Route.Purpose = baobabstep.PurposeForward
	out = out[:0]
	r.Handle(x.now, &closing, &out)
	for i := range out {
		// The holder sends the close through the second copy, which
		// does not exist here, so its reply is simulated.
		if back := out[i].Packet; out[i].Dest == baobabstep.DestVM && back.Kind == baobabstep.KindClose {
			back.Route = baobabstep.Route{Purpose: baobabstep.PurposeForget, From: out[i].VM}
			back.Service, back.Target = sent.Service, sent.Target
			r.Handle(x.now, &back, &out)
			return
		}
	}
}
