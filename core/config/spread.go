package config

import (
	"slices"
	"time"

	"baobabstep"
)

// peer is the state kept for another VM.
type peer struct {
	version  uint64
	manifest Digest
	heardAt  time.Time
	// requestedAt is when the pending request was sent, zero if there is none.
	requestedAt time.Time
	// unanswered counts consecutive unanswered requests.
	unanswered int
}

// maxUnanswered is the number of consecutive unanswered requests after which a
// peer is not used as a source until it is heard again.
const maxUnanswered = 2

// versionDelta lists the objects that changed between two versions adopted by this
// VM, so that a peer with the first version gets the difference in one message.
type versionDelta struct {
	from, to uint64
	pieces   []MissingObject
}

// maxDeltas limits the deltas, and thereby the replaced objects, that are kept.
const maxDeltas = 32

// pendingRequest is a request that waits for send budget.
type pendingRequest struct {
	from baobabstep.VMID
	m    *message
}

// maxPendingRequests limits the pending requests; each VM has at most one.
const maxPendingRequests = 64

// Handle processes a message from a peer and returns the messages to send.
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
		r.recordPlatformAnswer(now.Add(-time.Duration(m.PlatformAgeMS-1) * time.Millisecond))
	}
	r.mergeSummaries(now, m.Summaries)
	switch m.Kind {
	case messageAnnounce:
		return r.handleAnnounce(now, from, p, m)
	case messageRequest:
		return r.handleRequest(now, from, m)
	}
	return r.handlePieces(now, from, p, m)
}

// peer records that a peer was heard and returns its state, or nil for this VM
// itself and when maxPeers are known already.
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
	p.unanswered = 0
	return p
}

func (r *Replica) handleAnnounce(now time.Time, from baobabstep.VMID, p *peer, m *message) []Out {
	// The last message counts even if its version is older, since the peer may
	// have restarted. The next message corrects one that arrived late.
	p.version, p.manifest = m.Version, m.Manifest
	var outs []Out
	own := r.version()
	if m.Answer || m.Version < own {
		outs = append(outs, r.announcement(now, from, len(m.Summaries) > 0))
	}
	if m.Version == 0 || !r.checkNewer(m.Version, m.Manifest) {
		return outs
	}
	return append(outs, r.fetchNewest(now)...)
}

// announcement returns a messageAnnounce.
func (r *Replica) announcement(now time.Time, to baobabstep.VMID, summaries bool) Out {
	m := r.newMessage(now, messageAnnounce)
	if summaries {
		m.Summaries = r.allSummaries(now)
	}
	return r.outgoing(to, m)
}

func (r *Replica) newMessage(now time.Time, kind messageKind) *message {
	m := &message{Kind: kind}
	if s := r.current.Load(); s != nil {
		m.Version, m.Manifest = s.Manifest.Version, s.Digest
	}
	if !r.platformAnsweredAt.IsZero() {
		m.PlatformAgeMS = uint64(max(0, now.Sub(r.platformAnsweredAt)).Milliseconds()) + 1
	}
	return m
}

func (r *Replica) outgoing(to baobabstep.VMID, m *message) Out {
	body := m.encode()
	r.bucket.spend(len(body))
	r.counts.BytesSent += uint64(len(body))
	return Out{To: to, Body: body}
}

// announceVersion announces the version in force to the VMs of announceTo.
func (r *Replica) announceVersion(now time.Time) []Out {
	var outs []Out
	for _, id := range r.fleet.announceTo(r.version(), r.isReader(now)) {
		// Readers get it even if they have the version: they count who has it.
		tracksVersions := slices.Contains(r.fleet.readers[r.o.Self.DataCentre], id)
		if p := r.peers[id]; !tracksVersions && p != nil && p.version >= r.version() {
			continue
		}
		outs = append(outs, r.announcement(now, id, false))
	}
	return outs
}

// Tick runs the periodic work. It must be called every 100 ms.
func (r *Replica) Tick(now time.Time) []Out {
	r.mu.Lock()
	defer r.mu.Unlock()
	outs := r.servePending(now)
	r.expire(now)
	outs = append(outs, r.compareVersions(now)...)
	outs = append(outs, r.reportAgreement(now)...)
	outs = append(outs, r.refreshSummaries(now)...)
	return append(outs, r.fetchNewest(now)...)
}

func (r *Replica) expire(now time.Time) {
	for id, p := range r.peers {
		if now.Sub(p.heardAt) > peerExpiry {
			delete(r.peers, id)
			continue
		}
		if !p.requestedAt.IsZero() && now.Sub(p.requestedAt) > requestTimeout {
			p.requestedAt = time.Time{}
			p.unanswered++
			r.counts.RequestsLost++
			r.fetch.releaseRequests(id)
		}
	}
}

