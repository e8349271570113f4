package entry

import (
	"context"
	"time"
)

// The fabric hands packets to a VM until two readiness checks, half a second
// apart, have failed. A VM that ended at once would drop what arrives until
// then. So it goes on forwarding until the fabric has been quiet for stopQuiet,
// at least stopLeast, and ends stopReserve before it would be killed.
const (
	stopLeast   = 1200 * time.Millisecond
	stopQuiet   = 500 * time.Millisecond
	stopReserve = 700 * time.Millisecond
	stopPoll    = 50 * time.Millisecond
)

// drain is a planned stop. It returns when the VM may end.
func (n *Node) drain(hurry context.Context) {
	n.stopping.Store(true)
	began := n.clock.Now()
	n.log.Info("planned stop begins")
	n.announce(true)
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for !n.mayEnd(began, n.clock.Now()) {
		select {
		case <-hurry.Done():
			return
		case <-ticker.C:
		}
	}
}

// mayEnd tells whether a VM that began to stop may end.
func (n *Node) mayEnd(began, now time.Time) bool {
	last := n.started.Add(time.Duration(n.lastPacket.Load()))
	quiet := now.Sub(last) >= stopQuiet && now.Sub(began) >= stopLeast
	return quiet || now.Sub(began) >= n.o.Settings.Token.StopGrace()-stopReserve
}
