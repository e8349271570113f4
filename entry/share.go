package entry

import (
	"context"
	"crypto/rand"
	"net/netip"
	"sync"
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

const (
	// secretBytes is the size of a secret that this VM offers.
	secretBytes = 32
	// wantInterval is the least time between two requests for one kind.
	wantInterval = 100 * time.Millisecond
	// serveRate bounds what is sent in pieces, in bytes a second: a sixth of a
	// link of 10 Mbit/s. Who gets the whole sends it on, so 30 VMs have 18 KB
	// after five rounds of 0.1 s; sent to all who ask at once it filled the
	// link, and callers' segments were lost.
	serveRate = 200e3
)

// Messages carries what VMs tell each other.
type Messages interface {
	// SetSecret sets the secret that messages are authenticated with; before,
	// none is sent or taken.
	SetSecret(secret []byte) error
	// Send sends one message and never blocks for long; it may be lost.
	Send(to netip.AddrPort, message []byte)
	// Receive calls handle for each message until ctx ends.
	Receive(ctx context.Context, handle func(from netip.AddrPort, message []byte)) error
	Close() error
}

// sharing is what Node needs to put together what peers send.
type sharing struct {
	mu       sync.Mutex
	assembly [2]heartbeat.Assembly
	wantedAt [2]time.Time
	// serveAt is when this VM may next send the whole of something.
	serveAt time.Time
}

// findSecret reads the fleet's secret, or makes it, until it is known.
func (n *Node) findSecret(ctx context.Context) error {
	pauses := newPauses()
	for ctx.Err() == nil {
		offer := make([]byte, secretBytes)
		if _, err := rand.Read(offer); err != nil {
			return err
		}
		secret, err := n.o.Directory.Secret(ctx, offer)
		if err == nil {
			err = n.o.Messages.SetSecret(secret)
		}
		if err == nil {
			n.log.Info("peers can be heard")
			return n.untilDone(ctx)
		}
		n.follower.pause(ctx, pauses.NextBackOff(), nil)
	}
	return nil
}

// untilDone waits for the end of ctx: a part that returns ends the VM.
func (n *Node) untilDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// listen takes in what peers send.
func (n *Node) listen(ctx context.Context) error {
	return n.o.Messages.Receive(ctx, func(from netip.AddrPort, raw []byte) { n.receive(n.clock.Now(), from, raw) })
}

// receive takes in one message.
func (n *Node) receive(now time.Time, from netip.AddrPort, raw []byte) {
	m, err := heartbeat.Decode(raw)
	if err != nil {
		n.counts.malformed.Add(1)
		return
	}
	switch {
	case m.Heartbeat != nil:
		n.handleHeartbeat(now, from, m.Heartbeat)
	case m.Want != nil:
		n.handleWant(now, from, m.Want)
	case m.Piece != nil:
		n.handlePiece(now, m.Piece)
	case m.Change != nil:
		n.handleChange(now, from, m.Change)
	}
}

// handleHeartbeat takes over the sender's certainty, and asks for what it holds
// and this VM does not.
func (n *Node) handleHeartbeat(now time.Time, from netip.AddrPort, h *heartbeat.Heartbeat) {
	if !n.board.Handle(now, from, h) {
		return
	}
	if h.DataCentre == n.o.Settings.DataCentre {
		n.router.SetOthers(n.board.Loads(now), n.board.Live(now))
	}
	for _, kind := range []heartbeat.Kind{heartbeat.Routes, heartbeat.Targets} {
		held := n.beliefs.get(kind)
		if age, ok := n.board.Confirmed(now, kind, held.sum); ok && held.version > 0 {
			n.beliefs.confirm(kind, now.Add(-age))
		}
		if source, ok := n.board.Newer(now, kind, held.version, held.sum); ok && n.mayWant(now, kind) {
			n.sendMessage(source, &heartbeat.Message{Want: &heartbeat.Want{Kind: kind, Newer: held.version}})
		}
	}
}

func (n *Node) mayWant(now time.Time, kind heartbeat.Kind) bool {
	n.sharing.mu.Lock()
	defer n.sharing.mu.Unlock()
	if now.Sub(n.sharing.wantedAt[kind]) < wantInterval {
		return false
	}
	n.sharing.wantedAt[kind] = now
	return true
}

// handleWant sends what this VM holds, if it is newer.
func (n *Node) handleWant(now time.Time, from netip.AddrPort, w *heartbeat.Want) {
	held := n.beliefs.get(w.Kind)
	if held.version <= w.Newer {
		return
	}
	if !n.mayServe(now, len(held.content)) {
		return // it asks another VM, or this one again, at the next heartbeat
	}
	pieces, err := heartbeat.Split(w.Kind, held.told(now), held.content)
	if err != nil {
		n.log.WithError(err).Error("cannot hand on what is held")
		return
	}
	for _, piece := range pieces {
		n.sendMessage(from, piece)
	}
}

// mayServe tells whether the whole may be sent now, and if so counts its bytes.
func (n *Node) mayServe(now time.Time, size int) bool {
	n.sharing.mu.Lock()
	defer n.sharing.mu.Unlock()
	if now.Before(n.sharing.serveAt) {
		return false
	}
	n.sharing.serveAt = now.Add(time.Duration(float64(size) / serveRate * float64(time.Second)))
	return true
}

// handlePiece takes over what a peer holds once it is whole.
func (n *Node) handlePiece(now time.Time, p *heartbeat.Piece) {
	n.sharing.mu.Lock()
	content, held, whole := n.sharing.assembly[p.Kind].Add(now, p)
	n.sharing.mu.Unlock()
	if !whole {
		return
	}
	from := origin{source: sourcePeer, confirmed: now.Add(-held.Age())}
	var err error
	switch p.Kind {
	case heartbeat.Routes:
		var table *baobabstep.RoutingTable
		if table, err = heartbeat.DecodeRoutes(content); err == nil {
			err = n.learnRoutes(table, from)
		}
	case heartbeat.Targets:
		var list []baobabstep.Registration
		if list, err = heartbeat.DecodeTargets(content); err == nil {
			err = n.learnTargets(list, baobabstep.Revision(held.Version), from)
		}
	}
	if err != nil {
		n.counts.malformed.Add(1)
	}
}

// handleChange takes over a change of what this VM holds. One of something else
// is left: the sender's next heartbeat makes this VM ask for the whole.
func (n *Node) handleChange(now time.Time, from netip.AddrPort, c *heartbeat.Change) {
	if c.To.Version <= n.beliefs.get(c.Kind).version {
		return
	}
	table, list, err := n.beliefs.apply(c)
	if err != nil {
		n.counts.changesLeft.Add(1)
		return
	}
	news := origin{source: sourcePeer, confirmed: now.Add(-c.To.Age())}
	var changed bool
	if c.Kind == heartbeat.Routes {
		changed, _, err = n.beliefs.holdRoutes(now, table, news)
	} else {
		n.noteReturn(now)
		changed, _, err = n.beliefs.holdTargets(now, list, baobabstep.Revision(c.To.Version), news)
	}
	if err != nil {
		n.counts.malformed.Add(1)
		return
	}
	// From another data centre it came to this VM alone.
	if changed && !n.board.IsNear(from) {
		n.spread(c, false)
	}
}

func (n *Node) learnRoutes(table *baobabstep.RoutingTable, from origin) error {
	changed, change, err := n.beliefs.holdRoutes(n.clock.Now(), table, from)
	if changed {
		n.handOn(change, from.source != sourcePeer)
	}
	return err
}

func (n *Node) learnTargets(list []baobabstep.Registration, revision baobabstep.Revision, from origin) error {
	n.noteReturn(n.clock.Now())
	changed, change, err := n.beliefs.holdTargets(n.clock.Now(), list, revision, from)
	if changed {
		n.handOn(change, from.source != sourcePeer)
	}
	return err
}

// noteReturn tells the router that the store was away, if this VM could not
// read it; whatever registrations come now are the first since.
func (n *Node) noteReturn(now time.Time) {
	if n.blind[heartbeat.Targets].Load() {
		n.router.StoreBack(now)
	}
}

// rank returns this VM's place among those that may read the store.
func (n *Node) rank(now time.Time) heartbeat.Rank {
	return n.board.Rank(now, n.isBlind())
}

// isBlind tells whether the store cannot be read.
func (n *Node) isBlind() bool {
	return n.blind[heartbeat.Routes].Load() || n.blind[heartbeat.Targets].Load()
}

// handOn tells others what is new here: the change itself if it came from the
// store, so that they need not ask; otherwise only that there is something.
func (n *Node) handOn(change *heartbeat.Change, fromStore bool) {
	if fromStore && change != nil && n.spread(change, true) {
		return
	}
	n.announce(fromStore)
}

// spread sends a change, unless it is too large for one message.
func (n *Node) spread(c *heartbeat.Change, far bool) bool {
	m := &heartbeat.Message{Change: c}
	raw, err := heartbeat.Encode(m)
	if err != nil {
		return false
	}
	for _, o := range n.board.Spread(n.clock.Now(), c, far) {
		n.o.Messages.Send(o.To, raw)
	}
	return true
}

// announce sends heartbeats at once, to other data centres as well if far is set.
func (n *Node) announce(far bool) {
	now := n.clock.Now()
	n.sendAll(n.board.Announce(now, n.own(now), far))
}

// beat sends the heartbeats that are due and takes in what peers said of load.
func (n *Node) beat(now time.Time) {
	n.sendAll(n.board.Tick(now, n.own(now)))
	live := n.board.Live(now)
	n.router.SetOthers(n.board.Loads(now), live)
	n.noteDataCentres(live)
	n.noteRank(n.rank(now))
}

func (n *Node) own(now time.Time) heartbeat.Own {
	return heartbeat.Own{
		Leaving: n.stopping.Load(), Blind: n.isBlind(),
		Held: n.beliefs.told(now), Loads: heartbeat.MakeLoads(now, n.router.Loads(now)),
	}
}

func (n *Node) sendAll(outs []heartbeat.Out) {
	var last *heartbeat.Message
	var raw []byte
	for _, o := range outs {
		if o.Message != last {
			var err error
			if raw, err = heartbeat.Encode(o.Message); err != nil {
				n.log.WithError(err).Error("cannot send a heartbeat")
				return
			}
			last = o.Message
		}
		n.o.Messages.Send(o.To, raw)
	}
}

func (n *Node) sendMessage(to netip.AddrPort, m *heartbeat.Message) {
	raw, err := heartbeat.Encode(m)
	if err != nil {
		n.log.WithError(err).Error("cannot send to a peer")
		return
	}
	n.o.Messages.Send(to, raw)
}
