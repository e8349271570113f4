package config

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

// fetch is the state of getting the next version from peers. What arrived is
// kept by content, so going over to a yet newer version loses little.
type fetch struct {
	version  uint64
	manifest Digest
	partial  map[Digest]*partial
	// asked says which peer an object was asked of, and when.
	asked map[Digest]request
	// refused are manifests that do not build; they are not tried again.
	refused []Digest
}

// partial is an object of which some bytes have arrived, in order.
type partial struct {
	data  []byte
	total int
}

// request is one object asked of one peer.
type request struct {
	from baobabstep.VMID
	at   time.Time
}

// stealAfter is when an object may be asked of another peer that is idle. A
// peer whose budget is used up answers late, and one such answer, if it holds
// pages, would keep all other peers idle.
const stealAfter = 300 * time.Millisecond

// maxPartial bounds the objects that have arrived in part.
const maxPartial = 256

// maxRefused bounds the manifests remembered as refused.
const maxRefused = 16

func (f *fetch) init() {
	f.version, f.manifest = 0, Digest{}
	f.partial = map[Digest]*partial{}
	f.asked = map[Digest]request{}
}

func (f *fetch) refuse(manifest Digest) {
	f.refused = append(f.refused, manifest)
	if len(f.refused) > maxRefused {
		f.refused = slices.Delete(f.refused, 0, 1)
	}
}

// release makes what was asked of a peer free to be asked of another.
func (f *fetch) release(id baobabstep.VMID) {
	for d, q := range f.asked {
		if q.from == id {
			delete(f.asked, d)
		}
	}
}

// pursue goes after the newest version that any peer has: it asks its sources
// for what is missing, one request at a time each.
func (r *Replica) pursue(now time.Time) []Out {
	version, manifest, sources := r.target(now)
	if version == 0 {
		return nil
	}
	r.fetch.version, r.fetch.manifest = version, manifest
	outs, missing := r.tryAdopt(now, version, manifest)
	if len(missing) == 0 {
		return outs
	}
	for _, id := range sources {
		if wants := r.nextWants(now, id, missing); len(wants) > 0 {
			outs = append(outs, r.ask(now, id, wants))
		}
	}
	return outs
}

// target chooses the version to go after and the peers to ask: those that have
// the greatest version heard of, without those that stopped answering.
func (r *Replica) target(now time.Time) (version uint64, manifest Digest, sources []baobabstep.VMID) {
	mine := r.version()
	if mine == 0 && !r.mayStart(now) {
		return 0, Digest{}, nil
	}
	for _, p := range r.peers {
		if p.version > max(mine, version) && p.failed < maxFailed && !slices.Contains(r.fetch.refused, p.manifest) {
			version, manifest = p.version, p.manifest
		}
	}
	if version == 0 {
		return 0, Digest{}, nil
	}
	for id, p := range r.peers {
		if p.version == version && p.manifest == manifest && p.failed < maxFailed && p.askedAt.IsZero() {
			sources = append(sources, id)
		}
	}
	slices.SortFunc(sources, r.nearFirst)
	return version, manifest, sources[:min(len(sources), maxSources)]
}

// wantsPerRequest is about what one answer holds at the usual size of an
// account; what does not fit has to be asked for again.
const wantsPerRequest = 64

// maxSources bounds the peers asked at the same time.
const maxSources = 16

func (r *Replica) nearFirst(a, b baobabstep.VMID) int {
	return cmp.Or(cmp.Compare(r.distance(a), r.distance(b)), cmp.Compare(mix(uint64(a), uint64(r.o.Self.ID)), mix(uint64(b), uint64(r.o.Self.ID))))
}

func (r *Replica) distance(id baobabstep.VMID) int {
	if r.fleet.centres[id] == r.o.Self.DataCentre {
		return 0
	}
	return 1
}

// mayStart says whether a VM without a version may take one from peers. The
// first peer heard may be one that was cut off for long; waiting for a few
// others, for a moment, makes the first version applied the newest around.
func (r *Replica) mayStart(now time.Time) bool {
	heard := 0
	for _, p := range r.peers {
		if p.version > 0 {
			heard++
		}
	}
	return heard >= min(startPeers, len(r.fleet.others)) && heard > 0 || now.Sub(r.started) >= startWait
}

