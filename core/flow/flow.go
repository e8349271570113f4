// Package flow routes the packets of flows and keeps the records that tell
// where each flow goes.
//
// # The model
//
// Any VM may receive any packet. The record of a flow is kept by two VMs, its
// holder and its second copy; package place says which. A VM with the record
// sends a packet straight to the target, a VM without it passes the packet to
// the holder.
//
//	open:    entry -> holder (picks the target) -> second copy -> target
//	opened:  target -> entry -> holder -> second copy -> caller
//	data:    entry -> holder -> target          and back the same way
//
// The first packet of a flow and its acceptance travel by way of the second
// copy, which stores the record as they pass. A caller that was told that its
// flow is open therefore knows that two VMs have the record, and the copy cost
// no message of its own.
//
// # When views differ
//
// Two VMs may believe at the same time that they hold a flow, or none may have
// its record. The rules that keep this safe:
//
//   - An owner without the record asks the other owner and the previous ones
//     by passing the packet on, at most baobabstep.MaxTried times.
//   - Only the target knows for certain whether it has a flow. A packet from
//     a target rebuilds a lost record; a caller's packet without a record has
//     the targets of the service asked, and the caller is told that the flow
//     is unknown only when none of them answered for it.
//   - Different records of one flow are ordered by [Beats], the same on each
//     VM. The target of the loser gets a reset.
//   - An established record never changes its target by itself.
//
// # Time and threads
//
// The present time is an argument, and the router starts no goroutine. It is
// safe for concurrent use: records stand in shards, each under its own lock;
// view and configuration are immutable and swapped as a whole.
//
// The file to read first is handle.go, then send.go, open.go, copies.go and
// find.go.
package flow

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
	"baobabstep/core/place"
)

// Options are the settings of a [Router]. Zero values stand for the defaults
// given with each field.
type Options struct {
	Self       baobabstep.VMID
	DataCentre string
	Chooser    baobabstep.Chooser
	// Rand seeds the random numbers of the shards. It is not used later.
	Rand *rand.Rand
	// Invariant is called when an invariant is broken, after counting it.
	// Tests and the demo make it fatal; nil only counts.
	Invariant func(name, detail string)

	// Shards is the number of parts of the table, a power of two (64).
	Shards int
	// MaxFlows bounds the records of all kinds (2,000,000).
	MaxFlows int
	// MaxHalfOpen bounds the flows whose caller was not heard after the
	// target accepted (an eighth of MaxFlows).
	MaxHalfOpen int
	// MaxHalfOpenPerCaller bounds those of one caller address, or of the few
	// that share a counter with it (a sixteenth of MaxHalfOpen).
	MaxHalfOpenPerCaller int
	// OpenTimeout is how long a target may take to accept a flow (10 s).
	OpenTimeout time.Duration
	// ConfirmAfter is the time after which a caller that was not heard
	// since its flow opened is probed (3 s).
	ConfirmAfter time.Duration
	// TombstoneTTL is how long late packets find an ended flow (30 s).
	TombstoneTTL time.Duration
	// OpenSearch is the time after a view change during which an open first
	// visits the previous owners (10 s).
	OpenSearch time.Duration
	// Grace is the time after the start, a pause and a mass death during
	// which nothing is declared unknown or silent (10 s).
	Grace time.Duration
	// SearchWait is how long targets may take to answer for a flow without
	// a record (1 s).
	SearchWait time.Duration
	// IdleProbe is the silence of one direction after which it is probed
	// (15 s).
	IdleProbe time.Duration
	// ProbeInterval is the time between probes (2 s).
	ProbeInterval time.Duration
	// AnswerWait is how long a target may say nothing after its caller spoke
	// before it is probed (2 s), and AnswerProbeInterval the time between
	// such probes (1 s): the caller of a flow that its target has forgotten
	// waits for an answer, and learns of it about 5 s later.
	AnswerWait, AnswerProbeInterval time.Duration
	// MaxHold bounds the time that resets of silent flows are held back
	// while the VM itself may be cut off (2 h).
	MaxHold time.Duration
	// AuditAfter is the time after which the second copy of an idle flow is
	// compared with the holder, if nothing else needs the budget (100 min,
	// at most that).
	AuditAfter time.Duration
	// ProbesPerSecond bounds probes of idle flows (8,000).
	ProbesPerSecond float64
	// SearchesPerSecond bounds probes in search of lost flows (2,000).
	SearchesPerSecond float64
	// RepairBytesPerSecond bounds the copies made for idle flows (2,048).
	RepairBytesPerSecond float64
}

