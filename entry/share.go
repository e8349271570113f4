package entry

import (
	"bytes"
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
	// secretSpread is the time after a restore of the store in which all VMs look for
	// the secret.
	secretSpread = 2 * time.Second
	// wantInterval is the least time between two requests for one kind.
	wantInterval = 100 * time.Millisecond
	// linkShare is the share of the VM's link that may be used to send content to other
	// VMs; the rest is left to callers' segments, which would be lost on a full link.
	// Receivers forward the content, so it reaches all VMs after a few rounds.
	linkShare = 1.0 / 4
	// maxAnswerBytes limits the sections in one response. The receiver requests further
	// ones, possibly from another VM.
	maxAnswerBytes = 64e3
	// servePriority is how long the VM that received the last response has priority over
	// other requesters, so that it can request the remaining content.
	servePriority = 250 * time.Millisecond
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
	mu        sync.Mutex
	assembly  [heartbeat.Kinds]heartbeat.Assembly
	fragments heartbeat.FragmentAssembly
	wantedAt  [heartbeat.Kinds]time.Time
	// outdated is the held revision of a kind for which a peer has a newer one, and
	// outdatedSince is when this VM first heard of a newer one.
	outdated      [heartbeat.Kinds]baobabstep.Revision
	outdatedSince [heartbeat.Kinds]time.Time
	// wantWhole is set when a change to the held targets did not give the expected
	// checksum, to request the whole list.
	wantWhole bool
	// serveAt is when this VM may next send the whole of something.
	serveAt time.Time
	// lastServed is the VM that received the last response.
	lastServed netip.AddrPort
}

// keepSecret finds the fleet's secret, and again after each restore of the store.
//
// A restored store may have lost it. VMs that start then would make another one, and
// neither they nor the others could read what the other half sends.
func (n *Node) keepSecret(ctx context.Context) error {
	offer := make([]byte, secretBytes)
	if _, err := rand.Read(offer); err != nil {
		return err
	}
	secret := n.agreeSecret(ctx, offer, baobabstep.Recent)
	if ctx.Err() != nil {
		return nil
	}
	n.log.Info("peers can be heard")
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.beliefs.restored:
		}
		pause(ctx, n.secretDelay(n.clock.Now()), nil)
		agreed := n.agreeSecret(ctx, secret, baobabstep.Newest)
		if ctx.Err() == nil && !bytes.Equal(agreed, secret) {
			n.log.Warn("secret replaced")
			secret = agreed
		}
	}
}

// agreeSecret offers a secret until it or another one is known to be the fleet's, and
// puts that in force.
func (n *Node) agreeSecret(ctx context.Context, offer []byte, how baobabstep.Freshness) (secret []byte) {
	pauses := newPauses()
	for ctx.Err() == nil {
		secret, err := n.o.Directory.Secret(ctx, offer, how)
		if err == nil {
			err = n.o.Messages.SetSecret(secret)
		}
		if err == nil {
			return secret
		}
		pause(ctx, pauses.NextBackOff(), nil)
	}
	return offer
}

// secretDelay returns how long after a restore this VM looks for the secret: the
// first of the fleet at once, so that it is there when others start.
func (n *Node) secretDelay(now time.Time) time.Duration {
	if n.rank(now).First() {
		return 0
	}
	return time.Duration(n.follower.spread * float64(secretSpread))
}

// listen takes in what peers send.
func (n *Node) listen(ctx context.Context) error {
	return n.o.Messages.Receive(ctx, func(from netip.AddrPort, raw []byte) { n.receive(n.clock.Now(), from, raw) })
}

// receive takes in one message.
func (n *Node) receive(now time.Time, from netip.AddrPort, raw []byte) {
	m, err := heartbeat.Decode(raw)
	if err != nil {
		if baobabstep.CodeOf(err) != baobabstep.CodeForeignVersion {
			n.counts.malformed.Add(1)
		}
		return
	}
	n.handleMessage(now, from, m)
}

// handleMessage dispatches a decoded message.
func (n *Node) handleMessage(now time.Time, from netip.AddrPort, m *heartbeat.Message) {
	switch {
	case m.Heartbeat != nil:
		n.handleHeartbeat(now, from, m.Heartbeat)
	case m.Want != nil:
		n.handleWant(now, from, m.Want)
	case m.Piece != nil:
		n.handlePiece(now, m.Piece)
	case m.Change != nil:
		n.handleChange(now, from, m.Change)
	case m.Evacuations != nil:
		n.handleEvacuations(now, from, m.Evacuations)
	case m.Alarm != nil:
		n.router.SetSilenceReports(now, n.board.HandleAlarm(now, from, m.Alarm))
	case m.Fragment != nil:
		n.handleFragment(now, from, m.Fragment)
	case m.Section != nil:
		n.handleSection(now, m.Section)
	}
}

