package token

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
)

// Options are the settings of a [Router]. Zero values stand for the defaults
// given with each field.
type Options struct {
	DataCentre string
	// Rand draws services and breaks ties. It is guarded by the router.
	Rand *rand.Rand
	// FlowMax is the age past which a flow may be forgotten (60 s).
	FlowMax time.Duration
	// Idle is the silence after which the record of a flow is dropped, unless
	// the routing table says less (15 s).
	Idle time.Duration
	// Finished, if set, gets the time of each request whose answer this VM saw
	// acknowledged.
	Finished func(took time.Duration)
	// Record gets the events that Wanted asks for; both nil for none.
	Record Recorder
	// Wanted is asked before an event is made: most of the cost of an event
	// that nobody reads is its making.
	Wanted func(now time.Time, kind EventKind) bool
}

func (o *Options) setDefaults() {
	o.FlowMax = cmp.Or(o.FlowMax, 60*time.Second)
	o.Idle = cmp.Or(o.Idle, 15*time.Second)
}

// Router decides for the packets of flows.
type Router struct {
	o        Options
	current  atomic.Pointer[snapshot]
	flows    *flowTable
	openings *openings
	counts   counts
	// heard are the VMs heard of in each data centre.
	heard atomic.Pointer[map[string]int]

	troubled chan struct{}

	// change is held while the snapshot is replaced.
	change sync.Mutex
	// drawLock guards Options.Rand.
	drawLock sync.Mutex
}

// New returns a router that knows no routes and no targets.
func New(o Options) *Router {
	o.setDefaults()
	r := &Router{o: o, flows: newFlowTable(), openings: newOpenings(), troubled: make(chan struct{}, 1)}
	r.current.Store(newSnapshot())
	r.heard.Store(&map[string]int{})
	return r
}

// SetTable puts a routing table in force. Versions only grow: it returns false
// for one that is not newer.
func (r *Router) SetTable(now time.Time, table *baobabstep.RoutingTable) bool {
	r.change.Lock()
	defer r.change.Unlock()
	s := r.current.Load()
	if s.haveTable && table.Version <= s.version {
		return false
	}
	r.current.Store(s.withTable(now, table, r.o.FlowMax))
	return true
}

// SetRegistrations tells which targets are registered.
func (r *Router) SetRegistrations(now time.Time, list []baobabstep.Registration) {
	r.change.Lock()
	defer r.change.Unlock()
	r.current.Store(r.current.Load().withRegistrations(now, list, r.o.FlowMax))
}

// lapseGrace is how long after the return of the store registrations that
// lapsed meanwhile may take to be back: about 2 s for a target that lives, and
// what the news takes.
const lapseGrace = 2500 * time.Millisecond

// StoreBack tells that the store was out of reach until now. Targets renew
// their registrations in it; those that could not for long enough are missing
// from it at first, though they live. Without the grace most targets of every
// service seem to be gone at once, and callers are refused.
func (r *Router) StoreBack(now time.Time) {
	r.change.Lock()
	defer r.change.Unlock()
	next := *r.current.Load()
	next.spareUntil = now.Add(lapseGrace)
	r.current.Store(&next)
}

// SetOthers tells what other VMs send to targets, and how many VMs of each data
// centre are heard.
//
// A data centre without any is taken for out of reach: behind a partition its
// targets seem idle, since nobody says what they are sent, and each new flow
// that goes there dies.
func (r *Router) SetOthers(others map[baobabstep.TargetID]baobabstep.TargetLoad, heard map[string]int) {
	r.heard.Store(&heard)
	for id, t := range r.current.Load().targets {
		t.load.setOthers(others[id])
	}
}

// Loads returns what this VM sends to targets.
func (r *Router) Loads(now time.Time) []baobabstep.TargetLoad {
	targets := r.current.Load().targets
	list := make([]baobabstep.TargetLoad, 0, len(targets))
	for id, t := range targets {
		own, _ := t.load.requests(now)
		flows, opens := t.load.told(now)
		list = append(list, baobabstep.TargetLoad{
			Target: id, Requests: own, Unanswered: flows, Opens: opens, HeardAt: heardHere(t), Disputed: t.load.disputed(),
		})
	}
	return list
}

// Version returns the version of the routing table in force, 0 before any.
func (r *Router) Version() uint64 { return r.current.Load().version }

// Ready tells whether the router can place flows.
func (r *Router) Ready() bool {
	s := r.current.Load()
	return s.haveTable && s.haveTargets
}

