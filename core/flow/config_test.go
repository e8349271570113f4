package flow_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// nextConfig returns a changed copy of the configuration with the next
// version.
func (x *testNetwork) nextConfig(change func(*baobabstep.Config)) *baobabstep.Config {
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

// A target is removed from the configuration while the holders of its flows
// die. Only the records then have its address. Its flows must stay on it, and
// it must get no new ones.
func TestDrainWhileTheHolderDies(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 12, dcs: 3, targets: 6})
	flows := openMany(x, 120)
	drained := flows[0].opened
	before := len(x.targets[drained].flows)
	x.setConfig(x.nextConfig(func(c *baobabstep.Config) {
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

// VMs join while a target drains, until no VM is left that saw the target in
// the configuration. Its flows must still reach it, so records must carry its
// address.
func TestVMJoinsDuringADrain(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 6, dcs: 2, targets: 6})
	flows := openMany(x, 120)
	x.setConfig(x.nextConfig(func(c *baobabstep.Config) {
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

// The address of a target moves to another service while flows to the target
// are open. Their next packet must not reach the other service, and their
// callers must get a reset.
func TestAddressTakenByAnotherService(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 3})
	flows := openMany(x, 30)
	other := baobabstep.Service{
		ID: baobabstep.MakeServiceID("b", "s"), Name: "b/s", Account: "b",
		Address: netip.MustParseAddrPort("127.0.0.8:443"), DataCentres: []string{"dc0"},
	}
	old := x.config.Services[0].Targets[0]
	other.Targets = []baobabstep.Target{{
		ID: baobabstep.MakeTargetID("moved"), Name: "moved", Service: other.ID, Address: old.Address, DataCentre: "dc0",
	}}
	x.setConfig(x.nextConfig(func(c *baobabstep.Config) {
		c.Services[0].Targets = without(c.Services[0].Targets, 0)
		c.Services = append(c.Services, other)
		c.Quarantine = []baobabstep.Quarantine{{Address: old.Address, Service: c.Services[0].ID, Until: c.Version + 1}}
	}))
	x.lose = func(_ baobabstep.VMID, s *baobabstep.OutgoingPacket) bool {
		if s.Dest == baobabstep.DestTarget && s.Address == old.Address {
			t.Fatalf("%v of %v sent to an address of another service", s.Packet.Kind, s.Packet.Flow)
		}
		return false
	}
	for _, c := range flows {
		if c.opened == old.ID {
			qt.Assert(t, x.sendData(c, "hello", 0), qt.IsFalse)
			qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeTargetGone)
			continue
		}
		x.assertAlive(c)
	}

	key := baobabstep.FlowKey{Caller: flows[0].key.Caller, Service: other.Address, Number: 77}
	c := &fakeCaller{key: key}
	x.callers[key] = c
	x.receive(0, baobabstep.Packet{Kind: baobabstep.KindOpen, Flow: key})
	x.run()
	qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeNoTarget)
	qt.Assert(t, x.events("target_quarantined") > 0, qt.IsTrue)
}

// A service address moves to another service. Flows of the first service must
// end with a reset rather than reach the second.
func TestServiceAddressMoves(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 3})
	c := x.open(1)
	x.assertAlive(c)
	x.setConfig(x.nextConfig(func(cfg *baobabstep.Config) {
		moved := cfg.Services[0]
		moved.ID, moved.Name = baobabstep.MakeServiceID("b", "s"), "b/s"
		moved.Targets = nil
		cfg.Services = []baobabstep.Service{moved}
	}))
	qt.Assert(t, x.sendData(c, "hello", 0), qt.IsFalse)
	qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeWrongService)
	x.assertNoTargetHolds(c)
}

// A target rejects a packet as one of another service. The flow must end at
// the caller too.
func TestTargetRefusesWrongService(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 3})
	c := x.open(1)
	x.assertAlive(c)
	x.receive(0, baobabstep.Packet{
		Kind: baobabstep.KindReset, FromTarget: true, Flow: c.key, Code: baobabstep.CodeWrongService,
		Service: x.config.Services[0].ID, Target: c.opened,
	})
	x.run()
	qt.Assert(t, c.reset, qt.Equals, baobabstep.CodeWrongService)
}

// An operator drains a target, but the Chooser still picks it. The target must
// get no new flow and keep its old ones.
func TestDrainedTargetIsNotOpenedTo(t *testing.T) {
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 3})
	flows := openMany(x, 30)
	drained := x.config.Services[0].Targets[0].ID
	before := len(x.targets[drained].flows)
	x.setConfig(x.nextConfig(func(c *baobabstep.Config) { c.Services[0].Targets[0].Drained = true }))
	for n := 100; n < 160; n++ {
		x.open(n)
	}
	qt.Assert(t, x.events("drained_target_picked") > 0, qt.IsTrue)
	qt.Assert(t, len(x.targets[drained].flows), qt.Equals, before)
	x.assertAlive(flows...)
}
