package peer

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/coder/websocket"

	"baobabstep"
)

// keepAlive is the silence after which the other end is asked for a sign of
// life. A host that vanished sends no reset; without the question, messages
// would go into its connection for minutes.
const keepAlive = 10 * time.Second

// writeTimeout bounds one write to a peer that does not read.
const writeTimeout = 5 * time.Second

// drainTime is how long a replaced connection is still read. The peer writes to
// it until it has chosen too, about a round trip.
const drainTime = 500 * time.Millisecond

// run serves a connection until either end closes it or another one replaces
// it.
func (p *Peers) run(l *link, c *conn) {
	defer func() { _ = c.ws.CloseNow() }()
	defer c.cancel()
	defer p.detach(l, c)
	c.ws.SetReadLimit(int64(p.o.MaxMessage + maxTopic + frameOverhead))
	reading := make(chan struct{})
	started := p.spawn(func(context.Context) {
		defer close(reading)
		defer c.cancel()
		p.readLoop(c)
	})
	if !started {
		return
	}
	p.writeLoop(l, c)
	c.drain()
	c.cancel()
	<-reading
}

// drain waits while a replaced connection may still bring messages.
func (c *conn) drain() {
	select {
	case <-c.replaced:
	default:
		return
	}
	select {
	case <-c.ctx.Done():
	case <-time.After(drainTime):
	}
}

// readLoop hands on what the other VM sends.
func (p *Peers) readLoop(c *conn) {
	for {
		_, data, err := c.ws.Read(c.ctx)
		if err != nil {
			if websocket.CloseStatus(err) == websocket.StatusNormalClosure {
				c.ordered.Store(true)
			}
			return
		}
		m, err := c.in.decode(data)
		if err != nil {
			p.counters.forged.Add(1)
			p.o.Logger.WithFields(log.Fields{"vm": uint64(c.remote), "error": err.Error()}).Warn("peer_forged")
			return
		}
		m.From = c.remote
		c.used.Store(p.elapsed())
		c.heard.Store(p.elapsed())
		p.counters.received.Add(1)
		p.counters.bytesIn.Add(uint64(len(data)))
		p.deliver(m)
	}
}

// deliver drops what nobody reads in time: a slow reader must not hold up the
// connection, and messages that matter are repeated by their senders.
func (p *Peers) deliver(m baobabstep.PeerMessage) {
	select {
	case p.messages <- m:
	default:
		p.counters.droppedIn.Add(1)
	}
}

// writeLoop sends what is queued and closes the connection when it is idle.
func (p *Peers) writeLoop(l *link, c *conn) {
	check := time.NewTicker(max(min(p.o.IdleTimeout/4, keepAlive/2), time.Millisecond))
	defer check.Stop()
	for p.flush(l, c) {
		select {
		case <-c.ctx.Done():
			return
		case <-c.replaced:
			return
		case <-l.wake:
		case <-check.C:
			if !p.checkConn(c) {
				return
			}
		}
	}
}

// checkConn reports whether the connection is in use and its other end lives.
func (p *Peers) checkConn(c *conn) bool {
	now := p.elapsed()
	if now-c.used.Load() > int64(p.o.IdleTimeout) {
		// The close frame tells the other end that this is no accident.
		c.ordered.Store(true)
		_ = c.ws.Close(websocket.StatusNormalClosure, "idle")
		return false
	}
	if now-c.heard.Load() < int64(keepAlive) {
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, p.o.HandshakeTimeout)
	defer cancel()
	if err := c.ws.Ping(ctx); err != nil {
		return false
	}
	c.heard.Store(p.elapsed())
	return true
}

// flush sends what is queued. It reports whether the connection still works.
func (p *Peers) flush(l *link, c *conn) bool {
	for c.ctx.Err() == nil {
		m, ok := p.next(l, c)
		if !ok {
			return true // also if replaced; the caller notices
		}
		if !p.write(c, m) {
			return false
		}
	}
	return false
}

func (p *Peers) write(c *conn, m baobabstep.PeerMessage) bool {
	data, err := c.out.encode(m)
	if err != nil {
		p.o.Logger.WithError(err).Error("peer_encode_failed")
		return false
	}
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return false
	}
	c.used.Store(p.elapsed())
	p.counters.sent.Add(1)
	p.counters.bytesOut.Add(uint64(len(data)))
	return true
}
