package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// A VM with nothing to hand over is stopped while the fabric still sends to it.
// Ended at once, it would take requests and answers with it: callers repeat
// them, and are told "unknown" of what ran. It has to go on until nothing came
// from outside for a while; what other VMs pass on, and answers to its own
// probes, do not keep it.
func TestStopWaitsForTheFabric(t *testing.T) {
	passedOn := openPacket(3)
	passedOn.Route.Purpose = baobabstep.PurposeForward
	tests := []struct {
		name   string
		packet baobabstep.Packet
		after  time.Duration
		want   time.Duration
	}{
		{"open", openPacket(2), 300 * time.Millisecond, 300*time.Millisecond + outsideQuiet},
		{"passed on by a VM", passedOn, 300 * time.Millisecond, outsideQuiet},
		{"answer to a probe", baobabstep.Packet{Kind: baobabstep.KindHealthReport}, 300 * time.Millisecond, outsideQuiet},
		{"fabric that never stops", openPacket(2), time.Hour, outsideLimit},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.joined()
			began := f.clock.Now()
			for {
				var out baobabstep.Outbox
				left, done := f.node.stopStep(began, f.clock.Now(), &out)
				if done {
					qt.Assert(t, left, qt.Equals, stopResult{})
					break
				}
				if f.clock.Now().Sub(began) <= test.after {
					f.handle(test.packet)
				}
				f.run(controlTick)
			}
			qt.Assert(t, f.clock.Now().Sub(began), qt.Equals, test.want)
		})
	}
}
