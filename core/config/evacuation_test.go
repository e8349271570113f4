package config_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/config"
)

// drained returns the names of the targets that get no new work.
func drained(set *config.Set) (names []string) {
	for _, s := range set.Config.Services {
		for _, target := range s.Targets {
			if target.Drained {
				names = append(names, target.Name)
			}
		}
	}
	return names
}

// Guards against an evacuation that undrains a target: one target of a data centre is
// drained before the evacuation. None of the targets gets new work meanwhile;
// afterwards the one must still be drained.
func TestEvacuationLeavesDrainedTargets(t *testing.T) {
	c := qt.New(t)
	s := newStore()
	mustAccept(c, s, firstChange(2, 4))
	accept := func(id string, edits ...config.Edit) *config.Set {
		change := config.Change{ID: id, Operator: "ana", Reason: "power work", Action: "data-centre evacuate", Edits: edits}
		change.Confirm = []string{accountName(0) + "/main", accountName(1) + "/main"}
		mustAccept(c, s, change)
		return s.read(c)
	}
	evacuation := func(set *config.Set, on bool) []config.Edit {
		edits, err := set.EvacuationEdits("a", on)
		c.Assert(err, qt.IsNil)
		return edits
	}
	edit, err := s.read(c).DrainEdit("t-0-0", true)
	c.Assert(err, qt.IsNil)
	set := accept("drain", edit)
	c.Assert(drained(set), qt.DeepEquals, []string{"t-0-0"})

	set = accept("evacuate", evacuation(set, true)...)
	c.Assert(drained(set), qt.DeepEquals, []string{"t-0-0", "t-0-3", "t-1-0", "t-1-3"})
	_, err = set.EvacuationEdits("a", true)
	c.Assert(baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeNotFound)

	set = accept("restore", evacuation(set, false)...)
	c.Assert(drained(set), qt.DeepEquals, []string{"t-0-0"})
	_, err = set.EvacuationEdits("nowhere", true)
	c.Assert(baobabstep.CodeOf(err), qt.Equals, baobabstep.CodeNotFound)
}
