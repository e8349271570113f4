package config

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

// fetch is the state of fetching the next version from peers. Received objects are
// kept by digest, so that they are reused if a newer version appears meanwhile.
type fetch struct {
	version  uint64
	manifest Digest
	partial  map[Digest]*partialObject
	// requested holds, per object, which peer it was requested from and when.
	requested map[Digest]objectRequest
	// rejected lists manifests that cannot be built and are not fetched again.
	rejected []Digest
}

// partialObject is an object of which the first len(data) bytes have arrived.
type partialObject struct {
	data  []byte
	total int
}

// objectRequest is a request of one object from one peer.
type objectRequest struct {
	from baobabstep.VMID
	at   time.Time
}

// reassignAfter is the time after which an object may be requested from another,
// idle peer. A peer with a spent budget answers late, and waiting for pages from
// it would keep all other peers idle.
const reassignAfter = 300 * time.Millisecond

// maxPartialObjects limits the partially received objects.
const maxPartialObjects = 256

// maxRejected limits the rejected manifests remembered.
const maxRejected = 16

func (f *fetch) init() {
	f.version, f.manifest = 0, Digest{}
	f.partial = map[Digest]*partialObject{}
	f.requested = map[Digest]objectRequest{}
}

func (f *fetch) rejectManifest(manifest Digest) {
	f.rejected = append(f.rejected, manifest)
	if len(f.rejected) > maxRejected {
		f.rejected = slices.Delete(f.rejected, 0, 1)
	}
}

// releaseRequests allows objects requested from a peer to be requested from another.
func (f *fetch) releaseRequests(id baobabstep.VMID) {
	for d, q := range f.requested {
		if q.from == id {
			delete(f.requested, d)
		}
	}
}

// fetchNewest adopts the newest version that any peer has, or requests its missing
// objects from the sources, each of which has one request at a time.
func (r *Replica) fetchNewest(now time.Time) []Out {
	version, manifest, sources := r.chooseVersion(now)
	if version == 0 {
		return nil
	}
	r.fetch.version, r.fetch.manifest = version, manifest
	outs, missing := r.tryAdopt(now, version, manifest)
	if len(missing) == 0 {
		return outs
	}
	for _, id := range sources {
		if wants := r.choosePieces(now, id, missing); len(wants) > 0 {
			outs = append(outs, r.requestPieces(now, id, wants))
		}
	}
	return outs
}

// chooseVersion returns the highest version heard and the peers to fetch it from:
// those that have it, answer, and have no request pending.
func (r *Replica) chooseVersion(now time.Time) (version uint64, manifest Digest, sources []baobabstep.VMID) {
	own := r.version()
	if own == 0 && !r.mayAdoptFirst(now) {
		return 0, Digest{}, nil
	}
	for _, p := range r.peers {
		if p.version > max(own, version) && p.unanswered < maxUnanswered && !slices.Contains(r.fetch.rejected, p.manifest) {
			version, manifest = p.version, p.manifest
		}
	}
	if version == 0 {
		return 0, Digest{}, nil
	}
	for id, p := range r.peers {
		if p.version == version && p.manifest == manifest && p.unanswered < maxUnanswered && p.requestedAt.IsZero() {
			sources = append(sources, id)
		}
	}
	slices.SortFunc(sources, r.compareDistance)
	return version, manifest, sources[:min(len(sources), maxSources)]
}

// piecesPerRequest is about the number of accounts of usual size that fit into one
// answer; what does not fit has to be requested again.
const piecesPerRequest = 64

// maxSources limits the peers asked in one call of fetchNewest.
const maxSources = 16

func (r *Replica) compareDistance(a, b baobabstep.VMID) int {
	return cmp.Or(cmp.Compare(r.distance(a), r.distance(b)), cmp.Compare(hash64(uint64(a), uint64(r.o.Self.ID)), hash64(uint64(b), uint64(r.o.Self.ID))))
}

func (r *Replica) distance(id baobabstep.VMID) int {
	if r.fleet.dataCentreOf[id] == r.o.Self.DataCentre {
		return 0
	}
	return 1
}

// mayAdoptFirst reports whether a VM without a version may adopt one from peers. The
// first peer heard may have been cut off for long, so the VM waits until it has
// heard startPeers or startWait has passed.
func (r *Replica) mayAdoptFirst(now time.Time) bool {
	heard := 0
	for _, p := range r.peers {
		if p.version > 0 {
			heard++
		}
	}
	return heard >= min(startPeers, len(r.fleet.others)) && heard > 0 || now.Sub(r.started) >= startWait
}

// choosePieces returns what to request from one peer: objects that were not
// requested recently, and of partially received ones only the rest.
func (r *Replica) choosePieces(now time.Time, id baobabstep.VMID, missing []MissingObject) []piece {
	var wants []piece
	for _, m := range missing {
		if q, ok := r.fetch.requested[m.Digest]; ok && now.Sub(q.at) < reassignAfter {
			continue
		}
		want := piece{Digest: m.Digest, Base: m.Base}
		if p := r.fetch.partial[m.Digest]; p != nil {
			want.Offset = len(p.data)
		}
		r.fetch.requested[m.Digest] = objectRequest{id, now}
		wants = append(wants, want)
		if len(wants) == piecesPerRequest {
			break
		}
	}
	return wants
}

