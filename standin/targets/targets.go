// Package targets stands in for the back ends: many targets in one process,
// each on a UDP socket of its own.
//
// A target holds flows up to its connections and runs requests up to its slots;
// past either it refuses. It sends what it has to say to the fabric's front of
// its data centre, never straight to a VM, except for health reports. It keeps
// no secret of what the load balancer did wrong: it counts requests that ran
// twice and work that came after it began to leave.
package targets

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"baobabstep"
	"baobabstep/io/wire"
)

// Settings are those of the whole process.
type Settings struct {
	Seed           uint64 `json:"seed"`
	ControlAddress string `json:"control_address"`
	// Fronts are the fabric's addresses by data centre.
	Fronts map[string]netip.AddrPort `json:"fronts"`
	// VMDataCentres tells the data centre of each VM by its IP.
	VMDataCentres map[netip.Addr]string `json:"vm_data_centres"`
	Targets       []TargetSettings      `json:"targets"`
	// ServiceTimeMS is the mean time to run a request; the times are spread
	// between a half and five times of it.
	ServiceTimeMS int `json:"service_time_ms"`
	// PushIntervalMS is the time between the live updates of a flow.
	PushIntervalMS int `json:"push_interval_ms"`
	// ColdStartMS is the time over which a started target gets up to speed.
	ColdStartMS int `json:"cold_start_ms"`
	// ReportLagMS is the age that a health report may have.
	ReportLagMS int `json:"report_lag_ms"`
}

// TargetSettings are those of one target.
type TargetSettings struct {
	Name string `json:"name"`
	// Service is "account/service".
	Service     string         `json:"service"`
	Address     netip.AddrPort `json:"address"`
	DataCentre  string         `json:"data_centre"`
	Slots       int            `json:"slots"`
	Connections int            `json:"connections"`
	// Down leaves the target stopped until the fault "start".
	Down bool `json:"down"`
}

// Fault changes the named targets, or all of Service if Targets is empty.
type Fault struct {
	Targets []string `json:"targets"`
	Service string   `json:"service"`
	// Action is one of drain, die, start, lie, truth, silent; silent makes
	// the targets forget Share of their flows without a word. partition sets
	// the data centres that are cut off and needs no targets.
	Action string   `json:"action"`
	Share  float64  `json:"share"`
	Cut    []string `json:"cut"`
	// Slow multiplies service times, for the action slow.
	Slow float64 `json:"slow"`
	// ToService is the service that the targets serve from now on, for the
	// action reassign: the same address, given to another service.
	ToService string `json:"to_service"`
	ToName    string `json:"to_name"`
}

// Process is a set of targets.
type Process struct {
	settings Settings
	started  time.Time

	lock    sync.Mutex
	targets map[string]*target
	cut     map[string]bool
	ran     map[uint64]*runs
	wrong   wrongs
	balance map[string]*balance
}

// runs counts how often one request ran.
type runs struct {
	count      int
	idempotent bool
}

// wrongs are the load balancer's faults.
type wrongs struct {
	lateWork        []LateWork
	misrouted       int
	changedRequests int
}

// New checks the settings and makes a process that does not run yet.
func New(s Settings) (*Process, error) {
	p := &Process{
		settings: s,
		started:  time.Now(),
		targets:  make(map[string]*target),
		cut:      make(map[string]bool),
		ran:      make(map[uint64]*runs),
		balance:  make(map[string]*balance),
	}
	for i, ts := range s.Targets {
		if _, taken := p.targets[ts.Name]; taken {
			return nil, errors.Newf("targets[%d]: got name %q twice", i, ts.Name)
		}
		if _, ok := s.Fronts[ts.DataCentre]; !ok {
			return nil, errors.Newf("targets[%d]: got data centre %q without a front", i, ts.DataCentre)
		}
		p.targets[ts.Name] = newTarget(p, ts, rand.New(rand.NewPCG(s.Seed, uint64(i))))
	}
	return p, nil
}

func serviceID(name string) baobabstep.ServiceID {
	account, service, _ := strings.Cut(name, "/")
	return baobabstep.MakeServiceID(account, service)
}

// Run serves all targets until ctx ends.
func (p *Process) Run(ctx context.Context) error {
	for _, ts := range p.settings.Targets {
		if ts.Down {
			continue
		}
		if err := p.targets[ts.Name].start(); err != nil {
			return err
		}
	}
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.stopAll()
			return nil
		case now := <-ticker.C:
			p.sample()
			p.push(now)
		}
	}
}

func (p *Process) stopAll() {
	for _, t := range p.targets {
		t.stop()
	}
}

// push sends the live updates that are due.
func (p *Process) push(now time.Time) {
	for _, t := range p.targets {
		t.push(now)
	}
}

// reaches reports whether a datagram from a VM's address gets to a target.
func (p *Process) reaches(from netip.Addr, dataCentre string) bool {
	p.lock.Lock()
	defer p.lock.Unlock()
	if len(p.cut) == 0 {
		return true
	}
	vm, known := p.settings.VMDataCentres[from]
	return !known || vm == dataCentre || !p.cut[vm] && !p.cut[dataCentre]
}

// Apply makes a fault happen.
func (p *Process) Apply(f Fault) error {
	if f.Action == "partition" {
		p.lock.Lock()
		defer p.lock.Unlock()
		clear(p.cut)
		for _, dc := range f.Cut {
			p.cut[dc] = true
		}
		return nil
	}
	for _, t := range p.choose(f) {
		if err := t.apply(f); err != nil {
			return err
		}
	}
	return nil
}

func (p *Process) choose(f Fault) []*target {
	var chosen []*target
	for _, ts := range p.settings.Targets {
		if ts.Service == f.Service && len(f.Targets) == 0 {
			chosen = append(chosen, p.targets[ts.Name])
		}
	}
	for _, name := range f.Targets {
		if t := p.targets[name]; t != nil {
			chosen = append(chosen, t)
		}
	}
	return chosen
}

// countRun notes that a request ran. Callers never use a number twice, so the
// number alone names the request.
func (p *Process) countRun(number uint64, idempotent bool) {
	p.lock.Lock()
	defer p.lock.Unlock()
	r := p.ran[number]
	if r == nil {
		r = &runs{idempotent: idempotent}
		p.ran[number] = r
	}
	if r.idempotent != idempotent {
		p.wrong.changedRequests++
	}
	r.count++
}

func (p *Process) countWrong(change func(*wrongs)) {
	p.lock.Lock()
	defer p.lock.Unlock()
	change(&p.wrong)
}

// Ran returns which of the requests with these numbers ran at least once.
func (p *Process) Ran(numbers []uint64) []uint64 {
	p.lock.Lock()
	defer p.lock.Unlock()
	ran := []uint64{}
	for _, number := range numbers {
		if p.ran[number] != nil {
			ran = append(ran, number)
		}
	}
	return ran
}

// open binds a target's socket.
func open(address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(socketBuffer)
	return socket, nil
}

const socketBuffer = 1 << 20

// receive reads packets from socket until it is closed.
func receive(socket *net.UDPConn, handle func(p *baobabstep.Packet, from netip.AddrPort)) {
	buf := make([]byte, wire.MaxDatagram+1)
	var p baobabstep.Packet
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || wire.Decode(buf[:n], &p, nil) != nil {
			continue
		}
		handle(&p, from)
	}
}
