package heartbeat

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"baobabstep"
)

// LocalState is the state of this VM that heartbeats contain.
type LocalState struct {
	Leaving, StoreUnreadable bool
	Versions                 [NumKinds]VersionInfo
	// Loads is the load that this VM sends to targets.
	Loads []baobabstep.TargetLoad
	// Returns are the returned data centres and targets that this VM knows of, nil if they do not
	// matter.
	Returns *baobabstep.Returns
}

// HeartbeatsDue reports whether heartbeats are due. Callers use it to collect the content
// of heartbeats, which is expensive, only when needed.
func (t *PeerTable) HeartbeatsDue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return roundNumber(now, t.options.NearInterval) != t.nearRound || roundNumber(now, t.options.FarInterval) != t.farRound
}

// roundNumber returns the number of the interval that contains now. VMs with synchronized
// clocks agree on it.
func roundNumber(now time.Time, interval time.Duration) int64 {
	return now.UnixNano() / int64(interval)
}

// Tick returns the heartbeats that are due.
func (t *PeerTable) Tick(now time.Time, own LocalState) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropSilentPeers(now)
	t.fanouts = t.computeFanouts(now, own.Loads)
	t.updateTurns()
	var outs []Outgoing
	if at := roundNumber(now, t.options.NearInterval); at != t.nearRound {
		t.nearRound = at
		list := t.peersByAddress(true)
		to := turnPeers(list, at, t.fanouts.near, t.turnOffset(now, len(list)))
		to, far := t.addNewPeers(to)
		outs = t.appendHeartbeats(outs, now, own, nearHeartbeatOptions(t), to)
		outs = t.appendHeartbeats(outs, now, own, farHeartbeatOptions(t), far)
	}
	if at := roundNumber(now, t.options.FarInterval); at != t.farRound {
		t.farRound = at
		list := t.peersByAddress(false)
		outs = t.appendHeartbeats(outs, now, own, farHeartbeatOptions(t), turnPeers(list, at, t.fanouts.far, t.turnOffset(now, len(list))))
	}
	return outs
}

// minTurnHeartbeats is the number of heartbeats in a round that are reserved for the VMs
// whose turn it is.
const minTurnHeartbeats = 2

// addNewPeers adds new peers to the VMs whose turn it is, up to NearFanout in total, and
// drops some of the latter if necessary. New peers are the VMs in newPeers, which may
// know no other VM, and a random selection of those of which only the address is known.
// VMs known to be in another data centre are returned in far.
func (t *PeerTable) addNewPeers(turn []*peer) (to, far []*peer) {
	unknown := t.unknownPeers()
	t.options.Rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	added := slices.DeleteFunc(append(t.newPeers, unknown...), func(p *peer) bool { return slices.Contains(turn, p) })
	t.newPeers = nil
	added = added[:min(len(added), max(0, t.options.NearFanout-minTurnHeartbeats))]
	to = slices.Clone(turn)
	if limit := t.options.NearFanout - len(added); len(to) > limit {
		t.options.Rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:limit] // random ones, so that no VM is skipped in each of its turns
	}
	for _, p := range added {
		if p.last != nil && p.last.DataCentre != t.options.DataCentre {
			far = append(far, p)
		} else {
			to = append(to, p)
		}
	}
	return to, far
}

// AnswerNewPeers returns heartbeats without loads to the VMs that started or were first
// heard since the last call. A VM that has just started knows only the seeds, and learns
// of the others from these heartbeats. VMs above the rate limit wait for the next call or
// round.
func (t *PeerTable) AnswerNewPeers(now time.Time, own LocalState) (outs []Outgoing) {
	t.mu.Lock()
	defer t.mu.Unlock()
	own.Loads = nil
	for len(t.newPeers) > 0 && t.answerLimiter.AllowN(now, 1) {
		p := t.newPeers[0]
		t.newPeers = t.newPeers[1:]
		receiverOptions := nearHeartbeatOptions(t)
		if p.last.DataCentre != t.options.DataCentre {
			receiverOptions = farHeartbeatOptions(t)
			receiverOptions.peersOf = p.last.DataCentre
		}
		outs = t.appendHeartbeats(outs, now, own, receiverOptions, []*peer{p})
	}
	return outs
}

