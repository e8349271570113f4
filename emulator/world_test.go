package emulator

import (
	"encoding/json"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep/core/token"
)

// load returns a deployment of the examples.
func load(t testing.TB, name string) *Deployment {
	t.Helper()
	raw, err := os.ReadFile("../examples/experiment/" + name + ".json")
	qt.Assert(t, err, qt.IsNil)
	d := new(Deployment)
	qt.Assert(t, json.Unmarshal(raw, d), qt.IsNil)
	return d
}

func play(t testing.TB, d *Deployment, o Options) *Result {
	t.Helper()
	w, err := New(d, o)
	qt.Assert(t, err, qt.IsNil)
	return w.Play()
}

// everything is a day with each kind of trouble.
func everything() (list []Trouble) {
	for k := KindNone + 1; k < numKinds; k++ {
		list = append(list, Trouble{Kind: k, AtMS: 500 * Duration(k), ForMS: 1500, Share: 0.3, X: 0.5, GapMS: 300, Service: -1, DataCentre: -1})
	}
	return list
}

func TestSameSeedSameBytes(t *testing.T) {
	t.Parallel()
	d := load(t, "small")
	d.Seconds = 10
	var bytes [2]string
	for i := range bytes {
		raw, err := json.Marshal(play(t, d, Options{Seed: 7, Troubles: everything()}))
		qt.Assert(t, err, qt.IsNil)
		bytes[i] = string(raw)
	}
	qt.Assert(t, bytes[0], qt.Equals, bytes[1])
	other, err := json.Marshal(play(t, d, Options{Seed: 8, Troubles: everything()}))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(other), qt.Not(qt.Equals), bytes[0])
}

// Two policies are compared on the same day: what callers ask may not depend on
// what VMs decide.
func TestArrivalsDoNotDependOnDecisions(t *testing.T) {
	t.Parallel()
	d := load(t, "small")
	d.Seconds = 10
	var asked [2][]int
	for i, without := range []token.Mechanisms{0, token.Mechanisms(0).With(token.MechanismNear).With(token.MechanismTimes)} {
		r := play(t, d, Options{Seed: 7, Troubles: everything(), Policy: func(o *token.Options) { o.Disabled = without }})
		for _, w := range r.Windows {
			asked[i] = append(asked[i], w.Asked)
		}
	}
	qt.Assert(t, asked[0], qt.DeepEquals, asked[1])
}

// Each request is counted once, whatever happens, and nothing is earned that was
// not asked for.
func TestRequestsAreCountedOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		d := load(t, "small")
		d.Seconds = 10
		r := play(t, d, Options{Seed: seed, Troubles: everything()})
		for _, c := range r.Classes {
			qt.Assert(t, c.InAim+c.Late+c.Failed, qt.Equals, c.Asked, qt.Commentf("%s, seed %d", c.Name, seed))
		}
		lost := 0.0
		for _, part := range r.Lost {
			lost += part
		}
		qt.Assert(t, r.Worth+lost > 0.999999 && r.Worth+lost < 1.000001, qt.IsTrue)
		qt.Assert(t, r.Bound <= 1 && r.Bound >= r.Worth-1e-9, qt.IsTrue, qt.Commentf("bound %v, worth %v", r.Bound, r.Worth))
	}
}

// On a calm day all are served in time, and each service's work is spread evenly.
func TestCalmDay(t *testing.T) {
	t.Parallel()
	r := play(t, load(t, "small"), Options{Seed: 1})
	qt.Assert(t, r.Worth > 0.999, qt.IsTrue, qt.Commentf("%v", r.Worth))
	qt.Assert(t, r.Tries, qt.Equals, Tries{})
	qt.Assert(t, r.Unevenness < 0.15, qt.IsTrue, qt.Commentf("%v", r.Unevenness))
}

// Where all VMs are off, what callers lose is nobody's decision; where more is
// asked than the slots can do, the surplus is not.
func TestBound(t *testing.T) {
	t.Parallel()
	t.Run("all VMs are off", func(t *testing.T) {
		r := play(t, load(t, "small"), Options{Seed: 1, Troubles: []Trouble{{Kind: KindVMOff, AtMS: 8000, ForMS: 1500, Share: 1}}})
		qt.Assert(t, r.Windows[4].Worth < 0.7, qt.IsTrue, qt.Commentf("%v", r.Windows[4].Worth))
		qt.Assert(t, 1-r.Windows[4].Bound() > 0.7*(1-r.Windows[4].Worth), qt.IsTrue, qt.Commentf("%v of %v", r.Windows[4].Bound(), r.Windows[4].Worth))
	})
	t.Run("three times what the slots can do", func(t *testing.T) {
		r := play(t, load(t, "small"), Options{Seed: 1, Troubles: []Trouble{{Kind: KindBurst, AtMS: 8000, ForMS: 4000, X: 9}}})
		bound := r.Windows[5].Bound()
		qt.Assert(t, bound > 0.25 && bound < 0.6, qt.IsTrue, qt.Commentf("%v", bound))
	})
	t.Run("a calm day has none", func(t *testing.T) {
		qt.Assert(t, play(t, load(t, "small"), Options{Seed: 1}).Bound, qt.Equals, 1.0)
	})
}

func TestDeploymentRefuses(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(*Deployment){
		"no data centre":         func(d *Deployment) { d.DataCentres = nil },
		"no seconds":             func(d *Deployment) { d.Seconds = 0 },
		"an unknown hash":        func(d *Deployment) { d.Hash = "random" },
		"targets of one of two":  func(d *Deployment) { d.Services[0].Targets = []int{1} },
		"no slots":               func(d *Deployment) { d.Services[0].Slots = 0 },
		"a service that is none": func(d *Deployment) { d.Classes[0].Service = "x" },
		"an aim past the limit":  func(d *Deployment) { d.Classes[0].AimMS = 9000 },
	} {
		t.Run(name, func(t *testing.T) {
			d := tiny()
			spoil(d)
			_, err := New(d, Options{})
			qt.Assert(t, err, qt.IsNotNil)
		})
	}
}

func BenchmarkSmallDay(b *testing.B) { benchmarkDay(b, "small") }

func BenchmarkLargeDay(b *testing.B) { benchmarkDay(b, "large") }

func BenchmarkHundredsDay(b *testing.B) { benchmarkDay(b, "hundreds") }

func benchmarkDay(b *testing.B, name string) {
	d := load(b, name)
	for seed := uint64(1); b.Loop(); seed++ {
		at := time.Now()
		r := play(b, d, Options{Seed: seed})
		b.ReportMetric(float64(r.Asked())/time.Since(at).Seconds(), "requests/s")
	}
}
