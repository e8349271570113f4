package peer

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"
	"github.com/coder/websocket"

	"baobabstep"
)

const (
	// path is the URL path of connections between VMs.
	path = "/peer"
	// minBackoff is the mean time before the second try to connect.
	minBackoff = 100 * time.Millisecond
	// maxShaking bounds the handshakes of accepted connections at one time,
	// so that strangers cannot fill the memory.
	maxShaking = 256
)

// link is what is known of one other VM. Its fields are guarded by Peers.mu.
type link struct {
	id      baobabstep.VMID // 0 until a seed has answered
	address netip.AddrPort
	queue   []queued
	wake    chan struct{} // holds one value while queue may have news
	conn    *conn
	dialing bool
	backoff *backoff.ExponentialBackOff
	// notBefore is the time of the next try to connect.
	notBefore time.Time
}

type queued struct {
	message baobabstep.PeerMessage
	expires time.Time
}

// conn is one authenticated connection.
type conn struct {
	ws      *websocket.Conn
	remote  baobabstep.VMID
	dialler baobabstep.VMID
	out, in *seal
	since   time.Time
	ctx     context.Context // ends with the connection
	cancel  context.CancelFunc
	// replaced is closed when another connection has taken the link over.
	replaced chan struct{}
	// ordered is set when the connection is closed on purpose, by either end.
	ordered atomic.Bool
	// used and heard are the times of the last message in either direction
	// and of the last sign of life from the other end, since Peers.started.
	used, heard atomic.Int64
}

func newLink(id baobabstep.VMID, address netip.AddrPort) *link {
	return &link{id: id, address: address, wake: make(chan struct{}, 1)}
}

// open prepares a connection that passed the handshake.
func (p *Peers) open(c *conn) {
	c.ctx, c.cancel = context.WithCancel(p.ctx)
	c.replaced = make(chan struct{})
}

func (l *link) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// enqueue needs Peers.mu.
func (p *Peers) enqueue(l *link, m baobabstep.PeerMessage) {
	if len(l.queue) >= p.o.QueueLimit {
		p.counters.droppedOut.Add(1)
		return
	}
	l.queue = append(l.queue, queued{m, time.Now().Add(p.o.MessageTTL)})
	l.signal()
	p.connect(l)
}

// connect needs Peers.mu. It starts to dial if the link has work and no
// connection.
func (p *Peers) connect(l *link) {
	if l.conn != nil || l.dialing || !l.address.IsValid() {
		return
	}
	l.dialing = p.spawnLocked(func(ctx context.Context) { p.dialLoop(ctx, l) })
}

// next takes the oldest message that is still worth sending over c.
func (p *Peers) next(l *link, c *conn) (m baobabstep.PeerMessage, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.conn != c {
		// The wake that brought us here was meant for the connection that
		// took the link over.
		l.signal()
		return m, false
	}
	p.expire(l)
	if len(l.queue) == 0 {
		return m, false
	}
	m = l.queue[0].message
	l.queue = l.queue[1:]
	return m, true
}

// expire needs Peers.mu.
func (p *Peers) expire(l *link) {
	now := time.Now()
	for len(l.queue) > 0 && now.After(l.queue[0].expires) {
		l.queue = l.queue[1:]
		p.counters.expired.Add(1)
	}
}

// dialLoop tries to connect until it did, the other side did, or nothing is
// left to send.
func (p *Peers) dialLoop(ctx context.Context, l *link) {
	for {
		address, wait, needed := p.dialNeeded(l)
		if !needed {
			return
		}
		if wait > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(wait):
			}
			continue
		}
		c, err := p.dial(ctx, l.id, address)
		if err == nil {
			p.run(p.attachDialled(l, c), c)
			return
		}
		p.dialFailed(l, address, err)
	}
}

// dialNeeded returns the address to dial, or how long to wait before.
func (p *Peers) dialNeeded(l *link) (address netip.AddrPort, wait time.Duration, needed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire(l)
	if p.closed || l.conn != nil || len(l.queue) == 0 {
		l.dialing = false
		p.forget(l)
		return address, 0, false
	}
	return l.address, time.Until(l.notBefore), true
}

