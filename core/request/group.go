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
	// groups is part of the identity: with another number of groups the
	// same index stands for other targets and other keys.
	groups int
}

// groupOf returns the group that a request belongs to.
func groupOf(s *baobabstep.Service, h baobabstep.KeyHash) groupID {
	groups := target.Groups(len(s.Targets))
	return groupID{service: s.ID, index: int(binary.LittleEndian.Uint64(h[:8]) % uint64(groups)), groups: groups}
}

// group is the ledger and the queues of one group of targets.
type group struct {
	shard   *shard
	engine  *Engine
	id      groupID
	service *baobabstep.Service
	fleet   *fleet
	set     set
	former  []formerSet
	// took is when this VM began to dispatch, lastServed when it last did.
	took, lastServed time.Time

	ledger     map[baobabstep.FlowKey]*entry
	tombstones tombstones
	// open counts the requests that this VM owns and has not finished.
	open   int
	queues [2]queue
	// lost is the smoothed share of attempts that ended in silence.
	lost float64
	// running lists attempts in the order of their hand-over; those that
	// ended stay until they reach the front.
	running []running
	// ordinaryCredit grows with each slot given away while both classes
	// wait; at 1 the next slot is an ordinary request's.
	ordinaryCredit float64
	// returns is the time up to which refused callers were told to return.
	returns time.Time
	// retryTokens is what is left of the retry budget.
	retryTokens float64
	capacity    capacity
}

// running is one attempt that was handed over.
type running struct {
	entry   *entry
	attempt uint16
}

// holds tells whether the attempt still has its slot.
func (r running) holds() bool { return r.entry.slot && r.entry.attempt == r.attempt }

// capacity is what the group's targets can do, looked up now and then.
type capacity struct {
	at          time.Time
	slots       int
	serviceTime time.Duration
}

const (
	capacityAge = 20 * time.Millisecond
	// defaultServiceTime stands in until a service time was seen.
	defaultServiceTime = 10 * time.Millisecond
)

func (s *shard) group(now time.Time, f *fleet, service *baobabstep.Service, id groupID) *group {
	g := s.groups[id]
	if g == nil {
		g = &group{shard: s, engine: s.engine, id: id, ledger: make(map[baobabstep.FlowKey]*entry), retryTokens: maxRetryTokens}
		s.groups[id] = g
		s.used.Store(true)
		g.service = service
		g.start(now, f)
	}
	g.service = service
	return g
}

func (g *group) refreshCapacity(now time.Time) {
	if now.Sub(g.capacity.at) < capacityAge && !g.capacity.at.IsZero() {
		return
	}
	slots, serviceTime := g.engine.opts.Targets.Slots(now, g.id.service, g.id.index, g.id.groups)
	if serviceTime <= 0 {
		serviceTime = defaultServiceTime
	}
	g.capacity = capacity{at: now, slots: slots, serviceTime: serviceTime}
}

// idleGap is the time without a request after which a VM that is not the
// dispatcher begins anew to serve what is passed on to it.
const idleGap = time.Second

// serving notes that this VM dispatches. It may do so against its own view,
// when a VM with a newer one passed a request on to it.
func (g *group) serving(now time.Time) {
	if g.set.acting != g.engine.opts.Self && now.Sub(g.lastServed) > idleGap {
		g.took = now
	}
	g.lastServed = now
}

// takingOver tells whether the attempts of a former dispatcher may still fill
// slots that this VM takes for free. A target refuses what finds no slot, and
// a request that is not idempotent is not handed over twice, so it waits for
// the few service times that this lasts.
func (g *group) takingOver(now time.Time) bool {
	return now.Sub(g.took) < min(takeOverTimes*g.capacity.serviceTime, maxTakeOver)
}

const (
	takeOverTimes = 6
	maxTakeOver   = 300 * time.Millisecond
)

