package heartbeat

import (
	"cmp"
	"net/netip"
	"slices"
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
	heard := make(map[string]bool)
	for _, p := range b.peers {
		if b.live(now, p) {
			live[p.last.DataCentre]++
			heard[p.last.DataCentre] = heard[p.last.DataCentre] || now.Sub(p.heard) < b.o.FarSilent
		}
	}
	for dc := range live {
		if dc != b.o.DataCentre && !heard[dc] {
			delete(live, dc)
		}
	}
	return live
}

// Confirmed returns how long ago the store was known to hold nothing newer than
// the content with the given checksum, by the word of a live VM that holds it
// too. ok is false if none does.
func (b *Board) Confirmed(now time.Time, kind Kind, sum uint64) (age time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if !b.live(now, p) || p.last.Held[kind].Version == 0 || p.last.Held[kind].Sum != sum {
			continue
		}
		a := p.last.Held[kind].Age() + now.Sub(p.heard)
		if !ok || a < age {
			age, ok = a, true
		}
	}
	return age, ok
}

// Newer returns a live VM that holds a newer version with another content, one
// of the own data centre if there is one; of several with the newest, any.
func (b *Board) Newer(now time.Time, kind Kind, version, sum uint64) (from netip.AddrPort, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, near := range []bool{true, false} {
		same := 0
		for _, p := range b.sorted(near) {
			held := Held{}
			if b.live(now, p) {
				held = p.last.Held[kind]
			}
			switch {
			case held.Version < version || held.Version == version && !ok || held.Sum == sum:
				continue
			case held.Version > version:
				same = 0
			}
			same++
			if version, ok = held.Version, true; b.o.Rand.IntN(same) == 0 {
				from = p.address
			}
		}
		if ok {
			break
		}
	}
	return from, ok
}

// Loads returns what the live VMs say of targets: the requests of all, and the
// most flows that any VM of the own data centre found unanswered. What VMs
// elsewhere find may be their path to the target.
func (b *Board) Loads(now time.Time) map[baobabstep.TargetID]baobabstep.TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := make(map[baobabstep.TargetID]baobabstep.TargetLoad)
	for _, p := range b.peers {
		if !b.live(now, p) {
			continue
		}
		for _, l := range p.last.Loads {
			sum := loads[l.Target]
			sum.Requests += float64(l.Tenths) / tenths
			if p.last.DataCentre == b.o.DataCentre {
				sum.Unanswered = max(sum.Unanswered, int(l.Unanswered))
				sum.Opens = max(sum.Opens, int(l.Opens))
				if at := p.heard.Add(-time.Duration(l.HeardMS) * time.Millisecond); l.HeardMS > 0 && at.After(sum.HeardAt) {
					sum.HeardAt = at
				}
			}
			loads[l.Target] = sum
		}
	}
	return loads
}

// maxHeard is the greatest HeardMS.
const maxHeard = 1<<16 - 1

// maxCount is the greatest count of flows that a Load says.
const maxCount = 255

// tenths is the number of units of Load.Tenths in a request.
const tenths = 10

// MakeLoads returns what a heartbeat says of targets: of the most loaded ones,
// where there are too many, and always of those that leave flows unanswered, or
// do so by the word of others.
func MakeLoads(now time.Time, own []baobabstep.TargetLoad) []Load {
	loads := make([]Load, 0, len(own))
	for _, l := range own {
		load := Load{
			Target: l.Target, Tenths: uint32(l.Requests * tenths),
			Unanswered: uint8(min(l.Unanswered, maxCount)), Opens: uint8(min(l.Opens, maxCount)),
		}
		if l.Disputed && !l.HeardAt.IsZero() {
			load.HeardMS = uint16(min(max(1, now.Sub(l.HeardAt).Milliseconds()), maxHeard))
		}
		if load.Tenths > 0 || load.Unanswered > 0 || load.HeardMS > 0 {
			loads = append(loads, load)
		}
	}
	slices.SortFunc(loads, func(a, b Load) int {
		return cmp.Or(cmp.Compare(b.Unanswered, a.Unanswered), cmp.Compare(b.HeardMS, a.HeardMS), cmp.Compare(b.Tenths, a.Tenths), cmp.Compare(a.Target, b.Target))
	})
	return loads[:min(len(loads), maxLoads)]
}
