package token

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
	"baobabstep/core/quota"
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
	// ColdOvershoot and ColdSlack bound what a cold target gets in any second: its
	// limit times the one, and the other (1, 0).
	ColdOvershoot, ColdSlack float64
	// Without are the mechanisms that are switched off (none).
	Without Mechanisms
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
	o.ColdOvershoot = cmp.Or(o.ColdOvershoot, 1)
}

// Router decides for the packets of flows.
type Router struct {
	o        Options
	current  atomic.Pointer[snapshot]
	flows    *flowTable
	openings *openings
	counts   counts
	// watched are the targets whose answers may have to be judged.
	watched targetSet
	// heard are the VMs heard of in each data centre.
	heard atomic.Pointer[map[string]int]

	// view is that of the VMs of the data centre, nil before any.
	view atomic.Pointer[quota.View]

	// troubles are the targets whose silence, or end of it, is to be told.
	troubles *troubles

	// known is closed once flows can be placed; that never ends.
	known chan struct{}

	// listing is held while Loads lists the active targets.
	listing sync.Mutex
	// change is held while the snapshot is replaced.
	change sync.Mutex
	// drawLock guards Options.Rand.
	drawLock sync.Mutex
}

// New returns a router that knows no routes and no targets.
func New(o Options) *Router {
	o.setDefaults()
	r := &Router{o: o, flows: newFlowTable(), openings: newOpenings(), troubles: newTroubles(), known: make(chan struct{})}
	r.current.Store(newSnapshot(&r.o))
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
	next := s.withTable(now, table)
	next.coldLimits = makeColdLimits(&r.o, table, s.coldLimits)
	r.replace(next)
	return true
}

// SetRegistrations tells which targets are registered.
func (r *Router) SetRegistrations(now time.Time, list []baobabstep.Registration) {
	r.change.Lock()
	defer r.change.Unlock()
	r.replace(r.current.Load().withRegistrations(now, list))
}

// ChangeRegistrations tells which registrations are new or differ, and which are
// gone; all others are as before.
func (r *Router) ChangeRegistrations(now time.Time, put []baobabstep.Registration, gone []baobabstep.TargetID) {
	r.change.Lock()
	defer r.change.Unlock()
	r.replace(r.current.Load().withChanges(now, put, gone))
}

// SetEvacuations tells which data centres get no new flow. The targets of those that
// get flows again are taken to be cold: they may have become so while they were
// empty, and say it seconds later.
func (r *Router) SetEvacuations(now time.Time, dataCentres []string) {
	r.change.Lock()
	defer r.change.Unlock()
	before := r.current.Load()
	next := before.withEvacuations(dataCentres)
	for id, t := range before.targets {
		if limit := next.coldLimits[t.registration.Service]; limit != nil && t.evacuated && !next.targets[id].evacuated {
			t.load.presumeCold(now, now.Add(limit.lasts))
		}
	}
	r.replace(next)
}

// replace puts a snapshot in force. The caller holds r.change.
func (r *Router) replace(s *snapshot) {
	before := r.Ready()
	r.current.Store(s)
	if s.ready() && !before {
		close(r.known)
	}
}

// LapseGrace is how long after the return of the store it may lack what targets and
// operators had written: about 2 s for a registration of a target that lives, and
// what the news takes.
const LapseGrace = 2500 * time.Millisecond

// StoreBack tells that the store was out of reach until now. Targets renew
// their registrations in it; those that could not for long enough are missing
// from it at first, though they live. Without the grace most targets of every
// service seem to be gone at once, and callers are refused.
func (r *Router) StoreBack(now time.Time) {
	r.change.Lock()
	defer r.change.Unlock()
	next := *r.current.Load()
	next.spareUntil = now.Add(LapseGrace)
	r.current.Store(&next)
}

// StoreRestored tells that the store came back from a backup, in place of StoreBack. It
// may also lack what targets wrote last: a target that leaves is registered as ready,
// and one that has gone is registered again.
func (r *Router) StoreRestored(now time.Time) {
	r.StoreBack(now)
	r.change.Lock()
	defer r.change.Unlock()
	next := *r.current.Load()
	next.restoredAt = now
	r.current.Store(&next)
}

// SetOthers tells what other VMs send to targets, and how many VMs of each data
// centre are heard. Targets that are not in others keep their previous values.
//
// A data centre without any is taken for out of reach: behind a partition its
// targets seem idle, since nobody says what they are sent, and each new flow
// that goes there dies.
func (r *Router) SetOthers(now time.Time, others map[baobabstep.TargetID]baobabstep.TargetLoad, heard map[string]int) {
	r.heard.Store(&heard)
	targets := r.current.Load().targets
	for _, id := range slices.Sorted(maps.Keys(others)) { // sorted, so that events are recorded in a deterministic order
		t := targets[id]
		if t == nil {
			continue
		}
		said := r.heeded(others[id])
		if t.load.setOthers(said) {
			r.heardAgain(now, t)
		}
		if said.Failed > 0 {
			r.watch(t)
		}
	}
}

