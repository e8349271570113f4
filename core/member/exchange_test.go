package member_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"baobabstep"
	"baobabstep/core/member"
)

// tick is the time between two ticks of every VM.
const tick = 100 * time.Millisecond

// flight is a message on its way.
type flight struct {
	at       time.Time
	from, to baobabstep.VM
	body     []byte
}

// exchange carries messages between fleets in one goroutine. A VM that is
// paused neither ticks nor listens; its messages wait, as in a socket buffer.
type exchange struct {
	t             *testing.T
	now           time.Time
	rand          *rand.Rand
	fleets        map[baobabstep.VMID]*member.Fleet // those that run
	vms           map[string]baobabstep.VM
	paused        map[baobabstep.VMID]bool
	cut           func(from, to baobabstep.VM) bool
	loss, doubled float64
	flights       []flight
}

func newExchange(t *testing.T) *exchange {
	return &exchange{
		t: t, now: time.Unix(1e9, 0), rand: rand.New(rand.NewPCG(1, 2)),
		fleets: make(map[baobabstep.VMID]*member.Fleet),
		vms:    make(map[string]baobabstep.VM),
		paused: make(map[baobabstep.VMID]bool),
	}
}

// send puts messages on their way, in any order.
func (x *exchange) send(from baobabstep.VMID, out []member.Out) {
	for _, o := range out {
		to := x.find(func(vm baobabstep.VM) bool { return vm.ID == o.To || o.To == 0 && vm.PeerAddress == o.Address })
		sender := x.find(func(vm baobabstep.VM) bool { return vm.ID == from })
		for copies := 1; copies > 0; copies-- {
			if x.rand.Float64() < x.doubled {
				copies++
			}
			if x.rand.Float64() >= x.loss {
				at := x.now.Add(time.Duration(1+x.rand.IntN(4)) * time.Millisecond)
				x.flights = append(x.flights, flight{at, sender, to, o.Body})
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
			if !x.paused[id] {
				x.send(id, x.fleets[id].Tick(x.now))
			}
		}
	}
}

// deliver hands over the first message due before until.
func (x *exchange) deliver(until time.Time) bool {
	best := -1
	for i, fl := range x.flights {
		if !x.paused[fl.to.ID] && fl.at.Before(until) && (best < 0 || fl.at.Before(x.flights[best].at)) {
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
	if f := x.fleets[fl.to.ID]; f != nil && (x.cut == nil || !x.cut(fl.from, fl.to)) {
		x.send(fl.to.ID, f.Handle(x.now, fl.from.ID, fl.body))
	}
	return true
}
