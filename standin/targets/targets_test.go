package targets_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"baobabstep"
	"baobabstep/io/wire"
	"baobabstep/standin/exchange"
	"baobabstep/standin/targets"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const name = "target"

// vm plays the fabric and the VMs for one target that runs requests for longer
// than any test lasts, unless their timeout is shorter.
type vm struct {
	t       *testing.T
	process *targets.Process
	socket  *net.UDPConn
	target  netip.AddrPort
}

func newVM(t *testing.T) *vm {
	t.Helper()
	host := netip.AddrFrom4([4]byte{127, 96, byte(os.Getpid()), 1})
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, 7000)))
	qt.Assert(t, err, qt.IsNil)
	v := &vm{t: t, socket: socket, target: netip.AddrPortFrom(host, 7001)}
	v.process, err = targets.New(targets.Settings{
		Fronts:        map[string]netip.AddrPort{"a": socket.LocalAddr().(*net.UDPAddr).AddrPort()},
		VMDataCentres: map[netip.Addr]string{host: "b", host.Next(): "a"},
		ServiceTimeMS: 3_600_000, PushIntervalMS: 3_600_000,
		Targets: []targets.TargetSettings{{
			Name: name, Service: "account/service", Address: v.target, DataCentre: "a", Slots: 1, Connections: 1,
		}},
	})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- v.process.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-end, qt.IsNil)
		_ = socket.Close()
	})
	v.waitStarted()
	return v
}

// waitStarted asks for reports until the first comes.
func (v *vm) waitStarted() {
	v.t.Helper()
	health := &baobabstep.Packet{Kind: baobabstep.KindHealth, Flow: baobabstep.FlowKey{Number: 99}}
	buf := make([]byte, wire.MaxDatagram)
	for {
		v.send(health)
		qt.Assert(v.t, v.socket.SetReadDeadline(time.Now().Add(10*time.Millisecond)), qt.IsNil)
		if _, err := v.socket.Read(buf); err == nil {
			break
		}
	}
	qt.Assert(v.t, v.socket.SetReadDeadline(time.Time{}), qt.IsNil)
}

func packet(kind baobabstep.Kind, number uint64) *baobabstep.Packet {
	return &baobabstep.Packet{
		Kind: kind, Flow: baobabstep.FlowKey{Number: number}, Attempt: 1,
		Service: baobabstep.MakeServiceID("account", "service"), Target: baobabstep.MakeTargetID(name),
	}
}

func (v *vm) send(p *baobabstep.Packet) {
	v.t.Helper()
	b, err := wire.Append(nil, p, wire.Key{})
	qt.Assert(v.t, err, qt.IsNil)
	_, err = v.socket.WriteToUDPAddrPort(b, v.target)
	qt.Assert(v.t, err, qt.IsNil)
}

// want reads the next packet and compares what matters of it.
func (v *vm) want(kind baobabstep.Kind, number uint64, code baobabstep.Code) {
	v.t.Helper()
	buf := make([]byte, wire.MaxDatagram)
	var p baobabstep.Packet
	for p.Kind == baobabstep.KindInvalid || p.Kind == baobabstep.KindHealthReport && kind != p.Kind {
		n, err := v.socket.Read(buf)
		qt.Assert(v.t, err, qt.IsNil)
		qt.Assert(v.t, wire.Decode(buf[:n], &p, nil), qt.IsNil)
	}
	qt.Assert(v.t, p.Kind, qt.Equals, kind)
	qt.Assert(v.t, p.Flow.Number, qt.Equals, number)
	qt.Assert(v.t, p.Code, qt.Equals, code)
	qt.Assert(v.t, p.FromTarget, qt.IsTrue)
}

func (v *vm) fault(f targets.Fault) {
	v.t.Helper()
	f.Targets = []string{name}
	qt.Assert(v.t, v.process.Apply(f), qt.IsNil)
}

