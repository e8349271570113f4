package emulator

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

func TestQueueYieldsEventsInOrder(t *testing.T) {
	var q queue
	draw := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		q.push(time.Duration(draw.IntN(50)), func() {})
	}
	last := q.pop()
	for len(q.events) > 0 {
		next := q.pop()
		qt.Assert(t, last.before(&next), qt.IsTrue)
		last = next
	}
}

func TestTarget(t *testing.T) {
	t.Run("runs a request in a slot", func(t *testing.T) {
		w := newWorld(t, tiny())
		w.ask(1, 20)
		w.runTo(time.Second)
		assertClass(t, w, 1, 1, 0, 0)
	})
	t.Run("lets one wait and sheds the next when its turn would have come", func(t *testing.T) {
		w := newWorld(t, tiny())
		w.deployment.Classes[0].Retries = 0
		w.ask(0, 300)
		w.runTo(50 * time.Millisecond)
		w.ask(0, 20)
		w.runTo(60 * time.Millisecond)
		w.ask(0, 20)
		w.runTo(200 * time.Millisecond)
		qt.Assert(t, w.result.Tries.Shed, qt.Equals, 1)
		assertClass(t, w, 0, 0, 0, 0)
		w.runTo(time.Second)
		assertClass(t, w, 0, 0, 2, 1)
	})
	t.Run("is slower while it is cold", func(t *testing.T) {
		w := newWorld(t, tiny())
		w.order[0].crash(false)
		w.order[0].start(true)
		w.ask(1, 60)
		w.runTo(time.Second)
		assertClass(t, w, 1, 0, 1, 0)
	})
	t.Run("that hangs holds a slot until its caller leaves", func(t *testing.T) {
		w := newWorld(t, tiny())
		w.order[0].fault = fault{kind: KindTargetHang, share: 1}
		w.ask(1, 20)
		w.runTo(time.Second)
		qt.Assert(t, w.order[0].busy, qt.Equals, 1)
		w.order[0].fault = fault{}
		w.runTo(2100 * time.Millisecond)
		qt.Assert(t, w.order[0].busy, qt.Equals, 0)
		assertClass(t, w, 1, 0, 0, 1)
	})
	t.Run("that crashed knows no flow of before", func(t *testing.T) {
		w := newWorld(t, tiny())
		w.deployment.Classes[0].Retries = 0
		w.ask(0, 20)
		w.runTo(100 * time.Millisecond)
		w.order[0].crash(false)
		w.order[0].start(false)
		w.ask(0, 20)
		w.runTo(time.Second)
		assertClass(t, w, 0, 1, 0, 1)
		qt.Assert(t, w.result.window(&request{}).Lost[CauseGone], qt.Equals, 1.0)
	})
}

func TestCaller(t *testing.T) {
	t.Run("keeps flows open and uses them again", func(t *testing.T) {
		w := newWorld(t, tiny())
		w.ask(0, 20)
		w.runTo(time.Second)
		w.ask(0, 20)
		w.runTo(2 * time.Second)
		qt.Assert(t, w.sites[0].callers[0].port, qt.Equals, uint16(firstPort+1))
		assertClass(t, w, 0, 2, 0, 0)
	})
	t.Run("opens a flow for each request that may not be repeated", func(t *testing.T) {
		w := newWorld(t, tiny())
		w.ask(1, 20)
		w.runTo(time.Second)
		w.ask(1, 20)
		w.runTo(2 * time.Second)
		qt.Assert(t, w.sites[0].callers[0].port, qt.Equals, uint16(firstPort+2))
	})
	t.Run("tries again after an error only what may be repeated", func(t *testing.T) {
		w := newWorld(t, tiny())
		w.order[0].fault = fault{kind: KindTargetError, share: 1}
		w.ask(0, 20)
		w.ask(1, 20)
		w.runTo(100 * time.Millisecond)
		qt.Assert(t, w.result.Tries.Errors, qt.Equals, 3)
		assertClass(t, w, 1, 0, 0, 1)
	})
	t.Run("copies a first segment and gives up after a while", func(t *testing.T) {
		w := newWorld(t, tiny())
		w.order[0].crash(true)
		w.deployment.Classes[1].Retries = 0
		w.ask(1, 20)
		w.runTo(openLimit + time.Millisecond)
		assertClass(t, w, 1, 0, 0, 1)
		qt.Assert(t, w.result.window(&request{}).Lost[CauseUnopened], qt.Equals, 2.0)
	})
	t.Run("repeats a request that the target does not have", func(t *testing.T) {
		w := newWorld(t, tiny())
		w.ask(0, 20)
		w.runTo(100 * time.Millisecond)
		for _, v := range w.sites[0].vms {
			v.frozenUntil = 300 * time.Millisecond
		}
		w.ask(0, 20)
		w.runTo(900 * time.Millisecond)
		assertClass(t, w, 0, 1, 1, 0)
	})
	t.Run("leaves after its limit", func(t *testing.T) {
		w := newWorld(t, tiny())
		w.ask(0, 5000)
		w.runTo(2100 * time.Millisecond)
		assertClass(t, w, 0, 0, 0, 1)
	})
}

