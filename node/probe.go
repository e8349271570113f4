package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"baobabstep"
	"baobabstep/io/stream"
)

// connectProbeTimeout bounds the probe of a target that is reached over TCP.
const connectProbeTimeout = time.Second

// probe asks the targets whose probes are due for their reports.
func (n *Node) probe(ctx context.Context, now time.Time, out *baobabstep.Outbox) {
	c := n.config.Load()
	if c == nil {
		return
	}
	for _, id := range n.targets.ProbeTargets(now) {
		t := c.Target(id)
		if t == nil {
			continue
		}
		if s := c.Service(t.Service); s != nil && s.Stream {
			go n.probeConnect(ctx, id, t.Address)
			continue
		}
		out.ToTarget(&baobabstep.Packet{
			Kind: baobabstep.KindHealth, Service: t.Service, Target: id, Version: c.Version,
		})
	}
}

// probeConnect takes a target that accepts a TCP connection as healthy. Servers
// behind a stream service know nothing of health packets.
func (n *Node) probeConnect(ctx context.Context, id baobabstep.TargetID, address netip.AddrPort) {
	dialer := net.Dialer{Timeout: connectProbeTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return // No report: the registry counts the probe as unanswered.
	}
	c.Close()
	n.targets.RecordReport(n.clock.Now(), id, baobabstep.TargetReport{Healthy: true})
}

func (n *Node) newStreams(host netip.Addr) *stream.Proxy {
	return stream.New(stream.Options{
		Host: host, Near: n.self.DataCentre, Chooser: n.targets, Clock: n.clock,
		Draw: n.streamDraw.uint64, Event: n.counts.streams.add,
	})
}
