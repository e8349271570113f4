package heartbeat

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"baobabstep"
)

func drawTable(t *rapid.T, version uint64) *baobabstep.RoutingTable {
	table := &baobabstep.RoutingTable{Version: version}
	for n := range 12 {
		weight := rapid.Uint32Range(0, 3).Draw(t, "weight")
		if weight > 0 {
			table.Rules = append(table.Rules, baobabstep.Rule{
				Name: fmt.Sprintf("r-%d", n), Address: address(n), Shares: []baobabstep.Share{{Service: "s", Weight: weight}},
			})
		}
	}
	SortRules(table.Rules)
	return table
}

func drawTargets(t *rapid.T) (list []baobabstep.Registration) {
	for n := range 12 {
		slots := rapid.IntRange(0, 3).Draw(t, "slots")
		if slots > 0 {
			list = append(list, baobabstep.Registration{
				ID: baobabstep.TargetID(n + 1), Service: "s", Address: address(n), Slots: slots,
				Draining: rapid.Bool().Draw(t, "draining"),
			})
		}
	}
	return list
}

func checksumOf(t testing.TB, content []byte, err error) uint64 {
	t.Helper()
	qt.Assert(t, err, qt.IsNil)
	return Checksum(content)
}

// Guards against changes whose result differs from the new content, and against changes
// applied to other content than their base.
func TestChangeRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		from, to := drawTable(rt, 7), drawTable(rt, 9)
		fromContent, err := EncodeRoutes(from)
		fromSum := checksumOf(t, fromContent, err)
		toContent, err := EncodeRoutes(to)
		c := NewRoutesChange(from, to, fromSum, MakeVersionInfo(revisionOf(9), checksumOf(t, toContent, err), 0))
		got, err := c.ApplyRoutes(from, fromSum)
		if err != nil || fmt.Sprint(got) != fmt.Sprint(to) {
			rt.Fatalf("got %v, %v, want %v", got, err, to)
		}
		if other := drawTable(rt, 8); fmt.Sprint(other.Rules) != fmt.Sprint(from.Rules) {
			otherContent, err := EncodeRoutes(other)
			if _, err := c.ApplyRoutes(other, checksumOf(t, otherContent, err)); baobabstep.CodeOf(err) != baobabstep.CodeConflict {
				rt.Fatalf("change of another table: got error %v, want CodeConflict", err)
			}
		}
		before, after := drawTargets(rt), drawTargets(rt)
		held, wanted := registrations(t, before), registrations(t, after)
		d := NewTargetsChange(held.DiffTo(wanted), held.Checksum(), MakeVersionInfo(revisionOf(3), wanted.Checksum(), 0))
		other := registrations(t, drawTargets(rt))
		if other.Checksum() != held.Checksum() {
			made, err := d.Difference(other)
			if err == nil {
				err = other.Apply(made)
			}
			if reached := err == nil && fmt.Sprint(other.List()) == fmt.Sprint(after); !reached && baobabstep.CodeOf(err) != baobabstep.CodeConflict {
				rt.Fatalf("change of other registrations: got %v and error %v, want %v or CodeConflict", other.List(), err, after)
			}
		}
		made, err := d.Difference(held)
		if err == nil {
			err = held.Apply(made)
		}
		if list := held.List(); err != nil || fmt.Sprint(list) != fmt.Sprint(after) || held.Checksum() != wanted.Checksum() {
			rt.Fatalf("got %v, %v, want %v", list, err, after)
		}
	})
}

// Guards against changes that are lost because two VMs that read the store divide the same changes
// in different ways.
func TestOverlappingChangesApply(t *testing.T) {
	at := func(revision int) (list []baobabstep.Registration) {
		for n := range revision {
			list = append(list, baobabstep.Registration{ID: baobabstep.TargetID(n%7 + 1), Service: "s", Address: address(1), Slots: n + 1})
		}
		return list
	}
	change := func(from, to int) *Change {
		held, wanted := registrations(t, at(from)), registrations(t, at(to))
		return NewTargetsChange(held.DiffTo(wanted), held.Checksum(), MakeVersionInfo(revisionOf(uint64(to)), wanted.Checksum(), 0))
	}
	for _, c := range []struct {
		held, from, to int
		code           baobabstep.Code
	}{
		{12, 10, 15, baobabstep.CodeOK},
		{10, 10, 15, baobabstep.CodeOK},
		{9, 10, 12, baobabstep.CodeConflict},
	} {
		t.Run(fmt.Sprintf("held=%d/from=%d/to=%d", c.held, c.from, c.to), func(t *testing.T) {
			held := registrations(t, at(c.held))
			d, err := change(c.from, c.to).Difference(held)
			qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, c.code)
			if err == nil {
				qt.Assert(t, held.Apply(d), qt.IsNil)
				qt.Assert(t, held.Checksum(), qt.Equals, registrations(t, at(c.to)).Checksum())
			}
		})
	}
}

func registrations(t testing.TB, list []baobabstep.Registration) *Registrations {
	t.Helper()
	r, err := NewRegistrations(list)
	qt.Assert(t, err, qt.IsNil)
	return r
}

