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
	// secretSize is the size in bytes of a secret that this VM generates.
	secretSize = 32
	// secretSpread is the time after a restore of the store over which the VMs spread their
	// reads of the secret.
	secretSpread = 2 * time.Second
	// minRequestInterval is the least time between two requests for one kind.
	minRequestInterval = 100 * time.Millisecond
	// contentLinkShare is the share of the VM's link that may be used to send content to other
	// VMs; the rest is left to callers' segments, which would be lost on a full link.
	// Receivers forward the content, so it reaches all VMs after a few rounds.
	contentLinkShare = 1.0 / 4
	// maxResponseBytes limits the sections in one response. The receiver requests further
	// ones, possibly from another VM.
	maxResponseBytes = 64e3
	// servePriority is how long the VM that received the last response has priority over other
	// requesters, so that it can request the remaining content.
	servePriority = 250 * time.Millisecond
)

// MessageConn sends and receives the messages between VMs.
type MessageConn interface {
	// SetSecret sets the secret that authenticates messages. Until it is called, no message is
	// sent or accepted.
	SetSecret(secret []byte) error
	// Send sends one message without blocking for long. The message may be lost.
	Send(to netip.AddrPort, message []byte)
	// Receive calls handle for each message until ctx ends.
	Receive(ctx context.Context, handle func(from netip.AddrPort, message []byte)) error
	Close() error
}

// peerExchange holds the state of a Node's requests to peers and of the content that is
// exchanged with them.
type peerExchange struct {
	mu            sync.Mutex
	assembly      [heartbeat.NumKinds]heartbeat.ChunkAssembly
	fragments     heartbeat.FragmentAssembly
	lastRequestAt [heartbeat.NumKinds]time.Time
	// outdated is the held revision of a kind for which a peer has a newer one, and
	// outdatedSince is when this VM first received an announcement of a newer one.
	outdated      [heartbeat.NumKinds]baobabstep.Revision
	outdatedSince [heartbeat.NumKinds]time.Time
	// requestFullList is set when a change to the held targets did not give the expected
	// checksum, to request the whole list.
	requestFullList bool
	// sectionSource is the VM that sent the last section, at sectionAt.
	sectionSource netip.AddrPort
	sectionAt     time.Time
	// superseded is the revision of the last response of changes that did not lead to the newest
	// registrations.
	superseded baobabstep.Revision
	// waiting are the changes that do not apply yet, in the order in which they were received, and
	// relayed the latest ones that were passed on.
	waiting []waitingChange
	relayed []relayedChange
	// nextServeAt is when this VM may next send content to a peer.
	nextServeAt time.Time
	// lastServed is the VM that received the last response.
	lastServed netip.AddrPort
}

// maintainSecret obtains the fleet's secret at the start and again after each restore of the
// store.
//
// A restored store may lack the secret. VMs that start then would create another one, and
// could not exchange messages with those that use the previous one.
func (n *Node) maintainSecret(ctx context.Context) error {
	offer := make([]byte, secretSize)
	if _, err := rand.Read(offer); err != nil {
		return err
	}
	secret := n.obtainSecret(ctx, offer, baobabstep.Recent)
	if ctx.Err() != nil {
		return nil
	}
	n.log.Info("fleet secret set")
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.cache.restoredSignal:
		}
		sleep(ctx, n.secretDelay(n.clock.Now()), nil)
		agreed := n.obtainSecret(ctx, secret, baobabstep.Newest)
		if ctx.Err() == nil && !bytes.Equal(agreed, secret) {
			n.log.Warn("secret replaced")
			secret = agreed
		}
	}
}

// obtainSecret offers a secret until the store returns the fleet's secret, which is the
// offered one or another, and sets that for messages.
func (n *Node) obtainSecret(ctx context.Context, offer []byte, freshness baobabstep.Freshness) (secret []byte) {
	delays := newRetryBackOff()
	for ctx.Err() == nil {
		secret, err := n.options.Directory.Secret(ctx, offer, freshness)
		if err == nil {
			err = n.options.Messages.SetSecret(secret)
		}
		if err == nil {
			return secret
		}
		sleep(ctx, delays.NextBackOff(), nil)
	}
	return offer
}

// secretDelay returns how long after a restore this VM reads the secret. The first VM of the
// fleet by rank reads it at once, so that it is in the store before other VMs start.
func (n *Node) secretDelay(now time.Time) time.Duration {
	if n.rank(now).First() {
		return 0
	}
	return time.Duration(n.syncer.uniformSpread * float64(secretSpread))
}

// receiveMessages handles messages of peers until ctx ends.
func (n *Node) receiveMessages(ctx context.Context) error {
	return n.options.Messages.Receive(ctx, func(from netip.AddrPort, raw []byte) {
		now := n.clock.Now()
		n.meter.Received(now, len(raw)+messageOverhead)
		n.receive(now, from, raw)
	})
}