func TestFabric(t *testing.T) {
	t.Run("takes a VM that is off out after two misses and back", func(t *testing.T) {
		w := newWorld(t, tiny())
		v := w.sites[0].vms[0]
		v.stop()
		w.runTo(probeInterval - time.Millisecond)
		qt.Assert(t, v.rotated, qt.IsTrue)
		w.runTo(2 * probeInterval)
		qt.Assert(t, v.rotated, qt.IsFalse)
		v.start()
		w.runTo(4 * probeInterval)
		qt.Assert(t, v.rotated, qt.IsTrue)
	})
	t.Run("uses another data centre if none of the own is left", func(t *testing.T) {
		w := newWorld(t, tiny())
		for _, v := range w.sites[0].vms {
			v.rotated = false
		}
		qt.Assert(t, w.fabric.pick(w.sites[0].callers[0].newFlow(&w.deployment.Classes[0]).key, 0).site, qt.Equals, 1)
	})
	for _, hash := range []string{HashSteady, HashMod} {
		t.Run("moves flows as "+hash+" does", func(t *testing.T) {
			d := tiny()
			d.Hash, d.DataCentres[0].VMs = hash, 5
			w := newWorld(t, d)
			moved := movedFlows(w)
			if hash == HashSteady {
				qt.Assert(t, moved, qt.Equals, 0)
				return
			}
			qt.Assert(t, moved > 500, qt.IsTrue, qt.Commentf("%d", moved))
		})
	}
}

// movedFlows returns how many of 1,000 flows move though their VM stays, when
// another one leaves.
func movedFlows(w *World) (moved int) {
	vms := w.sites[0].vms
	c := w.sites[0].callers[0]
	var keys []baobabstep.FlowKey
	var before []*vm
	for range 1000 {
		key := c.newFlow(&w.deployment.Classes[0]).key
		keys, before = append(keys, key), append(before, w.fabric.pick(key, 0))
	}
	vms[0].rotated = false
	for i, key := range keys {
		if before[i] != vms[0] && w.fabric.pick(key, 0) != before[i] {
			moved++
		}
	}
	return moved
}

func TestLinks(t *testing.T) {
	w := newWorld(t, tiny())
	t.Run("near and far", func(t *testing.T) {
		delay, ok := w.links.between(0, 1)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, delay, qt.Equals, 500*time.Microsecond)
	})
	t.Run("lost packets", func(t *testing.T) {
		w.links.loss[1] = 0.3
		lost := 0
		for range 10000 {
			if _, ok := w.links.between(0, 1); !ok {
				lost++
			}
		}
		qt.Assert(t, lost > 2800 && lost < 3200, qt.IsTrue, qt.Commentf("%d", lost))
	})
	t.Run("a cut carries nothing to others, but all inside", func(t *testing.T) {
		w.links.cut[1] = true
		_, ok := w.links.between(0, 1)
		qt.Assert(t, ok, qt.IsFalse)
		_, ok = w.links.between(1, 1)
		qt.Assert(t, ok, qt.IsTrue)
	})
}
