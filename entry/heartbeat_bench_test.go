package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// countingMessages counts messages instead of sending them.
type countingMessages struct{ messages, bytes int }

func (*countingMessages) SetSecret([]byte) error { return nil }
func (c *countingMessages) Send(_ netip.AddrPort, m []byte) {
	c.messages++
	c.bytes += len(m)
}
func (*countingMessages) Receive(context.Context, func(netip.AddrPort, []byte)) error { return nil }
func (*countingMessages) Close() error                                                { return nil }

// BenchmarkHeartbeats simulates one second of heartbeats of one VM in a fleet of three data
// centres, for several numbers of VMs and targets: the ticks of the VM itself, and the
// messages that it receives from peers at their fan-out.
func BenchmarkHeartbeats(b *testing.B) {
	for _, size := range []struct{ vms, targets int }{{9, 18}, {60, 150}, {300, 750}, {985, 10000}, {2300, 26000}} {
		b.Run(fmt.Sprintf("vms=%d/targets=%d", size.vms, size.targets), func(b *testing.B) {
			benchmarkHeartbeats(b, size.vms, size.targets)
		})
	}
}

// Numbers of messages that one VM receives in a second from its own data centre and from
// others when the fan-outs are reached, of flows that it opens, and of loads in a heartbeat.
const (
	localHeartbeats  = 40
	remoteHeartbeats = 12
	flowsPerSecond   = 100
	benchLoads       = 50
)

func benchmarkHeartbeats(b *testing.B, vms, targets int) {
	sent := new(countingMessages)
	n := newQuietNode(sent)
	list := benchRegistrations(targets)
	_, _, err := n.cache.updateTargets(benchEpoch, list, baobabstep.Revision{Number: 1}, origin{source: sourcePeer, confirmedAt: benchEpoch})
	qt.Assert(b, err, qt.IsNil)
	held := n.cache.announcedStates(benchEpoch)
	rng := rand.New(rand.NewPCG(3, 4))
	loads := busyLoads(rng, list)
	number := uint64(0)
	from := 0
	now := benchEpoch
	receiveHeartbeat := func(near bool) {
		for from = (from + 1) % vms; from == 0 || (from%3 == 0) != near; {
			from = (from + 1) % vms
		}
		number++
		h := &heartbeat.Heartbeat{
			From: baobabstep.VMID(from + 1), DataCentre: fmt.Sprintf("dc-%d", from%3), Incarnation: 1, Sequence: number,
			Versions: [2]heartbeat.VersionInfo(held[:2]), EvacuationsVersion: held[heartbeat.Evacuations], Loads: heartbeat.MakeLoads(now, randomWindow(rng, loads), benchLoads),
		}
		raw := encodeHeartbeat(b, h)
		b.StartTimer()
		n.receive(now, peerAddress(from), raw)
		b.StopTimer()
	}
	n.router.SetTable(benchEpoch, testTable())
	for range 2 * vms { // announce all VMs before the first measured second
		receiveHeartbeat(true)
		receiveHeartbeat(false)
	}
	sent.bytes, sent.messages = 0, 0
	b.ResetTimer()
	b.StopTimer()
	for range b.N {
		openFlows(n, now)
		for step := range localHeartbeats {
			now = now.Add(time.Second / localHeartbeats)
			receiveHeartbeat(true)
			if step%3 == 0 && step/3 < remoteHeartbeats {
				receiveHeartbeat(false)
			}
			if step%4 == 0 {
				b.StartTimer()
				n.tickHeartbeats(now)
				b.StopTimer()
			}
		}
	}
	b.ReportMetric(float64(sent.bytes)/float64(b.N), "B_out/s")
	b.ReportMetric(float64(sent.messages)/float64(b.N), "msgs_out/s")
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*100, "core_%")
}

// openFlows sends the VM a second of traffic, so that it has loads to announce.
func openFlows(n *Node, now time.Time) {
	var out []baobabstep.OutgoingDatagram
	for i := range flowsPerSecond {
		out = out[:0]
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(i >> 8), byte(i)}), uint16(now.Unix())+1024)
		n.router.Handle(now, &baobabstep.Segment{
			Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: caller, Service: benchService}, Seq: 1,
		}, &out)
	}
}

// randomWindow returns benchLoads consecutive loads, or all if there are fewer.
func randomWindow(rng *rand.Rand, loads []baobabstep.TargetLoad) []baobabstep.TargetLoad {
	first := rng.IntN(max(1, len(loads)-benchLoads))
	return loads[first:min(first+benchLoads, len(loads))]
}

func peerAddress(vm int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(vm % 3), byte(vm >> 8), byte(vm)}), 8401)
}

func benchRegistrations(targets int) []baobabstep.Registration {
	rng := rand.New(rand.NewPCG(5, 6))
	list := make([]baobabstep.Registration, targets)
	for i := range list {
		list[i] = baobabstep.Registration{
			ID: baobabstep.TargetID(rng.Uint64() >> 24), Service: "fixtures", DataCentre: fmt.Sprintf("dc-%d", i%3),
			Address: peerAddress(i), Slots: 2,
		}
	}
	heartbeat.SortTargets(list)
	return list
}

// targetsPerOutlier is the number of targets of which one has outlying answers, so that these
// are announced.
const targetsPerOutlier = 8

// busyLoads returns loads of every target, with answers of the outliers.
func busyLoads(rng *rand.Rand, list []baobabstep.Registration) []baobabstep.TargetLoad {
	loads := make([]baobabstep.TargetLoad, len(list))
	for i, r := range list {
		loads[i] = baobabstep.TargetLoad{Target: r.ID, Requests: 20 * rng.Float64()}
		if i%targetsPerOutlier == 0 {
			loads[i].Answers, loads[i].Failed, loads[i].MeanLatency, loads[i].Callers = 6, 3, 60*time.Millisecond, 0b10011
		}
	}
	return loads
}
