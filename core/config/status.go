package config

import (
	"sort"
	"time"

	"baobabstep"
)

// Summary says what is in force in one data centre, as one of its readers
// heard it from the VMs there.
type Summary struct {
	DataCentre string `cbor:"data_centre" json:"data_centre"`
	// VMs is the number of VMs, Current how many of them have Version in
	// force, and Oldest the least version of those heard of.
	VMs     int    `cbor:"vms" json:"vms"`
	Heard   int    `cbor:"heard" json:"heard"`
	Current int    `cbor:"current" json:"current"`
	Version uint64 `cbor:"version" json:"version"`
	Oldest  uint64 `cbor:"oldest" json:"oldest"`
	// AgeMS is how long ago the summary was made, in milliseconds. It is
	// relative, so that clocks need not agree.
	AgeMS uint64 `cbor:"age_ms" json:"age_ms"`

	at time.Time
}

// maxSummaries bounds the data centres that summaries are kept of.
const maxSummaries = 64

// ReplicaStatus is what a VM says of its copy.
type ReplicaStatus struct {
	// Version is in force, 0 for none; Newest is the greatest version that
	// any peer was heard to have.
	Version uint64 `json:"version"`
	Digest  Digest `json:"digest"`
	Newest  uint64 `json:"newest"`
	// InForceMS is how long Version has been in force, in milliseconds.
	InForceMS int64 `json:"in_force_ms"`
	Reader    bool  `json:"reader"`
	// CutOffPlatform and CutOffPeers say that nothing was heard of them for
	// a while: what is in force here may be old.
	CutOffPlatform bool  `json:"cut_off_platform"`
	CutOffPeers    bool  `json:"cut_off_peers"`
	PlatformAgeMS  int64 `json:"platform_age_ms"`
	// Lacks says, in words, what the VM misses; empty if nothing.
	Lacks       []string      `json:"lacks"`
	DataCentres []Summary     `json:"data_centres"`
	Counts      ReplicaCounts `json:"counts"`
	// Objects and Bytes are what is held in memory.
	Objects int `json:"objects"`
	Bytes   int `json:"bytes"`
}

// Status returns the state of the copy.
func (r *Replica) Status(now time.Time) ReplicaStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := ReplicaStatus{
		Version: r.version(), Reader: r.reads(now), Counts: r.counts,
		CutOffPeers: r.cutOffFromPeers(now), PlatformAgeMS: -1, Objects: len(r.objects),
	}
	for _, b := range r.objects {
		s.Bytes += len(b)
	}
	if set := r.current.Load(); set != nil {
		s.Digest = set.Digest
		s.InForceMS = now.Sub(r.adoptedAt).Milliseconds()
	}
	s.Newest = s.Version
	for _, p := range r.peers {
		s.Newest = max(s.Newest, p.version)
	}
	last := r.started
	if !r.platformAt.IsZero() {
		last = r.platformAt
		s.PlatformAgeMS = now.Sub(last).Milliseconds()
	}
	s.CutOffPlatform = now.Sub(last) > platformCutOffAfter
	s.Lacks = r.lacks(&s)
	s.DataCentres = r.knownCentres(now)
	return s
}

// Watch asks for fresh summaries for a few seconds: somebody is looking.
func (r *Replica) Watch(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchedAt = now
}

// platformCutOffAfter is longer than a waiting watch, which is the longest
// time without a sign of the platform in good order.
const platformCutOffAfter = 45 * time.Second

func (r *Replica) lacks(s *ReplicaStatus) []string {
	var out []string
	if s.Version == 0 {
		out = append(out, "a configuration: neither the platform nor a peer has given one")
	}
	if s.Newest > s.Version && s.Version > 0 {
		out = append(out, "the newest version heard of")
	}
	if s.CutOffPlatform {
		out = append(out, "the platform: nobody in reach has heard of it")
	}
	if s.CutOffPeers {
		out = append(out, "peers: none was heard")
	}
	if r.lastErr != nil {
		out = append(out, "a version that can be applied: "+r.lastErr.Error())
	}
	return out
}

// ownSummary summarises this VM's data centre.
func (r *Replica) ownSummary(now time.Time) Summary {
	s := Summary{DataCentre: r.o.Self.DataCentre, VMs: len(r.fleet.near), Heard: 1, Version: r.version(), Oldest: r.version(), at: now}
	for _, id := range r.fleet.near {
		if p := r.peers[id]; p != nil {
			s.Heard++
			s.Version = max(s.Version, p.version)
			s.Oldest = min(s.Oldest, p.version)
		}
	}
	for _, id := range r.fleet.near {
		if p := r.peers[id]; p != nil && p.version == s.Version {
			s.Current++
		}
	}
	if r.version() == s.Version {
		s.Current++
	}
	return s
}

// allSummaries returns one summary for each data centre heard of. A reader
// makes the one of its own data centre, since every VM there reports to it.
func (r *Replica) allSummaries(now time.Time) []Summary {
	if r.reads(now) || r.summaries[r.o.Self.DataCentre].at.IsZero() {
		r.summaries[r.o.Self.DataCentre] = r.ownSummary(now)
	}
	var out []Summary
	for centre, s := range r.summaries {
		if len(r.fleet.sizes) > 1 && r.fleet.sizes[centre] == 0 {
			// All of its VMs are gone.
			continue
		}
		s.AgeMS = uint64(max(0, now.Sub(s.at)).Milliseconds())
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].DataCentre < out[j].DataCentre })
	return out
}

// knownCentres adds to the summaries the data centres of which none was heard,
// so that nobody takes silence for agreement.
func (r *Replica) knownCentres(now time.Time) []Summary {
	out := r.allSummaries(now)
	for centre, vms := range r.fleet.sizes {
		if _, ok := r.summaries[centre]; !ok {
			out = append(out, Summary{DataCentre: centre, VMs: vms, AgeMS: uint64(now.Sub(r.started).Milliseconds())})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].DataCentre < out[j].DataCentre })
	return out
}

func (r *Replica) mergeSummaries(now time.Time, all []Summary) {
	for _, s := range all {
		s.at = now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
		was, ok := r.summaries[s.DataCentre]
		if !ok && len(r.summaries) >= maxSummaries {
			continue
		}
		if s.at.After(was.at) {
			r.summaries[s.DataCentre] = s
		}
	}
}

// InForceAt returns the least version that this VM knows to be in force in
// every data centre it has heard of, counting only those heard within maxAge;
// complete is false if a data centre or a VM of one was not heard.
func (s *ReplicaStatus) InForceAt(maxAge time.Duration) (version uint64, complete bool) {
	complete = len(s.DataCentres) > 0
	version = s.Version
	for _, d := range s.DataCentres {
		if time.Duration(d.AgeMS)*time.Millisecond > maxAge || d.Heard < d.VMs {
			complete = false
		}
		version = min(version, d.Oldest)
	}
	return version, complete
}

// Peers returns the version each peer was last heard to have.
func (r *Replica) Peers() map[baobabstep.VMID]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[baobabstep.VMID]uint64, len(r.peers))
	for id, p := range r.peers {
		out[id] = p.version
	}
	return out
}
