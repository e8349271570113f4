package entry

import (
	"context"
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/room"
	"baobabstep/io/metric"
)

// maxMetricsDelay bounds how long the start of the metrics server is delayed until the VM is
// ready. Its setup takes some 10 ms on a tenth of a core, which would delay the first packet.
const maxMetricsDelay = time.Second

// requestBounds are the upper bounds of request_seconds. They range from a tenth of the usual
// latency to the time limits of callers.
var requestBounds = []float64{0.002, 0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5}

// batchBounds are the upper bounds of batch_seconds.
var batchBounds = []float64{0.00002, 0.00005, 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05}

// serveMetrics serves the metrics address until ctx ends.
func (n *Node) serveMetrics(ctx context.Context) error {
	for start := n.clock.Now(); ctx.Err() == nil && n.Ready() != nil && n.clock.Now().Sub(start) < maxMetricsDelay; {
		sleep(ctx, pollInterval, nil)
	}
	server := metric.New(n.options.Settings.MetricsAddress, n.Ready)
	server.Register(n.metricSources()...)
	n.observers.Store(&observers{
		request: server.Histogram("token_request_seconds", "Time from a request's first segment to the acknowledgement of its answer.", requestBounds),
		batch:   server.Histogram("token_batch_seconds", "Time to decide about and send one batch of segments.", batchBounds),
	})
	if err := server.Start(ctx); err != nil {
		return err
	}
	<-server.Done()
	return nil
}

// observers record durations in histograms.
type observers struct {
	request, batch func(seconds float64)
}

func (n *Node) observeRequest(took time.Duration) {
	if o := n.observers.Load(); o != nil {
		o.request(took.Seconds())
	}
}

func (n *Node) observeBatch(took time.Duration) {
	if o := n.observers.Load(); o != nil {
		o.batch(took.Seconds())
	}
}

// metricSources returns the metrics of a VM with token routing, in the order of
// docs/METRICS-TOKEN.md.
func (n *Node) metricSources() []metric.Source {
	value := func(read func() float64) func() map[string]float64 {
		return func() map[string]float64 { return metric.Value(read()) }
	}
	age := func(kind heartbeat.Kind) func() map[string]float64 {
		return func() map[string]float64 {
			age, ok := n.cache.age(n.clock.Now(), kind)
			if !ok {
				return nil
			}
			return metric.Value(age.Seconds())
		}
	}
	return []metric.Source{
		{Name: "token_events_total", Help: "Decisions about flows and targets.", Label: "event", Read: n.readEvents},
		{Name: "token_passed_total", Help: "Later segments sent to the targets that their tokens name.", Read: value(func() float64 { return float64(n.router.Stats().Passed) })},
		{Name: "token_flows", Help: "Flows that this VM has seen lately.", Gauge: true, Read: value(func() float64 { return float64(n.router.Stats().Flows) })},
		{Name: "token_targets", Help: "Targets known, those that have gone lately included.", Gauge: true, Read: value(func() float64 { return float64(n.router.Stats().Targets) })},
		{Name: "token_targets_silent", Help: "Targets that left flows unanswered and get no new ones.", Gauge: true, Read: value(func() float64 { return float64(n.router.Stats().Silent) })},
		{Name: "token_targets_failing", Help: "Targets that fail more than the others of their service and get few flows.", Gauge: true, Read: value(func() float64 { return float64(n.router.Stats().Failing) })},
		{Name: "token_room_admitted", Help: "Share of ordinary new flows that are admitted, by service: 1 unless its targets reject requests for lack of room.", Label: "service", Gauge: true, Read: n.readRooms(func(s room.State) float64 { return s.Admitted })},
		{Name: "token_room_rejected", Help: "Share of recent requests that targets rejected, by service.", Label: "service", Gauge: true, Read: n.readRooms(func(s room.State) float64 { return s.Rejected })},
		{Name: "token_room_latency_ratio", Help: "Latency of recent requests as a multiple of that under light load, by service.", Label: "service", Gauge: true, Read: n.readRooms(func(s room.State) float64 { return s.LatencyRatio })},
		{Name: "token_outcomes_total", Help: "Requests by what became of them, as far as their callers' segments tell.", Label: "outcome", Read: n.readOutcomes},
		{Name: "token_routes_version", Help: "Version of the routing table in force.", Gauge: true, Read: value(func() float64 { return float64(n.router.Version()) })},
		{Name: "token_routes_age_seconds", Help: "Time since the store was known to hold no newer routing table.", Gauge: true, Read: age(heartbeat.Routes)},
		{Name: "token_targets_age_seconds", Help: "Time since the store was known to hold no newer registrations.", Gauge: true, Read: age(heartbeat.Targets)},
		{Name: "token_evacuated", Help: "Data centres whose targets get no new flow because operators say so.", Gauge: true, Read: value(func() float64 { return float64(n.router.Stats().Evacuated) })},
		{Name: "token_evacuations_age_seconds", Help: "Time since the store was known to hold no newer evacuations.", Gauge: true, Read: age(heartbeat.Evacuations)},
		{Name: "token_evacuations_unknown_total", Help: "Evacuations of data centres that the settings do not name.", Read: value(func() float64 { return float64(n.counters.unknownEvacuations.Load()) })},
		{Name: "token_peers", Help: "VMs heard, by data centre.", Label: "data_centre", Gauge: true, Read: n.readPeers},
		{Name: "token_messages_malformed_total", Help: "Messages of VMs that could not be decoded.", Read: value(func() float64 { return float64(n.counters.malformed.Load()) })},
		{Name: "token_segments_malformed_total", Help: "Datagrams of callers that could not be decoded.", Read: value(n.readMalformed)},
		{Name: "token_changes_left_total", Help: "Changes of other VMs that did not apply here; the whole is asked for instead.", Read: value(func() float64 { return float64(n.counters.conflictingChanges.Load()) })},
		{Name: "token_passed_over_total", Help: "News that was older than what the VM held, by where it came from.", Label: "source", Read: n.cache.outdatedCounts},
		{Name: "token_directory_counts", Help: "Calls to the platform's store, those that failed, what could not be read, and its era.", Label: "event", Gauge: true, Read: n.readDirectory},
		{Name: "token_link_received_share", Help: "Received bytes of the last moments as a share of what the VM's link carries; 0 if its rate is unknown.", Gauge: true, Read: value(func() float64 { return n.linkLoad().Received })},
		{Name: "token_link_sent_share", Help: "Sent bytes of the last moments as a share of what the VM's link carries; 0 if its rate is unknown.", Gauge: true, Read: value(func() float64 { return n.linkLoad().Sent })},
		{Name: "token_link_backlog_seconds", Help: "Time that a datagram waits on the VM's link behind those sent before it.", Gauge: true, Read: value(func() float64 { return n.linkLoad().Backlog.Seconds() })},
		{Name: "token_peers_congested", Help: "VMs of the own data centre that report congestion of their own links.", Gauge: true, Read: value(func() float64 { return float64(n.peerTable.CongestedCount(n.clock.Now())) })},
		{Name: "token_link_held", Help: "First segments of bulk flows that wait for the VM's own link.", Gauge: true, Read: value(func() float64 { return float64(n.router.HeldCount()) })},
		{Name: "token_link_refused_total", Help: "Bulk flows refused because they would wait too long for the VM's own link.", Label: "cause", Read: n.readLinkRefusals},
		{Name: "token_link_paced", Help: "Datagrams that wait in the VM because its own link would lose them.", Gauge: true, Read: value(func() float64 { return float64(n.pacer.Held()) })},
		{Name: "token_link_paced_dropped_total", Help: "Datagrams dropped because they would wait too long for the VM's own link.", Read: value(func() float64 { return float64(n.pacer.Dropped()) })},
		{Name: "token_log_lines_dropped_total", Help: "Log lines left out, by bounds or because nobody read them.", Read: value(func() float64 { return float64(n.counters.linesDropped.Load()) })},
	}
}

