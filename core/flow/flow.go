// Package flow routes the packets of flows and keeps the flow table.
//
// # Ownership
//
// Any VM may receive any packet. Each flow has two owners, the holder and the
// second copy, which package place selects. A VM that has the flow's record
// sends a packet straight to the target; a VM without it forwards the packet
// to the holder.
//
//	open:    entry -> holder (picks the target) -> second copy -> target
//	opened:  target -> entry -> holder -> second copy -> caller
//	data:    entry -> holder -> target          and back the same way
//
// The open and the acceptance of a flow pass through the second copy, which
// stores the record they carry. So once the caller learns that its flow is
// open, two VMs have the record, and replication took no message of its own.
//
// # When views differ
//
// Two VMs may each consider themselves the holder of a flow, or no VM may have
// its record. These rules keep the flow consistent:
//
//   - An owner without the record asks the other owner and the previous owners by
//     forwarding the packet, to at most baobabstep.MaxTried VMs.
//   - The target is the authority on whether it has a flow. A packet from a
//     target rebuilds a lost record. For a caller's packet without a record, the
//     targets of the service are probed, and the caller gets "unknown flow" only
//     if none of them answers for it.
//   - Conflicting records of one flow are ordered by [HasPrecedence], identically
//     on every VM. The target of the losing record gets a reset.
//   - The target of an established record changes only if that record loses such
//     a conflict.
//
// # Time and concurrency
//
// The current time is an argument, and the router starts no goroutine. It is
// safe for concurrent use: the flow table is sharded with a lock per shard;
// view and configuration are immutable and replaced as a whole.
//
// Start reading at handle.go, then send.go, open.go, copies.go and find.go.
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

// Options are the settings of a [Router]. Zero values select the defaults
// given in parentheses.
type Options struct {
	Self       baobabstep.VMID
	DataCentre string
	Chooser    baobabstep.Chooser
	// Rand seeds the random generators of the shards; only New uses it.
	Rand *rand.Rand
	// Invariant is called after a violated invariant was counted. Tests
	// and the demo make it fatal; nil only counts.
	Invariant func(name, detail string)

	// Shards is the number of shards of the flow table, a power of two
	// (64).
	Shards int
	// MaxFlows bounds the number of records in all states (2,000,000).
	MaxFlows int
	// MaxHalfOpen bounds the flows whose caller has sent nothing since the
	// target accepted (an eighth of MaxFlows).
	MaxHalfOpen int
	// MaxHalfOpenPerCaller bounds the half-open flows per caller address,
	// counted together for addresses that share a counter (a sixteenth of
	// MaxHalfOpen).
	MaxHalfOpenPerCaller int
	// OpenTimeout is how long a target may take to accept a flow (10 s).
	OpenTimeout time.Duration
	// ConfirmAfter is how long a caller may stay silent after its flow
	// opened before it is probed (3 s).
	ConfirmAfter time.Duration
	// TombstoneTTL is how long the record of an ended flow is kept to
	// answer late packets (30 s).
	TombstoneTTL time.Duration
	// OpenSearchWindow is how long after a view change an open is first
	// forwarded to the previous owners (10 s).
	OpenSearchWindow time.Duration
	// GracePeriod is the time after start, a pause or the loss of many VMs
	// during which no flow is declared unknown or silent (10 s).
	GracePeriod time.Duration
	// SearchTimeout is how long targets may take to answer probes for a
	// flow without a record (1 s).
	SearchTimeout time.Duration
	// IdleProbeAfter is how long one direction may be idle before it is
	// probed (15 s).
	IdleProbeAfter time.Duration
	// ProbeInterval is the time between probes (2 s).
	ProbeInterval time.Duration
	// AnswerTimeout is how long a target may leave its caller's packet
	// unanswered before it is probed (2 s), and AnswerProbeInterval the
	// time between such probes (1 s). If the target lost the flow, the
	// caller gets a reset after about 5 s.
	AnswerTimeout, AnswerProbeInterval time.Duration
	// MaxResetHold bounds how long resets of silent flows are withheld
	// while the VM itself may be disconnected (2 h).
	MaxResetHold time.Duration
	// AuditAfter is the idle time after which the second copy of a flow is
	// compared with the holder, if the repair budget is otherwise unused
	// (100 min, which is also the maximum).
	AuditAfter time.Duration
	// ProbesPerSecond bounds probes of idle flows (8,000).
	ProbesPerSecond float64
	// SearchesPerSecond bounds the probes that search for lost flows
	// (2,000).
	SearchesPerSecond float64
	// RepairBytesPerSecond bounds the traffic for replicating idle flows
	// (2,048).
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
	o.OpenSearchWindow = cmp.Or(o.OpenSearchWindow, 10*time.Second)
	o.GracePeriod = cmp.Or(o.GracePeriod, 10*time.Second)
	o.SearchTimeout = cmp.Or(o.SearchTimeout, time.Second)
	o.IdleProbeAfter = cmp.Or(o.IdleProbeAfter, 15*time.Second)
	o.ProbeInterval = cmp.Or(o.ProbeInterval, 2*time.Second)
	o.AnswerTimeout = cmp.Or(o.AnswerTimeout, 2*time.Second)
	o.AnswerProbeInterval = cmp.Or(o.AnswerProbeInterval, time.Second)
	o.MaxResetHold = cmp.Or(o.MaxResetHold, 2*time.Hour)
	o.AuditAfter = cmp.Or(o.AuditAfter, maxAudit)
	o.AuditAfter = min(o.AuditAfter, maxAudit)
	o.ProbesPerSecond = cmp.Or(o.ProbesPerSecond, 8000)
	o.SearchesPerSecond = cmp.Or(o.SearchesPerSecond, 2000)
	o.RepairBytesPerSecond = cmp.Or(o.RepairBytesPerSecond, 2048)
}

