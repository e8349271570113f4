package entry

import (
	"net/netip"
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// handleWant sends what this VM holds, if it is newer.
func (n *Node) handleWant(now time.Time, from netip.AddrPort, w *heartbeat.Want) {
	if !w.Revision().Before(n.beliefs.get(w.Kind).revision) {
		return
	}
	if w.Kind == heartbeat.Evacuations {
		n.sendEvacuations(now, from)
		return
	}
	if !n.canServe(now, from) {
		return // the requester asks another VM, or this one again; preparing the content costs more than the request
	}
	if w.Kind == heartbeat.Targets && (w.Sum != 0 && n.sendChange(now, from, w) || n.sendSections(now, from, w)) {
		return
	}
	held, err := n.beliefs.whole(w.Kind)
	if err != nil {
		n.log.WithError(err).Error("cannot hand on what is held")
		return
	}
	if !n.mayServe(now, from, len(held.content)) {
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

// sendChange answers a request with the changes since the requested revision. It
// returns false if they are unknown or too large to send; it returns true without
// sending if the rate limit is reached.
func (n *Node) sendChange(now time.Time, to netip.AddrPort, w *heartbeat.Want) bool {
	change := n.beliefs.targetsSince(now, w.Revision(), w.Sum)
	if change == nil {
		return false
	}
	datagrams, err := heartbeat.EncodeDatagrams(&heartbeat.Message{Change: change})
	if err != nil {
		return false
	}
	if n.mayServe(now, to, totalSize(datagrams)) {
		n.sendDatagrams(datagrams, to)
	}
	return true
}

func (n *Node) sendDatagrams(datagrams [][]byte, to ...netip.AddrPort) {
	for _, address := range to {
		for _, raw := range datagrams {
			n.o.Messages.Send(address, raw)
		}
	}
}

func totalSize(datagrams [][]byte) (bytes int) {
	for _, raw := range datagrams {
		bytes += len(raw)
	}
	return bytes
}

// sendSections answers a request for targets with sections of the buckets that differ.
// It returns false if the request has no digests, if they are equal although the
// contents differ, or if a section exceeds the message limit; it returns true without
// sending if the rate limit is reached.
func (n *Node) sendSections(now time.Time, to netip.AddrPort, w *heartbeat.Want) bool {
	if len(w.Digests) == 0 {
		return false
	}
	sections := n.beliefs.sections(now, w.Digests, n.o.Settings.VM().ID)
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
	if n.mayServe(now, to, totalSize(datagrams)) {
		n.sendDatagrams(datagrams, to)
	}
	return true
}

// serveRate returns the rate limit, in bytes a second, of sending content to other VMs.
func (n *Node) serveRate() float64 { return n.o.Settings.Token.LinkBytesPerSecond() * linkShare }

// handleSection applies a section from a peer. At the end of a response it requests the
// sections that are still missing.
func (n *Node) handleSection(now time.Time, s *heartbeat.Section) {
	from := n.peerOrigin(now, s.Held, n.o.Settings.Token.Drain())
	taken, complete, err := n.beliefs.takeSection(now, s, from)
	switch {
	case err != nil:
		n.counts.malformed.Add(1)
	case complete:
		n.setWantWhole(false)
		n.announce(false)
	case taken && s.End:
		n.sendWant(now, heartbeat.Targets)
	}
}

// peerOrigin returns the origin of content from a peer. If the peer's content was
// last confirmed at least within ago, it counts as read from a copy of the store.
func (n *Node) peerOrigin(now time.Time, held heartbeat.Held, within time.Duration) origin {
	return origin{source: sourcePeer, confirmed: now.Add(-held.Age()), recent: held.Age() >= within}
}

// mayServe tells whether size bytes may be sent to a requester now, and if so counts them
// against the rate limit.
//
// The last requester keeps priority until it has sent no request for servePriority after
// the limit allows one. If many VMs that lack the same content were served in turn, all of
// them would complete it late, and none could relay it in the meantime.
func (n *Node) mayServe(now time.Time, to netip.AddrPort, size int) bool {
	s := &n.sharing
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.canServe(now, to) {
		return false
	}
	s.lastServed = to
	s.serveAt = now.Add(time.Duration(float64(size) / n.serveRate() * float64(time.Second)))
	return true
}

// canServe tells whether mayServe allows a requester anything now.
func (n *Node) canServe(now time.Time, to netip.AddrPort) bool {
	n.sharing.mu.Lock()
	defer n.sharing.mu.Unlock()
	return n.sharing.canServe(now, to)
}

// canServe is as that of Node. The caller holds s.mu.
func (s *sharing) canServe(now time.Time, to netip.AddrPort) bool {
	earliest := s.serveAt
	if to != s.lastServed {
		earliest = earliest.Add(servePriority)
	}
	return s.serveAt.IsZero() || !now.Before(earliest)
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
			err = n.learnTargets(list, held.Revision(), n.peerOrigin(now, held, n.o.Settings.Token.Drain()))
		}
	}
	if err != nil {
		n.counts.malformed.Add(1)
	}
}

// handleChange takes over a change of what this VM holds. One of something else
// is left: the sender's next heartbeat makes this VM ask for the whole.
func (n *Node) handleChange(now time.Time, from netip.AddrPort, c *heartbeat.Change) {
	if !n.beliefs.get(c.Kind).revision.Before(c.To.Revision()) {
		return
	}
	if c.Kind == heartbeat.Targets && c.From == n.beliefs.get(c.Kind).sum {
		n.noteReturn(now)
	}
	changed, err := n.beliefs.takeChange(now, c, origin{source: sourcePeer, confirmed: now.Add(-c.To.Age())})
	switch {
	case baobabstep.CodeOf(err) == baobabstep.CodeConflict:
		n.counts.changesLeft.Add(1)
		if c.Kind == heartbeat.Targets && c.From == n.beliefs.get(c.Kind).sum {
			n.setWantWhole(true)
		}
		return
	case err != nil:
		n.counts.malformed.Add(1)
		return
	}
	if c.Kind == heartbeat.Targets && changed {
		n.setWantWhole(false)
	}
	switch near := n.board.IsNear(from); {
	case !changed:
	case !near: // other data centres send a change to only one VM here
		n.spread(c, false)
	case c.Origin.IsValid():
		n.relay(c)
	}
}

// setWantWhole sets whether the next request for targets asks for the whole list
// rather than for changes.
func (n *Node) setWantWhole(whole bool) {
	n.sharing.mu.Lock()
	defer n.sharing.mu.Unlock()
	n.sharing.wantWhole = whole
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
		n.setWantWhole(false)
		n.handOn(change, from.source != sourcePeer)
	}
	return err
}