// Guards against equal checksums of different registrations, and against checksums that
// depend on the order.
func TestRegistrationsChecksum(t *testing.T) {
	list := []baobabstep.Registration{
		{ID: 3, Service: "fixtures", Address: address(3), DataCentre: "a", Slots: 2},
		{ID: 4, Service: "fixtures", Address: address(4), DataCentre: "a", Slots: 2},
	}
	sum := registrations(t, list).Checksum()
	qt.Check(t, registrations(t, []baobabstep.Registration{list[1], list[0]}).Checksum(), qt.Equals, sum)
	for name, change := range map[string]func(l []baobabstep.Registration) []baobabstep.Registration{
		"one fewer":           func(l []baobabstep.Registration) []baobabstep.Registration { return l[:1] },
		"none":                func([]baobabstep.Registration) []baobabstep.Registration { return nil },
		"one draining":        func(l []baobabstep.Registration) []baobabstep.Registration { l[0].Draining = true; return l },
		"identifiers swapped": func(l []baobabstep.Registration) []baobabstep.Registration { l[0].ID, l[1].ID = 4, 3; return l },
	} {
		t.Run(name, func(t *testing.T) {
			other := registrations(t, change(append([]baobabstep.Registration(nil), list...)))
			qt.Check(t, other.Checksum(), qt.Not(qt.Equals), sum)
			qt.Check(t, other.Checksum(), qt.Not(qt.Equals), uint64(0))
		})
	}
}

// Guards against registrations that are modified by a change with an incorrect checksum.
func TestChangeWithWrongChecksum(t *testing.T) {
	held := registrations(t, []baobabstep.Registration{{ID: 3, Service: "s", Address: address(3), Slots: 2}})
	sum := held.Checksum()
	c := NewTargetsChange(Difference{Removed: []baobabstep.TargetID{3}}, sum, MakeVersionInfo(revisionOf(2), sum+1, 0))
	_, err := c.Difference(held)
	qt.Check(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeConflict)
	qt.Check(t, held.Len(), qt.Equals, 1)
	qt.Check(t, held.Checksum(), qt.Equals, sum)
}

func TestChangeOfOneTargetIsSmall(t *testing.T) {
	var from []baobabstep.Registration
	for n := range 150 {
		from = append(from, baobabstep.Registration{ID: baobabstep.TargetID(n + 1), Service: "fixtures", Address: address(n), DataCentre: "hobart-a", Release: "v1", Slots: 2})
	}
	to := append([]baobabstep.Registration(nil), from...)
	to[70].Draining = true
	content, err := EncodeTargets(to)
	qt.Assert(t, err, qt.IsNil)
	before, after := registrations(t, from), registrations(t, to)
	raw, err := Encode(&Message{Change: NewTargetsChange(before.DiffTo(after), before.Checksum(), MakeVersionInfo(revisionOf(2), after.Checksum(), 0))})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(raw) < 150 && len(content) > 5000, qt.IsTrue, qt.Commentf("%d of %d bytes", len(raw), len(content)))
}

// Guards against changes that lose limits of cold targets. The limits change without any
// change of rules; VMs that receive the change must hold the same table as those that read
// it from the store.
func TestColdLimitsRoundTrip(t *testing.T) {
	from := &baobabstep.RoutingTable{Version: 1}
	to := &baobabstep.RoutingTable{Version: 2, ColdLimits: []baobabstep.ColdLimit{
		{Service: "b", PerSecond: 1.5, Duration: time.Second}, {Service: "a", PerSecond: 6, Duration: 4 * time.Second},
	}}
	SortTable(to)
	travel := func(from, to *baobabstep.RoutingTable) *baobabstep.RoutingTable {
		oldContent, err := EncodeRoutes(from)
		qt.Assert(t, err, qt.IsNil)
		content, err := EncodeRoutes(to)
		qt.Assert(t, err, qt.IsNil)
		decoded, err := DecodeRoutes(content)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, decoded.ColdLimits, qt.DeepEquals, to.ColdLimits)
		raw, err := Encode(&Message{Change: NewRoutesChange(from, to, Checksum(oldContent), MakeVersionInfo(revisionOf(to.Version), Checksum(content), 0))})
		qt.Assert(t, err, qt.IsNil)
		m, err := Decode(raw)
		qt.Assert(t, err, qt.IsNil)
		got, err := m.Change.ApplyRoutes(from, Checksum(oldContent))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got.ColdLimits, qt.DeepEquals, to.ColdLimits)
		return got
	}
	got := travel(from, to)
	same := *got
	same.Version = 3
	travel(got, &same)
	travel(&same, &baobabstep.RoutingTable{Version: 4})

	t.Run("an invalid limit is malformed", func(t *testing.T) {
		raw, err := encMode.Marshal(&routesBody{Version: 1, ColdLimits: []coldLimitBody{{Service: "a", PerSecond: -1, Duration: 1}}})
		qt.Assert(t, err, qt.IsNil)
		_, err = DecodeRoutes(raw)
		qt.Assert(t, baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeMalformed)
	})
}
