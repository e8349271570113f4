package flow_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// next returns the configuration with one change, at the next version.
func (x *exchange) next(change func(*baobabstep.Config)) *baobabstep.Config {
	c := &baobabstep.Config{Version: x.config.Version + 1, FlowSecret: x.config.FlowSecret}
	for _, s := range x.config.Services {
		s.Targets = slices.Clone(s.Targets)
		c.Services = append(c.Services, s)
	}
	change(c)
	return c
}

func without(targets []baobabstep.Target, i int) []baobabstep.Target {
	return slices.Delete(slices.Clone(targets), i, i+1)
}

// A target is taken out while the holders of its flows die. The flows stay on
// it to their end, since nothing but the records knows its address any more,
// and it gets no new ones.
func TestDrainWhileTheHolderDies(t *testing.T) {
	x := newExchange(t, fleet{vms: 12, dcs: 3, targets: 6})
	flows := openMany(x, 120)
	drained := flows[0].opened
	before := len(x.targets[drained].flows)
	x.setConfig(x.next(func(c *baobabstep.Config) {
		i := slices.IndexFunc(c.Services[0].Targets, func(tg baobabstep.Target) bool { return tg.ID == drained })
		c.Services[0].Targets = without(c.Services[0].Targets, i)
	}))
	x.kill(x.owners(flows[0].key, x.vms).Holder)
	x.setViews(x.alive())
	x.assertAlive(flows...)
	more := 0
	for n := 200; n < 260; n++ {
		x.assertAlive(x.open(n))
		more++
	}
	qt.Assert(t, len(x.targets[drained].flows), qt.Equals, before)
}

// VMs join while a target is being drained, until none is left that saw the
// target configured. The flows must still reach it, so the records have to tell
// where it is.
func TestVMJoinsDuringADrain(t *testing.T) {
	t.Parallel()
	x := newExchange(t, fleet{vms: 6, dcs: 2, targets: 6})
	flows := openMany(x, 120)
	x.setConfig(x.next(func(c *baobabstep.Config) {
		c.Services[0].Targets = without(c.Services[0].Targets, 0)
	}))
	for i, old := range slices.Clone(x.vms) {
		x.addVM(6+i, 2)
		x.setViews(x.alive())
		x.assertAlive(flows...)
		x.stop(old.ID)
		x.kill(old.ID)
		x.setViews(x.alive())
		x.advance(10 * time.Second)
	}
	x.assertAlive(flows...)
}

// An address moves from one service to another while flows to its old target
// are open. Their next packet must not reach the other service, and both what
// is left of the flow and its caller are told.
func TestAddressTakenByAnotherService(t *testing.T) {
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 3})
	flows := openMany(x, 30)
	other := baobabstep.Service{
		ID: baobabstep.MakeServiceID("b", "s"), Name: "b/s", Account: "b",
		Address: netip.MustParseAddrPort("127.0.0.8:443"), DataCentres: []string{"dc0"},
	}
	old := x.config.Services[0].Targets[0]
	other.Targets = []baobabstep.Target{{
		ID: baobabstep.MakeTargetID("moved"), Name: "moved", Service: other.ID, Address: old.Address, DataCentre: "dc0",
	}}
	x.setConfig(x.next(func(c *baobabstep.Config) {
		c.Services[0].Targets = without(c.Services[0].Targets, 0)
		c.Services = append(c.Services, other)
		c.Quarantine = []baobabstep.Quarantine{{Address: old.Address, Service: c.Services[0].ID, Until: c.Version + 1}}
	}))
	x.lose = func(_ baobabstep.VMID, s *baobabstep.Send) bool {
		if s.Dest == baobabstep.DestTarget && s.Address == old.Address {
			t.Fatalf("%v of %v sent to an address of another service", s.Packet.Kind, s.Packet.Flow)
		}
		return false
	}
	for _, c := range flows {
		if c.opened == old.ID {
			qt.Assert(t, x.say(c, "hello", 0), qt.IsFalse)
			qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeTargetGone)
			continue
		}
		x.assertAlive(c)
	}

	key := baobabstep.FlowKey{Caller: flows[0].key.Caller, Service: other.Address, Number: 77}
	c := &fakeCaller{key: key}
	x.callers[key] = c
	x.enter(0, baobabstep.Packet{Kind: baobabstep.KindOpen, Flow: key})
	x.run()
	qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeNoTarget)
	qt.Assert(t, x.events("target_quarantined") > 0, qt.IsTrue)
}

// A service address moves to another service. Flows of the first one must not
// go on under an address that now means something else.
func TestServiceAddressMoves(t *testing.T) {
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 3})
	c := x.open(1)
	x.assertAlive(c)
	x.setConfig(x.next(func(cfg *baobabstep.Config) {
		moved := cfg.Services[0]
		moved.ID, moved.Name = baobabstep.MakeServiceID("b", "s"), "b/s"
		moved.Targets = nil
		cfg.Services = []baobabstep.Service{moved}
	}))
	qt.Assert(t, x.say(c, "hello", 0), qt.IsFalse)
	qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeWrongService)
	x.assertNobodyHolds(c)
}

// The target itself says that a packet was not for it. The flow ends at the
// caller instead of hanging.
func TestTargetRefusesWrongService(t *testing.T) {
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 3})
	c := x.open(1)
	x.assertAlive(c)
	x.enter(0, baobabstep.Packet{
		Kind: baobabstep.KindReset, FromTarget: true, Flow: c.key, Code: baobabstep.CodeWrongService,
		Service: x.config.Services[0].ID, Target: c.opened,
	})
	x.run()
	qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeWrongService)
}

// An operator drains a target, and the part that picks targets has not heard of
// it yet. The target must get no new flow; its old ones stay.
func TestDrainedTargetIsNotOpenedTo(t *testing.T) {
	x := newExchange(t, fleet{vms: 9, dcs: 3, targets: 3})
	flows := openMany(x, 30)
	drained := x.config.Services[0].Targets[0].ID
	before := len(x.targets[drained].flows)
	x.setConfig(x.next(func(c *baobabstep.Config) { c.Services[0].Targets[0].Drained = true }))
	for n := 100; n < 160; n++ {
		x.open(n)
	}
	qt.Assert(t, x.events("drained_target_picked") > 0, qt.IsTrue)
	qt.Assert(t, len(x.targets[drained].flows), qt.Equals, before)
	x.assertAlive(flows...)
}
