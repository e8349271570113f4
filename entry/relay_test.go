package entry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/io/setting"
)

// dataCentreFleet simulates the VMs of one data centre, which know each other and hold the
// same registrations. The test delivers their messages explicitly.
type dataCentreFleet struct {
	t     testing.TB
	now   time.Time
	nodes []*Node
	queue []modelMessage
	// drop reports whether a message is lost; nil loses none.
	drop func(modelMessage) bool
	// sent counts the datagrams sent by each VM, and kinds the delivered ones by kind.
	sent  map[netip.AddrPort]int
	kinds map[string]int
}

func (f *dataCentreFleet) Now() time.Time { return f.now }

// fleetMessages queues the messages that one VM sends.
type fleetMessages struct {
	countingMessages
	fleet *dataCentreFleet
	from  netip.AddrPort
}

func (x *fleetMessages) Send(to netip.AddrPort, raw []byte) {
	x.fleet.sent[x.from]++
	x.fleet.queue = append(x.fleet.queue, modelMessage{x.from, to, slices.Clone(raw)})
}

func (f *dataCentreFleet) newNode(i int) *Node {
	at := peerAddress(3 * i)
	return New(Options{
		Settings:   &setting.Settings{Name: fmt.Sprintf("vm-%d", i), Region: "r", DataCentre: "dc-0", PeerAddress: at, Token: setting.TokenSettings{DrainMS: 8000}},
		LogLimiter: dropAllLines{}, Logger: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Messages: &fleetMessages{fleet: f, from: at}, Rand: rand.New(rand.NewPCG(1, uint64(i))), Clock: f,
	})
}

func newDataCentreFleet(t testing.TB, vms, targets int) *dataCentreFleet {
	t.Helper()
	f := &dataCentreFleet{t: t, now: benchEpoch, sent: map[netip.AddrPort]int{}, kinds: map[string]int{}}
	list := benchRegistrations(targets)
	for i := range vms {
		n := f.newNode(i)
		_, _, err := n.cache.updateTargets(f.now, list, baobabstep.Revision{Number: 1}, origin{source: sourceStore, confirmedAt: f.now})
		qt.Assert(t, err, qt.IsNil)
		f.nodes = append(f.nodes, n)
	}
	f.exchangeHeartbeats()
	return f
}

// exchangeHeartbeats delivers one heartbeat from each VM to every other.
func (f *dataCentreFleet) exchangeHeartbeats() {
	for i, n := range f.nodes {
		held := n.cache.announcedStates(f.now)
		h := &heartbeat.Heartbeat{
			From: n.options.Settings.VM().ID, DataCentre: "dc-0", Incarnation: 1, Sequence: uint64(1000 + i),
			Versions: [2]heartbeat.VersionInfo(held[:2]),
		}
		for j, other := range f.nodes {
			if i != j {
				other.handleHeartbeat(f.now, n.options.Settings.PeerAddress, h)
			}
		}
	}
	for _, n := range f.nodes {
		n.peerTable.Tick(f.now.Add(time.Second), n.ownState(f.now))
	}
	f.queue = nil
	clear(f.sent)
}

// deliver delivers queued messages, and those sent in response, until none is left.
func (f *dataCentreFleet) deliver() {
	for len(f.queue) > 0 {
		x := f.queue[0]
		f.queue = f.queue[1:]
		if f.drop != nil && f.drop(x) {
			continue
		}
		m, err := heartbeat.Decode(x.raw)
		qt.Assert(f.t, err, qt.IsNil)
		f.kinds[kindOf(m)]++
		for _, n := range f.nodes {
			if n.options.Settings.PeerAddress == x.to {
				n.receive(f.now, x.from, x.raw)
			}
		}
	}
}

func kindOf(m *heartbeat.Message) string {
	switch {
	case m.Request != nil:
		return "want"
	case m.Chunk != nil:
		return "piece"
	case m.Change != nil:
		return "change"
	case m.Fragment != nil:
		return "fragment"
	case m.Section != nil:
		return "section"
	}
	return "other"
}

// drainTargets applies a store revision that marks targets as draining to the first VM.
func (f *dataCentreFleet) drainTargets(revision uint64, targets []baobabstep.Registration) {
	changes := make([]baobabstep.RegistrationChange, len(targets))
	for i, r := range targets {
		r.Draining = true
		changes[i] = baobabstep.RegistrationChange{Registration: r, Revision: baobabstep.Revision{Number: revision}}
	}
	changed, change, err := f.nodes[0].cache.applyTargetChanges(f.now, changes, baobabstep.Revision{Number: revision})
	qt.Assert(f.t, err, qt.IsNil)
	qt.Assert(f.t, changed, qt.IsTrue)
	f.nodes[0].publishChange(change, true)
}

