package node

import (
	"sync"
	"sync/atomic"

	"baobabstep/io/metric"
	"baobabstep/io/packet"
	"baobabstep/io/peer"
)

// counters are the node's own counts; the parts count for themselves.
type counters struct {
	invariants   atomic.Uint64
	fromVMs      atomic.Uint64
	unexpected   atomic.Uint64
	sendErrors   atomic.Uint64
	controlBytes eventCounts
	controlNanos atomic.Uint64
	peerErrors   atomic.Uint64
	malformed    atomic.Uint64
	streams      eventCounts
}

// eventCounts counts events by name.
type eventCounts struct {
	mu     sync.Mutex
	counts map[string]float64
}

func (e *eventCounts) add(name string) { e.addN(name, 1) }

func (e *eventCounts) addN(name string, n float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts = make(map[string]float64)
	}
	e.counts[name] += n
}

func (e *eventCounts) read() map[string]float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]float64, len(e.counts))
	for name, count := range e.counts {
		counts[name] = count
	}
	return counts
}

func count(c *atomic.Uint64) func() map[string]float64 {
	return func() map[string]float64 { return metric.Value(float64(c.Load())) }
}

// sources are the metrics of a VM, in the order of docs/METRICS.md.
func (n *Node) sources() []metric.Source {
	return []metric.Source{
		{Name: "invariant_failures_total", Help: "Broken invariants.", Read: count(&n.counts.invariants)},
		{Name: "packets_from_vms_total", Help: "Packets received from other VMs.", Read: count(&n.counts.fromVMs)},
		{Name: "packets_unexpected_total", Help: "Packets of a kind that a VM does not take.", Read: count(&n.counts.unexpected)},
		{Name: "send_errors_total", Help: "Failed sends of a batch.", Read: count(&n.counts.sendErrors)},
		{Name: "peer_send_errors_total", Help: "Control messages that could not be queued.", Read: count(&n.counts.peerErrors)},
		{Name: "peer_malformed_total", Help: "Control messages that could not be decoded.", Read: count(&n.counts.malformed)},
		{Name: "control_bytes_total", Help: "Bytes of control sent: by topic, and of records of flows.", Label: "topic", Read: n.controlBytes},
		{Name: "claim_bytes_total", Help: "Bytes sent to claim requests that are not idempotent; they grow with the requests.", Read: n.claimBytes},
		{Name: "control_cpu_seconds_total", Help: "Time spent in control work.", Read: n.controlSeconds},
		{Name: "config_version", Help: "Configuration version in force.", Gauge: true, Read: n.configVersion},
		{Name: "members", Help: "VMs of the region that may hold flows.", Gauge: true, Read: n.memberCount},
		{Name: "flow_events_total", Help: "Events of flows.", Label: "event", Read: n.flowEvents},
		{Name: "flows", Help: "Flow records by state.", Label: "state", Gauge: true, Read: n.flowStates},
		{Name: "flow_table_bytes", Help: "Memory of the flow table.", Gauge: true, Read: func() map[string]float64 { return metric.Value(float64(n.flows.Stats().Bytes)) }},
		{Name: "request_counts", Help: "Counts and gauges of the request ledger.", Label: "event", Gauge: true, Read: func() map[string]float64 { return metric.Fields(n.work.Stats()) }},
		{Name: "member_counts", Help: "Counts and gauges of the membership.", Label: "event", Gauge: true, Read: func() map[string]float64 { return metric.Fields(n.fleet.Stats()) }},
		{Name: "config_counts", Help: "Counts of the spread of the configuration.", Label: "event", Gauge: true, Read: n.configCounts},
		{Name: "peer_counts", Help: "Counts and gauges of connections between VMs.", Label: "event", Gauge: true, Read: n.peerCounts},
		{Name: "packet_counts", Help: "Datagrams received, sent and dropped.", Label: "event", Gauge: true, Read: n.packetCounts},
		{Name: "stream_events_total", Help: "Events of TCP connections.", Label: "event", Read: n.counts.streams.read},
	}
}

// controlBytes counts what is sent, so that the sum over a fleet counts each
// byte once.
func (n *Node) controlBytes() map[string]float64 {
	bytes := n.counts.controlBytes.read()
	bytes["records"] = n.packetCounts()["record_bytes"]
	return bytes
}

func (n *Node) claimBytes() map[string]float64 {
	return metric.Value(n.packetCounts()["claim_bytes"])
}

func (n *Node) controlSeconds() map[string]float64 {
	return metric.Value(float64(n.counts.controlNanos.Load()) / 1e9)
}

func (n *Node) configVersion() map[string]float64 {
	if c := n.config.Load(); c != nil {
		return metric.Value(float64(c.Version))
	}
	return metric.Value(0)
}

func (n *Node) memberCount() map[string]float64 {
	if v := n.view.Load(); v != nil {
		return metric.Value(float64(len(v.Members)))
	}
	return metric.Value(0)
}

func (n *Node) flowEvents() map[string]float64 { return metric.Counts(n.flows.Stats().Events) }

func (n *Node) flowStates() map[string]float64 { return metric.Counts(n.flows.Stats().Flows) }

func (n *Node) configCounts() map[string]float64 {
	return metric.Fields(n.replica.Status(n.clock.Now()).Counts)
}

func (n *Node) peerCounts() map[string]float64 {
	if peers, ok := n.options.Peers.(interface{ Stats() peer.Stats }); ok {
		return metric.Fields(peers.Stats())
	}
	return nil
}

func (n *Node) packetCounts() map[string]float64 {
	sum := make(map[string]float64)
	for _, packets := range n.options.Packets {
		if conn, ok := packets.(interface{ Stats() packet.Stats }); ok {
			sum = metric.Sum(sum, metric.Fields(conn.Stats()))
		}
	}
	return sum
}
