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
	// defaultBytesPerSecond and defaultBurst limit what a VM sends for the
	// configuration. The rate is half of the control budget of 20 kB/s. The
	// burst lets a VM forward a change along the tree without waiting, and a VM
	// that starts fetch everything from a few peers in seconds.
	defaultBytesPerSecond = 10 << 10
	defaultBurst          = 128 << 10
	// comparePeriod is how often a VM compares versions with a random peer.
	// A VM that missed an announcement learns of a version within about two
	// periods.
	comparePeriod = time.Second
	// requestTimeout is the time after which an unanswered request is sent to
	// another peer.
	requestTimeout = 1500 * time.Millisecond
	// peerExpiry is how long a peer is remembered after its last message.
	peerExpiry = 30 * time.Second
	// startWait is how long a VM that just started waits before it adopts a
	// version, since the first peer it hears may have an outdated one.
	startWait = time.Second
	// startPeers is the number of peers heard that ends startWait early.
	startPeers = 3
	// cutOffAfter is the silence after which the peers count as unreachable.
	cutOffAfter = 10 * time.Second
	// statusWatchDuration and statusRefreshPeriod are how long and how often a
	// VM requests fresh summaries from the readers after [Replica.RefreshStatus].
	statusWatchDuration = 3 * time.Second
	statusRefreshPeriod = 2 * reportPeriod
	// reportPeriod is how often a reader checks whether its data centre agrees.
	reportPeriod = 100 * time.Millisecond
	// maxPeers limits the peers remembered.
	maxPeers = 4096
)

// ReplicaOptions configure a [Replica]. Zero values select the defaults.
type ReplicaOptions struct {
	Self baobabstep.VM
	Rand *rand.Rand
	// BytesPerSecond and Burst, in bytes, limit what is sent.
	BytesPerSecond, Burst int
	// ReadersPerDataCentre is the number of VMs per data centre that read the
	// platform.
	ReadersPerDataCentre int
	// OnViolation is called when an invariant is violated, such as "I8".
	OnViolation func(invariant, detail string)
}

// Out is one message to a peer, for [baobabstep.TopicConfig].
type Out struct {
	To   baobabstep.VMID
	Body []byte
}

// Snapshot is what a reader read from the platform: the head and the objects that
// [Replica.MissingObjects] returned.
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
	// objects are those of the set in force, those replaced recently, and
	// those fetched for the next version.
	objects         map[Digest][]byte
	deltas          []versionDelta
	fleet           fleet
	peers           map[baobabstep.VMID]*peer
	fetch           fetch
	pendingRequests []pendingRequest
	bucket          tokenBucket
	// comparedAt is when versions were last compared with a peer.
	comparedAt  time.Time
	comparisons int
	// statusReadAt is when RefreshStatus was last called.
	statusReadAt, summariesRefreshedAt time.Time
	// reportedVersion is the version that all VMs of the data centre were last
	// reported to have; see reportAgreement.
	reportedVersion uint64
	// platformAnsweredAt is when the platform last answered this VM or, as far as
	// peers told, another; platformReadAt is when it last answered this VM.
	platformAnsweredAt, platformReadAt time.Time
	summaries                          map[string]Summary
	counts                             ReplicaCounts
	lastErr                            error
	adoptedAt                          time.Time
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

// NewReplica returns a replica without a version.
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
	if o.OnViolation == nil {
		o.OnViolation = func(string, string) {}
	}
	r := &Replica{
		o: o, started: now, builder: NewBuilder(), objects: map[Digest][]byte{},
		peers: map[baobabstep.VMID]*peer{}, summaries: map[string]Summary{},
		bucket: tokenBucket{rate: float64(o.BytesPerSecond), burst: float64(o.Burst), tokens: float64(o.Burst), refilledAt: now},
	}
	r.fetch.init()
	r.fleet = newFleet(o.Self, nil, o.ReadersPerDataCentre)
	return r
}

// Current returns the configuration in force, or nil if there is none yet. Its
// version never decreases.
func (r *Replica) Current() *baobabstep.Config {
	if s := r.current.Load(); s != nil {
		return s.Config
	}
	return nil
}

// Set returns the version in force with its documents, or nil.
func (r *Replica) Set() *Set { return r.current.Load() }

// Builder returns a builder that has cached the version in force, for an accept.
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

