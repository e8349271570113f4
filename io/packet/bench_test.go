package packet_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
	"golang.org/x/net/ipv4"

	"baobabstep"
	"baobabstep/io/packet"
	"baobabstep/io/wire"
)

// window is how many datagrams are in flight: enough to keep the forwarder, and
// not its source or sink, the slowest part; far less than a socket buffer holds,
// so that none is lost. burst is how many are written at once.
const (
	window = 128
	burst  = 32
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
			out.Target(&in[i])
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
	source := ipv4.NewPacketConn(listenUDP(b))
	out := messages(burst)
	for i := range out {
		out[i].Buffers[0], out[i].Addr = datagram, to
	}
	arrived := make(chan int, window)
	go count(ipv4.NewPacketConn(sink), b.N, arrived)
	inFlight := 0
	b.ReportAllocs()
	b.ResetTimer()
	for sent := 0; sent < b.N || inFlight > 0; {
		room := min(burst, window-inFlight, b.N-sent)
		if room == 0 {
			inFlight -= <-arrived
			continue
		}
		n, err := source.WriteBatch(out[:room], 0)
		qt.Assert(b, err, qt.IsNil)
		sent += n
		inFlight += n
	}
}

// count reports what arrives until n datagrams did.
func count(sink *ipv4.PacketConn, n int, arrived chan<- int) {
	in := messages(packet.DefaultBatch)
	for n > 0 {
		got, err := sink.ReadBatch(in, 0)
		if err != nil {
			return
		}
		n -= got
		arrived <- got
	}
}
