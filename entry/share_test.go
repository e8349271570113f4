package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Thirty VMs ask for a table of 18 KB at one moment. Served at once, they fill
// the link of the VM that has it, and callers' segments are lost behind it.
func TestWholesArePaced(t *testing.T) {
	n := newQuietNode(new(countedMessages))
	now := time.Unix(1_800_000_000, 0)
	served := 0
	for vm := range 30 {
		if n.mayServe(now, peerAddress(vm), 18_000) {
			served++
		}
	}
	qt.Assert(t, served, qt.Equals, 1)
	next := now.Add(time.Duration(18_000 / n.serveRate() * float64(time.Second)))
	qt.Assert(t, n.mayServe(next.Add(-1), peerAddress(0), 100), qt.IsFalse)
	qt.Assert(t, n.mayServe(next, peerAddress(0), 100), qt.IsTrue)
	next = next.Add(time.Duration(100/n.serveRate()*float64(time.Second)) + servePriority)
	qt.Assert(t, n.mayServe(next.Add(-1), peerAddress(1), 100), qt.IsFalse)
	qt.Assert(t, n.mayServe(next, peerAddress(1), 100), qt.IsTrue)
}
