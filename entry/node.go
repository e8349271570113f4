// Package entry runs one VM under token routing. It connects the decisions of package token to
// the packet sockets, to the platform's directory of routes, targets and evacuations, to the
// other VMs and to the readiness check of the fabric.
//
// A VM keeps no state that must outlive it. It forwards as soon as it knows routes and
// targets, and any other VM could forward each of its packets, so it joins and leaves the
// fleet without transferring state.
//
// The VM applies cached copies of routes, targets and evacuations. It updates them from the
// directory (storeSyncer) and from messages of other VMs, to which it passes changes on.
//
// Goroutines: one for each packet socket, two for each query of the directory (reads and
// watches), one each for peers' messages, the fleet's secret, timers, held segments and metrics,
// and one for the readiness check's HTTP listener. Each reports its end to Run.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/link"
	"baobabstep/core/pace"
	"baobabstep/core/token"
	"baobabstep/io/process"
	"baobabstep/io/setting"
)

const (
	// batchSize is the maximum number of segments read at once.
	batchSize = 64
	// tickInterval is the interval between ticks of the router, heartbeats and periodic logs.
	tickInterval = 100 * time.Millisecond
	// minAlarmInterval is the least time between two alarms about targets that leave flows
	// unanswered. Dozens of flows detect such a target at the same moment.
	minAlarmInterval = 20 * time.Millisecond
	// maxStartupWait bounds how long segments wait in the socket of a VM that has just started
	// for its first routing table. Callers retransmit what was not answered after 0.2 s,
	// possibly over another VM, so an older segment may already have been served: an old first
	// segment would open a second target whose token the caller adopts, and an old request
	// would arrive after the next one.
	maxStartupWait = 180 * time.Millisecond
	// releaseInterval is the interval at which held first segments are reviewed while there
	// are any.
	releaseInterval = 10 * time.Millisecond
	// headerTimeout is the time limit for reading the headers of a readiness check.
	headerTimeout = 2 * time.Second
)

// Options configures a Node.
type Options struct {
	Settings  *setting.Settings
	Logger    log.Interface
	Clock     baobabstep.Clock
	Directory baobabstep.Directory
	// Segments has one value for each forwarding goroutine.
	Segments []baobabstep.Segments
	// Messages sends and receives the messages between VMs.
	Messages MessageConn
	// LogLimiter limits the lines that are written to Logger.
	LogLimiter LogLimiter
	// ReadyHandler returns the HTTP handler of the readiness check.
	ReadyHandler func(ready func() error) http.Handler
	// Rand seeds the random generators of the components.
	Rand *rand.Rand
}

// Node is one VM.
type Node struct {
	options   Options
	log       log.Interface
	clock     baobabstep.Clock
	router    *token.Router
	cache     *stateCache
	peerTable *heartbeat.PeerTable
	meter     *link.Meter
	pacer     *pace.Queue
	// paced says whether segments wait in the pacer for the link.
	paced     bool
	releasing sync.Mutex // held while segments of the pacer are sent
	exchange  peerExchange
	syncer    *storeSyncer
	counters  counters
	startedAt time.Time
	stopping  atomic.Bool
	// storeUnreadable is set for a query, by its primary kind, while the store cannot be read, and
	// storeRead once it was, not counting replicas.
	storeUnreadable, storeRead [heartbeat.NumKinds]atomic.Bool
	// targetsReadFailedAt is when a read of the registrations last failed, nil if none did since
	// the store was known to be available.
	targetsReadFailedAt atomic.Pointer[time.Time]
	observers           atomic.Pointer[observers]
	// lastPacket is when the fabric last sent a packet, in nanoseconds since the start.
	lastPacket atomic.Int64
	done       chan struct{}

	// The fields below belong to the goroutine of tickLoop.
	droppedReportedAt, malformedReportedAt time.Time
	malformedReported                      float64
	liveDataCentres                        map[string]int
	isFirstRank                            bool
	congestion                             congestionLog
}

