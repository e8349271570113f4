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
)

// Defaults of SocketOptions.
const (
	DefaultBatch       = 64
	DefaultBufferBytes = 4 << 20
)

// SocketOptions are the settings of the sockets, whatever wire they carry.
type SocketOptions struct {
	// Listen is the address to bind; port 0 takes any.
	Listen netip.AddrPort
	// Shards is the number of sockets; 0 means 1.
	Shards int
	// Batch is the most datagrams per system call; 0 means DefaultBatch.
	Batch int
	// BufferBytes is the size asked for each socket's buffers in bytes; the
	// kernel may grant less. 0 means DefaultBufferBytes.
	BufferBytes int
}

// socket is one shard: datagrams in batches, whatever they hold. Reading is for
// one goroutine, sending for any.
type socket struct {
	address netip.AddrPort
	udp     *net.UDPConn
	batch   batchConn
	done    chan struct{}
	close   sync.Once

	sent, sendFailed atomic.Uint64

	in []ipv4.Message
	// watchLock guards watched against late ends of earlier contexts; only
	// read writes it.
	watchLock sync.Mutex
	watched   context.Context
	unwatch   func() bool

	sendLock sync.Mutex
	out      []ipv4.Message
	outAddrs []net.UDPAddr
}

// batchConn is what ipv4.PacketConn and ipv6.PacketConn share.
type batchConn interface {
	ReadBatch(messages []ipv4.Message, flags int) (int, error)
	WriteBatch(messages []ipv4.Message, flags int) (int, error)
}

// newSockets binds the shards for datagrams of at most the given bytes. Errors:
// CodeSettings.
func newSockets(o SocketOptions, datagram int) ([]*socket, error) {
	o = o.filled()
	sockets := make([]*socket, 0, o.Shards)
	for i := range o.Shards {
		s, err := listen(o, datagram, i == 0)
		if err != nil {
			for _, opened := range sockets {
				_ = opened.Close()
			}
			return nil, err
		}
		// The shards after the first take the port that it was given.
		o.Listen = s.address
		sockets = append(sockets, s)
	}
	return sockets, nil
}

func (o SocketOptions) filled() SocketOptions {
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
func listen(o SocketOptions, datagram int, first bool) (*socket, error) {
	var config net.ListenConfig
	if !first {
		config.Control = func(_, _ string, raw syscall.RawConn) error { return reusePort(raw) }
	}
	pc, err := config.ListenPacket(context.Background(), "udp", o.Listen.String())
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeSettings, "packet.listen", "%w", err)
	}
	udp := pc.(*net.UDPConn)
	if first && o.Shards > 1 {
		if err := shareAddress(udp); err != nil {
			_ = udp.Close()
			return nil, baobabstep.Errorf(baobabstep.CodeSettings, "packet.listen", "%w", err)
		}
	}
	// A smaller buffer than asked for costs packets under bursts only.
	_ = udp.SetReadBuffer(o.BufferBytes)
	_ = udp.SetWriteBuffer(o.BufferBytes)
	s := &socket{
		address:  udp.LocalAddr().(*net.UDPAddr).AddrPort(),
		udp:      udp,
		done:     make(chan struct{}),
		in:       make([]ipv4.Message, o.Batch),
		out:      make([]ipv4.Message, o.Batch),
		outAddrs: make([]net.UDPAddr, o.Batch),
	}
	if o.Listen.Addr().Is4() {
		s.batch = ipv4.NewPacketConn(udp)
	} else {
		s.batch = ipv6.NewPacketConn(udp)
	}
	for i := range s.in {
		s.in[i].Buffers = [][]byte{make([]byte, datagram)}
		s.out[i].Buffers = [][]byte{make([]byte, 0, datagram)}
		s.outAddrs[i].IP = make(net.IP, 0, net.IPv6len)
		s.out[i].Addr = &s.outAddrs[i]
	}
	return s, nil
}

func shareAddress(udp *net.UDPConn) error {
	raw, err := udp.SyscallConn()
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

// Done is closed once the shard is closed.
func (s *socket) Done() <-chan struct{} { return s.done }

// Close ends Receive and frees the socket.
func (s *socket) Close() error {
	var err error
	s.close.Do(func() {
		err = s.udp.Close()
		close(s.done)
	})
	return err
}

// read waits for datagrams and returns how many came, at most limit. It returns
// net.ErrClosed after Close and the context's error after its end.
func (s *socket) read(ctx context.Context, limit int) (int, error) {
	s.watch(ctx)
	if err := ctx.Err(); err != nil {
		return 0, err
	}
	n, err := s.batch.ReadBatch(s.in[:min(limit, len(s.in))], 0)
	if err != nil && ctx.Err() != nil {
		return 0, ctx.Err()
	}
	return n, err
}

// receive waits until a datagram came that decode takes, and returns how many it
// took, at most limit. decode gets a datagram, valid until the next receive, and
// the number of those taken before. Errors as read.
func (s *socket) receive(ctx context.Context, limit int, decode func(datagram []byte, at int) bool) (int, error) {
	for {
		n, err := s.read(ctx, limit)
		if err != nil {
			return 0, err
		}
		taken := 0
		for i := range n {
			if decode(s.in[i].Buffers[0][:s.in[i].N], taken) {
				taken++
			}
		}
		if taken > 0 {
			return taken, nil
		}
	}
}

// watch makes the end of ctx wake a blocked read. Callers pass the same context
// each time, so the cost is paid once and not for each batch.
func (s *socket) watch(ctx context.Context) {
	if s.watched == ctx {
		return
	}
	if s.unwatch != nil {
		s.unwatch()
	}
	s.watchLock.Lock()
	defer s.watchLock.Unlock()
	s.watched = ctx
	_ = s.udp.SetReadDeadline(time.Time{})
	s.unwatch = context.AfterFunc(ctx, func() { s.wake(ctx) })
}

// wake ends a read that waits under ctx. The end of an earlier context can come
// late, after Receive went on under another; it must not end that one's read.
func (s *socket) wake(ctx context.Context) {
	s.watchLock.Lock()
	defer s.watchLock.Unlock()
	if s.watched == ctx {
		_ = s.udp.SetReadDeadline(time.Unix(1, 0))
	}
}

// send sends count datagrams. Each is appended by encode to a buffer, or left
// out if it says so. The error is net.ErrClosed after Close.
func (s *socket) send(count int, encode func(i int, b []byte) (datagram []byte, to netip.AddrPort, ok bool)) error {
	s.sendLock.Lock()
	defer s.sendLock.Unlock()
	filled := 0
	for i := range count {
		b, to, ok := encode(i, s.out[filled].Buffers[0][:0])
		if !ok {
			continue
		}
		s.out[filled].Buffers[0] = b
		setAddress(&s.outAddrs[filled], to)
		filled++
		if filled == len(s.out) {
			if err := s.flush(filled); err != nil {
				return err
			}
			filled = 0
		}
	}
	return s.flush(filled)
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

// flush writes the first n messages. The kernel stops at a datagram that it
// refuses; that one is counted and skipped, so that it holds up no other.
func (s *socket) flush(n int) error {
	for next := 0; next < n; {
		sent, err := s.batch.WriteBatch(s.out[next:n], 0)
		sent = max(sent, 0)
		next += sent
		s.sent.Add(uint64(sent))
		if err == nil {
			continue
		}
		select {
		case <-s.done:
			return net.ErrClosed
		default:
		}
		s.sendFailed.Add(1)
		next++
	}
	return nil
}
