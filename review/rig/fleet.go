// Package rig starts baobabstepd processes before small stand-ins of the users'
// platform: its store, routers, hosts and clients. The cases of the review use it.
package rig

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Third parts of the addresses.
const (
	storeNet = iota + 1
	vmNet
	hostNet
	clientNet
	serviceNet
)

// servicePort is the port of all routes.
const servicePort = 443

// Net holds the loopback addresses and ports of one run.
type Net struct {
	second byte
	// The ports are the same on all machines.
	DataPort, ReadyPort, ControlPort, HostPort, storePort, lowPort int
}

// NewNet picks a loopback network and ports that are free.
func NewNet() (*Net, net.Listener, error) {
	for range 50 {
		base := 21000 + rand.IntN(10000)
		n := &Net{
			second: byte(100 + rand.IntN(150)), DataPort: base, ReadyPort: base + 1, ControlPort: base + 2, HostPort: base + 3,
			storePort: base + 4, lowPort: base + 5,
		}
		if listener, err := net.Listen("tcp4", n.At(storeNet, 1, n.storePort).String()); err == nil {
			return n, listener, nil
		}
	}
	return nil, nil, errors.New("no free network")
}

// At returns an address of the network.
func (n *Net) At(kind, number, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.second, byte(kind), byte(number)}), uint16(port))
}

// ClientAddress returns the address of a client.
func (n *Net) ClientAddress(number int) netip.AddrPort { return n.At(clientNet, number, n.DataPort) }

// ServiceAddress returns the address of a route, which only stands in packets.
func (n *Net) ServiceAddress(number int) netip.AddrPort { return n.At(serviceNet, number, servicePort) }

// Record writes what happens to record.txt.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	lines *bufio.Writer
	start time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	return &Record{file: file, lines: bufio.NewWriter(file), start: time.Now()}, err
}

// Logf writes one line with the time since the start.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.lines, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes out what is buffered.
func (r *Record) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return errors.Join(r.lines.Flush(), r.file.Close())
}

// At returns a time as it stands in the record.
func (r *Record) At(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

// VM is one machine that runs baobabstepd.
type VM struct {
	Name, Zone string
	data       netip.AddrPort
	ready      netip.AddrPort
	settings   string
	log        *os.File
	command    *exec.Cmd
	ended      chan struct{}
	misses     int
}

// Fleet is what one run starts.
type Fleet struct {
	Net    *Net
	Store  *Store
	Record *Record
	Fabric *Fabric
	VMs    []*VM
	dir    string
	site   *Site
}

// Zone is a zone and the number of its machines.
type Zone struct {
	Name string
	VMs  int
}

// Site holds the figures of a small installation.
type Site struct {
	Region string
	Zones  []Zone
	// Bounds are the bounds of the settings, by their names.
	Bounds map[string]any
	// Grace is the time between SIGTERM and SIGKILL.
	Grace time.Duration
}

// NewFleet prepares a run; Close ends it.
func NewFleet(folder string, site *Site) (*Fleet, error) {
	record, err := NewRecord(folder)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "baobabstep-review-")
	if err != nil {
		return nil, err
	}
	n, listener, err := NewNet()
	if err != nil {
		return nil, err
	}
	f := &Fleet{Net: n, Store: NewStore(), Record: record, dir: dir, site: site}
	server := &http.Server{Handler: f.Store, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }() // ends with the process
	template, err := os.ReadFile("deploy/settings.json.tmpl")
	if err != nil {
		return nil, err
	}
	for _, zone := range site.Zones {
		for i := range zone.VMs {
			if err := f.addVM(string(template), zone.Name, fmt.Sprintf("edge-%s-%d", zone.Name, i+1)); err != nil {
				return nil, err
			}
		}
	}
	f.Fabric = &Fabric{vms: f.VMs}
	return f, nil
}

func (f *Fleet) addVM(template, zone, name string) error {
	n, number := f.Net, len(f.VMs)+1
	v := &VM{Name: name, Zone: zone, data: n.At(vmNet, number, n.DataPort), ready: n.At(vmNet, number, n.ReadyPort), misses: maxMisses}
	zones := make(map[string]any)
	for _, z := range f.site.Zones {
		zones[z.Name] = f.site.Region
	}
	fields := map[string]any{
		"nodeName": name, "region": f.site.Region, "zone": zone, "ip": v.data.Addr().String(), "zones": zones, "bounds": f.site.Bounds,
		"listenAddrs": map[string]any{"datagramAddr": v.data.String(), "readyAddr": v.ready.String(), "control": n.At(vmNet, number, n.ControlPort).String()},
		"seeds":       []any{n.At(vmNet, 1, n.ControlPort).String(), n.At(vmNet, 3, n.ControlPort).String(), n.At(vmNet, 6, n.ControlPort).String()},
		"portRange":   []any{n.lowPort, n.lowPort + 1}, "platform": map[string]any{"address": n.At(storeNet, 1, n.storePort).String()},
		"limits": map[string]any{"linkMbps": 1000.0},
	}
	v.settings = filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(v.settings, []byte(render(template, fields)), 0o600); err != nil {
		return err
	}
	var err error
	v.log, err = os.Create(filepath.Join(f.dir, name+".log"))
	f.VMs = append(f.VMs, v)
	return err
}

