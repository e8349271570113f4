package packet

import (
	"context"
	"net/netip"
	"sync/atomic"

	"baobabstep"
)

// SegmentCodec is a wire of segments.
type SegmentCodec interface {
	// MaxDatagram is the size in bytes of the largest datagram, either way.
	MaxDatagram() int
	// Decode fills s from a datagram; s.Raw may point into it. Errors:
	// CodeMalformed, CodeTooLarge.
	Decode(datagram []byte, s *baobabstep.Segment) error
	// Append appends the datagram of f to b and returns where it goes.
	Append(b []byte, f *baobabstep.OutgoingDatagram) ([]byte, netip.AddrPort)
}

// SegmentConn is one shard of the sockets that carry segments. Receive is for
// one goroutine, Send for any.
type SegmentConn struct {
	*socket
	codec               SegmentCodec
	received, malformed atomic.Uint64
}

var _ baobabstep.Segments = (*SegmentConn)(nil)

// NewSegments binds the sockets for a wire of segments. Errors: CodeSettings.
func NewSegments(o SocketOptions, codec SegmentCodec) ([]*SegmentConn, error) {
	// One byte more than the limit shows datagrams that are too large.
	sockets, err := newSockets(o, codec.MaxDatagram()+1)
	if err != nil {
		return nil, err
	}
	conns := make([]*SegmentConn, 0, len(sockets))
	for _, s := range sockets {
		conns = append(conns, &SegmentConn{socket: s, codec: codec})
	}
	return conns, nil
}

// Address returns the bound address.
func (c *SegmentConn) Address() netip.AddrPort { return c.address }

// Receive implements [baobabstep.Segments]. It returns net.ErrClosed after
// Close and the context's error after its end.
func (c *SegmentConn) Receive(ctx context.Context, batch []baobabstep.Segment) (int, error) {
	n, err := c.receive(ctx, len(batch), func(datagram []byte, at int) bool {
		err := c.codec.Decode(datagram, &batch[at])
		if err != nil {
			c.malformed.Add(1)
		}
		return err == nil
	})
	c.received.Add(uint64(n))
	return n, err
}

// Send implements [baobabstep.Segments]. It returns net.ErrClosed after Close;
// what cannot be sent for other reasons is counted in Stats.
func (c *SegmentConn) Send(batch []baobabstep.OutgoingDatagram) error {
	return c.send(len(batch), func(i int, b []byte) ([]byte, netip.AddrPort, bool) {
		b, to := c.codec.Append(b, &batch[i])
		return b, to, true
	})
}

// Malformed returns the number of datagrams that could not be decoded.
func (c *SegmentConn) Malformed() uint64 { return c.malformed.Load() }

// Stats returns the present counts; those of other wires stay 0.
func (c *SegmentConn) Stats() Stats {
	return Stats{
		Received: c.received.Load(), Malformed: c.malformed.Load(),
		Sent: c.sent.Load(), SendFailed: c.sendFailed.Load(),
	}
}