// SetFleet sets the known VMs, which determine the roles.
func (r *Replica) SetFleet(now time.Time, all []baobabstep.VM) {
	f := newFleet(r.o.Self, all, r.o.ReadersPerDataCentre)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range f.localVMs {
		f.firstSeen[id] = now
		if seen, ok := r.fleet.firstSeen[id]; ok {
			f.firstSeen[id] = seen
		}
	}
	r.fleet = f
}

// FleetSize returns the number of known VMs, including this one.
func (r *Replica) FleetSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.fleet.others) + 1
}

// Reader reports whether this VM reads the platform now: it is one of the readers
// of its data centre, replaces one that fell silent, or hears no peer at all.
func (r *Replica) Reader(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isReader(now)
}

func (r *Replica) isReader(now time.Time) bool {
	if r.cutOffFromPeers(now) {
		return true
	}
	preceding, candidate := r.fleet.precedingReaders()
	if !candidate {
		return false
	}
	alive := 0
	for _, id := range preceding {
		if !r.isSilent(now, id) {
			alive++
		}
	}
	return alive < r.o.ReadersPerDataCentre
}

// isSilent reports whether a VM ranked above this one, which compareVersions polls,
// has not been heard for readerSilenceTimeout.
func (r *Replica) isSilent(now time.Time, id baobabstep.VMID) bool {
	last := r.fleet.firstSeen[id]
	if p := r.peers[id]; p != nil && p.heardAt.After(last) {
		last = p.heardAt
	}
	return now.Sub(last) > readerSilenceTimeout
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

// PlatformAnswered records that the platform answered this VM, even if nothing
// changed.
func (r *Replica) PlatformAnswered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordPlatformAnswer(now)
	r.platformReadAt = now
}

func (r *Replica) recordPlatformAnswer(at time.Time) {
	if at.After(r.platformAnsweredAt) {
		r.platformAnsweredAt = at
	}
}

// MissingObjects returns the objects that a reader has to read before the version of head
// can be adopted, as far as is known yet; objects in have may refer to more. It
// returns nothing for a version that is not newer than the one in force.
func (r *Replica) MissingObjects(head []byte, have map[Digest][]byte) ([]MissingObject, error) {
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

// lookup returns a lookup of objects in have and then in the replica.
func (r *Replica) lookup(have map[Digest][]byte) ObjectLookup {
	return func(d Digest) ([]byte, bool) {
		if b, ok := have[d]; ok {
			return b, true
		}
		b, ok := r.objects[d]
		return b, ok
	}
}

// HandleSnapshot handles what a reader read. A version that is not newer than the
// one in force is never applied.
func (r *Replica) HandleSnapshot(now time.Time, s Snapshot) []Out {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recordPlatformAnswer(now)
	r.platformReadAt = now
	h, err := DecodeHead(s.Head)
	if err != nil {
		r.lastErr = err
		return nil
	}
	if !r.checkNewer(h.Version, h.Manifest) {
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

// checkNewer reports whether a version is newer than the one in force, and counts
// the reason if not. A platform or peer that has an older version was restored
// from a copy or was cut off; applying that would undo accepted changes.
func (r *Replica) checkNewer(version uint64, manifest Digest) bool {
	s := r.current.Load()
	switch {
	case s == nil || version > s.Manifest.Version:
		return true
	case version < s.Manifest.Version:
		r.counts.RefusedOld++
	case manifest != s.Digest:
		// The head is only written by compare-and-swap, so the store was
		// rolled back and then changed again.
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

// tryAdopt puts the version into force if all its objects are available, and
// otherwise returns the missing ones.
func (r *Replica) tryAdopt(now time.Time, version uint64, manifest Digest) ([]Out, []MissingObject) {
	previous := r.current.Load()
	s, missing, err := r.builder.Build(manifest, r.lookup(nil), previous)
	if err != nil {
		r.lastErr = err
		r.fetch.rejectManifest(manifest)
		return nil, nil
	}
	if len(missing) > 0 {
		return nil, missing
	}
	if s.Manifest.Version != version {
		r.lastErr = baobabstep.Errorf(baobabstep.CodeInvalid, "config.adopt", "got a manifest of version %d, want %d", s.Manifest.Version, version)
		r.fetch.rejectManifest(manifest)
		return nil, nil
	}
	if previous != nil && version <= previous.Manifest.Version {
		r.o.OnViolation("I8", "an older version was about to be applied")
		return nil, nil
	}
	r.current.Store(s)
	r.adoptedAt = now
	r.lastErr = nil
	r.counts.Adopted++
	r.recordDelta(previous, s)
	r.prune(s)
	r.fetch.init()
	return r.announceVersion(now), nil
}
