// Package node is one VM: it wires the parts that decide (core) to the parts
// that talk (io).
//
// Three kinds of goroutine run in a VM. A data goroutine for each socket reads
// a batch of packets, lets the flow router or the request engine decide, and
// sends what they want sent. The control goroutine ticks every part and carries
// news between them: a new view of the fleet or a new configuration is handed to
// everyone who routes by it. The control path's messages from other VMs arrive
// through a watermill router, one handler for each topic.
//
// All state lives in the parts, each behind its own locks; the node itself only
// keeps what it last handed out. The order of a planned stop is in stop.go.
package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/core/flow"
	"baobabstep/core/member"
	"baobabstep/core/request"
	"baobabstep/core/target"
	"baobabstep/io/audit"
	"baobabstep/io/metric"
	"baobabstep/io/peer"
	"baobabstep/io/process"
	"baobabstep/io/setting"
	"baobabstep/io/stream"
)

// Intervals of the control goroutine.
const (
	// dataTick drives timeouts of requests.
	dataTick = 20 * time.Millisecond
	// controlTick drives flows, membership and the spread of the
	// configuration.
	controlTick = 100 * time.Millisecond
	// newsInterval is the time between two rounds of target news.
	newsInterval = 500 * time.Millisecond
	// listInterval is the time between two readings of the platform's list.
	listInterval = 5 * time.Second
	// duplicateInterval is the time between two warnings of a name used twice.
	duplicateInterval = time.Minute
	// pauseLimit is the gap between two ticks past which the VM takes
	// itself to have been paused: others may hold its roles by then.
	pauseLimit = 1500 * time.Millisecond
	// answerAge is how old a member's answer on leaving targets may be when the
	// VM joins: two rounds of asking, well under the 3 s in which new work may
	// still reach a target that has begun to leave.
	answerAge = 2 * newsInterval
	// readySettle is how long the view has to be sure before a VM that has
	// started asks for packets; readyAnyway bounds the wait.
	readySettle = 3500 * time.Millisecond
	readyAnyway = 15 * time.Second
)

// Options are what a Node needs besides its settings.
type Options struct {
	Settings *setting.Settings
	Logger   log.Interface
	Clock    baobabstep.Clock
	Platform baobabstep.Platform
	Peers    baobabstep.Peers
	// Packets has one value for each data goroutine.
	Packets []baobabstep.Packets
	// Book is the address book that Packets was made with.
	Book *Book
	// Seed seeds the random numbers of the VM.
	Seed uint64
}

// Node is one VM.
type Node struct {
	options Options
	self    baobabstep.VM
	log     log.Interface
	clock   baobabstep.Clock
	start   time.Time

	fleet   *member.Fleet
	replica *config.Replica
	targets *target.Registry
	flows   flow.Policy
	work    *request.Engine
	streams *stream.Proxy
	metrics *metric.Server
	counts  counters
	// inForce logs each version that comes into force.
	inForce *audit.Log
	trail   *audit.Trail
	// newsDraw picks whom to tell; streamDraw picks targets of TCP callers.
	newsDraw, streamDraw *lockedRand

	// lastTick is when the control goroutine last ran, in nanoseconds since
	// start.
	lastTick atomic.Int64
	// lastOutside is when the last packet of a caller or target came that was
	// not passed on by a VM, in nanoseconds since start. Answers to this VM's
	// probes do not count.
	lastOutside atomic.Int64
	// sureAt is when the view last became sure, in nanoseconds since start.
	sureAt   atomic.Int64
	view     atomic.Pointer[baobabstep.View]
	config   atomic.Pointer[baobabstep.Config]
	stopping atomic.Bool
	joined   atomic.Bool
	// askedAt is when members were last asked what is leaving.
	askedAt time.Time
	// paused is what the parts were told last; pauseLock is held while they
	// are told.
	paused    atomic.Bool
	pauseLock sync.Mutex
	// duplicateAt is when a second VM of this name was last logged.
	duplicateAt time.Time
	done        chan struct{}
}

// New makes the parts of a VM; Run starts them. An unknown policy is an error
// with CodeSettings.
func New(o Options) (*Node, error) {
	now := o.Clock.Now()
	self := o.Settings.VM()
	self.Incarnation = uint64(now.UnixMilli())
	self.Joining = true
	n := &Node{
		options: o,
		self:    self,
		clock:   o.Clock,
		start:   now,
		log: o.Logger.WithFields(log.Fields{
			"vm": self.Name, "data_centre": self.DataCentre,
		}),
		done: make(chan struct{}),
	}
	n.fleet = member.New(now, member.Options{Self: self, PauseLimit: pauseLimit, Rand: n.random(1)})
	n.replica = config.NewReplica(now, config.ReplicaOptions{Self: self, Rand: n.random(2), OnViolation: n.broken})
	n.targets = target.New(now, target.Options{
		Self: self.ID, DataCentre: self.DataCentre, Rand: n.random(3), Invariant: n.broken,
	})
	var err error
	n.flows, err = flow.NewPolicy(now, o.Settings.Policy, flow.Options{
		Self: self.ID, DataCentre: self.DataCentre, Chooser: n.targets, Rand: n.random(4),
		Invariant: n.broken,
	})
	if err != nil {
		return nil, err
	}
	n.work = request.New(now, request.Options{
		Self: self.ID, DataCentre: self.DataCentre, Targets: n.targets, Rand: n.random(5),
		Invariant: n.broken,
	})
	n.streamDraw = &lockedRand{r: n.random(6)}
	n.newsDraw = &lockedRand{r: n.random(7)}
	n.inForce = audit.NewLog(n.log, self.Name)
	n.trail = audit.NewTrail(o.Platform, 0)
	n.metrics = metric.New(o.Settings.MetricsAddress, n.Ready)
	n.metrics.Register(n.sources()...)
	return n, nil
}

