package heartbeat

import (
	"fmt"
	"testing"

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

func sumOf(t testing.TB, content []byte, err error) uint64 {
	t.Helper()
	qt.Assert(t, err, qt.IsNil)
	return Sum(content)
}

// Whatever changes, a change gives exactly the new content, or nothing.
func TestChangeGivesTheNewContent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		from, to := drawTable(rt, 7), drawTable(rt, 9)
		fromContent, err := EncodeRoutes(from)
		fromSum := sumOf(t, fromContent, err)
		toContent, err := EncodeRoutes(to)
		c := RoutesChange(from, to, fromSum, MakeHeld(9, sumOf(t, toContent, err), 0))
		got, err := c.ApplyRoutes(from, fromSum)
		if err != nil || fmt.Sprint(got) != fmt.Sprint(to) {
			rt.Fatalf("got %v, %v, want %v", got, err, to)
		}
		if other := drawTable(rt, 8); fmt.Sprint(other.Rules) != fmt.Sprint(from.Rules) {
			otherContent, err := EncodeRoutes(other)
			if _, err := c.ApplyRoutes(other, sumOf(t, otherContent, err)); baobabstep.CodeOf(err) != baobabstep.CodeConflict {
				rt.Fatalf("a change of another table: got %v", err)
			}
		}
		before, after := drawTargets(rt), drawTargets(rt)
		beforeContent, err := EncodeTargets(before)
		beforeSum := sumOf(t, beforeContent, err)
		afterContent, err := EncodeTargets(after)
		d := TargetsChange(before, after, beforeSum, MakeHeld(3, sumOf(t, afterContent, err), 0))
		list, err := d.ApplyTargets(before, beforeSum)
		if err != nil || fmt.Sprint(list) != fmt.Sprint(after) {
			rt.Fatalf("got %v, %v, want %v", list, err, after)
		}
	})
}

func TestChangeOfOneTargetIsSmall(t *testing.T) {
	var from []baobabstep.Registration
	for n := range 150 {
		from = append(from, baobabstep.Registration{ID: baobabstep.TargetID(n + 1), Service: "fixtures", Address: address(n), DataCentre: "hobart-a", Release: "v1", Slots: 2})
	}
	to := append([]baobabstep.Registration(nil), from...)
	to[70].Draining = true
	content, err := EncodeTargets(to)
	raw, err := Encode(&Message{Change: TargetsChange(from, to, 1, MakeHeld(2, sumOf(t, content, err), 0))})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(raw) < 150 && len(content) > 5000, qt.IsTrue, qt.Commentf("%d of %d bytes", len(raw), len(content)))
}
