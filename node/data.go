package node

import (
	"context"
	"time"

	"baobabstep"
)

// batchSize is the number of packets read at once.
const batchSize = 64

// serve is one data goroutine.
func (n *Node) serve(ctx context.Context, packets baobabstep.Packets) error {
	batch := make([]baobabstep.Packet, batchSize)
	out := make(baobabstep.Outbox, 0, 2*batchSize)
	for {
		count, err := packets.Receive(ctx, batch)
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		now := n.clock.Now()
		n.notePause(now)
		out = out[:0]
		for i := range batch[:count] {
			n.handle(now, &batch[i], &out)
		}
		n.send(packets, out)
	}
}

// notePause stops the VM from acting on roles that it held before a pause. The
// data goroutines of a process that was stopped and continued may run before
// its control goroutine does, with packets that waited in the socket; by then
// another VM may hold its flows and requests.
func (n *Node) notePause(now time.Time) {
	gap := now.Sub(n.start) - time.Duration(n.lastTick.Load())
	if gap > pauseLimit && n.lastTick.Load() != 0 {
		n.setPaused(now, true)
	}
}

// setPaused tells the parts. Whoever finds that it was done already waits until
// it is: several goroutines notice a pause at once, and one that went on before
// the parts know would decide about packets by a view from before the pause.
func (n *Node) setPaused(now time.Time, paused bool) {
	if n.paused.Load() == paused {
		return
	}
	n.pauseLock.Lock()
	defer n.pauseLock.Unlock()
	if n.paused.Load() == paused {
		return
	}
	n.log.WithField("paused", paused).Warn("pause noticed or over")
	n.flows.SetPaused(now, paused)
	n.work.SetPaused(now, paused)
	n.paused.Store(paused)
}

// handle lets the part that a packet belongs to decide.
func (n *Node) handle(now time.Time, p *baobabstep.Packet, out *baobabstep.Outbox) {
	if p.Route.Purpose != baobabstep.PurposeNone {
		n.counts.fromVMs.Add(1)
	} else if p.Kind != baobabstep.KindHealthReport && p.Kind != baobabstep.KindProbeAck {
		n.lastOutside.Store(int64(now.Sub(n.start)))
	}
	switch p.Kind {
	case baobabstep.KindOpen, baobabstep.KindOpened, baobabstep.KindData, baobabstep.KindClose,
		baobabstep.KindReset, baobabstep.KindProbe, baobabstep.KindProbeAck:
		n.flows.Handle(now, p, out)
	case baobabstep.KindRequest, baobabstep.KindAnswer, baobabstep.KindRefusal, baobabstep.KindCancel:
		n.work.Handle(now, p, out)
	case baobabstep.KindHealthReport:
		n.targets.RecordReport(now, p.Target, p.Report)
	default:
		n.counts.unexpected.Add(1)
	}
}

func (n *Node) send(packets baobabstep.Packets, out baobabstep.Outbox) {
	if len(out) == 0 {
		return
	}
	if err := packets.Send(out); err != nil {
		n.counts.sendErrors.Add(1)
	}
}
