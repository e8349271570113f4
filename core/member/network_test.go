package member_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"baobabstep"
	"baobabstep/core/member"
)

// tickInterval is the time between two ticks of every VM.
const tickInterval = 100 * time.Millisecond

// pendingMessage is a message that was sent and not yet delivered.
type pendingMessage struct {
	deliverAt time.Time
	from, to  baobabstep.VM
	body      []byte
}

// simNetwork delivers messages between fleets in one goroutine. A paused VM neither
// ticks nor receives; its messages wait, as in a socket buffer.
type simNetwork struct {
	t                       *testing.T
	now                     time.Time
	rand                    *rand.Rand
	fleets                  map[baobabstep.VMID]*member.Fleet // the running VMs
	vms                     map[string]baobabstep.VM
	paused                  map[baobabstep.VMID]bool
	blocked                 func(from, to baobabstep.VM) bool
	lossRate, duplicateRate float64
	pending                 []pendingMessage
}

func newSimNetwork(t *testing.T) *simNetwork {
	return &simNetwork{
		t: t, now: time.Unix(1e9, 0), rand: rand.New(rand.NewPCG(1, 2)),
		fleets: make(map[baobabstep.VMID]*member.Fleet),
		vms:    make(map[string]baobabstep.VM),
		paused: make(map[baobabstep.VMID]bool),
	}
}

// send queues messages with random delays, losses and duplicates.
func (x *simNetwork) send(from baobabstep.VMID, out []member.Out) {
	for _, o := range out {
		to := x.findVM(func(vm baobabstep.VM) bool { return vm.ID == o.To || o.To == 0 && vm.PeerAddress == o.Address })
		sender := x.findVM(func(vm baobabstep.VM) bool { return vm.ID == from })
		for copies := 1; copies > 0; copies-- {
			if x.rand.Float64() < x.duplicateRate {
				copies++
			}
			if x.rand.Float64() >= x.lossRate {
				at := x.now.Add(time.Duration(1+x.rand.IntN(4)) * time.Millisecond)
				x.pending = append(x.pending, pendingMessage{at, sender, to, o.Body})
			}
		}
	}
}

// run advances the time by d.
func (x *simNetwork) run(d time.Duration) {
	for end := x.now.Add(d); x.now.Before(end); {
		next := x.now.Add(tickInterval)
		for x.deliver(next) {
		}
		x.now = next
		for _, id := range x.sortedIDs() {
			if !x.paused[id] {
				x.send(id, x.fleets[id].Tick(x.now))
			}
		}
	}
}

// deliver delivers the earliest message due before until, if any.
func (x *simNetwork) deliver(until time.Time) bool {
	best := -1
	for i, fl := range x.pending {
		if !x.paused[fl.to.ID] && fl.deliverAt.Before(until) && (best < 0 || fl.deliverAt.Before(x.pending[best].deliverAt)) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	fl := x.pending[best]
	x.pending = slices.Delete(x.pending, best, best+1)
	if fl.deliverAt.After(x.now) {
		x.now = fl.deliverAt
	}
	if f := x.fleets[fl.to.ID]; f != nil && (x.blocked == nil || !x.blocked(fl.from, fl.to)) {
		x.send(fl.to.ID, f.Handle(x.now, fl.from.ID, fl.body))
	}
	return true
}
