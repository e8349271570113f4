package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"baobabstep"
)

// drainInterval is the time between two steps of a planned stop.
const drainInterval = 20 * time.Millisecond

// The fabric hands packets to a VM until it has noticed that the VM is not
// ready any more. A process that ends before then takes requests and answers
// with it: callers have to repeat them, and are told "unknown" of what ran. So
// a VM with nothing left goes on passing packets on until none came from
// outside for outsideQuiet, but no longer than outsideLimit, for a fabric that
// never stops.
const (
	outsideQuiet = 500 * time.Millisecond
	outsideLimit = 5 * time.Second
)

// stopResult is what a planned stop left behind.
type stopResult struct {
	flows, requests, connections int
}

// drain is a planned stop. The order matters:
//
//  1. The peers learn that the VM leaves, so that their views drop it and new
//     work goes to others. Until they have, packets still arrive here and are
//     passed on.
//  2. Requests: no new ones are taken; those in flight finish or are refused as
//     not run while that is still true.
//  3. Flows: each record is handed to its present owners, and taken back by
//     nobody else before they confirm. The VM goes on until the fabric has
//     stopped sending to it.
//  4. TCP connections cannot move; they may finish until the limit.
//
// The data goroutines go on throughout. drain returns when nothing is left, at
// the settings' stop timeout, or when hurry ends, and logs what was cut.
func (n *Node) drain(hurry context.Context) {
	n.stopping.Store(true)
	limit, cancel := context.WithTimeout(hurry, n.options.Settings.StopTimeout())
	defer cancel()
	began := n.clock.Now()
	n.log.Info("planned stop begins")
	n.sendMember(n.fleet.Leave(began))

	cut := make(chan int, 1)
	go func() { cut <- n.stopStreams(limit) }()
	left := n.handOver(limit)
	left.connections = <-cut

	entry := n.log.WithFields(log.Fields{
		"took_ms": n.clock.Now().Sub(began).Milliseconds(), "flows_left": left.flows,
		"requests_left": left.requests, "connections_cut": left.connections,
	})
	if left == (stopResult{}) {
		entry.Info("planned stop complete")
		return
	}
	entry.Warn("planned stop cut short")
}

// handOver steps the flow router and the request engine until both are empty.
func (n *Node) handOver(limit context.Context) stopResult {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	began := n.clock.Now()
	var out baobabstep.Outbox
	for {
		now := n.clock.Now()
		out = out[:0]
		left, done := n.stopStep(began, now, &out)
		n.send(n.options.Packets[0], out)
		if done {
			return left
		}
		select {
		case <-limit.Done():
			return left
		case <-ticker.C:
		}
	}
}

// stopStep takes one step of a stop that began at began, and reports what is
// left and whether the VM may end.
func (n *Node) stopStep(began, now time.Time, out *baobabstep.Outbox) (left stopResult, done bool) {
	left = stopResult{requests: n.work.Stop(now, out), flows: n.flows.Stop(now, out)}
	return left, left == (stopResult{}) && n.leftAlone(began, now)
}

// leftAlone reports whether the fabric seems to have stopped sending to this VM,
// which began to stop at began.
func (n *Node) leftAlone(began, now time.Time) bool {
	last := n.start.Add(time.Duration(n.lastOutside.Load()))
	return min(now.Sub(last), now.Sub(began)) >= outsideQuiet || now.Sub(began) >= outsideLimit
}

func (n *Node) stopStreams(limit context.Context) (cut int) {
	if n.streams == nil {
		return 0
	}
	return n.streams.Stop(limit)
}

// closeSockets ends the data goroutines and the control path.
func (n *Node) closeSockets() {
	for _, packets := range n.options.Packets {
		if err := packets.Close(); err != nil {
			n.log.WithError(err).Warn("close packets")
		}
	}
	if err := n.options.Peers.Close(); err != nil {
		n.log.WithError(err).Warn("close peers")
	}
}
