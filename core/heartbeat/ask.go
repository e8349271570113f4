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
	last := make(map[string]time.Time)
	total := 0
	for _, p := range b.peers {
		if !b.live(now, p) {
			continue
		}
		dc := p.last.DataCentre
		live[dc]++
		total++
		if p.heard.After(last[dc]) {
			last[dc] = p.heard
		}
	}
	for dc, vms := range live {
		if dc != b.o.DataCentre && now.Sub(last[dc]) >= b.farSilent(vms, total) {
			delete(live, dc)
		}
	}
	return live
}

// farGaps is how many times the mean time between two heartbeats from another
// data centre it may be silent.
const farGaps = 4

// farSilent returns the silence after which another data centre is out of reach,
// of which the given number of VMs are known, among total in all. Each of them
// sends to FarFanout of those elsewhere in a time of Far; a small one in a large
// fleet is heard seldom.
func (b *Board) farSilent(vms, total int) time.Duration {
	elsewhere := max(1, total+1-vms)
	gap := b.o.Far * time.Duration(elsewhere) / time.Duration(vms*min(b.o.FarFanout, elsewhere))
	return max(b.o.FarSilent, farGaps*gap)
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