// Handle decides about one packet of a caller.
func (r *Router) Handle(now time.Time, p *baobabstep.Segment, out *[]baobabstep.Forward) {
	s := r.current.Load()
	if !s.haveTable || !s.haveTargets {
		r.record(now, EventUnready, s, nil, nil, p)
		return
	}
	h := hashFlow(p.Flow)
	route := s.rules[p.Flow.Service]
	switch {
	case route == nil:
		r.unrouted(now, s, h, p, out)
	case p.Kind == baobabstep.KindOpen:
		r.open(now, s, route, h, p, out)
	default:
		r.pass(now, s, route, h, p, out)
	}
}

// unrouted ends a flow whose address is not routed, or is no more.
func (r *Router) unrouted(now time.Time, s *snapshot, h flowHash, p *baobabstep.Segment, out *[]baobabstep.Forward) {
	r.record(now, EventUnrouted, s, nil, nil, p)
	shard := r.flows.shard(h)
	shard.mu.Lock()
	shard.remove(p.Flow)
	shard.mu.Unlock()
	if p.Kind != baobabstep.KindReset {
		reset(p, out)
	}
}

// reset ends a flow towards its caller.
func reset(p *baobabstep.Segment, out *[]baobabstep.Forward) {
	*out = append(*out, baobabstep.Forward{Flow: p.Flow, Seq: p.Acked})
}

// open places a first packet, or sends a copy of it where the first one went.
func (r *Router) open(now time.Time, s *snapshot, route *rule, h flowHash, p *baobabstep.Segment, out *[]baobabstep.Forward) {
	shard := r.flows.shard(h)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	f := shard.flows[p.Flow]
	avoid := r.openings.tried(now, p.Flow.Caller.Addr())
	if f != nil && f.seq == p.Seq && f.opening {
		f.repeated = true
		avoid = nil
		if !r.moves(now, s, f) {
			f.heard = now
			r.record(now, EventRepeated, s, route, f.target, p)
			send(f.target, h, p, out)
			return
		}
		r.record(now, EventMoved, s, route, f.target, p)
	}
	t := r.choose(now, s, route, h, avoid)
	if t == nil {
		r.record(now, EventRefused, s, route, nil, p)
		reset(p, out)
		return
	}
	f = &flow{target: t, opening: true, heard: now, sent: now, seq: p.Seq}
	shard.add(p.Flow, f)
	r.openings.begin(now, p.Flow.Caller.Addr(), f)
	t.load.placed(now)
	r.record(now, EventPlaced, s, route, t, p)
	send(t, h, p, out)
}

// moves tells whether the copy of a first segment should go to another target
// than the first one did, and counts the flow against its target.
//
// A target that answers after all would leave the caller with a flow at one
// target and the token of the other. So a flow moves only away from a target
// that other flows find silent as well: an answer comes within milliseconds,
// and the copy 200 ms later.
func (r *Router) moves(now time.Time, s *snapshot, f *flow) bool {
	if now.Sub(f.sent) < copyAfter {
		return false
	}
	if !f.unanswered {
		f.unanswered = true
		r.left(now, f, openRepeated)
	}
	present := s.targets[f.target.id]
	return present == nil || !present.choosable(now) || f.target.load.suspect(now)
}

// answered notes that a target was heard of.
func (r *Router) answered(now time.Time, t *target) {
	if t.load.answered(now) {
		r.record(now, EventHeard, r.current.Load(), nil, t, nil)
	}
}

// left counts a flow against its target. A target that was heard of since the flow's segment went out lives: then it
// was the segment that was lost, or its answer.
func (r *Router) left(now time.Time, f *flow, how silence) {
	t := f.target
	if here, elsewhere := t.load.heardAt(); here.After(f.sent) || elsewhere.After(f.sent) {
		return
	}
	t.load.left(now, how)
	r.record(now, EventSilent, r.current.Load(), nil, t, nil)
	select {
	case r.troubled <- struct{}{}:
	default:
	}
}

// Troubled yields a value when a target left a flow unanswered: the other VMs of
// the data centre should hear of it at once.
func (r *Router) Troubled() <-chan struct{} { return r.troubled }

// pass sends a later packet to the target that its token names.
func (r *Router) pass(now time.Time, s *snapshot, route *rule, h flowHash, p *baobabstep.Segment, out *[]baobabstep.Forward) {
	t := s.find(now, route, h, p.Token)
	if t == nil {
		r.record(now, EventUnknown, s, route, nil, p)
		return
	}
	shard := r.flows.shard(h)
	shard.mu.Lock()
	r.note(now, shard, t, p)
	shard.mu.Unlock()
	if p.Kind != baobabstep.KindReset && r.outOfReach(now, s, t) {
		r.record(now, EventEnded, s, route, t, p)
		reset(p, out)
		return
	}
	r.counts.passed.Add(1)
	send(t, h, p, out)
}

