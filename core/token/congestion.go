package token

import "time"

// delayedSilence counts the segments that a target left unanswered, since it was last heard
// from, while this VM's own link was congested. They divert new flows, which can be placed on
// another target at no cost. They are not reported to other VMs and do not reset open flows,
// as a full link may drop all segments of a target for seconds.
type delayedSilence struct {
	flows, opens int
	// at is when the latest of them was counted, trialAt when the target may get a new flow.
	at, trialAt time.Time
}

func (d *delayedSilence) note(now time.Time, kind silenceKind) {
	if kind == openVanished {
		return // the first segment or its answer may be lost on the link
	}
	d.flows++
	if kind == openRepeated {
		d.opens++
	}
	d.at, d.trialAt = now, now.Add(minTrialPause)
}

// seemsSilent reports whether new flows should avoid the target while the link is congested.
func (h *health) seemsSilent(now time.Time) bool {
	d := &h.delayed
	return d.flows >= suspectThreshold && d.opens > 0 && now.Before(d.trialAt) && !h.othersHeardAt.After(d.at.Add(-minRetransmissionDelay))
}

// hasOwnEvidence reports whether this VM has fresh evidence of its own, whether or not its
// link was congested.
func (h *health) hasOwnEvidence(now time.Time) bool {
	return h.unanswered > 0 && now.Sub(h.unansweredAt) < evidenceLifetime || h.delayed.flows > 0 && now.Sub(h.delayed.at) < evidenceLifetime
}

// SetCongestedVMs sets the number of other live VMs of the data centre whose links are
// congested. They contribute no evidence.
func (r *Router) SetCongestedVMs(count int) { r.vmsCongested.Store(int32(count)) }

// alone reports whether no other VM of the data centre can contribute evidence.
func (r *Router) alone() bool {
	congested := 0
	if r.enabled(MechanismCongestion) {
		congested = int(r.vmsCongested.Load())
	}
	return r.vmCount()-congested <= 1
}

// congestionMargin is the time before a segment was sent to its target from which congestion
// of this VM's own link counts. The segment may have been queued on the link before it was
// received, and the caller retransmits it callerRetransmissionDelay after sending it.
const congestionMargin = callerRetransmissionDelay

// congestedSince reports whether this VM's own link was congested at any moment since
// shortly before a segment was sent to its target. The retransmission of the segment, or the
// delay of its answer, is then no evidence against the target.
func (r *Router) congestedSince(sentAt time.Time) bool {
	return r.options.Link != nil && r.enabled(MechanismCongestion) && r.options.Link.CongestedSince(sentAt.Add(-congestionMargin))
}
