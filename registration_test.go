package baobabstep_test

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

func TestRegistrationCheck(t *testing.T) {
	valid := func() *baobabstep.Registration {
		return &baobabstep.Registration{ID: 1, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCentre: "a", Release: "v", Slots: 2}
	}
	for _, test := range []struct {
		name   string
		change func(r *baobabstep.Registration)
		ok     bool
	}{
		{"usual", func(*baobabstep.Registration) {}, true},
		{"largest values", func(r *baobabstep.Registration) {
			r.Slots, r.WarmupLeft, r.StartedMS, r.Release = baobabstep.MaxSlots, baobabstep.MaxWarmup, baobabstep.MaxStartedMS, strings.Repeat("é", baobabstep.MaxNameBytes/2)
		}, true},
		{"no identifier", func(r *baobabstep.Registration) { r.ID = 0 }, false},
		{"no address", func(r *baobabstep.Registration) { r.Address = netip.AddrPort{} }, false},
		{"no slots", func(r *baobabstep.Registration) { r.Slots = 0 }, false},
		{"too many slots", func(r *baobabstep.Registration) { r.Slots = baobabstep.MaxSlots + 1 }, false},
		{"negative warm-up", func(r *baobabstep.Registration) { r.WarmupLeft = -1 }, false},
		{"long warm-up", func(r *baobabstep.Registration) { r.WarmupLeft = baobabstep.MaxWarmup + 1 }, false},
		{"start out of range", func(r *baobabstep.Registration) { r.StartedMS = 1 << 63 }, false},
		{"long name", func(r *baobabstep.Registration) { r.DataCentre = strings.Repeat("a", baobabstep.MaxNameBytes+1) }, false},
		{"name in no UTF-8", func(r *baobabstep.Registration) { r.Service = "a\xff" }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := valid()
			test.change(r)
			err := r.Check()
			qt.Check(t, err == nil, qt.Equals, test.ok, qt.Commentf("%v", err))
			qt.Check(t, err == nil || baobabstep.CodeOf(err) == baobabstep.CodeMalformed, qt.IsTrue)
		})
	}
}

func TestMilliseconds(t *testing.T) {
	for n, want := range map[int64]time.Duration{
		0: 0, 1500: 1500 * time.Millisecond, -3: -3 * time.Millisecond,
		math.MaxInt64: math.MaxInt64 / time.Millisecond * time.Millisecond, math.MinInt64: -(math.MaxInt64 / time.Millisecond * time.Millisecond),
	} {
		qt.Check(t, baobabstep.Milliseconds(n), qt.Equals, want)
	}
}
