package member_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/member"
)

// tick is the time between two ticks of every VM.
const tick = 100 * time.Millisecond

// flight is a message on its way.
type flight struct {
	at       time.Time
	from, to baobabstep.VMID
	body     []byte
}

// exchange carries messages between fleets in one goroutine. A VM that is
// paused neither ticks nor listens; its messages wait, as in a socket buffer.
type exchange struct {
	t       *testing.T
	now     time.Time
	rand    *rand.Rand
	fleets  map[baobabstep.VMID]*member.Fleet
	vms     map[string]baobabstep.VM
	paused  map[baobabstep.VMID]bool
	cut     func(from, to baobabstep.VM) bool
	loss    float64
	doubled float64
	flights []flight
}

func newExchange(t *testing.T) *exchange {
	return &exchange{
		t: t, now: time.Unix(1e9, 0), rand: rand.New(rand.NewPCG(1, 2)),
		fleets: make(map[baobabstep.VMID]*member.Fleet),
		vms:    make(map[string]baobabstep.VM),
		paused: make(map[baobabstep.VMID]bool),
	}
}

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

// send puts messages on their way, in any order.
func (x *exchange) send(from baobabstep.VMID, out []member.Out) {
	for _, o := range out {
		if o.To == 0 {
			o.To = x.at(o.Address)
		}
		for copies := 1; copies > 0; copies-- {
			if x.rand.Float64() < x.doubled {
				copies++
			}
			if x.rand.Float64() >= x.loss {
				at := x.now.Add(time.Duration(1+x.rand.IntN(4)) * time.Millisecond)
				x.flights = append(x.flights, flight{at, from, o.To, o.Body})
			}
		}
	}
}

// run lets time pass.
func (x *exchange) run(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		next := x.now.Add(tick)
		for x.deliver(next) {
		}
		x.now = next
		for _, id := range x.order() {
			if f := x.fleets[id]; !x.paused[id] {
				x.send(id, f.Tick(x.now))
			}
		}
	}
}

// deliver hands over the first message due before until.
func (x *exchange) deliver(until time.Time) bool {
	best := -1
	for i, fl := range x.flights {
		if !x.paused[fl.to] && fl.at.Before(until) && (best < 0 || fl.at.Before(x.flights[best].at)) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	fl := x.flights[best]
	x.flights = slices.Delete(x.flights, best, best+1)
	if fl.at.After(x.now) {
		x.now = fl.at
	}
	f := x.fleets[fl.to]
	if f != nil && (x.cut == nil || !x.cut(x.byID(fl.from), x.byID(fl.to))) {
		x.send(fl.to, f.Handle(x.now, fl.from, fl.body))
	}
	return true
}

// at returns the VM with a peer address.
func (x *exchange) at(address netip.AddrPort) baobabstep.VMID {
	for _, vm := range x.vms {
		if vm.PeerAddress == address {
			return vm.ID
		}
	}
	return 0
}

func (x *exchange) byID(id baobabstep.VMID) baobabstep.VM {
	for _, vm := range x.vms {
		if vm.ID == id {
			return vm
		}
	}
	return baobabstep.VM{}
}

func (x *exchange) order() []baobabstep.VMID {
	var ids []baobabstep.VMID
	for id := range x.fleets {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b baobabstep.VMID) int { return cmp.Compare(a, b) })
	return ids
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
		name := x.byID(id).Name
		qt.Assert(x.t, v.Members, qt.HasLen, n, qt.Commentf("view of %s: %v", name, x.members(name)))
		qt.Assert(x.t, v.Unsure, qt.IsFalse, qt.Commentf("view of %s", name))
		if first == nil {
			first = v.Members
		}
		qt.Assert(x.t, slices.Equal(v.Members, first), qt.IsTrue, qt.Commentf("view of %s", name))
	}
}
