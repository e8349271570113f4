package heartbeat

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"baobabstep"
)

// Guards against recorded changes that, once applied, give registrations other than the
// sender's.
func TestHistorySince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		current := EmptyRegistrations()
		var past []*Registrations
		revision := func(i int) baobabstep.Revision { return revisionOf(uint64(i + 1)) }
		snapshot := func() *Registrations {
			r, err := NewRegistrations(current.List())
			if err != nil {
				t.Fatal(err)
			}
			return r
		}
		past = append(past, snapshot())
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			var d Difference
			for id := baobabstep.TargetID(1); id <= 5; id++ {
				switch rapid.IntRange(0, 3).Draw(t, "change") {
				case 0:
					r := registrationOf(id)
					r.Slots = rapid.IntRange(1, 3).Draw(t, "slots")
					d.Put = append(d.Put, r)
				case 1:
					d.Removed = append(d.Removed, id)
				}
			}
			if err := current.Apply(d); err != nil {
				t.Fatal(err)
			}
			h.Add(revision(len(past)-1), revision(len(past)), current.Checksum(), d)
			past = append(past, snapshot())
		}
		from := rapid.IntRange(0, len(past)-1).Draw(t, "from")
		assertSteps(t, &h, revision, past, from)
		d, ok := h.Since(revision(from))
		if err := past[from].Apply(d); !ok || err != nil {
			t.Fatalf("changes since revision %d: got ok %v, error %v", from, ok, err)
		}
		if got, want := past[from].Checksum(), current.Checksum(); got != want {
			t.Fatalf("got sum %x, want %x", got, want)
		}
	})
}

// assertSteps checks that the steps since a past revision lead through the sender's past
// registrations.
func assertSteps(t *rapid.T, h *History, revision func(int) baobabstep.Revision, past []*Registrations, from int) {
	maxSize, maxTotal := rapid.IntRange(1, 12).Draw(t, "step"), rapid.IntRange(1, 30).Draw(t, "total")
	steps, ok := h.Steps(revision(from), maxSize, maxTotal)
	if !ok || len(steps) == 0 != (from == len(past)-1) {
		t.Fatalf("got %d steps from %d of %d, ok %v", len(steps), from, len(past), ok)
	}
	held, err := NewRegistrations(past[from].List())
	if err != nil {
		t.Fatal(err)
	}
	for i := range steps {
		if err := held.Apply(steps[i].Difference); err != nil {
			t.Fatal(err)
		}
		at := int(steps[i].To.Number) - 1
		if held.Checksum() != steps[i].Checksum || held.Checksum() != past[at].Checksum() {
			t.Fatalf("step %d to revision %v: got sum %x, want %x", i, steps[i].To, held.Checksum(), past[at].Checksum())
		}
	}
}

func TestHistoryIsBounded(t *testing.T) {
	var h History
	for i := range uint64(3 * maxHistory) {
		h.Add(revisionOf(i+1), revisionOf(i+2), 0, Difference{Removed: []baobabstep.TargetID{baobabstep.TargetID(i + 1)}})
	}
	qt.Assert(t, len(h.changes), qt.Equals, maxHistory)
	_, ok := h.Since(revisionOf(2 * maxHistory))
	qt.Assert(t, ok, qt.IsFalse)
	d, ok := h.Since(revisionOf(3*maxHistory - 1))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, d.Removed, qt.HasLen, 2)
	h.Add(revisionOf(99999), revisionOf(100000), 0, Difference{})
	_, ok = h.Since(revisionOf(3 * maxHistory))
	qt.Assert(t, ok, qt.IsFalse, qt.Commentf("gap between revisions"))
}

func registrationOf(id baobabstep.TargetID) baobabstep.Registration {
	return baobabstep.Registration{ID: id, Service: "s", DataCentre: "dc", Address: address(int(id)), Slots: 1}
}

// Guards against recorded changes of a revision that the store has not reached, but a
// replica of it has announced.
func TestHistoryIsClearedWhenRevisionsGoBack(t *testing.T) {
	var h History
	h.Add(revisionOf(400), revisionOf(500), 0, Difference{Removed: []baobabstep.TargetID{1}})
	h.Add(revisionOf(500), revisionOf(450), 0, Difference{Removed: []baobabstep.TargetID{2}})
	h.Add(revisionOf(450), revisionOf(470), 0, Difference{Removed: []baobabstep.TargetID{3}})
	d, ok := h.Since(revisionOf(460))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, d.Removed, qt.DeepEquals, []baobabstep.TargetID{3})
	_, ok = h.Since(revisionOf(430))
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against parts of a difference that lose a target, or tell late which targets leave.
func TestSplitDifference(t *testing.T) {
	d := Difference{Removed: []baobabstep.TargetID{901, 902, 903}}
	for id := range baobabstep.TargetID(10) {
		d.Put = append(d.Put, baobabstep.Registration{ID: id + 1, Draining: id%4 == 3})
	}
	parts := d.Split(3)
	var merged Difference
	staying := false
	for _, part := range parts {
		qt.Check(t, len(part.Put)+len(part.Removed) <= 3, qt.IsTrue)
		for _, r := range part.Put {
			qt.Check(t, staying && r.Draining, qt.IsFalse)
			staying = staying || !r.Draining
		}
		merged.Merge(part)
	}
	qt.Check(t, parts[0].Removed, qt.DeepEquals, d.Removed)
	SortTargets(merged.Put)
	qt.Check(t, slices.Equal(merged.Put, d.Put), qt.IsTrue)
	qt.Check(t, merged.Removed, qt.DeepEquals, d.Removed)
}