// New returns a VM; Run starts it.
func New(o Options) *Node {
	n := &Node{
		options:   o,
		log:       o.Logger.WithFields(log.Fields{"vm": o.Settings.Name, "data_centre": o.Settings.DataCentre}),
		clock:     o.Clock,
		startedAt: o.Clock.Now(),
		meter:     link.New(o.Settings.Token.KnownLinkBytesPerSecond()),
		paced:     !o.Settings.Token.Mechanisms().Has(token.MechanismPacing),
		done:      make(chan struct{}),
	}
	n.pacer = pace.New(n.meter)
	n.router = token.New(token.Options{
		DataCentre:      o.Settings.DataCentre,
		Rand:            rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64())),
		MaxFlowDuration: o.Settings.Token.FlowMax(),
		ColdOvershoot:   o.Settings.Token.ColdOvershoot, ColdSlack: o.Settings.Token.ColdSlack,
		Disabled:           o.Settings.Token.Mechanisms(),
		Link:               n.pacer,
		ObserveRequestTime: n.observeRequest,
		Record:             n.logEvent,
		EventEnabled:       n.wantsEvent,
	})
	n.router.AwaitTargets()
	n.router.SetReturnsKnownSince(n.startedAt)
	n.cache = newStateCache(n.router, n.log, o.LogLimiter)
	n.peerTable = heartbeat.New(n.startedAt, heartbeat.Options{
		Self: o.Settings.VM().ID, DataCentre: o.Settings.DataCentre, Address: o.Settings.PeerAddress,
		Incarnation: uint64(n.startedAt.UnixMilli()), Seeds: o.Settings.Seeds,
		Rand: rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64())),
	})
	n.syncer = &storeSyncer{node: n, directory: o.Directory, uniformSpread: o.Rand.Float64(), expSpread: exponentialSpread(o.Rand.Float64())}
	return n
}

// counters counts events that no other component counts.
type counters struct {
	malformed, linesDropped, conflictingChanges, unknownEvacuations atomic.Uint64
}

// Done returns a channel that is closed when Run has returned and all goroutines have ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// RoutesKnown returns a channel that is closed once the VM can place flows.
func (n *Node) RoutesKnown() <-chan struct{} { return n.router.ReadyChan() }

// Ready returns the reason why the fabric should not send packets to the VM, or nil if it
// should.
func (n *Node) Ready() error {
	switch {
	case n.stopping.Load():
		return baobabstep.Errorf(baobabstep.CodeStopping, "entry.ready", "stopping")
	case !n.router.Ready():
		return baobabstep.Errorf(baobabstep.CodeIncomplete, "entry.ready", "routes or targets not known yet")
	}
	return nil
}

// Reload applies changed settings to a running VM. No setting can change yet, as addresses are
// bound at the start, so Reload only logs. s is nil if the settings could not be read.
func (n *Node) Reload(s *setting.Settings, err error) {
	if err != nil {
		n.log.WithError(err).Warn("settings not reloaded")
		return
	}
	n.log.WithField("changed", !reflect.DeepEqual(s, n.options.Settings)).Info("settings reloaded")
}

// Run serves until ctx ends or a component fails, then performs a planned stop within the
// settings' stop grace or until immediate ends.
func (n *Node) Run(ctx, immediate context.Context) error {
	defer close(n.done)
	listener, err := net.Listen("tcp", n.options.Settings.Token.ReadyAddress.String())
	if err != nil {
		return baobabstep.Errorf(baobabstep.CodeSettings, "entry.run", "ready_address: %w", err)
	}
	n.log.WithFields(log.Fields{
		"life": uint64(n.startedAt.UnixMilli()), "seeds": len(n.options.Settings.Seeds),
		"data_address": n.options.Settings.DataAddress.String(), "peer_address": n.options.Settings.PeerAddress.String(),
	}).Info("started")
	running, cancel := context.WithCancel(context.Background())
	defer cancel()
	components := process.Parts{
		Functions: n.functions(running, listener),
		Drain:     func() { n.drain(immediate) },
		End:       func() { cancel(); n.closeSockets() },
	}
	runErr := components.Run(ctx)
	n.log.Info("stopped")
	return runErr
}

