package node

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/io/peer"
	"baobabstep/io/platform"
	"baobabstep/io/setting"
	standin "baobabstep/standin/platform"
)

// manualClock is set by the test.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// quietPeers is a peers port with nobody at the other end.
type quietPeers struct {
	messages chan baobabstep.PeerMessage
	stats    peer.Stats
}

func (p quietPeers) Stats() peer.Stats { return p.stats }

func (quietPeers) Send(baobabstep.VMID, baobabstep.PeerMessage) error { return nil }
func (p quietPeers) Messages() <-chan baobabstep.PeerMessage          { return p.messages }
func (quietPeers) SetPeers([]baobabstep.VM)                           {}
func (p quietPeers) Close() error                                     { return nil }

// heldPackets is a packets port that keeps what is sent.
type heldPackets struct {
	mu   sync.Mutex
	sent baobabstep.Outbox
}

func (*heldPackets) Receive(ctx context.Context, _ []baobabstep.Packet) (int, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (h *heldPackets) Send(batch []baobabstep.OutgoingPacket) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sent = append(h.sent, batch...)
	return nil
}

func (*heldPackets) Close() error { return nil }

var (
	serviceAddress = netip.MustParseAddrPort("127.10.0.1:7000")
	callerAddress  = netip.MustParseAddrPort("127.0.0.9:5000")
)

// fixture is one VM with the example configuration, stepped by the test.
type fixture struct {
	*testing.T
	node    *Node
	clock   *manualClock
	packets *heldPackets
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	export, err := platform.LoadExport("../examples/tas-south")
	qt.Assert(t, err, qt.IsNil)
	return newFixtureWith(t, export)
}

func newFixtureWith(t *testing.T, export config.Export) *fixture {
	t.Helper()
	clock := &manualClock{now: time.Unix(1e9, 0)}
	packets := &heldPackets{}
	n, err := New(Options{
		Settings: &setting.Settings{
			Name: "hobart-a-1", Region: "tas-south", DataCentre: "hobart-a",
			MetricsAddress: netip.MustParseAddrPort("127.0.0.1:1"), StopTimeoutMS: 1000,
		},
		Logger: &log.Logger{Handler: discard.New()}, Clock: clock, Platform: importExport(t, export),
		Peers: quietPeers{}, Packets: []baobabstep.Packets{packets}, Book: new(Book), Seed: 1,
	})
	qt.Assert(t, err, qt.IsNil)
	return &fixture{T: t, node: n, clock: clock, packets: packets}
}

// importExport returns a platform that holds a configuration.
func importExport(t *testing.T, export config.Export) baobabstep.Platform {
	t.Helper()
	server := httptest.NewServer(standin.New(standin.Options{}))
	t.Cleanup(server.Close)
	client := platform.NewClient(platform.Options{URL: server.URL})
	result := platform.Import(t.Context(), client, export, config.Change{ID: "first", Operator: "test", Reason: "test", Action: "config import"})
	qt.Assert(t, result.Err, qt.IsNil)
	return client
}

// readConfig reads the platform once, as the reader does.
func (f *fixture) readConfig() {
	f.Helper()
	f.tick() // the replica learns that its VM reads the platform
	ctx, cancel := context.WithTimeout(f.Context(), readLimit)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- f.node.readConfig(ctx) }()
	for f.node.replica.Current() == nil && ctx.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	cancel()
	qt.Assert(f, <-ended, qt.IsNil)
	qt.Assert(f, f.node.replica.Current(), qt.IsNotNil)
}

// readLimit ends a test whose VM never reads, instead of the whole test run.
const readLimit = 20 * time.Second

// run lets time pass, with the control goroutine's steps taken by the test.
func (f *fixture) run(d time.Duration) {
	for passed := time.Duration(0); passed < d; passed += controlTick {
		f.clock.advance(controlTick)
		f.tick()
	}
}

func (f *fixture) tick() {
	var out baobabstep.Outbox
	now := f.clock.Now()
	f.node.noteTick(now)
	f.node.work.Tick(now, &out)
	f.node.tickControl(f.Context(), now, &out)
}

// handle gives the VM one packet as a data goroutine does, and returns what it
// wants sent.
func (f *fixture) handle(p baobabstep.Packet) baobabstep.Outbox {
	var out baobabstep.Outbox
	now := f.clock.Now()
	f.node.notePause(now)
	f.node.handle(now, &p, &out)
	return out
}

func (f *fixture) joined() {
	f.Helper()
	f.readConfig()
	f.run(readyAnyway + time.Second)
	qt.Assert(f, f.node.Ready(), qt.IsNil)
}

func openPacket(number uint64) baobabstep.Packet {
	return baobabstep.Packet{
		Kind: baobabstep.KindOpen,
		Flow: baobabstep.FlowKey{Caller: callerAddress, Service: serviceAddress, Number: number},
	}
}

