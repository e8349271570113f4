package flow_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"baobabstep"
	"baobabstep/core/flow"
	"baobabstep/core/place"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "12")
	_ = flag.Set("rapid.steps", "100")
	flag.Parse()
	os.Exit(m.Run())
}

// maxHalfOpen is small enough for a test to reach it.
const maxHalfOpen = 400

func (x *testNetwork) addVM(i, dcs int) {
	name := fmt.Sprint("vm", i)
	vm := baobabstep.VM{ID: baobabstep.MakeVMID(name), Name: name, DataCentre: fmt.Sprint("dc", i%dcs), Rack: fmt.Sprint("rack", i%4)}
	x.vms = append(x.vms, vm)
	slices.SortFunc(x.vms, func(a, b baobabstep.VM) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	x.startRouter(vm)
}

// startRouter gives a VM a new router without records.
func (x *testNetwork) startRouter(vm baobabstep.VM) {
	x.choosers[vm.ID] = &fakeChooser{counts: map[baobabstep.TargetID]int{}, next: len(x.choosers)}
	r, err := flow.NewPolicy(x.now, x.policy, flow.Options{
		Self: vm.ID, DataCentre: vm.DataCentre, Shards: 4, MaxHalfOpen: maxHalfOpen,
		Chooser:   x.choosers[vm.ID],
		Rand:      rand.New(rand.NewPCG(uint64(vm.ID), 3)),
		Invariant: func(name, detail string) { x.t.Fatalf("invariant %s broken at %s: %s", name, vm.Name, detail) },
	})
	if err != nil {
		x.t.Fatalf("got %v, want a policy", err)
	}
	r.SetConfig(x.now, x.config)
	x.routers[vm.ID] = r
}

func (x *testNetwork) setConfig(c *baobabstep.Config) {
	c.Index()
	x.config = c
	for i := range c.Services {
		for _, tg := range c.Services[i].Targets {
			if x.targets[tg.ID] == nil {
				x.targets[tg.ID] = &fakeTarget{config: tg, flows: map[baobabstep.FlowKey]int{}}
			}
		}
	}
	for _, r := range x.routers {
		r.SetConfig(x.now, c)
	}
}

// setView sets the view of one VM.
func (x *testNetwork) setView(vm baobabstep.VMID, members []baobabstep.VM) {
	v := &baobabstep.View{Self: vm, Members: slices.Clone(members), ChangedAt: x.now}
	if r := x.routers[vm]; r != nil {
		r.SetView(x.now, v)
	}
}

// setViews sets the same view on all VMs.
func (x *testNetwork) setViews(members []baobabstep.VM) {
	for _, vm := range x.vms {
		x.setView(vm.ID, members)
	}
}

// kill removes VMs; the others keep their views.
func (x *testNetwork) kill(vms ...baobabstep.VMID) {
	for _, vm := range vms {
		x.dead[vm] = true
		delete(x.routers, vm)
	}
}

// alive returns the running VMs.
func (x *testNetwork) alive() []baobabstep.VM {
	return slices.DeleteFunc(slices.Clone(x.vms), func(vm baobabstep.VM) bool { return x.dead[vm.ID] })
}

// advance advances the time, with a Tick of each router every 100 ms.
func (x *testNetwork) advance(d time.Duration) {
	for range d / (100 * time.Millisecond) {
		x.now = x.now.Add(100 * time.Millisecond)
		for _, vm := range x.vms {
			if r := x.routers[vm.ID]; r != nil {
				var out baobabstep.Outbox
				r.Tick(x.now, &out)
				x.enqueue(vm.ID, out)
			}
		}
		x.run()
	}
}

func (x *testNetwork) key(n int) baobabstep.FlowKey {
	return baobabstep.FlowKey{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, byte(n >> 8), byte(n)}), 5000),
		Service: x.config.Services[0].Address, Number: uint64(n) + 1,
	}
}

func (x *testNetwork) owners(key baobabstep.FlowKey, members []baobabstep.VM) place.Owners {
	h := place.Hash(x.config.FlowSecret, key)
	if x.table == nil {
		x.table = place.New(&baobabstep.View{})
	}
	x.table = x.table.Update(&baobabstep.View{Members: members})
	return x.table.Owners(h, x.config.Services[0].DataCentres)
}

// caller returns the caller's end of flow n, which it creates if necessary.
func (x *testNetwork) caller(n int) *fakeCaller {
	key := x.key(n)
	if x.callers[key] == nil {
		x.callers[key] = &fakeCaller{key: key}
	}
	return x.callers[key]
}

