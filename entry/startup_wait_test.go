package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// waitingSegments has one first segment in its socket, and records what is sent.
type waitingSegments struct {
	readAt time.Time
	sent   []baobabstep.OutgoingDatagram
}

func (s *waitingSegments) Receive(ctx context.Context, batch []baobabstep.Segment) (int, error) {
	if !s.readAt.IsZero() {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	s.readAt = time.Now()
	batch[0] = baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: peerAddress(9), Service: benchService}}
	return 1, nil
}

func (s *waitingSegments) Send(batch []baobabstep.OutgoingDatagram) error {
	s.sent = append(s.sent, batch...)
	return nil
}

func (*waitingSegments) Close() error { return nil }

// Guards against first segments that are dropped because they arrive before the first routing
// table, which takes 0.1 s on a small VM; callers repeat them only 0.4 to 0.8 s later, or give
// up. Segments that arrive earlier wait in the socket, but for less time than callers wait
// before they retransmit: the retransmission goes over another VM, and a late first segment
// would open a second target, or run a request again.
func TestSegmentsWaitForFirstTable(t *testing.T) {
	for _, c := range []struct {
		name       string
		tableAfter time.Duration
		wantRead   time.Duration
		sent       int
	}{
		{"the store responds", 110 * time.Millisecond, 110 * time.Millisecond, 1},
		{"the store responds after a caller may have retransmitted", 190 * time.Millisecond, maxStartupWait, 0},
		{"the store is unavailable", time.Hour, maxStartupWait, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newQuietNode(new(countingMessages))
				socket := new(waitingSegments)
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				started := time.Now()
				go func() { ended <- n.forwardSegments(ctx, socket) }()
				time.Sleep(min(c.tableAfter, time.Second))
				if c.tableAfter < time.Second {
					n.router.SetRegistrations(benchEpoch, benchRegistrations(3))
					n.router.SetTable(benchEpoch, testTable())
				}
				synctest.Wait()
				qt.Check(t, socket.readAt.Sub(started), qt.Equals, c.wantRead)
				qt.Check(t, socket.sent, qt.HasLen, c.sent)
				cancel()
				qt.Check(t, <-ended, qt.IsNil)
			})
		})
	}
}

// Guards against a VM that does not stop while it waits for its first routing table.
func TestStartupWaitEndsOnStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newQuietNode(new(countingMessages))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		started := time.Now()
		qt.Check(t, n.forwardSegments(ctx, new(waitingSegments)), qt.IsNil)
		qt.Check(t, time.Since(started), qt.Equals, time.Duration(0))
	})
}
