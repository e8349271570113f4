package config

import (
	"slices"
	"time"

	"baobabstep"
)

// peer is what is known of another VM.
type peer struct {
	version  uint64
	manifest Digest
	heardAt  time.Time
	// askedAt is when a request went out that has not been answered.
	askedAt time.Time
	// failed counts requests in a row that went unanswered.
	failed int
}

// maxFailed is how many requests a peer may leave unanswered before it no
// longer counts as a source, until it is heard again.
const maxFailed = 2

// step remembers what changed between two versions adopted here, so that a
// peer that comes from the first gets the difference in one message.
type step struct {
	from, to uint64
	pieces   []Missing
}

// maxSteps bounds the steps, and by that the replaced objects that are kept.
const maxSteps = 32

// pendingWant is a request that waits for the budget.
type pendingWant struct {
	from baobabstep.VMID
	m    *message
}

// maxServing bounds the requests that wait; one VM has at most one.
const maxServing = 64

// Handle takes a message from a peer.
func (r *Replica) Handle(now time.Time, from baobabstep.VMID, body []byte) []Out {
	m, err := decodeMessage(body)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.counts.Malformed++
		return nil
	}
	r.counts.BytesReceived += uint64(len(body))
	p := r.peer(now, from)
	if p == nil {
		return nil
	}
	if m.PlatformAgeMS > 0 {
		r.notePlatform(now.Add(-time.Duration(m.PlatformAgeMS-1) * time.Millisecond))
	}
	r.mergeSummaries(now, m.Summaries)
	switch m.Kind {
	case messageHave:
		return r.handleHave(now, from, p, m)
	case messageWant:
		return r.handleWant(now, from, m)
	}
	return r.handlePieces(now, from, p, m)
}

// peer returns the state of a peer, or nil when there is no room for it.
func (r *Replica) peer(now time.Time, id baobabstep.VMID) *peer {
	p := r.peers[id]
	if p == nil {
		if len(r.peers) >= maxPeers || id == r.o.Self.ID {
			return nil
		}
		p = &peer{}
		r.peers[id] = p
	}
	p.heardAt = now
	p.failed = 0
	return p
}

func (r *Replica) handleHave(now time.Time, from baobabstep.VMID, p *peer, m *message) []Out {
	// The last word counts, even if it names an older version: the peer may
	// have started anew. A word that came late is put right by the next.
	p.version, p.manifest = m.Version, m.Manifest
	var outs []Out
	mine := r.version()
	if m.Answer || m.Version < mine {
		outs = append(outs, r.have(now, from, len(m.Summaries) > 0))
	}
	if m.Version == 0 || !r.newer(m.Version, m.Manifest) {
		return outs
	}
	return append(outs, r.pursue(now)...)
}

// have makes a messageHave.
func (r *Replica) have(now time.Time, to baobabstep.VMID, summaries bool) Out {
	m := r.header(now, messageHave)
	if summaries {
		m.Summaries = r.allSummaries(now)
	}
	return r.out(to, m)
}

func (r *Replica) header(now time.Time, kind messageKind) *message {
	m := &message{Kind: kind}
	if s := r.current.Load(); s != nil {
		m.Version, m.Manifest = s.Manifest.Version, s.Digest
	}
	if !r.platformAt.IsZero() {
		m.PlatformAgeMS = uint64(max(0, now.Sub(r.platformAt)).Milliseconds()) + 1
	}
	return m
}

func (r *Replica) out(to baobabstep.VMID, m *message) Out {
	body := m.encode()
	r.bucket.spend(len(body))
	r.counts.BytesSent += uint64(len(body))
	return Out{To: to, Body: body}
}

// offer tells this VM's children in the trees which version is in force here.
func (r *Replica) offer(now time.Time) []Out {
	var outs []Out
	for _, id := range r.fleet.children(r.version(), r.reads(now)) {
		// The readers are told even if they have it: they count.
		counts := slices.Contains(r.fleet.readers[r.o.Self.DataCentre], id)
		if p := r.peers[id]; !counts && p != nil && p.version >= r.version() {
			continue
		}
		outs = append(outs, r.have(now, id, false))
	}
	return outs
}

// Tick does what is due by time. It is to be called every 100 ms.
func (r *Replica) Tick(now time.Time) []Out {
	r.mu.Lock()
	defer r.mu.Unlock()
	outs := r.serve(now)
	r.expire(now)
	outs = append(outs, r.compare(now)...)
	outs = append(outs, r.report(now)...)
	outs = append(outs, r.refresh(now)...)
	return append(outs, r.pursue(now)...)
}

func (r *Replica) expire(now time.Time) {
	for id, p := range r.peers {
		if now.Sub(p.heardAt) > peerExpiry {
			delete(r.peers, id)
			continue
		}
		if !p.askedAt.IsZero() && now.Sub(p.askedAt) > requestTimeout {
			p.askedAt = time.Time{}
			p.failed++
			r.counts.RequestsLost++
			r.fetch.release(id)
		}
	}
}

