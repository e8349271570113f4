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

func TestViewKeepsWhoIsSilent(t *testing.T) {
	b := newBoard(1, 3)
	qt.Assert(t, b.View(start).Settled, qt.IsFalse)
	b.Handle(start, address(3), beat(3, 1, 1))
	b.Handle(start, address(2), beat(2, 1, 1)) // another data centre
	others := []baobabstep.VMID{3}
	at := func(d time.Duration) *quota.View { return b.View(start.Add(d)) }
	qt.Assert(t, at(settleTime-1).Settled, qt.IsFalse)

	t.Run("settled while others are heard", func(t *testing.T) {
		b.Handle(start.Add(settleTime), address(3), beat(3, 1, 2))
		qt.Assert(t, *at(settleTime), qt.DeepEquals, quota.View{Self: 1, Others: others, Settled: true})
		qt.Assert(t, at(settleTime), qt.Equals, at(settleTime)) // the same value
	})
	t.Run("a VM that hears nobody uses nothing, and keeps the places of others", func(t *testing.T) {
		later := settleTime + 5*time.Second
		qt.Assert(t, *at(later), qt.DeepEquals, quota.View{Self: 1, Others: others})
	})
	t.Run("a new VM is waited for", func(t *testing.T) {
		later := settleTime + 6*time.Second
		b.Handle(start.Add(later), address(5), beat(5, 1, 1))
		qt.Assert(t, *at(later), qt.DeepEquals, quota.View{Self: 1, Others: []baobabstep.VMID{3, 5}})
	})
	t.Run("a VM that is alone by its settings has all for itself", func(t *testing.T) {
		b := newBoard(1, 1)
		qt.Assert(t, *b.View(start.Add(settleTime)), qt.DeepEquals, quota.View{Self: 1, Settled: true})
	})
}

// quotaFleet is VMs of one data centre in virtual time, all of which want to send a
// cold target as much as they may.
type quotaFleet struct {
	fail   func(format string, args ...any)
	now    time.Time
	random *rand.Rand
	vms    []*quotaVM
	apart  map[[2]int]bool
	loss   float64
	limit  quota.Limit
	uses   []time.Time
}

type quotaVM struct {
	n     int
	board *Board
	meter quota.Meter
	// frozenUntil is until when it does nothing.
	frozenUntil time.Time
	off         bool
}

// coldRates are what targets bear while they are cold, in requests a second.
var coldRates = []float64{1, 1.5, 4, 6, 10, 20}

const (
	quotaVMs  = 12
	quotaStep = 100 * time.Millisecond
)

func (f *quotaFleet) start(vm *quotaVM) {
	vm.board = New(f.now, Options{
		Self: baobabstep.VMID(100 + vm.n), DataCentre: "a", Address: address(vm.n + 1), Life: uint64(f.now.UnixMilli()),
		Seeds: []netip.AddrPort{address(1), address(2), address(3)}, Rand: rand.New(rand.NewPCG(f.random.Uint64(), 1)),
	})
	vm.meter, vm.off = quota.Meter{}, false
}

// step lets time pass: heartbeats, then as many uses as shares allow.
func (f *quotaFleet) step() {
	f.now = f.now.Add(quotaStep)
	for _, vm := range f.vms {
		if !vm.runs(f.now) {
			continue
		}
		if vm.board.Due(f.now) {
			for _, out := range vm.board.Tick(f.now, Own{}) {
				f.deliver(vm, out)
			}
		}
	}
	for _, vm := range f.vms {
		if !vm.runs(f.now) {
			continue
		}
		share := vm.board.View(f.now).ShareOf(42, f.limit)
		for vm.meter.Allows(f.now, share) {
			vm.meter.Record(f.now, share)
			f.uses = append(f.uses, f.now)
		}
	}
	f.uses = slices.DeleteFunc(f.uses, func(at time.Time) bool { return f.now.Sub(at) >= time.Second })
	if float64(len(f.uses)) > f.limit.Bound {
		f.fail("the target got %d in a second, want at most %v", len(f.uses), f.limit.Bound)
	}
}

func (vm *quotaVM) runs(now time.Time) bool { return !vm.off && !now.Before(vm.frozenUntil) }

func (f *quotaFleet) deliver(from *quotaVM, out Out) {
	to := int(out.To.Addr().As4()[3]) - 1
	if to >= len(f.vms) || !f.vms[to].runs(f.now) || f.apart[[2]int{from.n, to}] || f.random.Float64() < f.loss {
		return
	}
	f.vms[to].board.Handle(f.now, address(from.n+1), out.Message.Heartbeat)
}

