// Package request decides what becomes of each request: who runs it, when, how
// often, and what its caller is told.
//
// # The model
//
// A service has few slots, so whoever hands out work has to know exactly how
// many are in use. The targets of a service are split into groups of at most
// 64, and each group has one dispatcher among the VMs at any time: the first
// VM that is not suspect of the group's set, which is the three VMs with the best
// rendezvous scores, of different data centres as far as there are. Every other
// VM passes requests and answers on to it.
//
//	caller -> any VM -> dispatcher -> target
//	                        \-> the other two VMs of the set: claim
//
// The dispatcher keeps a ledger with one entry per request, from the first copy
// of it to the time when no copy can arrive any more:
//
//	queued -> running -> done          refusing: "not run" awaits its claim
//	   \         |  \-> backoff        moved: another VM owns the request
//	    \-> refusing -> done           stored: claimed here by another VM
//
// # Claims
//
// Two VMs may both think that they are the dispatcher, and either may die or
// sleep at any moment. Hence two things are done only by the owner of a claim:
// handing a request that is not idempotent to a target, and telling a caller
// that its request was not run. A VM owns the claim of a request once most VMs
// of the group's set have stored it, and most of every set that was in force a
// short time ago. A VM stores the claim of one owner only, so two majorities
// cannot both be had. A VM that started a short time ago may have forgotten
// what it stored; it says so, and its word is not counted.
//
// Without a claim the caller is told that the outcome is unknown.
//
// # Partitions
//
// The fabric may hand copies of a request to both sides of a partition between
// data centres, and no message can pass. Only a side that has members in most
// of the service's data centres, suspect ones not counted, may own claims; the
// other side serves
// idempotent requests and answers the rest with "outcome unknown" at once.
package request

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
	"baobabstep/core/place"
	"baobabstep/core/target"
)

// SlotChooser hands out the slots of targets; [target.Registry] is one.
type SlotChooser interface {
	// PickSlot takes a slot until SlotDone.
	PickSlot(now time.Time, q target.Slot) (baobabstep.TargetID, baobabstep.Code)
	// SlotDone gives a slot back and says what became of the attempt.
	SlotDone(now time.Time, id baobabstep.TargetID, code baobabstep.Code, serviceTime time.Duration)
	// Outcome says what became of an attempt whose slot was given back.
	Outcome(now time.Time, id baobabstep.TargetID, code baobabstep.Code, serviceTime time.Duration)
	// Slots returns the usable slots of a group and the mean service time.
	Slots(now time.Time, service baobabstep.ServiceID, group, groups int) (int, time.Duration)
}

var _ SlotChooser = (*target.Registry)(nil)

// Options configures an Engine. Zero limits are replaced by the defaults.
type Options struct {
	Self       baobabstep.VMID
	DataCentre string
	Targets    SlotChooser
	// Rand seeds the engine's own generators and is not used after New.
	Rand *rand.Rand
	// Invariant, when set, is called for each broken invariant, after it
	// was counted.
	Invariant func(name, detail string)

	// Settle is how long a former set still has a say over first
	// transmissions: 3 s. It has to be longer than two copies of one packet
	// can be apart plus the time until all VMs that can hear each other
	// have the same view.
	Settle time.Duration
	// Remember is how long at least a request is remembered, and how long a
	// former set has a say over retransmissions: 60 s. It has to be longer
	// than any MaxTimeout plus Settle.
	Remember time.Duration
	// ClaimTimeout is how long a claim may take before it is given up:
	// 500 ms. ClaimResend is the time between two tries: 60 ms.
	ClaimTimeout, ClaimResend time.Duration
	// MaxAttempts bounds the hand-overs of an idempotent request: 3.
	MaxAttempts int
	// MaxAnswer bounds the bytes of an answer in parts: 1 MiB.
	MaxAnswer int
	// MaxPending bounds, per shard, the bytes of answers that are not whole
	// yet, and of whole ones kept for retransmissions: 4 MiB each.
	MaxPending int
	// MaxEntries bounds the ledger entries of a shard: 131072. An entry is
	// kept until Settle after its end, and its tombstone, some 50 bytes, between
	// one and two times Remember.
	MaxEntries int
	// UrgentWait bounds the queueing of urgent requests, as a multiple of
	// the mean service time: 1.
	UrgentWait float64
}

