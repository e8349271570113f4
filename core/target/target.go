// Package target holds what one VM believes of each target and chooses
// targets for new work.
//
// # The model
//
// A belief is made of evidence of three ranks. Outcomes of real work come
// first: a target whose answers fail is ejected whatever it says of itself.
// Own probes, and those of the other probers, come second: each target is
// probed by three VMs of its data centre. What a target reports of its load
// comes last, since reports lag and may be wrong: a report can only make a
// target look busier than the counts say, never idler.
//
// News that a target is leaving comes from three sources (its own report, the
// platform's list, an operator). Any one of them is enough to stop new work at
// once, and each source has to take back its own update.
//
// # Counts
//
// Each VM counts the flows that it holds on each target and tells the other
// VMs ([Registry.News], [Registry.Learn]). The load of a target is the worst
// of (own count + counts of the others) and (last report + own flows opened
// since). Both sums lag, so no choice is made by taking the least loaded of
// all: two targets are drawn at random and the less loaded one is taken,
// which bounds what one target attracts to a multiple of its even share,
// however idle it looks.
//
// # Concurrency
//
// The targets of one service form a pool under its own lock. Nothing scans
// the targets of all services but a change of configuration or view.
package target

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"baobabstep"
)

// Source is who said that a target is leaving.
type Source uint8

// Sources of news about leaving targets.
const (
	// SourceTarget is the target's own word, in a report or a refusal.
	SourceTarget Source = iota
	// SourcePlatform is the platform's list.
	SourcePlatform
	// SourceOperator is an operator, through the configuration.
	SourceOperator
	numSources
)

// Options configures a Registry. Zero limits are replaced by the defaults.
type Options struct {
	Self       baobabstep.VMID
	DataCentre string
	// Rand spreads probes and ejections in time. It is required, and used
	// under a lock of the registry alone.
	Rand *rand.Rand
	// Invariant, when set, is called for each broken invariant, after it
	// was counted.
	Invariant func(name, detail string)

	// ProbeInterval is the mean time between two probes of one target by
	// one VM: 1 s.
	ProbeInterval time.Duration
	// ProbeMisses is the number of unanswered probes in a row after which
	// this VM holds a target for down: 3.
	ProbeMisses int
	// Probers is the number of VMs that probe each target: 3.
	Probers int
	// ReturnProbes is the number of good probes in a row after which a
	// target that was down or leaving by its own report may return: 3.
	ReturnProbes int
	// SlowStart is the length of the ramp of a joined or returned target: 10 s.
	SlowStart time.Duration
	// EjectFailures is the number of failures in a row that eject: 5.
	EjectFailures int
	// EjectTime is the length of the first ejection: 2 s. It doubles with
	// each further one, up to MaxEjectTime: 60 s.
	EjectTime, MaxEjectTime time.Duration
	// NearMargin is how far the mean load of the near data centre may be
	// above the mean of the service before work spills over: 0.02 of the
	// mean.
	NearMargin float64
}

func (o *Options) setDefaults() {
	o.ProbeInterval = cmp.Or(o.ProbeInterval, time.Second)
	o.ProbeMisses = cmp.Or(o.ProbeMisses, 3)
	o.Probers = cmp.Or(o.Probers, 3)
	o.ReturnProbes = cmp.Or(o.ReturnProbes, 3)
	o.SlowStart = cmp.Or(o.SlowStart, 10*time.Second)
	o.EjectFailures = cmp.Or(o.EjectFailures, 5)
	o.EjectTime = cmp.Or(o.EjectTime, 2*time.Second)
	o.MaxEjectTime = cmp.Or(o.MaxEjectTime, time.Minute)
	o.NearMargin = cmp.Or(o.NearMargin, 0.02)
}

// Registry is the belief of one VM. It is safe for concurrent use.
type Registry struct {
	opts  Options
	index atomic.Pointer[index]
	// reached are the data centres with a VM in the view; nil before the
	// first view.
	reached atomic.Pointer[map[string]bool]

	// mu guards what follows and is held over SetConfig and SetView. It is
	// taken before any lock of a pool.
	mu          sync.Mutex
	view        *baobabstep.View
	assignments []assignment
	news        outgoing
	// epochs holds the incarnation under which each VM's updates were learned.
	epochs map[baobabstep.VMID]uint64
	// answeredAt is when the last answer to Ask came.
	answeredAt time.Time

	broken atomic.Uint64
}

// index finds pools and targets. It is immutable.
type index struct {
	config  *baobabstep.Config
	pools   map[baobabstep.ServiceID]*pool
	targets map[baobabstep.TargetID]*entry
	// list has the same targets in a fixed order, so that runs with the same
	// random numbers are alike.
	list []*entry
}

