package peer

import "sync/atomic"

// Stats counts what [Peers] did since it started.
type Stats struct {
	Sent, Received    uint64
	BytesOut, BytesIn uint64
	// DroppedOut counts messages dropped because the queue of a VM was full,
	// Expired those that waited longer than the message TTL.
	DroppedOut, Expired uint64
	// DroppedIn counts received messages that nobody read in time.
	DroppedIn uint64
	// Rejected counts handshakes that failed, Forged connections closed
	// because a message had a wrong seal, number or form.
	Rejected, Forged    uint64
	Dials, DialFailures uint64
	// Refused counts the dials in which the other VM did not prove that it
	// has one of this VM's keys.
	Refused uint64
	// Connections is the number of connections open now.
	Connections int
}

type counters struct {
	sent, received      atomic.Uint64
	bytesOut, bytesIn   atomic.Uint64
	droppedOut, expired atomic.Uint64
	droppedIn           atomic.Uint64
	rejected, forged    atomic.Uint64
	refused             atomic.Uint64
	dials, dialFailures atomic.Uint64
}

// Stats returns the counters.
func (p *Peers) Stats() Stats {
	c := &p.counters
	s := Stats{
		Sent:         c.sent.Load(),
		Received:     c.received.Load(),
		BytesOut:     c.bytesOut.Load(),
		BytesIn:      c.bytesIn.Load(),
		DroppedOut:   c.droppedOut.Load(),
		Expired:      c.expired.Load(),
		DroppedIn:    c.droppedIn.Load(),
		Rejected:     c.rejected.Load(),
		Refused:      c.refused.Load(),
		Forged:       c.forged.Load(),
		Dials:        c.dials.Load(),
		DialFailures: c.dialFailures.Load(),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		if l.conn != nil {
			s.Connections++
		}
	}
	return s
}
