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
	"baobabstep/core/bulk"
	"baobabstep/core/quota"
)

// Options are the settings of a [Router]. Zero values select the defaults given with each
// field.
type Options struct {
	DataCentre string
	// Rand draws services and breaks ties. The router guards it with a lock.
	Rand *rand.Rand
	// MaxFlowDuration is the longest time that a flow may last; older flows may be
	// forgotten (60 s).
	MaxFlowDuration time.Duration
	// IdleTimeout is the time without packets after which a flow record is dropped, unless
	// the routing table sets a shorter one (15 s).
	IdleTimeout time.Duration
	// ColdOvershoot and ColdSlack bound the new flows that a cold target gets in any second
	// to its limit times ColdOvershoot, plus ColdSlack (1, 0).
	ColdOvershoot, ColdSlack float64
	// Disabled is the set of disabled mechanisms (none).
	Disabled Mechanisms
	// Link measures the VM's own link. It is nil if the link is not measured; then it is
	// never congested, and nothing is held on its account.
	Link baobabstep.LinkMeter
	// ObserveRequestTime, if set, is called with the latency of each request whose
	// answer this VM saw acknowledged.
	ObserveRequestTime func(took time.Duration)
	// Record receives the events for which EventEnabled returns true. Both are nil if no
	// events are recorded.
	Record Recorder
	// EventEnabled is called before an event is built, because building it is most of the
	// cost of an event that is not recorded.
	EventEnabled func(now time.Time, kind EventKind) bool
}

func (o *Options) setDefaults() {
	o.MaxFlowDuration = cmp.Or(o.MaxFlowDuration, 60*time.Second)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, 15*time.Second)
	o.ColdOvershoot = cmp.Or(o.ColdOvershoot, 1)
}

// Router decides where the packets of flows go.
type Router struct {
	options Options
	current atomic.Pointer[snapshot]
	// tableConfirmedAt is when the store last held no newer routing table; nil if unknown.
	tableConfirmedAt atomic.Pointer[time.Time]
	// targetsUnconfirmed is set while the registrations may be outdated since the start.
	targetsUnconfirmed atomic.Bool
	flows              *flowTable
	openingFlows       *openingFlows
	inquiries          *inquiries
	counts             counts
	// bulkGate admits bulk flows to the VM's own link.
	bulkGate *bulk.Gate
	// pendingReviews are the targets whose answer health the next Tick reviews.
	pendingReviews targetSet
	// vmsHeard is the number of other VMs heard from in each data centre.
	vmsHeard atomic.Pointer[map[string]int]
	// vmsCongested is the number of those in the own data centre whose links are congested.
	vmsCongested atomic.Int32

	// view lists the VMs of the data centre; nil until SetView is called.
	view atomic.Pointer[quota.View]

	// recovered are the targets to tell VMs that start.
	recovered recoveredTargets

	// alarms are the targets to report to other VMs without waiting for a heartbeat.
	alarms *alarmQueue

	// readyChan is closed once flows can be placed. The router stays ready from then on.
	readyChan chan struct{}

	// loadsLock is held while Loads lists the active targets.
	loadsLock sync.Mutex
	// changeLock is held while the snapshot is replaced.
	changeLock sync.Mutex
	// randLock guards Options.Rand.
	randLock sync.Mutex
}

// New returns a router without routes and targets.
func New(o Options) *Router {
	o.setDefaults()
	r := &Router{options: o, flows: newFlowTable(), openingFlows: newOpeningFlows(), inquiries: newInquiries(), alarms: newAlarmQueue(), readyChan: make(chan struct{})}
	r.current.Store(newSnapshot(&r.options))
	r.vmsHeard.Store(&map[string]int{})
	r.bulkGate = newBulkGate(&r.options)
	return r
}

// SetTable puts a routing table in force. It returns false and changes nothing if the table
// is not newer than the present one.
func (r *Router) SetTable(now time.Time, table *baobabstep.RoutingTable) bool {
	r.changeLock.Lock()
	defer r.changeLock.Unlock()
	s := r.current.Load()
	if s.haveTable && table.Version <= s.version {
		return false
	}
	next := s.withTable(now, table)
	next.coldLimits = makeColdLimits(&r.options, table, s.coldLimits)
	r.install(next)
	return true
}

