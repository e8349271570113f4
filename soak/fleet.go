package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"baobabstep/io/setting"
	"baobabstep/platform/standin"
	"baobabstep/standin/local"
)

// Ports of the fleet. Every process has an IP of its own in the fleet's network.
const (
	dataPort    = 8172
	readyPort   = 8167
	peerPort    = 8166
	metricsPort = 8168
	targetPort  = 8700
	storePort   = 8169
)

// Third parts of the IPs; those of VMs and targets are followed by a number.
const (
	storeNet = iota + 1
	vmNet
	linkNet
	targetNet
	callerNet
)

func (f *fleet) at(network, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.network, byte(network), byte(n)}), uint16(port))
}

// grace is the time between SIGTERM and SIGKILL.
const grace = 6 * time.Second

var dataCentres = []string{"a", "b", "c"}

// vm is one VM of the fleet over the lives of its processes.
type vm struct {
	name       string
	settings   string
	log        *os.File
	link       *link
	mu         sync.Mutex
	process    *local.Process
	unexpected int
}

// target is one target and what the run did to it.
type target struct {
	*standin.Target
	registration standin.Registration
	// disturbed is when it was last dark, ended or started, leaving when its
	// draining or its end was written; both zero if never.
	disturbed, leaving time.Time
	gone               bool
}

// What cold targets bear in a second, and what VMs may send them at most.
const (
	coldPerSecond = 4.0
	coldOvershoot = 1.5
	coldSlack     = 5.0
	coldLasts     = 4 * time.Second
)

// fleet is everything that runs.
type fleet struct {
	program, dir string
	// network is the second part of the IPs; serveStore picks it.
	network byte
	store   *standin.Store
	server  *http.Server
	vms     []*vm
	fabric  *standin.Fabric
	callers []*standin.Caller
	judge   *judge
	load    *load

	mu      sync.Mutex
	targets []*target
	nextID  uint64
	version uint64
	routes  []standin.Route
}

// services and their addresses; more addresses come and go in a run.
var services = []string{"fixtures", "results"}

func serviceAddress(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(n + 1)}), 443)
}

func newFleet(o Options, j *judge) (*fleet, error) {
	f := &fleet{program: o.Program, dir: o.Dir, store: standin.NewStore(), judge: j, nextID: 1 << 32}
	if err := f.serveStore(); err != nil {
		return nil, err
	}
	for n := range services {
		f.routes = append(f.routes, standin.Route{Address: serviceAddress(n), Service: services[n]})
	}
	f.store.AddColdLimits(coldPerSecond, coldLasts, services...)
	f.putRoutes()
	for n := range o.Targets {
		if err := f.addTarget(n+1, services[min(n%4/3, 1)], dataCentres[n%len(dataCentres)]); err != nil {
			return nil, err
		}
	}
	var known []standin.VM
	for n := range o.VMs {
		known = append(known, standin.VM{DataAddress: f.at(vmNet, n+1, dataPort), ReadyAddress: f.at(vmNet, n+1, readyPort)})
	}
	f.fabric = standin.NewFabric(known)
	for n := range o.VMs {
		if err := f.addVM(n + 1); err != nil {
			return nil, err
		}
	}
	for n := range o.Callers {
		c, err := standin.NewCaller(f.at(callerNet, n+1, dataPort), f.fabric)
		if err != nil {
			return nil, err
		}
		f.callers = append(f.callers, c)
	}
	return f, nil
}

// firstNetwork and networks are the second parts of the IPs a fleet may have,
// so as many fleets run side by side; eight are more than a machine has room for.
const (
	firstNetwork = 77
	networks     = 8
)

// serveStore takes a network that no other fleet has, by its store's address.
func (f *fleet) serveStore() error {
	network, listener, err := local.FreeNet(firstNetwork, networks, 0, f.at(storeNet, 1, storePort))
	if err != nil {
		return err
	}
	f.network = byte(network)
	f.server = &http.Server{Handler: f.store, ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(listener) }() // ends with close
	return nil
}

