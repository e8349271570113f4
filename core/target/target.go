// Package target tracks the health and load of every target as seen by one VM,
// and picks targets for new work.
//
// # The model
//
// Three kinds of evidence decide whether a target may get work. Outcomes of
// real work come first: a target whose answers fail is ejected, whatever it
// reports. Health probes come second; three VMs of its data centre probe each
// target. The load that a target reports comes last, since reports lag and may
// be wrong: a report can raise the load estimate above the counts, never lower
// it.
//
// A target is leaving if any of three sources says so: its own report, the
// platform's list or an operator. Each source has to withdraw its own update.
//
// # Counts
//
// Each VM counts the flows that it holds on each target and gossips the counts
// to the other VMs ([Registry.EncodeGossip], [Registry.HandleGossip]).
// The load of a target is the larger of (own count + counts of the others) and
// (last report + own flows opened since). Both sums lag, so the least loaded
// target of all is never chosen: of two targets drawn at random the less loaded
// one is taken. That limits a target to a small multiple of its even share of
// new flows, however idle it looks.
//
// # Concurrency
//
// The targets of one service form a pool under its own lock. Only a change of
// configuration or view scans the targets of all services.
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

// Source identifies who reported that a target is leaving.
type Source uint8

// Sources of leaving updates.
const (
	// SourceTarget is the target itself, by a report or a refusal.
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
	// Rand spreads probes over time. It is required, and is used only under the
	// registry's lock.
	Rand *rand.Rand
	// Invariant, if set, is called for each invariant violation, after it was
	// counted.
	Invariant func(name, detail string)

	// ProbeInterval is the mean time between two probes of one target by one
	// VM; default 1 s.
	ProbeInterval time.Duration
	// ProbeMisses is the number of consecutive unanswered probes after which
	// this VM considers a target down; default 3.
	ProbeMisses int
	// Probers is the number of VMs that probe each target; default 3.
	Probers int
	// ReturnProbes is the number of consecutive good probes after which a
	// target that was down, or leaving by its own report, may get work again;
	// default 3.
	ReturnProbes int
	// SlowStart is the length of the ramp of a new or returned target; default
	// 10 s.
	SlowStart time.Duration
	// EjectFailures is the number of consecutive failures that eject; default
	// 5.
	EjectFailures int
	// EjectTime is the length of the first ejection, default 2 s. It doubles
	// with each further one, up to MaxEjectTime, default 60 s.
	EjectTime, MaxEjectTime time.Duration
	// NearMargin is how far the mean load of the near data centre may exceed
	// that of the service before work spills over, as a share of the mean;
	// default 0.02.
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

// Registry holds the state of all targets as seen by one VM. It is safe for
// concurrent use.
type Registry struct {
	opts  Options
	index atomic.Pointer[index]
	// reachable is the set of data centres with a VM in the view; nil before
	// the first view.
	reachable atomic.Pointer[map[string]bool]

	// mu guards the fields below and is held over SetConfig and SetView. It is
	// taken before any lock of a pool.
	mu          sync.Mutex
	view        *baobabstep.View
	assignments []probeAssignment
	gossip      gossipState
	// epochs holds the incarnation under which each VM's updates were received.
	epochs map[baobabstep.VMID]uint64
	// answeredAt is when the last answer to a leaving query arrived.
	answeredAt time.Time

	broken atomic.Uint64
}

// index looks up pools and targets. It is immutable.
type index struct {
	config  *baobabstep.Config
	pools   map[baobabstep.ServiceID]*pool
	targets map[baobabstep.TargetID]*entry
	// list holds the same targets in a fixed order, so that runs with the same
	// seed are reproducible.
	list []*entry
}

var _ baobabstep.Chooser = (*Registry)(nil)

// New returns a registry without targets; SetConfig adds them.
func New(_ time.Time, o Options) *Registry {
	o.setDefaults()
	r := &Registry{opts: o, epochs: make(map[baobabstep.VMID]uint64)}
	r.index.Store(&index{})
	return r
}

// Broken returns the number of invariant violations so far.
func (r *Registry) Broken() uint64 { return r.broken.Load() }

func (r *Registry) invariantBroken(name, detail string) {
	r.broken.Add(1)
	if r.opts.Invariant != nil {
		r.opts.Invariant(name, detail)
	}
}

// SetConfig applies a configuration. Targets that it had before keep their
// state; new ones begin a slow-start ramp, except under the first
// configuration, where all targets are equally new.
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
		if e.flows > 0 || e.slotsUsed > 0 {
			next.targets[id] = e
			next.list = append(next.list, e)
		}
		e.pool.mu.Unlock()
	}
}

// SetView applies a new view. It reassigns probes and drops the updates of VMs
// that left.
func (r *Registry) SetView(now time.Time, v *baobabstep.View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view
	r.view = v
	r.setReachable(v)
	r.assignProbes(now)
	for _, vm := range departedMembers(old, v) {
		delete(r.epochs, vm)
		r.forgetPeer(vm)
	}
	if old != nil && len(departedMembers(v, old)) > 0 {
		r.repeatLeaving()
	}
	r.setEpoch(v)
}

// repeatLeaving schedules all active leaving updates to be sent again. A VM
// that has just joined missed them; as dispatcher it would send new work to a
// draining target for seconds, until its own probes or the slow rotation of
// gossip reached it.
func (r *Registry) repeatLeaving() {
	for _, e := range r.index.Load().targets {
		e.pool.mu.Lock()
		for s := range e.leaving {
			if e.leaving[s].leaving {
				e.leaving[s].sendsLeft = leavingSends
			}
		}
		e.pool.mu.Unlock()
	}
}

func (r *Registry) setReachable(v *baobabstep.View) {
	reached := make(map[string]bool)
	for i := range v.Members {
		reached[v.Members[i].DataCentre] = true
	}
	old := r.reachable.Swap(&reached)
	if old != nil && maps.Equal(*old, reached) {
		return
	}
	for _, p := range r.index.Load().pools {
		p.mu.Lock()
		p.dirty = true
		p.mu.Unlock()
	}
}

// cutOff reports whether a data centre has no VM in the view. It may be across
// a partition, and then its targets are unreachable too.
func (r *Registry) cutOff(dataCentre string) bool {
	reached := r.reachable.Load()
	return reached != nil && len(*reached) > 0 && !(*reached)[dataCentre]
}

func departedMembers(old, current *baobabstep.View) []baobabstep.VMID {
	if old == nil {
		return nil
	}
	present := make(map[baobabstep.VMID]bool, len(current.Members))
	for i := range current.Members {
		present[current.Members[i].ID] = true
	}
	var departed []baobabstep.VMID
	for i := range old.Members {
		if id := old.Members[i].ID; !present[id] {
			departed = append(departed, id)
		}
	}
	return departed
}

// forgetPeer drops the updates of a VM from all targets.
func (r *Registry) forgetPeer(vm baobabstep.VMID) {
	for _, e := range r.index.Load().list {
		e.pool.mu.Lock()
		e.dropPeer(vm)
		e.pool.mu.Unlock()
	}
}

// entryOf returns the state of a target, or nil if it is unknown.
func (r *Registry) entryOf(id baobabstep.TargetID) *entry { return r.index.Load().targets[id] }
