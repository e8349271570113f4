package token

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

var (
	start     = time.Unix(1_800_000_000, 0)
	fixtures  = netip.MustParseAddrPort("198.18.0.1:443")
	results   = netip.MustParseAddrPort("198.18.0.2:443")
	unrouted  = netip.MustParseAddrPort("198.18.0.9:443")
	firstSeq  = uint32(1000)
	callerOne = netip.MustParseAddrPort("100.64.0.7:40001")
)

// newRouter returns a router in data centre a with a table at version 1, two targets of
// fixtures (1 in a, 2 in b) and one of results (3 in a).
func newRouter(t testing.TB) *Router {
	t.Helper()
	r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2))})
	r.SetTable(start, table(1, singleRule(fixtures, "fixtures"), singleRule(results, "results")))
	r.ConfirmTable(start)
	r.SetRegistrations(start, threeTargets())
	r.SetPeerLoads(start, nil, map[string]int{"b": 1})
	return r
}

func threeTargets() []baobabstep.Registration {
	return []baobabstep.Registration{
		registration(1, "fixtures", "a"), registration(2, "fixtures", "b"), registration(3, "results", "a"),
	}
}

func table(version uint64, rules ...baobabstep.Rule) *baobabstep.RoutingTable {
	return &baobabstep.RoutingTable{Version: version, Rules: rules}
}

func singleRule(address netip.AddrPort, service string) baobabstep.Rule {
	return baobabstep.Rule{Name: service, Address: address, Shares: []baobabstep.Share{{Service: service, Weight: 1}}}
}

func registration(id baobabstep.TargetID, service, dataCentre string) baobabstep.Registration {
	return baobabstep.Registration{
		ID: id, Service: service, DataCentre: dataCentre, Slots: 2,
		Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:80", id>>8, id&255)),
	}
}

func flowFrom(port uint16, service netip.AddrPort) baobabstep.FlowKey {
	return baobabstep.FlowKey{Caller: netip.AddrPortFrom(callerOne.Addr(), port), Service: service}
}

// handle returns what the router sends for one segment.
func handle(r *Router, now time.Time, s baobabstep.Segment) []baobabstep.OutgoingDatagram {
	var out []baobabstep.OutgoingDatagram
	r.Handle(now, &s, &out)
	return out
}

// open sends a first segment and returns the target and the token of the flow.
func open(t testing.TB, r *Router, now time.Time, key baobabstep.FlowKey) (baobabstep.TargetID, uint32) {
	t.Helper()
	out := handle(r, now, baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq})
	qt.Assert(t, out, qt.HasLen, 1)
	qt.Assert(t, out[0].Target, qt.Not(qt.Equals), baobabstep.TargetID(0))
	return out[0].Target, out[0].Token
}

func data(key baobabstep.FlowKey, token uint32) baobabstep.Segment {
	return baobabstep.Segment{Kind: baobabstep.KindData, Flow: key, Token: token, Seq: firstSeq + 1, Acked: 77, Size: 100}
}

// assertPassed checks that a later segment goes to the given target.
func assertPassed(t testing.TB, r *Router, now time.Time, s baobabstep.Segment, want baobabstep.TargetID) {
	t.Helper()
	out := handle(r, now, s)
	qt.Assert(t, out, qt.HasLen, 1)
	qt.Assert(t, out[0].Target, qt.Equals, want)
	qt.Assert(t, out[0].Token, qt.Equals, s.Token)
}

// assertReset checks that a segment is answered by a reset to its caller.
func assertReset(t testing.TB, r *Router, now time.Time, s baobabstep.Segment) {
	t.Helper()
	out := handle(r, now, s)
	qt.Assert(t, out, qt.HasLen, 1)
	qt.Assert(t, out[0].Target, qt.Equals, baobabstep.TargetID(0))
	qt.Assert(t, out[0].Flow, qt.Equals, s.Flow)
	qt.Assert(t, out[0].Seq, qt.Equals, s.Acked)
}

func assertDropped(t testing.TB, r *Router, now time.Time, s baobabstep.Segment) {
	t.Helper()
	qt.Assert(t, handle(r, now, s), qt.HasLen, 0)
}
