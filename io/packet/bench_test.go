package packet_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/ipv4"

	"baobabstep"
	"baobabstep/io/packet"
	"baobabstep/io/wire"
)

// window is how many datagrams are in flight: enough to keep the forwarder busy,
// far less than a socket buffer holds, so that none is lost. burst is how many
// are written at once. Two sources write and one sink reads; the forwarder does
// both, so that it is the slowest part and sets the rate.
const (
	window  = 256
	burst   = 32
	sources = 2
)

// BenchmarkForward moves datagrams of 100 bytes of payload from a source over a
// forwarder to a sink: bare reads and writes batches and no more, packet also
// decodes, addresses and encodes each one. One operation is one datagram.
func BenchmarkForward(b *testing.B) {
	b.Run("bare", func(b *testing.B) {
		sink := listenUDP(b)
		forwarder := listenUDP(b)
		go forwardBare(ipv4.NewPacketConn(forwarder), sink.LocalAddr())
		drive(b, forwarder.LocalAddr().(*net.UDPAddr), sink)
	})
	b.Run("packet", func(b *testing.B) {
		sink := listenUDP(b)
		to := sink.LocalAddr().(*net.UDPAddr).AddrPort()
		c := open(b, packet.Options{Book: &book{targets: map[baobabstep.TargetID]netip.AddrPort{7: to}}})[0]
		go forwardPackets(c)
		drive(b, net.UDPAddrFromAddrPort(c.Address()), sink)
	})
}

func listenUDP(b *testing.B) *net.UDPConn {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, c.SetReadBuffer(packet.DefaultBufferBytes), qt.IsNil)
	b.Cleanup(func() { _ = c.Close() })
	return c
}

func messages(n int) []ipv4.Message {
	m := make([]ipv4.Message, n)
	for i := range m {
		m[i].Buffers = [][]byte{make([]byte, wire.MaxDatagram+1)}
	}
	return m
}

func forwardBare(c *ipv4.PacketConn, to net.Addr) {
	in, out := messages(packet.DefaultBatch), messages(packet.DefaultBatch)
	for {
		n, err := c.ReadBatch(in, 0)
		if err != nil {
			return
		}
		for i := range n {
			out[i].Buffers[0] = in[i].Buffers[0][:in[i].N]
			out[i].Addr = to
		}
		for sent := 0; sent < n; {
			k, err := c.WriteBatch(out[sent:n], 0)
			if err != nil {
				return
			}
			sent += k
		}
	}
}

func forwardPackets(c *packet.Conn) {
	in, out := make([]baobabstep.Packet, packet.DefaultBatch), baobabstep.Outbox{}
	for {
		n, err := c.Receive(context.Background(), in)
		if err != nil {
			return
		}
		out = out[:0]
		for i := range n {
			out.ToTarget(&in[i])
		}
		if c.Send(out) != nil {
			return
		}
	}
}

func drive(b *testing.B, to *net.UDPAddr, sink *net.UDPConn) {
	p := baobabstep.Packet{Kind: baobabstep.KindData, Service: 1 << 60, Target: 7, Version: 9, Payload: make([]byte, 100)}
	p.Flow = baobabstep.FlowKey{Caller: netip.MustParseAddrPort("127.0.0.1:9"), Service: netip.MustParseAddrPort("192.0.2.1:443"), Number: 1 << 60}
	datagram, err := wire.Append(nil, &p, wire.Key{})
	qt.Assert(b, err, qt.IsNil)
	grants := make(chan int, window)
	for range window / burst {
		grants <- burst
	}
	left := new(atomic.Int64)
	left.Store(int64(b.N))
	for range sources {
		go send(ipv4.NewPacketConn(listenUDP(b)), datagram, to, left, grants)
	}
	b.ReportAllocs()
	b.ResetTimer()
	count(b, ipv4.NewPacketConn(sink), grants)
	b.StopTimer()
	close(grants)
}

// send writes a burst for each grant while datagrams are left.
func send(source *ipv4.PacketConn, datagram []byte, to net.Addr, left *atomic.Int64, grants <-chan int) {
	out := messages(burst)
	for i := range out {
		out[i].Buffers[0], out[i].Addr = datagram, to
	}
	for n := range grants {
		rest := left.Add(int64(-n)) + int64(n)
		n = int(max(0, min(int64(n), rest)))
		for sent := 0; sent < n; {
			k, err := source.WriteBatch(out[sent:n], 0)
			if err != nil {
				return
			}
			sent += k
		}
	}
}

// count takes in b.N datagrams and grants another burst for each one arrived.
func count(b *testing.B, sink *ipv4.PacketConn, grants chan<- int) {
	in := messages(packet.DefaultBatch)
	arrived := 0
	for total := 0; total < b.N; {
		n, err := sink.ReadBatch(in, 0)
		qt.Assert(b, err, qt.IsNil)
		total += n
		for arrived += n; arrived >= burst; arrived -= burst {
			grants <- burst
		}
	}
}
