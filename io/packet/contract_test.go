package packet_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/io/packet"
	"baobabstep/io/wire"
)

// endpoint is one value of the port under test and where others reach it.
type endpoint struct {
	baobabstep.Packets
	address netip.AddrPort
}

// wires are the adapters that keep the contract of baobabstep.Packets. Another
// wire adds a line: open makes one endpoint that knows the given book.
var wires = []struct {
	name string
	open func(t testing.TB, book baobabstep.AddressBook) endpoint
}{
	{"udp", func(t testing.TB, book baobabstep.AddressBook) endpoint {
		c := open(t, packet.Options{Book: book, Keys: keys(1)})[0]
		return endpoint{c, c.Address()}
	}},
}

type book struct {
	targets map[baobabstep.TargetID]netip.AddrPort
	vms     map[baobabstep.VMID]netip.AddrPort
}

func (b *book) TargetAddress(id baobabstep.TargetID) (netip.AddrPort, bool) {
	a, ok := b.targets[id]
	return a, ok
}

func (b *book) VMAddress(id baobabstep.VMID) (netip.AddrPort, bool) {
	a, ok := b.vms[id]
	return a, ok
}

func keys(fill byte) [][]byte {
	key := make([]byte, wire.MinKeySize)
	key[0] = fill
	return [][]byte{key}
}

func open(t testing.TB, o packet.Options) []*packet.Conn {
	t.Helper()
	o.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	conns, err := packet.New(o)
	qt.Assert(t, err, qt.IsNil)
	for _, c := range conns {
		t.Cleanup(func() { _ = c.Close() })
	}
	return conns
}

// receive returns the next packet; a lost datagram shows as the test's time-out.
func receive(t testing.TB, p baobabstep.Packets) baobabstep.Packet {
	t.Helper()
	batch := make([]baobabstep.Packet, 1)
	n, err := p.Receive(t.Context(), batch)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, n, qt.Equals, 1)
	return batch[0]
}

func TestContractDelivers(t *testing.T) {
	for _, w := range wires {
		t.Run(w.name, func(t *testing.T) {
			b := &book{targets: map[baobabstep.TargetID]netip.AddrPort{}, vms: map[baobabstep.VMID]netip.AddrPort{}}
			from, to := w.open(t, b), w.open(t, b)
			b.targets[7], b.vms[9] = to.address, to.address
			data := baobabstep.Packet{Kind: baobabstep.KindData, Seq: 5, Target: 7, Payload: []byte("payload")}
			data.Flow.Caller = to.address
			routed := data
			routed.Route = baobabstep.Route{Purpose: baobabstep.PurposeForward, From: 3}
			unknown := data
			unknown.Target = 8
			for _, test := range []struct {
				name string
				send baobabstep.OutgoingPacket
				want baobabstep.Purpose
			}{
				{"to the caller", baobabstep.OutgoingPacket{Dest: baobabstep.DestCaller, Packet: data}, baobabstep.PurposeNone},
				{"to a target by name", baobabstep.OutgoingPacket{Dest: baobabstep.DestTarget, Packet: data}, baobabstep.PurposeNone},
				{"to a target by address", baobabstep.OutgoingPacket{Dest: baobabstep.DestTarget, Address: to.address, Packet: unknown}, baobabstep.PurposeNone},
				{"to a VM with its route", baobabstep.OutgoingPacket{Dest: baobabstep.DestVM, VM: 9, Packet: routed}, baobabstep.PurposeForward},
				{"to a caller without the route", baobabstep.OutgoingPacket{Dest: baobabstep.DestCaller, Packet: routed}, baobabstep.PurposeNone},
			} {
				t.Run(test.name, func(t *testing.T) {
					qt.Assert(t, from.Send([]baobabstep.OutgoingPacket{test.send}), qt.IsNil)
					got := receive(t, to)
					qt.Assert(t, got.Route.Purpose, qt.Equals, test.want)
					qt.Assert(t, got.Seq, qt.Equals, uint32(5))
					qt.Assert(t, string(got.Payload), qt.Equals, "payload")
				})
			}
		})
	}
}

// One Send holds packets that have no address or are too large. They must cost
// their neighbours nothing: the good ones before and after them arrive.
func TestContractSkipsWhatCannotBeSent(t *testing.T) {
	for _, w := range wires {
		t.Run(w.name, func(t *testing.T) {
			from, to := w.open(t, &book{}), w.open(t, &book{})
			good := func(seq uint32) baobabstep.OutgoingPacket {
				p := baobabstep.Packet{Kind: baobabstep.KindData, Seq: seq}
				p.Flow.Caller = to.address
				return baobabstep.OutgoingPacket{Dest: baobabstep.DestCaller, Packet: p}
			}
			large := good(1)
			large.Packet.Payload = make([]byte, 1<<16)
			port0 := good(1)
			port0.Packet.Flow.Caller = netip.MustParseAddrPort("127.0.0.1:0")
			batch := []baobabstep.OutgoingPacket{
				good(1), {}, {Dest: baobabstep.DestTarget}, {Dest: baobabstep.DestVM}, {Dest: baobabstep.DestCaller}, large, port0, good(2),
			}
			qt.Assert(t, from.Send(batch), qt.IsNil)
			qt.Assert(t, receive(t, to).Seq, qt.Equals, uint32(1))
			qt.Assert(t, receive(t, to).Seq, qt.Equals, uint32(2))
		})
	}
}

func TestContractEnds(t *testing.T) {
	for _, w := range wires {
		t.Run(w.name+"/close", func(t *testing.T) {
			e := w.open(t, &book{})
			result := make(chan error)
			go func() {
				_, err := e.Receive(context.Background(), make([]baobabstep.Packet, 1))
				result <- err
			}()
			qt.Assert(t, e.Close(), qt.IsNil)
			qt.Assert(t, errors.Is(<-result, net.ErrClosed), qt.IsTrue)
			qt.Assert(t, e.Close(), qt.IsNil)
		})
		t.Run(w.name+"/context", func(t *testing.T) {
			e := w.open(t, &book{})
			ctx, cancel := context.WithCancel(context.Background())
			result := make(chan error)
			go func() {
				_, err := e.Receive(ctx, make([]baobabstep.Packet, 1))
				result <- err
			}()
			cancel()
			qt.Assert(t, errors.Is(<-result, context.Canceled), qt.IsTrue)
			// Another context can receive again.
			p := baobabstep.Packet{Kind: baobabstep.KindData, Seq: 3}
			p.Flow.Caller = e.address
			qt.Assert(t, e.Send([]baobabstep.OutgoingPacket{{Dest: baobabstep.DestCaller, Packet: p}}), qt.IsNil)
			qt.Assert(t, receive(t, e).Seq, qt.Equals, uint32(3))
		})
	}
}