// Start starts the process of a VM, with the command of the deploy file.
func (f *Fleet) Start(v *VM) error {
	v.command = exec.Command("target/baobabstepd", v.settings)
	v.command.Stdout, v.command.Stderr = v.log, v.log
	v.command.Env = []string{"BAOBABSTEP_BOOT=" + v.settings, "PATH=" + os.Getenv("PATH")}
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	v.ended = make(chan struct{})
	if err := v.command.Start(); err != nil {
		return err
	}
	f.Record.Logf("%s started, process %d", v.Name, v.command.Process.Pid)
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(v.command, v.ended)
	return nil
}

// StartAll starts all VMs and the router's checks.
func (f *Fleet) StartAll(ctx context.Context) error {
	for _, v := range f.VMs {
		if err := f.Start(v); err != nil {
			return err
		}
	}
	go f.Fabric.run(ctx)
	return nil
}

// Term stops a VM as planned: SIGTERM, and SIGKILL after the grace.
func (f *Fleet) Term(v *VM) {
	f.Record.Logf("%s gets SIGTERM", v.Name)
	_ = v.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-v.ended:
	case <-time.After(f.site.Grace):
		_ = v.command.Process.Kill()
		<-v.ended
	}
	f.Record.Logf("%s ended", v.Name)
}

// Close ends all processes that were started, writes the record and removes the temporary folder,
// unless KEEP is set.
func (f *Fleet) Close() {
	for _, v := range f.VMs {
		if v.command != nil && v.command.Process != nil {
			_ = v.command.Process.Kill()
			<-v.ended
		}
	}
	if err := f.Record.Close(); err != nil {
		fmt.Println("record:", err)
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// Fabric is the platform's routers.
type Fabric struct {
	mu  sync.Mutex
	vms []*VM
}

const (
	probeInterval = 500 * time.Millisecond
	maxMisses     = 2
)

func (f *Fabric) run(ctx context.Context) {
	for _, v := range f.vms {
		go func() {
			for ctx.Err() == nil {
				next := time.Now().Add(probeInterval)
				f.probe(v)
				time.Sleep(time.Until(next))
			}
		}()
	}
}

func (f *Fabric) probe(v *VM) {
	client := http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.ready.String() + "/v1/ready")
	good := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		_ = response.Body.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if good {
		v.misses = 0
	} else {
		v.misses++
	}
}

// InRotation returns the number of VMs in rotation.
func (f *Fabric) InRotation() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.vms {
		if v.misses < maxMisses {
			n++
		}
	}
	return n
}

// pick returns where the router forwards a packet of a flow to: a node in rotation in the
// client's zone by a steady hash, all nodes of the zone if fewer than half of them are in
// rotation, nodes of other zones if none is.
func (f *Fabric) pick(zone string, id flowID) (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all, in, elsewhere []*VM
	for _, v := range f.vms {
		up := v.misses < maxMisses
		if v.Zone == zone {
			all = append(all, v)
		}
		if v.Zone == zone && up {
			in = append(in, v)
		}
		if v.Zone != zone && up {
			elsewhere = append(elsewhere, v)
		}
	}
	from := in
	switch {
	case len(in) == 0:
		from = elsewhere
	case 2*len(in) < len(all):
		from = all
	}
	var best *VM
	var most uint64
	for _, v := range from {
		h := fnv.New64a()
		_, _ = h.Write([]byte(id.client.String() + " " + id.service.String() + " " + v.Name))
		score := h.Sum64() * 0x9e3779b97f4a7c15
		if score ^= score >> 29; best == nil || score > most {
			best, most = v, score
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return best.data, true
}

// VMOf returns the name of the VM that a packet of a flow goes to now.
func (f *Flow) VMOf() string {
	to, _ := f.client.fabric.pick(f.client.zone, f.id)
	for _, v := range f.client.fabric.vms {
		if v.data == to {
			return v.Name
		}
	}
	return "none"
}
