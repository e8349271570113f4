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
// whether they are others than before, and whether they are the first.
//
// An evacuation ends only by a newer word of the operators. A copy of the store, a
// heartbeat that was late or a VM that has not heard yet has an older revision, and
// would send flows back into a data centre that is being emptied.
func (b *beliefs) holdEvacuations(now time.Time, dataCentres []string, revision baobabstep.Revision, from origin) (changed, first bool, err error) {
	list := slices.Sorted(slices.Values(dataCentres))
	sum, err := heartbeat.EvacuationsSum(list)
	if err != nil {
		return false, false, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[heartbeat.Evacuations]
	first = !held.isHeld()
	switch {
	case revision.Before(held.revision):
		b.passOver(now, heartbeat.Evacuations, revision, from)
		return false, first, nil
	case !first && sum == held.sum:
		b.move(now, heartbeat.Evacuations, revision)
		held.confirm(from.confirmed)
		return false, first, nil
	}
	b.move(now, heartbeat.Evacuations, revision)
	b.evacuated, held.sum = list, sum
	held.confirm(from.confirmed)
	held.unconfirmed = from.recent
	if first && len(list) == 0 {
		return true, first, nil
	}
	b.router.SetEvacuations(now, list)
	b.log.WithFields(log.Fields{
		"evacuated": list, "revision": revision.Number, "era": revision.Era, "source": from.source, "age_ms": now.Sub(from.confirmed).Milliseconds(),
	}).Info("evacuations in force")
	return true, first, nil
}

// evacuationsAfter returns what changes, in the order in which they came, make of
// what is held, and as of which revision.
func (b *beliefs) evacuationsAfter(changes []baobabstep.EvacuationChange) (dataCentres []string, revision baobabstep.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	dataCentres, revision = slices.Clone(b.evacuated), b.held[heartbeat.Evacuations].revision
	for _, c := range changes {
		if !revision.Before(c.Revision) {
			continue
		}
		revision = c.Revision
		dataCentres = slices.DeleteFunc(dataCentres, func(name string) bool { return name == c.DataCentre })
		if !c.Ended {
			dataCentres = append(dataCentres, c.DataCentre)
		}
	}
	return dataCentres, revision
}

// evacuations returns what is held as it travels. Errors: CodeTooLarge.
func (b *beliefs) evacuations(now time.Time) (*heartbeat.EvacuationList, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return heartbeat.NewEvacuationList(b.held[heartbeat.Evacuations].told(now), b.evacuated)
}

// learnEvacuations takes in all evacuated data centres as the store holds them, and
// tells other VMs of a change.
func (n *Node) learnEvacuations(dataCentres []string, revision baobabstep.Revision, from origin) error {
	changed, err := n.takeEvacuations(n.clock.Now(), dataCentres, revision, from)
	if changed {
		n.spreadEvacuations(true)
	}
	return err
}

// watchEvacuations takes in what a watch saw. It says nothing of the age of what is
// held: the watch may have passed over another change.
func (n *Node) watchEvacuations(changes []baobabstep.EvacuationChange) error {
	dataCentres, revision := n.beliefs.evacuationsAfter(changes)
	confirmed := n.beliefs.get(heartbeat.Evacuations).confirmed
	return n.learnEvacuations(dataCentres, revision, origin{source: sourceWatch, confirmed: confirmed})
}

// takeEvacuations takes in all evacuated data centres as of a revision, and tells
// whether that changes what was held. What a VM learns first changes nothing: others
// learn it from heartbeats, and a fleet that starts would send it to all from all.
func (n *Node) takeEvacuations(now time.Time, dataCentres []string, revision baobabstep.Revision, from origin) (changed bool, err error) {
	changed, first, err := n.beliefs.holdEvacuations(now, dataCentres, revision, from)
	if changed {
		n.noteUnknownDataCentres(dataCentres)
	}
	return changed && !first, err
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
	n.sendEvacuations(now, n.board.Spread(now, far)...)
}

func (n *Node) sendEvacuations(now time.Time, to ...netip.AddrPort) {
	list, err := n.beliefs.evacuations(now)
	if err != nil {
		n.log.WithError(err).Error("cannot hand on evacuations")
		return
	}
	m := &heartbeat.Message{Evacuations: list}
	outs := make([]heartbeat.Out, len(to))
	for i := range to {
		outs[i] = heartbeat.Out{To: to[i], Message: m}
	}
	n.sendAll(outs)
}

// handleEvacuations takes over what a peer holds.
func (n *Node) handleEvacuations(now time.Time, from netip.AddrPort, e *heartbeat.EvacuationList) {
	sum, err := heartbeat.EvacuationsSum(e.DataCentres)
	if err != nil || sum != e.Held.Sum {
		n.counts.malformed.Add(1)
		return
	}
	changed, err := n.takeEvacuations(now, e.DataCentres, e.Held.Revision(), origin{source: sourcePeer, confirmed: now.Add(-e.Held.Age())})
	if err != nil {
		n.counts.malformed.Add(1)
		return
	}
	// From another data centre it came to this VM alone.
	if changed && !n.board.IsNear(from) {
		n.spreadEvacuations(false)
	}
}
