package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/io/setting"
)

// Guards against callers of held flows that wait for their timeout when the VM stops.
func TestStopRefusesHeldFlows(t *testing.T) {
	segments := new(waitingSegments)
	n := New(Options{
		Settings: &setting.Settings{
			Name: "vm-0", Region: "r", DataCentre: "dc-0", PeerAddress: peerAddress(0),
			Token: setting.TokenSettings{LinkMbps: 10},
		},
		LogLimiter: dropAllLines{}, Logger: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Messages: new(countingMessages),
		Rand: rand.New(rand.NewPCG(1, 2)), Clock: fixedClock{}, Segments: []baobabstep.Segments{segments},
	})
	n.router.SetTable(benchEpoch, testTable())
	n.router.SetRegistrations(benchEpoch, []baobabstep.Registration{{ID: 1, Service: "fixtures", DataCentre: "dc-0", Slots: 2}})
	var out []baobabstep.OutgoingDatagram
	for port := range uint16(20) {
		sendUpload(n, port, &out)
	}
	held := n.router.HeldCount()
	qt.Assert(t, held > 0, qt.IsTrue)
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	n.drain(stopped)
	qt.Check(t, n.router.HeldCount(), qt.Equals, 0)
	qt.Assert(t, segments.sent, qt.HasLen, held)
	for _, reset := range segments.sent {
		qt.Check(t, reset.Target, qt.Equals, baobabstep.TargetID(0))
	}
}

// sendUpload simulates a flow with one large request. The first three requests are answered, so
// that the VM classifies the route's flows as bulk.
func sendUpload(n *Node, port uint16, out *[]baobabstep.OutgoingDatagram) {
	flow := baobabstep.FlowKey{Caller: netip.AddrPortFrom(peerAddress(9).Addr(), port), Service: benchService}
	before := len(*out)
	n.router.Handle(benchEpoch, &baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flow, Seq: 1000}, out)
	if len(*out) == before || port >= 3 {
		return
	}
	s := baobabstep.Segment{Kind: baobabstep.KindData, Flow: flow, Token: (*out)[before].Token, Seq: 1001, Acked: 1, Size: 1200}
	for range 34 {
		n.router.Handle(benchEpoch, &s, out)
		s.Seq += 1200
	}
	s.Kind, s.Size, s.Acked = baobabstep.KindClose, 0, 300
	n.router.Handle(benchEpoch, &s, out)
}
