package heartbeat

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// countNearHeartbeats returns the number of heartbeats that VM 9 sends within its data
// centre in ten seconds, after its startup period, with the given number of other VMs.
func countNearHeartbeats(vms int, own LocalState) (sent int, b *PeerTable) {
	b = newPeerTable(9)
	now := start.Add(time.Minute)
	for n := range vms {
		number := 2*n + 1
		if number >= 9 {
			number += 2
		}
		b.Handle(now, address(number), newHeartbeat(number, 1, 1))
	}
	b.Tick(now, own)
	for range 50 {
		now = now.Add(b.options.NearInterval)
		for _, out := range b.Tick(now, own) {
			if b.IsNear(out.To) {
				sent++
			}
		}
	}
	return sent, b
}

func ownWithRequests(requests float64) LocalState {
	return LocalState{Loads: []baobabstep.TargetLoad{{Target: 1, Requests: requests}}}
}

// Guards against idle VMs of a large data centre sending heartbeats at full fan-out.
func TestFanoutFollowsTraffic(t *testing.T) {
	for _, c := range []struct {
		vms      int
		requests float64
		want     int
	}{
		{4, 0, 200}, {40, 0, 400}, {63, 0, 400}, // below largeDataCentre the load has no effect
		{64, 0, 100}, {120, 0, 100}, {120, 10, 200}, {120, 1000, 400},
	} {
		t.Run(fmt.Sprintf("vms=%d/requests=%v", c.vms, c.requests), func(t *testing.T) {
			sent, _ := countNearHeartbeats(c.vms, ownWithRequests(c.requests))
			qt.Assert(t, sent, qt.Equals, c.want)
		})
	}
}

// Guards against idle VMs being considered dead because they send few heartbeats.
func TestSlowSendersStayLive(t *testing.T) {
	sent, b := countNearHeartbeats(120, ownWithRequests(0))
	qt.Assert(t, sent, qt.Equals, 100)
	other := newPeerTable(11)
	h := b.Tick(start.Add(71*time.Second), ownWithRequests(0))[0].Message.Heartbeat
	qt.Assert(t, h.TurnMS, qt.Equals, uint32(12000))
	other.Handle(start, address(9), h)
	qt.Assert(t, other.LiveCounts(start.Add(20 * time.Second))["a"], qt.Equals, 1)
	qt.Assert(t, other.LiveCounts(start.Add(50 * time.Second))["a"], qt.Equals, 0)
}

// Guards against a VM receiving the heartbeats of its whole data centre in one round, and
// then none for seconds.
func TestTurnsAreSpread(t *testing.T) {
	const vms = 60
	tables := make([]*PeerTable, vms)
	for i := range tables {
		tables[i] = newPeerTable(2*i + 1)
		for j := range tables {
			if i != j {
				tables[i].Handle(start, address(2*j+1), newHeartbeat(2*j+1, 1, 1))
			}
		}
		tables[i].Tick(start, LocalState{})
	}
	now := start
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		received := map[netip.AddrPort]int{}
		for _, b := range tables {
			for _, out := range b.Tick(now, LocalState{}) {
				received[out.To]++
			}
		}
		for i := range tables {
			got := received[address(2*i+1)]
			qt.Assert(t, got >= 4 && got <= 16, qt.IsTrue, qt.Commentf("VM %d received %d heartbeats in a round", i, got))
		}
	}
}

// Guards against a newly started VM that learns of other VMs only when its turn comes.
func TestNewPeersGetHeartbeat(t *testing.T) {
	b := newPeerTable(1)
	for n := 3; n < 120; n += 2 {
		b.Handle(start, address(n), newHeartbeat(n, 1, 1))
	}
	b.Tick(start, LocalState{})
	for _, newPeer := range []int{121, 122} { // own data centre, other data centre
		b.Handle(start, address(newPeer), newHeartbeat(newPeer, 1, 1))
	}
	answered := map[netip.AddrPort]bool{}
	for _, out := range b.Tick(start.Add(b.options.NearInterval), LocalState{}) {
		answered[out.To] = true
	}
	qt.Assert(t, answered[address(121)] && answered[address(122)], qt.IsTrue)
}

// Guards against VMs that never get a heartbeat because unreachable seeds take their
// turns.
func TestUnreachableSeedsTakeNoTurns(t *testing.T) {
	b := newPeerTable(1, 201, 203, 205)
	for n := 3; n < 35; n += 2 { // two rounds
		b.Handle(start, address(n), newHeartbeat(n, 1, 1))
	}
	now, heard := start, map[netip.AddrPort]bool{}
	for range 40 {
		now = now.Add(b.options.NearInterval)
		for n := 3; n < 35; n += 2 {
			b.Handle(now, address(n), newHeartbeat(n, 1, uint64(now.Sub(start))))
		}
		for _, out := range b.Tick(now, LocalState{}) {
			heard[out.To] = true
		}
	}
	for n := 3; n < 35; n += 2 {
		qt.Assert(t, heard[address(n)], qt.IsTrue, qt.Commentf("VM %d", n))
	}
}

// Guards against answers to new peers that saturate the link of a seed.
func TestAnswersToNewPeersAreBounded(t *testing.T) {
	b := newPeerTable(1)
	answered := 0
	for n := 3; n < 600; n += 2 {
		b.Handle(start, address(n), newHeartbeat(n, 1, 1))
		for _, out := range b.AnswerNewPeers(start, ownWithRequests(10)) {
			answered++
			qt.Assert(t, out.Message.Heartbeat.Loads, qt.HasLen, 0)
		}
	}
	qt.Assert(t, answered, qt.Equals, answerBurst)
	qt.Assert(t, len(b.newPeers) <= maxNewPeers, qt.IsTrue)
}

// Guards against VMs that hear nobody for seconds because the seeds could not answer the first
// heartbeats of all VMs of a starting fleet.
func TestAllVMsOfStartingFleetAreAnswered(t *testing.T) {
	const vms, seconds = 400, 10
	b := newPeerTable(1)
	answered := map[netip.AddrPort]bool{}
	named := 0
	for now := start; now.Sub(start) < seconds*time.Second; now = now.Add(b.options.NearInterval) {
		for n := 2; n < vms+2; n++ {
			if answered[address(n)] {
				continue
			}
			b.Handle(now, address(n), newHeartbeat(n, 1, uint64(now.Sub(start))+1))
		}
		for _, out := range b.AnswerNewPeers(now, LocalState{}) {
			answered[out.To] = true
			for _, p := range out.Message.Heartbeat.Peers {
				if b.peers[out.To].last.DataCentre != b.options.DataCentre && b.peers[p].last.DataCentre == b.peers[out.To].last.DataCentre {
					named++
				}
			}
		}
	}
	qt.Assert(t, answered, qt.HasLen, vms)
	qt.Assert(t, named > vms, qt.IsTrue, qt.Commentf("the answers to %d VMs of the other data centre name %d VMs there", vms/2, named))
}