// SetRegistrations replaces the set of registered targets.
func (r *Router) SetRegistrations(now time.Time, list []baobabstep.Registration) {
	r.changeLock.Lock()
	defer r.changeLock.Unlock()
	r.install(r.current.Load().withRegistrations(now, list))
}

// ChangeRegistrations applies new and changed registrations (put) and removed ones (gone).
// All other registrations stay as they are.
func (r *Router) ChangeRegistrations(now time.Time, put []baobabstep.Registration, gone []baobabstep.TargetID) {
	r.changeLock.Lock()
	defer r.changeLock.Unlock()
	r.install(r.current.Load().withChanges(now, put, gone))
}

// SetEvacuations sets the data centres whose targets get no new flows. Targets of data
// centres that get new flows again are presumed cold.
func (r *Router) SetEvacuations(now time.Time, dataCentres []string) {
	r.changeLock.Lock()
	defer r.changeLock.Unlock()
	before := r.current.Load()
	next := before.withEvacuations(dataCentres)
	next.returns = next.returnsAfter(now, before.evacuated)
	r.install(next)
}

// install puts a snapshot in force. The caller holds r.changeLock.
func (r *Router) install(s *snapshot) {
	before := r.Ready()
	r.current.Store(s)
	if s.ready() && !before {
		close(r.readyChan)
	}
}

// ReregistrationGrace is how long the store may lack registrations and operator changes
// after it becomes reachable again: about 2 s until a live target renews its registration,
// plus the time to distribute the change.
const ReregistrationGrace = 2500 * time.Millisecond

// StoreReconnected records that the store has just become reachable again. Targets that
// could not renew their registrations for long enough are missing from the store at first
// although they are alive. Without a grace period most targets of every service would seem
// gone at once, and callers would be refused.
func (r *Router) StoreReconnected(now time.Time) {
	r.changeLock.Lock()
	defer r.changeLock.Unlock()
	next := *r.current.Load()
	next.lapseGraceUntil = now.Add(ReregistrationGrace)
	r.current.Store(&next)
}

// StoreRestored records that the store was restored from a backup; call it instead of
// StoreReconnected. The restored store may also lack the latest changes of targets: a
// draining target is registered as ready, and a target that is gone is registered again.
func (r *Router) StoreRestored(now time.Time) {
	r.StoreReconnected(now)
	r.changeLock.Lock()
	defer r.changeLock.Unlock()
	next := *r.current.Load()
	next.restoredAt = now
	r.current.Store(&next)
}

// SetPeerLoads sets the loads of targets on other VMs, and the number of VMs heard from in
// each data centre. Targets that are not in loads keep their previous values.
//
// A data centre from which no VM is heard counts as unreachable. Behind a partition its
// targets would seem idle, since no VM reports the requests sent to them, and each new flow
// to them would be lost.
func (r *Router) SetPeerLoads(now time.Time, loads map[baobabstep.TargetID]baobabstep.TargetLoad, heard map[string]int) {
	r.vmsHeard.Store(&heard)
	targets, alone := r.current.Load().targets, r.alone()
	for _, id := range slices.Sorted(maps.Keys(loads)) { // sorted, so that events are recorded in a deterministic order
		t := targets[id]
		if t == nil {
			continue
		}
		load := r.applicableLoad(loads[id])
		if t.load.setPeerLoad(now, load, alone) {
			r.noteHeardAgain(now, t)
		}
		if load.Failed > 0 {
			r.scheduleReview(t)
		}
	}
}

// TakeNewTargets returns the targets that were added or restarted since the previous call.
// Loads that SetPeerLoads received for them earlier have not been applied.
func (r *Router) TakeNewTargets() []baobabstep.TargetID { return r.current.Load().newTargets.take() }

// vmCount returns the number of live VMs in the data centre, including this one.
func (r *Router) vmCount() int { return 1 + (*r.vmsHeard.Load())[r.options.DataCentre] }