func (o *Options) setDefaults() {
	o.Shards = cmp.Or(o.Shards, 64)
	o.MaxFlows = cmp.Or(o.MaxFlows, 2_000_000)
	o.MaxFlows = min(o.MaxFlows, o.Shards*maxRecords)
	o.MaxHalfOpen = cmp.Or(o.MaxHalfOpen, o.MaxFlows/8)
	o.MaxHalfOpenPerCaller = cmp.Or(o.MaxHalfOpenPerCaller, max(1, o.MaxHalfOpen/16))
	o.OpenTimeout = cmp.Or(o.OpenTimeout, 10*time.Second)
	o.ConfirmAfter = cmp.Or(o.ConfirmAfter, 3*time.Second)
	o.TombstoneTTL = cmp.Or(o.TombstoneTTL, 30*time.Second)
	o.OpenSearch = cmp.Or(o.OpenSearch, 10*time.Second)
	o.Grace = cmp.Or(o.Grace, 10*time.Second)
	o.SearchWait = cmp.Or(o.SearchWait, time.Second)
	o.IdleProbe = cmp.Or(o.IdleProbe, 15*time.Second)
	o.ProbeInterval = cmp.Or(o.ProbeInterval, 2*time.Second)
	o.AnswerWait = cmp.Or(o.AnswerWait, 2*time.Second)
	o.AnswerProbeInterval = cmp.Or(o.AnswerProbeInterval, time.Second)
	o.MaxHold = cmp.Or(o.MaxHold, 2*time.Hour)
	o.AuditAfter = cmp.Or(o.AuditAfter, maxAudit)
	o.AuditAfter = min(o.AuditAfter, maxAudit)
	o.ProbesPerSecond = cmp.Or(o.ProbesPerSecond, 8000)
	o.SearchesPerSecond = cmp.Or(o.SearchesPerSecond, 2000)
	o.RepairBytesPerSecond = cmp.Or(o.RepairBytesPerSecond, 2048)
}

// maxAudit fits the 16 bits of record.lastRepair.
const maxAudit = 100 * time.Minute

// Router decides for the packets of flows. It is safe for concurrent use.
type Router struct {
	o       Options
	epoch   time.Time
	shards  []*shard
	reg     *registry
	current atomic.Pointer[snapshot]

	// mu serialises changes of the snapshot and the work of Tick and Stop.
	mu sync.Mutex
	// searches is under its own lock, taken within a shard's.
	searches bucket
	probes   bucket
	repairs  bucket
	scan     scan
	// ticked is the time of the last Tick.
	ticked atomic.Uint32
	// callersHeard is the tick of the last packet from any caller, and
	// callersAcked of the last answer to a probe of this VM.
	callersHeard atomic.Uint32
	callersAcked atomic.Uint32
	callers      callerCounts
}

// snapshot is the view and configuration that one decision uses.
type snapshot struct {
	config  *baobabstep.Config
	view    *baobabstep.View
	table   *place.Table
	history place.History
	states  map[baobabstep.VMID]baobabstep.VMState
	// lives tells the members' lives apart; a VM that came back may have
	// lost its records.
	lives map[baobabstep.VMID]life
	// epoch numbers the lives that began.
	epoch uint32
	// probers finds a member by the mark of its probes.
	probers map[uint32]baobabstep.VMID
	// gen counts changes of owners, so that records can cache their role.
	gen uint16
	// changed is when the table last changed.
	changed time.Time
	// certain is when "no record found" begins to mean something.
	certain time.Time
	paused  bool
	// leaving is set by Stop: the VM owns nothing any more.
	leaving bool
}

// New returns a router without view and configuration; packets are dropped
// until both are set.
func New(now time.Time, o Options) *Router {
	o.setDefaults()
	r := &Router{
		o:        o,
		epoch:    now,
		reg:      newRegistry(),
		searches: newBucket(o.SearchesPerSecond, now),
		probes:   newBucket(o.ProbesPerSecond, now),
		repairs:  newBucket(o.RepairBytesPerSecond, now),
	}
	r.scan.wanted = make(map[string]tick)
	r.scan.witnesses = make(map[string]int)
	r.callers.seed = o.Rand.Uint64()
	for range o.Shards {
		random := rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64()))
		r.shards = append(r.shards, &shard{random: random, callers: &r.callers})
	}
	r.current.Store(&snapshot{
		states:  map[baobabstep.VMID]baobabstep.VMState{},
		table:   place.New(&baobabstep.View{}),
		changed: now,
		certain: now.Add(o.Grace),
	})
	return r
}

