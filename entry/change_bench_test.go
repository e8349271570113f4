package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// BenchmarkChanges applies changes of one registration each, as a peer sends them, for several
// numbers of targets. One operation is one change.
func BenchmarkChanges(b *testing.B) {
	for _, targets := range []int{18, 150, 3000, 26000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) { benchmarkChanges(b, targets) })
	}
}

func benchmarkChanges(b *testing.B, targets int) {
	sender, receiver := newQuietNode(new(countingMessages)), newQuietNode(new(countingMessages))
	list := benchRegistrations(targets)
	from := origin{source: sourcePeer, confirmedAt: benchEpoch}
	for _, n := range []*Node{sender, receiver} {
		_, _, err := n.cache.updateTargets(benchEpoch, list, baobabstep.Revision{Number: 1}, from)
		qt.Assert(b, err, qt.IsNil)
	}
	peer := peerAddress(3) // a VM of the same data centre
	receiver.receive(benchEpoch, peer, encodeHeartbeat(b, &heartbeat.Heartbeat{From: 9, DataCentre: "dc-0", Incarnation: 1, Sequence: 1}))
	b.ResetTimer()
	for i := range b.N {
		b.StopTimer()
		now := benchEpoch.Add(time.Duration(i) * time.Second / 10)
		r := list[i%len(list)]
		r.Draining = i/len(list)%2 == 0
		revision := baobabstep.Revision{Number: uint64(i + 2)}
		changed, change, err := sender.cache.applyTargetChanges(now, []baobabstep.RegistrationChange{{Registration: r, Revision: revision}}, revision)
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, changed, qt.IsTrue)
		raw, err := heartbeat.Encode(&heartbeat.Message{Change: change})
		qt.Assert(b, err, qt.IsNil)
		b.StartTimer()
		receiver.receive(now, peer, raw)
	}
	b.StopTimer()
	qt.Assert(b, receiver.cache.state(heartbeat.Targets).revision.Number, qt.Equals, uint64(b.N+1))
}

func encodeHeartbeat(b *testing.B, h *heartbeat.Heartbeat) []byte {
	b.Helper()
	raw, err := heartbeat.Encode(&heartbeat.Message{Heartbeat: h})
	qt.Assert(b, err, qt.IsNil)
	return raw
}
