package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/entry"
	"baobabstep/io/datagram"
	"baobabstep/io/logs"
	"baobabstep/io/packet"
	"baobabstep/io/setting"
	"baobabstep/platform"
	"baobabstep/platform/standin"
)

// waitTimeout bounds waiting for conditions that hold within milliseconds on an idle machine.
const waitTimeout = 20 * time.Second

var service = netip.MustParseAddrPort("198.18.0.1:443")

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// logBuffer is a log that can be written and read concurrently.
type logBuffer struct {
	mu  sync.Mutex
	raw bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.raw.Write(p)
}

// logLine is one line of the log.
type logLine struct {
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

func (b *logBuffer) lines() (list []logLine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for text := range strings.Lines(b.raw.String()) {
		var l logLine
		if json.Unmarshal([]byte(text), &l) == nil {
			list = append(list, l)
		}
	}
	return list
}

// fixture runs a small fleet in the test process, with a stand-in of the platform.
type fixture struct {
	t       testing.TB
	network byte
	store   *standin.Store
	server  *httptest.Server
	fabric  *standin.Fabric
	caller  *standin.Caller
	vms     []*runningVM
	// runs counts how often each request ran, by its number.
	runs runs
}

// runs counts the runs of requests by number.
type runs struct {
	mu    sync.Mutex
	count map[uint64]int
}

func (r *runs) add(request uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == nil {
		r.count = make(map[uint64]int)
	}
	r.count[request]++
}

func (r *runs) timesRun(request uint64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[request]
}

type runningVM struct {
	node   *entry.Node
	log    *logBuffer
	cancel context.CancelFunc
	ended  chan error
}

const (
	dataPort    = 8172
	readyPort   = 8167
	peerPort    = 8166
	metricsPort = 8168
	targetPort  = 8700
)

// address returns an address in the fixture's own network.
func (f *fixture) address(kind, n byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.network, kind, n}), port)
}

// newFixture starts a number of VMs. Fixtures that run concurrently need different networks.
func newFixture(t testing.TB, network byte, vms int) *fixture {
	t.Helper()
	f := &fixture{t: t, network: network, store: standin.NewStore()}
	f.server = httptest.NewServer(f.store)
	t.Cleanup(f.server.Close)
	f.store.PutRoutes(1, []standin.Route{{Address: service, Service: "fixtures"}})
	var known []standin.VM
	for n := range vms {
		known = append(known, standin.VM{DataAddress: f.address(1, byte(n+1), dataPort), ReadyAddress: f.address(1, byte(n+1), readyPort)})
	}
	f.fabric = standin.NewFabric(known)
	for n := range vms {
		f.vms = append(f.vms, f.startVM(byte(n+1)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	go f.fabric.Run(ctx)
	caller, err := standin.NewCaller(f.address(3, 1, dataPort), f.fabric)
	qt.Assert(t, err, qt.IsNil)
	f.caller = caller
	t.Cleanup(func() {
		cancel()
		<-f.fabric.Done()
		caller.Close()
		for _, vm := range f.vms {
			vm.cancel()
			qt.Check(t, <-vm.ended, qt.IsNil)
		}
	})
	f.eventually("all VMs are ready", func() bool { return f.fabric.ReadyCount() == vms })
	return f
}

func (f *fixture) startVM(n byte) *runningVM {
	f.t.Helper()
	s := &setting.Settings{
		Name: fmt.Sprintf("vm-%d", n), Region: "r", DataCentre: "a",
		DataAddress: f.address(1, n, dataPort), PeerAddress: f.address(1, n, peerPort), MetricsAddress: f.address(1, n, metricsPort),
		PlatformURL: f.server.URL, Seeds: []netip.AddrPort{f.address(1, 1, peerPort)}, Policy: setting.PolicyToken,
		Token: setting.TokenSettings{
			ReadyAddress: f.address(1, n, readyPort), ConfigApplyMS: 3000, DrainMS: 3000, FlowMaxS: 60, StopGraceS: 6,
		},
	}
	sockets, err := packet.NewSegments(packet.SocketOptions{Listen: s.DataAddress}, platform.DatagramCodec{CallerPort: dataPort})
	qt.Assert(f.t, err, qt.IsNil)
	store, err := platform.NewStore(platform.StoreOptions{URL: s.PlatformURL})
	qt.Assert(f.t, err, qt.IsNil)
	messages, err := datagram.Listen(s.PeerAddress)
	qt.Assert(f.t, err, qt.IsNil)
	vm := &runningVM{log: new(logBuffer), ended: make(chan error, 1)}
	lines := logs.New(vm.log)
	vm.node = entry.New(entry.Options{
		Settings: s, Logger: &log.Logger{Handler: jsonlog.New(lines), Level: log.InfoLevel}, LogLimiter: lines,
		Clock: wallClock{}, Directory: store, Segments: []baobabstep.Segments{sockets[0]}, Messages: messages,
		ReadyHandler: platform.ReadyHandler, Rand: rand.New(rand.NewPCG(uint64(n), 1)),
	})
	var ctx context.Context
	ctx, vm.cancel = context.WithCancel(context.Background())
	go func() {
		vm.ended <- vm.node.Run(ctx, ctx)
		lines.Close()
	}()
	return vm
}

// target starts and registers a target that is closed when the test ends.
func (f *fixture) target(n byte) (*standin.Target, standin.Registration) {
	f.t.Helper()
	r := standin.Registration{ID: 0x1000 + uint64(n), Service: "fixtures", Address: f.address(2, n, targetPort), DataCentre: "a"}
	t, err := standin.NewTarget(standin.TargetOptions{
		ID: r.ID, Service: r.Service, Address: r.Address, CallerPort: dataPort, RequestDuration: time.Millisecond, Slots: 2,
		OnRequest: func(_, request uint64, _ netip.AddrPort) { f.runs.add(request) },
	})
	qt.Assert(f.t, err, qt.IsNil)
	f.t.Cleanup(t.Close)
	f.store.Register(r)
	return t, r
}

// eventually waits until a condition holds.
func (f *fixture) eventually(what string, done func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met after %v: %s", waitTimeout, what)
		}
	}
}

// logged reports whether any VM logged a line with a message and with fields for which match
// holds.
func (f *fixture) logged(message string, match func(fields map[string]any) bool) bool {
	for _, vm := range f.vms {
		for _, l := range vm.log.lines() {
			if l.Message == message && match(l.Fields) {
				return true
			}
		}
	}
	return false
}

// request opens a flow, sends one request and returns its outcome.
func (f *fixture) request(number uint64) standin.Outcome {
	f.t.Helper()
	flow, outcome := f.caller.Open(f.t.Context(), service)
	defer flow.Close()
	if outcome != standin.Answered {
		return outcome
	}
	return flow.Request(f.t.Context(), number, waitTimeout)
}
