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
	// unused is set if the last sweep found no use; under registry.mu.
	unused bool
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
	// owner is the service that the configuration gives an address to.
	owner map[netip.AddrPort]baobabstep.ServiceID
	// nextSweep is the number of targets at which the next sweep is due.
	nextSweep, sweepEvery int
}

func newRegistry() *registry {
	reg := &registry{
		nextSweep:     sweepEvery,
		sweepEvery:    sweepEvery,
		targetByID:    make(map[baobabstep.TargetID]uint32),
		byService:     make(map[baobabstep.ServiceID][]uint32),
		serviceByKey:  make(map[serviceKey]uint32),
		serviceByAddr: make(map[netip.AddrPort]uint32),
		owner:         make(map[netip.AddrPort]baobabstep.ServiceID),
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
	clear(reg.owner)
	for i := range c.Services {
		s := &c.Services[i]
		moved = reg.addService(s) || moved
		for j := range s.Targets {
			reg.addTarget(&s.Targets[j])
			reg.owner[s.Targets[j].Address] = s.ID
		}
	}
	for _, t := range *reg.targets.Load() {
		if t != nil {
			t.taken.Store(reg.takenFrom(t))
		}
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

// sweepEvery is the number of new targets after which unused ones are dropped.
const sweepEvery = 1 << 16

// sweep drops targets that neither flows nor the configuration used at two
// sweeps in a row. The first only marks them, since a packet under way may
// have looked one up for a new record. Numbers are not used again.
func (reg *registry) sweep(c *baobabstep.Config) {
	old := *reg.targets.Load()
	if len(old) < reg.nextSweep {
		return
	}
	reg.nextSweep = len(old) + reg.sweepEvery
	list := append([]*target(nil), old...)
	clear(reg.byService)
	for i, t := range list {
		if t == nil {
			continue
		}
		used := t.flows.Load() > 0 || c.Target(t.id) != nil
		if !used && t.unused {
			list[i] = nil
			if reg.targetByID[t.id] == uint32(i) {
				delete(reg.targetByID, t.id)
			}
			continue
		}
		t.unused = !used
		reg.byService[t.service] = append(reg.byService[t.service], uint32(i))
	}
	reg.targets.Store(&list)
}

// findTarget returns the number of a target of a service.
func (reg *registry) findTarget(id baobabstep.TargetID, of baobabstep.ServiceID) (uint32, bool) {
	reg.mu.RLock()
	i, found := reg.targetByID[id]
	reg.mu.RUnlock()
	return i, found && reg.target(i).service == of
}

// learnTarget returns the number of the target of a record that another VM
// vouched for. This VM's configuration may not have it yet, or not any more.
func (reg *registry) learnTarget(in baobabstep.Record) uint32 {
	if i, found := reg.findTarget(in.Target, in.Service); found && reg.target(i).at(in.Address) {
		return i
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for _, i := range reg.byService[in.Service] {
		if t := reg.target(i); t != nil && t.id == in.Target && t.at(in.Address) {
			return i
		}
	}
	current, known := reg.targetByID[in.Target]
	t := &target{id: in.Target, service: in.Service, address: in.Address}
	t.taken.Store(reg.takenFrom(t))
	i := reg.appendTarget(t)
	if known {
		reg.targetByID[in.Target] = current
	}
	return i
}

// at tells whether the target has the address, or another VM did not say.
func (t *target) at(address netip.AddrPort) bool {
	return !address.IsValid() || t.address == address
}

// takenFrom tells whether the configuration gives the target's address to
// another service.
func (reg *registry) takenFrom(t *target) bool {
	now, found := reg.owner[t.address]
	return found && now != t.service
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
