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
	b.fanouts = b.fanoutsFor(now, own.Loads)
	b.countTurns()
	var outs []Out
	if at := round(now, b.o.Near); at != b.nearRound {
		b.nearRound = at
		list := b.sorted(true)
		to := turn(list, at, b.fanouts.near, b.offset(now, len(list)))
		to, far := b.addNewPeers(to)
		outs = b.beat(outs, now, own, nearBeatOptions(b), to)
		outs = b.beat(outs, now, own, farBeatOptions(b), far)
	}
	if at := round(now, b.o.Far); at != b.farRound {
		b.farRound = at
		list := b.sorted(false)
		outs = b.beat(outs, now, own, farBeatOptions(b), turn(list, at, b.fanouts.far, b.offset(now, len(list))))
	}
	return outs
}

// minTurnPeers is the number of heartbeats in a round that are reserved for the VMs whose
// turn it is.
const minTurnPeers = 2

// addNewPeers adds new peers to the VMs whose turn it is, up to NearFanout in total, and
// drops some of the latter if necessary. New peers are the VMs in newPeers, which may
// know no other VM, and a random selection of those of which only the address is known.
// VMs known to be in another data centre are returned in far.
func (b *Board) addNewPeers(turn []*peer) (to, far []*peer) {
	unknown := b.unknown()
	b.o.Rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	added := slices.DeleteFunc(append(b.newPeers, unknown...), func(p *peer) bool { return slices.Contains(turn, p) })
	b.newPeers = nil
	added = added[:min(len(added), max(0, b.o.NearFanout-minTurnPeers))]
	to = slices.Clone(turn)
	if most := b.o.NearFanout - len(added); len(to) > most {
		b.o.Rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:most] // random ones, so that no VM is passed over in each of its turns
	}
	for _, p := range added {
		if p.last != nil && p.last.DataCentre != b.o.DataCentre {
			far = append(far, p)
		} else {
			to = append(to, p)
		}
	}
	return to, far
}

// AnswerNewPeers returns heartbeats without loads to the VMs that started or were first
// heard since the last call. A VM that has just started knows only the seeds, and learns
// of the others from these answers. VMs above the rate limit wait for the next call or
// round.
func (b *Board) AnswerNewPeers(now time.Time, own Own) (outs []Out) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own.Loads = nil
	for len(b.newPeers) > 0 && b.answers.AllowN(now, 1) {
		p := b.newPeers[0]
		b.newPeers = b.newPeers[1:]
		options := nearBeatOptions(b)
		if p.last.DataCentre != b.o.DataCentre {
			options = farBeatOptions(b)
		}
		outs = b.beat(outs, now, own, options, []*peer{p})
	}
	return outs
}

// HasNewPeers tells whether new peers wait for an answer.
func (b *Board) HasNewPeers() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.newPeers) > 0
}

// offset returns where this VM starts in a list of length receivers. Offsets are spread
// over the VMs of a data centre. With equal offsets, a receiver would get the heartbeats
// of all of them in one round, which can overflow its socket buffer, and then none for
// seconds.
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
	outs := b.beat(nil, now, own, nearBeatOptions(b), to[:min(len(to), b.o.AnnounceFanout)])
	if far {
		outs = b.beat(outs, now, own, farBeatOptions(b), b.firsts(now))
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
		to = append(to, b.farPeers(now)...)
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
func (b *Board) FarPeers(now time.Time) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.farPeers(now)
}

func (b *Board) farPeers(now time.Time) (to []netip.AddrPort) {
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

// beatOptions are the parameters of a heartbeat that depend on its receivers.
type beatOptions struct {
	// loads limits the number of loads in the heartbeat.
	loads int
	// turn is the time in which this VM sends one heartbeat to each VM of the own data
	// centre, or of all others.
	turn time.Duration
}

func nearBeatOptions(b *Board) beatOptions {
	return beatOptions{loads: maxLoads, turn: time.Duration(b.nearTurns) * b.o.Near}
}

func farBeatOptions(b *Board) beatOptions {
	return beatOptions{loads: farLoads, turn: time.Duration(b.farTurns) * b.o.Far}
}

// beat appends to outs one heartbeat for each of the given VMs.
func (b *Board) beat(outs []Out, now time.Time, own Own, o beatOptions, to []*peer) []Out {
	if len(to) == 0 {
		return outs
	}
	b.number++
	h := &Heartbeat{
		From: b.o.Self, DataCentre: b.o.DataCentre, Life: b.o.Life, Number: b.number,
		Leaving: own.Leaving, Blind: own.Blind, Held: [pieceKinds]Held(own.Held[:pieceKinds]), HeldEvacuations: own.Held[Evacuations], Loads: MakeLoads(now, own.Loads, o.loads), Peers: b.sample(now),
		TurnMS: uint32(o.turn.Milliseconds()),
	}
	m := &Message{Heartbeat: h}
	for _, p := range to {
		outs = append(outs, Out{To: p.address, Message: m})
	}
	return outs
}

// sample returns the addresses of up to maxPeers random live VMs. It prefers those of
// the own data centre, and includes at least one of another if any is live.
func (b *Board) sample(now time.Time) []netip.AddrPort {
	var near, far []netip.AddrPort
	for _, p := range b.peers {
		switch {
		case !b.live(now, p):
		case p.last.DataCentre == b.o.DataCentre:
			near = append(near, p.address)
		default:
			far = append(far, p.address)
		}
	}
	b.shuffleAddresses(near)
	b.shuffleAddresses(far)
	farPeers := min(len(far), max(1, maxPeers-len(near)))
	return append(near[:min(len(near), maxPeers-farPeers)], far[:farPeers]...)
}

// shuffleAddresses sorts a list before it shuffles it, so that the result does not depend
// on the iteration order of a map.
func (b *Board) shuffleAddresses(list []netip.AddrPort) {
	slices.SortFunc(list, netip.AddrPort.Compare)
	b.o.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
