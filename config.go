package baobabstep

import (
	"net/netip"
	"time"
)

// Config is the whole configuration in force at one version, rendered from
// templates and accounts. It is immutable once published.
type Config struct {
	// Version grows by one with each accepted change.
	Version uint64
	// Digest identifies the content of the version.
	Digest [32]byte
	// FlowSecret keys the hash of flow keys.
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
	// Address is where callers reach the service.
	Address netip.AddrPort
	// Stream says that callers connect over TCP and that one VM sees the
	// whole connection; otherwise packets come through the fabric.
	Stream bool
	// DataCentres lists the data centres that may serve it.
	DataCentres []string
	Targets     []Target
	// MaxTimeout bounds the time any request may take.
	MaxTimeout time.Duration
	// DefaultTimeout is used when a caller gives none.
	DefaultTimeout time.Duration
	// OrdinaryFloor is the least share, 0 to 1, of slots that ordinary
	// requests get while urgent ones wait.
	OrdinaryFloor float64
	// RetryShare is the retry budget as a share of successes, 0 to 1.
	RetryShare float64
	// QueueLimit bounds the requests waiting per target slot.
	QueueLimit int
	// MaxEjectedShare bounds the share of targets that may be ejected.
	MaxEjectedShare float64
	// ClassRules set the class of requests by their callers' addresses.
	ClassRules []ClassRule
}

// ClassRule gives requests from callers within a prefix a class, whatever
// class the callers ask for.
type ClassRule struct {
	Callers netip.Prefix
	Class   Class
}

// ClassOf returns the class of a request: that of the first rule that covers
// the caller, else the one asked for.
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
	// Slots is the number of requests it runs at once.
	Slots int
	// Connections is the number of flows it holds at once.
	Connections int
	// Drained is set by an operator: no new work, established flows stay.
	Drained bool
}

// Quarantine marks a target address that recently left a service. Until the
// version Until is in force everywhere it gets no work from another service.
type Quarantine struct {
	Address netip.AddrPort
	Service ServiceID
	Until   uint64
}

// Index prepares the look-up tables. It is called once, before publication.
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

// ServiceAt returns the service reached at address, or nil.
func (c *Config) ServiceAt(address netip.AddrPort) *Service { return c.serviceByAddress[address] }

// Service returns the service with the given identifier, or nil.
func (c *Config) Service(id ServiceID) *Service { return c.serviceByID[id] }

// Target returns the target with the given identifier, or nil.
func (c *Config) Target(id TargetID) *Target { return c.targetByID[id] }