func TestFlows(t *testing.T) {
	v := newVM(t)
	v.send(packet(baobabstep.KindOpen, 1))
	v.want(baobabstep.KindOpened, 1, baobabstep.CodeOK)
	v.send(packet(baobabstep.KindOpen, 1))
	v.want(baobabstep.KindOpened, 1, baobabstep.CodeOK)
	v.send(packet(baobabstep.KindOpen, 2))
	v.want(baobabstep.KindReset, 2, baobabstep.CodeNoCapacity)
	v.send(packet(baobabstep.KindProbe, 1))
	v.want(baobabstep.KindProbeAck, 1, baobabstep.CodeOK)
	keepalive := packet(baobabstep.KindData, 1)
	keepalive.Payload = exchange.FlowPayload(exchange.Keepalive, 5, 0)
	v.send(keepalive)
	v.want(baobabstep.KindData, 1, baobabstep.CodeOK)
	v.send(packet(baobabstep.KindProbe, 3))
	v.want(baobabstep.KindReset, 3, baobabstep.CodeUnknownFlow)

	// A silent flow is not answered: the next answer is that to the health
	// report that was asked for after it.
	v.fault(targets.Fault{Action: "silent", Share: 1})
	v.send(packet(baobabstep.KindProbe, 1))
	v.send(keepalive)
	v.send(packet(baobabstep.KindHealth, 4))
	v.want(baobabstep.KindHealthReport, 4, baobabstep.CodeOK)
	v.fault(targets.Fault{Action: "drain"})
	v.send(packet(baobabstep.KindOpen, 5))
	v.want(baobabstep.KindReset, 5, baobabstep.CodeTargetLeaving)
}

func TestRequests(t *testing.T) {
	v := newVM(t)
	v.send(packet(baobabstep.KindRequest, 1))
	v.send(packet(baobabstep.KindRequest, 2))
	v.want(baobabstep.KindRefusal, 2, baobabstep.CodeShed)
	// A request that runs may have had its effect when it is cancelled; one
	// that was cancelled before it came has not, and will not.
	v.send(packet(baobabstep.KindCancel, 1))
	v.want(baobabstep.KindRefusal, 1, baobabstep.CodeOutcomeUnknown)
	v.send(packet(baobabstep.KindCancel, 3))
	v.send(packet(baobabstep.KindRequest, 3))
	v.want(baobabstep.KindRefusal, 3, baobabstep.CodeCancelled)
	late := packet(baobabstep.KindRequest, 4)
	late.Timeout = 1
	v.send(late)
	v.want(baobabstep.KindRefusal, 4, baobabstep.CodeOutcomeUnknown)
	foreign := packet(baobabstep.KindRequest, 5)
	foreign.Service++
	v.send(foreign)
	v.want(baobabstep.KindRefusal, 5, baobabstep.CodeWrongService)
	v.fault(targets.Fault{Action: "drain"})
	v.send(packet(baobabstep.KindRequest, 6))
	v.want(baobabstep.KindRefusal, 6, baobabstep.CodeTargetLeaving)
	qt.Assert(t, v.process.Ran([]uint64{1, 2, 3, 4, 5, 6}), qt.DeepEquals, []uint64{1, 4})
}

// A partition cuts the VM's data centre off: its packets get no answer. The
// answer to a VM of the target's own data centre, which spoke after it, is the
// first to come.
func TestPartition(t *testing.T) {
	v := newVM(t)
	near := v.target.Addr().Next()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(near, 7000)))
	qt.Assert(t, err, qt.IsNil)
	defer socket.Close()
	qt.Assert(t, v.process.Apply(targets.Fault{Action: "partition", Cut: []string{"b"}}), qt.IsNil)
	v.send(packet(baobabstep.KindOpen, 1))
	v.send(packet(baobabstep.KindRequest, 1))
	b, err := wire.Append(nil, packet(baobabstep.KindProbe, 2), wire.Key{})
	qt.Assert(t, err, qt.IsNil)
	_, err = socket.WriteToUDPAddrPort(b, v.target)
	qt.Assert(t, err, qt.IsNil)
	v.want(baobabstep.KindReset, 2, baobabstep.CodeUnknownFlow)
	qt.Assert(t, v.process.Ran([]uint64{1}), qt.HasLen, 0)
}

// A target that died and came back has no flows, also none that it confirmed.
func TestDeathForgets(t *testing.T) {
	v := newVM(t)
	v.send(packet(baobabstep.KindOpen, 1))
	v.want(baobabstep.KindOpened, 1, baobabstep.CodeOK)
	v.fault(targets.Fault{Action: "die"})
	v.fault(targets.Fault{Action: "start"})
	v.send(packet(baobabstep.KindProbe, 1))
	v.want(baobabstep.KindReset, 1, baobabstep.CodeUnknownFlow)
}
