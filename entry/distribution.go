package entry

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// handleRequest sends the requested content to a peer if this VM holds a newer revision.
func (n *Node) handleRequest(now time.Time, from netip.AddrPort, w *heartbeat.Request) {
	if !w.Revision().Before(n.cache.state(w.Kind).revision) {
		return
	}
	if w.Kind == heartbeat.Evacuations {
		n.sendEvacuations(now, from)
		return
	}
	if !n.canServe(now, from) {
		return // the requester asks another VM, or this one again; preparing the content costs more than the request
	}
	if w.Kind == heartbeat.Targets && (w.Checksum != 0 && n.sendChanges(now, from, w) || w.ChangesOnly || n.sendSections(now, from, w)) {
		return
	}
	cached, err := n.cache.stateWithContent(w.Kind)
	if err != nil {
		n.log.WithError(err).Error("cannot send content to a peer")
		return
	}
	if !n.reserveServe(now, from, len(cached.content)) {
		return // the requester asks another VM, or this one again, at the next heartbeat
	}
	chunks, err := heartbeat.SplitChunks(w.Kind, cached.announced(now), cached.content)
	if err != nil {
		n.log.WithError(err).Error("cannot send content to a peer")
		return
	}
	for _, chunk := range chunks {
		n.sendMessage(from, chunk)
	}
}

// sendChanges answers a request with the changes since the requested revision, or with as many of
// them as one response may hold. It returns false if they are unknown or too large to send; it
// returns true without sending if the rate limit is reached.
func (n *Node) sendChanges(now time.Time, to netip.AddrPort, w *heartbeat.Request) bool {
	changes, ok := n.cache.targetsChangesSince(now, w.Revision(), w.Checksum)
	if !ok || len(changes) == 0 {
		return false
	}
	var datagrams [][]byte
	for _, change := range changes {
		encoded, err := heartbeat.EncodeDatagrams(&heartbeat.Message{Change: change})
		if err != nil {
			return false
		}
		datagrams = append(datagrams, encoded...)
	}
	n.respond(now, to, datagrams, true) // other VMs have further changes as well
	return true
}

// respond sends a response to a requester if the rate limit allows it. complete says that the
// requester needs nothing more from this VM.
func (n *Node) respond(now time.Time, to netip.AddrPort, datagrams [][]byte, complete bool) {
	if !n.reserveServe(now, to, totalSize(datagrams)) {
		return
	}
	n.sendDatagrams(datagrams, to)
	if complete {
		n.endPriority()
	}
}

func (n *Node) sendDatagrams(datagrams [][]byte, to ...netip.AddrPort) {
	for _, address := range to {
		for _, raw := range datagrams {
			n.sendRaw(address, raw)
		}
	}
}

func totalSize(datagrams [][]byte) (bytes int) {
	for _, raw := range datagrams {
		bytes += len(raw)
	}
	return bytes
}

// sendSections answers a request for targets with sections of the buckets that differ. It
// returns false if the request has no digests, if they are equal although the contents differ,
// or if a section exceeds the message limit; it returns true without sending if the rate limit
// is reached.
func (n *Node) sendSections(now time.Time, to netip.AddrPort, w *heartbeat.Request) bool {
	if len(w.Digests) == 0 {
		return false
	}
	maxAge := time.Duration(pinShare * float64(n.options.Settings.Token.Drain()))
	sections, complete := n.cache.differingSections(now, w.Revision(), w.Digests, n.options.Settings.VM().ID, maxAge)
	var datagrams [][]byte
	for _, s := range sections {
		raw, err := heartbeat.Encode(&heartbeat.Message{Section: s})
		if err != nil {
			return false
		}
		datagrams = append(datagrams, raw)
	}
	if len(datagrams) == 0 {
		return false
	}
	n.respond(now, to, datagrams, complete)
	return true
}

// handleSection applies a section from a peer. At the end of a response it requests the
// sections that are still missing.
func (n *Node) handleSection(now time.Time, sender netip.AddrPort, s *heartbeat.Section) {
	from := peerContentOrigin(now, s.VersionInfo, n.options.Settings.Token.Drain())
	taken, complete, err := n.cache.applySection(now, s, from)
	switch {
	case err != nil:
		n.recordMalformed(now, sender, err)
	case complete:
		n.setRequestFullList(false)
		n.applyWaitingChanges(now)
		n.announce(false)
	case taken:
		n.setSectionSource(now, sender)
		if s.End {
			n.sendRequest(now, heartbeat.Targets)
		}
	}
}

// peerOrigin returns the origin of what a peer holds.
func peerOrigin(now time.Time, held heartbeat.VersionInfo) origin {
	return origin{source: sourcePeer, confirmedAt: now.Add(-held.Age()), read: held.Read}
}

