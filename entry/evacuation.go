package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// holdEvacuations takes in all evacuated data centres as of a revision. It returns
// whether they are others than before.
//
// An evacuation ends only by a newer word of the operators. A copy of the store, a
// heartbeat that was late or a VM that has not heard yet has an older revision, and
// would send flows back into a data centre that is being emptied.
func (b *beliefs) holdEvacuations(now time.Time, dataCentres []string, revision baobabstep.Revision, from origin) (changed bool, err error) {
	list := slices.Sorted(slices.Values(dataCentres))
	sum, err := heartbeat.EvacuationsSum(list)
	if err != nil {
		return false, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[heartbeat.Evacuations]
	first := held.version == 0
	switch {
	case uint64(revision) < held.version:
		return false, nil
	case !first && sum == held.sum:
		held.version = uint64(revision)
		held.confirm(from.confirmed)
		return false, nil
	}
	b.evacuated = list
	held.version, held.sum = uint64(revision), sum
	held.confirm(from.confirmed)
	held.unconfirmed = from.recent
	if first && len(list) == 0 {
		return true, nil
	}
	b.router.SetEvacuations(now, list)
	b.log.WithFields(log.Fields{
		"evacuated": list, "revision": held.version, "source": from.source, "age_ms": now.Sub(from.confirmed).Milliseconds(),
	}).Info("evacuations in force")
	return true, nil
}

// changeEvacuations takes in what a watch saw. It says nothing of the age of what
// is held: the watch may have passed over another change.
func (b *beliefs) changeEvacuations(now time.Time, changes []baobabstep.EvacuationChange) (changed bool, err error) {
	b.mu.Lock()
	list, newest := slices.Clone(b.evacuated), baobabstep.Revision(b.held[heartbeat.Evacuations].version)
	confirmed := b.held[heartbeat.Evacuations].confirmed
	b.mu.Unlock()
	for _, c := range changes {
		if c.Revision <= newest {
			continue
		}
		newest = c.Revision
		list = slices.DeleteFunc(list, func(dc string) bool { return dc == c.DataCentre })
		if !c.Ended {
			list = append(list, c.DataCentre)
		}
	}
	return b.holdEvacuations(now, list, newest, origin{source: sourceWatch, confirmed: confirmed})
}

// evacuations returns what is held as it travels. Errors: CodeTooLarge.
func (b *beliefs) evacuations(now time.Time) (*heartbeat.EvacuationList, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return heartbeat.NewEvacuationList(b.held[heartbeat.Evacuations].told(now), b.evacuated)
}

// learnEvacuations takes in all evacuated data centres, and hands on what is new.
func (n *Node) learnEvacuations(dataCentres []string, revision baobabstep.Revision, from origin) error {
	changed, err := n.beliefs.holdEvacuations(n.clock.Now(), dataCentres, revision, from)
	if changed {
		n.noteUnknownDataCentres(dataCentres)
		n.spreadEvacuations(from.source != sourcePeer)
	}
	return err
}

// noteUnknownDataCentres says which evacuations concern no data centre of the
// settings. They are in force all the same: the settings may be older.
func (n *Node) noteUnknownDataCentres(dataCentres []string) {
	for _, name := range dataCentres {
		if known := n.o.Settings.Token.DataCentres; len(known) > 0 && !slices.Contains(known, name) {
			n.counts.unknownEvacuations.Add(1)
			n.log.WithFields(log.Fields{"evacuated": name, "known": known}).Warn("evacuation of an unknown data centre")
		}
	}
}

// spreadEvacuations tells the own data centre, and with far set one VM of each
// other, what is held.
func (n *Node) spreadEvacuations(far bool) {
	now := n.clock.Now()
	for _, to := range n.board.Spread(now, far) {
		n.sendEvacuations(now, to)
	}
}

func (n *Node) sendEvacuations(now time.Time, to netip.AddrPort) {
	list, err := n.beliefs.evacuations(now)
	if err != nil {
		n.log.WithError(err).Error("cannot hand on evacuations")
		return
	}
	n.sendMessage(to, &heartbeat.Message{Evacuations: list})
}

// handleEvacuations takes over what a peer holds.
func (n *Node) handleEvacuations(now time.Time, from netip.AddrPort, e *heartbeat.EvacuationList) {
	sum, err := heartbeat.EvacuationsSum(e.DataCentres)
	if err != nil || sum != e.Held.Sum {
		n.counts.malformed.Add(1)
		return
	}
	changed, err := n.beliefs.holdEvacuations(now, e.DataCentres, baobabstep.Revision(e.Held.Version), origin{source: sourcePeer, confirmed: now.Add(-e.Held.Age())})
	if err != nil {
		n.counts.malformed.Add(1)
		return
	}
	// From another data centre it came to this VM alone.
	if changed && !n.board.IsNear(from) {
		n.spreadEvacuations(false)
	}
}
