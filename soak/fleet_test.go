package soak

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/platform/standin"
)

// Two runs on one machine: the second ends at once with "address already in
// use", because every run takes the same IPs. Each takes a network of its own.
func TestRunsSideBySide(t *testing.T) {
	var fleets [2]*fleet
	for n := range fleets {
		f := &fleet{store: standin.NewStore()}
		qt.Assert(t, f.serveStore(), qt.IsNil)
		defer func() { qt.Check(t, f.server.Close(), qt.IsNil) }()
		fleets[n] = f
	}
	qt.Check(t, fleets[0].at(vmNet, 1, dataPort), qt.Not(qt.Equals), fleets[1].at(vmNet, 1, dataPort))
}
