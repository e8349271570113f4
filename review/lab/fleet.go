package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"baobabstep/platform/standin"
	"baobabstep/standin/local"
)

// Ports, as in the settings of a small deployment.
const (
	dataPort    = 8172
	readyPort   = 8167
	controlPort = 8166
	metricsPort = 7735
	storePort   = 8169
	hostPort    = 8367
)

// Third bytes of the addresses. Each zone has two: one of its VMs and one of its hosts.
const (
	storeNet  = 1
	vmNet     = 10
	hostNet   = 20
	clientNet = 30
)

const (
	firstNetwork = 130
	networks     = 60
	// startLimit is how long the VMs may take to become ready.
	startLimit = 20 * time.Second
	// stopGrace is the time between SIGTERM and SIGKILL.
	stopGrace = 6 * time.Second
	region    = "here"
)

// zone is a zone of the deployment and the number of its VMs.
type zone struct {
	name string
	vms  int
}

// tjffoZones are the zones of the deployment tjffo-draw.
var tjffoZones = []zone{{"hobart-a", 2}, {"kingston-b", 3}, {"glenorchy-c", 1}}

// vm is one VM of the system.
type vm struct {
	name, settings string
	zone           int
	ip             netip.Addr
	log            *os.File
	process        *local.Process

	mu sync.Mutex
	// misses is the number of failed readiness checks in a row.
	misses int
}

// fleet is the system, the platform's store and its routers.
type fleet struct {
	record  *record
	dir     string
	program string
	network byte
	store   *standin.Store
	server  *http.Server
	vms     []*vm
	stop    chan struct{}

	cutLock sync.Mutex
	// watcher is the VM that watched the store last, cut the one that is cut from it.
	watcher, cut netip.Addr
}

// newFleet starts the store; startVMs starts the VMs.
func newFleet(r *record, program string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, program: program, store: standin.NewStore(), stop: make(chan struct{})}
	network, listener, err := local.FreeNet(firstNetwork, networks, os.Getpid()%networks, f.at(storeNet, 1, storePort))
	if err != nil {
		return nil, err
	}
	f.network = byte(network)
	f.server = &http.Server{Handler: f.storeHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = f.server.Serve(listener) }()
	return f, nil
}

// storeHandler serves the store. VMs that are cut from it get no answer, and none gets the
// header that the pages don't name.
func (f *fleet) storeHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := addressOf(r.RemoteAddr)
		if strings.HasSuffix(r.URL.Path, "/kv-watch") {
			f.cutLock.Lock()
			f.watcher = from
			f.cutLock.Unlock()
		}
		answer := httptest.NewRecorder()
		f.store.ServeHTTP(answer, r)
		f.cutLock.Lock()
		cut := from == f.cut
		f.cutLock.Unlock()
		if cut {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", answer.Header().Get("Content-Type"))
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	})
}

// addressOf returns the IP of an address with a port.
func addressOf(address string) netip.Addr {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.Addr{}
	}
	return parsed.Addr().Unmap()
}

// cutWatcher cuts the VM that watches the store from the store, and returns it.
func (f *fleet) cutWatcher() *vm {
	f.cutLock.Lock()
	defer f.cutLock.Unlock()
	f.cut = f.watcher
	for _, v := range f.vms {
		if v.ip == f.cut {
			return v
		}
	}
	return nil
}

// healCut ends the cut.
func (f *fleet) healCut() {
	f.cutLock.Lock()
	defer f.cutLock.Unlock()
	f.cut = netip.Addr{}
}

func (f *fleet) at(network, n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.network, byte(network), byte(n)}), uint16(port))
}

// route is a route of the configuration.
type route struct {
	name, kind, service string
	address             netip.AddrPort
	limitMS, aimMS      int
	priority            int
}

// putConfig writes a configuration, as the operator does.
func (f *fleet) putConfig(version int, maxConnections int, routes ...route) error {
	var list, services []map[string]any
	known := map[string]bool{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "hostname": r.address.Addr().String(), "prefix": fmt.Sprintf("/%d/", r.address.Port()), "type": r.kind,
			"timeoutMs": r.limitMS, "targetLatencyMs": r.aimMS, "priority": r.priority, "service": r.service, "maxAttempts": 2,
		})
		if !known[r.service] {
			known[r.service] = true
			services = append(services, map[string]any{"name": r.service, "healthPath": "/health", "maxConnections": maxConnections, "protocol": "h1", "tls": false})
		}
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": list, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	f.store.Write("op/config", raw)
	f.record.notef("operator: configuration %d acknowledged", version)
	return nil
}

