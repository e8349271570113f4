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
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/net/ipv4"
	"golang.org/x/net/ipv6"
	"golang.org/x/sys/unix"

	"baobabstep"
	"baobabstep/io/wire"
)

// Defaults of Options.
const (
	DefaultBatch       = 64
	DefaultBufferBytes = 4 << 20
)

// Options are the settings of New.
type Options struct {
	// Listen is the address to bind; port 0 takes any.
	Listen netip.AddrPort
	// Shards is the number of sockets; 0 means 1.
	Shards int
	// Keys are the secrets shared by the VMs. The first signs, all are
	// accepted. Without keys no route can be sent or received.
	Keys [][]byte
	// Book resolves targets and VMs.
	Book baobabstep.AddressBook
	// Batch is the most datagrams per system call; 0 means DefaultBatch.
	Batch int
	// BufferBytes is the size asked for each socket's buffers in bytes; the
	// kernel may grant less. 0 means DefaultBufferBytes.
	BufferBytes int
}

// Conn is one shard. Receive is for one goroutine, Send for any.
type Conn struct {
	address netip.AddrPort
	keys    []wire.Key
	book    baobabstep.AddressBook
	socket  *net.UDPConn
	batch   batchConn
	done    chan struct{}
	close   sync.Once
	counts  counts

	in []ipv4.Message
	// watchLock guards watched against late ends of earlier contexts; only
	// Receive writes it.
	watchLock sync.Mutex
	watched   context.Context
	unwatch   func() bool

	sendLock sync.Mutex
	out      []ipv4.Message
	outAddrs []net.UDPAddr
}

var _ baobabstep.Packets = (*Conn)(nil)

// batchConn is what ipv4.PacketConn and ipv6.PacketConn share.
type batchConn interface {
	ReadBatch(messages []ipv4.Message, flags int) (int, error)
	WriteBatch(messages []ipv4.Message, flags int) (int, error)
}

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
	received, sent                                       atomic.Uint64
	malformed, foreignVersion, tooLarge, unauthenticated atomic.Uint64
	unaddressed, unencodable, sendFailed                 atomic.Uint64
	recordBytes, claimBytes                              atomic.Uint64
}

// New binds the sockets. Errors: CodeSettings.
func New(o Options) ([]*Conn, error) {
	o = o.filled()
	keys := make([]wire.Key, 0, len(o.Keys))
	for _, secret := range o.Keys {
		key, err := wire.NewKey(secret)
		if err != nil {
			return nil, err
		}
		keys = append(keys, key)
	}
	conns := make([]*Conn, 0, o.Shards)
	for i := range o.Shards {
		c, err := listen(o, keys, i == 0)
		if err != nil {
			for _, opened := range conns {
				_ = opened.Close()
			}
			return nil, err
		}
		// The shards after the first take the port that it was given.
		o.Listen = c.address
		conns = append(conns, c)
	}
	return conns, nil
}

func (o Options) filled() Options {
	if o.Shards == 0 {
		o.Shards = 1
	}
	if o.Batch == 0 {
		o.Batch = DefaultBatch
	}
	if o.BufferBytes == 0 {
		o.BufferBytes = DefaultBufferBytes
	}
	return o
}

// listen binds one shard. The first binds alone and opens the address to the
// others afterwards. If it asked to share from the start, a second process on
// the same address would silently take part of this one's packets, and port 0
// could give a port that another process already shares; now either is an error.
func listen(o Options, keys []wire.Key, first bool) (*Conn, error) {
	var config net.ListenConfig
	if !first {
		config.Control = func(_, _ string, raw syscall.RawConn) error { return reusePort(raw) }
	}
	pc, err := config.ListenPacket(context.Background(), "udp", o.Listen.String())
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeSettings, "packet.listen", "%w", err)
	}
	socket := pc.(*net.UDPConn)
	if first && o.Shards > 1 {
		if err := shareAddress(socket); err != nil {
			_ = socket.Close()
			return nil, baobabstep.Errorf(baobabstep.CodeSettings, "packet.listen", "%w", err)
		}
	}
	// A smaller buffer than asked for costs packets under bursts only.
	_ = socket.SetReadBuffer(o.BufferBytes)
	_ = socket.SetWriteBuffer(o.BufferBytes)
	c := &Conn{
		address:  socket.LocalAddr().(*net.UDPAddr).AddrPort(),
		keys:     keys,
		book:     o.Book,
		socket:   socket,
		done:     make(chan struct{}),
		in:       make([]ipv4.Message, o.Batch),
		out:      make([]ipv4.Message, o.Batch),
		outAddrs: make([]net.UDPAddr, o.Batch),
	}
	if o.Listen.Addr().Is4() {
		c.batch = ipv4.NewPacketConn(socket)
	} else {
		c.batch = ipv6.NewPacketConn(socket)
	}
	for i := range c.in {
		// One byte more than the limit shows datagrams that are too large.
		c.in[i].Buffers = [][]byte{make([]byte, wire.MaxDatagram+1)}
		c.out[i].Buffers = [][]byte{make([]byte, 0, wire.MaxDatagram)}
		c.outAddrs[i].IP = make(net.IP, 0, net.IPv6len)
		c.out[i].Addr = &c.outAddrs[i]
	}
	return c, nil
}

func shareAddress(socket *net.UDPConn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return reusePort(raw)
}

