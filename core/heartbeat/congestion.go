package heartbeat

import (
	"math"
	"time"
)

// maxCongestionAge is the age from which a VM's last congestion is no longer reported. It
// exceeds the age of the evidence in a silence report.
const maxCongestionAge = 2 * time.Second

// SetCongestedAt sets when this VM's own link was last congested, for the following messages.
func (t *PeerTable) SetCongestedAt(at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.congestedAt = at
}

// congestedMS returns the value of CongestedMS in a message.
func (t *PeerTable) congestedMS(now time.Time) uint32 {
	if t.congestedAt.IsZero() || now.Sub(t.congestedAt) >= maxCongestionAge {
		return 0
	}
	return 1 + uint32(max(0, now.Sub(t.congestedAt).Milliseconds()))
}

// congestedAt returns when the link of a message's sender was last congested, zero if it was
// not recently.
func congestedAt(now time.Time, congestedMS uint32) time.Time {
	if congestedMS == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(min(congestedMS, math.MaxInt32)-1) * time.Millisecond)
}

// CongestedCount returns the number of live VMs of the own data centre, excluding this one,
// whose link was congested when they last sent a message.
func (t *PeerTable) CongestedCount(now time.Time) (count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		if t.isLive(now, p) && p.last.DataCentre == t.options.DataCentre && now.Sub(p.congestedAt) < t.options.PeerTimeout {
			count++
		}
	}
	return count
}
