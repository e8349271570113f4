package baobabstep

import (
	"net/netip"
	"time"
)

// Config is one version of the whole configuration, rendered from templates and
// accounts. It is immutable once published.
type Config struct {
	// Version grows by one with each accepted change.
	Version uint64
	// Digest is the hash of the version's content.
	Digest [32]byte
	// FlowSecret is the key of the flow key hash.
	FlowSecret [16]byte
	Services   []Service
	// Quarantine lists addresses that recently moved between services.
	Quarantine []Quarantine

	serviceByAddress map[netip.AddrPort]*Service
	serviceByID      map[ServiceID]*Service
	targetByID       map[TargetID]*Target
}

// Service is one service of one client account.
type Service struct {
	ID ServiceID
	// Name is "account/service".
	Name    string
	Account string
	// Address is the address that callers use.
	Address netip.AddrPort
	// Stream says that callers connect over TCP, so that one VM sees the whole
	// connection; otherwise packets arrive through the fabric.
	Stream bool
	// DataCentres lists the data centres that may serve it.
	DataCentres []string
	Targets     []Target
	// MaxTimeout is the upper limit of a request's timeout.
	MaxTimeout time.Duration
	// DefaultTimeout applies to requests without a timeout.
	DefaultTimeout time.Duration
	// OrdinaryFloor is the minimum share of slots, 0 to 1, that ordinary
	// requests get while urgent ones wait.
	OrdinaryFloor float64
	// RetryShare is the retry budget as a share of successes, 0 to 1.
	RetryShare float64
	// QueueLimit is the maximum number of waiting requests per target slot.
	QueueLimit int
	// MaxEjectedShare is the maximum share of targets that may be ejected.
	MaxEjectedShare float64
	// ClassRules override the class of requests by the caller's address.
	ClassRules []ClassRule
}

// ClassRule sets the class of requests from callers within a prefix, whatever
// class they ask for.
type ClassRule struct {
	Callers netip.Prefix
	Class   Class
}

// ClassOf returns the class of the first rule that matches the caller,
// otherwise the class asked for.
func (s *Service) ClassOf(caller netip.Addr, asked Class) Class {
	for _, r := range s.ClassRules {
		if r.Callers.Contains(caller) {
			return r.Class
		}
	}
	return asked
}

// Target is one back end: a process on a host that serves one service.
type Target struct {
	ID         TargetID
	Name       string
	Service    ServiceID
	Address    netip.AddrPort
	DataCentre string
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Connections is the maximum number of concurrent flows.
	Connections int
	// Drained is set by an operator: no new work, but established flows stay.
	Drained bool
}

// Quarantine marks a target address that recently left a service. Until version
// Until is in force everywhere, it gets no work of another service.
type Quarantine struct {
	Address netip.AddrPort
	Service ServiceID
	Until   uint64
}

// Index builds the look-up tables. It is called once, before publication.
func (c *Config) Index() {
	c.serviceByAddress = make(map[netip.AddrPort]*Service, len(c.Services))
	c.serviceByID = make(map[ServiceID]*Service, len(c.Services))
	c.targetByID = make(map[TargetID]*Target)
	for i := range c.Services {
		s := &c.Services[i]
		c.serviceByAddress[s.Address] = s
		c.serviceByID[s.ID] = s
		for j := range s.Targets {
			c.targetByID[s.Targets[j].ID] = &s.Targets[j]
		}
	}
}

// ServiceAt returns the service at address, or nil.
func (c *Config) ServiceAt(address netip.AddrPort) *Service { return c.serviceByAddress[address] }

// Service returns the service with the given identifier, or nil.
func (c *Config) Service(id ServiceID) *Service { return c.serviceByID[id] }

// Target returns the target with the given identifier, or nil.
func (c *Config) Target(id TargetID) *Target { return c.targetByID[id] }