// handleFragment adds a fragment and handles the message once it is complete.
func (n *Node) handleFragment(now time.Time, from netip.AddrPort, f *heartbeat.Fragment) {
	n.sharing.mu.Lock()
	m, err := n.sharing.fragments.Add(now, from, f)
	n.sharing.mu.Unlock()
	switch {
	case baobabstep.CodeOf(err) == baobabstep.CodeForeignVersion:
	case err != nil:
		n.counts.malformed.Add(1)
	case m != nil:
		n.handleMessage(now, from, m)
	}
}

// compareOrder is the order in which a VM asks for what it does not hold. One that
// has just started knows where flows must not go before it can place any.
var compareOrder = [heartbeat.Kinds]heartbeat.Kind{heartbeat.Evacuations, heartbeat.Routes, heartbeat.Targets}

// handleHeartbeat takes over the sender's certainty, and asks for what it holds
// and this VM does not.
func (n *Node) handleHeartbeat(now time.Time, from netip.AddrPort, h *heartbeat.Heartbeat) {
	if !n.board.Handle(now, from, h) {
		return
	}
	for _, kind := range compareOrder {
		n.compare(now, kind, h)
	}
	if n.board.HasNewPeers() {
		n.sendAll(n.board.AnswerNewPeers(now, heartbeat.Own{Leaving: n.stopping.Load(), Blind: n.isBlind(), Held: n.beliefs.told(now)}))
	}
}

// compare looks at what the sender holds of one kind: it vouches for the same
// content, and a newer one is asked for.
func (n *Node) compare(now time.Time, kind heartbeat.Kind, h *heartbeat.Heartbeat) {
	held := n.beliefs.get(kind)
	if age, same := h.Vouches(kind, held.sum); same {
		if held.isHeld() {
			n.beliefs.vouched(now, kind, h.HeldOf(kind).Revision(), now.Add(-age))
		}
		return
	}
	if !held.revision.Before(h.HeldOf(kind).Revision()) {
		return
	}
	if !n.mayWant(now, kind, held.revision) {
		return
	}
	n.sendWant(now, kind)
}

// sendWant requests a kind from a VM that holds a newer revision of it, if there is one.
func (n *Node) sendWant(now time.Time, kind heartbeat.Kind) {
	held := n.beliefs.get(kind)
	source, ok := n.board.Newer(now, kind, held.revision, held.sum)
	if !ok {
		return
	}
	want := heartbeat.MakeWant(kind, held.revision)
	if kind == heartbeat.Targets {
		want.Digests = n.beliefs.digests()
		if held.isHeld() && !n.wantsWhole() {
			want.Sum = held.sum
		}
	}
	n.sendMessage(source, &heartbeat.Message{Want: want})
}

// wantsWhole tells whether a change of targets did not apply, so that the next request
// must not be for changes.
func (n *Node) wantsWhole() bool {
	n.sharing.mu.Lock()
	defer n.sharing.mu.Unlock()
	return n.sharing.wantWhole
}

// mayWant tells whether this VM may now request a newer revision of a kind than the one
// held. It first waits for RelayDelay, as the change may still arrive by relay.
func (n *Node) mayWant(now time.Time, kind heartbeat.Kind, held baobabstep.Revision) bool {
	s := &n.sharing
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outdated[kind] != held || s.outdatedSince[kind].IsZero() {
		s.outdated[kind], s.outdatedSince[kind] = held, now
	}
	known := held != baobabstep.Revision{}
	if known && now.Sub(s.outdatedSince[kind]) < n.board.RelayDelay() || now.Sub(s.wantedAt[kind]) < wantInterval {
		return false
	}
	s.wantedAt[kind] = now
	return true
}

// rank returns this VM's place among those that may read the store.
func (n *Node) rank(now time.Time) heartbeat.Rank {
	return n.board.Rank(now, n.isBlind())
}

// isBlind tells whether the store cannot be read.
func (n *Node) isBlind() bool {
	return n.blind[heartbeat.Routes].Load() || n.blind[heartbeat.Targets].Load()
}

// beat sends the heartbeats that are due and takes in what peers said of load.
func (n *Node) beat(now time.Time) {
	if n.board.Due(now) {
		n.sendAll(n.board.Tick(now, n.own(now)))
	}
	n.requestMissingSections(now)
	live := n.board.Live(now)
	n.board.Repeat(n.router.TakeNewTargets())
	n.router.SetReports(now, n.board.Loads(now), live)
	if n.router.HasColdLimits() {
		n.router.SetView(n.board.View(now))
	}
	n.noteDataCentres(live)
	n.noteRank(n.rank(now))
}

// raiseAlarm tells the data centre of targets in trouble.
func (n *Node) raiseAlarm(now time.Time) {
	n.sendAll(n.board.Alarm(now, n.router.TakeUrgentReports(now)))
}

func (n *Node) own(now time.Time) heartbeat.Own {
	return heartbeat.Own{
		Leaving: n.stopping.Load(), Blind: n.isBlind(),
		Held: n.beliefs.told(now), Loads: n.router.Reports(now),
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