// tick converts a time; times before the router was made count as its start.
func (r *Router) tick(now time.Time) tick {
	return tick(max(0, now.Sub(r.epoch)) / tickLength)
}

// change publishes a changed copy of the snapshot.
func (r *Router) change(f func(s *snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.current.Load()
	f(&next)
	r.current.Store(&next)
}

// SetConfig puts a configuration in force. Versions only grow: an older one is
// ignored.
func (r *Router) SetConfig(now time.Time, c *baobabstep.Config) {
	r.change(func(s *snapshot) {
		if s.config != nil && c.Version < s.config.Version {
			return
		}
		s.config = c
		if r.reg.load(c) {
			s.gen++
			s.changed = now
		}
	})
}

// SetView takes in a new view of the fleet.
func (r *Router) SetView(now time.Time, v *baobabstep.View) {
	r.change(func(s *snapshot) { r.setView(now, s, v) })
}

// massDeath is the share of members whose loss at one moment means that both
// copies of many records may be gone.
const massDeath = 4

func (r *Router) setView(now time.Time, s *snapshot, v *baobabstep.View) {
	members := v
	if s.leaving {
		members = withoutSelf(v, r.o.Self)
	}
	states := make(map[baobabstep.VMID]baobabstep.VMState, len(members.Members))
	for i := range members.Members {
		states[members.Members[i].ID] = members.Members[i].State
	}
	probers := make(map[uint32]baobabstep.VMID, len(v.Members))
	for i := range v.Members {
		probers[probeSeq(v.Members[i].ID)] = v.Members[i].ID
	}
	lost := 0
	for id := range s.states {
		if _, found := states[id]; !found {
			lost++
		}
	}
	if lost > 1 && lost*massDeath >= len(s.states) {
		s.certain = now.Add(r.o.Grace)
	}
	first := s.view == nil
	if s.trackLives(members) {
		s.gen++
	}
	s.view, s.states, s.probers = v, states, probers
	table := s.table.Update(members)
	if table == s.table {
		return
	}
	if !first {
		s.history = s.history.Push(place.Past{Table: s.table, Until: now})
	}
	s.table, s.changed = table, now
	s.gen++
}

// life is one run of a VM, or at least a time in which it was not given up.
type life struct {
	incarnation uint64
	epoch       uint32
}

// trackLives gives a new epoch to members that joined or whose incarnation
// grew, and tells whether there are any. A VM that only refuted a suspicion
// gets one as well: its records are then copied once more than needed.
func (s *snapshot) trackLives(v *baobabstep.View) (changed bool) {
	lives := make(map[baobabstep.VMID]life, len(v.Members))
	for i := range v.Members {
		vm := &v.Members[i]
		l, known := s.lives[vm.ID]
		if s.view != nil && vm.ID != v.Self && (!known || vm.Incarnation > l.incarnation) {
			s.epoch++
			l.epoch = s.epoch
			changed = true
		}
		l.incarnation = vm.Incarnation
		lives[vm.ID] = l
	}
	s.lives = lives
	return changed
}

func withoutSelf(v *baobabstep.View, self baobabstep.VMID) *baobabstep.View {
	next := *v
	next.Members = nil
	for i := range v.Members {
		if v.Members[i].ID != self {
			next.Members = append(next.Members, v.Members[i])
		}
	}
	return &next
}

// SetPaused tells that the VM found itself paused, or that it is sure again of
// its place in the fleet. While paused it never acts as holder and resets
// nothing: others may have taken over its flows.
func (r *Router) SetPaused(now time.Time, paused bool) {
	r.change(func(s *snapshot) {
		if s.paused && !paused {
			s.certain = now.Add(r.o.Grace)
			s.gen++
		}
		s.paused = paused
	})
}

// shard returns the shard of a hash. The slot of package place is in the low
// bits, and all records of this VM share its slots, so others are taken.
func (r *Router) shard(h *baobabstep.KeyHash) *shard {
	return r.shards[binary.LittleEndian.Uint64(h[8:])>>32&uint64(len(r.shards)-1)]
}

// bucket is a token bucket that holds one second's worth at most.
type bucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

func newBucket(rate float64, now time.Time) bucket {
	return bucket{rate: rate, last: now}
}

// take takes n tokens, or none and returns false.
func (b *bucket) take(now time.Time, n float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if passed := now.Sub(b.last); passed > 0 {
		b.tokens = min(b.rate, b.tokens+passed.Seconds()*b.rate)
		b.last = now
	}
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
