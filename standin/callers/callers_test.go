package callers_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"baobabstep"
	"baobabstep/io/wire"
	"baobabstep/standin/callers"
	"baobabstep/standin/fabric"
	"baobabstep/standin/targets"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	serviceName = "account/service"
	targetCount = 4
	flowCount   = 20
)

var serviceAddress = netip.MustParseAddrPort("192.0.2.1:443")

// forwarder is the least that can stand between callers and targets: it hashes
// each flow to a target. spoil may change a packet on its way, or answer it.
type forwarder struct {
	socket   *net.UDPConn
	settings []targets.TargetSettings
	spoil    func(f *forwarder, p *baobabstep.Packet)
}

func (f *forwarder) run() {
	buf := make([]byte, wire.MaxDatagram)
	var p baobabstep.Packet
	for {
		n, err := f.socket.Read(buf)
		if err != nil {
			return
		}
		if wire.Decode(buf[:n], &p, nil) != nil {
			continue
		}
		if !p.FromTarget {
			chosen := f.settings[p.Flow.Number%targetCount]
			p.Service, p.Target, p.Attempt = baobabstep.MakeServiceID("account", "service"), baobabstep.MakeTargetID(chosen.Name), 1
		}
		f.spoil(f, &p)
		f.forward(&p)
	}
}

func (f *forwarder) forward(p *baobabstep.Packet) {
	to := p.Flow.Caller
	if !p.FromTarget {
		for _, t := range f.settings {
			if baobabstep.MakeTargetID(t.Name) == p.Target {
				to = t.Address
			}
		}
	}
	b, err := wire.Append(nil, p, wire.Key{})
	if err == nil {
		_, _ = f.socket.WriteToUDPAddrPort(b, to)
	}
}

// nets numbers the paths of this process.
var nets atomic.Uint32

// newNet returns addresses of a loopback net that no other path has, in this
// process or another, so that ports need not be looked for and cannot be taken
// by somebody else in between.
func newNet() func(host byte, port uint16) netip.AddrPort {
	process, path := byte(os.Getpid()%64), byte(nets.Add(1))
	return func(host byte, port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 32 + process, path, host}), port)
	}
}

// path is the whole way from callers to targets with a forwarder as its VM.
type path struct {
	callers *callers.Process
	targets *targets.Process
	// ended gets the error of a part that could not run.
	ended chan error
}

func newPath(t *testing.T, fault fabric.Fault, spoil func(*forwarder, *baobabstep.Packet)) *path {
	t.Helper()
	at := newNet()
	edge, front := at(1, 7000), at(2, 7000)
	vm := fabric.VM{
		Name: "vm", DataCentre: "a", DataAddress: at(3, 7000), PeerAddress: at(3, 7001),
		RelayDataAddress: at(4, 7000), RelayPeerAddress: at(4, 7001),
	}
	ready := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(ready.Close)
	vm.MetricsAddress = netip.MustParseAddrPort(ready.Listener.Addr().String())
	settings := targets.Settings{
		Seed: 1, Fronts: map[string]netip.AddrPort{"a": front},
		ServiceTimeMS: 1, PushIntervalMS: 20, ReportLagMS: 10,
	}
	for i := range targetCount {
		settings.Targets = append(settings.Targets, targets.TargetSettings{
			Name: "target-" + string(rune('1'+i)), Service: serviceName, Address: at(5, 7000+uint16(i)),
			DataCentre: "a", Slots: 100, Connections: 100,
		})
	}
	to, err := targets.New(settings)
	qt.Assert(t, err, qt.IsNil)
	from, err := callers.New(callers.Settings{
		Seed: 1, Edge: edge, Host: at(6, 0).Addr(), Sockets: 2,
		Services: []callers.ServiceSettings{{
			Name: serviceName, Address: serviceAddress, Flows: flowCount,
			RequestsPerSecond: 200, UrgentShare: 0.5, IdempotentShare: 0.5,
		}},
		RampMS: 100, KeepaliveMS: 50, SilenceMS: 4000, UrgentTimeoutMS: 1000, OrdinaryTimeoutMS: 2000,
	})
	qt.Assert(t, err, qt.IsNil)
	between := fabric.New(fabric.Settings{
		Seed: 1, Edge: edge, Fronts: settings.Fronts, VMs: []fabric.VM{vm}, CheckIntervalMS: 10,
	})
	between.Apply(fault)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(vm.DataAddress))
	qt.Assert(t, err, qt.IsNil)
	f := &forwarder{socket, settings.Targets, spoil}
	p := &path{from, to, make(chan error, 4)}
	p.start(t, func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
		defer stop()
		f.run()
		return nil
	})
	p.start(t, to.Run)
	p.start(t, between.Run)
	p.start(t, from.Run)
	return p
}

