package request

import (
	"encoding/binary"
	"slices"
	"time"

	"baobabstep"
	"baobabstep/core/target"
)

type groupID struct {
	service baobabstep.ServiceID
	index   int
	// groups is part of the identity: with another number of groups the same
	// index refers to other targets and other keys.
	groups int
}

// groupOf returns the group that a request belongs to.
func groupOf(s *baobabstep.Service, h baobabstep.KeyHash) groupID {
	groups := target.GroupCount(len(s.Targets))
	return groupID{service: s.ID, index: int(binary.LittleEndian.Uint64(h[:8]) % uint64(groups)), groups: groups}
}

// group is the ledger and the queues of one group of targets.
type group struct {
	shard      *shard
	engine     *Engine
	id         groupID
	service    *baobabstep.Service
	fleet      *fleet
	set        set
	formerSets []formerSet
	// tookOverAt is when this VM started to dispatch, lastDispatched when it last
	// did.
	tookOverAt, lastDispatched time.Time

	ledger     map[baobabstep.FlowKey]*entry
	tombstones tombstones
	// numOpen counts the unfinished requests that this VM owns.
	numOpen int
	queues  [2]queue
	// lossRate is the smoothed share of attempts that ended without a reply.
	lossRate float64
	// attempts lists attempts in the order in which they were sent. Those that
	// ended stay until they reach the front.
	attempts []runningAttempt
	// ordinaryCredit grows with each slot assigned while both classes wait. At
	// 1 the next slot goes to an ordinary request.
	ordinaryCredit float64
	// returnsBookedUntil is the latest retry time assigned to a refused caller.
	returnsBookedUntil time.Time
	// retryTokens is the remaining retry budget.
	retryTokens float64
	capacity    capacity
}

// runningAttempt is one attempt that was sent to a target.
type runningAttempt struct {
	entry   *entry
	attempt uint16
}

// occupiesSlot reports whether the attempt still has its slot.
func (r runningAttempt) occupiesSlot() bool { return r.entry.holdsSlot && r.entry.attempt == r.attempt }

// capacity is the capacity of the group's targets, refreshed after
// maxCapacityAge.
type capacity struct {
	measuredAt  time.Time
	slots       int
	serviceTime time.Duration
}

const (
	maxCapacityAge = 20 * time.Millisecond
	// defaultServiceTime is used until a service time has been measured.
	defaultServiceTime = 10 * time.Millisecond
)

func (s *shard) group(now time.Time, f *fleet, service *baobabstep.Service, id groupID) *group {
	g := s.groups[id]
	if g == nil {
		g = &group{shard: s, engine: s.engine, id: id, ledger: make(map[baobabstep.FlowKey]*entry), retryTokens: maxRetryTokens}
		s.groups[id] = g
		s.inUse.Store(true)
		g.service = service
		g.initSets(now, f)
	}
	g.service = service
	return g
}

func (g *group) refreshCapacity(now time.Time) {
	if now.Sub(g.capacity.measuredAt) < maxCapacityAge && !g.capacity.measuredAt.IsZero() {
		return
	}
	slots, serviceTime := g.engine.opts.Targets.Slots(now, g.id.service, g.id.index, g.id.groups)
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	g.capacity = capacity{measuredAt: now, slots: slots, serviceTime: serviceTime}
}

// dispatchIdleGap is the time without a request after which a VM that is not the
// dispatcher in its own view counts as newly taking over when a request is
// forwarded to it.
const dispatchIdleGap = time.Second

// noteDispatching records that this VM dispatches, which it also does against its
// own view if a VM with a newer view forwarded a request to it.
func (g *group) noteDispatching(now time.Time) {
	if g.set.dispatcher != g.engine.opts.Self && now.Sub(g.lastDispatched) > dispatchIdleGap {
		g.tookOverAt = now
	}
	g.lastDispatched = now
}

// takingOver reports whether attempts of a former dispatcher may still occupy
// slots that this VM considers free. A target without a free slot refuses an
// attempt, and a request that is not idempotent is sent only once, so such
// requests wait for the few service times that this lasts.
func (g *group) takingOver(now time.Time) bool {
	return now.Sub(g.tookOverAt) < min(takeOverFactor*g.capacity.serviceTime, maxTakeOver)
}

const (
	takeOverFactor = 6
	maxTakeOver    = 300 * time.Millisecond
)