func reusePort(raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Address returns the bound address.
func (c *Conn) Address() netip.AddrPort { return c.address }

// Done is closed once the shard is closed.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends Receive and frees the socket.
func (c *Conn) Close() error {
	var err error
	c.close.Do(func() {
		err = c.socket.Close()
		close(c.done)
	})
	return err
}

// Stats returns the present counts.
func (c *Conn) Stats() Stats {
	return Stats{
		Received:        c.counts.received.Load(),
		Sent:            c.counts.sent.Load(),
		Malformed:       c.counts.malformed.Load(),
		ForeignVersion:  c.counts.foreignVersion.Load(),
		TooLarge:        c.counts.tooLarge.Load(),
		Unauthenticated: c.counts.unauthenticated.Load(),
		Unaddressed:     c.counts.unaddressed.Load(),
		Unencodable:     c.counts.unencodable.Load(),
		SendFailed:      c.counts.sendFailed.Load(),
		RecordBytes:     c.counts.recordBytes.Load(),
		ClaimBytes:      c.counts.claimBytes.Load(),
	}
}

// Receive implements [baobabstep.Packets]. It returns net.ErrClosed after
// Close and the context's error after its end.
func (c *Conn) Receive(ctx context.Context, batch []baobabstep.Packet) (int, error) {
	c.watch(ctx)
	for {
		if err := ctx.Err(); err != nil {
			return 0, err
		}
		n, err := c.batch.ReadBatch(c.in[:min(len(batch), len(c.in))], 0)
		if err != nil {
			if ctx.Err() != nil {
				return 0, ctx.Err()
			}
			return 0, err
		}
		if count := c.decode(batch, n); count > 0 {
			return count, nil
		}
	}
}

// watch makes the end of ctx wake a blocked read. Callers pass the same context
// each time, so the cost is paid once and not for each batch.
func (c *Conn) watch(ctx context.Context) {
	if c.watched == ctx {
		return
	}
	if c.unwatch != nil {
		c.unwatch()
	}
	c.watchLock.Lock()
	defer c.watchLock.Unlock()
	c.watched = ctx
	_ = c.socket.SetReadDeadline(time.Time{})
	c.unwatch = context.AfterFunc(ctx, func() { c.wake(ctx) })
}

// wake ends a read that waits under ctx. The end of an earlier context can come
// late, after Receive went on under another; it must not end that one's read.
func (c *Conn) wake(ctx context.Context) {
	c.watchLock.Lock()
	defer c.watchLock.Unlock()
	if c.watched == ctx {
		_ = c.socket.SetReadDeadline(time.Unix(1, 0))
	}
}

// decode fills batch from the first n messages and returns how many were good.
func (c *Conn) decode(batch []baobabstep.Packet, n int) int {
	good := 0
	for i := range n {
		m := &c.in[i]
		if err := wire.Decode(m.Buffers[0][:m.N], &batch[good], c.keys); err != nil {
			c.countRefused(err)
			continue
		}
		good++
	}
	c.counts.received.Add(uint64(good))
	return good
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
func (c *Conn) Send(batch []baobabstep.Send) error {
	c.sendLock.Lock()
	defer c.sendLock.Unlock()
	filled := 0
	for i := range batch {
		if !c.encode(&batch[i], filled) {
			continue
		}
		filled++
		if filled == len(c.out) {
			if err := c.flush(filled); err != nil {
				return err
			}
			filled = 0
		}
	}
	return c.flush(filled)
}

// encode fills message i with s, or counts why it cannot.
func (c *Conn) encode(s *baobabstep.Send, i int) bool {
	to, ok := c.resolve(s)
	if !ok {
		c.counts.unaddressed.Add(1)
		return false
	}
	if s.Dest != baobabstep.DestVM {
		// What VMs tell each other is nobody else's business.
		s.Packet.Route = baobabstep.Route{}
	}
	var key wire.Key
	if len(c.keys) > 0 {
		key = c.keys[0]
	}
	m := &c.out[i]
	b, err := wire.Append(m.Buffers[0][:0], &s.Packet, key)
	if err != nil {
		c.counts.unencodable.Add(1)
		return false
	}
	m.Buffers[0] = b
	c.countOwn(&s.Packet, len(b))
	setAddress(&c.outAddrs[i], to)
	return true
}

func setAddress(a *net.UDPAddr, to netip.AddrPort) {
	if addr := to.Addr().Unmap(); addr.Is4() {
		b := addr.As4()
		a.IP = append(a.IP[:0], b[:]...)
	} else {
		b := addr.As16()
		a.IP = append(a.IP[:0], b[:]...)
	}
	a.Port = int(to.Port())
}

func (c *Conn) resolve(s *baobabstep.Send) (netip.AddrPort, bool) {
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

// flush writes the first n messages. The kernel stops at a datagram that it
// refuses; that one is counted and skipped, so that it holds up no other.
func (c *Conn) flush(n int) error {
	for next := 0; next < n; {
		sent, err := c.batch.WriteBatch(c.out[next:n], 0)
		sent = max(sent, 0)
		next += sent
		c.counts.sent.Add(uint64(sent))
		if err == nil {
			continue
		}
		select {
		case <-c.done:
			return net.ErrClosed
		default:
		}
		c.counts.sendFailed.Add(1)
		next++
	}
	return nil
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
