package request

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// The dispatcher is paused with requests in its queue, since its only target is
// silent. When the VM goes on, the slots are free by its clock, but the target
// may have begun to leave meanwhile, and others may give out its slots. It hands
// over nothing before it is sure of its place again, and then goes on.
func TestPausedDispatcherHandsOverNothing(t *testing.T) {
	b := newBench(t, 3, 1, 1)
	for _, target := range b.targets {
		target.silent = true
	}
	d := b.members()[0]
	for number := range uint64(6) {
		b.ask(d, request{number: number + 1, idempotent: true, timeout: 5 * time.Second})
	}
	b.run(50 * time.Millisecond)
	engine := b.vms[d].engine
	before := engine.Stats().HandedOver
	engine.SetPaused(b.now, true)
	for range 100 {
		b.run(10 * time.Millisecond)
		var out baobabstep.Outbox
		engine.Tick(b.now, &out)
	}
	qt.Assert(t, engine.Stats().HandedOver, qt.Equals, before)
	engine.SetPaused(b.now, false)
	b.run(time.Second)
	qt.Assert(t, engine.Stats().HandedOver > before, qt.IsTrue)
}
