package entry

import (
	"context"
	"time"

	"baobabstep"
)

// paceInterval is the interval at which datagrams that wait for the link are reviewed while
// there are any. It is a fraction of the backlog that the link then has.
const paceInterval = 4 * time.Millisecond

// send sends the segments that the link has room for and counts them at the meter of the link.
// The others are sent by releaseLoop.
func (n *Node) send(now time.Time, segments baobabstep.Segments, out []baobabstep.OutgoingDatagram) error {
	if n.paced {
		out = n.pacer.Pass(now, out)
	} else {
		n.meterSent(now, out)
	}
	return segments.Send(out)
}

// releaseLoop sends on what is held, while anything is: first segments of bulk flows, which may
// be refused instead, and segments that wait for the link.
func (n *Node) releaseLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.router.HeldPending():
		case <-n.pacer.Pending():
		}
		for n.router.HeldCount()+n.pacer.Held() > 0 && ctx.Err() == nil {
			sleep(ctx, n.releaseInterval(), nil)
			if err := n.releaseHeld(); err != nil && ctx.Err() == nil {
				return err
			}
		}
	}
}

func (n *Node) releaseInterval() time.Duration {
	if n.pacer.Held() > 0 {
		return paceInterval
	}
	return releaseInterval
}

// releaseHeld sends on what is held and has room on the link again.
func (n *Node) releaseHeld() error {
	now := n.clock.Now()
	if err := n.releasePaced(now, n.pacer.Release); err != nil {
		return err
	}
	var out []baobabstep.OutgoingDatagram
	n.router.ReleaseHeld(now, &out)
	if len(out) == 0 {
		return nil
	}
	return n.send(now, n.options.Segments[0], out)
}

// releasePaced sends the segments that release takes from the pacer.
func (n *Node) releasePaced(now time.Time, release func(time.Time, *[]baobabstep.OutgoingDatagram)) error {
	n.releasing.Lock()
	defer n.releasing.Unlock()
	defer n.pacer.Sent()
	var out []baobabstep.OutgoingDatagram
	release(now, &out)
	if len(out) == 0 {
		return nil
	}
	return n.options.Segments[0].Send(out)
}
