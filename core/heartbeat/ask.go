package heartbeat

import (
	"net/netip"
	"time"

	"baobabstep"
)

// IsNear tells whether the VM at an address stands in the own data centre.
func (b *Board) IsNear(address netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[address]
	return p != nil && p.last != nil && p.last.DataCentre == b.o.DataCentre
}

// Rank is the place of a VM among those that may read the store.
type Rank struct {
	// Near is the number of VMs of the own data centre that come before it.
	Near int
	// Far is the number of other data centres whose first VM comes before it.
	Far int
}

// First tells whether no VM comes before.
func (r Rank) First() bool { return r == Rank{} }

// Rank returns the place of this VM. VMs that leave come before nobody, and VMs
// that cannot read the store before none that can; blind is set if this one
// cannot. Of those that cannot, too, only a few should go on trying.
func (b *Board) Rank(now time.Time, blind bool) Rank {
	b.mu.Lock()
	defer b.mu.Unlock()
	var rank Rank
	before := make(map[string]bool)
	for _, p := range b.peers {
		if !b.live(now, p) || p.last.Leaving || p.last.Blind && !blind {
			continue
		}
		if p.last.From >= b.o.Self && p.last.Blind == blind {
			continue
		}
		if p.last.DataCentre == b.o.DataCentre {
			rank.Near++
			continue
		}
		before[p.last.DataCentre] = true
	}
	rank.Far = len(before)
	return rank
}

// Live returns the number of live VMs of each data centre, this one not counted.
// Another data centre of which no VM was heard for FarSilent has none.
func (b *Board) Live(now time.Time) map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	live := make(map[string]int)
	stats := make(map[string]*farStats)
	total := 0
	for _, p := range b.peers {
		if !b.live(now, p) {
			continue
		}
		dc := p.last.DataCentre
		live[dc]++
		total++
		if stats[dc] == nil {
			stats[dc] = new(farStats)
		}
		stats[dc].add(p)
	}
	for dc, s := range stats {
		if dc != b.o.DataCentre && now.Sub(s.last) >= b.farSilent(s, total) {
			delete(live, dc)
		}
	}
	return live
}

// farStats summarizes the heartbeats from the live VMs of another data centre.
type farStats struct {
	vms int
	// last is when the latest heartbeat was received.
	last time.Time
	// rate is the expected number of heartbeats a second from the VMs that report
	// their turn.
	rate float64
	// withoutTurn is the number of VMs that do not report their turn.
	withoutTurn int
}

func (s *farStats) add(p *peer) {
	s.vms++
	if turn := p.last.turn(); turn > 0 {
		s.rate += 1 / turn.Seconds()
	} else {
		s.withoutTurn++
	}
	if p.heard.After(s.last) {
		s.last = p.heard
	}
}

// farGaps is how many times the mean time between two heartbeats from another
// data centre it may be silent.
const farGaps = 4

// farSilent returns the silence after which another data centre is out of reach, with
// total live peers in all data centres. It grows with the mean time between heartbeats,
// which is long for a small data centre in a large fleet. A VM that does not report its
// turn is assumed to send to FarFanout VMs of other data centres every Far.
func (b *Board) farSilent(s *farStats, total int) time.Duration {
	elsewhere := max(1, total+1-s.vms)
	rate := s.rate + float64(s.withoutTurn*min(b.o.FarFanout, elsewhere))/(b.o.Far.Seconds()*float64(elsewhere))
	return max(b.o.FarSilent, time.Duration(farGaps/rate*float64(time.Second)))
}

// Newer returns a live VM that holds a newer version with another content, one
// of the own data centre if there is one; of several with the newest, any.
func (b *Board) Newer(now time.Time, kind Kind, revision baobabstep.Revision, sum uint64) (from netip.AddrPort, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, near := range []bool{true, false} {
		same := 0
		for _, p := range b.sorted(near) {
			held := Held{}
			if b.live(now, p) {
				held = p.last.HeldOf(kind)
			}
			said := held.Revision()
			switch {
			case said.Before(revision) || said == revision && !ok || held.Sum == sum:
				continue
			case revision.Before(said):
				same = 0
			}
			same++
			if revision, ok = said, true; b.o.Rand.IntN(same) == 0 {
				from = p.address
			}
		}
		if ok {
			break
		}
	}
	return from, ok
}