// putRoutes writes the next version of the routing table; versions grow in
// uneven steps.
func (f *fleet) putRoutes() {
	f.version += 1 + f.version%3
	f.store.PutRoutes(f.version, f.routes)
}

func (f *fleet) addTarget(n int, service, dataCentre string) error {
	return f.startTarget(standin.Registration{Service: service, Address: f.at(targetNet, n, targetPort), DataCentre: dataCentre})
}

// startTarget starts a new run of a target; it says that it is cold if r does.
func (f *fleet) startTarget(r standin.Registration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID += 7919
	r.ID = f.nextID
	f.judge.startedCold(r.ID, time.Now(), r.WarmupLeft)
	t, err := standin.NewTarget(standin.TargetOptions{
		ID: r.ID, Service: r.Service, Address: r.Address, CallerPort: dataPort, RequestDuration: 10 * time.Millisecond, Slots: 8,
		OnRequest: f.judge.ran, OnFlow: func(target uint64) { f.judge.accepted(target, time.Now()) },
	})
	if err != nil {
		return err
	}
	f.targets = append(f.targets, &target{Target: t, registration: r, disturbed: time.Now()})
	f.judge.registered(r.ID, r.Service)
	f.store.Register(r)
	return nil
}

// live returns the targets that have not gone.
func (f *fleet) live() []*target {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*target
	for _, t := range f.targets {
		if !t.gone && t.leaving.IsZero() {
			list = append(list, t)
		}
	}
	return list
}

// byID returns a target, also one that has gone.
func (f *fleet) byID(id uint64) *target {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.targets {
		if t.registration.ID == id {
			return t
		}
	}
	return nil
}

func (f *fleet) addVM(n int) error {
	v := &vm{name: fmt.Sprintf("vm-%d", n), settings: filepath.Join(f.dir, fmt.Sprintf("vm-%d.json", n))}
	var err error
	if v.link, err = newLink(f.at(linkNet, n, storePort).String(), f.at(storeNet, 1, storePort).String()); err != nil {
		return err
	}
	if v.log, err = os.Create(filepath.Join(f.dir, v.name+".log")); err != nil {
		return err
	}
	settings := setting.Settings{
		Name: v.name, Region: "r", DataCentre: dataCentres[(n-1)%len(dataCentres)],
		DataAddress: f.at(vmNet, n, dataPort), PeerAddress: f.at(vmNet, n, peerPort), MetricsAddress: f.at(vmNet, n, metricsPort),
		PlatformURL: "http://" + f.at(linkNet, n, storePort).String(), Seeds: []netip.AddrPort{f.at(vmNet, 1, peerPort), f.at(vmNet, 2, peerPort)},
		Shards: 1, Policy: setting.PolicyToken,
		Token: setting.TokenSettings{ReadyAddress: f.at(vmNet, n, readyPort), DataCentres: dataCentres, ColdOvershoot: coldOvershoot, ColdSlack: coldSlack},
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(v.settings, raw, 0o600); err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	return v.start(f.program)
}

func (v *vm) start(program string) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	p, err := local.Start(v.log, program, v.settings)
	if err != nil {
		return err
	}
	v.process = p
	return nil
}

// restart starts the VM again if its process has ended.
func (v *vm) restart(program string) error {
	v.mu.Lock()
	p := v.process
	v.mu.Unlock()
	if p.Running() {
		return nil
	}
	if p.Crashed() {
		v.unexpected++
	}
	return v.start(program)
}

func (v *vm) current() *local.Process {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.process
}

func (f *fleet) close() {
	var ends sync.WaitGroup
	for _, v := range f.vms {
		ends.Go(func() {
			v.current().End(syscall.SIGTERM, grace)
			v.link.close()
			v.log.Close()
		})
	}
	ends.Wait()
	for _, c := range f.callers {
		c.Close()
	}
	for _, t := range f.targets {
		if !t.gone {
			t.Close()
		}
	}
	f.server.Close()
}
