package target

import "time"

// Flows do not move, so a target that was drained or has joined stays
// underloaded for about the lifetime of a flow: the choice between two random
// targets gives it at most twice its even share. Underloaded targets therefore
// get some flows on top of the random choice. That extra share is fixed rather
// than the whole deficit: counts lag, and a target that looks empty to all VMs
// at once must not get all new flows of all of them.
const (
	// underloadedShare is the utilisation, as a share of the mean, below which
	// a target is underloaded.
	underloadedShare = 0.85
	// underloadedBoost is the extra share of an underloaded target, in even
	// shares.
	underloadedBoost = 2.0
	// underloadedMaxAge is how long the list of underloaded targets is used.
	underloadedMaxAge = 500 * time.Millisecond
	// maxTurnover is the share of this VM's flows opened per second above which
	// no target is boosted: flows are then so short that imbalance corrects
	// itself, and the counts are too old to act on.
	maxTurnover = 0.1
	// minMeanFlows is the mean number of flows below which differences are
	// noise.
	minMeanFlows = 8
)

// pickUnderloaded returns an underloaded target for as many of the picks as
// make up the extra share, otherwise nil.
func (p *pool) pickUnderloaded(now time.Time, d *draws) *entry {
	if age := now.Sub(p.underloadedAt); age >= underloadedMaxAge {
		p.findUnderloaded(now, age)
	}
	n := len(p.underloaded)
	if n == 0 {
		return nil
	}
	chance := min(0.5, underloadedBoost*float64(n)/float64(len(p.usable.entries)))
	if d.float() >= chance {
		return nil
	}
	e := p.underloaded[d.intN(n)]
	if !e.usable {
		return nil
	}
	return e.candidate(now, d)
}

func (p *pool) findUnderloaded(now time.Time, age time.Duration) {
	openedPerSecond := float64(p.openedSince) / age.Seconds()
	p.underloadedAt = now
	p.openedSince = 0
	p.underloaded = p.underloaded[:0]
	ownFlows := 0
	for _, e := range p.usable.entries {
		ownFlows += e.flows
	}
	mean := p.usable.meanUtilisation()
	tooFew := p.usable.load < minMeanFlows*len(p.usable.entries)
	if tooFew || openedPerSecond > maxTurnover*float64(ownFlows) {
		return
	}
	for _, e := range p.usable.entries {
		if e.utilisation() < underloadedShare*mean {
			p.underloaded = append(p.underloaded, e)
		}
	}
}
