package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"baobabstep"
)

// quickSyncInterval is the time to the next comparison of digests after one that
// found a difference.
const quickSyncInterval = 400 * time.Millisecond

// estimatedItemBytes is an upper estimate of the encoded size of a summary item.
const estimatedItemBytes = 32

// startSync sends digests to a random VM of the own data centre. Relays send them
// to other data centres.
func (f *Fleet) startSync(out *[]Out) {
	if f.now.Before(f.nextSync) {
		return
	}
	f.nextSync = f.now.Add(f.options.SyncInterval)
	for _, r := range f.pickRandom(f.own, 1, alive) {
		f.send(out, r, message{Kind: kindSync, Digests: f.digests()})
	}
}

func (f *Fleet) digests() []digest {
	digests := make([]digest, 0, len(f.dataCentres))
	for _, d := range f.sortedDataCentres {
		digests = append(digests, digest{DataCentre: d.key, Digest: d.digest})
	}
	return digests
}

// answerSync sends a summary of one data centre whose digest differs.
func (f *Fleet) answerSync(out *[]Out, from baobabstep.VMID, m *message) {
	if len(m.Digests) == 0 {
		return
	}
	theirs := make(map[uint64]uint64, len(m.Digests))
	for _, d := range m.Digests {
		theirs[d.DataCentre] = d.Digest
	}
	var differing []*dataCentre
	for _, d := range f.sortedDataCentres {
		if theirs[d.key] != d.digest {
			differing = append(differing, d)
		}
	}
	if len(differing) == 0 {
		return
	}
	s := f.summarize(f.chooseDataCentre(differing))
	if !f.budget.take(f.now, estimatedItemBytes*len(s.Items)) {
		f.stats.Saved++
		return
	}
	f.sendToID(out, from, message{Kind: kindSummary, Summary: s})
}

// chooseDataCentre prefers the own data centre, then its region, because the view
// depends on them. Half of the choices are random, so that a data centre that
// always differs does not starve the others.
func (f *Fleet) chooseDataCentre(list []*dataCentre) *dataCentre {
	if f.rand.IntN(2) == 0 {
		return list[f.rand.IntN(len(list))]
	}
	return slices.MinFunc(list, func(a, b *dataCentre) int { return cmp.Compare(f.distance(a), f.distance(b)) })
}

func (f *Fleet) distance(d *dataCentre) int {
	switch {
	case d == f.own:
		return 0
	case d.region == f.own.region:
		return 1
	default:
		return 2
	}
}

// summarize lists a data centre, or a random page of it if it has more than
// maxSummary records.
func (f *Fleet) summarize(d *dataCentre) *summary {
	s := &summary{DataCentre: d.key, To: math.MaxUint64}
	size := len(d.records)
	pages := max(1, (size+maxSummary-1)/maxSummary)
	page := f.rand.IntN(pages)
	first, end := page*size/pages, (page+1)*size/pages
	if first > 0 {
		s.From = d.records[first].vm.ID
	}
	if end < size {
		s.To = d.records[end].vm.ID - 1
	}
	for _, r := range d.records[first:end] {
		if notDead(r) {
			s.Items = append(s.Items, item{ID: r.vm.ID, Incarnation: r.vm.Incarnation, State: r.vm.State, Nonce: r.nonce})
		}
	}
	return s
}

// answerSummary sends entries that the other VM lacks and requests those that this
// one lacks.
func (f *Fleet) answerSummary(out *[]Out, from baobabstep.VMID, m *message) {
	s := m.Summary
	if s == nil {
		f.stats.Malformed++
		return
	}
	// A summary means that the digests differ, on this page or another.
	if soon := f.now.Add(quickSyncInterval); soon.Before(f.nextSync) {
		f.nextSync = soon
	}
	reply := message{Kind: kindEntries}
	listed := make(map[baobabstep.VMID]bool, len(s.Items))
	for i := range s.Items {
		listedItem := &s.Items[i]
		listed[listedItem.ID] = true
		r := f.known[listedItem.ID]
		order := 1
		if r != nil {
			order = compareVersions(listedItem.Incarnation, listedItem.State, listedItem.Nonce, r)
		}
		switch {
		case order > 0:
			reply.Wanted = append(reply.Wanted, listedItem.ID)
		case order < 0:
			reply.News = append(reply.News, r.entry())
		}
	}
	if d := f.dataCentres[s.DataCentre]; d != nil {
		for _, r := range d.records {
			if notDead(r) && r.vm.ID >= s.From && r.vm.ID <= s.To && !listed[r.vm.ID] {
				reply.News = append(reply.News, r.entry())
			}
		}
	}
	f.sendEntries(out, from, reply)
}

// sendEntries sends a random selection of entries and requests within the message
// limits. The next comparison finds the rest; the random choice keeps any entry
// from waiting indefinitely behind others.
func (f *Fleet) sendEntries(out *[]Out, to baobabstep.VMID, m message) {
	if len(m.News) == 0 && len(m.Wanted) == 0 {
		return
	}
	f.rand.Shuffle(len(m.News), func(i, j int) { m.News[i], m.News[j] = m.News[j], m.News[i] })
	f.rand.Shuffle(len(m.Wanted), func(i, j int) { m.Wanted[i], m.Wanted[j] = m.Wanted[j], m.Wanted[i] })
	m.News = m.News[:min(len(m.News), maxEntries)]
	m.Wanted = m.Wanted[:min(len(m.Wanted), maxWanted)]
	if !f.budget.take(f.now, estimatedEntryBytes*len(m.News)+9*len(m.Wanted)) {
		f.stats.Saved++
		return
	}
	f.sendToID(out, to, m)
}

// answerWanted sends the entries that the other VM requested.
func (f *Fleet) answerWanted(out *[]Out, from baobabstep.VMID, m *message) {
	wanted := m.Wanted[:min(len(m.Wanted), maxWanted)]
	reply := message{Kind: kindEntries}
	for _, id := range wanted {
		if r := f.known[id]; r != nil {
			reply.News = append(reply.News, r.entry())
		}
	}
	if len(reply.News) == 0 {
		return
	}
	if !f.budget.take(f.now, estimatedEntryBytes*len(reply.News)) {
		f.stats.Saved++
		return
	}
	f.sendToID(out, from, reply)
}

// changedSince returns up to n records of a data centre with a changeNumber above
// after, the oldest change first, and the number up to which the list is complete.
func (f *Fleet) changedSince(d *dataCentre, after uint64, n int) (records []*record, upTo uint64) {
	for _, r := range d.records {
		if r.changeNumber > after {
			records = append(records, r)
		}
	}
	if len(records) <= n {
		return records, f.changeCount
	}
	slices.SortFunc(records, func(a, b *record) int { return cmp.Compare(a.changeNumber, b.changeNumber) })
	return records[:n], records[n-1].changeNumber
}
