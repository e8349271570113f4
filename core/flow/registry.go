package flow

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"baobabstep"
)

// target is what the router knows of a target. It stays known after the
// configuration dropped it, as long as flows use it: an established flow goes
// to the address it was opened on. The identity never changes; a target that
// got another service or address is another entry.
type target struct {
	id         baobabstep.TargetID
	service    baobabstep.ServiceID
	address    netip.AddrPort
	dataCentre string
	// flows counts the records that name the target.
	flows atomic.Int64
	// taken is set while the configuration gives the address to another
	// service: nothing may be sent there for the old one.
	taken atomic.Bool
	// heard is the tick of the last packet from the target.
	heard atomic.Uint32
	// acked is the tick of its last answer to a probe of this VM.
	acked atomic.Uint32
	// silent counts unanswered probes since, while its path was in doubt.
	silent atomic.Uint32
}

// service is a service as callers address it.
type service struct {
	id          baobabstep.ServiceID
	address     netip.AddrPort
	dataCentres []string
	// moved is set while the configuration gives the address to another
	// service.
	moved atomic.Bool
	// previous are the data centres before the last change of the list;
	// records may still be placed by them.
	previous []string
}

type serviceKey struct {
	id      baobabstep.ServiceID
	address netip.AddrPort
}

// registry numbers targets and services, so that a record names each in four
// bytes. Look-ups by number take no lock.
type registry struct {
	targets  atomic.Pointer[[]*target]
	services atomic.Pointer[[]*service]

	mu            sync.RWMutex
	targetByID    map[baobabstep.TargetID]uint32
	byService     map[baobabstep.ServiceID][]uint32
	serviceByKey  map[serviceKey]uint32
	serviceByAddr map[netip.AddrPort]uint32
}

func newRegistry() *registry {
	reg := &registry{
		targetByID:    make(map[baobabstep.TargetID]uint32),
		byService:     make(map[baobabstep.ServiceID][]uint32),
		serviceByKey:  make(map[serviceKey]uint32),
		serviceByAddr: make(map[netip.AddrPort]uint32),
	}
	reg.targets.Store(new([]*target))
	reg.services.Store(new([]*service))
	return reg
}

func (reg *registry) target(i uint32) *target   { return (*reg.targets.Load())[i] }
func (reg *registry) service(i uint32) *service { return (*reg.services.Load())[i] }

// load takes in a configuration. It reports whether the data centres of a
// service changed, and with it the place of its records.
func (reg *registry) load(c *baobabstep.Config) (moved bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	owner := make(map[netip.AddrPort]baobabstep.ServiceID)
	for i := range c.Services {
		s := &c.Services[i]
		moved = reg.addService(s) || moved
		for j := range s.Targets {
			reg.addTarget(&s.Targets[j])
			owner[s.Targets[j].Address] = s.ID
		}
	}
	for _, t := range *reg.targets.Load() {
		if t == nil {
			continue
		}
		now, found := owner[t.address]
		t.taken.Store(found && now != t.service)
	}
	for _, s := range *reg.services.Load() {
		now := c.ServiceAt(s.address)
		s.moved.Store(now != nil && now.ID != s.id)
	}
	reg.sweep(c)
	return moved
}

func (reg *registry) addService(s *baobabstep.Service) (moved bool) {
	key := serviceKey{s.ID, s.Address}
	i, found := reg.serviceByKey[key]
	if !found {
		i = reg.appendService(&service{id: s.ID, address: s.Address, dataCentres: s.DataCentres})
		reg.serviceByKey[key] = i
		reg.serviceByAddr[s.Address] = i
		return false
	}
	reg.serviceByAddr[s.Address] = i
	old := reg.service(i)
	if equal(old.dataCentres, s.DataCentres) {
		return false
	}
	list := append([]*service(nil), *reg.services.Load()...)
	list[i] = &service{id: s.ID, address: s.Address, dataCentres: s.DataCentres, previous: old.dataCentres}
	reg.services.Store(&list)
	return true
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (reg *registry) appendService(s *service) uint32 {
	list := append(*reg.services.Load(), s)
	reg.services.Store(&list)
	return uint32(len(list) - 1)
}

// addTarget makes sure that the target is known as configured.
func (reg *registry) addTarget(t *baobabstep.Target) {
	if i, found := reg.targetByID[t.ID]; found {
		if known := reg.target(i); known.service == t.Service && known.address == t.Address {
			return
		}
	}
	reg.appendTarget(&target{id: t.ID, service: t.Service, address: t.Address, dataCentre: t.DataCentre})
}

func (reg *registry) appendTarget(t *target) uint32 {
	list := append(*reg.targets.Load(), t)
	reg.targets.Store(&list)
	i := uint32(len(list) - 1)
	reg.targetByID[t.id] = i
	reg.byService[t.service] = append(reg.byService[t.service], i)
	return i
}

// sweepAt is the number of entries from which unused ones are dropped.
const sweepAt = 1 << 16

// sweep drops targets that neither flows nor the configuration use once there
// are many. Numbers are not used again, so a stale number finds nil at worst.
func (reg *registry) sweep(c *baobabstep.Config) {
	old := *reg.targets.Load()
	if len(old) < sweepAt || len(old)%sweepAt != 0 {
		return
	}
	list := append([]*target(nil), old...)
	for i, t := range list {
		if t == nil || t.flows.Load() > 0 || c.Target(t.id) != nil {
			continue
		}
		list[i] = nil
		if reg.targetByID[t.id] == uint32(i) {
			delete(reg.targetByID, t.id)
		}
	}
	reg.targets.Store(&list)
}

// findTarget returns the number of a target of a service. A target that this
// VM's configuration does not know yet is added without an address if add is
// set: another VM vouched for it.
func (reg *registry) findTarget(id baobabstep.TargetID, of baobabstep.ServiceID, add bool) (uint32, bool) {
	reg.mu.RLock()
	i, found := reg.targetByID[id]
	reg.mu.RUnlock()
	if found && reg.target(i).service == of {
		return i, true
	}
	if !add {
		return 0, false
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for _, i := range reg.byService[of] {
		if t := reg.target(i); t != nil && t.id == id {
			return i, true
		}
	}
	current, known := reg.targetByID[id]
	i = reg.appendTarget(&target{id: id, service: of})
	if known {
		reg.targetByID[id] = current
	}
	return i, true
}

// findService returns the number of the service that the caller addressed; id
// 0 stands for the one that has the address now.
func (reg *registry) findService(address netip.AddrPort, id baobabstep.ServiceID) (uint32, bool) {
	reg.mu.RLock()
	defer reg.mu.RUnlock()
	if id == 0 {
		i, found := reg.serviceByAddr[address]
		return i, found
	}
	i, found := reg.serviceByKey[serviceKey{id, address}]
	return i, found
}

// targetsOf calls f with each known target of a service.
func (reg *registry) targetsOf(id baobabstep.ServiceID, f func(*target)) {
	reg.mu.RLock()
	defer reg.mu.RUnlock()
	for _, i := range reg.byService[id] {
		if t := reg.target(i); t != nil {
			f(t)
		}
	}
}
