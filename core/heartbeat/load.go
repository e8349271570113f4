package heartbeat

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

// tally is the sum of what live VMs say that they send to targets. It is kept as
// heartbeats come: summing up 2,300 VMs anew ten times a second took a sixth of
// a core. Whole numbers, so that what was added can be taken off again exactly.
type tally map[baobabstep.TargetID]uint64

func (t tally) add(loads []Load) {
	for _, l := range loads {
		if l.Tenths > 0 {
			t[l.Target] += uint64(l.Tenths)
		}
	}
}

func (t tally) remove(loads []Load) {
	for _, l := range loads {
		if l.Tenths == 0 {
			continue
		}
		if t[l.Target] -= uint64(l.Tenths); t[l.Target] == 0 {
			delete(t, l.Target)
		}
	}
}

// count makes the tally hold a peer's loads, or no longer.
func (b *Board) count(p *peer, counted bool) {
	switch {
	case p.counted == counted:
		return
	case counted:
		b.tally.add(p.last.Loads)
	default:
		b.tally.remove(p.last.Loads)
	}
	p.counted = counted
}

// HasEvidence tells whether the sender found targets silent, or contradicts
// others who did.
func (h *Heartbeat) HasEvidence() bool {
	return slices.ContainsFunc(h.Loads, func(l Load) bool { return l.Unanswered > 0 || l.HeardMS > 0 })
}

// Loads returns what the live VMs say of targets: the requests of all, and the
// most flows that any VM of the own data centre found unanswered. What VMs
// elsewhere find may be their path to the target.
func (b *Board) Loads(now time.Time) map[baobabstep.TargetID]baobabstep.TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.last != nil {
			b.count(p, b.live(now, p))
		}
	}
	loads := make(map[baobabstep.TargetID]baobabstep.TargetLoad, len(b.tally))
	for id, sum := range b.tally {
		loads[id] = baobabstep.TargetLoad{Requests: float64(sum) / tenths}
	}
	for _, p := range b.peers {
		if p.counted && p.evidence && p.last.DataCentre == b.o.DataCentre {
			p.addEvidence(loads)
		}
	}
	return loads
}

func (p *peer) addEvidence(loads map[baobabstep.TargetID]baobabstep.TargetLoad) {
	for _, l := range p.last.Loads {
		sum := loads[l.Target]
		sum.Unanswered = max(sum.Unanswered, int(l.Unanswered))
		sum.Opens = max(sum.Opens, int(l.Opens))
		if at := p.heard.Add(-time.Duration(l.HeardMS) * time.Millisecond); l.HeardMS > 0 && at.After(sum.HeardAt) {
			sum.HeardAt = at
		}
		loads[l.Target] = sum
	}
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
