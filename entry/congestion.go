package entry

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/link"
	"baobabstep/core/token"
)

const (
	// messageOverhead is the size in bytes that are added to an encoded message to another
	// VM: the authentication code and the headers.
	messageOverhead = 16 + link.DatagramOverhead
	// congestionLogPause is how long the link must be free of congestion for the congestion
	// to count as over in the log.
	congestionLogPause = time.Second
	// congestionLogClass is the class of the log lines about congestion in LogLimiter.
	congestionLogClass = "link_congestion"
)

// meterReceived counts received segments at the meter of the link.
func (n *Node) meterReceived(now time.Time, batch []baobabstep.Segment) {
	size := 0
	for i := range batch {
		size += len(batch[i].Raw) + link.DatagramOverhead
	}
	n.meter.Received(now, size)
}

// meterSent counts segments that are about to be sent at the meter of the link.
func (n *Node) meterSent(now time.Time, out []baobabstep.OutgoingDatagram) {
	size := 0
	for i := range out {
		size += len(out[i].Raw) + link.DatagramOverhead
	}
	n.meter.Sent(now, size)
}

// sendRaw sends an encoded message to another VM.
func (n *Node) sendRaw(to netip.AddrPort, raw []byte) {
	n.meter.Sent(n.clock.Now(), len(raw)+messageOverhead)
	n.options.Messages.Send(to, raw)
}

// announceCongestion sets the congestion of this VM's link that the following messages report to
// other VMs.
func (n *Node) announceCongestion() {
	if !n.options.Settings.Token.Mechanisms().Has(token.MechanismCongestion) {
		n.peerTable.SetCongestedAt(n.pacer.CongestedAt())
	}
}

// congestionLog is the state of the logging of link congestion.
type congestionLog struct {
	// since is when the logged congestion began; zero while there is none. last is when the
	// link was last found congested.
	since, last time.Time
}

// logCongestion logs when congestion of the link begins and ends.
func (n *Node) logCongestion(now time.Time) {
	c := &n.congestion
	congested := n.pacer.CongestedSince(now.Add(-tickInterval))
	switch {
	case congested && c.since.IsZero():
		c.since, c.last = now, now
		if n.options.LogLimiter.Wanted(now, congestionLogClass) {
			n.linkEntry(now).Info("link congested")
		}
	case congested:
		c.last = now
	case !c.since.IsZero() && now.Sub(c.last) >= congestionLogPause:
		if n.options.LogLimiter.Wanted(now, congestionLogClass) {
			n.linkEntry(now).WithField("congested_ms", c.last.Sub(c.since).Milliseconds()).Info("link congestion over")
		}
		c.since = time.Time{}
	}
}

// linkEntry returns a log entry with the current load of the link.
func (n *Node) linkEntry(now time.Time) *log.Entry {
	load := n.pacer.Load(now)
	return n.log.WithFields(log.Fields{
		"link_mbps":        n.options.Settings.Token.LinkMbps,
		"received_percent": int(100 * load.Received), "sent_percent": int(100 * load.Sent),
		"backlog_ms": load.Backlog.Milliseconds(), "vms_congested": n.peerTable.CongestedCount(now),
	})
}