// noteReturn tells the router that the store was away, if this VM could not
// read it; whatever registrations come now are the first since.
func (n *Node) noteReturn(now time.Time) {
	if n.blind[heartbeat.Targets].Load() {
		n.router.StoreReconnected(now)
	}
}

// handOn tells others what is new here: the change itself if it came from the
// store, so that they need not ask; otherwise only that there is something.
func (n *Node) handOn(change *heartbeat.Change, fromStore bool) {
	if fromStore && change != nil && n.spread(change, true) {
		return
	}
	n.announce(fromStore)
}

// spread sends a change into the relay tree of the own data centre and, with far set,
// to one VM of each other data centre. It returns false if the change is too large.
func (n *Node) spread(c *heartbeat.Change, far bool) bool {
	c.Origin = n.o.Settings.PeerAddress
	datagrams, ok := n.relay(c)
	if ok && far {
		n.sendDatagrams(datagrams, n.board.FarPeers(n.clock.Now())...)
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
	n.sendDatagrams(datagrams, n.board.RelayPeers(n.clock.Now(), c.Origin, fanout)...)
	return datagrams, true
}

// announce sends heartbeats at once, to other data centres as well if far is set.
func (n *Node) announce(far bool) {
	now := n.clock.Now()
	n.sendAll(n.board.Announce(now, n.own(now), far))
}
