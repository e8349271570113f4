// Package request decides what happens to each request: which VM handles it, when
// and how often it is sent to a target, and which result its caller gets.
//
// # The model
//
// Each target of a service has few slots, so the VM that assigns requests to
// targets has to know exactly how many slots are in use. The targets of a service
// are split into groups of at most 64, and each group has a set of three VMs: those
// with the best rendezvous scores, from different data centres where possible. The
// dispatcher of the group is the first VM of its set that is not suspect. Every
// other VM forwards requests and answers to the dispatcher.
//
//	caller -> any VM -> dispatcher -> target
//	                        \-> the other two VMs of the set: claim
//
// The dispatcher keeps a ledger with one entry per request, from the first copy
// of the request until no more copies can arrive:
//
//	queued -> running -> done          refusing: "not run" waits for its claim
//	   \         |  \-> backoff        moved: another VM owns the request
//	    \-> refusing -> done           stored: another VM's claim is stored here
//
// # Claims
//
// Two VMs may both consider themselves the dispatcher, and either may crash or be
// paused at any moment. Therefore only the owner of a request's claim may send a
// request that is not idempotent to a target, or report to a caller that its request
// was not run. A VM owns the claim once a majority of the group's set has stored it,
// and a majority of every former set that still counts. A VM stores the claim of one
// owner only, so two VMs cannot both get a majority. A VM that started recently may
// have lost claims that it stored. Its replies say how far back its records reach,
// and the claimer doesn't count them if that is not far enough.
//
// Without a claim the caller gets "outcome unknown".
//
// # Partitions
//
// During a partition between data centres the network may deliver copies of a request
// to both sides. Only a side that has VMs in most of the service's data centres,
// suspect VMs not counted, may own claims. The other side serves idempotent requests
// and answers all others with "outcome unknown" at once.
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

// SlotAllocator assigns the slots of targets to requests. [target.Registry]
// implements it.
type SlotAllocator interface {
	// PickSlot takes a slot until SlotDone is called.
	PickSlot(now time.Time, q target.SlotQuery) (baobabstep.TargetID, baobabstep.Code)
	// SlotDone releases a slot and reports the outcome of the attempt.
	SlotDone(now time.Time, id baobabstep.TargetID, code baobabstep.Code, serviceTime time.Duration)
	// Outcome reports the outcome of an attempt whose slot was already released.
	Outcome(now time.Time, id baobabstep.TargetID, code baobabstep.Code, serviceTime time.Duration)
	// Slots returns the number of usable slots of a group and the mean service
	// time.
	Slots(now time.Time, service baobabstep.ServiceID, group, groups int) (int, time.Duration)
}

var _ SlotAllocator = (*target.Registry)(nil)

// Options configures an Engine. Zero limits are replaced by the defaults.
type Options struct {
	Self       baobabstep.VMID
	DataCentre string
	Targets    SlotAllocator
	// Rand seeds the engine's own generators and is not used after New.
	Rand *rand.Rand
	// Invariant, when set, is called for each invariant violation after it was
	// counted.
	Invariant func(name, detail string)

	// DuplicateWindow is how long a former set still votes on the claims of first
	// transmissions (default 3 s). It must exceed the longest delay between two
	// copies of one packet plus the time until all VMs that can reach each other
	// have the same view.
	DuplicateWindow time.Duration
	// RetransmissionWindow is the minimum time for which a request is remembered,
	// and how long a former set still votes on the claims of retransmissions
	// (default 60 s). It must exceed the longest MaxTimeout plus DuplicateWindow.
	RetransmissionWindow time.Duration
	// ClaimTimeout is the time after which a claim without a majority is
	// abandoned (default 500 ms). ClaimResend is the interval between its
	// transmissions (default 60 ms).
	ClaimTimeout, ClaimResend time.Duration
	// MaxAttempts limits the attempts of an idempotent request (default 3).
	MaxAttempts int
	// MaxAnswerBytes limits the bytes of a multi-part answer (default 1 MiB).
	MaxAnswerBytes int
	// MaxPendingBytes limits, per shard, the bytes of incomplete answers and,
	// separately, of answers kept for retransmissions (default 4 MiB each).
	MaxPendingBytes int
	// MaxShardEntries limits the ledger entries of a shard (default 131072). An
	// entry is kept until DuplicateWindow after its end. Its tombstone, about 50
	// bytes, is kept for between one and two times RetransmissionWindow.
	MaxShardEntries int
	// MaxUrgentWait limits the expected queueing time of urgent requests, as a
	// multiple of the mean service time (default 1).
	MaxUrgentWait float64
}

