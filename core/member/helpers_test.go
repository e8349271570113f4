package member_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/member"
)

// start starts or restarts a VM and passes it the seeds.
func (x *simNetwork) start(name, dataCentre string, seeds ...string) *member.Fleet {
	n := uint16(1000 + len(x.vms))
	vm := baobabstep.VM{
		ID: baobabstep.MakeVMID(name), Name: name, Region: "tas-south", DataCentre: dataCentre, Rack: "r" + name[len(name)-1:],
		DataAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, 1}), n),
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, 2}), n),
	}
	f := member.New(x.now, member.Options{Self: vm, Rand: rand.New(rand.NewPCG(uint64(vm.ID), x.rand.Uint64()))})
	x.vms[name], x.fleets[vm.ID] = vm, f
	f.SetSeeds(x.now, x.vmList(seeds...))
	return f
}

func (x *simNetwork) vmList(names ...string) []baobabstep.VM {
	var vms []baobabstep.VM
	for _, name := range names {
		vms = append(vms, x.vms[name])
	}
	return vms
}

func (x *simNetwork) id(name string) baobabstep.VMID { return baobabstep.MakeVMID(name) }

func (x *simNetwork) fleet(name string) *member.Fleet { return x.fleets[x.id(name)] }

func (x *simNetwork) kill(name string) { delete(x.fleets, x.id(name)) }

func (x *simNetwork) sortedIDs() []baobabstep.VMID { return slices.Sorted(maps.Keys(x.fleets)) }

func (x *simNetwork) findVM(match func(baobabstep.VM) bool) baobabstep.VM {
	for _, vm := range x.vms {
		if match(vm) {
			return vm
		}
	}
	return baobabstep.VM{}
}

// startFleet starts n VMs, named a0, b0, c0, a1, ..., in data centres a, b and c,
// and waits until their views agree.
func startFleet(t *testing.T, n int) *simNetwork {
	x := newSimNetwork(t)
	for i := range n {
		dataCentre := string(rune('a' + i%3))
		x.start(fmt.Sprint(dataCentre, i/3), dataCentre, "a0", "b0", "c0")
	}
	x.run(12 * time.Second)
	x.assertConverged(n)
	return x
}

// memberNames returns the sorted names of the members in the view of a VM.
func (x *simNetwork) memberNames(name string) []string {
	var names []string
	for _, vm := range x.fleet(name).View(x.now).Members {
		names = append(names, vm.Name)
	}
	slices.Sort(names)
	return names
}

// assertConverged checks that all running VMs have the same view of n members, and
// that none is unsure.
func (x *simNetwork) assertConverged(n int) {
	x.t.Helper()
	var first []baobabstep.VM
	for _, id := range x.sortedIDs() {
		v := x.fleets[id].View(x.now)
		name := x.findVM(func(vm baobabstep.VM) bool { return vm.ID == id }).Name
		qt.Assert(x.t, v.Members, qt.HasLen, n, qt.Commentf("view of %s: %v", name, x.memberNames(name)))
		qt.Assert(x.t, v.Unsure, qt.IsFalse, qt.Commentf("view of %s", name))
		if first == nil {
			first = v.Members
		}
		qt.Assert(x.t, slices.Equal(v.Members, first), qt.IsTrue, qt.Commentf("view of %s", name))
	}
}
