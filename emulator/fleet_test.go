package emulator

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

func TestProcessor(t *testing.T) {
	p := processor{share: 0.1}
	qt.Assert(t, p.do(0, time.Millisecond), qt.Equals, 10*time.Millisecond)
	qt.Assert(t, p.do(5*time.Millisecond, time.Millisecond), qt.Equals, 15*time.Millisecond) // behind the first
	qt.Assert(t, p.do(time.Second, time.Millisecond), qt.Equals, 10*time.Millisecond)
	qt.Assert(t, p.used, qt.Equals, 3*time.Millisecond)
}

func TestProcessorsOfADataCentre(t *testing.T) {
	dc := DataCentre{VMs: 4, Processors: []Processors{{VMs: 1, Share: 0.8}, {VMs: 2, Share: 0.061}}}
	var shares []float64
	for n := range dc.VMs {
		shares = append(shares, dc.share(n))
	}
	qt.Assert(t, shares, qt.DeepEquals, []float64{0.8, 0.061, 0.061, 1})
}

// A VM with a sixteenth of a core starts: its process takes 107 ms, its parts and
// its reading of the store 56 ms more. Segments that come while it reads are
// served then; those that come before its sockets are lost.
func TestStart(t *testing.T) {
	d := tiny()
	d.DataCentres[0].Processors = []Processors{{VMs: 2, Share: 0.061}}
	w := newWorld(t, d)
	w.now = 0
	v := w.sites[0].vms[0]
	w.powerOff(v, 0)
	w.runTo(100 * time.Millisecond)
	qt.Assert(t, v.works(w.now), qt.IsFalse)
	qt.Assert(t, v.able(w.now), qt.IsTrue) // an empty program would run
	w.runTo(120 * time.Millisecond)
	qt.Assert(t, v.works(w.now), qt.IsTrue)
	qt.Assert(t, v.router.Ready(), qt.IsFalse)
	f := w.sites[0].callers[0].newFlow(&w.deployment.Classes[0])
	v.receive(&packet{segment: baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: f.key, Seq: f.seq}, flow: f})
	qt.Assert(t, v.held, qt.HasLen, 1)
	w.runTo(200 * time.Millisecond)
	qt.Assert(t, v.router.Ready(), qt.IsTrue)
	qt.Assert(t, v.held, qt.HasLen, 0)
}

// While the store is away a VM that starts knows nothing, and those that run keep
// what they have; what is new reaches all soon after its return.
func TestStoreAway(t *testing.T) {
	w := newWorld(t, tiny())
	w.trouble(Trouble{Kind: KindStoreAway, ForMS: 3000}, rand.New(rand.NewPCG(1, 1)))
	w.powerOff(w.vms[0], 0)
	w.trouble(Trouble{Kind: KindTargetAdd, Share: 1}, rand.New(rand.NewPCG(1, 1)))
	w.runTo(2900 * time.Millisecond)
	qt.Assert(t, w.vms[0].router.Ready(), qt.IsFalse)
	qt.Assert(t, w.vms[1].router.Stats().Targets, qt.Equals, 1)
	w.runTo(3600 * time.Millisecond)
	qt.Assert(t, w.vms[0].router.Ready(), qt.IsTrue)
	for _, v := range w.vms {
		qt.Assert(t, v.router.Stats().Targets, qt.Equals, 2)
	}
}

// A change that a lossy link swallows reaches the data centre behind it with a
// later heartbeat.
func TestNewsOverLossyLinks(t *testing.T) {
	w := newWorld(t, tiny())
	w.links.loss[1] = 0.9
	w.trouble(Trouble{Kind: KindTargetAdd, Share: 1}, rand.New(rand.NewPCG(1, 1)))
	w.runTo(100 * time.Millisecond)
	qt.Assert(t, w.sites[0].vms[0].router.Stats().Targets, qt.Equals, 2)
	w.links.loss[1] = 0
	w.runTo(time.Second)
	qt.Assert(t, w.sites[1].vms[0].router.Stats().Targets, qt.Equals, 2)
}

func TestDoubledPackets(t *testing.T) {
	w := newWorld(t, tiny())
	w.links.double[1] = 0.3
	came := 0
	for range 10000 {
		w.links.carry(0, 1, func() { came++ })
	}
	w.runTo(time.Second)
	qt.Assert(t, came > 12800 && came < 13200, qt.IsTrue, qt.Commentf("%d", came))
}

// VMs are stopped as planned one after the other: each goes on forwarding until
// the fabric has stopped sending, so callers lose nothing.
func TestPlannedRestartsLoseNothing(t *testing.T) {
	t.Parallel()
	d := load(t, "small")
	d.Seconds = 12
	r := play(t, d, Options{Seed: 1, Troubles: []Trouble{{Kind: KindVMRoll, AtMS: 2000, Share: 1, GapMS: 800}}})
	qt.Assert(t, r.Worth > 0.998, qt.IsTrue, qt.Commentf("%v", r.Worth))
}

// Requests meet VMs without power. What one of them could have earned at best is
// given by the first of its segments that meets a VM that had power for long
// enough: in time, late, or nothing.
func TestBestOfARequest(t *testing.T) {
	w := newWorld(t, tiny())
	on, off := w.vms[0], w.vms[1]
	on.poweredAt = 0
	off.stop()
	for _, test := range []struct {
		name string
		data bool
		at   time.Duration // when a copy meets a running VM; 0 for never
		best float64
	}{
		{"its copy is in time", true, 60 * time.Millisecond, 1},
		{"its copy is late", true, 200 * time.Millisecond, 0.5},
		{"its copy is after its limit", true, 2500 * time.Millisecond, 0},
		{"its first segment's copy is late", false, 200 * time.Millisecond, 0.5},
		{"nothing meets a VM", true, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &request{class: &w.deployment.Classes[0], caller: w.sites[0].callers[0], work: 20}
			r.meet(0, off, test.data)
			if test.at > 0 {
				r.meet(test.at, on, test.data)
			}
			qt.Assert(t, r.best(), qt.Equals, test.best)
		})
	}
}

// Of the requests that come while all VMs are without power, a decision could
// save those whose copies meet a VM that has just got power, and no others.
func TestBoundWithoutPower(t *testing.T) {
	t.Parallel()
	r := play(t, load(t, "small"), Options{Seed: 1, Troubles: []Trouble{{Kind: KindVMOff, AtMS: 8000, ForMS: 1500, Share: 1}}})
	w := &r.Windows[4]
	qt.Assert(t, w.Bound() > w.Worth, qt.IsTrue, qt.Commentf("%v of %v", w.Worth, w.Bound()))
	qt.Assert(t, w.Bound()-w.Worth < 0.1, qt.IsTrue, qt.Commentf("%v of %v", w.Worth, w.Bound()))
}
