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

// start adds a VM, or starts it anew, and names seeds to it.
func (x *exchange) start(name, dataCentre string, seeds ...string) *member.Fleet {
	n := uint16(1000 + len(x.vms))
	vm := baobabstep.VM{
		ID: baobabstep.MakeVMID(name), Name: name, Region: "tas-south", DataCentre: dataCentre, Rack: "r" + name[len(name)-1:],
		DataAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, 1}), n),
		PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, 2}), n),
	}
	f := member.New(x.now, member.Options{Self: vm, Rand: rand.New(rand.NewPCG(uint64(vm.ID), x.rand.Uint64()))})
	x.vms[name], x.fleets[vm.ID] = vm, f
	f.Seeds(x.now, x.list(seeds...))
	return f
}

func (x *exchange) list(names ...string) []baobabstep.VM {
	var vms []baobabstep.VM
	for _, name := range names {
		vms = append(vms, x.vms[name])
	}
	return vms
}

func (x *exchange) id(name string) baobabstep.VMID { return baobabstep.MakeVMID(name) }

func (x *exchange) fleet(name string) *member.Fleet { return x.fleets[x.id(name)] }

func (x *exchange) kill(name string) { delete(x.fleets, x.id(name)) }

func (x *exchange) order() []baobabstep.VMID { return slices.Sorted(maps.Keys(x.fleets)) }

func (x *exchange) find(fits func(baobabstep.VM) bool) baobabstep.VM {
	for _, vm := range x.vms {
		if fits(vm) {
			return vm
		}
	}
	return baobabstep.VM{}
}

// three starts n VMs, named a0, b0, c0, a1, ..., in data centres a, b and c,
// and waits until they know each other.
func three(t *testing.T, n int) *exchange {
	x := newExchange(t)
	for i := range n {
		dataCentre := string(rune('a' + i%3))
		x.start(fmt.Sprint(dataCentre, i/3), dataCentre, "a0", "b0", "c0")
	}
	x.run(12 * time.Second)
	x.assertConverged(n)
	return x
}

// members returns the names of the members in the view of a VM.
func (x *exchange) members(name string) []string {
	var names []string
	for _, vm := range x.fleet(name).View(x.now).Members {
		names = append(names, vm.Name)
	}
	slices.Sort(names)
	return names
}

// assertConverged checks that every running VM has the same n members, all
// alive, and is sure of it.
func (x *exchange) assertConverged(n int) {
	x.t.Helper()
	var first []baobabstep.VM
	for _, id := range x.order() {
		v := x.fleets[id].View(x.now)
		name := x.find(func(vm baobabstep.VM) bool { return vm.ID == id }).Name
		qt.Assert(x.t, v.Members, qt.HasLen, n, qt.Commentf("view of %s: %v", name, x.members(name)))
		qt.Assert(x.t, v.Unsure, qt.IsFalse, qt.Commentf("view of %s", name))
		if first == nil {
			first = v.Members
		}
		qt.Assert(x.t, slices.Equal(v.Members, first), qt.IsTrue, qt.Commentf("view of %s", name))
	}
}
