package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a full link when thirty VMs request a table of 18 KB at the same time: if all
// were served at once, callers' segments would be lost.
func TestServeRateLimit(t *testing.T) {
	n := newQuietNode(new(countingMessages))
	now := time.Unix(1_800_000_000, 0)
	served := 0
	for vm := range 30 {
		if n.reserveServe(now, peerAddress(vm), 18_000) {
			served++
		}
	}
	qt.Assert(t, served, qt.Equals, 1)
	next := now.Add(time.Duration(18_000 / n.serveRate() * float64(time.Second)))
	qt.Assert(t, n.reserveServe(next.Add(-1), peerAddress(0), 100), qt.IsFalse)
	qt.Assert(t, n.reserveServe(next, peerAddress(0), 100), qt.IsTrue)
	next = next.Add(time.Duration(100/n.serveRate()*float64(time.Second)) + servePriority)
	qt.Assert(t, n.reserveServe(next.Add(-1), peerAddress(1), 100), qt.IsFalse)
	qt.Assert(t, n.reserveServe(next, peerAddress(1), 100), qt.IsTrue)
}
