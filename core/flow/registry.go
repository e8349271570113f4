package flow

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"baobabstep"
)

// target is a registry entry. It outlives the target's removal from the
// configuration while flows use it, since an established flow keeps the
// address on which it was opened. The identity is immutable: a target that
// gets another service or address gets another entry.
type target struct {
	id         baobabstep.TargetID
	service    baobabstep.ServiceID
	address    netip.AddrPort
	dataCentre string
	// flows counts the records that use the target.
	flows atomic.Int64
	// addressTaken is set while the configuration assigns the address to
	// another service. Packets of this service must not be sent there.
	addressTaken atomic.Bool
	// unused is set if the last sweep found the target unused; guarded by
	// registry.mu.
	unused bool
	// lastPacket is the tick of the last packet from the target.
	lastPacket atomic.Uint32
	// lastAck is the tick of its last answer to a probe from this VM.
	lastAck atomic.Uint32
	// unansweredProbes counts the probes since lastAck that went
	// unanswered while the path to the target was suspected.
	unansweredProbes atomic.Uint32
}

// service is a registry entry for a service at one of its addresses.
type service struct {
	id          baobabstep.ServiceID
	address     netip.AddrPort
	dataCentres []string
	// addressMoved is set while the configuration assigns the address to
	// another service.
	addressMoved atomic.Bool
	// previous holds the data centres before the last change of the list;
	// records may still be placed according to them.
	previous []string
}

type serviceKey struct {
	id      baobabstep.ServiceID
	address netip.AddrPort
}

// registry maps targets and services to indexes, so that a record refers to
// each in four bytes. Look-ups by index take no lock.
type registry struct {
	targets  atomic.Pointer[[]*target]
	services atomic.Pointer[[]*service]

	mu               sync.RWMutex
	targetByID       map[baobabstep.TargetID]uint32
	targetsByService map[baobabstep.ServiceID][]uint32
	serviceByKey     map[serviceKey]uint32
	serviceByAddr    map[netip.AddrPort]uint32
	// addressOwner maps a target address to its configured service.
	addressOwner map[netip.AddrPort]baobabstep.ServiceID
	// nextSweep is the number of targets at which the next sweep is due,
	// and sweepEvery the number of targets from one sweep to the next.
	nextSweep, sweepEvery int
}

func newRegistry() *registry {
	reg := &registry{
		nextSweep:        sweepEvery,
		sweepEvery:       sweepEvery,
		targetByID:       make(map[baobabstep.TargetID]uint32),
		targetsByService: make(map[baobabstep.ServiceID][]uint32),
		serviceByKey:     make(map[serviceKey]uint32),
		serviceByAddr:    make(map[netip.AddrPort]uint32),
		addressOwner:     make(map[netip.AddrPort]baobabstep.ServiceID),
	}
	reg.targets.Store(new([]*target))
	reg.services.Store(new([]*service))
	return reg
}

func (reg *registry) target(i uint32) *target   { return (*reg.targets.Load())[i] }
func (reg *registry) service(i uint32) *service { return (*reg.services.Load())[i] }

// loadConfig applies a configuration. It reports whether the data centres of a
// service changed, which changes the owners of its flows.
func (reg *registry) loadConfig(c *baobabstep.Config) (moved bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	clear(reg.addressOwner)
	for i := range c.Services {
		s := &c.Services[i]
		moved = reg.addService(s) || moved
		for j := range s.Targets {
			reg.addTarget(&s.Targets[j])
			reg.addressOwner[s.Targets[j].Address] = s.ID
		}
	}
	for _, t := range *reg.targets.Load() {
		if t != nil {
			t.addressTaken.Store(reg.isAddressTaken(t))
		}
	}
	for _, s := range *reg.services.Load() {
		current := c.ServiceAt(s.address)
		s.addressMoved.Store(current != nil && current.ID != s.id)
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
	if equalStrings(old.dataCentres, s.DataCentres) {
		return false
	}
	list := append([]*service(nil), *reg.services.Load()...)
	list[i] = &service{id: s.ID, address: s.Address, dataCentres: s.DataCentres, previous: old.dataCentres}
	reg.services.Store(&list)
	return true
}

func equalStrings(a, b []string) bool {
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

// addTarget adds an entry unless the target is known with the same service and
// address.
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
	reg.targetsByService[t.service] = append(reg.targetsByService[t.service], i)
	return i
}

// sweepEvery is the number of new targets after which unused ones are dropped.
const sweepEvery = 1 << 16

// sweep drops targets that neither flows nor the configuration used at two
// consecutive sweeps. The first sweep only marks them, since a packet being
// handled may have looked one up for a new record. Indexes are never reused.
func (reg *registry) sweep(c *baobabstep.Config) {
	old := *reg.targets.Load()
	if len(old) < reg.nextSweep {
		return
	}
	reg.nextSweep = len(old) + reg.sweepEvery
	list := append([]*target(nil), old...)
	clear(reg.targetsByService)
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
		reg.targetsByService[t.service] = append(reg.targetsByService[t.service], uint32(i))
	}
	reg.targets.Store(&list)
}

// findTarget returns the index of a target of a service.
func (reg *registry) findTarget(id baobabstep.TargetID, of baobabstep.ServiceID) (uint32, bool) {
	reg.mu.RLock()
	i, found := reg.targetByID[id]
	reg.mu.RUnlock()
	return i, found && reg.target(i).service == of
}

// findOrAddTarget returns the index of the target in another VM's record. This
// VM's configuration may not have the target yet, or not any more.
func (reg *registry) findOrAddTarget(in baobabstep.Record) uint32 {
	if i, found := reg.findTarget(in.Target, in.Service); found && reg.target(i).hasAddress(in.Address) {
		return i
	}
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for _, i := range reg.targetsByService[in.Service] {
		if t := reg.target(i); t != nil && t.id == in.Target && t.hasAddress(in.Address) {
			return i
		}
	}
	current, known := reg.targetByID[in.Target]
	t := &target{id: in.Target, service: in.Service, address: in.Address}
	t.addressTaken.Store(reg.isAddressTaken(t))
	i := reg.appendTarget(t)
	if known {
		reg.targetByID[in.Target] = current
	}
	return i
}

// hasAddress reports whether the target has the address; an invalid address,
// which stands for an unknown one, always matches.
func (t *target) hasAddress(address netip.AddrPort) bool {
	return !address.IsValid() || t.address == address
}

// isAddressTaken reports whether the configuration assigns the target's
// address to another service.
func (reg *registry) isAddressTaken(t *target) bool {
	current, found := reg.addressOwner[t.address]
	return found && current != t.service
}

// findService returns the index of the service at the caller's destination
// address; id 0 selects the service that has the address in the configuration.
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
	for _, i := range reg.targetsByService[id] {
		if t := reg.target(i); t != nil {
			f(t)
		}
	}
}
