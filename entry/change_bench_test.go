package entry

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// BenchmarkChanges takes in changes of one registration each, as a peer sends
// them, among as many targets as given. One operation is one change.
func BenchmarkChanges(b *testing.B) {
	for _, targets := range []int{18, 150, 3000, 26000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) { takeChanges(b, targets) })
	}
}

func takeChanges(b *testing.B, targets int) {
	source, taker := newQuietNode(new(countedMessages)), newQuietNode(new(countedMessages))
	list := benchRegistrations(targets)
	from := origin{source: sourcePeer, confirmed: benchEpoch}
	for _, n := range []*Node{source, taker} {
		_, _, err := n.beliefs.holdTargets(benchEpoch, list, baobabstep.Revision{Number: 1}, from)
		qt.Assert(b, err, qt.IsNil)
	}
	peer := peerAddress(3) // of the same data centre
	taker.receive(benchEpoch, peer, encodeBeat(b, &heartbeat.Heartbeat{From: 9, DataCentre: "dc-0", Life: 1, Number: 1}))
	b.ResetTimer()
	for i := range b.N {
		b.StopTimer()
		now := benchEpoch.Add(time.Duration(i) * time.Second / 10)
		r := list[i%len(list)]
		r.Draining = i/len(list)%2 == 0
		revision := baobabstep.Revision{Number: uint64(i + 2)}
		changed, change, err := source.beliefs.changeTargets(now, []baobabstep.RegistrationChange{{Registration: r, Revision: revision}}, revision)
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, changed, qt.IsTrue)
		raw, err := heartbeat.Encode(&heartbeat.Message{Change: change})
		qt.Assert(b, err, qt.IsNil)
		b.StartTimer()
		taker.receive(now, peer, raw)
	}
	b.StopTimer()
	qt.Assert(b, taker.beliefs.get(heartbeat.Targets).revision.Number, qt.Equals, uint64(b.N+1))
}

func encodeBeat(b *testing.B, h *heartbeat.Heartbeat) []byte {
	b.Helper()
	raw, err := heartbeat.Encode(&heartbeat.Message{Heartbeat: h})
	qt.Assert(b, err, qt.IsNil)
	return raw
}
