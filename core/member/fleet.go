// Package member keeps the membership of the fleet: which VMs exist, which of
// them answer, and which view follows from that. It is pure: messages come in
// as bytes, messages to send go out as [Out], time is an argument.
package member

import (
	"math/rand/v2"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"baobabstep"
)

// Options configure a [Fleet]. Zero durations get the documented defaults.
type Options struct {
	Self baobabstep.VM
	// ProbeInterval is the time between two probes, 500 ms by default.
	ProbeInterval time.Duration
	// ProbeTimeout is the time to wait for the answer of a probe before
	// other VMs are asked to probe, 200 ms by default.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time a suspect has to refute, 1 s by default.
	SuspicionTimeout time.Duration
	// PauseLimit is the gap between ticks that counts as a pause, 1 s by
	// default.
	PauseLimit time.Duration
	// Relays is the number of VMs of a data centre that exchange news with
	// one other data centre, and of VMs asked for an indirect probe; 3 by
	// default.
	Relays int
	Rand   *rand.Rand
}

// Out is one message to send.
type Out struct {
	To baobabstep.VMID
	// Address is the peer address of To, for VMs that the peers port may not
	// know yet.
	Address netip.AddrPort
	Body    []byte
}

// Stats counts what a [Fleet] did.
type Stats struct {
	MessagesIn, MessagesOut, BytesIn, BytesOut uint64
	Malformed                                  uint64
	Suspicions, Refutations, Pauses            uint64
}

// Fleet is the membership as one VM sees it. It is safe for concurrent use.
type Fleet struct {
	mu       sync.Mutex
	o        Options
	self     baobabstep.VM
	known    map[baobabstep.VMID]*record
	view     *baobabstep.View
	stats    Stats
	lastTick time.Time
	nextPing time.Time
	paused   bool
}

type record struct {
	vm    baobabstep.VM
	heard time.Time
}

type message struct {
	_  struct{} `cbor:",toarray"`
	VM baobabstep.VM
}

// New returns a fleet that knows only its own VM.
func New(now time.Time, o Options) *Fleet {
	if o.ProbeInterval == 0 {
		o.ProbeInterval = 500 * time.Millisecond
	}
	if o.PauseLimit == 0 {
		o.PauseLimit = time.Second
	}
	f := &Fleet{o: o, self: o.Self, known: make(map[baobabstep.VMID]*record), lastTick: now}
	f.self.Incarnation = max(f.self.Incarnation, 1)
	f.change(now)
	return f
}

// Seeds takes candidates to contact.
func (f *Fleet) Seeds(_ time.Time, vms []baobabstep.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, vm := range vms {
		if vm.ID == f.self.ID || f.known[vm.ID] != nil {
			continue
		}
		vm.State = baobabstep.VMDead
		vm.Incarnation = 0
		f.known[vm.ID] = &record{vm: vm}
	}
}

// Handle takes one message of an authenticated peer.
func (f *Fleet) Handle(now time.Time, from baobabstep.VMID, body []byte) []Out {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stats.MessagesIn++
	f.stats.BytesIn += uint64(len(body))
	var m message
	if err := cbor.Unmarshal(body, &m); err != nil || m.VM.ID != from {
		f.stats.Malformed++
		return nil
	}
	f.paused = false
	r := f.known[from]
	if r == nil {
		r = &record{}
		f.known[from] = r
	}
	r.heard = now
	if r.vm != m.VM {
		r.vm = m.VM
		f.change(now)
	}
	return nil
}

// Tick sends what is due. Call it every 100 ms.
func (f *Fleet) Tick(now time.Time) []Out {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.lastTick) > f.o.PauseLimit {
		f.paused = len(f.known) > 0
		f.stats.Pauses++
	}
	f.lastTick = now
	for _, r := range f.known {
		if r.vm.State == baobabstep.VMAlive && now.Sub(r.heard) > 3*time.Second {
			r.vm.State = baobabstep.VMDead
			f.change(now)
		}
	}
	if now.Before(f.nextPing) {
		return nil
	}
	f.nextPing = now.Add(f.o.ProbeInterval)
	return f.announce()
}

func (f *Fleet) announce() []Out {
	body, err := cbor.Marshal(message{VM: f.self})
	if err != nil {
		panic(err)
	}
	var out []Out
	for id, r := range f.known {
		out = append(out, Out{To: id, Address: r.vm.PeerAddress, Body: body})
		f.stats.MessagesOut++
		f.stats.BytesOut += uint64(len(body))
	}
	return out
}

func (f *Fleet) change(now time.Time) {
	v := &baobabstep.View{Number: 1, Self: f.self.ID, ChangedAt: now, Unsure: f.paused}
	if f.view != nil {
		v.Number = f.view.Number + 1
	}
	for _, vm := range f.all() {
		if vm.Region == f.self.Region && vm.State <= baobabstep.VMSuspect {
			v.Members = append(v.Members, vm)
		}
	}
	f.view = v
}

func (f *Fleet) all() []baobabstep.VM {
	vms := []baobabstep.VM{f.self}
	for _, r := range f.known {
		vms = append(vms, r.vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}

// View returns the membership of the own region. The pointer stays the same
// while nothing changed.
func (f *Fleet) View(time.Time) *baobabstep.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

// All returns every VM known, of all regions and in all states, sorted by ID.
func (f *Fleet) All(time.Time) []baobabstep.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.all()
}

// Paused reports whether this VM was paused and no peer has answered since.
func (f *Fleet) Paused(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.paused || now.Sub(f.lastTick) > f.o.PauseLimit && len(f.known) > 0
}

// Leave announces a planned stop.
func (f *Fleet) Leave(now time.Time) []Out {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self.State = baobabstep.VMLeaving
	f.change(now)
	return f.announce()
}

// Stats returns the counters.
func (f *Fleet) Stats() Stats {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stats
}
