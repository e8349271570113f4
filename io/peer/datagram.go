package peer

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

// maxDatagram is the largest datagram taken, in bytes.
const maxDatagram = 1400

// datagramLabel keeps the codes of these datagrams apart from others made with
// the same secret.
const datagramLabel = "baobabstep heartbeat 1\x00"

// Datagrams carries short messages between VMs over UDP, each with a code made
// with a shared secret. Nothing is repeated or kept in order; messages have to
// bear being lost, doubled and sent again by whoever recorded them.
//
// Until the secret is known nothing is sent and nothing taken.
type Datagrams struct {
	socket *net.UDPConn
	key    atomic.Pointer[wire.Key]
	counts datagramCounts
}

type datagramCounts struct {
	sent, sentBytes, received, refused, failed atomic.Uint64
}

// DatagramStats counts datagrams since the start.
type DatagramStats struct {
	Sent, SentBytes, Received uint64
	// Refused came without a valid code, Failed could not be sent.
	Refused, Failed uint64
}

// ListenDatagrams binds address. Errors: CodeSettings.
func ListenDatagrams(address netip.AddrPort) (*Datagrams, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeSettings, "peer.datagrams", "listen at %v: %w", address, err)
	}
	return &Datagrams{socket: socket}, nil
}

// Address returns the bound address.
func (d *Datagrams) Address() netip.AddrPort {
	return d.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetSecret sets the shared secret. Errors: CodeSettings.
func (d *Datagrams) SetSecret(secret []byte) error {
	key, err := wire.NewLabelledKey(datagramLabel, secret)
	if err != nil {
		return err
	}
	d.key.Store(&key)
	return nil
}

// Send sends one message. What cannot be sent is counted: the next message
// says what still matters.
func (d *Datagrams) Send(to netip.AddrPort, message []byte) {
	key := d.key.Load()
	if key == nil {
		return
	}
	sealed := key.Seal(append(make([]byte, 0, maxDatagram), message...))
	if _, err := d.socket.WriteToUDPAddrPort(sealed, to); err != nil {
		d.counts.failed.Add(1)
		return
	}
	d.counts.sent.Add(1)
	d.counts.sentBytes.Add(uint64(len(sealed)))
}

// Receive calls handle for each message until ctx ends. The message is valid
// only during the call.
func (d *Datagrams) Receive(ctx context.Context, handle func(from netip.AddrPort, message []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = d.socket.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := d.socket.ReadFromUDPAddrPort(buffer)
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			d.counts.refused.Add(1)
			continue
		}
		message, ok := d.open(buffer[:n])
		if !ok {
			d.counts.refused.Add(1)
			continue
		}
		d.counts.received.Add(1)
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), message)
	}
}

func (d *Datagrams) open(datagram []byte) ([]byte, bool) {
	key := d.key.Load()
	if key == nil {
		return nil, false
	}
	message, err := key.Open(datagram)
	return message, err == nil
}

// Stats returns the present counts.
func (d *Datagrams) Stats() DatagramStats {
	return DatagramStats{
		Sent: d.counts.sent.Load(), SentBytes: d.counts.sentBytes.Load(), Received: d.counts.received.Load(),
		Refused: d.counts.refused.Load(), Failed: d.counts.failed.Load(),
	}
}

// Close frees the socket.
func (d *Datagrams) Close() error { return d.socket.Close() }
