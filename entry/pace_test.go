package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/io/setting"
)

type syncClock struct{}

func (syncClock) Now() time.Time { return time.Now() }

// newPacedNode returns a VM with a link of 2 Mbit/s after a send of 15 segments, six of which
// exceed the backlog limit.
func newPacedNode(t testing.TB, clock baobabstep.Clock, without ...string) (*Node, *waitingSegments) {
	segments := new(waitingSegments)
	n := New(Options{
		Settings: &setting.Settings{
			Name: "vm-0", Region: "r", DataCentre: "dc-0", PeerAddress: peerAddress(0),
			Token: setting.TokenSettings{LinkMbps: 2, Without: without},
		},
		LogLimiter: dropAllLines{}, Logger: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel}, Messages: new(countingMessages),
		Rand: rand.New(rand.NewPCG(1, 2)), Clock: clock, Segments: []baobabstep.Segments{segments},
	})
	var out []baobabstep.OutgoingDatagram
	for seq := range uint32(15) {
		flow := baobabstep.FlowKey{Caller: netip.AddrPortFrom(peerAddress(9).Addr(), 1), Service: benchService}
		out = append(out, baobabstep.OutgoingDatagram{Target: 1, Flow: flow, Seq: seq, Raw: make([]byte, 1240)})
	}
	qt.Assert(t, n.send(clock.Now(), segments, out), qt.IsNil)
	return n, segments
}

func assertSent(t testing.TB, segments *waitingSegments, count int) {
	t.Helper()
	qt.Assert(t, segments.sent, qt.HasLen, count)
	for i, d := range segments.sent {
		qt.Check(t, d.Seq, qt.Equals, uint32(i))
	}
}

// Guards against held segments that are released only when other segments arrive.
func TestHeldSegmentsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, segments := newPacedNode(t, syncClock{})
		assertSent(t, segments, 9)
		qt.Check(t, n.metricValue("token_link_paced"), qt.Equals, 6.0)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error)
		go func() { ended <- n.releaseLoop(ctx) }()
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		assertSent(t, segments, 15)
		qt.Check(t, n.metricValue("token_link_paced"), qt.Equals, 0.0)
		cancel()
		qt.Check(t, <-ended, qt.IsNil)
	})
}

// Guards against a VM that loses held segments when it stops.
func TestStopSendsHeldSegments(t *testing.T) {
	n, segments := newPacedNode(t, fixedClock{})
	stopped, cancel := context.WithCancel(context.Background())
	cancel()
	n.drain(stopped)
	assertSent(t, segments, 15)
	qt.Check(t, n.meter.Load(benchEpoch).Backlog > 70*time.Millisecond, qt.IsTrue)
}

// Guards against segments that are held, or not recorded at the meter, when pacing is disabled.
func TestPacingDisabled(t *testing.T) {
	n, segments := newPacedNode(t, fixedClock{}, "pacing")
	assertSent(t, segments, 15)
	qt.Check(t, n.pacer.Held(), qt.Equals, 0)
	qt.Check(t, n.meter.Load(benchEpoch).Backlog > 70*time.Millisecond, qt.IsTrue)
}

// metricValue returns the value of a metric without labels.
func (n *Node) metricValue(name string) float64 {
	for _, source := range n.metricSources() {
		if source.Name == name {
			return source.Read()[""]
		}
	}
	return -1
}
