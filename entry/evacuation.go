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

// updateEvacuations replaces the evacuated data centres by those of a revision. It returns
// whether the list changed, and whether it is the first one.
//
// Only a newer revision can end an evacuation. A replica, a delayed heartbeat or a VM that has
// not received the evacuation yet has an older revision, and would direct flows into a data
// centre that is being emptied.
func (sc *stateCache) updateEvacuations(now time.Time, dataCentres []string, revision baobabstep.Revision, from origin) (changed, first bool, err error) {
	list := slices.Sorted(slices.Values(dataCentres))
	sum, err := heartbeat.EvacuationsChecksum(list)
	if err != nil {
		return false, false, err
	}
	sc.mu.Lock()
	defer sc.mu.Unlock()
	cached := &sc.states[heartbeat.Evacuations]
	first = !cached.isKnown()
	if !sc.needsUpdate(now, heartbeat.Evacuations, sum, revision, from) {
		return false, first, nil
	}
	if !first && cached.revision.Era < revision.Era {
		sc.pendingMerge = &evacuationMerge{inForce: sc.evacuationsInForce, backup: list}
	}
	sc.evacuated = list
	sc.setContent(now, heartbeat.Evacuations, sum, revision, from)
	sc.enforceEvacuations(now, from.source)
	return true, first, nil
}

// evacuationMerge combines the evacuations in force when the store was restored with the
// changes that operators make afterwards.
type evacuationMerge struct {
	// inForce lists the evacuations in force before the restore, and backup those in the
	// restored store.
	inForce, backup []string
}

// mergedList returns the evacuations in force, sorted, once the store holds list: those from
// before the restore, and what operators began or ended since.
func (m *evacuationMerge) mergedList(list []string) (merged []string) {
	all := slices.Concat(m.inForce, list)
	slices.Sort(all)
	for _, name := range slices.Compact(all) {
		ours, backup, now := slices.Contains(m.inForce, name), slices.Contains(m.backup, name), slices.Contains(list, name)
		if began, ended := now && !backup, backup && !now; began || ours && !ended {
			merged = append(merged, name)
		}
	}
	return merged
}

// enforceEvacuations applies the cached evacuations to the router. For
// token.ReregistrationGrace after a restore they are merged with those that the restored store
// may lack. The caller holds sc.mu.
func (sc *stateCache) enforceEvacuations(now time.Time, source string) {
	if now.Sub(sc.restoredAt) >= token.ReregistrationGrace {
		sc.pendingMerge = nil
	}
	list := sc.evacuated
	if sc.pendingMerge != nil {
		list = sc.pendingMerge.mergedList(list)
	}
	if slices.Equal(list, sc.evacuationsInForce) {
		return
	}
	sc.evacuationsInForce = list
	sc.router.SetEvacuations(now, list)
	cached := &sc.states[heartbeat.Evacuations]
	sc.log.WithFields(log.Fields{
		"evacuated": list, "revision": cached.revision.Number, "era": cached.revision.Era, "source": source,
		"age_ms": now.Sub(cached.confirmedAt).Milliseconds(),
	}).Info("evacuations in force")
}

// expireEvacuationMerge ends the merge with evacuations from before a restore once
// token.ReregistrationGrace has passed.
func (sc *stateCache) expireEvacuationMerge(now time.Time) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if sc.pendingMerge != nil {
		sc.enforceEvacuations(now, sourceStore)
	}
}

// evacuationsAfterChanges returns the cached evacuations with changes applied, and the
// resulting revision. The changes are in the order in which they were made.
func (sc *stateCache) evacuationsAfterChanges(changes []baobabstep.EvacuationChange) (dataCentres []string, revision baobabstep.Revision) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	dataCentres, revision = slices.Clone(sc.evacuated), sc.states[heartbeat.Evacuations].revision
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

// evacuationList returns the cached evacuations in the form sent to peers. Errors:
// CodeTooLarge.
func (sc *stateCache) evacuationList(now time.Time) (*heartbeat.EvacuationList, error) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return heartbeat.NewEvacuationList(sc.states[heartbeat.Evacuations].announced(now), sc.evacuated)
}

// updateEvacuations applies the list of evacuated data centres of the store, and sends a
// change to other VMs.
func (n *Node) updateEvacuations(dataCentres []string, revision baobabstep.Revision, from origin) error {
	changed, err := n.applyEvacuations(n.clock.Now(), dataCentres, revision, from)
	if changed {
		n.distributeEvacuations(true)
	}
	return err
}

// applyWatchedEvacuations applies changes that a watch reported. It does not confirm the
// cached evacuations, as the watch may have missed another change.
func (n *Node) applyWatchedEvacuations(changes []baobabstep.EvacuationChange) error {
	dataCentres, revision := n.cache.evacuationsAfterChanges(changes)
	held := n.cache.state(heartbeat.Evacuations)
	return n.updateEvacuations(dataCentres, revision, origin{source: sourceWatch, confirmedAt: held.confirmedAt, read: held.read})
}

// applyEvacuations applies a list of evacuated data centres as of a revision, and reports
// whether other VMs need to be sent it. The first list after a start is not sent: other VMs
// learn it from heartbeats, and in a starting fleet every VM would send it to every other.
func (n *Node) applyEvacuations(now time.Time, dataCentres []string, revision baobabstep.Revision, from origin) (changed bool, err error) {
	changed, first, err := n.cache.updateEvacuations(now, dataCentres, revision, from)
	if changed {
		n.warnUnknownDataCentres(dataCentres)
	}
	return changed && !first, err
}

// warnUnknownDataCentres counts and logs evacuations of data centres that the settings do not
// list. They are in force all the same, as the settings may be outdated.
func (n *Node) warnUnknownDataCentres(dataCentres []string) {
	for _, name := range dataCentres {
		if known := n.options.Settings.Token.DataCentres; len(known) > 0 && !slices.Contains(known, name) {
			n.counters.unknownEvacuations.Add(1)
			n.log.WithFields(log.Fields{"evacuated": name, "known": known}).Warn("evacuation of an unknown data centre")
		}
	}
}

// distributeEvacuations sends the cached evacuations to the VMs of the own data centre and,
// with remote set, to one VM of each other data centre.
func (n *Node) distributeEvacuations(remote bool) {
	now := n.clock.Now()
	n.sendEvacuations(now, n.peerTable.ChangeRecipients(now, remote)...)
}

func (n *Node) sendEvacuations(now time.Time, to ...netip.AddrPort) {
	list, err := n.cache.evacuationList(now)
	if err != nil {
		n.log.WithError(err).Error("cannot send evacuations")
		return
	}
	m := &heartbeat.Message{Evacuations: list}
	outs := make([]heartbeat.Outgoing, len(to))
	for i := range to {
		outs[i] = heartbeat.Outgoing{To: to[i], Message: m}
	}
	n.sendAll(outs)
}

// handleEvacuations applies the list of a peer.
func (n *Node) handleEvacuations(now time.Time, from netip.AddrPort, e *heartbeat.EvacuationList) {
	sum, err := heartbeat.EvacuationsChecksum(e.DataCentres)
	if err != nil || sum != e.VersionInfo.Checksum {
		n.counters.malformed.Add(1)
		return
	}
	changed, err := n.applyEvacuations(now, e.DataCentres, e.VersionInfo.Revision(), peerOrigin(now, e.VersionInfo))
	if err != nil {
		n.counters.malformed.Add(1)
		return
	}
	// A VM of another data centre sends the list to only one VM here.
	if changed && !n.peerTable.IsNear(from) {
		n.distributeEvacuations(false)
	}
}