func (o *Options) setDefaults() {
	o.Settle = cmp.Or(o.Settle, 3*time.Second)
	o.Remember = cmp.Or(o.Remember, time.Minute)
	o.ClaimTimeout = cmp.Or(o.ClaimTimeout, 500*time.Millisecond)
	o.ClaimResend = cmp.Or(o.ClaimResend, 60*time.Millisecond)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, 3)
	o.MaxAnswer = cmp.Or(o.MaxAnswer, 1<<20)
	o.MaxPending = cmp.Or(o.MaxPending, 4<<20)
	o.MaxEntries = cmp.Or(o.MaxEntries, 1<<17)
	o.UrgentWait = cmp.Or(o.UrgentWait, 1)
}

const numShards = 64

// Engine is the ledger and dispatcher of one VM. It is safe for concurrent use.
type Engine struct {
	opts    Options
	started time.Time
	// token tells the claims of this process from those of an earlier one
	// on the same VM, which this one does not remember.
	token  uint32
	config atomic.Pointer[baobabstep.Config]
	// moved is when the keys of services last moved between groups.
	moved atomic.Pointer[map[baobabstep.ServiceID]time.Time]
	// viewMu lets one SetView or SetConfig run at a time.
	viewMu   sync.Mutex
	view     atomic.Pointer[fleet]
	paused   atomic.Bool
	stopping atomic.Bool
	// lastPassed is when a stopping engine last passed on a packet that
	// another VM took to be this VM's, in nanoseconds of Unix time.
	lastPassed atomic.Int64
	stats      counters
	shards     [numShards]shard
}

// shard holds the groups of some services under one lock.
type shard struct {
	engine *Engine
	// used is set once there is a group, so that Tick passes over the rest.
	used atomic.Bool

	mu     sync.Mutex
	rand   *rand.Rand
	groups map[groupID]*group
	timers timers
	// entries counts ledger entries; pending and kept count bytes of
	// answers in parts and of answers kept for retransmissions.
	entries, pending, kept int
	keptQueue              []*entry
}

// New returns an engine that refuses all work until SetConfig and SetView.
func New(now time.Time, o Options) *Engine {
	o.setDefaults()
	e := &Engine{opts: o, started: now, token: o.Rand.Uint32()}
	e.moved.Store(&map[baobabstep.ServiceID]time.Time{})
	for i := range e.shards {
		s := &e.shards[i]
		s.engine = e
		s.rand = rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64()))
		s.groups = make(map[groupID]*group)
	}
	return e
}

// SetConfig puts a configuration into force. A change of a service's data
// centres changes its sets; a change of its number of groups moves keys between
// sets that know nothing of each other, and then nothing can be claimed until
// no copy of an older request can arrive.
func (e *Engine) SetConfig(now time.Time, c *baobabstep.Config) {
	e.viewMu.Lock()
	defer e.viewMu.Unlock()
	old := e.config.Load()
	moved := e.movedServices(now, old, c)
	e.moved.Store(&moved)
	e.config.Store(c)
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for _, g := range s.groups {
			if service := c.Service(g.id.service); service != nil {
				g.service = service
				g.follow(now, g.fleet)
			}
		}
		s.mu.Unlock()
	}
}

// movedServices returns when the services whose keys moved did so, leaving out
// those of long ago.
func (e *Engine) movedServices(now time.Time, old, c *baobabstep.Config) map[baobabstep.ServiceID]time.Time {
	moved := make(map[baobabstep.ServiceID]time.Time)
	if old == nil {
		return moved
	}
	for id, at := range *e.moved.Load() {
		if now.Sub(at) < e.opts.Remember {
			moved[id] = at
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		before := old.Service(s.ID)
		regrouped := before != nil && target.Groups(len(before.Targets)) != target.Groups(len(s.Targets))
		if regrouped || old.FlowSecret != c.FlowSecret {
			moved[s.ID] = now
		}
	}
	return moved
}

// movedWithin tells whether the keys of a service moved a short time ago.
func (e *Engine) movedWithin(now time.Time, id baobabstep.ServiceID, d time.Duration) bool {
	at, ok := (*e.moved.Load())[id]
	return ok && now.Sub(at) < d
}

// SetView tells which VMs there are.
func (e *Engine) SetView(now time.Time, v *baobabstep.View) {
	e.viewMu.Lock()
	defer e.viewMu.Unlock()
	f := newFleet(now, v, e.view.Load(), e.opts.Remember)
	e.view.Store(f)
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for _, g := range s.groups {
			g.follow(now, f)
		}
		s.mu.Unlock()
	}
}

