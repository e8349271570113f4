package entry

import (
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/token"
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
	if !b.differs(now, heartbeat.Evacuations, sum, revision, from) {
		return false, first, nil
	}
	if !first && held.revision.Era < revision.Era {
		b.merge = &evacuationMerge{ours: b.inForce, backup: list}
	}
	b.evacuated = list
	b.replace(now, heartbeat.Evacuations, sum, revision, from)
	b.enforceEvacuations(now, from.source)
	return true, first, nil
}

// evacuationMerge combines what was in force when the store was restored with what
// operators change from then on.
type evacuationMerge struct {
	// ours was in force, backup is what the store came back with.
	ours, backup []string
}

// with returns what is in force once the store holds a list, sorted: ours, and what
// operators began or ended since.
func (m *evacuationMerge) with(list []string) (merged []string) {
	all := slices.Concat(m.ours, list)
	slices.Sort(all)
	for _, name := range slices.Compact(all) {
		ours, backup, now := slices.Contains(m.ours, name), slices.Contains(m.backup, name), slices.Contains(list, name)
		if began, ended := now && !backup, backup && !now; began || ours && !ended {
			merged = append(merged, name)
		}
	}
	return merged
}

// enforceEvacuations puts in force what is held, merged with what a restored store may
// lack for token.LapseGrace. The caller holds b.mu.
func (b *beliefs) enforceEvacuations(now time.Time, source string) {
	if now.Sub(b.restoredAt) >= token.ReregistrationGrace {
		b.merge = nil
	}
	list := b.evacuated
	if b.merge != nil {
		list = b.merge.with(list)
	}
	if slices.Equal(list, b.inForce) {
		return
	}
	b.inForce = list
	b.router.SetEvacuations(now, list)
	held := &b.held[heartbeat.Evacuations]
	b.log.WithFields(log.Fields{
		"evacuated": list, "revision": held.revision.Number, "era": held.revision.Era, "source": source,
		"age_ms": now.Sub(held.confirmed).Milliseconds(),
	}).Info("evacuations in force")
}

// settleEvacuations ends the merge with what a restored store lacked, once it is due.
func (b *beliefs) settleEvacuations(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.merge != nil {
		b.enforceEvacuations(now, sourceStore)
	}
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
