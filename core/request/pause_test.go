package request

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// The dispatcher is paused with requests in its queue, since its only target is
// silent. When the VM resumes, the slots look free by its clock, but the target
// may have started to leave during the pause, and other VMs may assign its slots.
// The dispatcher must not send anything to targets until the pause is over, and
// then continue.
func TestPausedDispatcherHandsOverNothing(t *testing.T) {
	b := newTestBed(t, 3, 1, 1)
	for _, target := range b.targets {
		target.silent = true
	}
	d := b.members()[0]
	for number := range uint64(6) {
		b.sendRequest(d, transmission{number: number + 1, idempotent: true, timeout: 5 * time.Second})
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
