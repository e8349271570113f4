// Package entry is one VM under token routing: it wires the decisions of
// package token to packets, to the platform's directory of routes and targets,
// and to the fabric's readiness check.
//
// Such a VM keeps nothing that must last. It forwards as soon as it knows routes
// and targets, and every other VM could serve each of its packets; so it joins
// and leaves without handing anything over.
//
// Goroutines: one for each socket of packets, two for each reading
// of the directory, one for what peers say, one that ticks, one for each HTTP
// listener. Each reports its end to Run.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/token"
	"baobabstep/io/process"
	"baobabstep/io/setting"
)

const (
	// batchSize is the number of packets read at once.
	batchSize = 64
	// tickInterval drives timeouts.
	tickInterval = 100 * time.Millisecond
	// troubleInterval is the least time between two alarms about targets that
	// leave flows unanswered. Dozens of flows find that in one moment.
	troubleInterval = 20 * time.Millisecond
	// holdTime bounds how long segments wait in the socket of a VM that has just
	// started for its first routing table. Callers copy what was not answered after
	// 0.2 s, over another VM if need be. What is older than that may have been served
	// meanwhile: an old first segment would open a second target whose token the
	// caller takes over, an old request comes after the next one.
	holdTime = 180 * time.Millisecond
	// headerTimeout bounds the reading of a readiness check.
	headerTimeout = 2 * time.Second
)

// Options are what a Node needs besides its settings.
type Options struct {
	Settings  *setting.Settings
	Logger    log.Interface
	Clock     baobabstep.Clock
	Directory baobabstep.Directory
	// Segments has one value for each data goroutine.
	Segments []baobabstep.Segments
	// Messages carries what VMs tell each other.
	Messages Messages
	// LogLimits bound the lines of Logger.
	LogLimits LogLimits
	// ReadyHandler makes the handler of the readiness check.
	ReadyHandler func(ready func() error) http.Handler
	// Rand seeds the random numbers of the parts.
	Rand *rand.Rand
}

// Node is one VM.
type Node struct {
	o        Options
	log      log.Interface
	clock    baobabstep.Clock
	router   *token.Router
	beliefs  *beliefs
	board    *heartbeat.Board
	sharing  sharing
	follower *follower
	counts   counters
	started  time.Time
	stopping atomic.Bool
	// blind is set for a kind while the store cannot be read.
	blind     [heartbeat.Kinds]atomic.Bool
	observers atomic.Pointer[observers]
	// lastPacket is when the fabric last sent something, in nanoseconds since
	// the start.
	lastPacket atomic.Int64
	done       chan struct{}

	// What follows belongs to the ticking goroutine.
	droppedAt, malformedAt time.Time
	malformedSeen          float64
	heardDataCentres       map[string]int
	first                  bool
}

// New makes the parts of a VM; Run starts them.
func New(o Options) *Node {
	n := &Node{
		o:       o,
		log:     o.Logger.WithFields(log.Fields{"vm": o.Settings.Name, "data_centre": o.Settings.DataCentre}),
		clock:   o.Clock,
		started: o.Clock.Now(),
		done:    make(chan struct{}),
	}
	n.router = token.New(token.Options{
		DataCentre:      o.Settings.DataCentre,
		Rand:            rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64())),
		MaxFlowDuration: o.Settings.Token.FlowMax(),
		ColdOvershoot:   o.Settings.Token.ColdOvershoot, ColdSlack: o.Settings.Token.ColdSlack,
		Disabled:           o.Settings.Token.Mechanisms(),
		ObserveRequestTime: n.observeRequest,
		Record:             n.logEvent,
		EventEnabled:       n.eventWanted,
	})
	n.beliefs = newBeliefs(n.router, n.log, o.LogLimits)
	n.board = heartbeat.New(n.started, heartbeat.Options{
		Self: o.Settings.VM().ID, DataCentre: o.Settings.DataCentre, Address: o.Settings.PeerAddress,
		Life: uint64(n.started.UnixMilli()), Seeds: o.Settings.Seeds,
		Rand: rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64())),
	})
	n.follower = &follower{node: n, directory: o.Directory, spread: o.Rand.Float64(), expSpread: exponentialSpread(o.Rand.Float64())}
	return n
}

// counters count what has no part of its own to count it.
type counters struct {
	malformed, linesDropped, changesLeft, unknownEvacuations atomic.Uint64
}

// Done is closed when Run has returned and every part has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Known is closed once the VM can place flows.
func (n *Node) Known() <-chan struct{} { return n.router.ReadyChan() }

