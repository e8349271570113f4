package flow_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

func TestFlowOpensCarriesDataAndCloses(t *testing.T) {
	t.Parallel()
	x := newTestNetwork(t, fleet{vms: 9, dcs: 3, targets: 6})
	for n := range 200 {
		c := x.open(n)
		x.assertAlive(c)
		o := x.owners(c.key, x.vms)
		for vm, r := range x.routers {
			e, found := r.Explain(c.key)
			qt.Assert(t, found, qt.Equals, o.Has(vm))
			if found {
				qt.Assert(t, e.Target, qt.Equals, c.opened)
				qt.Assert(t, e.State.String(), qt.Equals, "StateEstablished")
			}
		}
		x.receive(0, baobabstep.Packet{Kind: baobabstep.KindClose, Flow: c.key})
		x.run()
		for _, vm := range []baobabstep.VMID{o.Holder, o.Second} {
			e, _ := x.routers[vm].Explain(c.key)
			qt.Assert(t, e.State.String(), qt.Equals, "StateClosed")
		}
		_, holds := x.targets[c.opened].flows[c.key]
		qt.Assert(t, holds, qt.IsFalse)
	}
	for _, chooser := range x.choosers {
		for id, n := range chooser.counts {
			qt.Assert(t, n, qt.Equals, 0, qt.Commentf("target %x", id))
		}
	}
}
