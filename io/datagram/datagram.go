// Package datagram carries short messages between VMs over UDP, each with a code
// made with a shared secret.
//
// Nothing is repeated or kept in order; messages have to bear being lost,
// doubled and sent again by whoever recorded them. Until the secret is known
// nothing is sent and nothing taken.
package datagram

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"baobabstep"
	"baobabstep/io/wire"
)

// maxBytes is the largest datagram taken, in bytes.
const maxBytes = 1400

// readBufferBytes is the size of the receive buffer. When a fleet starts, all VMs send
// heartbeats to the same seeds at once.
const readBufferBytes = 1 << 20

// label keeps the codes of these datagrams apart from others made with
// the same secret.
const label = "baobabstep heartbeat 1\x00"

// Conn is one socket. Receive is for one goroutine, Send for any.
type Conn struct {
	socket *net.UDPConn
	key    atomic.Pointer[wire.Key]
	count  counts
}

type counts struct {
	sent, sentBytes, received, refused, failed atomic.Uint64
}

// Stats counts datagrams since the start.
type Stats struct {
	Sent, SentBytes, Received uint64
	// Refused came without a valid code, Failed could not be sent.
	Refused, Failed uint64
}

// Listen binds address. Errors: CodeSettings.
func Listen(address netip.AddrPort) (*Conn, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeSettings, "datagram.listen", "listen at %v: %w", address, err)
	}
	_ = socket.SetReadBuffer(readBufferBytes) // best effort: a smaller buffer only loses more datagrams
	return &Conn{socket: socket}, nil
}

// Address returns the bound address.
func (c *Conn) Address() netip.AddrPort {
	return c.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetSecret sets the shared secret. Errors: CodeSettings.
func (c *Conn) SetSecret(secret []byte) error {
	key, err := wire.NewLabelledKey(label, secret)
	if err != nil {
		return err
	}
	c.key.Store(&key)
	return nil
}

// Send sends one message. What cannot be sent is counted: the next message
// says what still matters.
func (c *Conn) Send(to netip.AddrPort, message []byte) {
	key := c.key.Load()
	if key == nil {
		return
	}
	sealed := key.Seal(append(make([]byte, 0, maxBytes), message...))
	if _, err := c.socket.WriteToUDPAddrPort(sealed, to); err != nil {
		c.count.failed.Add(1)
		return
	}
	c.count.sent.Add(1)
	c.count.sentBytes.Add(uint64(len(sealed)))
}

// Receive calls handle for each message until ctx ends. The message is valid
// only during the call.
func (c *Conn) Receive(ctx context.Context, handle func(from netip.AddrPort, message []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = c.socket.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	buffer := make([]byte, maxBytes)
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			c.count.refused.Add(1)
			continue
		}
		message, ok := c.open(buffer[:n])
		if !ok {
			c.count.refused.Add(1)
			continue
		}
		c.count.received.Add(1)
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), message)
	}
}

func (c *Conn) open(datagram []byte) ([]byte, bool) {
	key := c.key.Load()
	if key == nil {
		return nil, false
	}
	message, err := key.Open(datagram)
	return message, err == nil
}

// Stats returns the present counts.
func (c *Conn) Stats() Stats {
	return Stats{
		Sent: c.count.sent.Load(), SentBytes: c.count.sentBytes.Load(), Received: c.count.received.Load(),
		Refused: c.count.refused.Load(), Failed: c.count.failed.Load(),
	}
}

// Close frees the socket.
func (c *Conn) Close() error { return c.socket.Close() }
