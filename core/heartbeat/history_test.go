package heartbeat

import (
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
			h.Add(revision(len(past)-1), revision(len(past)), d)
			past = append(past, snapshot())
		}
		from := rapid.IntRange(0, len(past)-1).Draw(t, "from")
		d, ok := h.Since(revision(from))
		if err := past[from].Apply(d); !ok || err != nil {
			t.Fatalf("changes since revision %d: got ok %v, error %v", from, ok, err)
		}
		if got, want := past[from].Checksum(), current.Checksum(); got != want {
			t.Fatalf("got sum %x, want %x", got, want)
		}
	})
}

func TestHistoryIsBounded(t *testing.T) {
	var h History
	for i := range uint64(3 * maxHistory) {
		h.Add(revisionOf(i+1), revisionOf(i+2), Difference{Removed: []baobabstep.TargetID{baobabstep.TargetID(i + 1)}})
	}
	qt.Assert(t, len(h.changes), qt.Equals, maxHistory)
	_, ok := h.Since(revisionOf(2 * maxHistory))
	qt.Assert(t, ok, qt.IsFalse)
	d, ok := h.Since(revisionOf(3*maxHistory - 1))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, d.Removed, qt.HasLen, 2)
	h.Add(revisionOf(99999), revisionOf(100000), Difference{})
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
	h.Add(revisionOf(400), revisionOf(500), Difference{Removed: []baobabstep.TargetID{1}})
	h.Add(revisionOf(500), revisionOf(450), Difference{Removed: []baobabstep.TargetID{2}})
	h.Add(revisionOf(450), revisionOf(470), Difference{Removed: []baobabstep.TargetID{3}})
	d, ok := h.Since(revisionOf(460))
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, d.Removed, qt.DeepEquals, []baobabstep.TargetID{3})
	_, ok = h.Since(revisionOf(430))
	qt.Assert(t, ok, qt.IsFalse)
}
