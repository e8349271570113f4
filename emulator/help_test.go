package emulator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// tiny returns a deployment of two data centres with few of everything: one
// target of one slot, a queue of one, in the first.
func tiny() *Deployment {
	return &Deployment{
		Name: "tiny",
		DataCentres: []DataCentre{
			{Name: "a", VMs: 2, Callers: 4, PerSecond: 0}, {Name: "b", VMs: 1, Callers: 4, PerSecond: 0},
		},
		Services: []Service{{Name: "s", Targets: []int{1, 0}, Slots: 1, Queue: 1, ColdMS: 2000, ColdFactor: 2}},
		Classes: []Class{
			{Name: "kept", Service: "s", Share: 1, Idempotent: true, Keep: true, WorkMS: 20, AnswerBytes: 2000, AimMS: 100, LimitMS: 2000, Worth: 1, LateWorth: 0.5, Retries: 2},
			{Name: "once", Service: "s", Share: 1, WorkMS: 20, AnswerBytes: 600, AimMS: 100, LimitMS: 2000, Worth: 2, LateWorth: 1, Retries: 2},
		},
		Links: Links{NearMS: 0.1, FarMS: 0.5, CallerMS: 1}, Hash: HashSteady, Seconds: 10,
	}
}

// newWorld returns a day of a deployment whose VMs are up and know routes and
// targets, at the time 0.
func newWorld(t testing.TB, d *Deployment) *World {
	t.Helper()
	w, err := New(d, Options{Seed: 1})
	qt.Assert(t, err, qt.IsNil)
	w.now = -lead
	for _, v := range w.vms {
		v.start()
		w.fabric.check(v)
	}
	w.runTo(0)
	return w
}

// runTo plays what happens until a time.
func (w *World) runTo(end time.Duration) {
	for len(w.queue.events) > 0 && w.queue.events[0].at <= end {
		e := w.queue.pop()
		w.now = e.at
		e.do()
	}
	w.now = end
}

// ask begins a request of a class that needs work for the given milliseconds.
func (w *World) ask(class int, work float64) {
	r := &request{class: &w.deployment.Classes[class], caller: w.sites[0].callers[0], since: w.now, work: work, ask: 200, answer: 600}
	r.caller.begin(r)
}

// assertClass checks what became of a class of requests.
func assertClass(t testing.TB, w *World, class, inAim, late, failed int) {
	t.Helper()
	c := w.result.Classes[class]
	qt.Assert(t, [3]int{c.InAim, c.Late, c.Failed}, qt.Equals, [3]int{inAim, late, failed})
}