func (o *Options) setDefaults() {
	o.DuplicateWindow = cmp.Or(o.DuplicateWindow, 3*time.Second)
	o.RetransmissionWindow = cmp.Or(o.RetransmissionWindow, time.Minute)
	o.ClaimTimeout = cmp.Or(o.ClaimTimeout, 500*time.Millisecond)
	o.ClaimResend = cmp.Or(o.ClaimResend, 60*time.Millisecond)
	o.MaxAttempts = cmp.Or(o.MaxAttempts, 3)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, 1<<20)
	o.MaxPendingBytes = cmp.Or(o.MaxPendingBytes, 4<<20)
	o.MaxShardEntries = cmp.Or(o.MaxShardEntries, 1<<17)
	o.MaxUrgentWait = cmp.Or(o.MaxUrgentWait, 1)
}

const numShards = 64

// Engine is the ledger and dispatcher of one VM. It is safe for concurrent use.
type Engine struct {
	opts      Options
	startedAt time.Time
	// claimToken distinguishes the claims of this process from those of earlier
	// processes on the same VM, whose claims this process doesn't know.
	claimToken uint32
	config     atomic.Pointer[baobabstep.Config]
	// regroupedAt holds the times at which the keys of services last moved
	// between groups.
	regroupedAt atomic.Pointer[map[baobabstep.ServiceID]time.Time]
	// updateMu serialises SetView and SetConfig.
	updateMu sync.Mutex
	view     atomic.Pointer[fleet]
	paused   atomic.Bool
	stopping atomic.Bool
	// lastStopForward is when a stopping engine last forwarded a packet that
	// another VM had forwarded to it as the dispatcher, in nanoseconds of Unix
	// time.
	lastStopForward atomic.Int64
	stats           counters
	shards          [numShards]shard
}

// shard holds the groups of some services under one lock.
type shard struct {
	engine *Engine
	// inUse is set once the shard has a group, so that Tick can skip empty
	// shards.
	inUse atomic.Bool

	mu     sync.Mutex
	rand   *rand.Rand
	groups map[groupID]*group
	timers timers
	// numEntries counts ledger entries. partialBytes and keptBytes count the
	// bytes of incomplete answers and of answers kept for retransmissions.
	numEntries, partialBytes, keptBytes int
	keptAnswers                         []*entry
}

// New returns an engine that refuses all requests until SetConfig and SetView
// were called.
func New(now time.Time, o Options) *Engine {
	o.setDefaults()
	e := &Engine{opts: o, startedAt: now, claimToken: o.Rand.Uint32()}
	e.regroupedAt.Store(&map[baobabstep.ServiceID]time.Time{})
	for i := range e.shards {
		s := &e.shards[i]
		s.engine = e
		s.rand = rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64()))
		s.groups = make(map[groupID]*group)
	}
	return e
}

// SetConfig applies a configuration. A change of a service's data centres changes
// its sets. A change of its number of groups moves keys between sets that don't
// know each other's requests, so no request of the service can be claimed until
// copies of older requests can no longer arrive.
func (e *Engine) SetConfig(now time.Time, c *baobabstep.Config) {
	e.updateMu.Lock()
	defer e.updateMu.Unlock()
	old := e.config.Load()
	regroupedAt := e.regroupedServices(now, old, c)
	e.regroupedAt.Store(&regroupedAt)
	e.config.Store(c)
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for _, g := range s.groups {
			if service := c.Service(g.id.service); service != nil {
				g.service = service
				g.applyFleet(now, g.fleet)
			}
		}
		s.mu.Unlock()
	}
}