// peerContentOrigin returns the origin of content from a peer. If the peer's content was last
// confirmed at least maxAge ago, it counts as read from a replica of the store.
func peerContentOrigin(now time.Time, held heartbeat.VersionInfo, maxAge time.Duration) origin {
	from := peerOrigin(now, held)
	from.fromReplica = held.Age() >= maxAge
	return from
}

// handleChunk adds a piece of content from a peer, and applies the content once it is
// complete.
func (n *Node) handleChunk(now time.Time, sender netip.AddrPort, p *heartbeat.Chunk) {
	n.exchange.mu.Lock()
	content, held, complete := n.exchange.assembly[p.Kind].Add(now, p)
	n.exchange.mu.Unlock()
	if !complete {
		return
	}
	from := peerContentOrigin(now, held, n.applyBound(p.Kind))
	var err error
	switch p.Kind {
	case heartbeat.Routes:
		var table *baobabstep.RoutingTable
		if table, err = heartbeat.DecodeRoutes(content); err == nil {
			err = n.updateRoutes(table, from)
		}
	case heartbeat.Targets:
		var list []baobabstep.Registration
		if list, err = heartbeat.DecodeTargets(content); err == nil {
			err = n.updateTargets(list, held.Revision(), from)
		}
	}
	if err != nil {
		n.recordMalformed(now, sender, err)
	}
}

// handleChange passes on and applies a change from a peer. A change that is based on other content
// waits for the changes in between. If they do not arrive, the sender's next heartbeat makes this
// VM request them.
func (n *Node) handleChange(now time.Time, from netip.AddrPort, c *heartbeat.Change) {
	if !n.cache.state(c.Kind).revision.Before(c.Result.Revision()) {
		return
	}
	if c.Origin.IsValid() && n.exchange.markRelayed(c) {
		n.passOn(from, c)
	}
	if !n.applyChange(now, from, c) {
		return
	}
	if c.Kind == heartbeat.Targets && c.Result.Age() == heartbeat.MaxAge {
		n.exchange.setSuperseded(c.Result.Revision())
	}
	if !c.Origin.IsValid() && !n.peerTable.IsNear(from) {
		n.passOn(from, c) // a response of another data centre, which the VMs here lack as well
	}
	n.applyWaitingChanges(now)
}

// passOn sends a change from a peer to the VMs that get it from this one. They get it whether or not it
// applies here: a VM that missed a change does not keep the next ones from others.
func (n *Node) passOn(from netip.AddrPort, c *heartbeat.Change) {
	if n.peerTable.IsNear(from) {
		n.relay(c)
		return
	}
	passed := *c // other data centres send a change to only one VM here
	n.distributeChange(&passed, false)
}

// applyChange applies a change from a peer and reports whether the cached content changed.
func (n *Node) applyChange(now time.Time, sender netip.AddrPort, c *heartbeat.Change) (changed bool) {
	sameBase := c.BaseChecksum == n.cache.state(c.Kind).sum
	if c.Kind == heartbeat.Targets && sameBase {
		n.notifyStoreRecovery(now, n.cache.state(c.Kind).confirmedAt, now.Add(-c.Result.Age()))
	}
	from := peerOrigin(now, c.Result)
	if c.Kind == heartbeat.Routes {
		from = peerContentOrigin(now, c.Result, n.applyBound(c.Kind))
	}
	changed, err := n.cache.applyPeerChange(now, c, from)
	switch {
	case baobabstep.CodeOf(err) == baobabstep.CodeConflict:
		n.counters.conflictingChanges.Add(1)
		n.logConflict(now, sender, c)
		if sameBase && c.Kind == heartbeat.Targets {
			n.setRequestFullList(true)
		}
		if !sameBase {
			n.holdChange(now, c)
		}
	case baobabstep.CodeOf(err) == baobabstep.CodeIncomplete:
		n.holdChange(now, c)
	case err != nil:
		n.recordMalformed(now, sender, err)
	case changed && c.Kind == heartbeat.Targets:
		n.setRequestFullList(false)
	}
	return changed
}

// holdChange keeps a change until the content before it is known.
func (n *Node) holdChange(now time.Time, c *heartbeat.Change) {
	n.exchange.hold(now, c)
	n.cache.noteRead(peerOrigin(now, c.Result)) // its age counts from now, not from when it applies
	n.cache.markLeaving(now, c)
}

// applyWaitingChanges applies the changes that waited for the cached content.
func (n *Node) applyWaitingChanges(now time.Time) {
	for _, kind := range []heartbeat.Kind{heartbeat.Routes, heartbeat.Targets} {
		for {
			c := n.exchange.takeWaiting(now, kind, n.cache.state(kind).sum)
			if c == nil || !n.applyChange(now, c.Origin, c) {
				break
			}
		}
	}
}

// conflictClass is the class of log lines about changes that do not apply.
const conflictClass = "change does not apply"

