package entry

import (
	"net/netip"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// ownReturns returns what this VM tells others of returned data centres and targets, or nil. It
// claims to know all of them only while its evacuations are confirmed.
func (n *Node) ownReturns(now time.Time) *baobabstep.Returns {
	known, relevant := n.router.Returns(now)
	if !relevant {
		return nil
	}
	if age, ok := n.cache.age(now, heartbeat.Evacuations); !ok || age >= n.applyBound(heartbeat.Evacuations) {
		known.Since = time.Time{}
	}
	return &known
}

// learnReturns learns from a heartbeat what returned before this VM started. A sender
// that holds other evacuations may not have seen an end yet, so its claim to know all is ignored.
func (n *Node) learnReturns(now time.Time, from netip.AddrPort, h *heartbeat.Heartbeat) {
	if !h.TellsReturns() {
		return
	}
	known := h.Returns(now)
	cached := n.cache.state(heartbeat.Evacuations)
	if age, same := h.ConfirmedAge(heartbeat.Evacuations, cached.sum); !same || !cached.isKnown() || age >= n.applyBound(heartbeat.Evacuations) {
		known.Since = time.Time{}
	}
	if !n.router.LearnReturns(known) {
		return
	}
	fields := log.Fields{"from": from.String()}
	if !known.Since.IsZero() {
		fields["known_ms"] = now.Sub(known.Since).Milliseconds()
	}
	for name, at := range known.DataCentres {
		fields["ended_ms_"+name] = now.Sub(at).Milliseconds()
	}
	if len(known.Targets) > 0 {
		fields["targets"] = len(known.Targets)
	}
	n.log.WithFields(fields).Info("returns learned")
}