// A VM that was just started is asked for nothing until it has a configuration
// and knows its place; alone, it serves after a bounded time.
func TestReady(t *testing.T) {
	f := newFixture(t)
	f.tick()
	qt.Assert(t, f.node.Ready(), qt.ErrorMatches, ".*no configuration yet.*")
	f.readConfig()
	f.run(time.Second)
	qt.Assert(t, f.node.Ready(), qt.ErrorMatches, ".*not settled yet.*")
	f.run(readyAnyway)
	qt.Assert(t, f.node.Ready(), qt.IsNil)
	f.node.stopping.Store(true)
	qt.Assert(t, baobabstep.CodeOf(f.node.Ready()), qt.Equals, baobabstep.CodeStopping)
}

// A VM that joins hands its first requests to a target that has been draining
// for seconds: the news of it went to the members before, and the next round is
// up to 500 ms away. It does not join before a member has told it what is
// leaving, and asks again when the answer is old; without members it serves.
func TestJoiningVMWaitsForAnAnswerOnLeavingTargets(t *testing.T) {
	f := newFixture(t)
	f.readConfig()
	f.run(controlTick)
	members := []baobabstep.VM{{ID: baobabstep.MakeVMID("hobart-b-1"), Name: "hobart-b-1"}}
	f.node.view.Store(&baobabstep.View{Self: baobabstep.MakeVMID("hobart-a-1"), Members: members})
	now := f.clock.Now().Add(readySettle)
	qt.Check(t, f.node.settled(now), qt.ErrorMatches, ".*no member has said lately which targets are leaving.*")

	member, err := cbor.Marshal(map[string]any{"answer": true})
	qt.Assert(t, err, qt.IsNil)
	f.node.learnTargets(now, members[0].ID, member)
	qt.Check(t, f.node.settled(now.Add(answerAge)), qt.IsNil)
	qt.Check(t, f.node.settled(now.Add(answerAge+time.Millisecond)), qt.IsNotNil)

	f.node.view.Store(&baobabstep.View{Self: baobabstep.MakeVMID("hobart-a-1")})
	qt.Check(t, f.node.settled(now), qt.IsNil)
}

func TestOpenGoesToATargetOfTheService(t *testing.T) {
	f := newFixture(t)
	f.joined()
	out := f.handle(openPacket(1))
	qt.Assert(t, out, qt.HasLen, 1)
	qt.Check(t, out[0].Dest, qt.Equals, baobabstep.DestTarget)
	chosen := f.node.config.Load().Target(out[0].Packet.Target)
	qt.Check(t, chosen.Service, qt.Equals, f.node.config.Load().ServiceAt(serviceAddress).ID)
}

// The caller's open waited in the socket of a VM that was stopped for longer
// than the pause limit. The data goroutine wakes before the control goroutine:
// it must not choose a target, since another VM may have done so meanwhile.
func TestPacketAfterAPauseIsNotDecided(t *testing.T) {
	f := newFixture(t)
	f.joined()
	f.clock.advance(pauseLimit + time.Millisecond)
	out := f.handle(openPacket(2))
	for _, send := range out {
		qt.Check(t, send.Dest, qt.Not(qt.Equals), baobabstep.DestTarget)
	}
	qt.Check(t, f.node.paused.Load(), qt.IsTrue)
}

// A planned stop with nothing to hand over ends once the fabric leaves the VM
// alone, and leaves nothing.
func TestPlannedStopOfAnIdleVM(t *testing.T) {
	f := newFixture(t)
	f.joined()
	ctx, cancel := context.WithTimeout(t.Context(), readLimit)
	defer cancel()
	left := make(chan stopResult, 1)
	go func() { left <- f.node.handOver(ctx) }()
	for {
		select {
		case got := <-left:
			qt.Assert(t, got, qt.Equals, stopResult{})
			return
		case <-time.After(time.Millisecond):
			f.clock.advance(controlTick)
		}
	}
}

var documentedMetric = regexp.MustCompile("(?m)^\\| `baobabstep_(\\w+)` \\|")

func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/METRICS.md")
	qt.Assert(t, err, qt.IsNil)
	var documented []string
	for _, row := range documentedMetric.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, row[1])
	}
	var registered []string
	for _, source := range newFixture(t).node.sources() {
		registered = append(registered, source.Name)
	}
	qt.Assert(t, strings.Join(documented, "\n"), qt.Equals, strings.Join(registered, "\n"))
}

// A VM is started with peer_keys of its own by mistake. The others refuse it, so
// it hears of nobody; it must not take that for being cut off and serve beside
// the fleet, but say what is wrong for as long as it lasts.
func TestVMWithWrongKeysIsNeverReady(t *testing.T) {
	f := newFixture(t)
	f.node.options.Peers = quietPeers{stats: peer.Stats{Refused: 3}}
	f.readConfig()
	f.run(2 * readyAnyway)
	qt.Assert(t, f.node.Ready(), qt.ErrorMatches, ".*no other VM has one of this VM's peer_keys.*")
	f.node.options.Peers = quietPeers{stats: peer.Stats{Refused: 3, Received: 1}}
	f.run(time.Second)
	qt.Assert(t, f.node.Ready(), qt.IsNil)
}