// handle routes a packet to this VM's ledger or to the VM that keeps it.
func (g *group) handle(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	switch p.Route.Purpose {
	case baobabstep.PurposeReplicate:
		g.storeClaim(now, p, out)
		return
	case baobabstep.PurposeStored:
		g.claimAnswered(now, p, out)
		return
	case baobabstep.PurposeForget:
		g.forget(now, p)
		return
	case baobabstep.PurposeNone, baobabstep.PurposeForward, baobabstep.PurposeLearn:
	}
	if en := g.ledger[p.Flow]; en != nil {
		g.handleKnown(now, en, p, out)
		return
	}
	if t, ok := g.tombstones.get(now, g.engine.opts.Remember, g.engine.hash(p.Flow)); ok {
		g.handleTombstone(now, t, p, out)
		return
	}
	if next := g.next(now, p); next != 0 {
		g.forward(next, p, out)
		return
	}
	switch p.Kind {
	case baobabstep.KindRequest:
		g.admitFirst(now, p, out)
	case baobabstep.KindCancel:
		g.cancelUnknown(now, p)
	case baobabstep.KindAnswer, baobabstep.KindRefusal:
		g.engine.stats.lateAnswers.Add(1)
	default:
	}
}

// next returns the VM that should handle a packet of a request that this VM
// does not know, or 0 if that is this VM. Answers search all of the set
// and of the former ones, since the VM that sent the attempt may no longer be,
// or not yet be, the dispatcher.
func (g *group) next(now time.Time, p *baobabstep.Packet) baobabstep.VMID {
	self := g.engine.opts.Self
	acting := g.set.acting
	if acting != 0 && acting != self && !tried(p, acting) {
		return acting
	}
	if acting == self && g.engine.stopping.Load() {
		// The answers to what was passed on come here too, as long as
		// the others have not seen this VM leave.
		if p.Route.Purpose == baobabstep.PurposeForward {
			g.engine.lastPassed.Store(now.UnixNano())
		}
		return g.successor(p)
	}
	if p.Kind == baobabstep.KindRequest {
		return 0
	}
	if vm := g.untried(g.set.members, p); vm != 0 {
		return vm
	}
	for i := len(g.former) - 1; i >= 0; i-- {
		if vm := g.untried(g.former[i].set.members, p); vm != 0 {
			return vm
		}
	}
	return 0
}

// untried returns the first of the VMs that may be asked, or 0.
func (g *group) untried(vms []baobabstep.VMID, p *baobabstep.Packet) baobabstep.VMID {
	for _, vm := range vms {
		if vm != g.engine.opts.Self && !tried(p, vm) && g.fleet.has(vm) && !g.fleet.suspect(vm) {
			return vm
		}
	}
	return 0
}

// successor returns the VM that takes over from one that is stopping, or 0. A
// request that this VM passed on here, in its older view, goes back to it, once:
// with a third VM there would be two dispatchers that
// know nothing of each other's slots.
func (g *group) successor(p *baobabstep.Packet) baobabstep.VMID {
	next := g.fleet.setOf(g.id, g.service, g.engine.opts.Self).acting
	if p.Kind != baobabstep.KindRequest || tried(p, g.engine.opts.Self) {
		if vm := g.untried([]baobabstep.VMID{next}, p); vm != 0 {
			return vm
		}
		return g.untried(g.set.members, p)
	}
	if p.Route.NTried >= baobabstep.MaxTried-1 {
		return 0
	}
	return next
}

func tried(p *baobabstep.Packet, vm baobabstep.VMID) bool {
	if p.Route.Purpose == baobabstep.PurposeNone {
		return false
	}
	return p.Route.NTried >= baobabstep.MaxTried || slices.Contains(p.Route.Tried[:p.Route.NTried], vm)
}

// forward passes a packet on, and notes this VM so that no VM asks it again.
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
		// The packet may have waited here for as long as the pause was;
		// it is no longer known to be a first transmission.
		q.Seq = max(q.Seq, 1)
	}
	out.VM(to, &q)
}

// slotQuery describes the group to the chooser of targets.
func (g *group) slotQuery(exclude baobabstep.TargetID) target.Slot {
	return target.Slot{
		Service: g.service,
		Group:   g.id.index,
		Groups:  g.id.groups,
		Exclude: exclude,
	}
}
