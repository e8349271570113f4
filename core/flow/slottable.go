package flow

import (
	"sync/atomic"
	"time"

	"baobabstep"
	"baobabstep/core/place"
)

// slotTable is a baseline policy that keeps state only for displaced flows.
// Each service maps a fixed number of slots to targets. A flow in a slot whose
// target never changed needs no state. After a change, data of the slot goes
// to the previous target, and flows opened since are exceptions, stored by the
// one VM that holds the slot.
//
// Its known faults: a slot that changed twice has lost its first target, and
// exceptions are lost with their VM.
type slotTable struct {
	self    baobabstep.VMID
	current atomic.Pointer[slotSnapshot]
	flows   localTable
}

type slotSnapshot struct {
	config *baobabstep.Config
	table  *place.Table
	// services holds the slots of each service.
	services map[baobabstep.ServiceID][]slotTargets
}

// slotTargets holds the target for new flows of a slot and the one for flows
// opened before the last change. A zero target means none.
type slotTargets struct{ current, previous baobabstep.Target }

const slotsPerService = 1024

func newSlotTable(self baobabstep.VMID) *slotTable {
	t := &slotTable{self: self, flows: newLocalTable()}
	t.current.Store(&slotSnapshot{services: map[baobabstep.ServiceID][]slotTargets{}})
	return t
}

// SetConfig recomputes the slots and keeps each slot's previous target.
func (t *slotTable) SetConfig(_ time.Time, c *baobabstep.Config) {
	old := t.current.Load()
	next := &slotSnapshot{config: c, table: old.table, services: make(map[baobabstep.ServiceID][]slotTargets)}
	for i := range c.Services {
		s := &c.Services[i]
		next.services[s.ID] = nextSlots(s, old.services[s.ID])
	}
	t.current.Store(next)
}

func nextSlots(s *baobabstep.Service, old []slotTargets) []slotTargets {
	slots := make([]slotTargets, slotsPerService)
	for i := range slots {
		if tg := bestTarget(s, baobabstep.KeyHash{byte(i), byte(i >> 8)}); tg != nil {
			slots[i].current = *tg
		}
		switch {
		case old == nil:
		case old[i].current.ID != slots[i].current.ID:
			slots[i].previous = old[i].current
		default:
			slots[i].previous = old[i].previous
		}
	}
	return slots
}

// SetView updates the assignment of slots to VMs.
func (t *slotTable) SetView(_ time.Time, v *baobabstep.View) {
	next := *t.current.Load()
	next.table = place.New(v)
	t.current.Store(&next)
}

// SetPaused has no effect.
func (t *slotTable) SetPaused(time.Time, bool) {}

// Handle sends a packet to its target, the holder of its slot or its caller.
func (t *slotTable) Handle(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	snap := t.current.Load()
	switch {
	case snap.config == nil || snap.table == nil:
		return
	case p.FromTarget:
		out.ToCaller(p)
		return
	}
	s := snap.config.ServiceAt(p.Flow.Service)
	if s == nil {
		sendRefusal(p, out)
		return
	}
	hash := place.Hash(snap.config.FlowSecret, p.Flow)
	slot := snap.services[s.ID][place.Slot(hash)%slotsPerService]
	holder := snap.table.Owners(hash, s.DataCentres).Holder
	changed := slot.previous.ID != 0
	if changed && holder != t.self && p.Route.Purpose == baobabstep.PurposeNone {
		passed := *p
		passed.Route = baobabstep.Route{Purpose: baobabstep.PurposeForward, From: t.self}
		out.ToVM(holder, &passed)
		return
	}
	tg := t.choose(now, hash, slot, p)
	if tg.ID == 0 {
		sendRefusal(p, out)
		return
	}
	sendTo(&tg, snap.config.Version, p, out)
}

// choose returns the target of a packet and stores exceptions.
func (t *slotTable) choose(now time.Time, hash baobabstep.KeyHash, slot slotTargets, p *baobabstep.Packet) baobabstep.Target {
	if slot.previous.ID == 0 {
		return slot.current
	}
	flow, found := t.flows.get(hash)
	switch {
	case found:
	case p.Kind == baobabstep.KindOpen:
		flow = localFlow{target: slot.current}
	default:
		return slot.previous
	}
	flow.heard = now
	t.flows.put(hash, flow, p.Kind)
	return flow.target
}

// Tick removes exceptions that were idle for localTTL.
func (t *slotTable) Tick(now time.Time, _ *baobabstep.Outbox) { t.flows.expire(now) }

// Stop returns 0, since the policy hands nothing over.
func (t *slotTable) Stop(time.Time, *baobabstep.Outbox) int { return 0 }

// Stats returns the number of exceptions.
func (t *slotTable) Stats() Stats { return t.flows.stats() }

// Explain returns the target of an exception.
func (t *slotTable) Explain(key baobabstep.FlowKey) (Explanation, bool) {
	snap := t.current.Load()
	if snap.config == nil {
		return Explanation{Flow: key}, false
	}
	flow, found := t.flows.get(place.Hash(snap.config.FlowSecret, key))
	return Explanation{Flow: key, Role: "entry", Target: flow.target.ID, Service: flow.target.Service}, found
}
