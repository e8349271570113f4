package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// waitingSegments has one first segment in its socket, and keeps what is sent.
type waitingSegments struct {
	readAt time.Time
	sent   []baobabstep.Forward
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

func (s *waitingSegments) Send(batch []baobabstep.Forward) error {
	s.sent = append(s.sent, batch...)
	return nil
}

func (*waitingSegments) Close() error { return nil }

// All VMs lose power and start again. On a small VM 0.1 s pass between its
// first packet and the routing table; the packet was dropped, and its caller,
// who had waited for long already, repeated it 0.4 to 0.8 s later, or gave up.
// What comes before the table now waits in the socket, but never for as long as
// callers wait before they send a copy: that goes over another VM, and the late
// first one opened a second target, or ran a request again.
func TestSegmentsWaitForTheFirstTable(t *testing.T) {
	for _, c := range []struct {
		name      string
		after     time.Duration
		readAfter time.Duration
		sent      int
	}{
		{"the store answers", 110 * time.Millisecond, 110 * time.Millisecond, 1},
		{"the store answers when a copy may be out over another VM", 190 * time.Millisecond, holdTime, 0},
		{"the store is away", time.Hour, holdTime, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newQuietNode(new(countedMessages))
				socket := new(waitingSegments)
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				started := time.Now()
				go func() { ended <- n.serve(ctx, socket) }()
				time.Sleep(min(c.after, time.Second))
				if c.after < time.Second {
					n.router.SetRegistrations(benchEpoch, benchRegistrations(3))
					n.router.SetTable(benchEpoch, testTable())
				}
				synctest.Wait()
				qt.Check(t, socket.readAt.Sub(started), qt.Equals, c.readAfter)
				qt.Check(t, socket.sent, qt.HasLen, c.sent)
				cancel()
				qt.Check(t, <-ended, qt.IsNil)
			})
		})
	}
}

// A VM that is stopped before it ever had a table ends at once.
func TestHoldingEndsWithTheVM(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newQuietNode(new(countedMessages))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		started := time.Now()
		qt.Check(t, n.serve(ctx, new(waitingSegments)), qt.IsNil)
		qt.Check(t, time.Since(started), qt.Equals, time.Duration(0))
	})
}