// Ready says why the fabric should not hand packets to the VM; nil if it should.
func (n *Node) Ready() error {
	switch {
	case n.stopping.Load():
		return baobabstep.Errorf(baobabstep.CodeStopping, "entry.ready", "stopping")
	case !n.router.Ready():
		return baobabstep.Errorf(baobabstep.CodeIncomplete, "entry.ready", "routes or targets not known yet")
	}
	return nil
}

// Reload takes over what may change while the VM runs, which is nothing yet:
// addresses are bound at the start. s is nil if the settings could not be read.
func (n *Node) Reload(s *setting.Settings, err error) {
	if err != nil {
		n.log.WithError(err).Warn("settings not reloaded")
		return
	}
	n.log.WithField("changed", !reflect.DeepEqual(s, n.o.Settings)).Info("settings reloaded")
}

// Run serves until ctx ends or a part fails, then stops as planned within the
// settings' grace or until hurry ends.
func (n *Node) Run(ctx, hurry context.Context) error {
	defer close(n.done)
	listener, err := net.Listen("tcp", n.o.Settings.Token.ReadyAddress.String())
	if err != nil {
		return baobabstep.Errorf(baobabstep.CodeSettings, "entry.run", "ready_address: %w", err)
	}
	n.log.WithFields(log.Fields{
		"life": uint64(n.started.UnixMilli()), "seeds": len(n.o.Settings.Seeds),
		"data_address": n.o.Settings.DataAddress.String(), "peer_address": n.o.Settings.PeerAddress.String(),
	}).Info("started")
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	parts := process.Parts{
		Functions: n.parts(running, listener),
		Drain:     func() { n.drain(hurry) },
		End:       func() { cancel(); n.closeSockets() },
	}
	failed := parts.Run(ctx)
	n.log.Info("stopped")
	return failed
}

// parts returns the long-running functions of the VM. What a first packet waits
// for comes first: on a tenth of a core the parts start milliseconds apart.
func (n *Node) parts(ctx context.Context, listener net.Listener) []func() error {
	desired, targets := n.follower.desired(), n.follower.targets()
	parts := []func() error{
		func() error { return n.follower.follow(ctx, desired) },
		func() error { return n.follower.follow(ctx, targets) },
	}
	for _, segments := range n.o.Segments {
		parts = append(parts, func() error { return n.serve(ctx, segments) })
	}
	return append(parts,
		func() error { return n.keepSecret(ctx) },
		func() error { return n.listen(ctx) },
		func() error { return n.serveReady(ctx, listener) },
		func() error { return n.tick(ctx) },
		func() error { return n.follower.watch(ctx, desired) },
		func() error { return n.follower.watch(ctx, targets) },
		func() error { return n.serveMetrics(ctx) },
	)
}

func (n *Node) serveReady(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: n.o.ReadyHandler(n.Ready), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// serve is one data goroutine.
func (n *Node) serve(ctx context.Context, segments baobabstep.Segments) error {
	n.hold(ctx)
	batch := make([]baobabstep.Segment, batchSize)
	out := make([]baobabstep.Forward, 0, batchSize)
	for {
		count, err := segments.Receive(ctx, batch)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		now := n.clock.Now()
		n.lastPacket.Store(int64(now.Sub(n.started)))
		out = out[:0]
		for i := range batch[:count] {
			n.router.Handle(now, &batch[i], &out)
		}
		if err := segments.Send(out); err != nil && ctx.Err() == nil {
			return err
		}
		n.observeBatch(n.clock.Now().Sub(now))
	}
}

// hold waits until flows can be placed, for holdTime at most.
func (n *Node) hold(ctx context.Context) {
	timer := time.NewTimer(holdTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.router.ReadyChan():
	}
}

func (n *Node) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.router.UrgentReportsPending():
			n.raiseAlarm(n.clock.Now())
			pause(ctx, troubleInterval, nil)
		case <-ticker.C:
			now := n.clock.Now()
			if err := n.tickRouter(now); err != nil && ctx.Err() == nil {
				return err
			}
			n.beliefs.settleEvacuations(now)
			n.beliefs.settleSections(now)
			n.beat(now)
			n.reportDropped(now)
			n.reportMalformed(now)
		}
	}
}

// tickRouter lets the router tick, and sends the resets that it wants sent.
func (n *Node) tickRouter(now time.Time) error {
	var ended []baobabstep.Forward
	n.router.Tick(now, &ended)
	if len(ended) == 0 {
		return nil
	}
	return n.o.Segments[0].Send(ended)
}

func (n *Node) closeSockets() {
	for _, segments := range n.o.Segments {
		if err := segments.Close(); err != nil {
			n.log.WithError(err).Warn("close segments")
		}
	}
	if err := n.o.Messages.Close(); err != nil {
		n.log.WithError(err).Warn("close messages")
	}
}
