package soak

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep/platform/standin"
)

// The judge is what a run's verdict rests on: it has to see each broken promise
// and to let pass what the pages allow.
func TestJudge(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	long := now.Add(-time.Minute)
	calm := func() *target { return &target{registration: standin.Registration{ID: 1}, disturbed: long} }
	leaving := func(since time.Duration) *target {
		x := calm()
		x.leaving = now.Add(-since)
		return x
	}
	for _, test := range []struct {
		name  string
		do    func(j *judge)
		wants int
	}{
		{"a request runs once", func(j *judge) { j.ran(1, 7, serviceAddress(0)) }, 0},
		{"a request runs twice", func(j *judge) { j.ran(1, 7, serviceAddress(0)); j.ran(1, 7, serviceAddress(0)) }, 1},
		{"a request runs at another service", func(j *judge) { j.ran(2, 7, serviceAddress(0)) }, 1},
		{"a request of an address without route", func(j *judge) { j.ran(1, 7, serviceAddress(9)) }, 1},
		{"a cold target gets what it may", func(j *judge) {
			j.startedCold(1, now, coldLasts)
			for range 11 {
				j.accepted(1, now)
			}
			j.accepted(1, now.Add(time.Second))
		}, 0},
		{"a cold target gets more", func(j *judge) {
			j.startedCold(1, now, coldLasts)
			for range 12 {
				j.accepted(1, now)
			}
		}, 1},
		{"a warm target gets more", func(j *judge) {
			for range 99 {
				j.accepted(1, now)
			}
		}, 0},
		{"a target of an emptied data centre gets a flow late", func(j *judge) {
			x := calm()
			x.registration.DataCentre = "a"
			j.evacuated("a", now.Add(-newsBound-1))
			j.placed(x, now)
		}, 1},
		{"in time, or after that is taken back", func(j *judge) {
			x := calm()
			x.registration.DataCentre = "a"
			j.evacuated("a", now.Add(-time.Second))
			j.placed(x, now)
			j.evacuated("a", time.Time{})
			j.placed(x, now)
		}, 0},
		{"a flow breaks at a calm target", func(j *judge) { j.ended(standin.Broken, calm(), now) }, 1},
		{"a flow breaks at a target that was dark", func(j *judge) {
			x := calm()
			x.disturbed = now.Add(-time.Second)
			j.ended(standin.Broken, x, now)
		}, 0},
		{"a flow breaks at a target that leaves", func(j *judge) { j.ended(standin.Broken, leaving(time.Second), now) }, 0},
		{"a request times out", func(j *judge) { j.ended(standin.TimedOut, calm(), now) }, 0},
		{"a target that has begun to leave gets a flow", func(j *judge) { j.placed(leaving(time.Second), now) }, 0},
		{"a target that has long been leaving gets a flow", func(j *judge) { j.placed(leaving(newsBound+1), now) }, 1},
		{"the same while the store was in trouble", func(j *judge) {
			j.uneasy(now.Add(-time.Second))
			j.placed(leaving(newsBound+1), now)
		}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			j := newJudge()
			j.route(serviceAddress(0), "fixtures")
			j.registered(1, "fixtures")
			j.registered(2, "results")
			test.do(j)
			qt.Assert(t, j.violations, qt.HasLen, test.wants)
		})
	}
}

func TestDrawIsFixedBySeed(t *testing.T) {
	qt.Assert(t, Draw(5, 60), qt.DeepEquals, Draw(5, 60))
	qt.Assert(t, len(Draw(5, 60)) > 20, qt.IsTrue)
	last := Draw(5, 60)[len(Draw(5, 60))-1]
	qt.Assert(t, last.At < 60*time.Second-calm, qt.IsTrue)
	for _, m := range Draw(5, 60) {
		qt.Assert(t, faultNamed(m.Name), qt.IsNotNil)
	}
}