// start runs a part until the test ends.
func (p *path) start(t *testing.T, run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan struct{})
	go func() {
		defer close(end)
		if err := run(ctx); err != nil {
			p.ended <- err
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-end
	})
}

// until polls; what never comes shows as the test's time-out.
func (p *path) until(t *testing.T, done func() bool) {
	t.Helper()
	for !done() {
		select {
		case err := <-p.ended:
			t.Fatal(err)
		case <-time.After(time.Millisecond):
		}
	}
}

func TestGoodPathHasNoFaults(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault fabric.Fault
	}{
		{"good fabric", fabric.Fault{}},
		{"reordering fabric", fabric.Fault{Reorder: 0.2}},
		{"losing fabric", fabric.Fault{Loss: 0.05}},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPath(t, test.fault, func(*forwarder, *baobabstep.Packet) {})
			p.until(t, func() bool {
				s := p.callers.Stats()
				return s.FlowsOpen == flowCount && s.Answered >= 100 && s.Pushes >= flowCount
			})
			p.callers.Finish()
			p.until(t, func() bool { return p.callers.Stats().Done })
			s := p.callers.Stats()
			qt.Check(t, s.FlowsBroken, qt.Equals, 0)
			qt.Check(t, s.Misrouted, qt.Equals, 0)
			qt.Check(t, s.AnswersWrong, qt.Equals, 0)
			qt.Check(t, s.Requests, qt.Equals, s.Answered+s.RefusedNotRun+s.OutcomeUnknown+s.OrdinaryLost)
			qt.Check(t, p.targets.Stats().RefusedAsForeign, qt.Equals, 0)
		})
	}
}

// Each case is a load balancer with one fault. The callers or the targets must
// notice: a report that shows nothing is only worth something if they would.
func TestFaultsOfTheLoadBalancerAreSeen(t *testing.T) {
	spare := func(f *forwarder, p *baobabstep.Packet) baobabstep.TargetID {
		return baobabstep.MakeTargetID(f.settings[(p.Flow.Number+1)%targetCount].Name)
	}
	for _, test := range []struct {
		name  string
		spoil func(*forwarder, *baobabstep.Packet)
		seen  func(*path) bool
	}{
		{
			"data of a flow goes to another target",
			func(f *forwarder, p *baobabstep.Packet) {
				if !p.FromTarget && p.Kind == baobabstep.KindData {
					p.Target = spare(f, p)
				}
			},
			func(p *path) bool { return p.callers.Stats().FlowsResetExplicitly > 0 },
		},
		{
			"data claims to come from another target",
			func(f *forwarder, p *baobabstep.Packet) {
				if p.FromTarget && p.Kind == baobabstep.KindData {
					p.Target = spare(f, p)
				}
			},
			func(p *path) bool { return p.callers.Stats().Misrouted > 0 },
		},
		{
			"a packet names another service",
			func(_ *forwarder, p *baobabstep.Packet) { p.Service++ },
			func(p *path) bool { return p.targets.Stats().RefusedAsForeign > 0 },
		},
		{
			"answers are changed",
			func(_ *forwarder, p *baobabstep.Packet) {
				if p.Kind == baobabstep.KindAnswer && len(p.Payload) > 0 {
					p.Payload[0] ^= 1
				}
			},
			func(p *path) bool { return p.callers.Stats().AnswersWrong > 0 },
		},
		{
			"each request is sent twice",
			func(f *forwarder, p *baobabstep.Packet) {
				if p.Kind == baobabstep.KindRequest {
					f.forward(p)
				}
			},
			func(p *path) bool { return p.targets.Stats().NonIdempotentRunTwice > 0 },
		},
		{
			"a request that ran is refused as not run",
			func(_ *forwarder, p *baobabstep.Packet) {
				if p.Kind == baobabstep.KindAnswer {
					p.Kind, p.Code, p.Payload = baobabstep.KindRefusal, baobabstep.CodeRefusedNotRun, nil
				}
			},
			func(p *path) bool { return len(p.targets.Ran(p.callers.Refused())) > 0 },
		},
		{
			"requests vanish",
			func(_ *forwarder, p *baobabstep.Packet) {
				if p.Kind == baobabstep.KindRequest {
					p.Target = 0
				}
			},
			func(p *path) bool {
				s := p.callers.Stats()
				return s.OrdinaryLost > 0 && len(s.Silent) > 0 && s.Silent[0].Missing == s.Silent[0].Parts
			},
		},
		{
			"flows go silent",
			func(_ *forwarder, p *baobabstep.Packet) {
				if p.Kind == baobabstep.KindData {
					p.Kind = baobabstep.KindHealthReport
				}
			},
			func(p *path) bool {
				broken := p.callers.Broken()
				return len(broken) > 0 && broken[0].Reason == "silent"
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := newPath(t, fabric.Fault{}, test.spoil)
			p.until(t, func() bool { return test.seen(p) })
		})
	}
}