func (r *Replica) requestPieces(now time.Time, id baobabstep.VMID, wants []piece) Out {
	m := r.newMessage(now, messageRequest)
	m.From = m.Version
	m.Version, m.Manifest = r.fetch.version, r.fetch.manifest
	for _, w := range wants {
		if w.Offset == 0 && w.Base.IsZero() {
			m.Whole = append(m.Whole, w.Digest)
		} else {
			m.Want = append(m.Want, w)
		}
	}
	r.peers[id].requestedAt = now
	return r.outgoing(id, m)
}

// handleRequest answers a request, or keeps it until there is send budget.
func (r *Replica) handleRequest(now time.Time, from baobabstep.VMID, m *message) []Out {
	r.pendingRequests = slices.DeleteFunc(r.pendingRequests, func(p pendingRequest) bool { return p.from == from })
	if len(r.pendingRequests) >= maxPendingRequests {
		return nil
	}
	r.pendingRequests = append(r.pendingRequests, pendingRequest{from, m})
	return r.servePending(now)
}

func (r *Replica) servePending(now time.Time) []Out {
	var outs []Out
	for len(r.pendingRequests) > 0 && r.bucket.refill(now) {
		next := r.pendingRequests[0]
		r.pendingRequests = slices.Delete(r.pendingRequests, 0, 1)
		outs = append(outs, r.outgoing(next.from, r.buildAnswer(now, next.m)))
	}
	return outs
}

// buildAnswer returns the messagePieces for a request: the requested pieces and, if
// only the manifest in force is requested, the objects that changed since the
// requester's version.
func (r *Replica) buildAnswer(now time.Time, m *message) *message {
	a := r.newMessage(now, messagePieces)
	wants := slices.Clone(m.Want)
	for _, d := range m.Whole {
		wants = append(wants, piece{Digest: d})
	}
	if s := r.current.Load(); s != nil && len(wants) == 1 && wants[0].Digest == s.Digest {
		wants = slices.Concat(wants, r.changedSince(m.From, wants[0].Digest))
	}
	var data []byte
	for _, w := range wants {
		b, ok := r.objects[w.Digest]
		remaining := maxPieceBytes - len(data)
		if !ok || w.Offset < 0 || w.Offset > len(b) || remaining == 0 || len(a.Pieces) == maxPiecesPerMessage {
			continue
		}
		p := piece{Digest: w.Digest, Offset: w.Offset, Length: min(remaining, len(b)-w.Offset), Total: len(b)}
		if base, ok := baseRange(w.Base, p, r.lookup(nil)); ok {
			a.Bases = append(a.Bases, base)
		}
		data = append(data, b[p.Offset:p.Offset+p.Length]...)
		if p.Length == p.Total {
			p = piece{Length: p.Length}
		}
		a.Pieces = append(a.Pieces, p)
	}
	dict, _ := dictionary(a.Bases, r.lookup(nil))
	a.Data = pack(data, dict)
	return a
}

// changedSince lists the objects, except the manifest, that differ between an
// earlier version and the one in force. It returns nil if there is no delta from
// that version.
func (r *Replica) changedSince(from uint64, manifest Digest) []piece {
	start := slices.IndexFunc(r.deltas, func(s versionDelta) bool { return s.from == from })
	if start < 0 {
		return nil
	}
	bases := map[Digest]Digest{}
	for _, s := range r.deltas[start:] {
		for _, p := range s.pieces {
			base := p.Base
			if earlier, ok := bases[base]; ok {
				delete(bases, base)
				base = earlier
			}
			bases[p.Digest] = base
		}
	}
	delete(bases, manifest)
	var out []piece
	for d, base := range bases {
		out = append(out, piece{Digest: d, Base: base})
	}
	slices.SortFunc(out, func(a, b piece) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
	return out[:min(len(out), maxPiecesPerMessage-1)]
}

// handlePieces stores the received pieces, verifies each object that is complete,
// and continues fetching.
func (r *Replica) handlePieces(now time.Time, from baobabstep.VMID, p *peer, m *message) []Out {
	p.requestedAt = time.Time{}
	r.fetch.releaseRequests(from)
	if m.Version > p.version {
		p.version, p.manifest = m.Version, m.Manifest
	}
	dict, ok := dictionary(m.Bases, r.lookup(nil))
	size := 0
	for _, received := range m.Pieces {
		size += received.Length
	}
	data, err := unpack(m.Data, dict, size)
	if !ok || err != nil {
		r.counts.Malformed++
		return nil
	}
	if r.fetch.version == 0 {
		// Nothing is being fetched: this is a late or duplicated answer.
		return nil
	}
	if len(m.Pieces) == 0 {
		// The peer no longer has the requested objects; its next message
		// tells which version it has.
		p.version, p.manifest = 0, Digest{}
	}
	for _, received := range m.Pieces {
		r.storePiece(received, data[:received.Length])
		data = data[received.Length:]
	}
	return r.fetchNewest(now)
}

func (r *Replica) storePiece(received piece, data []byte) {
	if received.Digest.IsZero() {
		r.objects[MakeDigest(data)] = slices.Clone(data)
		return
	}
	if _, ok := r.objects[received.Digest]; ok {
		return
	}
	p := r.fetch.partial[received.Digest]
	if p == nil {
		if len(r.fetch.partial) >= maxPartialObjects {
			return
		}
		p = &partialObject{total: received.Total}
		r.fetch.partial[received.Digest] = p
	}
	if received.Offset != len(p.data) || received.Total != p.total {
		return
	}
	p.data = append(p.data, data...)
	if len(p.data) < p.total {
		return
	}
	delete(r.fetch.partial, received.Digest)
	if MakeDigest(p.data) != received.Digest {
		r.counts.DigestErrors++
		return
	}
	r.objects[received.Digest] = p.data
}
