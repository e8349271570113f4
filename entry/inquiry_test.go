package entry

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// Guards against the copy of a first segment that a VM places at a second target although another VM
// of its data centre placed the flow, whether or not the other one is about to stop.
func TestCopyIsPlacedWhereTheOtherVMSays(t *testing.T) {
	for _, test := range []struct {
		name    string
		arrange func(f *dataCentreFleet)
		asked   bool
	}{
		{"the other VM runs", func(*dataCentreFleet) {}, true},
		{"the other VM is stopping", func(f *dataCentreFleet) { f.nodes[0].stopping.Store(true); f.nodes[0].announce(false); f.deliver() }, true},
		{"the question is lost", func(f *dataCentreFleet) { f.drop = func(modelMessage) bool { return true } }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newDataCentreFleet(t, 3, 50)
			sockets := make([]*waitingSegments, len(f.nodes))
			for i, n := range f.nodes {
				sockets[i] = new(waitingSegments)
				n.options.Segments = []baobabstep.Segments{sockets[i]}
				n.router.SetTable(f.now, testTable())
				n.tickHeartbeats(f.now)
			}
			f.deliver()
			test.arrange(f)
			p := baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: peerAddress(900), Service: benchService}, Seq: 7}
			var first []baobabstep.OutgoingDatagram
			f.nodes[0].router.Handle(f.now, &p, &first)
			qt.Assert(t, first, qt.HasLen, 1)

			f.now = f.now.Add(200 * time.Millisecond)
			p.Acked = 1
			var second []baobabstep.OutgoingDatagram
			f.nodes[1].router.Handle(f.now, &p, &second)
			qt.Assert(t, second, qt.HasLen, 0)
			qt.Assert(t, f.nodes[1].inquire(f.now), qt.IsNil)
			f.deliver()
			qt.Assert(t, len(sockets[1].sent), qt.Equals, map[bool]int{true: 1}[test.asked])
			f.now = f.now.Add(time.Second / 10)
			qt.Assert(t, f.nodes[1].inquire(f.now), qt.IsNil)
			qt.Assert(t, sockets[1].sent, qt.HasLen, 1)
			if test.asked {
				qt.Assert(t, sockets[1].sent[0].Target, qt.Equals, first[0].Target)
			}
		})
	}
}

// Guards against a first segment that waits for ever, or a goroutine that outlives the VM.
func TestInquiryLoopEnds(t *testing.T) {
	f := newDataCentreFleet(t, 2, 10)
	n := f.nodes[1]
	socket := new(waitingSegments)
	n.options.Segments = []baobabstep.Segments{socket}
	n.router.SetTable(f.now, testTable())
	n.tickHeartbeats(f.now)
	p := baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: peerAddress(900), Service: benchService}, Seq: 7, Acked: 1}
	var out []baobabstep.OutgoingDatagram
	n.router.Handle(f.now, &p, &out)
	qt.Assert(t, n.router.InquiryCount(), qt.Equals, 1)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- n.inquiryLoop(ctx) }()
	cancel()
	qt.Assert(t, <-ended, qt.IsNil)
}
