package entry

import (
	"context"
	"time"
)

// The fabric sends packets to a VM until two readiness checks, half a second apart, have
// failed. A VM that exited at once would drop the packets that arrive until then. It therefore
// continues to forward for at least minStopTime and until the fabric has sent nothing for
// stopQuietTime, and exits at the latest stopReserve before the stop grace ends, after which
// it would be killed.
const (
	minStopTime      = 1200 * time.Millisecond
	stopQuietTime    = 500 * time.Millisecond
	stopReserve      = 700 * time.Millisecond
	stopPollInterval = 50 * time.Millisecond
)

// drain performs a planned stop. It returns when the VM may exit, or when immediate ends.
func (n *Node) drain(immediate context.Context) {
	n.stopping.Store(true)
	start := n.clock.Now()
	n.log.Info("planned stop begins")
	n.announce(true)
	n.router.StopHolding()
	if err := n.releaseHeld(); err != nil {
		n.log.WithError(err).Warn("cannot refuse held flows")
	}
	defer n.flushPaced()
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for !n.canExit(start, n.clock.Now()) {
		select {
		case <-immediate.Done():
			return
		case <-ticker.C:
		}
	}
}

// flushPaced sends the segments that still wait for the link.
func (n *Node) flushPaced() {
	if err := n.releasePaced(n.clock.Now(), n.pacer.Flush); err != nil {
		n.log.WithError(err).Warn("cannot send held segments")
	}
}

// canExit reports whether a VM whose planned stop began at start may exit.
func (n *Node) canExit(start, now time.Time) bool {
	last := n.startedAt.Add(time.Duration(n.lastPacket.Load()))
	quiet := now.Sub(last) >= stopQuietTime && now.Sub(start) >= minStopTime
	return quiet || now.Sub(start) >= n.options.Settings.Token.StopGrace()-stopReserve
}