// regroupedServices returns the times at which the keys of services moved,
// without those longer ago than RetransmissionWindow.
func (e *Engine) regroupedServices(now time.Time, old, c *baobabstep.Config) map[baobabstep.ServiceID]time.Time {
	regroupedAt := make(map[baobabstep.ServiceID]time.Time)
	if old == nil {
		return regroupedAt
	}
	for id, at := range *e.regroupedAt.Load() {
		if now.Sub(at) < e.opts.RetransmissionWindow {
			regroupedAt[id] = at
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		before := old.Service(s.ID)
		regrouped := before != nil && target.GroupCount(len(before.Targets)) != target.GroupCount(len(s.Targets))
		if regrouped || old.FlowSecret != c.FlowSecret {
			regroupedAt[s.ID] = now
		}
	}
	return regroupedAt
}

// regroupedWithin reports whether the keys of a service moved within the last d.
func (e *Engine) regroupedWithin(now time.Time, id baobabstep.ServiceID, d time.Duration) bool {
	at, ok := (*e.regroupedAt.Load())[id]
	return ok && now.Sub(at) < d
}

// SetView applies a new view of the fleet's VMs.
func (e *Engine) SetView(now time.Time, v *baobabstep.View) {
	e.updateMu.Lock()
	defer e.updateMu.Unlock()
	f := newFleet(now, v, e.view.Load(), e.opts.RetransmissionWindow)
	e.view.Store(f)
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for _, g := range s.groups {
			g.applyFleet(now, f)
		}
		s.mu.Unlock()
	}
}

// SetPaused sets whether the VM is recovering from a pause of its process. Until
// it has recovered it takes no new request into its ledger: its view is outdated,
// and the packets that it reads may have been buffered for as long as the pause
// lasted.
func (e *Engine) SetPaused(_ time.Time, paused bool) { e.paused.Store(paused) }

// Handle processes one packet.
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
	// The view may have changed since. SetView updates the shard's groups under
	// this lock, and a new group must not start with an older view than theirs.
	g := s.group(now, e.view.Load(), service, id)
	g.handle(now, p, out)
}

func (e *Engine) hash(key baobabstep.FlowKey) baobabstep.KeyHash {
	return place.Hash(e.config.Load().FlowSecret, key)
}

// serviceOf returns the service of a packet. Packets from callers carry its
// address, packets from VMs and targets its identifier.
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
	out.ToCaller(&baobabstep.Packet{
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

// maxTimersPerTick limits the timers that one Tick handles in each shard.
const maxTimersPerTick = 512

// Tick handles all that is due: deadlines, retries, claims, tombstones, and
// queued requests for which a slot became free. Call it every 20 to 50 ms.
func (e *Engine) Tick(now time.Time, out *baobabstep.Outbox) {
	for i := range e.shards {
		if s := &e.shards[i]; s.inUse.Load() {
			s.tick(now, out)
		}
	}
}

func (s *shard) tick(now time.Time, out *baobabstep.Outbox) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range maxTimersPerTick {
		t := s.timers.popDue(now)
		if t == nil {
			break
		}
		t.group.handleTimer(now, t, out)
	}
	for _, g := range s.groups {
		g.dispatch(now, out)
	}
}

// stopQuietPeriod is how long a stopping engine waits after the last packet from
// a VM whose view still has it as the dispatcher. An answer that arrives after
// the process has ended would be lost.
const stopQuietPeriod = 200 * time.Millisecond

// Stop begins or continues a graceful stop. New requests are forwarded to another
// VM of the set, or refused with CodeStopping if there is none; a request that
// was already forwarded around the set because of differing views is still served
// here. Stop returns the number of open requests, at least 1 while other VMs
// still use this one as a dispatcher. Call it every 20 to 50 ms until it returns
// 0. Requests end by their deadlines at the latest; any shorter limit is up to
// the caller.
func (e *Engine) Stop(now time.Time, out *baobabstep.Outbox) (remaining int) {
	if e.stopping.CompareAndSwap(false, true) {
		e.lastStopForward.Store(now.UnixNano())
	}
	e.Tick(now, out)
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for _, g := range s.groups {
			remaining += g.numOpen
		}
		s.mu.Unlock()
	}
	if now.Sub(time.Unix(0, e.lastStopForward.Load())) < stopQuietPeriod {
		return max(1, remaining)
	}
	return remaining
}

func (e *Engine) reportBroken(name, detail string) {
	e.stats.broken.Add(1)
	if e.opts.Invariant != nil {
		e.opts.Invariant(name, detail)
	}
}