// HasNewPeers reports whether new peers wait for an answer.
func (t *PeerTable) HasNewPeers() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.newPeers) > 0
}

// turnOffset returns the position in a list of length receivers at which the turns of this
// VM start. Offsets are spread over the VMs of a data centre. With equal offsets, a
// receiver would get the heartbeats of all of them in one round, which can overflow its
// socket buffer, and then none for seconds.
func (t *PeerTable) turnOffset(now time.Time, length int) int {
	rank, vms := 0, 1
	for _, p := range t.peers {
		if !t.isLive(now, p) || p.last.DataCentre != t.options.DataCentre {
			continue
		}
		vms++
		if p.address.Compare(t.options.Address) < 0 {
			rank++
		}
	}
	return rank * length / vms
}

// Announce returns heartbeats to send at once to some VMs of the own data centre, because
// this VM holds something new or leaves. If far is set, one VM of each other data centre
// gets one too. VMs that learn of a new version in this way announce it in turn, so that
// no VM has to send the complete content to all.
func (t *PeerTable) Announce(now time.Time, own LocalState, far bool) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := t.peersByAddress(true)
	t.options.Rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	outs := t.appendHeartbeats(nil, now, own, nearHeartbeatOptions(t), to[:min(len(to), t.options.AnnounceFanout)])
	if far {
		outs = t.appendHeartbeats(outs, now, own, farHeartbeatOptions(t), t.firstFarPeers(now))
	}
	return outs
}

// ChangeRecipients returns the recipients of a change: all live VMs of the own data centre
// and, if far is set, one of each other.
func (t *PeerTable) ChangeRecipients(now time.Time, far bool) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := t.liveNearAddresses(now)
	if far {
		to = append(to, t.farPeerAddresses(now)...)
	}
	return to
}

const (
	// relayByteBudget limits the bytes a VM sends to relay one change within its data
	// centre; the resulting fan-out is clamped to [minRelayFanout, maxRelayFanout].
	relayByteBudget = 24e3
	minRelayFanout  = 4
	maxRelayFanout  = 16
)

// RelayFanout returns the number of VMs to which each VM relays a change of size bytes.
func RelayFanout(size int) int {
	return max(minRelayFanout, min(maxRelayFanout, relayByteBudget/max(1, size)))
}

// RelayPeers returns the VMs of the own data centre to which this VM relays a change from
// origin. The VMs, sorted by address and rotated to start at origin, form a tree in which
// each has at limit fanout children. If VMs disagree on the membership, some receive the
// change twice, and others detect from a heartbeat that they missed it.
func (t *PeerTable) RelayPeers(now time.Time, origin netip.AddrPort, fanout int) (to []netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ring := append(t.liveNearAddresses(now), t.options.Address)
	if !slices.Contains(ring, origin) {
		ring = append(ring, origin)
	}
	slices.SortFunc(ring, netip.AddrPort.Compare)
	n := len(ring)
	first := slices.Index(ring, origin)
	rank := (slices.Index(ring, t.options.Address) - first + n) % n
	for i := rank*fanout + 1; i <= (rank+1)*fanout && i < n; i++ {
		to = append(to, ring[(first+i)%n])
	}
	return to
}

// FarPeers returns one VM of each other data centre.
func (t *PeerTable) FarPeers(now time.Time) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.farPeerAddresses(now)
}

func (t *PeerTable) farPeerAddresses(now time.Time) (to []netip.AddrPort) {
	for _, p := range t.firstFarPeers(now) {
		to = append(to, p.address)
	}
	return to
}

// relayHopDelay is the time a VM limited to a tenth of a core takes to relay a change.
const relayHopDelay = 50 * time.Millisecond

// RelayDelay estimates the time a relayed change takes from the first to the last VM
// of the data centre, for a change of which each VM sends minRelayFanout copies.
func (t *PeerTable) RelayDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	levels := 0
	for reached, level := minRelayFanout, minRelayFanout; reached < t.nearVMs; reached += level {
		level *= minRelayFanout
		levels++
	}
	return time.Duration(levels) * relayHopDelay
}

// liveNearAddresses returns the addresses of all live VMs of the own data centre.
func (t *PeerTable) liveNearAddresses(now time.Time) (list []netip.AddrPort) {
	for _, p := range t.peersByAddress(true) {
		if t.isLive(now, p) {
			list = append(list, p.address)
		}
	}
	return list
}

