package heartbeat

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"baobabstep"
)

// Own is what this VM says of itself.
type Own struct {
	Leaving, Blind bool
	Held           [Kinds]Held
	// Loads is what this VM sends to targets.
	Loads []baobabstep.TargetLoad
}

// Due tells whether heartbeats are due: what they say has a cost.
func (b *Board) Due(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return round(now, b.o.Near) != b.nearRound || round(now, b.o.Far) != b.farRound
}

// round numbers the intervals of time, the same for all VMs as far as their
// clocks agree.
func round(now time.Time, interval time.Duration) int64 { return now.UnixNano() / int64(interval) }

// Tick returns the heartbeats that are due.
func (b *Board) Tick(now time.Time, own Own) []Out {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	b.countTurns()
	var outs []Out
	if at := round(now, b.o.Near); at != b.nearRound {
		b.nearRound = at
		outs = b.beat(outs, now, own, maxLoads, turn(b.sorted(true), at, b.o.NearFanout, 0))
	}
	if at := round(now, b.o.Far); at != b.farRound {
		b.farRound = at
		list := b.sorted(false)
		outs = b.beat(outs, now, own, farLoads, turn(list, at, b.o.FarFanout, b.offset(now, len(list))))
	}
	return outs
}

// offset spreads the turns of the VMs of a data centre over those of length VMs
// elsewhere, so that each of these hears from one after the other. With turns at
// the same place, as after a start of all, some VM hears nothing of a data centre
// for seconds and takes it for out of reach.
func (b *Board) offset(now time.Time, length int) int {
	rank, vms := 0, 1
	for _, p := range b.peers {
		if !b.live(now, p) || p.last.DataCentre != b.o.DataCentre {
			continue
		}
		vms++
		if p.address.Compare(b.o.Address) < 0 {
			rank++
		}
	}
	return rank * length / vms
}

// Announce returns heartbeats to some VMs of the own data centre at once: the VM
// holds something new, or leaves. With far set one VM of each other data centre
// gets one as well. Who learns something so announces it in turn: thus nobody
// has to send the whole to all.
func (b *Board) Announce(now time.Time, own Own, far bool) []Out {
	b.mu.Lock()
	defer b.mu.Unlock()
	to := b.sorted(true)
	b.o.Rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
	outs := b.beat(nil, now, own, maxLoads, to[:min(len(to), b.o.AnnounceFanout)])
	if far {
		outs = b.beat(outs, now, own, farLoads, b.firsts(now))
	}
	return outs
}

// Spread returns who is to get a change: all live VMs of the own data centre and,
// with far set, one of each other.
func (b *Board) Spread(now time.Time, far bool) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	to := b.neighbours(now)
	if far {
		for _, p := range b.firsts(now) {
			to = append(to, p.address)
		}
	}
	return to
}

const (
	// relayByteBudget limits the bytes a VM sends to relay one change within its data
	// centre; the resulting fanout is clamped to [minRelayFanout, maxRelayFanout].
	relayByteBudget = 24e3
	minRelayFanout  = 4
	maxRelayFanout  = 16
)

// RelayFanout returns the number of VMs to which each VM relays a change of size bytes.
func RelayFanout(size int) int {
	return max(minRelayFanout, min(maxRelayFanout, relayByteBudget/max(1, size)))
}

// RelayPeers returns the VMs of the own data centre to which this VM relays a change
// from origin. The VMs, sorted by address and rotated to start at origin, form a tree
// in which each has at most fanout children. If VMs disagree on the membership, some
// receive the change twice, and others detect that they missed it from a heartbeat.
func (b *Board) RelayPeers(now time.Time, origin netip.AddrPort, fanout int) (to []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ring := append(b.neighbours(now), b.o.Address)
	if !slices.Contains(ring, origin) {
		ring = append(ring, origin)
	}
	slices.SortFunc(ring, netip.AddrPort.Compare)
	n := len(ring)
	first := slices.Index(ring, origin)
	rank := (slices.Index(ring, b.o.Address) - first + n) % n
	for i := rank*fanout + 1; i <= (rank+1)*fanout && i < n; i++ {
		to = append(to, ring[(first+i)%n])
	}
	return to
}

// FarPeers returns one VM of each other data centre.
func (b *Board) FarPeers(now time.Time) (to []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.firsts(now) {
		to = append(to, p.address)
	}
	return to
}

// relayHopDelay is the time a VM limited to a tenth of a core takes to relay a change.
const relayHopDelay = 50 * time.Millisecond

// RelayDelay estimates the time a relayed change takes from the first to the last VM
// of the data centre, for a change of which each VM sends minRelayFanout copies.
func (b *Board) RelayDelay() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	levels := 0
	for reached, level := minRelayFanout, minRelayFanout; reached < b.nearVMs; reached += level {
		level *= minRelayFanout
		levels++
	}
	return time.Duration(levels) * relayHopDelay
}

// neighbours returns all live VMs of the own data centre.
func (b *Board) neighbours(now time.Time) (list []netip.AddrPort) {
	for _, p := range b.sorted(true) {
		if b.live(now, p) {
			list = append(list, p.address)
		}
	}
	return list
}

// firsts returns the first live VM of each other data centre.
func (b *Board) firsts(now time.Time) []*peer {
	first := make(map[string]*peer)
	for _, p := range b.peers {
		if !b.live(now, p) || p.last.DataCentre == b.o.DataCentre || p.last.Leaving {
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

// turn returns the fanout VMs of a list whose turn it is in a round.
func turn(all []*peer, round int64, fanout, offset int) []*peer {
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

// beat adds a heartbeat with at most the given number of loads to some VMs.
func (b *Board) beat(outs []Out, now time.Time, own Own, loads int, to []*peer) []Out {
	if len(to) == 0 {
		return outs
	}
	b.number++
	h := &Heartbeat{
		From: b.o.Self, DataCentre: b.o.DataCentre, Life: b.o.Life, Number: b.number,
		Leaving: own.Leaving, Blind: own.Blind, Held: [pieceKinds]Held(own.Held[:pieceKinds]), HeldEvacuations: own.Held[Evacuations], Loads: MakeLoads(now, own.Loads, loads), Peers: b.sample(now),
	}
	m := &Message{Heartbeat: h}
	for _, p := range to {
		outs = append(outs, Out{To: p.address, Message: m})
	}
	return outs
}

// sample returns a few VMs that were heard lately.
func (b *Board) sample(now time.Time) []netip.AddrPort {
	var heard []netip.AddrPort
	for _, p := range b.peers {
		if b.live(now, p) {
			heard = append(heard, p.address)
		}
	}
	slices.SortFunc(heard, netip.AddrPort.Compare)
	b.o.Rand.Shuffle(len(heard), func(i, j int) { heard[i], heard[j] = heard[j], heard[i] })
	return heard[:min(len(heard), maxPeers)]
}