// outdatedVMs returns the number of VMs whose registrations differ from the first VM's.
func (f *dataCentreFleet) outdatedVMs() (vms int) {
	want := f.nodes[0].cache.state(heartbeat.Targets).sum
	for _, n := range f.nodes {
		if n.cache.state(heartbeat.Targets).sum != want {
			vms++
		}
	}
	return vms
}

// Guards against changes sent as the whole list, or sent to all VMs by the one that read them.
func TestChangeIsRelayed(t *testing.T) {
	const targets = 1000
	for _, c := range []struct{ vms, changed, fragments int }{{5, 1, 1}, {17, 1, 1}, {40, 3, 1}, {40, 300, 15}, {120, 300, 15}} {
		t.Run(fmt.Sprintf("vms=%d/changed=%d", c.vms, c.changed), func(t *testing.T) {
			f := newDataCentreFleet(t, c.vms, targets)
			f.drainTargets(2, benchRegistrations(targets)[:c.changed])
			f.deliver()
			qt.Assert(t, f.outdatedVMs(), qt.Equals, 0)
			datagrams := f.kinds["change"] + f.kinds["fragment"]
			qt.Assert(t, datagrams <= (c.vms-1)*c.fragments, qt.IsTrue, qt.Commentf("%d datagrams", datagrams))
			qt.Assert(t, f.kinds["piece"], qt.Equals, 0)
			for at, sent := range f.sent {
				qt.Assert(t, sent <= 16*c.fragments, qt.IsTrue, qt.Commentf("%v sent %d", at, sent))
			}
		})
	}
}

// Guards against sending the whole list to a VM that only missed some changes.
func TestMissedChangesAreRepaired(t *testing.T) {
	f := newDataCentreFleet(t, 40, 1000)
	list := benchRegistrations(1000)
	lagging := f.nodes[7].options.Settings.PeerAddress
	f.drop = func(x modelMessage) bool { return x.to == lagging }
	f.drainTargets(2, list[:40])
	f.deliver()
	f.drainTargets(3, list[40:60])
	f.deliver()
	qt.Assert(t, f.outdatedVMs() > 0, qt.IsTrue)
	f.drop = nil
	f.runUntilEqual(20)
	qt.Assert(t, f.outdatedVMs(), qt.Equals, 0)
	qt.Assert(t, f.kinds["piece"], qt.Equals, 0)
	qt.Assert(t, f.kinds["want"] > 0, qt.IsTrue)
}

// Guards against a VM that keeps requesting changes that it cannot apply.
func TestSectionsAfterConflictingChange(t *testing.T) {
	f := newDataCentreFleet(t, 5, 100)
	other := benchRegistrations(101)[:100]
	other[3].Release = "another"
	last := f.nodes[4]
	_, _, err := last.cache.updateTargets(f.now, other, baobabstep.Revision{Number: 2}, origin{source: sourceStore, confirmedAt: f.now})
	qt.Assert(t, err, qt.IsNil)
	f.drainTargets(3, benchRegistrations(100)[:1])
	f.deliver()
	f.runUntilEqual(20)
	qt.Assert(t, f.outdatedVMs(), qt.Equals, 0)
	qt.Assert(t, f.kinds["section"] > 0, qt.IsTrue)
}

// Guards against resending a large change indefinitely when a slow link drops some of its
// datagrams.
func TestLargeChangeOverSlowLinks(t *testing.T) {
	const targets, vms = 3000, 20
	f := newDataCentreFleet(t, vms, targets)
	burst := map[[2]netip.AddrPort]int{}
	f.drop = func(x modelMessage) bool { // each link delivers at most 48 KB per sender and tick
		path := [2]netip.AddrPort{x.from, x.to}
		burst[path] += len(x.raw)
		return burst[path] > 48_000
	}
	f.drainTargets(2, benchRegistrations(targets)[:1500])
	f.deliver()
	for range 100 {
		clear(burst)
		f.runUntilEqual(1)
	}
	qt.Assert(t, f.outdatedVMs(), qt.Equals, 0)
}