// random returns the random numbers of one part.
func (n *Node) random(part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.options.Seed, uint64(n.self.ID)+part))
}

// broken counts a broken invariant, and ends the process where the settings
// ask for it: in tests a broken invariant must not go unseen.
func (n *Node) broken(name, detail string) {
	n.counts.invariants.Add(1)
	entry := n.log.WithFields(log.Fields{"invariant": name, "detail": detail})
	if n.options.Settings.FatalInvariants {
		entry.Fatal("invariant broken")
	}
	entry.Error("invariant broken")
}

// Ready says why the VM should not get packets from the fabric yet; nil once it
// should.
//
// It is ready once it has joined.
func (n *Node) Ready() error {
	switch {
	case n.stopping.Load():
		return baobabstep.Errorf(baobabstep.CodeStopping, "node.ready", "stopping")
	case !n.joined.Load():
		return n.settled(n.clock.Now())
	}
	return nil
}

// settled says why the VM should not join yet; nil once it should.
//
// A VM that has just started cannot tell a flow or request that it never heard
// of from one that a predecessor held, and does not know the others. As holder
// or dispatcher it would have to answer "unknown" to all of them. So it takes
// no role, and asks the fabric to be left out, until its view has been sure for
// a while; but not for ever: cut off from everyone it serves what it can.
func (n *Node) settled(now time.Time) error {
	v := n.view.Load()
	switch {
	case n.config.Load() == nil:
		return baobabstep.Errorf(baobabstep.CodeIncomplete, "node.ready", "no configuration yet")
	case v == nil:
		return baobabstep.Errorf(baobabstep.CodeIncomplete, "node.ready", "no view of the fleet yet")
	case n.wrongKeys():
		return baobabstep.Errorf(baobabstep.CodeUnauthenticated, "node.ready", "no other VM has one of this VM's peer_keys")
	case now.Sub(n.start) > readyAnyway:
		return nil
	case v.Unsure || now.Sub(n.sureSince()) < readySettle:
		return baobabstep.Errorf(baobabstep.CodeIncomplete, "node.ready", "view of the fleet not settled yet")
	case len(v.Members) > 0 && now.Sub(n.targets.QueryAnsweredAt()) > answerAge:
		return baobabstep.Errorf(baobabstep.CodeIncomplete, "node.ready", "no member has said lately which targets are leaving")
	}
	return nil
}

// wrongKeys tells whether other VMs answer and none proves to have a key of this
// one. A VM that started with keys of its own would otherwise take itself for
// cut off, and after a while serve alone, beside the fleet, what the fabric hands
// it: its flows would be unknown to every other VM.
func (n *Node) wrongKeys() bool {
	peers, ok := n.options.Peers.(interface{ Stats() peer.Stats })
	if !ok {
		return false
	}
	stats := peers.Stats()
	return stats.Refused > 0 && stats.Received == 0
}

// sureSince returns when the view last became sure.
func (n *Node) sureSince() time.Time { return n.start.Add(time.Duration(n.sureAt.Load())) }

// Run starts the VM and serves until ctx ends or a part fails. Then it stops as
// planned: it refuses new work, hands over what it holds and tells its peers,
// within the settings' stop timeout or until hurry ends.
func (n *Node) Run(ctx, hurry context.Context) error {
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := n.metrics.Start(running); err != nil {
		return err
	}
	if host := n.options.Settings.StreamHost; host.IsValid() {
		n.streams = n.newStreams(host)
	}
	parts := process.Parts{
		Functions: n.parts(running),
		Drain:     func() { n.drain(hurry) },
		End:       func() { cancel(); n.closeSockets() },
	}
	failed := parts.Run(ctx)
	<-n.metrics.Done()
	close(n.done)
	return failed
}

// Done is closed when Run has returned and every part has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// parts returns the long-running functions of the VM. Each ends when ctx does,
// or with an error that ends the VM.
func (n *Node) parts(ctx context.Context) []func() error {
	parts := []func() error{
		func() error { return n.control(ctx) },
		func() error { return n.listen(ctx) },
		func() error { return n.readConfig(ctx) },
		func() error { return n.readList(ctx) },
		func() error { return n.serveOperators(ctx) },
		func() error { return n.collectGarbage(ctx) },
	}
	for _, packets := range n.options.Packets {
		parts = append(parts, func() error { return n.serve(ctx, packets) })
	}
	return parts
}