// receive decodes and handles one message.
func (n *Node) receive(now time.Time, from netip.AddrPort, raw []byte) {
	m, err := heartbeat.Decode(raw)
	if err != nil {
		if baobabstep.CodeOf(err) != baobabstep.CodeForeignVersion {
			n.recordMalformed(now, from, err)
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
	case m.Request != nil:
		n.handleRequest(now, from, m.Request)
	case m.Chunk != nil:
		n.handleChunk(now, from, m.Chunk)
	case m.Change != nil:
		n.handleChange(now, from, m.Change)
	case m.Evacuations != nil:
		n.handleEvacuations(now, from, m.Evacuations)
	case m.Alarm != nil:
		n.router.SetSilenceReports(now, n.peerTable.HandleAlarm(now, from, m.Alarm))
	case m.Fragment != nil:
		n.handleFragment(now, from, m.Fragment)
	case m.Section != nil:
		n.handleSection(now, from, m.Section)
	case m.Inquiry != nil:
		n.answerInquiry(from, m.Inquiry)
	case m.Placement != nil:
		n.settleInquiry(now, m.Placement)
	}
}

// handleFragment adds a fragment and handles the message once it is complete.
func (n *Node) handleFragment(now time.Time, from netip.AddrPort, f *heartbeat.Fragment) {
	n.exchange.mu.Lock()
	m, err := n.exchange.fragments.Add(now, from, f)
	n.exchange.mu.Unlock()
	switch {
	case baobabstep.CodeOf(err) == baobabstep.CodeForeignVersion:
	case err != nil:
		n.recordMalformed(now, from, err)
	case m != nil:
		n.handleMessage(now, from, m)
	}
}

// compareOrder is the order in which a VM requests the kinds that it lacks. Evacuations come
// first, so that a VM that has just started knows the evacuated data centres before it can
// place flows.
var compareOrder = [heartbeat.NumKinds]heartbeat.Kind{heartbeat.Evacuations, heartbeat.Routes, heartbeat.Targets}

// handleHeartbeat confirms state that the sender also holds, and requests state of which the
// sender announces a newer revision.
func (n *Node) handleHeartbeat(now time.Time, from netip.AddrPort, h *heartbeat.Heartbeat) {
	if !n.peerTable.Handle(now, from, h) {
		return
	}
	for _, kind := range compareOrder {
		n.compareHeld(now, kind, h)
	}
	n.learnReturns(now, from, h)
	if n.peerTable.HasNewPeers() {
		n.sendAll(n.peerTable.AnswerNewPeers(now, n.ownStateWithoutLoads(now)))
	}
}

// compareHeld compares the state of a kind with the sender's. Equal content is confirmed; a
// newer revision is requested.
func (n *Node) compareHeld(now time.Time, kind heartbeat.Kind, h *heartbeat.Heartbeat) {
	cached := n.cache.state(kind)
	if _, same := h.ConfirmedAge(kind, cached.sum); same {
		if cached.isKnown() {
			held := h.VersionOf(kind)
			n.cache.confirmByPeer(now, kind, held.Revision(), peerOrigin(now, held), n.applyBound(kind))
			n.endOutage(now, cached.confirmedAt, kind)
		}
		return
	}
	if !cached.revision.Before(h.VersionOf(kind).Revision()) {
		return
	}
	if !n.allowRequest(now, kind, cached.revision) {
		return
	}
	n.sendRequest(now, kind)
}

// applyBound returns how soon a change of a kind has to be in force.
func (n *Node) applyBound(kind heartbeat.Kind) time.Duration {
	if kind == heartbeat.Targets {
		return n.options.Settings.Token.Drain()
	}
	return n.options.Settings.Token.DesiredApply()
}

// sendRequest requests a kind from a VM that holds a newer revision of it, if there is one.
func (n *Node) sendRequest(now time.Time, kind heartbeat.Kind) {
	cached := n.cache.state(kind)
	source, ok := n.sourceOf(now, kind, &cached)
	if !ok {
		return
	}
	want := heartbeat.MakeRequest(kind, cached.revision)
	if kind == heartbeat.Targets {
		want.Digests = n.cache.digests()
		if cached.isKnown() && !n.wantsFullList() {
			want.Checksum = cached.sum
			want.ChangesOnly = !cached.revisionFromReplica && n.exchange.outdatedFor(now, kind) < changesOnlyTime
		}
	}
	n.sendMessage(source, &heartbeat.Message{Request: want})
}

// changesOnlyTime is how long a VM without progress requests only changes from its peers. Not all of
// them hold those since its revision, and sections are sent of all registrations that differ. No
// peer holds those since the revision of a replica that was read at the start.
const changesOnlyTime = 1500 * time.Millisecond

// outdatedFor returns for how long this VM has known of a newer revision than the one that it holds.
func (s *peerExchange) outdatedFor(now time.Time, kind heartbeat.Kind) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outdatedSince[kind].IsZero() {
		return 0
	}
	return now.Sub(s.outdatedSince[kind])
}

// sectionSourceTimeout is how long a VM continues to request sections from the one that sent the
// last one.
const sectionSourceTimeout = 400 * time.Millisecond