// maxAudit is the maximum of Options.AuditAfter; record.lastRepair holds 16
// bits of ticks.
const maxAudit = 100 * time.Minute

// Router is the replicated flow policy. It is safe for concurrent use.
type Router struct {
	opts      Options
	createdAt time.Time
	shards    []*shard
	reg       *registry
	current   atomic.Pointer[snapshot]

	// mu serialises changes of the snapshot and the work of Tick and Stop.
	mu sync.Mutex
	// searches has its own lock, which is acquired while a shard lock is
	// held.
	searches tokenBucket
	probes   tokenBucket
	repairs  tokenBucket
	scan     scan
	// lastTick is the time of the last Tick.
	lastTick atomic.Uint32
	// callersHeard is the tick of the last packet from any caller,
	// callersAcked that of the last probe acknowledgement from any caller.
	callersHeard atomic.Uint32
	callersAcked atomic.Uint32
	callers      callerCounts
}

// snapshot is the immutable view and configuration that one task uses.
type snapshot struct {
	config  *baobabstep.Config
	view    *baobabstep.View
	table   *place.Table
	history place.History
	states  map[baobabstep.VMID]baobabstep.VMState
	// epochs holds the current epoch of each member; a VM that restarted
	// may have lost its records.
	epochs map[baobabstep.VMID]memberEpoch
	// lastEpoch is the last epoch assigned.
	lastEpoch uint32
	// probers maps the sequence number of a probe to the member that sent
	// it.
	probers map[uint32]baobabstep.VMID
	// gen counts ownership changes; a record's cached role is valid for
	// one gen.
	gen uint16
	// changedAt is when the owner table last changed.
	changedAt time.Time
	// graceEnd is when missing records and answers become conclusive.
	graceEnd time.Time
	paused   bool
	// leaving is set by Stop: the VM owns no flows any more.
	leaving bool
}

// New returns a router that drops packets until both view and configuration
// are set.
func New(now time.Time, o Options) *Router {
	o.setDefaults()
	r := &Router{
		opts:      o,
		createdAt: now,
		reg:       newRegistry(),
		searches:  newTokenBucket(o.SearchesPerSecond, now),
		probes:    newTokenBucket(o.ProbesPerSecond, now),
		repairs:   newTokenBucket(o.RepairBytesPerSecond, now),
	}
	r.scan.evidenceWanted = make(map[string]tick)
	r.scan.pathProbes = make(map[string]int)
	r.callers.seed = o.Rand.Uint64()
	for range o.Shards {
		random := rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64()))
		r.shards = append(r.shards, &shard{random: random, callers: &r.callers})
	}
	r.current.Store(&snapshot{
		states:    map[baobabstep.VMID]baobabstep.VMState{},
		table:     place.New(&baobabstep.View{}),
		changedAt: now,
		graceEnd:  now.Add(o.GracePeriod),
	})
	return r
}

