package token

import "time"

// congestionMargin is the time before a segment was sent to its target from which congestion
// of this VM's own link counts. The segment may have waited on the link before it arrived
// here, and the caller retransmits it after callerRetransmissionDelay from its own sending.
const congestionMargin = callerRetransmissionDelay

// congestedSince reports whether this VM's own link was congested at any moment since
// shortly before a segment was sent to its target. The retransmission of the segment, or the
// delay of its answer, is then no evidence on the target.
func (r *Router) congestedSince(sentAt time.Time) bool {
	return r.options.Link != nil && r.enabled(MechanismCongestion) && r.options.Link.CongestedSince(sentAt.Add(-congestionMargin))
}
