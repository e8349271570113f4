package member

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

// relayPeriod times the probe interval is the time between two messages of a
// relay without news. Several relays share the work, so beats come more often.
const relayPeriod = 2

// anyEvery is how often a relay tries a VM outside the chosen ones: they may
// all have died at once, with a rack, before anybody could say so.
const anyEvery = 4

// role is what this VM does as a relay to one other data centre.
type role struct {
	relay bool
	// peers are the VMs there that the relays prefer.
	peers []*record
	// sent and acked are numbers of [Fleet.changes]: changes of the own data
	// centre up to acked are known over there, those up to sent are on
	// their way.
	sent, acked uint64
	// seq and upTo belong to the last message.
	seq, upTo uint64
	nextSync  time.Time
	count     int
}

// computeRoles chooses relays by rendezvous. Two views may choose different
// relays for a moment, which costs some messages and nothing else.
func (f *Fleet) computeRoles() {
	if f.rolesAt == f.changes {
		return
	}
	for _, d := range f.sorted {
		if d == f.own {
			continue
		}
		relay := slices.Contains(f.best(f.own, d.key, alive), f.me)
		if relay && !d.role.relay {
			// Older changes are found by digest. The one that made this VM
			// a relay is not older: nobody else may be left to tell it.
			d.role.acked = f.rolesAt
			d.role.sent = f.rolesAt
		}
		d.role.relay = relay
		d.role.peers = nil
		if relay {
			d.role.peers = f.best(d, f.own.key, living)
		}
	}
	f.rolesAt = f.changes
}

// best returns the VMs of a data centre with the best scores for a key.
func (f *Fleet) best(d *dataCentre, key uint64, fits func(*record) bool) []*record {
	var list []*record
	for _, r := range d.records {
		if fits(r) {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *record) int {
		return cmp.Compare(mix(uint64(b.vm.ID), key, 3), mix(uint64(a.vm.ID), key, 3))
	})
	return list[:min(len(list), f.o.Relays)]
}

// relay sends news and the beat to the data centres this VM is a relay for:
// at each interval, and at once when something changed.
func (f *Fleet) relay(out *[]Out) {
	f.computeRoles()
	due := !f.now.Before(f.nextRelay)
	if due {
		f.nextRelay = f.now.Add(relayPeriod * f.o.ProbeInterval)
	}
	for _, d := range f.sorted {
		r := &d.role
		if d == f.own || !r.relay {
			continue
		}
		if due || f.own.lastChanged > r.sent && f.budget.take(f.now, entryBytes*maxRelayNews) {
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
	records, upTo := f.changedSince(f.own, r.acked, maxRelayNews)
	m := message{Kind: kindRelay, Seq: f.nextSeq(), Beats: f.beats()}
	for _, changed := range records {
		m.News = append(m.News, changed.entry())
	}
	if !f.now.Before(r.nextSync) {
		r.nextSync = f.now.Add(f.o.SyncInterval)
		m.Digests = f.digests()
	}
	r.seq, r.upTo, r.sent = m.Seq, upTo, f.changes
	f.send(out, to, m)
}

// relayTarget returns nil if nobody of the data centre is known.
func (f *Fleet) relayTarget(d *dataCentre) *record {
	r := &d.role
	r.count++
	if len(r.peers) > 0 && r.count%anyEvery != 0 {
		return r.peers[f.rand.IntN(len(r.peers))]
	}
	for _, fits := range []func(*record) bool{living, anyOne} {
		if picked := f.pick(d, 1, fits); len(picked) > 0 {
			return picked[0]
		}
	}
	return nil
}

// relayAcknowledged notes that a message of this relay arrived.
func (f *Fleet) relayAcknowledged(from baobabstep.VMID, m *message) {
	sender := f.known[from]
	if sender == nil {
		return
	}
	r := &sender.dataCentre.role
	if m.Seq == r.seq {
		r.acked = max(r.acked, r.upTo)
	}
}

func (f *Fleet) beats() []beat {
	beats := make([]beat, 0, len(f.dataCentres))
	for _, d := range f.sorted {
		if d.beat > 0 {
			beats = append(beats, beat{DataCentre: d.key, Beat: d.beat})
		}
	}
	return beats
}

// learnBeats takes the beat of another data centre from its own VMs, and from
// VMs of this data centre, which have it from there. What a third data centre
// reaches says nothing about what can be reached from here. The beat of the
// own data centre is taken from everywhere: after all its VMs have started
// anew, only others know how far it had counted.
func (f *Fleet) learnBeats(sender *record, beats []beat) {
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

// judgeDataCentres finds data centres whose beat stopped.
func (f *Fleet) judgeDataCentres() {
	for _, d := range f.sorted {
		if d == f.own {
			continue
		}
		age := f.now.Sub(d.beatAt)
		silent := age > f.o.DataCentreSilence
		cut := age > f.o.DataCentreSilence+f.o.PartitionTimeout
		if silent != d.silent || cut != d.cut {
			d.silent, d.cut = silent, cut
			f.stale.Store(true)
		}
		if age > f.o.ForgetTimeout {
			f.buryAll(d)
		}
	}
}

func (f *Fleet) buryAll(d *dataCentre) {
	for _, r := range d.records {
		if living(r) {
			f.declareDead(r)
		}
	}
}