// startVMs starts the VMs of the zones and waits until all of them are ready.
func (f *fleet) startVMs(zones []zone) error {
	var seeds []string
	for z, zone := range zones {
		for n := range zone.vms {
			v := &vm{name: fmt.Sprintf("edge-%s-%d", zone.name, n+1), zone: z, ip: f.at(vmNet+z, n+1, 0).Addr()}
			v.settings = filepath.Join(f.dir, v.name+".json")
			f.vms = append(f.vms, v)
			if n == 0 {
				seeds = append(seeds, netip.AddrPortFrom(v.ip, controlPort).String())
			}
		}
	}
	for _, v := range f.vms {
		if err := f.writeSettings(v, zones, seeds); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(f.dir, v.name+".log"))
		if err != nil {
			return err
		}
		v.log = log
		if err := f.startVM(v); err != nil {
			return err
		}
	}
	for _, v := range f.vms {
		go f.check(v)
	}
	deadline := time.Now().Add(startLimit)
	for time.Now().Before(deadline) {
		ready := 0
		for _, v := range f.vms {
			if v.inRotation() && v.process.Running() {
				ready++
			}
		}
		if ready == len(f.vms) {
			f.record.notef("all %d VMs are in rotation", ready)
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the VMs were not ready within %v; logs in %s", startLimit, f.dir)
}

func (f *fleet) startVM(v *vm) (err error) {
	v.misses = 2
	v.process, err = local.Start(v.log, f.program, v.settings)
	f.record.notef("%s starts", v.name)
	return err
}

// writeSettings writes what the deploy file's template gives for a VM.
func (f *fleet) writeSettings(v *vm, zones []zone, seeds []string) error {
	var names []string
	for _, z := range zones {
		names = append(names, z.name)
	}
	at := func(port uint16) string { return netip.AddrPortFrom(v.ip, port).String() }
	raw, err := json.MarshalIndent(map[string]any{
		"name": v.name, "region": region, "data_centre": zones[v.zone].name, "data_address": at(dataPort), "peer_address": at(controlPort),
		"metrics_address": at(metricsPort), "platform_url": "http://" + f.at(storeNet, 1, storePort).String(), "seeds": seeds, "shards": 1, "policy": "token",
		"token": map[string]any{
			"ready_address": at(readyPort), "data_centres": names, "config_apply_ms": 3000, "drain_ms": 3000, "link_mbps": 1000.0,
			"flow_max_s": 60, "stop_grace_s": 6,
		},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(v.settings, raw, 0o600)
}

// check probes the readiness of a VM twice a second, as the platform's routers do.
func (f *fleet) check(v *vm) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}}
	ticker := time.NewTicker(500 * time.Millisecond)
	defer ticker.Stop()
	for {
		response, err := client.Get("http://" + netip.AddrPortFrom(v.ip, readyPort).String() + "/v1/ready")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		v.mu.Lock()
		if ready {
			v.misses = 0
		} else {
			v.misses++
		}
		v.mu.Unlock()
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
	}
}

func (v *vm) inRotation() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.misses < 2
}

// pick returns a function that picks the VM of a flow: the one with the greatest hash of
// those of the zone that are in rotation, or of all of them if fewer than half are.
func (f *fleet) pick(zone int) func(flowID) netip.AddrPort {
	return func(id flowID) netip.AddrPort {
		var all, in []*vm
		for _, v := range f.vms {
			if v.zone == zone {
				all = append(all, v)
				if v.inRotation() {
					in = append(in, v)
				}
			}
		}
		if 2*len(in) < len(all) {
			in = all
		}
		var best *vm
		var most uint64
		for _, v := range in {
			h := fnv.New64a()
			_, _ = h.Write([]byte(id.client.String() + id.route.String() + v.name))
			if s := h.Sum64(); best == nil || s > most {
				best, most = v, s
			}
		}
		return netip.AddrPortFrom(best.ip, dataPort)
	}
}

// isVM returns the name of the VM at an address, or "".
func (f *fleet) isVM(from netip.AddrPort) string {
	for _, v := range f.vms {
		if v.ip == from.Addr().Unmap() {
			return v.name
		}
	}
	return ""
}

// close ends all that the fleet started. It keeps the logs if keep is set.
func (f *fleet) close(keep bool) {
	close(f.stop)
	var all sync.WaitGroup
	for _, v := range f.vms {
		if v.process == nil {
			continue
		}
		if v.process.Crashed() {
			f.record.breakf("%s ended by itself: %v", v.name, v.process.Err())
		}
		all.Go(func() { v.process.End(syscall.SIGKILL, stopGrace) })
	}
	all.Wait()
	_ = f.server.Close()
	if keep {
		f.record.notef("logs of the VMs: %s", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// routeAddress is the address of the route that clients use.
var routeAddress = netip.MustParseAddrPort("127.198.18.1:8443")
