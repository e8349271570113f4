package entry

import (
	"context"
	"net/netip"
	"time"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// inquiryInterval is the interval at which overdue inquiries are ended while any are open.
const inquiryInterval = 10 * time.Millisecond

// inquiryLoop asks the other VMs of the data centre where flows were placed of which this VM got a
// copy of the first segment only, until ctx ends.
func (n *Node) inquiryLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-n.router.InquiriesPending():
		}
		for n.router.InquiryCount() > 0 && ctx.Err() == nil {
			if err := n.inquire(n.clock.Now()); err != nil && ctx.Err() == nil {
				return err
			}
			sleep(ctx, inquiryInterval, n.router.InquiriesPending())
		}
	}
}

// inquire sends the inquiries that are due, and places the flows for which no answer came in time or
// can come.
func (n *Node) inquire(now time.Time) error {
	unanswerable := false
	for _, o := range n.router.TakeInquiries() {
		question := heartbeat.MakeInquiry(o)
		recipients := n.peerTable.InquiryRecipients(now)
		for _, to := range recipients {
			n.sendMessage(to, &heartbeat.Message{Inquiry: &question})
		}
		unanswerable = unanswerable || len(recipients) == 0
	}
	var out []baobabstep.OutgoingDatagram
	n.router.EndInquiries(now, unanswerable, &out)
	return n.sendPlaced(now, out)
}

// answerInquiry tells a VM where this one placed a flow, if it did.
func (n *Node) answerInquiry(from netip.AddrPort, i *heartbeat.Inquiry) {
	if id, ok := n.router.PlacedAt(i.Opening()); ok {
		n.sendMessage(from, &heartbeat.Message{Placement: &heartbeat.Placement{Inquiry: *i, Target: id}})
	}
}

// settleInquiry places a flow where another VM did.
func (n *Node) settleInquiry(now time.Time, p *heartbeat.Placement) {
	var out []baobabstep.OutgoingDatagram
	n.router.SettleInquiry(now, p.Opening(), p.Target, &out)
	if err := n.sendPlaced(now, out); err != nil {
		n.log.WithError(err).Warn("cannot send a first segment")
	}
}

func (n *Node) sendPlaced(now time.Time, out []baobabstep.OutgoingDatagram) error {
	if len(out) == 0 {
		return nil
	}
	return n.send(now, n.options.Segments[0], out)
}
