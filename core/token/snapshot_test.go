package token

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"baobabstep"
)

// describeTargets returns a text form of the targets of a snapshot, without their loads.
func describeTargets(s *snapshot) (lines []string) {
	for _, service := range slices.Sorted(maps.Keys(s.pools)) {
		for _, t := range s.pools[service].targets {
			known := s.targets[t.id]
			lines = append(lines, fmt.Sprint(service, t.id, t.registration, t.missingSince.Sub(start), t.lapseGraceUntil.Sub(start), t.coldUntil.Sub(start), t.leavingUntil.Sub(start), known == t))
		}
	}
	return append(lines, fmt.Sprint(len(s.targets)))
}

// Guards against a difference between applying single changes and setting all
// registrations, over drains, moves to another service, lapses during store outages,
// returns, and the removal of targets that are long gone.
func TestChangesEqualFullRegistrations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, changed := New(Options{DataCentre: "a"}), New(Options{DataCentre: "a"})
		there := map[baobabstep.TargetID]baobabstep.Registration{}
		now := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "s")) * time.Second)
			if rapid.IntRange(0, 5).Draw(t, "back") == 0 {
				whole.StoreReconnected(now)
				changed.StoreReconnected(now)
			}
			if rapid.IntRange(0, 5).Draw(t, "restored") == 0 {
				whole.StoreRestored(now)
				changed.StoreRestored(now)
			}
			var put []baobabstep.Registration
			var gone []baobabstep.TargetID
			for _, n := range rapid.SliceOfNDistinct(rapid.IntRange(1, 6), 0, 4, rapid.ID[int]).Draw(t, "targets") {
				id := baobabstep.TargetID(n)
				if _, ok := there[id]; ok && rapid.Bool().Draw(t, "gone") {
					gone = append(gone, id)
					delete(there, id)
					continue
				}
				r := registration(id, rapid.SampledFrom([]string{"fixtures", "results"}).Draw(t, "service"), "a")
				r.Draining = rapid.Bool().Draw(t, "draining")
				r.WarmupLeft = time.Duration(rapid.IntRange(0, 3).Draw(t, "cold")) * time.Second
				put = append(put, r)
				there[id] = r
			}
			whole.SetRegistrations(now, slices.Collect(maps.Values(there)))
			changed.ChangeRegistrations(now, put, gone)
			want, got := describeTargets(whole.current.Load()), describeTargets(changed.current.Load())
			if !slices.Equal(got, want) {
				t.Fatalf("got %v, want %v", got, want)
			}
		}
	})
}

// Guards against weights whose sum exceeds 32 bits: all flows went to one of the services.
func TestPickServiceWithLargeWeights(t *testing.T) {
	r := newRule(&baobabstep.Rule{Shares: []baobabstep.Share{{Service: "a", Weight: 1 << 31}, {Service: "b", Weight: 1 << 31}, {Service: "none"}}})
	for draw, want := range map[uint64]string{0: "a", 1<<31 - 1: "a", 1 << 31: "b", 1<<32 - 1: "b", 1 << 32: "a"} {
		qt.Check(t, r.pickService(draw), qt.Equals, want, qt.Commentf("draw %d", draw))
	}
	qt.Check(t, r.leadsTo("none"), qt.IsFalse)
}
