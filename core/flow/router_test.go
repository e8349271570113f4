package flow_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/flow"
)

// singleRouter is one router of a fleet of two, whose output a test checks.
type singleRouter struct {
	*testNetwork
	router flow.Policy
	other  baobabstep.VMID
	key    baobabstep.FlowKey
}

// newSingleRouter returns the router that is the holder of flow 1.
func newSingleRouter(t *testing.T) *singleRouter {
	x := newTestNetwork(t, fleet{vms: 2, dcs: 1, targets: 3})
	key := x.key(1)
	o := x.owners(key, x.vms)
	return &singleRouter{testNetwork: x, router: x.routers[o.Holder], other: o.Second, key: key}
}

func (a *singleRouter) handle(p baobabstep.Packet) baobabstep.Outbox {
	var out baobabstep.Outbox
	p.Flow = a.key
	a.router.Handle(a.now, &p, &out)
	return out
}

// learn sends the router a record of target i from the other VM.
func (a *singleRouter) learn(purpose baobabstep.Purpose, i int, confirmed bool) baobabstep.Outbox {
	s := a.config.Services[0]
	return a.handle(baobabstep.Packet{Kind: baobabstep.KindData, Route: baobabstep.Route{
		Purpose: purpose, From: a.other, Record: baobabstep.Record{
			Target: s.Targets[i].ID, Service: s.ID, Version: 1, Established: true, Confirmed: confirmed,
		},
	}})
}

// A target other than the record's sends data, so one of the two lost a
// conflict. The VM may reset the sender only if the caller is known to use the
// VM's record; otherwise it might end the flow that won.
func TestWrongTargetIsResetOnlyForAFlowInUse(t *testing.T) {
	for _, inUse := range []bool{false, true} {
		a := newSingleRouter(t)
		a.learn(baobabstep.PurposeLearn, 0, inUse)
		wrong := a.config.Services[0].Targets[1]
		out := a.handle(baobabstep.Packet{
			Kind: baobabstep.KindData, FromTarget: true, Service: wrong.Service, Target: wrong.ID,
		})
		if !inUse {
			qt.Assert(t, out, qt.HasLen, 0)
			continue
		}
		qt.Assert(t, out, qt.HasLen, 1)
		qt.Assert(t, out[0].Packet.Kind, qt.Equals, baobabstep.KindReset)
		qt.Assert(t, out[0].Packet.Target, qt.Equals, wrong.ID)
	}
}

// A VM sends a packet through this one with a record that loses against this
// VM's. The sender must receive the winning record, or it continues to use the
// losing target.
func TestLosingRecordIsCorrectedAtItsSender(t *testing.T) {
	for _, purpose := range []baobabstep.Purpose{baobabstep.PurposeReplicate, baobabstep.PurposeLearn} {
		a := newSingleRouter(t)
		a.learn(baobabstep.PurposeLearn, 0, true)
		taught := 0
		for _, s := range a.learn(purpose, 1, false) {
			if s.VM == a.other && s.Packet.Route.Purpose == baobabstep.PurposeLearn {
				taught++
				qt.Assert(t, s.Packet.Route.Record.Target, qt.Equals, a.config.Services[0].Targets[0].ID)
			}
			if s.Dest == baobabstep.DestTarget && s.Packet.Kind == baobabstep.KindData {
				qt.Assert(t, s.Packet.Target, qt.Equals, a.config.Services[0].Targets[0].ID)
			}
		}
		qt.Assert(t, taught, qt.Equals, 1)
	}
}

// A spoofed or misrouted packet may contain anything. It must not cause a
// panic, reach a target without a record, or start an endless exchange.
func TestInvalidPackets(t *testing.T) {
	a := newSingleRouter(t)
	for kind := baobabstep.KindInvalid; kind <= baobabstep.KindHealthReport; kind++ {
		for purpose := baobabstep.PurposeNone; purpose <= baobabstep.PurposeStored; purpose++ {
			for _, fromTarget := range []bool{false, true} {
				if kind == baobabstep.KindOpen {
					continue
				}
				p := baobabstep.Packet{Kind: kind, FromTarget: fromTarget, Service: 5, Target: 6}
				p.Route = baobabstep.Route{Purpose: purpose, From: 7, NTried: baobabstep.MaxTried, Exhausted: true}
				for _, s := range a.handle(p) {
					if s.Dest == baobabstep.DestTarget && s.Packet.Kind != baobabstep.KindProbe {
						t.Fatalf("%v for %v went to a target", kind, purpose)
					}
				}
			}
		}
	}
}
