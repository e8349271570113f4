// Package peer carries control messages between VMs over WebSocket.
//
// # The model
//
// A link stands for one other VM. It has a bounded queue and at most one
// connection, whichever side dialled it. Sending to a VM without a connection
// dials it, with a jittered backoff between tries; a message that waited too
// long is dropped, because late news of the fleet is worse than none. A
// connection without traffic is closed, so that a large fleet does not end in
// a full mesh.
//
// Both ends prove that they know a key of the fleet before any message passes,
// and each message is sealed with a key of that one connection and a number
// that grows by one: a recorded message fits no other connection, and within
// its own connection it has the wrong number. See handshake.go and frame.go.
// Any VM that knows the key is trusted with the name it gives.
package peer

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"baobabstep"
)

// Defaults of [Options].
const (
	DefaultQueueLimit       = 128
	DefaultReceiveLimit     = 4096
	DefaultMaxMessage       = 64 << 10
	DefaultIdleTimeout      = 2 * time.Minute
	DefaultMessageTTL       = 2 * time.Second
	DefaultHandshakeTimeout = 3 * time.Second
	DefaultMaxBackoff       = 5 * time.Second
)

// lostLimit is the number of lost connections that wait to be read.
const lostLimit = 64

// maxTopic bounds the length of a topic in bytes.
const maxTopic = 64

// AddressSender is a [baobabstep.Peers] that can reach a VM of which only the
// address is known, such as a seed.
type AddressSender interface {
	// SendAddress queues a message for whichever VM answers at address. Like
	// Send it never blocks.
	SendAddress(address netip.AddrPort, m baobabstep.PeerMessage) error
}

var (
	_ baobabstep.Peers = (*Peers)(nil)
	_ AddressSender    = (*Peers)(nil)
	_ LossNotifier     = (*Peers)(nil)
)

// LossNotifier is a [baobabstep.Peers] that tells of connections that ended
// unexpectedly. That is a hint, no proof: the process may have died, or only
// its network had a hiccup.
type LossNotifier interface {
	// Lost yields the VMs whose connection was lost. Nobody has to read it;
	// hints that are not read in time are dropped. It is never closed.
	Lost() <-chan baobabstep.VMID
}

// Options configure [New]. Zero values get the defaults above.
type Options struct {
	Self baobabstep.VM
	// Listen is the address to accept connections at. It is Self.PeerAddress
	// when not set.
	Listen netip.AddrPort
	// LocalIP is the address that outgoing connections come from, if set.
	LocalIP netip.Addr
	// Keys are the secrets of the fleet. The first one seals, all of them
	// are accepted, so that a key can be replaced one VM at a time.
	Keys   [][]byte
	Logger log.Interface

	// QueueLimit is the number of messages that wait for one VM.
	QueueLimit int
	// ReceiveLimit is the number of received messages that wait to be read.
	ReceiveLimit int
	// MaxMessage is the largest body in bytes, in both directions.
	MaxMessage int
	// IdleTimeout is the time without a message after which a connection is
	// closed.
	IdleTimeout time.Duration
	// MessageTTL is the time a message may wait for a connection.
	MessageTTL time.Duration
	// HandshakeTimeout bounds dialling and the handshake.
	HandshakeTimeout time.Duration
	// MaxBackoff bounds the time between two tries to connect.
	MaxBackoff time.Duration
}

func (o *Options) setDefaults() {
	if o.Logger == nil {
		o.Logger = &log.Logger{Handler: discard.New()}
	}
	if !o.Listen.IsValid() {
		o.Listen = o.Self.PeerAddress
	}
	o.QueueLimit = cmp.Or(o.QueueLimit, DefaultQueueLimit)
	o.ReceiveLimit = cmp.Or(o.ReceiveLimit, DefaultReceiveLimit)
	o.MaxMessage = cmp.Or(o.MaxMessage, DefaultMaxMessage)
	o.IdleTimeout = cmp.Or(o.IdleTimeout, DefaultIdleTimeout)
	o.MessageTTL = cmp.Or(o.MessageTTL, DefaultMessageTTL)
	o.HandshakeTimeout = cmp.Or(o.HandshakeTimeout, DefaultHandshakeTimeout)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
}

// Peers implements [baobabstep.Peers] over WebSocket.
type Peers struct {
	o        Options
	listener net.Listener
	server   *http.Server
	client   *http.Client
	messages chan baobabstep.PeerMessage
	lost     chan baobabstep.VMID
	counters counters

	ctx    context.Context
	cancel context.CancelFunc
	ended  chan struct{} // one value for each goroutine that ended
	done   chan struct{}
	// started is the zero of the times kept in connections.
	started time.Time

	mu        sync.Mutex
	closed    bool
	running   int
	keys      [][]byte
	addresses map[baobabstep.VMID]netip.AddrPort
	links     map[baobabstep.VMID]*link
	seeds     map[netip.AddrPort]*link // links to VMs whose ID is not known yet
	shaking   int                      // handshakes of accepted connections
}

