package heartbeat

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"baobabstep"
	"baobabstep/core/quota"
)

func TestViewKeepsSilentVMs(t *testing.T) {
	b := newPeerTable(1, 3)
	qt.Assert(t, b.View(start).Settled, qt.IsFalse)
	b.Handle(start, address(3), newHeartbeat(3, 1, 1))
	b.Handle(start, address(2), newHeartbeat(2, 1, 1)) // another data centre
	others := []baobabstep.VMID{3}
	at := func(d time.Duration) *quota.View { return b.View(start.Add(d)) }
	qt.Assert(t, at(settlePeriod-1).Settled, qt.IsFalse)

	t.Run("settled while others are heard", func(t *testing.T) {
		b.Handle(start.Add(settlePeriod), address(3), newHeartbeat(3, 1, 2))
		qt.Assert(t, *at(settlePeriod), qt.DeepEquals, quota.View{Self: 1, Others: others, Settled: true})
		qt.Assert(t, at(settlePeriod), qt.Equals, at(settlePeriod)) // the same pointer
	})
	t.Run("not settled while all others are silent, which keep their shares", func(t *testing.T) {
		later := settlePeriod + 5*time.Second
		qt.Assert(t, *at(later), qt.DeepEquals, quota.View{Self: 1, Others: others})
	})
	t.Run("not settled after a new VM", func(t *testing.T) {
		later := settlePeriod + 6*time.Second
		b.Handle(start.Add(later), address(5), newHeartbeat(5, 1, 1))
		qt.Assert(t, *at(later), qt.DeepEquals, quota.View{Self: 1, Others: []baobabstep.VMID{3, 5}})
	})
	t.Run("settled if the only seed is the VM itself", func(t *testing.T) {
		b := newPeerTable(1, 1)
		qt.Assert(t, *b.View(start.Add(settlePeriod)), qt.DeepEquals, quota.View{Self: 1, Settled: true})
	})
}

// quotaFleet simulates the VMs of one data centre, all of which send a cold target as many
// requests as their shares allow.
type quotaFleet struct {
	fail        func(format string, args ...any)
	now         time.Time
	random      *rand.Rand
	vms         []*quotaVM
	partitioned map[[2]int]bool
	loss        float64
	limit       quota.Limit
	uses        []time.Time
}

type quotaVM struct {
	n     int
	peers *PeerTable
	meter quota.Meter
	// frozenUntil is the time until which the VM is suspended.
	frozenUntil time.Time
	stopped     bool
}

// coldRates are limits of cold targets, in requests per second.
var coldRates = []float64{1, 1.5, 4, 6, 10, 20}

const (
	quotaVMs  = 12
	quotaStep = 100 * time.Millisecond
)

func (f *quotaFleet) start(vm *quotaVM) {
	vm.peers = New(f.now, Options{
		Self: baobabstep.VMID(100 + vm.n), DataCentre: "a", Address: address(vm.n + 1), Incarnation: uint64(f.now.UnixMilli()),
		Seeds: []netip.AddrPort{address(1), address(2), address(3)}, Rand: rand.New(rand.NewPCG(f.random.Uint64(), 1)),
	})
	vm.meter, vm.stopped = quota.Meter{}, false
}

// step advances the time by quotaStep. The VMs send heartbeats, then as many requests as
// their shares allow.
func (f *quotaFleet) step() {
	f.now = f.now.Add(quotaStep)
	for _, vm := range f.vms {
		if !vm.isRunning(f.now) {
			continue
		}
		if vm.peers.HeartbeatsDue(f.now) {
			for _, out := range vm.peers.Tick(f.now, LocalState{}) {
				f.deliver(vm, out)
			}
		}
	}
	for _, vm := range f.vms {
		if !vm.isRunning(f.now) {
			continue
		}
		share := vm.peers.View(f.now).ShareOf(42, f.limit)
		for vm.meter.Allows(f.now, share) {
			vm.meter.Record(f.now, share)
			f.uses = append(f.uses, f.now)
		}
	}
	f.uses = slices.DeleteFunc(f.uses, func(at time.Time) bool { return f.now.Sub(at) >= time.Second })
	if float64(len(f.uses)) > f.limit.Bound {
		f.fail("target got %d requests in a second, want at most %v", len(f.uses), f.limit.Bound)
	}
}

func (vm *quotaVM) isRunning(now time.Time) bool { return !vm.stopped && !now.Before(vm.frozenUntil) }