// sourceOf returns the VM from which to request newer content. Sections are requested from the VM
// that sent the last one, as those of several VMs can be of different revisions and would never be
// complete.
func (n *Node) sourceOf(now time.Time, kind heartbeat.Kind, cached *cachedState) (source netip.AddrPort, ok bool) {
	n.exchange.mu.Lock()
	recent := n.exchange.sectionSource.IsValid() && now.Sub(n.exchange.sectionAt) < sectionSourceTimeout
	source = n.exchange.sectionSource
	n.exchange.mu.Unlock()
	if kind == heartbeat.Targets && recent && n.cache.needsMoreSections(now) {
		return source, true
	}
	if kind == heartbeat.Targets && cached.isKnown() {
		if source, ok = n.peerTable.FindAnyNewer(now, kind, cached.revision, cached.sum); ok {
			return source, true
		}
	}
	return n.peerTable.FindNewer(now, kind, cached.revision, cached.sum)
}

func (n *Node) setSectionSource(now time.Time, source netip.AddrPort) {
	n.exchange.mu.Lock()
	defer n.exchange.mu.Unlock()
	n.exchange.sectionSource, n.exchange.sectionAt = source, now
}

// wantsFullList reports whether a change of targets did not apply, so that the next request
// must not be for changes.
func (n *Node) wantsFullList() bool {
	n.exchange.mu.Lock()
	defer n.exchange.mu.Unlock()
	return n.exchange.requestFullList
}

// allowRequest reports whether this VM may now request a newer revision of a kind than the
// current one, and if so records the request. It first waits for RelayDelay, as the change may
// still arrive by relay.
func (n *Node) allowRequest(now time.Time, kind heartbeat.Kind, current baobabstep.Revision) bool {
	s := &n.exchange
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outdated[kind] != current || s.outdatedSince[kind].IsZero() {
		s.outdated[kind], s.outdatedSince[kind] = current, now
	}
	initialised := current != baobabstep.Revision{}
	if initialised && s.superseded != current && now.Sub(s.outdatedSince[kind]) < n.peerTable.RelayDelay() || now.Sub(s.lastRequestAt[kind]) < minRequestInterval {
		return false
	}
	s.lastRequestAt[kind] = now
	return true
}

// rank returns this VM's rank among those that may read the store.
func (n *Node) rank(now time.Time) heartbeat.Rank {
	return n.peerTable.Rank(now, n.isStoreUnreadable())
}

// isStoreUnreadable reports whether this VM has not read the store itself since its start, or
// the last read failed, for some kind. A VM that has not read it cannot watch it either, so it does
// not take over from one that does.
func (n *Node) isStoreUnreadable() bool {
	for _, kind := range queryKinds {
		if n.storeUnreadable[kind].Load() || !n.storeRead[kind].Load() {
			return true
		}
	}
	return false
}

// tickHeartbeats sends the heartbeats that are due, and passes the loads that peers announced
// to the router.
func (n *Node) tickHeartbeats(now time.Time) {
	n.announceCongestion()
	if n.peerTable.HeartbeatsDue(now) {
		n.sendAll(n.peerTable.Tick(now, n.ownState(now)))
	}
	n.requestMissingSections(now)
	n.requestMissingChanges(now)
	live := n.peerTable.LiveCounts(now)
	n.peerTable.MarkLoadsChanged(n.router.TakeNewTargets())
	n.router.SetCongestedVMs(n.peerTable.CongestedCount(now))
	n.router.SetPeerLoads(now, n.peerTable.Loads(now), live)
	if n.router.HasColdLimits() {
		n.router.SetView(n.peerTable.View(now))
	}
	n.logDataCentreChanges(live)
	n.logRankChange(n.rank(now))
}

// sendAlarm sends an alarm about silent targets to the VMs of the own data centre.
func (n *Node) sendAlarm(now time.Time) {
	n.announceCongestion()
	n.sendAll(n.peerTable.MakeAlarms(now, n.router.TakeAlarms(now)))
}

// ownState returns the state of this VM for heartbeats.
func (n *Node) ownState(now time.Time) heartbeat.LocalState {
	state := n.ownStateWithoutLoads(now)
	state.Loads = n.router.Loads(now)
	return state
}

func (n *Node) ownStateWithoutLoads(now time.Time) heartbeat.LocalState {
	return heartbeat.LocalState{
		Leaving: n.stopping.Load(), StoreUnreadable: n.isStoreUnreadable(),
		Versions: n.cache.announcedStates(now), Returns: n.ownReturns(now),
	}
}

func (n *Node) sendAll(outs []heartbeat.Outgoing) {
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
		n.sendRaw(o.To, raw)
	}
}

func (n *Node) sendMessage(to netip.AddrPort, m *heartbeat.Message) {
	raw, err := heartbeat.Encode(m)
	if err != nil {
		n.log.WithError(err).Error("cannot send to a peer")
		return
	}
	n.sendRaw(to, raw)
}
