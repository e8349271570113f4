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
	Held           [kinds]Held
	// Loads is what this VM sends to targets.
	Loads []baobabstep.TargetLoad
}

// Due tells whether heartbeats are due: what they say has a cost.
func (b *Board) Due(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.nearAt) >= b.o.Near || now.Sub(b.farAt) >= b.o.Far
}

// Tick returns the heartbeats that are due.
func (b *Board) Tick(now time.Time, own Own) []Out {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(now)
	b.countTurns()
	near, far := now.Sub(b.nearAt) >= b.o.Near, now.Sub(b.farAt) >= b.o.Far
	var outs []Out
	if near {
		b.nearAt = now
		outs = b.beat(outs, now, own, maxLoads, b.turn(&b.nearTurn, b.o.NearFanout, true))
	}
	if far {
		b.farAt = now
		outs = b.beat(outs, now, own, farLoads, b.turn(&b.farRun, b.o.FarFanout, false))
	}
	return outs
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

// Spread returns a change for all live VMs of the own data centre and, with far
// set, for one of each other.
func (b *Board) Spread(now time.Time, c *Change, far bool) []Out {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := &Message{Change: c}
	var outs []Out
	for _, p := range b.sorted(true) {
		if b.live(now, p) {
			outs = append(outs, Out{To: p.address, Message: m})
		}
	}
	if far {
		for _, p := range b.firsts(now) {
			outs = append(outs, Out{To: p.address, Message: m})
		}
	}
	return outs
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

// turn returns the next fanout VMs, of the own data centre or of others.
func (b *Board) turn(at *int, fanout int, near bool) []*peer {
	all := b.sorted(near)
	if len(all) <= fanout {
		return all
	}
	chosen := make([]*peer, 0, fanout)
	for range fanout {
		*at = (*at + 1) % len(all)
		chosen = append(chosen, all[*at])
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
		Leaving: own.Leaving, Blind: own.Blind, Held: own.Held, Loads: MakeLoads(now, own.Loads, loads), Peers: b.sample(now),
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
