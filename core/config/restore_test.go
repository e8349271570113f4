package config_test

import (
	"fmt"
	"maps"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/config"
)

// rolledBackStore returns a store that was rolled back to version 1, and the options
// of a VM with version 3 in force.
func rolledBackStore(c *qt.C) (*store, config.AcceptOptions) {
	s := newStore()
	mustAccept(c, s, firstChange(3, 2))
	old := maps.Clone(s.keys)
	mustAccept(c, s, queueChange("second", 1, 2, -1, 8))
	mustAccept(c, s, queueChange("third", 2, 2, -1, 9))
	lost := maps.Clone(s.keys)
	current := s.read(c)
	s.keys = old
	return s, config.AcceptOptions{Current: current, Objects: func(d config.Digest) ([]byte, bool) {
		kv, ok := lost[config.ObjectKey(d)]
		return kv.Value, ok
	}}
}

// Guards against accepted changes that are lost when the platform restores a copy, and
// against two changes with the same version.
func TestRolledBackStoreIsRestored(t *testing.T) {
	next := queueChange("fourth", 0, 2, -1, 7)
	t.Run("before the next change", func(t *testing.T) {
		c := qt.New(t)
		s, o := rolledBackStore(c)
		res := s.accept(testStart, next, o)
		c.Assert(res.Err, qt.IsNil)
		c.Assert(res.Version, qt.Equals, uint64(4))
		set := s.read(c)
		c.Assert([]int{queueOf(set, 1), queueOf(set, 2), queueOf(set, 0)}, qt.DeepEquals, []int{8, 9, 7})
		again := mustAccept(c, s, queueChange("second", 1, 2, -1, 8))
		c.Assert(again.Repeated, qt.IsTrue)
		c.Assert(again.Version, qt.Equals, uint64(2))
		_, kept := s.keys[config.ObjectKey(o.Current.Manifest.Previous)]
		c.Assert(kept, qt.IsTrue, qt.Commentf("the audit entry of version 2"))
	})
	t.Run("without a change", func(t *testing.T) {
		c := qt.New(t)
		s, o := rolledBackStore(c)
		c.Assert(s.run(testStart, config.NewRestore(o)).Err, qt.IsNil)
		c.Assert(s.read(c).Digest, qt.Equals, o.Current.Digest)
		puts := s.puts
		c.Assert(s.run(testStart, config.NewRestore(o)).Err, qt.IsNil)
		c.Assert(s.puts, qt.Equals, puts)
	})
	t.Run("that lost everything", func(t *testing.T) {
		c := qt.New(t)
		s, o := rolledBackStore(c)
		clear(s.keys)
		c.Assert(s.accept(testStart, next, o).Version, qt.Equals, uint64(4))
	})
	t.Run("but not by a dry run", func(t *testing.T) {
		c := qt.New(t)
		s, o := rolledBackStore(c)
		dry := next
		dry.DryRun = true
		puts := s.puts
		c.Assert(baobabstep.CodeOf(s.accept(testStart, dry, o).Err), qt.Equals, baobabstep.CodeOldVersion)
		c.Assert(s.puts, qt.Equals, puts)
	})
}

// Guards against a partial restore when the answer to one of its writes is lost.
func TestLostAnswersOfARestore(t *testing.T) {
	for at := 1; at <= 12; at++ {
		for _, takes := range []bool{true, false} {
			t.Run(fmt.Sprintf("write %d, takes effect %v", at, takes), func(t *testing.T) {
				c := qt.New(t)
				s, o := rolledBackStore(c)
				n := 0
				s.onPut = func(string) (bool, baobabstep.Code) {
					if n++; n == at {
						return takes, baobabstep.CodePlatformUnknown
					}
					return true, baobabstep.CodeOK
				}
				res := s.accept(testStart, queueChange("fourth", 0, 2, -1, 7), o)
				c.Assert(res.Err, qt.IsNil)
				set := s.read(c)
				c.Assert(set.Manifest.Version, qt.Equals, uint64(4))
				c.Assert([]int{queueOf(set, 1), queueOf(set, 2), queueOf(set, 0)}, qt.DeepEquals, []int{8, 9, 7})
			})
		}
	}
}