// compare sends the version in force to a random peer of the data centre, and
// now and then to one of another. The tree carries a version fast; this carries
// it surely, since a VM that the tree missed is soon picked, or picks, one that
// was not.
func (r *Replica) compare(now time.Time) []Out {
	period := comparePeriod
	if r.current.Load() == nil {
		period = comparePeriod / 4
	}
	if now.Sub(r.comparedAt) < period {
		return nil
	}
	r.comparedAt = now
	r.rounds++
	var outs []Out
	ask := func(among []baobabstep.VMID, summaries bool) {
		if id, ok := r.draw(among); ok {
			outs = append(outs, r.compareWith(now, id, summaries))
		}
	}
	ask(r.fleet.near, r.withSummaries())
	if r.current.Load() == nil {
		ask(r.fleet.near, false)
		ask(r.fleet.far, false)
		return outs
	}
	if above, near := r.fleet.above(); near {
		for _, id := range above {
			outs = append(outs, r.compareWith(now, id, false))
		}
	}
	reads := r.reads(now)
	if reads || r.o.Rand.IntN(max(farPeriod, len(r.fleet.near))) == 0 {
		ask(r.fleet.farReaders(r.o.Rand.IntN), reads && r.withSummaries())
	}
	return outs
}

// report tells one reader of each other data centre, at once, that all VMs of
// this one have a version: an operator may be waiting for that.
func (r *Replica) report(now time.Time) []Out {
	if !r.reads(now) || r.reported == r.version() {
		return nil
	}
	own := r.ownSummary(now)
	if own.Oldest < r.version() || own.Heard < own.VMs {
		return nil
	}
	r.reported = r.version()
	r.summaries[own.DataCentre] = own
	var outs []Out
	for centre, readers := range r.fleet.readers {
		if centre == r.o.Self.DataCentre {
			continue
		}
		m := r.header(now, messageHave)
		m.Summaries = []Summary{own}
		outs = append(outs, r.out(readers[r.o.Rand.IntN(len(readers))], m))
	}
	return outs
}

// refresh asks the readers of the data centre for summaries while somebody
// looks at the status.
func (r *Replica) refresh(now time.Time) []Out {
	if r.watchedAt.IsZero() || now.Sub(r.watchedAt) > watchedFor || now.Sub(r.refreshedAt) < watchedPeriod {
		return nil
	}
	r.refreshedAt = now
	var outs []Out
	for _, id := range r.fleet.readers[r.o.Self.DataCentre] {
		if id != r.o.Self.ID {
			outs = append(outs, r.compareWith(now, id, true))
		}
	}
	return outs
}

func (r *Replica) compareWith(now time.Time, id baobabstep.VMID, summaries bool) Out {
	m := r.header(now, messageHave)
	m.Answer = true
	if summaries {
		m.Summaries = r.allSummaries(now)
	}
	return r.out(id, m)
}

const (
	// farPeriod is how many comparisons a VM that is no reader makes for one
	// with another data centre, in the mean. Where a data centre has more VMs
	// than this, they make one a second together, since the readers of the
	// others have to answer.
	farPeriod = 8
	// summaryPeriod is how many comparisons there are for one with summaries.
	summaryPeriod = 3
)

func (r *Replica) withSummaries() bool { return r.rounds%summaryPeriod == 0 }

func (r *Replica) draw(among []baobabstep.VMID) (baobabstep.VMID, bool) {
	for range 3 {
		if len(among) == 0 {
			return 0, false
		}
		if id := among[r.o.Rand.IntN(len(among))]; id != r.o.Self.ID {
			return id, true
		}
	}
	return 0, false
}

// farReaders returns the readers of one other data centre, or any VMs of
// others where no reader is known.
func (f *fleet) farReaders(intN func(int) int) []baobabstep.VMID {
	var centres []string
	for c := range f.readers {
		if c != f.self.DataCentre {
			centres = append(centres, c)
		}
	}
	if len(centres) == 0 {
		return nil
	}
	slices.Sort(centres)
	return f.readers[centres[intN(len(centres))]]
}

// noteStep remembers the difference between two versions in force.
func (r *Replica) noteStep(previous, s *Set) {
	if previous == nil {
		return
	}
	st := step{from: previous.Manifest.Version, to: s.Manifest.Version}
	st.pieces = append(st.pieces, Missing{s.Digest, previous.Digest})
	for n, d := range s.pages {
		if d != previous.pages[n] {
			st.pieces = append(st.pieces, Missing{d, previous.pages[n]})
		}
	}
	if q := s.Manifest.Quarantine; q != previous.Manifest.Quarantine && !q.IsZero() {
		st.pieces = append(st.pieces, Missing{q, previous.Manifest.Quarantine})
	}
	for k, ref := range s.refs {
		if before := previous.refs[k].Digest; ref.Digest != before {
			st.pieces = append(st.pieces, Missing{ref.Digest, before})
		}
	}
	if len(st.pieces) > maxWants {
		r.steps = nil
		return
	}
	r.steps = append(r.steps, st)
	if len(r.steps) > maxSteps {
		r.steps = slices.Delete(r.steps, 0, 1)
	}
}

// prune drops the objects that neither the set in force nor a remembered step
// uses.
func (r *Replica) prune(s *Set) {
	used := s.reachable()
	for _, st := range r.steps {
		for _, p := range st.pieces {
			used[p.Digest] = struct{}{}
			used[p.Base] = struct{}{}
		}
	}
	for d := range r.objects {
		if _, ok := used[d]; !ok {
			delete(r.objects, d)
		}
	}
}