// functions returns the long-running functions of the VM. Those needed for the first packet
// come first: on a tenth of a core the functions start milliseconds apart.
func (n *Node) functions(ctx context.Context, listener net.Listener) []func() error {
	desired, targets := n.syncer.desiredQuery(), n.syncer.targetsQuery()
	list := []func() error{
		func() error { return n.syncer.readLoop(ctx, desired) },
		func() error { return n.syncer.readLoop(ctx, targets) },
	}
	for _, segments := range n.options.Segments {
		list = append(list, func() error { return n.forwardSegments(ctx, segments) })
	}
	return append(list,
		func() error { return n.maintainSecret(ctx) },
		func() error { return n.receiveMessages(ctx) },
		func() error { return n.serveReady(ctx, listener) },
		func() error { return n.tickLoop(ctx) },
		func() error { return n.releaseLoop(ctx) },
		func() error { return n.inquiryLoop(ctx) },
		func() error { return n.syncer.watchLoop(ctx, desired) },
		func() error { return n.syncer.watchLoop(ctx, targets) },
		func() error { return n.serveMetrics(ctx) },
	)
}

func (n *Node) serveReady(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: n.options.ReadyHandler(n.Ready), ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// forwardSegments receives and forwards segments of one socket until ctx ends.
func (n *Node) forwardSegments(ctx context.Context, segments baobabstep.Segments) error {
	n.waitForRoutes(ctx)
	batch := make([]baobabstep.Segment, batchSize)
	out := make([]baobabstep.OutgoingDatagram, 0, batchSize)
	for {
		count, err := segments.Receive(ctx, batch)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		now := n.clock.Now()
		n.lastPacket.Store(int64(now.Sub(n.startedAt)))
		out = out[:0]
		n.meterReceived(now, batch[:count])
		for i := range batch[:count] {
			n.router.Handle(now, &batch[i], &out)
		}
		n.router.ReleaseHeld(now, &out)
		if err := n.send(now, segments, out); err != nil && ctx.Err() == nil {
			return err
		}
		n.observeBatch(n.clock.Now().Sub(now))
	}
}

// waitForRoutes waits until flows can be placed, for maxStartupWait at most.
func (n *Node) waitForRoutes(ctx context.Context) {
	timer := time.NewTimer(maxStartupWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-n.router.ReadyChan():
	}
}

func (n *Node) tickLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.router.AlarmsPending():
			n.sendAlarm(n.clock.Now())
			sleep(ctx, minAlarmInterval, nil)
		case <-ticker.C:
			now := n.clock.Now()
			if err := n.tickRouter(now); err != nil && ctx.Err() == nil {
				return err
			}
			n.cache.expireEvacuationMerge(now)
			n.cache.flushSections(now)
			n.tickHeartbeats(now)
			n.reportDroppedLines(now)
			n.reportMalformed(now)
			n.logCongestion(now)
		}
	}
}

// tickRouter runs the router's timers and sends the resets that they produce.
func (n *Node) tickRouter(now time.Time) error {
	var ended []baobabstep.OutgoingDatagram
	n.router.Tick(now, &ended)
	if len(ended) == 0 {
		return nil
	}
	return n.send(now, n.options.Segments[0], ended)
}

func (n *Node) closeSockets() {
	for _, segments := range n.options.Segments {
		if err := segments.Close(); err != nil {
			n.log.WithError(err).Warn("cannot close a segment socket")
		}
	}
	if err := n.options.Messages.Close(); err != nil {
		n.log.WithError(err).Warn("cannot close the message socket")
	}
}
