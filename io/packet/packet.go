// Package packet carries packets over UDP: the [baobabstep.Packets] of today.
//
// New binds one socket per shard to the same address. The kernel spreads the
// senders over them (SO_REUSEPORT), so each shard has a reader of its own and
// no lock is shared on the way in. Datagrams are read and written in batches,
// one system call for up to Options.Batch of them. What cannot be read or sent
// is dropped and counted, never retried: the ends of a flow repeat what
// matters to them.
package packet

import (
	"context"
	"net/netip"
	"sync/atomic"

	"baobabstep"
	"baobabstep/io/wire"
)

// Options are the settings of New.
type Options struct {
	// Listen, Shards, Batch and BufferBytes are those of SocketOptions.
	Listen                     netip.AddrPort
	Shards, Batch, BufferBytes int
	// Keys are the secrets shared by the VMs. The first signs, all are
	// accepted. Without keys no route can be sent or received.
	Keys [][]byte
	// Book resolves targets and VMs.
	Book baobabstep.AddressBook
}

// Conn is one shard. Receive is for one goroutine, Send for any.
type Conn struct {
	*socket
	keys   []wire.Key
	book   baobabstep.AddressBook
	counts counts
}

var _ baobabstep.Packets = (*Conn)(nil)

// Stats counts the datagrams of one shard since it was made.
type Stats struct {
	Received, Sent uint64
	// Dropped on the way in, by reason.
	Malformed, ForeignVersion, TooLarge, Unauthenticated uint64
	// Dropped on the way out: no address known, not encodable, or refused by
	// the kernel.
	Unaddressed, Unencodable, SendFailed uint64
	// RecordBytes and ClaimBytes are sent in datagrams that VMs exchange
	// about flows and about requests and that carry nothing of a caller or
	// target. Records cost by changes of the fleet, claims by requests.
	RecordBytes, ClaimBytes uint64
}

type counts struct {
	received                                             atomic.Uint64
	malformed, foreignVersion, tooLarge, unauthenticated atomic.Uint64
	unaddressed, unencodable                             atomic.Uint64
	recordBytes, claimBytes                              atomic.Uint64
}

// New binds the sockets. Errors: CodeSettings.
func New(o Options) ([]*Conn, error) {
	keys := make([]wire.Key, 0, len(o.Keys))
	for _, secret := range o.Keys {
		key, err := wire.NewKey(secret)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	// One byte more than the limit shows datagrams that are too large.
	sockets, err := newSockets(SocketOptions{
		Listen: o.Listen, Shards: o.Shards, Batch: o.Batch, BufferBytes: o.BufferBytes,
	}, wire.MaxDatagram+1)
	if err != nil {
		return nil, err
	}
	conns := make([]*Conn, 0, len(sockets))
	for _, s := range sockets {
		conns = append(conns, &Conn{socket: s, keys: keys, book: o.Book})
	}
	return conns, nil
}

// Address returns the bound address.
func (c *Conn) Address() netip.AddrPort { return c.address }

// Stats returns the present counts.
func (c *Conn) Stats() Stats {
	return Stats{
		Received:        c.counts.received.Load(),
		Sent:            c.sent.Load(),
		Malformed:       c.counts.malformed.Load(),
		ForeignVersion:  c.counts.foreignVersion.Load(),
		TooLarge:        c.counts.tooLarge.Load(),
		Unauthenticated: c.counts.unauthenticated.Load(),
		Unaddressed:     c.counts.unaddressed.Load(),
		Unencodable:     c.counts.unencodable.Load(),
		SendFailed:      c.sendFailed.Load(),
		RecordBytes:     c.counts.recordBytes.Load(),
		ClaimBytes:      c.counts.claimBytes.Load(),
	}
}

// Receive implements [baobabstep.Packets]. It returns net.ErrClosed after
// Close and the context's error after its end.
func (c *Conn) Receive(ctx context.Context, batch []baobabstep.Packet) (int, error) {
	n, err := c.receive(ctx, len(batch), func(datagram []byte, at int) bool {
		err := wire.Decode(datagram, &batch[at], c.keys)
		if err != nil {
			c.countRefused(err)
		}
		return err == nil
	})
	c.counts.received.Add(uint64(n))
	return n, err
}

func (c *Conn) countRefused(err error) {
	switch baobabstep.CodeOf(err) {
	case baobabstep.CodeForeignVersion:
		c.counts.foreignVersion.Add(1)
	case baobabstep.CodeTooLarge:
		c.counts.tooLarge.Add(1)
	case baobabstep.CodeUnauthenticated:
		c.counts.unauthenticated.Add(1)
	default:
		c.counts.malformed.Add(1)
	}
}

// Send implements [baobabstep.Packets]. It returns net.ErrClosed after Close;
// what cannot be sent for other reasons is counted in Stats.
func (c *Conn) Send(batch []baobabstep.OutgoingPacket) error {
	return c.send(len(batch), func(i int, b []byte) ([]byte, netip.AddrPort, bool) { return c.encode(&batch[i], b) })
}

// encode appends the datagram of s to b, or counts why it cannot.
func (c *Conn) encode(s *baobabstep.OutgoingPacket, b []byte) ([]byte, netip.AddrPort, bool) {
	to, ok := c.resolve(s)
	if !ok {
		c.counts.unaddressed.Add(1)
		return b, to, false
	}
	if s.Dest != baobabstep.DestVM {
		// What VMs tell each other is nobody else's business.
		s.Packet.Route = baobabstep.Route{}
	}
	var key wire.Key
	if len(c.keys) > 0 {
		key = c.keys[0]
	}
	b, err := wire.Append(b, &s.Packet, key)
	if err != nil {
		c.counts.unencodable.Add(1)
		return b, to, false
	}
	c.countOwn(&s.Packet, len(b))
	return b, to, true
}

func (c *Conn) resolve(s *baobabstep.OutgoingPacket) (netip.AddrPort, bool) {
	switch s.Dest {
	case baobabstep.DestCaller:
		to := s.Packet.Flow.Caller
		return to, to.IsValid() && to.Port() != 0
	case baobabstep.DestTarget:
		if s.Address.IsValid() {
			return s.Address, true
		}
		if c.book == nil {
			return netip.AddrPort{}, false
		}
		return c.book.TargetAddress(s.Packet.Target)
	case baobabstep.DestVM:
		if c.book == nil {
			return netip.AddrPort{}, false
		}
		return c.book.VMAddress(s.VM)
	}
	return netip.AddrPort{}, false
}

// countOwn counts datagrams that exist only for the VMs' sake.
func (c *Conn) countOwn(p *baobabstep.Packet, bytes int) {
	switch p.Route.Purpose {
	case baobabstep.PurposeLearn, baobabstep.PurposeStored:
	case baobabstep.PurposeForget:
		if p.Kind == baobabstep.KindClose {
			return // The news rides on a packet that goes on.
		}
	case baobabstep.PurposeReplicate:
		if p.Kind != baobabstep.KindRequest {
			return // The copy of a flow's record rides on a packet that goes on.
		}
	default:
		return
	}
	switch p.Kind {
	case baobabstep.KindRequest, baobabstep.KindAnswer, baobabstep.KindRefusal, baobabstep.KindCancel:
		c.counts.claimBytes.Add(uint64(bytes))
	default:
		c.counts.recordBytes.Add(uint64(bytes))
	}
}
