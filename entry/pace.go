package entry

import (
	"context"
	"time"

	"baobabstep"
)

// paceInterval is the interval at which datagrams are released while any are held by the pacer.
// It is shorter than the time in which the backlog of the link drains at that point.
const paceInterval = 4 * time.Millisecond

// send sends the segments for which the link has room and records them at the link's meter.
// releaseLoop sends the others.
func (n *Node) send(now time.Time, segments baobabstep.Segments, out []baobabstep.OutgoingDatagram) error {
	if n.paced {
		out = n.pacer.Admit(now, out)
	} else {
		n.meterSent(now, out)
	}
	return segments.Send(out)
}

// releaseLoop releases held segments until ctx is cancelled: first segments of bulk flows, which
// are forwarded or refused, and segments that the pacer holds.
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

// releaseHeld sends the held segments for which the link has room again, and resets the callers
// of refused flows.
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

// releasePaced sends the segments that the given method of the pacer releases.
func (n *Node) releasePaced(now time.Time, release func(time.Time, *[]baobabstep.OutgoingDatagram)) error {
	n.releasing.Lock()
	defer n.releasing.Unlock()
	defer n.pacer.ConfirmSent()
	var out []baobabstep.OutgoingDatagram
	release(now, &out)
	if len(out) == 0 {
		return nil
	}
	return n.options.Segments[0].Send(out)
}