// SetPaused tells that the VM finds it was paused, or that it no longer is.
// While paused it takes no new request into its ledger: its view is old, and
// what it reads may have waited in its buffers for as long as the pause was.
func (e *Engine) SetPaused(_ time.Time, paused bool) { e.paused.Store(paused) }

// Handle decides about one packet.
func (e *Engine) Handle(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	service := e.serviceOf(p)
	f := e.view.Load()
	if service == nil || f == nil {
		e.refuseUnknownService(p, out)
		return
	}
	id := groupOf(service, e.hash(p.Flow))
	s := e.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The view may have changed since; the shard's groups follow it under
	// the lock, and a new group must not start behind them.
	g := s.group(now, e.view.Load(), service, id)
	g.handle(now, p, out)
}

func (e *Engine) hash(key baobabstep.FlowKey) baobabstep.KeyHash {
	return place.Hash(e.config.Load().FlowSecret, key)
}

// serviceOf finds the service of a packet: callers name its address, VMs and
// targets its identifier.
func (e *Engine) serviceOf(p *baobabstep.Packet) *baobabstep.Service {
	c := e.config.Load()
	if c == nil {
		return nil
	}
	if p.Service != 0 {
		return c.Service(p.Service)
	}
	return c.ServiceAt(p.Flow.Service)
}

func (e *Engine) refuseUnknownService(p *baobabstep.Packet, out *baobabstep.Outbox) {
	e.stats.unknownService.Add(1)
	if p.Kind != baobabstep.KindRequest || p.Route.Purpose != baobabstep.PurposeNone {
		return
	}
	out.Caller(&baobabstep.Packet{
		Kind: baobabstep.KindRefusal,
		Flow: p.Flow,
		// Another VM may know the service and have run a copy.
		Code:       baobabstep.CodeOutcomeUnknown,
		RetryAfter: time.Second,
	})
}

func (e *Engine) shardOf(id groupID) *shard {
	return &e.shards[(uint64(id.service)^uint64(id.index)*0x9e3779b97f4a7c15)>>7%numShards]
}

// maxTimers bounds the timers that one Tick handles in each shard.
const maxTimers = 512

// Tick does what has become due: deadlines, retries, claims, tombstones, and
// queued requests for which a slot became free. Call it every 20 to 50 ms.
func (e *Engine) Tick(now time.Time, out *baobabstep.Outbox) {
	for i := range e.shards {
		if s := &e.shards[i]; s.used.Load() {
			s.tick(now, out)
		}
	}
}

func (s *shard) tick(now time.Time, out *baobabstep.Outbox) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range maxTimers {
		t := s.timers.pop(now)
		if t == nil {
			break
		}
		t.group.expire(now, t, out)
	}
	for _, g := range s.groups {
		g.dispatch(now, out)
	}
}

// stopQuiet is how long a stopping engine waits after the last packet from a VM
// that has not seen it leave yet: an answer that comes after the process ended
// would be lost.
const stopQuiet = 200 * time.Millisecond

// Stop begins or continues a graceful stop: new requests are passed to another
// VM of the set, or refused with CodeStopping when there is none. One that has
// been round the set, since views differ, is still served here. It returns
// the number of requests that still await their end, at least 1 while other
// VMs still take this one for a dispatcher; call it every 20 to 50 ms until
// that is 0. The caller bounds the time: requests end by their deadlines.
func (e *Engine) Stop(now time.Time, out *baobabstep.Outbox) (remaining int) {
	if e.stopping.CompareAndSwap(false, true) {
		e.lastPassed.Store(now.UnixNano())
	}
	e.Tick(now, out)
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for _, g := range s.groups {
			remaining += g.open
		}
		s.mu.Unlock()
	}
	if now.Sub(time.Unix(0, e.lastPassed.Load())) < stopQuiet {
		return max(1, remaining)
	}
	return remaining
}

func (e *Engine) breaks(name, detail string) {
	e.stats.broken.Add(1)
	if e.opts.Invariant != nil {
		e.opts.Invariant(name, detail)
	}
}
