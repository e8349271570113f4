// Package fabric stands in for the network around the VMs.
//
// Callers send to its edge, targets to the front of their data centre; it hands
// each datagram to any VM that answered its last readiness checks. It also
// relays the VMs' traffic with each other, UDP and TCP, through one relay
// address per VM, so that this can be lost, doubled, reordered and cut as well.
// A VM's data centre is known by the IP that its datagrams come from.
package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"baobabstep/io/wire"
	"baobabstep/standin/control"
)

// Settings are those of the whole fabric.
type Settings struct {
	Seed           uint64         `json:"seed"`
	ControlAddress string         `json:"control_address"`
	Edge           netip.AddrPort `json:"edge"`
	// Fronts are the addresses for targets by data centre.
	Fronts map[string]netip.AddrPort `json:"fronts"`
	VMs    []VM                      `json:"vms"`
	// CheckIntervalMS is the time between readiness checks of a VM; one that
	// missed two gets no more packets, so news of a death lags by about twice
	// as long.
	CheckIntervalMS int `json:"check_interval_ms"`
	// EdgeDelayUS and CentreDelayUS are the one-way latencies between callers
	// and VMs, and between two data centres, in microseconds. Answers to
	// callers and packets to targets do not pass the fabric and have none.
	EdgeDelayUS   int `json:"edge_delay_us"`
	CentreDelayUS int `json:"centre_delay_us"`
}

// VM is an entry VM, running or not.
type VM struct {
	Name             string         `json:"name"`
	DataCentre       string         `json:"data_centre"`
	DataAddress      netip.AddrPort `json:"data_address"`
	PeerAddress      netip.AddrPort `json:"peer_address"`
	MetricsAddress   netip.AddrPort `json:"metrics_address"`
	RelayDataAddress netip.AddrPort `json:"relay_data_address"`
	RelayPeerAddress netip.AddrPort `json:"relay_peer_address"`
}

// Fault is what is wrong with the fabric now; a new one replaces it whole.
type Fault struct {
	// Loss, Duplicate and Reorder are shares of datagrams, 0 to 1.
	Loss      float64 `json:"loss"`
	Duplicate float64 `json:"duplicate"`
	Reorder   float64 `json:"reorder"`
	// Cut lists data centres that reach no other.
	Cut []string `json:"cut"`
}

// Stats counts datagrams.
type Stats struct {
	Sprayed    int      `json:"sprayed"`
	Relayed    int      `json:"relayed"`
	Lost       int      `json:"lost"`
	Duplicated int      `json:"duplicated"`
	Reordered  int      `json:"reordered"`
	Cut        int      `json:"cut"`
	NoVM       int      `json:"no_vm"`
	Live       []string `json:"live"`
}

const (
	socketBuffer    = 8 << 20
	senders         = 8
	maxReorderDelay = 20 * time.Millisecond
	missedLimit     = 2
	minCheckTimeout = 300 * time.Millisecond
)

// Fabric is the network. Its lock guards everything below it.
type Fabric struct {
	settings Settings
	centres  map[netip.Addr]string
	senders  []*net.UDPConn
	edge     *delay
	between  *delay

	lock   sync.Mutex
	random *rand.Rand
	fault  Fault
	cut    map[string]bool
	missed []int
	live   []int
	stats  Stats
	links  map[*link]bool
}

// New makes a fabric that does not run yet.
func New(s Settings) *Fabric {
	f := &Fabric{
		settings: s,
		centres:  make(map[netip.Addr]string),
		random:   rand.New(rand.NewPCG(s.Seed, 0)),
		cut:      make(map[string]bool),
		missed:   make([]int, len(s.VMs)),
		links:    make(map[*link]bool),
		edge:     newDelay(s.EdgeDelayUS),
		between:  newDelay(s.CentreDelayUS),
	}
	for i, vm := range s.VMs {
		f.centres[vm.DataAddress.Addr()] = vm.DataCentre
		f.missed[i] = missedLimit
	}
	return f
}

// Run serves until ctx ends.
func (f *Fabric) Run(ctx context.Context) error {
	var parts sync.WaitGroup
	defer parts.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for range senders {
		socket, err := listen(ctx, netip.AddrPortFrom(f.settings.Edge.Addr(), 0))
		if err != nil {
			return err
		}
		f.senders = append(f.senders, socket)
	}
	for _, d := range []*delay{f.edge, f.between} {
		parts.Go(func() { d.run(ctx) })
	}
	if err := f.serveUDP(ctx, &parts); err != nil {
		return err
	}
	for i := range f.settings.VMs {
		if err := f.relayTCP(ctx, &parts, &f.settings.VMs[i]); err != nil {
			return err
		}
		parts.Go(func() { f.check(ctx, i) })
	}
	<-ctx.Done()
	return nil
}

func (f *Fabric) serveUDP(ctx context.Context, parts *sync.WaitGroup) error {
	spray := func(from string, address netip.AddrPort) error {
		return serve(ctx, parts, address, func(b []byte, _ netip.Addr) { f.spray(from, b) })
	}
	if err := spray("", f.settings.Edge); err != nil {
		return err
	}
	for dc, address := range f.settings.Fronts {
		if err := spray(dc, address); err != nil {
			return err
		}
	}
	for i := range f.settings.VMs {
		vm := &f.settings.VMs[i]
		relay := func(b []byte, from netip.Addr) { f.relay(vm, b, from) }
		if err := serve(ctx, parts, vm.RelayDataAddress, relay); err != nil {
			return err
		}
	}
	return nil
}

