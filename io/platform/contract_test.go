package platform_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/io/platform"
)

// subject is one implementation of the port.
type subject struct {
	port   baobabstep.Platform
	clock  *manualClock
	setVMs func([]baobabstep.VM)
}

// TestContract holds each implementation of the platform port to the same
// behaviour.
func TestContract(t *testing.T) {
	for name, start := range map[string]func(c *qt.C) subject{
		"fake": func(*qt.C) subject {
			clock := newClock()
			f := newFake(clock)
			return subject{f, clock, func(vms []baobabstep.VM) { f.lists = append(f.lists, fakeList{clock.Now(), vms}) }}
		},
		"http": func(c *qt.C) subject {
			p := newPair(c, platform.Options{})
			return subject{p.client, p.clock, func(vms []baobabstep.VM) {
				var lines []platform.VM
				for _, v := range vms {
					lines = append(lines, platform.FromVM(v))
				}
				p.platform.SetVMs(lines)
			}}
		},
	} {
		for _, one := range []struct {
			name string
			f    func(c *qt.C, s subject)
		}{
			{"compare and swap", contractPut},
			{"list", contractList},
			{"watch", contractWatch},
			{"compaction", contractCompaction},
			{"lease", contractLease},
			{"vms", contractVMs},
		} {
			t.Run(name+"/"+one.name, func(t *testing.T) {
				c := qt.New(t)
				one.f(c, start(c))
			})
		}
	}
}

func put(c *qt.C, p baobabstep.Platform, key, value string, expected uint64) uint64 {
	c.Helper()
	r, err := p.Put(c.Context(), key, []byte(value), expected)
	c.Assert(err, qt.IsNil)
	return r
}

func contractPut(c *qt.C, s subject) {
	ctx := c.Context()
	_, err := s.port.Get(ctx, "a")
	assertCode(c, err, baobabstep.CodeNotFound)
	first := put(c, s.port, "a", "1", 0)
	_, err = s.port.Put(ctx, "a", []byte("2"), 0)
	assertCode(c, err, baobabstep.CodeConflict)
	second := put(c, s.port, "a", "2", first)
	c.Assert(second > first, qt.IsTrue)
	_, err = s.port.Put(ctx, "a", []byte("3"), first)
	assertCode(c, err, baobabstep.CodeConflict)
	kv, err := s.port.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(kv, qt.DeepEquals, baobabstep.KeyValue{Key: "a", Value: []byte("2"), Revision: second})
	put(c, s.port, "a", "", second)
	_, err = s.port.Get(ctx, "a")
	assertCode(c, err, baobabstep.CodeNotFound)
	third := put(c, s.port, "a", "4", 0)
	c.Assert(third > second, qt.IsTrue)
	large := bytes.Repeat([]byte("x"), 1<<20)
	_, err = s.port.Put(ctx, "large", large, 0)
	c.Assert(err, qt.IsNil)
	_, err = s.port.Put(ctx, "larger", append(large, 'x'), 0)
	assertCode(c, err, baobabstep.CodeTooLarge)
}

func contractList(c *qt.C, s subject) {
	put(c, s.port, "p/b", "2", 0)
	put(c, s.port, "p/a", "1", 0)
	put(c, s.port, "q/a", "3", 0)
	values, err := s.port.List(c.Context(), "p/")
	c.Assert(err, qt.IsNil)
	c.Assert(values, qt.HasLen, 2)
	c.Assert([]string{values[0].Key, values[1].Key}, qt.DeepEquals, []string{"p/a", "p/b"})
}

func contractWatch(c *qt.C, s subject) {
	ctx := c.Context()
	first := put(c, s.port, "k/a", "1", 0)
	put(c, s.port, "other", "1", 0)
	values, err := s.port.Watch(ctx, "k/", first, time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(values, qt.HasLen, 0)
	second := put(c, s.port, "k/a", "2", first)
	third := put(c, s.port, "k/a", "3", second)
	values, err = s.port.Watch(ctx, "k/", first, time.Minute)
	c.Assert(err, qt.IsNil)
	c.Assert(values, qt.DeepEquals, []baobabstep.KeyValue{{Key: "k/a", Value: []byte("3"), Revision: third}})
	woken := make(chan []baobabstep.KeyValue)
	go func() {
		values, _ := s.port.Watch(ctx, "k/", third, time.Minute)
		woken <- values
	}()
	removed := put(c, s.port, "k/a", "", third)
	values = <-woken
	c.Assert(values, qt.HasLen, 1)
	c.Assert(values[0].Value, qt.HasLen, 0)
	c.Assert(values[0].Revision, qt.Equals, removed)
	ended, cancel := context.WithCancel(ctx)
	cancel()
	_, err = s.port.Watch(ended, "k/", removed, time.Minute)
	assertCode(c, err, baobabstep.CodePlatformUnavailable)
}

func contractCompaction(c *qt.C, s subject) {
	first := put(c, s.port, "k", "0", 0)
	last := first
	for range 12 {
		last = put(c, s.port, "k", "1", last)
	}
	_, err := s.port.Watch(c.Context(), "k", first, time.Minute)
	assertCode(c, err, baobabstep.CodeCompacted)
	_, err = s.port.Watch(c.Context(), "k", last, time.Millisecond)
	c.Assert(err, qt.IsNil)
}

func contractLease(c *qt.C, s subject) {
	ctx := c.Context()
	lease := func(holder string) (uint64, error) { return s.port.Lease(ctx, "l", holder, time.Second) }
	first, err := lease("a")
	c.Assert(err, qt.IsNil)
	_, err = lease("b")
	assertCode(c, err, baobabstep.CodeConflict)
	again, err := lease("a")
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.Equals, first)
	s.clock.advance(1100 * time.Millisecond)
	other, err := lease("b")
	c.Assert(err, qt.IsNil)
	c.Assert(other > first, qt.IsTrue)
	_, err = lease("a")
	assertCode(c, err, baobabstep.CodeConflict)
}

func contractVMs(c *qt.C, s subject) {
	vm := baobabstep.VM{ID: baobabstep.MakeVMID("vm-1"), Name: "vm-1", Region: "r", DataCentre: "a", State: baobabstep.VMLeaving, Incarnation: 3}
	s.setVMs([]baobabstep.VM{vm})
	vms, err := s.port.VMs(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(vms, qt.HasLen, 0)
	s.clock.advance(2 * time.Second)
	vms, err = s.port.VMs(c.Context())
	c.Assert(err, qt.IsNil)
	c.Assert(vms, qt.HasLen, 1)
	c.Assert(vms[0] == vm, qt.IsTrue, qt.Commentf("got %v", vms))
}