// logConflict logs a change from a peer that is based on other content than the cached one.
func (n *Node) logConflict(now time.Time, from netip.AddrPort, c *heartbeat.Change) {
	if !n.options.LogLimiter.Wanted(now, conflictClass) {
		return
	}
	cached := n.cache.state(c.Kind)
	n.log.WithFields(log.Fields{
		"kind": c.Kind.String(), "from": from.String(), "held": cached.revision.Number, "offered": c.Result.Number,
		"same_base": c.BaseChecksum == cached.sum, "age_ms": now.Sub(cached.confirmedAt).Milliseconds(),
	}).Info(conflictClass)
}

// setRequestFullList sets whether the next request for targets asks for the whole list rather
// than for changes.
func (n *Node) setRequestFullList(full bool) {
	n.exchange.mu.Lock()
	defer n.exchange.mu.Unlock()
	n.exchange.requestFullList = full
}

func (n *Node) updateRoutes(table *baobabstep.RoutingTable, from origin) error {
	changed, change, err := n.cache.updateRoutes(n.clock.Now(), table, from)
	if changed {
		n.publishChange(change, from.source != sourcePeer)
	}
	return err
}

func (n *Node) updateTargets(list []baobabstep.Registration, revision baobabstep.Revision, from origin) error {
	n.notifyStoreRecovery(n.clock.Now(), n.cache.state(heartbeat.Targets).confirmedAt, from.confirmedAt)
	changed, change, err := n.cache.updateTargets(n.clock.Now(), list, revision, from)
	if changed {
		n.setRequestFullList(false)
		n.publishChange(change, from.source != sourcePeer)
	}
	return err
}

// notifyStoreRecovery tells the router that the store is available again, if this VM could not
// read it before: the registrations that follow are the first ones since. They end the outage for
// this VM once the store is known to have held them after the last failed read. Another VM may
// read the store all the while, and each of its changes would begin a new grace period.
//
// An outage lies between two reads of any VM, at before and at confirmedAt. If these are so close that no
// live target can have lapsed, the failed read concerned this VM alone.
func (n *Node) notifyStoreRecovery(now, before, confirmedAt time.Time) {
	failedAt := n.targetsReadFailedAt.Load()
	if failedAt == nil {
		return
	}
	ended, end := confirmedAt.After(*failedAt), now
	if ended {
		n.targetsReadFailedAt.CompareAndSwap(failedAt, nil)
		end = confirmedAt
	}
	if end.Sub(before) < n.options.Settings.Token.LapseOutage() {
		return
	}
	n.router.StoreReconnected(now)
	n.log.WithFields(log.Fields{"failed_ms": now.Sub(*failedAt).Milliseconds(), "confirmed_ms": now.Sub(confirmedAt).Milliseconds(), "ended": ended}).Info("missing targets get a grace period")
}

// endOutage ends an outage of the store for this VM once the cached registrations are known to be
// those that the store held after the last failed read, although nothing has changed. Otherwise
// the next change, however late, would count as the first one after the outage. The read before was
// at before.
func (n *Node) endOutage(now, before time.Time, kind heartbeat.Kind) {
	failedAt := n.targetsReadFailedAt.Load()
	if kind != heartbeat.Targets || failedAt == nil {
		return
	}
	if cached := n.cache.state(kind); !cached.unconfirmed && cached.confirmedAt.After(*failedAt) {
		n.notifyStoreRecovery(now, before, cached.confirmedAt)
	}
}

// publishChange distributes new state to other VMs. A change that came from the store is sent
// itself, so that they need not request it; otherwise heartbeats announce the new revision.
func (n *Node) publishChange(change *heartbeat.Change, fromStore bool) {
	if fromStore && change != nil && n.distributeChange(change, true) {
		return
	}
	n.announce(fromStore)
}

// distributeChange sends a change into the relay tree of the own data centre and, with remote
// set, to one VM of each other data centre. It returns false if the change is too large.
func (n *Node) distributeChange(c *heartbeat.Change, remote bool) bool {
	c.Origin = n.options.Settings.PeerAddress
	datagrams, ok := n.relay(c)
	if ok && remote {
		n.sendDatagrams(datagrams, n.peerTable.FarPeers(n.clock.Now())...)
	}
	return ok
}

// relay sends a change to this VM's children in the relay tree. It returns the encoded
// datagrams, or false if the change is too large.
func (n *Node) relay(c *heartbeat.Change) (datagrams [][]byte, ok bool) {
	datagrams, err := heartbeat.EncodeDatagrams(&heartbeat.Message{Change: c})
	if err != nil {
		return nil, false
	}
	fanout := heartbeat.RelayFanout(totalSize(datagrams))
	n.sendDatagrams(datagrams, n.peerTable.RelayPeers(n.clock.Now(), c.Origin, fanout)...)
	return datagrams, true
}

// announce sends heartbeats at once, with remote set also to other data centres.
func (n *Node) announce(remote bool) {
	now := n.clock.Now()
	n.sendAll(n.peerTable.Announce(now, n.ownState(now), remote))
}