func (f *quotaFleet) deliver(from *quotaVM, out Outgoing) {
	to := int(out.To.Addr().As4()[3]) - 1
	if to >= len(f.vms) || !f.vms[to].isRunning(f.now) || f.partitioned[[2]int{from.n, to}] || f.random.Float64() < f.loss {
		return
	}
	f.vms[to].peers.Handle(f.now, address(from.n+1), out.Message.Heartbeat)
}

func (f *quotaFleet) advance(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

func newQuotaFleet(fail func(format string, args ...any), seed uint64, rate float64) *quotaFleet {
	f := &quotaFleet{
		fail: fail, now: start, random: rand.New(rand.NewPCG(seed, 1)), partitioned: map[[2]int]bool{},
		limit: quota.Limit{PerSecond: rate, Bound: 1.5*rate + 5},
	}
	for n := range quotaVMs {
		f.vms = append(f.vms, &quotaVM{n: n, stopped: n >= quotaVMs-3})
		if !f.vms[n].stopped {
			f.start(f.vms[n])
		}
	}
	f.advance(4 * time.Second)
	return f
}

// Guards against more requests to a cold target in a second than its limit allows, while
// VMs join, crash, restart together, freeze or are partitioned, and each decides alone how
// many it sends.
func TestQuotaIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newQuotaFleet(t.Fatalf, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom(coldRates).Draw(t, "rate"))
		anyVM := func() *quotaVM { return f.vms[rapid.IntRange(0, quotaVMs-1).Draw(t, "vm")] }
		t.Repeat(map[string]func(*rapid.T){
			"pass time": func(*rapid.T) { f.advance(2 * time.Second) },
			"a VM joins or restarts": func(*rapid.T) {
				f.start(anyVM())
			},
			"a VM is stopped": func(*rapid.T) { anyVM().stopped = true },
			"a VM freezes":    func(*rapid.T) { anyVM().frozenUntil = f.now.Add(2 * time.Second) },
			"all VMs restart": func(*rapid.T) {
				for _, vm := range f.vms {
					f.start(vm)
				}
			},
			"two VMs are partitioned or rejoined": func(*rapid.T) {
				pair := [2]int{anyVM().n, anyVM().n}
				f.partitioned[pair] = !f.partitioned[pair]
			},
			"a VM is partitioned from all others or rejoined": func(*rapid.T) {
				cut := anyVM().n
				for n := range quotaVMs {
					f.partitioned[[2]int{n, cut}] = !f.partitioned[[2]int{n, cut}]
					f.partitioned[[2]int{cut, n}] = !f.partitioned[[2]int{cut, n}]
				}
			},
			"both halves are partitioned or rejoined": func(*rapid.T) {
				for a := range quotaVMs {
					for b := range quotaVMs {
						if a%2 != b%2 {
							f.partitioned[[2]int{a, b}] = !f.partitioned[[2]int{a, b}]
						}
					}
				}
			},
			"messages are lost or delivered": func(*rapid.T) { f.loss = 0.5 - f.loss },
			"":                               func(*rapid.T) { f.advance(200 * time.Millisecond) },
		})
	})
}

// Guards against an unused quota: without faults, a cold target gets at least half of its
// limit.
func TestQuotaIsUsed(t *testing.T) {
	for _, rate := range coldRates {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			for seed := range uint64(3) {
				f := newQuotaFleet(t.Fatalf, seed, rate)
				f.advance(time.Second)
				if float64(len(f.uses)) < rate/2 {
					t.Fatalf("target got %d requests in a second, want at least %v", len(f.uses), rate/2)
				}
			}
		})
	}
}

// Guards against most VMs of a starting fleet ranking themselves first.
func TestKnowsOthers(t *testing.T) {
	t.Run("no other VM, with seeds", func(t *testing.T) {
		b := newPeerTable(1, 3)
		qt.Assert(t, b.KnowsOthers(start.Add(discoveryPeriod-1)), qt.IsFalse)
		qt.Assert(t, b.KnowsOthers(start.Add(discoveryPeriod)), qt.IsTrue)
	})
	t.Run("alone", func(t *testing.T) {
		b := newPeerTable(1, 1)
		qt.Assert(t, b.KnowsOthers(start.Add(settlePeriod-1)), qt.IsFalse)
		qt.Assert(t, b.KnowsOthers(start.Add(settlePeriod)), qt.IsTrue)
	})
	t.Run("another VM just heard", func(t *testing.T) {
		b := newPeerTable(1, 3)
		b.Handle(start.Add(time.Second), address(3), newHeartbeat(3, 1, 1))
		qt.Assert(t, b.KnowsOthers(start.Add(time.Second+settlePeriod-1)), qt.IsFalse)
		qt.Assert(t, b.KnowsOthers(start.Add(time.Second+settlePeriod)), qt.IsTrue)
	})
}
