package heartbeat

import (
	"net/netip"
	"time"

	"baobabstep"
)

// IsNear reports whether the VM at an address is in the own data centre.
func (t *PeerTable) IsNear(address netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[address]
	return p != nil && p.last != nil && p.last.DataCentre == t.options.DataCentre
}

// Rank is the position of a VM in the order in which VMs should read the store.
type Rank struct {
	// Near is the number of VMs of the own data centre that precede it.
	Near int
	// Far is the number of other data centres whose first VM precedes it.
	Far int
}

// First reports whether no VM precedes it.
func (r Rank) First() bool { return r == Rank{} }

// Rank returns the rank of this VM, in the order of VM identifiers. Leaving VMs are not
// counted. VMs that cannot read the store, or have not yet, rank after all that can; storeUnreadable is set
// if this VM cannot. They have ranks among each other, so that only a few of them keep
// trying.
func (t *PeerTable) Rank(now time.Time, storeUnreadable bool) Rank {
	t.mu.Lock()
	defer t.mu.Unlock()
	var rank Rank
	before := make(map[string]bool)
	for _, p := range t.peers {
		if !t.isLive(now, p) || p.last.Leaving || p.last.StoreUnreadable && !storeUnreadable {
			continue
		}
		if p.last.From >= t.options.Self && p.last.StoreUnreadable == storeUnreadable {
			continue
		}
		if p.last.DataCentre == t.options.DataCentre {
			rank.Near++
			continue
		}
		before[p.last.DataCentre] = true
	}
	rank.Far = len(before)
	return rank
}

// LiveCounts returns the number of live VMs of each data centre, without this one. A
// remote data centre that was silent for its timeout (see farTimeout) is left out.
func (t *PeerTable) LiveCounts(now time.Time) map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := make(map[string]int)
	stats := make(map[string]*farStats)
	total := 0
	for _, p := range t.peers {
		if !t.isLive(now, p) {
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
		if dc != t.options.DataCentre && now.Sub(s.latestHeartbeat) >= t.farTimeout(s, total) {
			delete(live, dc)
		}
	}
	return live
}

// farStats summarizes the heartbeats from the live VMs of another data centre.
type farStats struct {
	vms int
	// latestHeartbeat is when the latest heartbeat was received.
	latestHeartbeat time.Time
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
	if p.lastHeard.After(s.latestHeartbeat) {
		s.latestHeartbeat = p.lastHeard
	}
}

// farTimeoutGaps is the timeout of another data centre in multiples of the mean time
// between two heartbeats from it.
const farTimeoutGaps = 4

// farTimeout returns the silence after which another data centre counts as unreachable,
// with total live peers in all data centres. It grows with the mean time between
// heartbeats, which is long for a small data centre in a large fleet. A VM that does not
// report its turn is assumed to send to FarFanout VMs of other data centres every
// FarInterval.
func (t *PeerTable) farTimeout(s *farStats, total int) time.Duration {
	elsewhere := max(1, total+1-s.vms)
	rate := s.rate + float64(s.withoutTurn*min(t.options.FarFanout, elsewhere))/(t.options.FarInterval.Seconds()*float64(elsewhere))
	return max(t.options.DataCentreTimeout, time.Duration(farTimeoutGaps/rate*float64(time.Second)))
}

// FindNewer returns a live VM that holds a newer version with different content. It
// prefers VMs of the own data centre. Of several with the newest version it returns a
// random one, so that requests are spread over them.
func (t *PeerTable) FindNewer(now time.Time, kind Kind, revision baobabstep.Revision, sum uint64) (from netip.AddrPort, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, near := range []bool{true, false} {
		same := 0
		for _, p := range t.peersByAddress(near) {
			held := VersionInfo{}
			if t.isLive(now, p) {
				held = p.last.VersionOf(kind)
			}
			heldRevision := held.Revision()
			switch {
			case heldRevision.Before(revision) || heldRevision == revision && !ok || held.Checksum == sum:
				continue
			case revision.Before(heldRevision):
				same = 0
			}
			same++
			if revision, ok = heldRevision, true; t.options.Rand.IntN(same) == 0 {
				from = p.address
			}
		}
		if ok {
			break
		}
	}
	return from, ok
}

// FindAnyNewer returns a live VM of the own data centre that holds a newer version with different
// content, not necessarily the newest. Of two random ones it returns the one with the newer version,
// so that requests are spread over many VMs and still make progress.
func (t *PeerTable) FindAnyNewer(now time.Time, kind Kind, revision baobabstep.Revision, sum uint64) (from netip.AddrPort, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	newer := t.filterPeers(func(p *peer) bool {
		if !t.isLive(now, p) || p.last.DataCentre != t.options.DataCentre {
			return false
		}
		held := p.last.VersionOf(kind)
		return revision.Before(held.Revision()) && held.Checksum != sum
	})
	if len(newer) == 0 {
		return netip.AddrPort{}, false
	}
	a, b := newer[t.options.Rand.IntN(len(newer))], newer[t.options.Rand.IntN(len(newer))]
	if a.last.VersionOf(kind).Revision().Before(b.last.VersionOf(kind).Revision()) {
		a = b
	}
	return a.address, true
}

// HoldsNewer reports whether a live VM holds a newer version with different content that was
// confirmed at most maxAge ago.
func (t *PeerTable) HoldsNewer(now time.Time, kind Kind, revision baobabstep.Revision, sum uint64, maxAge time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if !t.isLive(now, p) {
			continue
		}
		held := p.last.VersionOf(kind)
		if revision.Before(held.Revision()) && held.Checksum != sum && held.Age()+now.Sub(p.lastHeard) <= maxAge {
			return true
		}
	}
	return false
}