// hearingFor is how long ago another target of the service may have been heard
// of for this VM to trust that it hears at all.
const hearingFor = 500 * time.Millisecond

// outOfReach tells whether the flows of a target should be ended, so that their
// callers try again elsewhere while they have time. Without that they wait for
// an answer until their time limits.
//
// It is the target that is silent, not this VM that hears nothing, if another
// target of the service was heard of just now.
func (r *Router) outOfReach(now time.Time, s *snapshot, t *target) bool {
	alone := (*r.heard.Load())[r.o.DataCentre] == 0
	if !t.load.dark(now, alone) {
		return false
	}
	for _, other := range s.pools[t.registration.Service].targets {
		if other != t && !other.load.dark(now, alone) && now.Sub(heardHere(other)) < hearingFor {
			return true
		}
	}
	return false
}

// heardHere returns when this VM last heard of a target.
func heardHere(t *target) time.Time {
	here, _ := t.load.heardAt()
	return here
}

// note keeps the record of a flow in step with a later packet.
func (r *Router) note(now time.Time, shard *shard, t *target, p *baobabstep.Segment) {
	f := shard.flows[p.Flow]
	switch {
	case f == nil:
		shard.add(p.Flow, adopted(now, t, p))
	case f.target.id != t.id:
		// The flow was opened at another target than this VM sent it to last.
		r.answered(now, t)
		shard.add(p.Flow, adopted(now, t, p))
	default:
		r.follow(now, f, p)
	}
	if p.Kind == baobabstep.KindReset || p.Kind == baobabstep.KindClose {
		shard.flows[p.Flow].close()
	}
}

// adopted returns the record of a flow that this VM did not place.
func adopted(now time.Time, t *target, p *baobabstep.Segment) *flow {
	return &flow{
		target: t, heard: now, sent: now, acked: p.Acked, requestAcked: p.Acked, sentEnd: p.Seq + uint32(p.Size),
	}
}

// follow notes what a later segment says of a flow that this VM knows.
func (r *Router) follow(now time.Time, f *flow, p *baobabstep.Segment) {
	// What a caller's reset acknowledges is not said anywhere.
	progress := p.Kind != baobabstep.KindReset && after(p.Acked, f.acked)
	if f.opening || progress {
		f.unanswered = false
		r.answered(now, f.target)
	}
	if progress && !f.opening && f.timed && p.Size == 0 {
		f.target.load.finished(now, now.Sub(f.sent))
		f.timed = false
		if r.o.Finished != nil {
			r.o.Finished(now.Sub(f.sent))
		}
	}
	if f.opening {
		r.openings.done(p.Flow.Caller.Addr(), f)
		// The first segment counted as the start of the first request.
		f.opening, f.acked, f.requestAcked = false, p.Acked, p.Acked
		f.sentEnd, f.sent, f.timed = p.Seq, now, true
	}
	if end := p.Seq + uint32(p.Size); after(end, f.sentEnd) {
		f.sentEnd = end
		if p.Acked != f.requestAcked {
			f.requestAcked = p.Acked
			f.sent, f.timed = now, true
			f.target.load.started(now)
		}
	} else if p.Size > 0 && !progress && !f.unanswered && now.Sub(f.sent) >= copyAfter {
		f.unanswered = true
		r.left(now, f, requestRepeated)
	}
	f.heard = now
	if progress {
		f.acked = p.Acked
	}
}

// after tells whether number a follows b, both modulo 2^32.
func after(a, b uint32) bool { return int32(a-b) > 0 }

func send(t *target, h flowHash, p *baobabstep.Segment, out *[]baobabstep.Forward) {
	*out = append(*out, baobabstep.Forward{
		Target: t.id, Address: t.registration.Address, Token: tokenFor(h, t.id), Raw: p.Raw,
	})
}

// Tick forgets idle flows.
func (r *Router) Tick(now time.Time) {
	idle := r.o.Idle
	if s := r.current.Load(); s.idle > 0 {
		idle = min(idle, s.idle)
	}
	for i := range r.flows.shards {
		for _, f := range r.flows.shards[i].expire(now, idle) {
			r.left(now, f, openVanished)
		}
	}
	r.openings.expire(now)
}