func (f *quotaFleet) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
	}
}

func newQuotaFleet(fail func(format string, args ...any), seed uint64, rate float64) *quotaFleet {
	f := &quotaFleet{
		fail: fail, now: start, random: rand.New(rand.NewPCG(seed, 1)), apart: map[[2]int]bool{},
		limit: quota.Limit{PerSecond: rate, Bound: 1.5*rate + 5},
	}
	for n := range quotaVMs {
		f.vms = append(f.vms, &quotaVM{n: n, off: n >= quotaVMs-3})
		if !f.vms[n].off {
			f.start(f.vms[n])
		}
	}
	f.pass(4 * time.Second)
	return f
}

// A target comes back cold and bears a few requests a second. VMs join, are killed,
// lose power together, freeze, and lose sight of one another meanwhile; each decides
// alone what it sends. No second may see more than the bound.
func TestFleetKeepsABound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newQuotaFleet(t.Fatalf, rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom(coldRates).Draw(t, "rate"))
		anyVM := func() *quotaVM { return f.vms[rapid.IntRange(0, quotaVMs-1).Draw(t, "vm")] }
		t.Repeat(map[string]func(*rapid.T){
			"pass time": func(*rapid.T) { f.pass(2 * time.Second) },
			"a VM joins, or is killed and starts": func(*rapid.T) {
				f.start(anyVM())
			},
			"a VM is gone": func(*rapid.T) { anyVM().off = true },
			"a VM freezes": func(*rapid.T) { anyVM().frozenUntil = f.now.Add(2 * time.Second) },
			"all are killed and start": func(*rapid.T) {
				for _, vm := range f.vms {
					f.start(vm)
				}
			},
			"two VMs are cut, or joined": func(*rapid.T) {
				pair := [2]int{anyVM().n, anyVM().n}
				f.apart[pair] = !f.apart[pair]
			},
			"a VM is cut off, or joined": func(*rapid.T) {
				cut := anyVM().n
				for n := range quotaVMs {
					f.apart[[2]int{n, cut}] = !f.apart[[2]int{n, cut}]
					f.apart[[2]int{cut, n}] = !f.apart[[2]int{cut, n}]
				}
			},
			"halves are cut, or joined": func(*rapid.T) {
				for a := range quotaVMs {
					for b := range quotaVMs {
						if a%2 != b%2 {
							f.apart[[2]int{a, b}] = !f.apart[[2]int{a, b}]
						}
					}
				}
			},
			"messages are lost, or not": func(*rapid.T) { f.loss = 0.5 - f.loss },
			"":                          func(*rapid.T) { f.pass(200 * time.Millisecond) },
		})
	})
}

// With nothing in the way the target gets at least half of what it bears.
func TestCalmFleetUsesABound(t *testing.T) {
	for _, rate := range coldRates {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			for seed := range uint64(3) {
				f := newQuotaFleet(t.Fatalf, seed, rate)
				f.pass(time.Second)
				if float64(len(f.uses)) < rate/2 {
					t.Fatalf("the target got %d in a second, want at least %v", len(f.uses), rate/2)
				}
			}
		})
	}
}

// Guards against fleets that start in which most VMs take themselves for the first by rank.
func TestKnowsOthers(t *testing.T) {
	t.Run("alone with seeds", func(t *testing.T) {
		b := newBoard(1, 3)
		qt.Assert(t, b.KnowsOthers(start.Add(startupTime-1)), qt.IsFalse)
		qt.Assert(t, b.KnowsOthers(start.Add(startupTime)), qt.IsTrue)
	})
	t.Run("alone", func(t *testing.T) {
		b := newBoard(1, 1)
		qt.Assert(t, b.KnowsOthers(start.Add(settleTime-1)), qt.IsFalse)
		qt.Assert(t, b.KnowsOthers(start.Add(settleTime)), qt.IsTrue)
	})
	t.Run("another one just heard", func(t *testing.T) {
		b := newBoard(1, 3)
		b.Handle(start.Add(time.Second), address(3), beat(3, 1, 1))
		qt.Assert(t, b.KnowsOthers(start.Add(time.Second+settleTime-1)), qt.IsFalse)
		qt.Assert(t, b.KnowsOthers(start.Add(time.Second+settleTime)), qt.IsTrue)
	})
}