func (p *Peers) dialFailed(l *link, address netip.AddrPort, err error) {
	p.counters.dialFailures.Add(1)
	entry := p.o.Logger.WithFields(log.Fields{"address": address.String(), "error": err.Error()})
	if baobabstep.CodeOf(err) == baobabstep.CodeUnauthenticated {
		p.counters.refused.Add(1)
		entry.Warn("peer_refused")
	} else {
		entry.Debug("peer_dial_failed")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.backoff == nil {
		l.backoff = backoff.NewExponentialBackOff()
		l.backoff.InitialInterval = minBackoff
		l.backoff.MaxInterval = p.o.MaxBackoff
		l.backoff.Reset()
	}
	l.notBefore = time.Now().Add(l.backoff.NextBackOff())
}

func (p *Peers) dial(ctx context.Context, want baobabstep.VMID, address netip.AddrPort) (*conn, error) {
	p.counters.dials.Add(1)
	ctx, cancel := context.WithTimeout(ctx, p.o.HandshakeTimeout)
	defer cancel()
	ws, response, err := websocket.Dial(ctx, "ws://"+address.String()+path, &websocket.DialOptions{HTTPClient: p.client})
	if response != nil && response.Body != nil {
		defer response.Body.Close()
	}
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodePeerUnreachable, "peer.dial", "connect: %w", err)
	}
	c, err := p.dialHandshake(ctx, ws, want)
	if err != nil {
		p.counters.rejected.Add(1)
		_ = ws.CloseNow()
		return nil, err
	}
	p.open(c)
	return c, nil
}

// accept serves one connection that another VM dialled.
func (p *Peers) accept(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != path || !p.beginShaking() {
		http.Error(w, "not available", http.StatusServiceUnavailable)
		return
	}
	ended := make(chan struct{})
	started := p.spawn(func(ctx context.Context) {
		defer close(ended)
		c, err := p.acceptConn(ctx, w, r)
		p.endShaking()
		if err != nil {
			p.counters.rejected.Add(1)
			p.o.Logger.WithFields(log.Fields{"remote": r.RemoteAddr, "error": err.Error()}).Warn("peer_rejected")
			return
		}
		p.run(p.attachAccepted(c), c)
	})
	if !started {
		p.endShaking()
		return
	}
	<-ended
}

func (p *Peers) acceptConn(ctx context.Context, w http.ResponseWriter, r *http.Request) (*conn, error) {
	ws, err := websocket.Accept(w, r, nil)
	if err != nil {
		return nil, baobabstep.Errorf(baobabstep.CodeMalformed, "peer.accept", "upgrade: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, p.o.HandshakeTimeout)
	defer cancel()
	c, err := p.acceptHandshake(ctx, ws)
	if err != nil {
		_ = ws.CloseNow()
		return nil, err
	}
	p.open(c)
	return c, nil
}

func (p *Peers) beginShaking() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.shaking >= maxShaking {
		return false
	}
	p.shaking++
	return true
}

func (p *Peers) endShaking() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shaking--
}

// attachDialled gives a dialled connection to its link, which for a seed is
// known only now.
func (p *Peers) attachDialled(l *link, c *conn) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.dialing = false
	l.backoff = nil
	l.notBefore = time.Time{}
	if l.id == 0 {
		l = p.adopt(l, c.remote)
	}
	p.attach(l, c)
	return l
}

// adopt moves the queue of a seed to the link of the VM that answered there.
func (p *Peers) adopt(seed *link, id baobabstep.VMID) *link {
	delete(p.seeds, seed.address)
	l := p.links[id]
	if l == nil {
		seed.id = id
		p.links[id] = seed
		return seed
	}
	l.address = seed.address
	l.queue = append(l.queue, seed.queue...)
	l.signal()
	return l
}

func (p *Peers) attachAccepted(c *conn) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[c.remote]
	if l == nil {
		l = newLink(c.remote, p.addresses[c.remote])
		p.links[c.remote] = l
	}
	p.attach(l, c)
	return l
}

// attach needs Peers.mu. It chooses between a new connection of a link and the
// one it has. The other one is drained: what the peer sent over it before it
// made the same choice still arrives. Two VMs that dial each other at once make two
// connections, and both ends have to keep the same one: the one that the VM
// with the smaller ID dialled. Later a new connection always wins, since the
// old one may belong to a process that is gone.
func (p *Peers) attach(l *link, c *conn) {
	now := time.Now()
	old := l.conn
	if old != nil {
		race := now.Sub(old.since) < p.o.HandshakeTimeout && old.dialler != c.dialler
		if race && old.dialler == min(old.dialler, c.dialler) {
			close(c.replaced)
			return
		}
		close(old.replaced)
	}
	c.since = now
	c.used.Store(p.elapsed())
	c.heard.Store(p.elapsed())
	l.conn = c
	l.signal()
}

// detach ends the link's use of a connection.
func (p *Peers) detach(l *link, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.conn != c {
		return
	}
	l.conn = nil
	if !c.ordered.Load() && !p.closed {
		select {
		case p.lost <- c.remote:
		default:
		}
	}
	p.expire(l)
	if len(l.queue) > 0 {
		p.connect(l)
	}
	p.forget(l)
}

// forget needs Peers.mu. It drops a link without work. One that is waiting
// for its next try is kept, so that its backoff stays in force.
func (p *Peers) forget(l *link) {
	if l.conn != nil || l.dialing || len(l.queue) > 0 || time.Now().Before(l.notBefore) {
		return
	}
	if p.links[l.id] == l {
		delete(p.links, l.id)
	}
	if p.seeds[l.address] == l {
		delete(p.seeds, l.address)
	}
}