func listen(ctx context.Context, address netip.AddrPort) (*net.UDPConn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "fabric")
	}
	_ = socket.SetReadBuffer(socketBuffer)
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	return socket, nil
}

// serve calls handle for each datagram that arrives at address.
func serve(ctx context.Context, parts *sync.WaitGroup, address netip.AddrPort, handle func(b []byte, from netip.Addr)) error {
	socket, err := listen(ctx, address)
	if err != nil {
		return err
	}
	parts.Go(func() {
		buf := make([]byte, wire.MaxDatagram+1)
		for {
			n, from, err := socket.ReadFromUDPAddrPort(buf)
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				handle(buf[:n], from.Addr().Unmap())
			}
		}
	})
	return nil
}

// spray hands b, which came from a data centre or from a caller (""), to any
// live VM that can be reached from there.
func (f *Fabric) spray(from string, b []byte) {
	f.lock.Lock()
	f.stats.Sprayed++
	vm := f.choose(from)
	if vm == nil {
		f.stats.NoVM++
		f.lock.Unlock()
		return
	}
	fate := f.draw()
	f.lock.Unlock()
	f.deliver(fate, from, vm, b)
}

// choose draws a live VM. The caller holds lock.
func (f *Fabric) choose(from string) *VM {
	var chosen *VM
	seen := 0
	for _, i := range f.live {
		vm := &f.settings.VMs[i]
		if from != "" && !f.reaches(from, vm.DataCentre) {
			continue
		}
		seen++
		if f.random.IntN(seen) == 0 {
			chosen = vm
		}
	}
	return chosen
}

// relay passes b from one VM to another.
func (f *Fabric) relay(to *VM, b []byte, from netip.Addr) {
	f.lock.Lock()
	f.stats.Relayed++
	if !f.reaches(f.centres[from], to.DataCentre) {
		f.stats.Cut++
		f.lock.Unlock()
		return
	}
	fate := f.draw()
	f.lock.Unlock()
	f.deliver(fate, f.centres[from], to, b)
}

// reaches reports whether two data centres are connected. The caller holds lock.
func (f *Fabric) reaches(a, b string) bool { return a == b || !f.cut[a] && !f.cut[b] }

// fate is what becomes of one datagram.
type fate struct {
	socket                   *net.UDPConn
	lost, doubled, reordered bool
	late                     time.Duration
}

// draw decides the fate of a datagram. The caller holds lock; the datagram is
// sent after it is released, so that the readers do not wait for system calls.
func (f *Fabric) draw() fate {
	d := fate{
		socket:    f.senders[f.random.IntN(len(f.senders))],
		lost:      f.random.Float64() < f.fault.Loss,
		doubled:   f.random.Float64() < f.fault.Duplicate,
		reordered: f.random.Float64() < f.fault.Reorder,
		late:      time.Duration(f.random.Int64N(int64(maxReorderDelay))),
	}
	switch {
	case d.lost:
		f.stats.Lost++
		return d
	case d.reordered:
		f.stats.Reordered++
	}
	if d.doubled {
		f.stats.Duplicated++
	}
	return d
}

// deliver sends b to vm with the latency of the way from a data centre.
func (f *Fabric) deliver(d fate, from string, vm *VM, b []byte) {
	if d.lost {
		return
	}
	if d.doubled {
		d.sendLate(vm.DataAddress, b)
	}
	switch {
	case d.reordered:
		d.sendLate(vm.DataAddress, b)
	case from == vm.DataCentre:
		_, _ = d.socket.WriteToUDPAddrPort(b, vm.DataAddress)
	case from == "":
		f.edge.send(d.socket, vm.DataAddress, b)
	default:
		f.between.send(d.socket, vm.DataAddress, b)
	}
}

func (d *fate) sendLate(to netip.AddrPort, b []byte) {
	kept := append([]byte(nil), b...)
	time.AfterFunc(d.late, func() { _, _ = d.socket.WriteToUDPAddrPort(kept, to) })
}

// check keeps up whether VM i is ready.
func (f *Fabric) check(ctx context.Context, i int) {
	interval := time.Duration(f.settings.CheckIntervalMS) * time.Millisecond
	client := &http.Client{Timeout: max(interval, minCheckTimeout)}
	url := "http://" + f.settings.VMs[i].MetricsAddress.String() + "/readyz"
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	defer client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		response, err := client.Get(url)
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		f.setReady(i, ready)
	}
}

func (f *Fabric) setReady(i int, ready bool) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.missed[i]++
	if ready {
		f.missed[i] = 0
	}
	f.live = f.live[:0]
	for i, missed := range f.missed {
		if missed < missedLimit {
			f.live = append(f.live, i)
		}
	}
}

// Apply replaces the faults.
func (f *Fabric) Apply(fault Fault) {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.fault = fault
	clear(f.cut)
	for _, dc := range fault.Cut {
		f.cut[dc] = true
	}
	for l := range f.links {
		if !f.reaches(l.from, l.to) {
			l.close()
		}
	}
}

// Stats returns the present counts.
func (f *Fabric) Stats() Stats {
	f.lock.Lock()
	defer f.lock.Unlock()
	s := f.stats
	s.Live = []string{}
	for _, i := range f.live {
		s.Live = append(s.Live, f.settings.VMs[i].Name)
	}
	return s
}

// Handler serves the control interface.
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", control.JSON(func(struct{}) (any, error) { return f.Stats(), nil }))
	mux.HandleFunc("POST /fault", control.JSON(func(fault Fault) (any, error) {
		f.Apply(fault)
		return struct{}{}, nil
	}))
	return mux
}