// applicableLoad returns the load without the parts that belong to disabled mechanisms.
func (r *Router) applicableLoad(load baobabstep.TargetLoad) baobabstep.TargetLoad {
	if !r.enabled(MechanismOtherLoads) {
		load.Requests = 0
	}
	if !r.enabled(MechanismWitnesses) {
		load.SilenceReports, load.HeardAt = nil, time.Time{}
	}
	if !r.enabled(MechanismSharedAnswers) {
		load.Answers, load.Failed, load.MeanLatency, load.Callers = 0, 0, 0, 0
	}
	if !r.enabled(MechanismCongestion) {
		for i := range load.SilenceReports {
			load.SilenceReports[i].CongestedAt = time.Time{}
		}
	}
	return load
}

// Loads returns the loads for this VM's heartbeats: the requests that it sent to targets,
// and the answers and unanswered flows that it observed. Targets with nothing to report are
// omitted.
func (r *Router) Loads(now time.Time) []baobabstep.TargetLoad {
	r.loadsLock.Lock()
	defer r.loadsLock.Unlock()
	s := r.current.Load()
	ids := s.active.take()
	list := make([]baobabstep.TargetLoad, 0, len(ids))
	for _, id := range ids {
		t := s.targets[id]
		if t == nil {
			continue
		}
		if load, active := t.load.entry(now, t.service.meanLatency()); active {
			t.load.markActive()
			list = append(list, load)
		}
	}
	return list
}

// Version returns the version of the routing table in force, 0 if there is none yet.
func (r *Router) Version() uint64 { return r.current.Load().version }

// Ready reports whether the router can place flows.
func (r *Router) Ready() bool {
	return r.current.Load().ready()
}

// ReadyChan returns a channel that is closed once the router can place flows.
func (r *Router) ReadyChan() <-chan struct{} { return r.readyChan }

// Handle decides what to do with one packet of a caller and appends the datagrams to send
// to out.
func (r *Router) Handle(now time.Time, p *baobabstep.Segment, out *[]baobabstep.OutgoingDatagram) {
	s := r.current.Load()
	if !s.ready() {
		r.record(now, EventUnready, s, nil, nil, p)
		return
	}
	h := hashFlow(p.Flow)
	route := s.rules[p.Flow.Service]
	switch {
	case route == nil:
		r.handleUnrouted(now, s, h, p, out)
	case p.Kind == baobabstep.KindOpen:
		r.openFlow(now, s, route, h, p, out)
	default:
		r.forwardEstablished(now, s, route, h, p, out)
	}
}

// openFlow places the flow of a first packet. Its retransmission goes to the same target,
// unless the flow has to move.
func (r *Router) openFlow(now time.Time, s *snapshot, route *rule, h flowHash, p *baobabstep.Segment, out *[]baobabstep.OutgoingDatagram) {
	shard := r.flows.shard(h)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	f := shard.flows[p.Flow]
	previous := r.lastTried(now, p)
	if f != nil && f.seq == p.Seq && f.opening {
		f.retransmitted = true
		previous = nil
		if !r.shouldMove(now, s, route, f) {
			f.lastPacketAt = now
			r.consumeColdShare(now, s, f.target)
			r.record(now, EventRepeated, s, route, f.target, p)
			appendForward(f.target, h, p, out)
			return
		}
		r.record(now, EventMoved, s, route, f.target, p)
	} else if f != nil && f.seq == p.Seq && !f.closed {
		appendForward(f.target, h, p, out) // a copy that the next segment of its flow has overtaken
		return
	} else if r.asksFor(f, p) && r.waitsOrIsHome(now, s, route, h, p, out) {
		return
	} else if !r.admitsToLink(now, s, route, p, out) {
		return
	}
	r.placeFlow(now, s, route, h, previous, p, out)
}

// placeFlow chooses a target for a new flow and sends it the first segment. The caller
// holds the lock of the flow's shard.
func (r *Router) placeFlow(now time.Time, s *snapshot, route *rule, h flowHash, previous *target, p *baobabstep.Segment, out *[]baobabstep.OutgoingDatagram) {
	t, busy, admitted := r.chooseTarget(now, s, route, h, previous, r.isRetransmitted(h, p) || p.Acked > 0)
	if t == nil {
		if kind, unconfirmed := r.refusalUnconfirmed(now, s, route); unconfirmed {
			r.record(now, kind, s, route, nil, p)
			r.bulkGate.Cancel(p.Flow)
			return
		}
	}
	if t != nil && !r.isRetransmitted(h, p) && !r.hasRoom(t, route, busy) {
		r.record(now, EventYielded, s, route, t, p)
		r.bulkGate.Cancel(p.Flow)
		appendReset(p, out)
		return
	}
	if !admitted {
		kind := EventRefused
		if t != nil {
			kind = EventNoRoom
		}
		r.record(now, kind, s, route, t, p)
		r.bulkGate.Cancel(p.Flow)
		appendReset(p, out)
		return
	}
	r.place(now, s, route, h, t, p, out)
}