// New starts to accept connections. The caller has to Close the result.
func New(o Options) (*Peers, error) {
	o.setDefaults()
	if len(o.Keys) == 0 {
		return nil, baobabstep.Errorf(baobabstep.CodeSettings, "peer.new", "got no keys, want at least 1")
	}
	for i, key := range o.Keys {
		if len(key) < minKey {
			return nil, baobabstep.Errorf(baobabstep.CodeSettings, "peer.new",
				"got key %d of %d bytes, want at least %d", i, len(key), minKey)
		}
	}
	listener, err := net.Listen("tcp", o.Listen.String())
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeSettings, "peer.new", "listen at %v: %w", o.Listen, err)
	}
	p := &Peers{
		o:         o,
		listener:  listener,
		messages:  make(chan baobabstep.PeerMessage, o.ReceiveLimit),
		lost:      make(chan baobabstep.VMID, lostLimit),
		ended:     make(chan struct{}),
		done:      make(chan struct{}),
		started:   time.Now(),
		keys:      o.Keys,
		addresses: make(map[baobabstep.VMID]netip.AddrPort),
		links:     make(map[baobabstep.VMID]*link),
		seeds:     make(map[netip.AddrPort]*link),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	p.client = newClient(o.LocalIP)
	p.server = &http.Server{Handler: http.HandlerFunc(p.accept), ReadHeaderTimeout: o.HandshakeTimeout}
	p.spawn(func(context.Context) { _ = p.server.Serve(listener) })
	// This one keeps the count of goroutines above zero until Close.
	p.spawn(func(ctx context.Context) { <-ctx.Done() })
	go p.wait()
	return p, nil
}

// elapsed returns the time since New by the monotonic clock, in nanoseconds.
func (p *Peers) elapsed() int64 { return int64(time.Since(p.started)) }

func newClient(local netip.Addr) *http.Client {
	dialer := &net.Dialer{}
	if local.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(local, 0))
	}
	return &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}
}

// Address returns the address that connections are accepted at.
func (p *Peers) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Messages yields what peers sent. It is closed after Close.
func (p *Peers) Messages() <-chan baobabstep.PeerMessage { return p.messages }

// Lost yields the VMs whose connection was lost, as [LossNotifier] says.
func (p *Peers) Lost() <-chan baobabstep.VMID { return p.lost }

// Done is closed when every goroutine has ended after Close.
func (p *Peers) Done() <-chan struct{} { return p.done }

// SetPeers replaces the addresses that Send may use.
func (p *Peers) SetPeers(vms []baobabstep.VM) {
	addresses := make(map[baobabstep.VMID]netip.AddrPort, len(vms))
	for _, vm := range vms {
		addresses[vm.ID] = vm.PeerAddress
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addresses = addresses
	for id, l := range p.links {
		if address, ok := addresses[id]; ok {
			l.address = address
		}
		p.forget(l)
	}
}

// SetKeys replaces the keys for connections made from now on.
func (p *Peers) SetKeys(keys [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys = keys
}

func (p *Peers) currentKeys() [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.keys
}

// Send queues a message for a VM. A full queue drops it and counts it. The
// error has CodePeerUnreachable if no way to the VM is known, and CodeTooLarge
// or CodeInvalid for a message that no peer would take.
func (p *Peers) Send(to baobabstep.VMID, m baobabstep.PeerMessage) error {
	if err := p.check(m); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[to]
	address, known := p.addresses[to]
	if p.closed || to == p.o.Self.ID || l == nil && !known {
		return baobabstep.Errorf(baobabstep.CodePeerUnreachable, "peer.send", "no address of VM %x", uint64(to))
	}
	if l == nil {
		l = newLink(to, address)
		p.links[to] = l
	}
	p.enqueue(l, m)
	return nil
}

// SendAddress queues a message for whichever VM answers at address.
func (p *Peers) SendAddress(address netip.AddrPort, m baobabstep.PeerMessage) error {
	if err := p.check(m); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !address.IsValid() || address == p.o.Self.PeerAddress {
		return baobabstep.Errorf(baobabstep.CodePeerUnreachable, "peer.send_address", "no VM at %v", address)
	}
	l := p.linkAt(address)
	if l == nil {
		l = newLink(0, address)
		p.seeds[address] = l
	}
	p.enqueue(l, m)
	return nil
}

// linkAt returns the link whose address is known to be address, or nil.
func (p *Peers) linkAt(address netip.AddrPort) *link {
	if l := p.seeds[address]; l != nil {
		return l
	}
	for _, l := range p.links {
		if l.address == address {
			return l
		}
	}
	return nil
}

func (p *Peers) check(m baobabstep.PeerMessage) error {
	if len(m.Body) > p.o.MaxMessage {
		return baobabstep.Errorf(baobabstep.CodeTooLarge, "peer.send",
			"got a body of %d bytes, want at most %d", len(m.Body), p.o.MaxMessage)
	}
	if m.Topic == "" || len(m.Topic) > maxTopic {
		return baobabstep.Errorf(baobabstep.CodeInvalid, "peer.send",
			"got a topic of %d bytes, want 1 to %d", len(m.Topic), maxTopic)
	}
	return nil
}

// spawn starts a goroutine of this adapter. It reports whether it did: after
// Close nothing new starts.
func (p *Peers) spawn(run func(context.Context)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spawnLocked(run)
}

func (p *Peers) spawnLocked(run func(context.Context)) bool {
	if p.closed {
		return false
	}
	p.running++
	go func() {
		run(p.ctx)
		p.ended <- struct{}{}
	}()
	return true
}

// wait reads the end of every goroutine and finishes what Close began. One
// goroutine ends only after Close, so running is zero only then.
func (p *Peers) wait() {
	for range p.ended {
		p.mu.Lock()
		p.running--
		last := p.running == 0
		p.mu.Unlock()
		if last {
			break
		}
	}
	close(p.messages)
	close(p.done)
}

// Close ends all connections and returns when all goroutines have ended.
func (p *Peers) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	err := p.server.Close()
	<-p.done
	if err != nil {
		return baobabstep.Errorf(baobabstep.CodeInternal, "peer.close", "close listener: %w", err)
	}
	return nil
}