// Appeared returns the targets that appeared, or started a new run, since the previous
// call. What SetOthers was told of them before has not been applied.
func (r *Router) Appeared() []baobabstep.TargetID { return r.current.Load().appeared.take() }

// vms returns the number of VMs of the data centre that are heard, and this one.
func (r *Router) vms() int { return 1 + (*r.heard.Load())[r.o.DataCentre] }

// heeded returns what this VM takes in of what others say of a target.
func (r *Router) heeded(said baobabstep.TargetLoad) baobabstep.TargetLoad {
	if !r.on(MechanismOtherLoads) {
		said.Requests = 0
	}
	if !r.on(MechanismWitnesses) {
		said.Silence, said.HeardAt = nil, time.Time{}
	}
	if !r.on(MechanismSharedAnswers) {
		said.Answers, said.Failed, said.Took, said.Callers = 0, 0, 0, 0
	}
	return said
}

// Loads returns the requests that this VM sends to targets, and the answers and the
// silence that it observed. Targets with nothing to report are left out.
func (r *Router) Loads(now time.Time) []baobabstep.TargetLoad {
	r.listing.Lock()
	defer r.listing.Unlock()
	s := r.current.Load()
	ids := s.active.take()
	list := make([]baobabstep.TargetLoad, 0, len(ids))
	for _, id := range ids {
		t := s.targets[id]
		if t == nil {
			continue
		}
		if told, active := t.load.toldLoad(now, t.service.time()); active {
			t.load.markActive()
			list = append(list, told)
		}
	}
	return list
}

// Version returns the version of the routing table in force, 0 before any.
func (r *Router) Version() uint64 { return r.current.Load().version }

// Ready tells whether the router can place flows.
func (r *Router) Ready() bool {
	return r.current.Load().ready()
}

// Known is closed once the router can place flows.
func (r *Router) Known() <-chan struct{} { return r.known }

// Handle decides about one packet of a caller.
func (r *Router) Handle(now time.Time, p *baobabstep.Segment, out *[]baobabstep.Forward) {
	s := r.current.Load()
	if !s.ready() {
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
	var avoid *target
	if r.on(MechanismNextTry) {
		avoid = r.openings.tried(now, p.Flow.Caller.Addr())
	}
	if f != nil && f.seq == p.Seq && f.opening {
		f.repeated = true
		avoid = nil
		if !r.moves(now, s, f) {
			f.heard = now
			r.useCold(now, s, f.target)
			r.record(now, EventRepeated, s, route, f.target, p)
			send(f.target, h, p, out)
			return
		}
		r.record(now, EventMoved, s, route, f.target, p)
	}
	t, admitted := r.choose(now, s, route, h, avoid)
	if !admitted {
		kind := EventRefused
		if t != nil {
			kind = EventNoRoom
		}
		r.record(now, kind, s, route, t, p)
		reset(p, out)
		return
	}
	f = &flow{key: p.Flow, target: t, rule: route, opening: true, heard: now, sent: now, seq: p.Seq}
	shard.add(p.Flow, f)
	r.openings.begin(now, p.Flow.Caller.Addr(), f)
	t.load.placed(now, r.trialGap())
	r.useCold(now, s, t)
	r.record(now, EventPlaced, s, route, t, p)
	send(t, h, p, out)
}

// pass sends a later packet to the target that its token names.
func (r *Router) pass(now time.Time, s *snapshot, route *rule, h flowHash, p *baobabstep.Segment, out *[]baobabstep.Forward) {
	t := s.find(now, route, h, p.Token)
	if t == nil {
		r.record(now, EventUnknown, s, route, nil, p)
		return
	}
	shard := r.flows.shard(h)
	shard.mu.Lock()
	r.note(now, shard, t, route, p)
	shard.mu.Unlock()
	if p.Kind != baobabstep.KindReset && r.on(MechanismEndFlows) && r.outOfReach(now, s, t) {
		r.record(now, EventEnded, s, route, t, p)
		reset(p, out)
		return
	}
	r.counts.passed.Add(1)
	send(t, h, p, out)
}

func send(t *target, h flowHash, p *baobabstep.Segment, out *[]baobabstep.Forward) {
	*out = append(*out, baobabstep.Forward{
		Target: t.id, Address: t.registration.Address, Token: tokenFor(h, t.id), Raw: p.Raw,
	})
}

// Tick forgets idle flows, judges targets, and ends flows whose requests no target
// will answer.
func (r *Router) Tick(now time.Time, out *[]baobabstep.Forward) {
	s := r.current.Load()
	idle := r.o.Idle
	if s.idle > 0 {
		idle = min(idle, s.idle)
	}
	look := func(f *flow) {
		if !r.giveUp(now, s, f, out) {
			r.lookAt(now, f)
		}
	}
	for i := range r.flows.shards {
		for _, f := range r.flows.shards[i].expire(now, idle, look) {
			r.left(now, f, openVanished)
		}
	}
	r.openings.expire(now)
	r.judge(now, s)
}
