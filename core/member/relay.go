package member

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

// relayProbeIntervals is the time between two periodic messages of a relay, in probe
// intervals. A data centre has several relays, so its beat grows more often.
const relayProbeIntervals = 2

// randomPeerPeriod makes every fourth message of a relay go to a random VM instead of
// a preferred one: the preferred ones may all have died at once, for example with a
// rack, before the relay learned of it.
const randomPeerPeriod = 4

// role is the state of this VM as a relay to one other data centre.
type role struct {
	active bool
	// peers are the preferred receivers in the other data centre.
	peers []*record
	// sentChange and ackedChange are values of [Fleet.changeCount]: changes of the
	// own data centre up to sentChange have triggered a message, those up to
	// ackedChange were acknowledged.
	sentChange, ackedChange uint64
	// lastSeq is the sequence number of the last message, lastUpTo the change up to
	// which it was complete.
	lastSeq, lastUpTo uint64
	nextSync          time.Time
	messageCount      int
}

// computeRoles selects relays by rendezvous hashing. VMs with different views may
// briefly select different relays, which only costs extra messages.
func (f *Fleet) computeRoles() {
	if f.rolesChange == f.changeCount {
		return
	}
	for _, d := range f.sortedDataCentres {
		if d == f.own {
			continue
		}
		relay := slices.Contains(f.rendezvousTop(f.own, d.key, alive), f.self)
		if relay && !d.role.active {
			// Comparing digests finds older changes. The change that made this VM a relay
			// must be sent, since no other relay may be left to do so.
			d.role.ackedChange = f.rolesChange
			d.role.sentChange = f.rolesChange
		}
		d.role.active = relay
		d.role.peers = nil
		if relay {
			d.role.peers = f.rendezvousTop(d, f.own.key, notDead)
		}
	}
	f.rolesChange = f.changeCount
}

// rendezvousTop returns the matching VMs of a data centre with the highest
// rendezvous scores for a key, at most Options.Relays of them.
func (f *Fleet) rendezvousTop(d *dataCentre, key uint64, match func(*record) bool) []*record {
	var list []*record
	for _, r := range d.records {
		if match(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int {
		return cmp.Compare(mixHash(uint64(b.vm.ID), key, 3), mixHash(uint64(a.vm.ID), key, 3))
	})
	return list[:min(len(list), f.options.Relays)]
}

// sendRelays sends news and beats to the data centres for which this VM is a relay,
// periodically and at once after a change in the own data centre.
func (f *Fleet) sendRelays(out *[]Out) {
	f.computeRoles()
	due := !f.now.Before(f.nextRelay)
	if due {
		f.nextRelay = f.now.Add(relayProbeIntervals * f.options.ProbeInterval)
	}
	for _, d := range f.sortedDataCentres {
		r := &d.role
		if d == f.own || !r.active {
			continue
		}
		if due || f.own.lastChange > r.sentChange && f.budget.take(f.now, estimatedEntryBytes*maxRelayNews) {
			f.relayTo(out, d)
		}
	}
}

func (f *Fleet) relayTo(out *[]Out, d *dataCentre) {
	r := &d.role
	to := f.relayTarget(d)
	if to == nil {
		return
	}
	f.own.beat++
	records, upTo := f.changedSince(f.own, r.ackedChange, maxRelayNews)
	m := message{Kind: kindRelay, Seq: f.nextSeq(), Beats: f.beats()}
	for _, changed := range records {
		m.News = append(m.News, changed.entry())
	}
	if !f.now.Before(r.nextSync) {
		r.nextSync = f.now.Add(f.options.SyncInterval)
		m.Digests = f.digests()
	}
	r.lastSeq, r.lastUpTo, r.sentChange = m.Seq, upTo, f.changeCount
	f.send(out, to, m)
}

// relayTarget returns nil if no VM of the data centre is known.
func (f *Fleet) relayTarget(d *dataCentre) *record {
	r := &d.role
	r.messageCount++
	if len(r.peers) > 0 && r.messageCount%randomPeerPeriod != 0 {
		return r.peers[f.rand.IntN(len(r.peers))]
	}
	for _, match := range []func(*record) bool{notDead, anyState} {
		if picked := f.pickRandom(d, 1, match); len(picked) > 0 {
			return picked[0]
		}
	}
	return nil
}

// relayAcknowledged records that the last relay message was received.
func (f *Fleet) relayAcknowledged(from baobabstep.VMID, m *message) {
	sender := f.known[from]
	if sender == nil {
		return
	}
	r := &sender.dataCentre.role
	if m.Seq == r.lastSeq {
		r.ackedChange = max(r.ackedChange, r.lastUpTo)
	}
}

func (f *Fleet) beats() []beat {
	beats := make([]beat, 0, len(f.dataCentres))
	for _, d := range f.sortedDataCentres {
		if d.beat > 0 {
			beats = append(beats, beat{DataCentre: d.key, Beat: d.beat})
		}
	}
	return beats
}

// applyBeats accepts the beat of another data centre from its own VMs and from
// VMs of this data centre, which received it from there. That a third data centre
// can reach it does not show that this one can. The beat of the own data centre is
// accepted from all VMs: after all its VMs have restarted, only others know the
// value it had reached.
func (f *Fleet) applyBeats(sender *record, beats []beat) {
	if sender == nil {
		return
	}
	for _, b := range beats {
		d := f.dataCentres[b.DataCentre]
		if d == nil || b.Beat <= d.beat || b.Beat >= maxIncarnation {
			continue
		}
		if d == f.own || sender.dataCentre == d || sender.dataCentre == f.own {
			d.beat, d.beatAt = b.Beat, f.now
		}
	}
}

// checkDataCentres marks data centres without a beat as silent, then partitioned, and
// finally declares their VMs dead.
func (f *Fleet) checkDataCentres() {
	for _, d := range f.sortedDataCentres {
		if d == f.own {
			continue
		}
		age := f.now.Sub(d.beatAt)
		silent := age > f.options.DataCentreSilence
		partitioned := age > f.options.DataCentreSilence+f.options.PartitionTimeout
		if silent != d.silent || partitioned != d.partitioned {
			d.silent, d.partitioned = silent, partitioned
			f.viewStale.Store(true)
		}
		if age > f.options.ForgetTimeout {
			f.declareAllDead(d)
		}
	}
}

func (f *Fleet) declareAllDead(d *dataCentre) {
	for _, r := range d.records {
		if notDead(r) {
			f.declareDead(r)
		}
	}
}