func (n *Node) linkLoad() baobabstep.LinkLoad { return n.pacer.Load(n.clock.Now()) }

func (n *Node) readEvents() map[string]float64 {
	events := make(map[string]float64)
	for name, count := range n.router.Stats().Events {
		events[name] = float64(count)
	}
	return events
}

func (n *Node) readLinkRefusals() map[string]float64 {
	refusals := make(map[string]float64)
	for cause, count := range n.router.Stats().LinkRefusals {
		refusals[cause] = float64(count)
	}
	return refusals
}

// readRooms returns a function that reads one figure of the admission to each service.
func (n *Node) readRooms(figure func(room.State) float64) func() map[string]float64 {
	return func() map[string]float64 {
		figures := make(map[string]float64)
		for service, state := range n.router.Stats().Rooms {
			figures[service] = figure(state)
		}
		return figures
	}
}

func (n *Node) readOutcomes() map[string]float64 {
	outcomes := make(map[string]float64)
	for name, count := range n.router.Stats().Outcomes {
		outcomes[name] = float64(count)
	}
	return outcomes
}

// readMalformed returns the number of datagrams that the sockets could not decode.
func (n *Node) readMalformed() float64 {
	sum := uint64(0)
	for _, segments := range n.options.Segments {
		if counting, ok := segments.(interface{ Malformed() uint64 }); ok {
			sum += counting.Malformed()
		}
	}
	return float64(sum)
}

func (n *Node) readDirectory() map[string]float64 {
	counts := make(map[string]float64)
	if counting, ok := n.options.Directory.(interface{ Counts() map[string]uint64 }); ok {
		for name, count := range counting.Counts() {
			counts[name] = float64(count)
		}
	}
	return counts
}

func (n *Node) readPeers() map[string]float64 {
	peers := make(map[string]float64)
	for name, vms := range n.peerTable.LiveCounts(n.clock.Now()) {
		peers[name] = float64(vms)
	}
	return peers
}
