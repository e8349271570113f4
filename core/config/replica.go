package config

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
)

// Limits and periods of a replica.
const (
	// defaultBytesPerSecond and defaultBurst bound what a VM sends for the
	// configuration. The rate is half of the control budget of 20 kB/s; the
	// burst lets a change pass through a VM of the tree without waiting, and
	// a VM that starts get everything from a few peers in seconds.
	defaultBytesPerSecond = 10 << 10
	defaultBurst          = 128 << 10
	// comparePeriod is how often a VM compares versions with a random peer.
	// A VM that the tree missed learns of a version within about two.
	comparePeriod = time.Second
	// requestTimeout is when an unanswered request goes to another source.
	requestTimeout = 1500 * time.Millisecond
	// peerExpiry is how long a peer's last word counts.
	peerExpiry = 30 * time.Second
	// startWait keeps a VM that just started from taking the first version
	// it hears: that peer may be the one that lags.
	startWait = time.Second
	// startPeers ends startWait early once this many peers were heard.
	startPeers = 3
	// cutOffAfter is the silence after which the platform or the peers
	// count as out of reach.
	cutOffAfter = 10 * time.Second
	// watchedFor and watchedPeriod are how long, and how often, a VM whose
	// status is looked at asks a reader for fresh summaries.
	watchedFor    = 3 * time.Second
	watchedPeriod = 2 * reportPeriod
	// reportPeriod is how often a reader looks whether its data centre agrees.
	reportPeriod = 100 * time.Millisecond
	// maxPeers bounds the peers remembered.
	maxPeers = 4096
)

// ReplicaOptions configure a [Replica]. Zero values mean the defaults.
type ReplicaOptions struct {
	Self baobabstep.VM
	Rand *rand.Rand
	// BytesPerSecond and Burst bound what is sent.
	BytesPerSecond, Burst int
	// ReadersPerDataCentre is the number of VMs that read the platform.
	ReadersPerDataCentre int
	// Violated is told of broken invariants, by number and detail.
	Violated func(invariant, detail string)
}

// Out is one message to a peer, for [baobabstep.TopicConfig].
type Out struct {
	To   baobabstep.VMID
	Body []byte
}

// Snapshot is what a reader got from the platform: the head and those objects
// that [Replica.Wants] named.
type Snapshot struct {
	Head    []byte
	Objects map[Digest][]byte
}

// Replica is one VM's copy of the configuration. It is safe for concurrent use.
type Replica struct {
	current atomic.Pointer[Set]

	mu      sync.Mutex
	o       ReplicaOptions
	started time.Time
	builder *Builder
	// objects are those of the set in force, what was replaced recently, and
	// what was fetched for the version that is to come.
	objects map[Digest][]byte
	steps   []step
	fleet   fleet
	peers   map[baobabstep.VMID]*peer
	fetch   fetch
	serving []pendingWant
	bucket  bucket
	// comparedAt is when versions were last compared with a peer.
	comparedAt time.Time
	rounds     int
	// watchedAt is when somebody last looked at the status; see Watch.
	watchedAt, refreshedAt time.Time
	// reported is the version that all VMs of the data centre were last seen
	// to have; see report.
	reported uint64
	// platformAt is the latest sign, own or heard of, that the platform
	// answers; readAt is this VM's own.
	platformAt, readAt time.Time
	summaries          map[string]Summary
	counts             ReplicaCounts
	lastErr            error
	adoptedAt          time.Time
}

// ReplicaCounts counts events since the start of the VM.
type ReplicaCounts struct {
	Adopted       uint64 `json:"adopted"`
	RefusedOld    uint64 `json:"refused_old"`
	Clashes       uint64 `json:"clashes"`
	Malformed     uint64 `json:"malformed"`
	DigestErrors  uint64 `json:"digest_errors"`
	RequestsLost  uint64 `json:"requests_lost"`
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
}

// NewReplica returns a replica that knows no version.
func NewReplica(now time.Time, o ReplicaOptions) *Replica {
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(uint64(o.Self.ID), 1))
	}
	if o.BytesPerSecond == 0 {
		o.BytesPerSecond = defaultBytesPerSecond
	}
	if o.Burst == 0 {
		o.Burst = defaultBurst
	}
	if o.ReadersPerDataCentre == 0 {
		o.ReadersPerDataCentre = defaultReaders
	}
	if o.Violated == nil {
		o.Violated = func(string, string) {}
	}
	r := &Replica{
		o: o, started: now, builder: NewBuilder(), objects: map[Digest][]byte{},
		peers: map[baobabstep.VMID]*peer{}, summaries: map[string]Summary{},
		bucket: bucket{rate: float64(o.BytesPerSecond), burst: float64(o.Burst), tokens: float64(o.Burst), at: now},
	}
	r.fetch.init()
	r.fleet = newFleet(o.Self, nil, o.ReadersPerDataCentre)
	return r
}

// Current returns the version in force, or nil until one is known. Versions
// only grow.
func (r *Replica) Current() *baobabstep.Config {
	if s := r.current.Load(); s != nil {
		return s.Config
	}
	return nil
}

// Set returns the version in force with its documents, or nil.
func (r *Replica) Set() *Set { return r.current.Load() }

// Builder returns a builder that knows what is in force, for an accept.
func (r *Replica) Builder() *Builder {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.builder.Clone()
}