// sendOpen sends one open to a VM; VM 0 stands for a random one.
func (x *testNetwork) sendOpen(n int, vm baobabstep.VMID) *fakeCaller {
	c := x.caller(n)
	x.receive(vm, baobabstep.Packet{Kind: baobabstep.KindOpen, Flow: c.key})
	x.run()
	return c
}

// open opens flow n, with repetitions as a caller sends them.
func (x *testNetwork) open(n int) *fakeCaller {
	c := x.sendOpen(n, 0)
	for try := 0; c.opened == 0 && c.reset == 0 && try < 20; try++ {
		x.advance(200 * time.Millisecond)
		x.sendOpen(n, 0)
	}
	if c.opened == 0 {
		x.t.Fatalf("flow %v did not open, reset %v", c.key, c.reset)
	}
	return c
}

// sendData sends data, repeats it until it is echoed, and reports whether it
// was.
func (x *testNetwork) sendData(c *fakeCaller, text string, vm baobabstep.VMID) bool {
	for range 30 {
		x.receive(vm, baobabstep.Packet{Kind: baobabstep.KindData, Flow: c.key, Payload: []byte(text)})
		x.run()
		if slices.Contains(c.got, "echo "+text) {
			return true
		}
		if c.reset != 0 {
			return false
		}
		vm = 0
		x.advance(300 * time.Millisecond)
	}
	return false
}

// assertAlive checks that data on the flows reaches the targets on which they
// were opened, and that no other target has them.
func (x *testNetwork) assertAlive(flows ...*fakeCaller) {
	x.t.Helper()
	for i, c := range flows {
		if !x.sendData(c, fmt.Sprintf("check %d at %v", i, x.now.Unix()), 0) {
			x.t.Fatalf("flow %v broken, reset %v", c.key, c.reset)
		}
		x.assertOneTarget(c)
	}
}

func (x *testNetwork) assertOneTarget(c *fakeCaller) {
	x.t.Helper()
	for id, tg := range x.targets {
		if _, holds := tg.flows[c.key]; holds != (id == c.bound) {
			x.t.Fatalf("flow %v bound to %x: target %x holds it: %v", c.key, c.bound, id, holds)
		}
	}
}

// events returns the sum of a counter over the running VMs.
func (x *testNetwork) events(name string) (n uint64) {
	for _, r := range x.routers {
		if r != nil {
			n += r.Stats().Events[name]
		}
	}
	return n
}

// stop stops a VM gracefully and returns the number of Stop calls it took.
func (x *testNetwork) stop(vm baobabstep.VMID) (calls int) {
	for ; calls < 200; calls++ {
		var out baobabstep.Outbox
		remaining := x.routers[vm].Stop(x.now, &out)
		x.enqueue(vm, out)
		x.run()
		if remaining == 0 {
			return calls
		}
		x.advance(100 * time.Millisecond)
	}
	x.t.Fatalf("stop did not finish")
	return calls
}

func (x *testNetwork) assertNoTargetHolds(c *fakeCaller) {
	x.t.Helper()
	for id, tg := range x.targets {
		if _, holds := tg.flows[c.key]; holds {
			x.t.Fatalf("target %x still holds the ended flow %v", id, c.key)
		}
	}
}

// restart restarts a VM between two heartbeats: its records are lost, and the
// other VMs only see a higher incarnation.
func (x *testNetwork) restart(id baobabstep.VMID) {
	i := slices.IndexFunc(x.vms, func(vm baobabstep.VM) bool { return vm.ID == id })
	x.vms[i].Incarnation++
	x.startRouter(x.vms[i])
	x.setViews(x.vms)
}

// setConfigLate applies a configuration on every second VM only.
func (x *testNetwork) setConfigLate(c *baobabstep.Config) {
	routers := x.routers
	x.routers = nil
	x.setConfig(c)
	x.routers = routers
	for i, vm := range x.vms {
		if r := x.routers[vm.ID]; r != nil && i%2 == 0 {
			r.SetConfig(x.now, c)
		}
	}
}

// freshAddress returns an address that no target has had.
func (x *testNetwork) freshAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(len(x.targets))}), 80)
}

// sendDataOnAll sends one data packet on each flow to a random VM.
func (x *testNetwork) sendDataOnAll(flows []*fakeCaller) {
	for _, c := range flows {
		x.receive(0, baobabstep.Packet{Kind: baobabstep.KindData, Flow: c.key})
		x.run()
	}
}
