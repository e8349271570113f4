package fabric_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"baobabstep/standin/fabric"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func at(host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 97, byte(os.Getpid()), host}), port)
}

// site is two VMs, one in each of two data centres, with their sockets.
type site struct {
	t      *testing.T
	fabric *fabric.Fabric
	vms    []fabric.VM
	data   []*net.UDPConn
}

func newSite(t *testing.T) *site {
	t.Helper()
	ready := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(ready.Close)
	s := &site{t: t}
	for i, dc := range []string{"a", "b"} {
		host := byte(10 + i)
		s.vms = append(s.vms, fabric.VM{
			Name: "vm-" + dc, DataCentre: dc, DataAddress: at(host, 7000), PeerAddress: at(host, 7001),
			MetricsAddress:   netip.MustParseAddrPort(ready.Listener.Addr().String()),
			RelayDataAddress: at(host+10, 7000), RelayPeerAddress: at(host+10, 7001),
		})
		s.data = append(s.data, s.listen(at(host, 7000)))
	}
	s.fabric = fabric.New(fabric.Settings{
		Seed: 1, Edge: at(1, 7000), Fronts: map[string]netip.AddrPort{"a": at(2, 7000), "b": at(3, 7000)},
		VMs: s.vms, CheckIntervalMS: 5,
	})
	ctx, cancel := context.WithCancel(context.Background())
	end := make(chan error, 1)
	go func() { end <- s.fabric.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		qt.Check(t, <-end, qt.IsNil)
	})
	s.until(func() bool { return len(s.fabric.Stats().Live) == len(s.vms) })
	return s
}

func (s *site) until(done func() bool) {
	for !done() {
		time.Sleep(time.Millisecond)
	}
}

func (s *site) listen(address netip.AddrPort) *net.UDPConn {
	s.t.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() { _ = socket.Close() })
	return socket
}

func (s *site) send(from *net.UDPConn, to netip.AddrPort, text string) {
	s.t.Helper()
	_, err := from.WriteToUDPAddrPort([]byte(text), to)
	qt.Assert(s.t, err, qt.IsNil)
}

func (s *site) want(vm int, text string) {
	s.t.Helper()
	buf := make([]byte, 100)
	n, err := s.data[vm].Read(buf)
	qt.Assert(s.t, err, qt.IsNil)
	qt.Assert(s.t, string(buf[:n]), qt.Equals, text)
}

func TestRelay(t *testing.T) {
	s := newSite(t)
	s.send(s.data[0], s.vms[1].RelayDataAddress, "one")
	s.want(1, "one")
	s.fabric.Apply(fabric.Fault{Cut: []string{"b"}})
	s.send(s.data[0], s.vms[1].RelayDataAddress, "cut")
	s.until(func() bool { return s.fabric.Stats().Cut == 1 })
	s.fabric.Apply(fabric.Fault{Loss: 1})
	s.send(s.data[0], s.vms[1].RelayDataAddress, "lost")
	s.until(func() bool { return s.fabric.Stats().Lost == 1 })
	s.fabric.Apply(fabric.Fault{Duplicate: 1})
	s.send(s.data[0], s.vms[1].RelayDataAddress, "two")
	s.want(1, "two")
	s.want(1, "two")
}

// Callers' packets go to every live VM, those of a cut-off data centre's targets
// only to the VMs beside them.
func TestSpray(t *testing.T) {
	s := newSite(t)
	caller := s.listen(at(4, 0))
	got := make([]bool, len(s.vms))
	for !got[0] || !got[1] {
		s.send(caller, at(1, 7000), "any")
		for i, data := range s.data {
			qt.Assert(t, data.SetReadDeadline(time.Now().Add(time.Millisecond)), qt.IsNil)
			if _, err := data.Read(make([]byte, 10)); err == nil {
				got[i] = true
			}
			qt.Assert(t, data.SetReadDeadline(time.Time{}), qt.IsNil)
		}
	}
	s.fabric.Apply(fabric.Fault{Cut: []string{"b"}})
	before := s.fabric.Stats().Sprayed
	for range 20 {
		s.send(caller, at(3, 7000), "near")
	}
	s.until(func() bool { return s.fabric.Stats().Sprayed == before+20 })
	buf := make([]byte, 10)
	for near := 0; near < 20; {
		n, err := s.data[1].Read(buf)
		qt.Assert(t, err, qt.IsNil)
		if string(buf[:n]) == "near" {
			near++
		}
	}
}

// An established connection between two VMs is cut with the way, and a new one
// is refused until the way is back.
func TestStreamIsCut(t *testing.T) {
	s := newSite(t)
	listener, err := net.Listen("tcp", s.vms[1].PeerAddress.String())
	qt.Assert(t, err, qt.IsNil)
	defer listener.Close()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(s.vms[0].PeerAddress.Addr(), 0))}
	echo := func(c net.Conn) error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	dial := func() net.Conn {
		c, err := dialer.Dial("tcp", s.vms[1].RelayPeerAddress.String())
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	first := dial()
	qt.Assert(t, echo(first), qt.IsNil)
	s.fabric.Apply(fabric.Fault{Cut: []string{"a"}})
	qt.Assert(t, echo(first), qt.IsNotNil)
	qt.Assert(t, echo(dial()), qt.IsNotNil)
	s.fabric.Apply(fabric.Fault{})
	qt.Assert(t, echo(dial()), qt.IsNil)
}