// Object returns the bytes of an object that this VM has.
func (r *Replica) Object(d Digest) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b, ok := r.objects[d]
	return b, ok
}

// SetFleet says which VMs there are; roles follow from it.
func (r *Replica) SetFleet(now time.Time, all []baobabstep.VM) {
	f := newFleet(r.o.Self, all, r.o.ReadersPerDataCentre)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range f.near {
		f.since[id] = now
		if was, ok := r.fleet.since[id]; ok {
			f.since[id] = was
		}
	}
	r.fleet = f
}

// FleetSize returns the number of VMs known, with this one.
func (r *Replica) FleetSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.fleet.others) + 1
}

// Reader says whether this VM reads the platform now: it is one of the few
// chosen in its data centre, or stands in for those that fell silent, or no
// peer is in reach who could.
func (r *Replica) Reader(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reads(now)
}

func (r *Replica) reads(now time.Time) bool {
	if r.cutOffFromPeers(now) {
		return true
	}
	above, near := r.fleet.above()
	if !near {
		return false
	}
	alive := 0
	for _, id := range above {
		if !r.silent(now, id) {
			alive++
		}
	}
	return alive < r.o.ReadersPerDataCentre
}

// silent says whether a VM ranked above this one has not been heard although
// it was asked; see compare.
func (r *Replica) silent(now time.Time, id baobabstep.VMID) bool {
	last := r.fleet.since[id]
	if p := r.peers[id]; p != nil && p.heardAt.After(last) {
		last = p.heardAt
	}
	return now.Sub(last) > silentAfter
}

func (r *Replica) cutOffFromPeers(now time.Time) bool {
	last := r.started
	for _, p := range r.peers {
		if p.heardAt.After(last) {
			last = p.heardAt
		}
	}
	return len(r.fleet.others) > 0 && now.Sub(last) > cutOffAfter
}

// PlatformAnswered notes that the platform answered this VM, if only to say
// that nothing changed.
func (r *Replica) PlatformAnswered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notePlatform(now)
	r.readAt = now
}

func (r *Replica) notePlatform(at time.Time) {
	if at.After(r.platformAt) {
		r.platformAt = at
	}
}

// Wants returns the objects that a reader has to get before the version of
// head can come into force, as far as is known yet; more may follow once these
// are here. It returns nothing for a version that is not newer.
func (r *Replica) Wants(head []byte, have map[Digest][]byte) ([]Missing, error) {
	h, err := DecodeHead(head)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Version <= r.version() {
		return nil, nil
	}
	_, missing, err := r.builder.Build(h.Manifest, r.lookup(have), r.current.Load())
	return missing, err
}

// lookup finds objects in have and then in the replica.
func (r *Replica) lookup(have map[Digest][]byte) Objects {
	return func(d Digest) ([]byte, bool) {
		if b, ok := have[d]; ok {
			return b, true
		}
		b, ok := r.objects[d]
		return b, ok
	}
}

// FromPlatform takes a reader's result. A version that is not newer than the
// one in force is never applied.
func (r *Replica) FromPlatform(now time.Time, s Snapshot) []Out {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notePlatform(now)
	r.readAt = now
	h, err := DecodeHead(s.Head)
	if err != nil {
		r.lastErr = err
		return nil
	}
	if !r.newer(h.Version, h.Manifest) {
		return nil
	}
	for d, b := range s.Objects {
		if MakeDigest(b) != d {
			r.counts.DigestErrors++
			continue
		}
		r.objects[d] = b
	}
	outs, _ := r.tryAdopt(now, h.Version, h.Manifest)
	return outs
}

// newer decides whether a version may follow the one in force, and counts why
// not. A platform or peer that offers an older version was restored from a
// copy or was cut off; applying it would undo accepted changes.
func (r *Replica) newer(version uint64, manifest Digest) bool {
	s := r.current.Load()
	switch {
	case s == nil || version > s.Manifest.Version:
		return true
	case version < s.Manifest.Version:
		r.counts.RefusedOld++
	case manifest != s.Digest:
		// The head is written by compare-and-swap only, so this means
		// that the store was set back and went on from there.
		r.counts.Clashes++
	}
	return false
}

func (r *Replica) version() uint64 {
	if s := r.current.Load(); s != nil {
		return s.Manifest.Version
	}
	return 0
}

// tryAdopt puts the version into force if all its objects are here; otherwise
// it returns what is missing.
func (r *Replica) tryAdopt(now time.Time, version uint64, manifest Digest) ([]Out, []Missing) {
	previous := r.current.Load()
	s, missing, err := r.builder.Build(manifest, r.lookup(nil), previous)
	if err != nil {
		r.lastErr = err
		r.fetch.refuse(manifest)
		return nil, nil
	}
	if len(missing) > 0 {
		return nil, missing
	}
	if s.Manifest.Version != version {
		r.lastErr = baobabstep.Errorf(baobabstep.CodeInvalid, "config.adopt", "got a manifest of version %d, want %d", s.Manifest.Version, version)
		r.fetch.refuse(manifest)
		return nil, nil
	}
	if previous != nil && version <= previous.Manifest.Version {
		r.o.Violated("I8", "an older version was about to be applied")
		return nil, nil
	}
	r.current.Store(s)
	r.adoptedAt = now
	r.lastErr = nil
	r.counts.Adopted++
	r.noteStep(previous, s)
	r.prune(s)
	r.fetch.init()
	return r.offer(now), nil
}