// tick converts a time; times before the router's creation count as tick 0.
func (r *Router) tick(now time.Time) tick {
	return tick(max(0, now.Sub(r.createdAt)) / tickLength)
}

// updateSnapshot applies f to a copy of the snapshot and publishes it.
func (r *Router) updateSnapshot(f func(s *snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := *r.current.Load()
	f(&next)
	r.current.Store(&next)
}

// SetConfig applies a configuration. One with a lower version than the current
// is ignored.
func (r *Router) SetConfig(now time.Time, c *baobabstep.Config) {
	r.updateSnapshot(func(s *snapshot) {
		if s.config != nil && c.Version < s.config.Version {
			return
		}
		s.config = c
		if r.reg.loadConfig(c) {
			s.gen++
			s.changedAt = now
		}
	})
}

// SetView applies a new membership view.
func (r *Router) SetView(now time.Time, v *baobabstep.View) {
	r.updateSnapshot(func(s *snapshot) { r.setView(now, s, v) })
}

// massLossDivisor defines the loss of many VMs: if at least 1/massLossDivisor
// of the members, and more than one, disappear at once, both copies of many
// records may be lost.
const massLossDivisor = 4

func (r *Router) setView(now time.Time, s *snapshot, v *baobabstep.View) {
	members := v
	if s.leaving {
		members = withoutSelf(v, r.opts.Self)
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
	if lost > 1 && lost*massLossDivisor >= len(s.states) {
		s.graceEnd = now.Add(r.opts.GracePeriod)
	}
	first := s.view == nil
	if s.updateEpochs(members) {
		s.gen++
	}
	s.view, s.states, s.probers = v, states, probers
	table := s.table.Update(members)
	if table == s.table {
		return
	}
	if !first {
		s.history = s.history.Push(place.PastTable{Table: s.table, Until: now})
	}
	s.table, s.changedAt = table, now
	s.gen++
}

// memberEpoch identifies a period in which a member kept its records.
type memberEpoch struct {
	incarnation uint64
	epoch       uint32
}

// updateEpochs assigns a new epoch to members that joined or whose incarnation
// grew, and reports whether there are any. A VM that only refuted a suspicion
// gets a new epoch too, so its records are replicated once more than
// necessary.
func (s *snapshot) updateEpochs(v *baobabstep.View) (changed bool) {
	epochs := make(map[baobabstep.VMID]memberEpoch, len(v.Members))
	for i := range v.Members {
		vm := &v.Members[i]
		l, known := s.epochs[vm.ID]
		if s.view != nil && vm.ID != v.Self && (!known || vm.Incarnation > l.incarnation) {
			s.lastEpoch++
			l.epoch = s.lastEpoch
			changed = true
		}
		l.incarnation = vm.Incarnation
		epochs[vm.ID] = l
	}
	s.epochs = epochs
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

// SetPaused reports that the VM detected its own pause, or that its membership
// is confirmed again. While paused, the VM never acts as holder and resets
// nothing, since other VMs may have taken over its flows.
func (r *Router) SetPaused(now time.Time, paused bool) {
	r.updateSnapshot(func(s *snapshot) {
		if s.paused && !paused {
			s.graceEnd = now.Add(r.opts.GracePeriod)
			s.gen++
		}
		s.paused = paused
	})
}

// shard returns the shard of a hash. It uses other bits than the slot of
// package place, which takes the low ones: all records of a VM share its
// slots.
func (r *Router) shard(h *baobabstep.KeyHash) *shard {
	return r.shards[binary.LittleEndian.Uint64(h[8:])>>32&uint64(len(r.shards)-1)]
}

// tokenBucket is a rate limiter whose burst is one second of its rate.
type tokenBucket struct {
	mu     sync.Mutex
	rate   float64
	tokens float64
	last   time.Time
}

func newTokenBucket(rate float64, now time.Time) tokenBucket {
	return tokenBucket{rate: rate, last: now}
}

// take removes n tokens and reports true, or removes none and reports false.
func (b *tokenBucket) take(now time.Time, n float64) bool {
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
