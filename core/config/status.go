package config

import (
	"sort"
	"time"

	"baobabstep"
)

// Summary describes the versions in force in one data centre, as one of its
// readers learnt them from the VMs there.
type Summary struct {
	DataCentre string `cbor:"data_centre" json:"data_centre"`
	// VMs is the number of VMs, Heard how many of them were heard, Current how
	// many have Version in force, and Oldest the lowest version heard.
	VMs     int    `cbor:"vms" json:"vms"`
	Heard   int    `cbor:"heard" json:"heard"`
	Current int    `cbor:"current" json:"current"`
	Version uint64 `cbor:"version" json:"version"`
	Oldest  uint64 `cbor:"oldest" json:"oldest"`
	// AgeMS is the age of the summary in milliseconds. It is relative, so that
	// clocks need not be synchronised.
	AgeMS uint64 `cbor:"age_ms" json:"age_ms"`

	at time.Time
}

// maxSummaries limits the data centres with a summary.
const maxSummaries = 64

// ReplicaStatus is the status of a VM's copy.
type ReplicaStatus struct {
	// Version is the version in force, 0 for none; Newest is the highest
	// version of this VM and the peers heard.
	Version uint64 `json:"version"`
	Digest  Digest `json:"digest"`
	Newest  uint64 `json:"newest"`
	// InForceMS is how long Version has been in force, in milliseconds.
	InForceMS int64 `json:"in_force_ms"`
	Reader    bool  `json:"reader"`
	// CutOffPlatform and CutOffPeers are set if the platform or the peers
	// have been silent for long, so that Version may be outdated.
	CutOffPlatform bool  `json:"cut_off_platform"`
	CutOffPeers    bool  `json:"cut_off_peers"`
	PlatformAgeMS  int64 `json:"platform_age_ms"`
	// Lacks describes, for operators, what the VM lacks; empty if nothing.
	Lacks       []string      `json:"lacks"`
	DataCentres []Summary     `json:"data_centres"`
	Counts      ReplicaCounts `json:"counts"`
	// Objects and Bytes are the number and total size of objects in memory.
	Objects int `json:"objects"`
	Bytes   int `json:"bytes"`
}

// Status returns the status of the copy.
func (r *Replica) Status(now time.Time) ReplicaStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := ReplicaStatus{
		Version: r.version(), Reader: r.isReader(now), Counts: r.counts,
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
	if !r.platformAnsweredAt.IsZero() {
		last = r.platformAnsweredAt
		s.PlatformAgeMS = now.Sub(last).Milliseconds()
	}
	s.CutOffPlatform = now.Sub(last) > platformCutOffAfter
	s.Lacks = r.describeLacks(&s)
	s.DataCentres = r.knownDataCentres(now)
	return s
}

// RefreshStatus requests fresh summaries for a few seconds, for an operator who follows
// the status.
func (r *Replica) RefreshStatus(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statusReadAt = now
}

// platformCutOffAfter is the silence after which the platform counts as
// unreachable. It exceeds the wait of a watch, during which a healthy platform
// does not answer.
const platformCutOffAfter = 45 * time.Second

func (r *Replica) describeLacks(s *ReplicaStatus) []string {
	var out []string
	if s.Version == 0 {
		out = append(out, "a configuration: neither the platform nor a peer has provided one")
	}
	if s.Newest > s.Version && s.Version > 0 {
		out = append(out, "the newest version that a peer has")
	}
	if s.CutOffPlatform {
		out = append(out, "the platform: neither this VM nor a peer has had an answer")
	}
	if s.CutOffPeers {
		out = append(out, "peers: no message from any of them")
	}
	if r.lastErr != nil {
		out = append(out, "a version that can be applied: "+r.lastErr.Error())
	}
	return out
}

// ownSummary returns the summary of this VM's data centre.
func (r *Replica) ownSummary(now time.Time) Summary {
	s := Summary{DataCentre: r.o.Self.DataCentre, VMs: len(r.fleet.localVMs), Heard: 1, Version: r.version(), Oldest: r.version(), at: now}
	for _, id := range r.fleet.localVMs {
		if p := r.peers[id]; p != nil {
			s.Heard++
			s.Version = max(s.Version, p.version)
			s.Oldest = min(s.Oldest, p.version)
		}
	}
	for _, id := range r.fleet.localVMs {
		if p := r.peers[id]; p != nil && p.version == s.Version {
			s.Current++
		}
	}
	if r.version() == s.Version {
		s.Current++
	}
	return s
}

// allSummaries returns the summary of each data centre heard. A reader computes
// that of its own data centre, since every VM there reports to it.
func (r *Replica) allSummaries(now time.Time) []Summary {
	if r.isReader(now) || r.summaries[r.o.Self.DataCentre].at.IsZero() {
		r.summaries[r.o.Self.DataCentre] = r.ownSummary(now)
	}
	var out []Summary
	for centre, s := range r.summaries {
		if len(r.fleet.vmCounts) > 1 && r.fleet.vmCounts[centre] == 0 {
			// All of its VMs are gone.
			continue
		}
		s.AgeMS = uint64(max(0, now.Sub(s.at)).Milliseconds())
		out = append(out, s)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].DataCentre < out[j].DataCentre })
	return out
}

// knownDataCentres returns allSummaries and an empty summary for each other known
// data centre, so that one that was not heard does not count as up to date.
func (r *Replica) knownDataCentres(now time.Time) []Summary {
	out := r.allSummaries(now)
	for centre, vms := range r.fleet.vmCounts {
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
		known, ok := r.summaries[s.DataCentre]
		if !ok && len(r.summaries) >= maxSummaries {
			continue
		}
		if s.at.After(known.at) {
			r.summaries[s.DataCentre] = s
		}
	}
}

// InForceAt returns the lowest version in force in any known data centre. complete
// is false if a summary is older than maxAge or a VM of a data centre was not
// heard; then there may be lower versions.
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

// Peers returns the version that each peer last announced.
func (r *Replica) Peers() map[baobabstep.VMID]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[baobabstep.VMID]uint64, len(r.peers))
	for id, p := range r.peers {
		out[id] = p.version
	}
	return out
}