// nextWants chooses what to ask of one peer: objects that nobody was asked
// for lately, and for one that has arrived in part, the part that follows.
func (r *Replica) nextWants(now time.Time, id baobabstep.VMID, missing []Missing) []piece {
	var wants []piece
	for _, m := range missing {
		if q, ok := r.fetch.asked[m.Digest]; ok && now.Sub(q.at) < stealAfter {
			continue
		}
		want := piece{Digest: m.Digest, Base: m.Base}
		if p := r.fetch.partial[m.Digest]; p != nil {
			want.Offset = len(p.data)
		}
		r.fetch.asked[m.Digest] = request{id, now}
		wants = append(wants, want)
		if len(wants) == wantsPerRequest {
			break
		}
	}
	return wants
}

func (r *Replica) ask(now time.Time, id baobabstep.VMID, wants []piece) Out {
	m := r.header(now, messageWant)
	m.From = m.Version
	m.Version, m.Manifest = r.fetch.version, r.fetch.manifest
	for _, w := range wants {
		if w.Offset == 0 && w.Base.IsZero() {
			m.Whole = append(m.Whole, w.Digest)
		} else {
			m.Want = append(m.Want, w)
		}
	}
	r.peers[id].askedAt = now
	return r.out(id, m)
}

// handleWant serves a request at once, or keeps it until the budget allows.
func (r *Replica) handleWant(now time.Time, from baobabstep.VMID, m *message) []Out {
	r.serving = slices.DeleteFunc(r.serving, func(p pendingWant) bool { return p.from == from })
	if len(r.serving) >= maxServing {
		return nil
	}
	r.serving = append(r.serving, pendingWant{from, m})
	return r.serve(now)
}

func (r *Replica) serve(now time.Time) []Out {
	var outs []Out
	for len(r.serving) > 0 && r.bucket.ready(now) {
		next := r.serving[0]
		r.serving = slices.Delete(r.serving, 0, 1)
		outs = append(outs, r.out(next.from, r.answer(now, next.m)))
	}
	return outs
}

// answer makes the messagePieces for a request: the pieces asked for and, if
// the request is for the manifest in force here, what changed since the
// version of the one who asks.
func (r *Replica) answer(now time.Time, m *message) *message {
	a := r.header(now, messagePieces)
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
		room := maxPieceBytes - len(data)
		if !ok || w.Offset < 0 || w.Offset > len(b) || room == 0 || len(a.Pieces) == maxWants {
			continue
		}
		p := piece{Digest: w.Digest, Offset: w.Offset, Length: min(room, len(b)-w.Offset), Total: len(b)}
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

// changedSince lists the objects that differ between an earlier version and
// the one in force, without the manifest; nothing if that is not remembered.
func (r *Replica) changedSince(from uint64, manifest Digest) []piece {
	start := slices.IndexFunc(r.steps, func(s step) bool { return s.from == from })
	if start < 0 {
		return nil
	}
	bases := map[Digest]Digest{}
	for _, s := range r.steps[start:] {
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
	return out[:min(len(out), maxWants-1)]
}

// handlePieces takes pieces, verifies each object that became whole, and goes
// on fetching.
func (r *Replica) handlePieces(now time.Time, from baobabstep.VMID, p *peer, m *message) []Out {
	p.askedAt = time.Time{}
	r.fetch.release(from)
	if m.Version > p.version {
		p.version, p.manifest = m.Version, m.Manifest
	}
	dict, ok := dictionary(m.Bases, r.lookup(nil))
	size := 0
	for _, one := range m.Pieces {
		size += one.Length
	}
	data, err := unpack(m.Data, dict, size)
	if !ok || err != nil {
		r.counts.Malformed++
		return nil
	}
	if r.fetch.version == 0 {
		// Nothing is being fetched: a late or doubled answer.
		return nil
	}
	if len(m.Pieces) == 0 {
		// The peer no longer has what it was asked for; its next word
		// tells what it has now.
		p.version, p.manifest = 0, Digest{}
	}
	for _, one := range m.Pieces {
		r.takePiece(one, data[:one.Length])
		data = data[one.Length:]
	}
	return r.pursue(now)
}

func (r *Replica) takePiece(one piece, data []byte) {
	if one.Digest.IsZero() {
		r.objects[MakeDigest(data)] = slices.Clone(data)
		return
	}
	if _, ok := r.objects[one.Digest]; ok {
		return
	}
	p := r.fetch.partial[one.Digest]
	if p == nil {
		if len(r.fetch.partial) >= maxPartial {
			return
		}
		p = &partial{total: one.Total}
		r.fetch.partial[one.Digest] = p
	}
	if one.Offset != len(p.data) || one.Total != p.total {
		return
	}
	p.data = append(p.data, data...)
	if len(p.data) < p.total {
		return
	}
	delete(r.fetch.partial, one.Digest)
	if MakeDigest(p.data) != one.Digest {
		r.counts.DigestErrors++
		return
	}
	r.objects[one.Digest] = p.data
}
