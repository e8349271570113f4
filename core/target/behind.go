package target

import "time"

// Long flows do not move, so a target that was drained or joined stays behind
// the others for about the life of a flow: of two random choices it gets twice
// its even share at most. Targets behind are therefore given some flows on top,
// whatever was drawn. That share is fixed, not the rest of what they lack: the
// counts lag, and a target that looks empty to all VMs at once must not get
// all new flows of all VMs.
const (
	// behindShare is the load, as a share of the mean, below which a target
	// is behind.
	behindShare = 0.85
	// behindBoost is what a target behind gets on top, in even shares.
	behindBoost = 2.0
	// behindAge is how long the list of them is used.
	behindAge = 500 * time.Millisecond
	// fastTurnover is the share of the own flows opened in one second past
	// which nobody is boosted: then flows are so short that imbalance goes
	// by itself, and the counts too old to act on.
	fastTurnover = 0.1
	// minBehindLoad is the mean number of flows below which differences
	// are noise.
	minBehindLoad = 8
)

// pickBehind returns a target that is behind, as often as it is due one on top.
func (p *pool) pickBehind(now time.Time, d *draws) *entry {
	if age := now.Sub(p.behindAt); age >= behindAge {
		p.findBehind(now, age)
	}
	n := len(p.behind)
	if n == 0 {
		return nil
	}
	chance := min(0.5, behindBoost*float64(n)/float64(len(p.usable.entries)))
	if d.float() >= chance {
		return nil
	}
	e := p.behind[d.below(n)]
	if !e.usable {
		return nil
	}
	return e.candidate(now, d)
}

func (p *pool) findBehind(now time.Time, age time.Duration) {
	opened := float64(p.opened) / age.Seconds()
	p.behindAt = now
	p.opened = 0
	p.behind = p.behind[:0]
	own := 0
	for _, e := range p.usable.entries {
		own += e.flows
	}
	mean := p.usable.mean()
	few := p.usable.load < minBehindLoad*len(p.usable.entries)
	if few || opened > fastTurnover*float64(own) {
		return
	}
	for _, e := range p.usable.entries {
		if e.share() < behindShare*mean {
			p.behind = append(p.behind, e)
		}
	}
}