// handle processes a packet in this VM's ledger or forwards it to the responsible
// VM.
func (g *group) handle(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	switch p.Route.Purpose {
	case baobabstep.PurposeReplicate:
		g.storeClaim(now, p, out)
		return
	case baobabstep.PurposeStored:
		g.handleClaimReply(now, p, out)
		return
	case baobabstep.PurposeForget:
		g.handleForget(now, p)
		return
	case baobabstep.PurposeNone, baobabstep.PurposeForward, baobabstep.PurposeLearn:
	}
	if en := g.ledger[p.Flow]; en != nil {
		g.handleKnown(now, en, p, out)
		return
	}
	if t, ok := g.tombstones.get(now, g.engine.opts.RetransmissionWindow, g.engine.hash(p.Flow)); ok {
		g.handleTombstone(now, t, p, out)
		return
	}
	if next := g.nextVM(now, p); next != 0 {
		g.forward(next, p, out)
		return
	}
	switch p.Kind {
	case baobabstep.KindRequest:
		g.admitNew(now, p, out)
	case baobabstep.KindCancel:
		g.recordEarlyCancel(now, p)
	case baobabstep.KindAnswer, baobabstep.KindRefusal:
		g.engine.stats.lateAnswers.Add(1)
	default:
	}
}

// nextVM returns the VM that should handle a packet of a request that has no
// entry here, or 0 if that is this VM. Answers are forwarded to all VMs of the
// present and former sets in turn, since the VM that sent the attempt may no
// longer be the dispatcher, or not yet be it in this VM's view.
func (g *group) nextVM(now time.Time, p *baobabstep.Packet) baobabstep.VMID {
	self := g.engine.opts.Self
	dispatcher := g.set.dispatcher
	if dispatcher != 0 && dispatcher != self && !alreadyTried(p, dispatcher) {
		return dispatcher
	}
	if dispatcher == self && g.engine.stopping.Load() {
		// The answers to forwarded requests also arrive here until the other VMs
		// have learned that this VM has left.
		if p.Route.Purpose == baobabstep.PurposeForward {
			g.engine.lastStopForward.Store(now.UnixNano())
		}
		return g.successor(p)
	}
	if p.Kind == baobabstep.KindRequest {
		return 0
	}
	if vm := g.firstUntried(g.set.members, p); vm != 0 {
		return vm
	}
	for i := len(g.formerSets) - 1; i >= 0; i-- {
		if vm := g.firstUntried(g.formerSets[i].set.members, p); vm != 0 {
			return vm
		}
	}
	return 0
}

// firstUntried returns the first of the VMs to which the packet can be forwarded,
// or 0.
func (g *group) firstUntried(vms []baobabstep.VMID, p *baobabstep.Packet) baobabstep.VMID {
	for _, vm := range vms {
		if vm != g.engine.opts.Self && !alreadyTried(p, vm) && g.fleet.contains(vm) && !g.fleet.isSuspect(vm) {
			return vm
		}
	}
	return 0
}

// successor returns the VM that takes over from this one while it stops, or 0. A
// request that the successor itself forwarded here, because of its older view,
// goes back to it once. Forwarding it to a third VM would create two dispatchers
// that don't know each other's slots.
func (g *group) successor(p *baobabstep.Packet) baobabstep.VMID {
	next := g.fleet.setOf(g.id, g.service, g.engine.opts.Self).dispatcher
	if p.Kind != baobabstep.KindRequest || alreadyTried(p, g.engine.opts.Self) {
		if vm := g.firstUntried([]baobabstep.VMID{next}, p); vm != 0 {
			return vm
		}
		return g.firstUntried(g.set.members, p)
	}
	if p.Route.NTried >= baobabstep.MaxTried-1 {
		return 0
	}
	return next
}

func alreadyTried(p *baobabstep.Packet, vm baobabstep.VMID) bool {
	if p.Route.Purpose == baobabstep.PurposeNone {
		return false
	}
	return p.Route.NTried >= baobabstep.MaxTried || slices.Contains(p.Route.Tried[:p.Route.NTried], vm)
}

// forward sends a packet to another VM and adds this VM to its list of tried
// ones, so that it is not sent back.
func (g *group) forward(to baobabstep.VMID, p *baobabstep.Packet, out *baobabstep.Outbox) {
	g.engine.stats.forwarded.Add(1)
	q := *p
	if q.Route.Purpose == baobabstep.PurposeNone {
		q.Route = baobabstep.Route{}
	}
	q.Service = g.service.ID
	q.Route.Purpose = baobabstep.PurposeForward
	q.Route.From = g.engine.opts.Self
	if q.Route.NTried < baobabstep.MaxTried {
		q.Route.Tried[q.Route.NTried] = g.engine.opts.Self
		q.Route.NTried++
	}
	if g.engine.paused.Load() && q.Kind == baobabstep.KindRequest {
		// The packet may have been buffered here for the length of the pause, so
		// it can no longer be treated as a first transmission.
		q.Seq = max(q.Seq, 1)
	}
	out.ToVM(to, &q)
}

// slotQuery returns the query for a slot of this group.
func (g *group) slotQuery(exclude baobabstep.TargetID) target.SlotQuery {
	return target.SlotQuery{
		Service: g.service,
		Group:   g.id.index,
		Groups:  g.id.groups,
		Exclude: exclude,
	}
}