// firstFarPeers returns the live VM with the lowest identifier of each other data centre.
// Leaving VMs are skipped.
func (t *PeerTable) firstFarPeers(now time.Time) []*peer {
	first := make(map[string]*peer)
	for _, p := range t.peers {
		if !t.isLive(now, p) || p.last.DataCentre == t.options.DataCentre || p.last.Leaving {
			continue
		}
		if f := first[p.last.DataCentre]; f == nil || p.last.From < f.last.From {
			first[p.last.DataCentre] = p
		}
	}
	list := slices.Collect(maps.Values(first))
	slices.SortFunc(list, func(x, y *peer) int { return x.address.Compare(y.address) })
	return list
}

// turnPeers returns the fanout VMs of a list whose turn it is in a round.
func turnPeers(all []*peer, round int64, fanout, offset int) []*peer {
	if len(all) <= fanout {
		return all
	}
	first := int((round*int64(fanout) + int64(offset)) % int64(len(all)))
	chosen := make([]*peer, 0, fanout)
	for i := range fanout {
		chosen = append(chosen, all[(first+i)%len(all)])
	}
	return chosen
}

// heartbeatOptions are the parameters of a heartbeat that depend on its receivers.
type heartbeatOptions struct {
	// loadLimit limits the number of loads in the heartbeat.
	loadLimit int
	// turn is the time in which this VM sends one heartbeat to each VM of the own data
	// centre, or of all others.
	turn time.Duration
	// peersOf is the data centre whose VMs the heartbeat names first.
	peersOf string
}

func nearHeartbeatOptions(t *PeerTable) heartbeatOptions {
	return heartbeatOptions{loadLimit: sentLoads, turn: time.Duration(t.nearTurns) * t.options.NearInterval, peersOf: t.options.DataCentre}
}

func farHeartbeatOptions(t *PeerTable) heartbeatOptions {
	return heartbeatOptions{loadLimit: maxFarLoads, turn: time.Duration(t.farTurns) * t.options.FarInterval, peersOf: t.options.DataCentre}
}

// appendHeartbeats appends one heartbeat for each of the given VMs to outs.
func (t *PeerTable) appendHeartbeats(outs []Outgoing, now time.Time, own LocalState, o heartbeatOptions, to []*peer) []Outgoing {
	if len(to) == 0 {
		return outs
	}
	t.sequence++
	limit := min(o.loadLimit, loadLimit(own.Returns))
	h := &Heartbeat{
		From: t.options.Self, DataCentre: t.options.DataCentre, Incarnation: t.options.Incarnation, Sequence: t.sequence,
		Leaving: own.Leaving, StoreUnreadable: own.StoreUnreadable, Versions: [chunkedKinds]VersionInfo(own.Versions[:chunkedKinds]), EvacuationsVersion: own.Versions[Evacuations], Loads: MakeLoads(now, own.Loads, limit), Peers: t.samplePeers(now, o.peersOf),
		TurnMS: uint32(o.turn.Milliseconds()), CongestedMS: t.congestedMS(now),
	}
	h.setReturns(now, own.Returns)
	m := &Message{Heartbeat: h}
	for _, p := range to {
		outs = append(outs, Outgoing{To: p.address, Message: m})
	}
	return outs
}

// samplePeers returns the addresses of up to maxPeers random live VMs. It prefers those of
// a data centre, and includes at least one of another if any is live.
func (t *PeerTable) samplePeers(now time.Time, dataCentre string) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, p := range t.peers {
		switch {
		case !t.isLive(now, p):
		case p.last.DataCentre == dataCentre:
			near = append(near, p.address)
		default:
			far = append(far, p.address)
		}
	}
	t.shuffleAddresses(near)
	t.shuffleAddresses(far)
	farPeers := min(len(far), max(1, maxPeers-len(near)))
	return append(near[:min(len(near), maxPeers-farPeers)], far[:farPeers]...)
}

// shuffleAddresses sorts a list before it shuffles it, so that the result does not depend
// on the iteration order of a map.
func (t *PeerTable) shuffleAddresses(list []netip.AddrPort) {
	slices.SortFunc(list, netip.AddrPort.Compare)
	t.options.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