var _ baobabstep.Chooser = (*Registry)(nil)

// New returns a registry that knows no target until SetConfig.
func New(_ time.Time, o Options) *Registry {
	o.setDefaults()
	r := &Registry{opts: o, epochs: make(map[baobabstep.VMID]uint64)}
	r.index.Store(&index{})
	return r
}

// Broken returns how often an invariant was found broken.
func (r *Registry) Broken() uint64 { return r.broken.Load() }

func (r *Registry) breaks(name, detail string) {
	r.broken.Add(1)
	if r.opts.Invariant != nil {
		r.opts.Invariant(name, detail)
	}
}

// SetConfig puts a configuration into force. Targets that were there before
// keep their state; new ones start with a slow start ramp, unless this is the
// first configuration, in which nothing is newer than anything else.
func (r *Registry) SetConfig(now time.Time, c *baobabstep.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.index.Load()
	next := &index{
		config:  c,
		pools:   make(map[baobabstep.ServiceID]*pool, len(c.Services)),
		targets: make(map[baobabstep.TargetID]*entry, len(old.targets)),
	}
	for i := range c.Services {
		s := &c.Services[i]
		p := old.pools[s.ID]
		if p == nil {
			p = newPool(r)
		}
		next.pools[s.ID] = p
		p.configure(now, c, s, old, next)
	}
	keepRemoved(old, next)
	r.index.Store(next)
	r.assignProbes(now)
}

// keepRemoved keeps targets that left the configuration while flows are still
// counted on them, so that a target that comes back is not taken for empty.
func keepRemoved(old, next *index) {
	for _, e := range old.list {
		id := e.target.ID
		if next.targets[id] != nil {
			continue
		}
		e.pool.mu.Lock()
		e.removed = true
		e.pool.dirty = true
		if e.flows > 0 || e.slots > 0 {
			next.targets[id] = e
			next.list = append(next.list, e)
		}
		e.pool.mu.Unlock()
	}
}

// SetView tells who is in the region: it decides who probes what, and whose
// updates count. Updates of VMs that left the view are dropped.
func (r *Registry) SetView(now time.Time, v *baobabstep.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view
	r.view = v
	r.setReached(v)
	r.assignProbes(now)
	for _, vm := range goneMembers(old, v) {
		delete(r.epochs, vm)
		r.forgetPeer(vm)
	}
	if old != nil && len(goneMembers(v, old)) > 0 {
		r.repeatLeaving()
	}
	r.setEpoch(v)
}

// repeatLeaving tells once more which targets are leaving. A VM that has just
// joined missed the updates, and as dispatcher it would hand new work to a target
// that has been draining for seconds, until its own probes or the slow rotation
// of news told it.
func (r *Registry) repeatLeaving() {
	for _, e := range r.index.Load().targets {
		e.pool.mu.Lock()
		for s := range e.leaving {
			if e.leaving[s].leaving {
				e.leaving[s].spread = updateSpread
			}
		}
		e.pool.mu.Unlock()
	}
}

func (r *Registry) setReached(v *baobabstep.View) {
	reached := make(map[string]bool)
	for i := range v.Members {
		reached[v.Members[i].DataCentre] = true
	}
	old := r.reached.Swap(&reached)
	if old != nil && maps.Equal(*old, reached) {
		return
	}
	for _, p := range r.index.Load().pools {
		p.mu.Lock()
		p.dirty = true
		p.mu.Unlock()
	}
}

// cutOff tells whether a data centre has no VM in the view: it may be on the
// other side of a partition, and then its targets are out of reach too.
func (r *Registry) cutOff(dataCentre string) bool {
	reached := r.reached.Load()
	return reached != nil && len(*reached) > 0 && !(*reached)[dataCentre]
}

func goneMembers(old, now *baobabstep.View) []baobabstep.VMID {
	if old == nil {
		return nil
	}
	there := make(map[baobabstep.VMID]bool, len(now.Members))
	for i := range now.Members {
		there[now.Members[i].ID] = true
	}
	var gone []baobabstep.VMID
	for i := range old.Members {
		if id := old.Members[i].ID; !there[id] {
			gone = append(gone, id)
		}
	}
	return gone
}

// forgetPeer drops the updates of a VM from all targets.
func (r *Registry) forgetPeer(vm baobabstep.VMID) {
	for _, e := range r.index.Load().list {
		e.pool.mu.Lock()
		e.dropPeer(vm)
		e.pool.mu.Unlock()
	}
}

// entryOf returns the state of a target, or nil if it is not known.
func (r *Registry) entryOf(id baobabstep.TargetID) *entry { return r.index.Load().targets[id] }