// place records a new flow at a target and sends it the first segment. The caller holds the lock of
// the flow's shard.
func (r *Router) place(now time.Time, s *snapshot, route *rule, h flowHash, t *target, p *baobabstep.Segment, out *[]baobabstep.OutgoingDatagram) {
	f := &flow{key: p.Flow, target: t, rule: route, opening: true, lastPacketAt: now, requestSentAt: now, seq: p.Seq}
	r.flows.shard(h).add(p.Flow, f)
	r.openingFlows.add(now, p.Flow.Caller.Addr(), f)
	t.load.countNewFlow(now, r.vmCount(), r.trialInterval())
	r.consumeColdShare(now, s, t)
	r.record(now, EventPlaced, s, route, t, p)
	appendForward(t, h, p, out)
}

// isRetransmitted reports whether a first segment was sent to a target before, so that its
// caller may have opened the flow meanwhile. The caller holds the lock of the flow's shard.
func (r *Router) isRetransmitted(h flowHash, p *baobabstep.Segment) bool {
	f := r.flows.shard(h).flows[p.Flow]
	return f != nil && f.seq == p.Seq && f.opening
}

// lastTried returns the target of the caller's previous try, or nil.
func (r *Router) lastTried(now time.Time, p *baobabstep.Segment) *target {
	if !r.enabled(MechanismNextTry) {
		return nil
	}
	return r.openingFlows.lastTried(now, p.Flow.Caller.Addr())
}

// forwardEstablished sends a later packet to the target that its token names.
func (r *Router) forwardEstablished(now time.Time, s *snapshot, route *rule, h flowHash, p *baobabstep.Segment, out *[]baobabstep.OutgoingDatagram) {
	t := s.find(now, route, h, p.Token)
	if t == nil {
		r.dropHeld(p)
		r.record(now, EventUnknownToken, s, route, nil, p)
		return
	}
	shard := r.flows.shard(h)
	shard.mu.Lock()
	f := shard.flows[p.Flow]
	if home := f.homeOf(t, p); home != nil && home.sameIncarnation(s.find(now, route, h, tokenFor(h, home.id))) {
		r.record(now, EventStrayToken, s, route, home, p)
		t = home
	}
	r.trackSegment(now, shard, f, t, route, p)
	shard.mu.Unlock()
	if p.Kind != baobabstep.KindReset && r.enabled(MechanismEndFlows) && r.confirmedUnreachable(now, s, t) {
		r.record(now, EventEnded, s, route, t, p)
		appendReset(p, out)
		return
	}
	r.counts.forwarded.Add(1)
	appendForward(t, h, p, out)
}

func appendForward(t *target, h flowHash, p *baobabstep.Segment, out *[]baobabstep.OutgoingDatagram) {
	*out = append(*out, baobabstep.OutgoingDatagram{
		Target: t.id, Address: t.registration.Address, Token: tokenFor(h, t.id), Raw: p.Raw, Flow: p.Flow,
	})
}

// Tick drops idle flow records, reviews the answer health of targets, and resets flows whose
// requests will not be answered because their targets are unreachable.
func (r *Router) Tick(now time.Time, out *[]baobabstep.OutgoingDatagram) {
	s := r.current.Load()
	idle := r.options.IdleTimeout
	if s.idleTimeout > 0 {
		idle = min(idle, s.idleTimeout)
	}
	check := func(f *flow) {
		if !r.endStrandedFlow(now, s, f, out) {
			r.checkRequest(now, f)
		}
	}
	for i := range r.flows.shards {
		for _, f := range r.flows.shards[i].expire(now, idle, check) {
			r.noteUnanswered(now, f, openVanished)
		}
	}
	r.openingFlows.expire(now)
	r.reviewAnswerHealth(now, s)
	r.updateRoom(now, s)
}