// compareVersions sends the version in force to a random peer of the data centre,
// and occasionally to one of another. This anti-entropy reaches the VMs that an
// announcement missed.
func (r *Replica) compareVersions(now time.Time) []Out {
	period := comparePeriod
	if r.current.Load() == nil {
		period = comparePeriod / 4
	}
	if now.Sub(r.comparedAt) < period {
		return nil
	}
	r.comparedAt = now
	r.comparisons++
	var outs []Out
	ask := func(among []baobabstep.VMID, summaries bool) {
		if id, ok := r.pickPeer(among); ok {
			outs = append(outs, r.comparison(now, id, summaries))
		}
	}
	ask(r.fleet.localVMs, r.summariesDue())
	if r.current.Load() == nil {
		ask(r.fleet.localVMs, false)
		ask(r.fleet.remoteVMs, false)
		return outs
	}
	if preceding, candidate := r.fleet.precedingReaders(); candidate {
		for _, id := range preceding {
			outs = append(outs, r.comparison(now, id, false))
		}
	}
	reads := r.isReader(now)
	if reads || r.o.Rand.IntN(max(comparisonsPerRemote, len(r.fleet.localVMs))) == 0 {
		ask(r.fleet.remoteReaders(r.o.Rand.IntN), reads && r.summariesDue())
	}
	return outs
}

// reportAgreement tells one reader of each other data centre as soon as all VMs of
// this one have the version in force, since an operator may wait for that.
func (r *Replica) reportAgreement(now time.Time) []Out {
	if !r.isReader(now) || r.reportedVersion == r.version() {
		return nil
	}
	own := r.ownSummary(now)
	if own.Oldest < r.version() || own.Heard < own.VMs {
		return nil
	}
	r.reportedVersion = r.version()
	r.summaries[own.DataCentre] = own
	var outs []Out
	for centre, readers := range r.fleet.readers {
		if centre == r.o.Self.DataCentre {
			continue
		}
		m := r.newMessage(now, messageAnnounce)
		m.Summaries = []Summary{own}
		outs = append(outs, r.outgoing(readers[r.o.Rand.IntN(len(readers))], m))
	}
	return outs
}

// refreshSummaries requests summaries from the readers of the data centre for
// statusWatchDuration after [Replica.RefreshStatus].
func (r *Replica) refreshSummaries(now time.Time) []Out {
	if r.statusReadAt.IsZero() || now.Sub(r.statusReadAt) > statusWatchDuration || now.Sub(r.summariesRefreshedAt) < statusRefreshPeriod {
		return nil
	}
	r.summariesRefreshedAt = now
	var outs []Out
	for _, id := range r.fleet.readers[r.o.Self.DataCentre] {
		if id != r.o.Self.ID {
			outs = append(outs, r.comparison(now, id, true))
		}
	}
	return outs
}

func (r *Replica) comparison(now time.Time, id baobabstep.VMID, summaries bool) Out {
	m := r.newMessage(now, messageAnnounce)
	m.Answer = true
	if summaries {
		m.Summaries = r.allSummaries(now)
	}
	return r.outgoing(id, m)
}

const (
	// comparisonsPerRemote is the mean number of comparisons that a non-reader makes
	// per comparison with another data centre. In a data centre with more VMs
	// than this, all VMs together make one a second, to limit the load on the
	// readers of the others.
	comparisonsPerRemote = 8
	// comparisonsPerSummary is the number of comparisons per one that carries
	// summaries.
	comparisonsPerSummary = 3
)

func (r *Replica) summariesDue() bool { return r.comparisons%comparisonsPerSummary == 0 }

func (r *Replica) pickPeer(candidates []baobabstep.VMID) (baobabstep.VMID, bool) {
	for range 3 {
		if len(candidates) == 0 {
			return 0, false
		}
		if id := candidates[r.o.Rand.IntN(len(candidates))]; id != r.o.Self.ID {
			return id, true
		}
	}
	return 0, false
}

// remoteReaders returns the readers of one other data centre, chosen by intN, or nil if
// there is none.
func (f *fleet) remoteReaders(intN func(int) int) []baobabstep.VMID {
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

// recordDelta records the difference between two consecutive versions in force.
func (r *Replica) recordDelta(previous, s *Set) {
	if previous == nil {
		return
	}
	delta := versionDelta{from: previous.Manifest.Version, to: s.Manifest.Version}
	delta.pieces = append(delta.pieces, MissingObject{s.Digest, previous.Digest})
	for n, d := range s.pages {
		if d != previous.pages[n] {
			delta.pieces = append(delta.pieces, MissingObject{d, previous.pages[n]})
		}
	}
	if q := s.Manifest.Quarantine; q != previous.Manifest.Quarantine && !q.IsZero() {
		delta.pieces = append(delta.pieces, MissingObject{q, previous.Manifest.Quarantine})
	}
	for k, ref := range s.refs {
		if before := previous.refs[k].Digest; ref.Digest != before {
			delta.pieces = append(delta.pieces, MissingObject{ref.Digest, before})
		}
	}
	if len(delta.pieces) > maxPiecesPerMessage {
		r.deltas = nil
		return
	}
	r.deltas = append(r.deltas, delta)
	if len(r.deltas) > maxDeltas {
		r.deltas = slices.Delete(r.deltas, 0, 1)
	}
}

// prune removes the objects that neither the set in force nor a delta uses.
func (r *Replica) prune(s *Set) {
	used := s.reachable()
	for _, delta := range r.deltas {
		for _, p := range delta.pieces {
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
