package entry

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/token"
)

// reportInterval is the time between two log lines about dropped lines, and between two about
// malformed segments.
const reportInterval = time.Second

// LogLimiter limits the log lines of each class.
type LogLimiter interface {
	// Wanted reports whether one more line of a class may be written.
	Wanted(now time.Time, class string) bool
	// Dropped returns the number of lines dropped since the last call, by class.
	Dropped() map[string]uint64
}

// wantsEvent reports whether the router's next event of a kind will be logged.
func (n *Node) wantsEvent(now time.Time, kind token.EventKind) bool {
	return n.options.LogLimiter.Wanted(now, kind.String())
}

// logEvent logs a decision of the router with the inputs that it depends on.
func (n *Node) logEvent(now time.Time, e *token.Event) {
	fields := log.Fields{"version": e.Version}
	n.addAge(now, fields, "routes_age_ms", heartbeat.Routes)
	if e.Flow.Caller.IsValid() {
		fields["flow"], fields["seq"] = e.FlowName(), e.Seq
	}
	if e.Rule != "" {
		fields["rule"] = e.Rule
	}
	if e.Kind == token.EventRefused {
		fields["service"], fields["known"], fields["draining"], fields["gone"] = e.Service, e.Known, e.Draining, e.Gone
		fields["evacuated"], fields["full"] = e.Evacuated, e.Full
		n.addAge(now, fields, "targets_age_ms", heartbeat.Targets)
	}
	if e.Target != 0 {
		fields["target"], fields["service"] = targetName(e.Target), e.Service
		fields["target_data_centre"], fields["requests"] = e.DataCentre, int(e.Requests)
		n.addAge(now, fields, "targets_age_ms", heartbeat.Targets)
		if e.SinceHeard >= 0 {
			fields["heard_ms"] = e.SinceHeard.Milliseconds()
		}
	}
	if e.Unanswered > 0 || e.OthersUnanswered > 0 {
		fields["unanswered"], fields["opens_unanswered"], fields["requests_unanswered"] = e.Unanswered, e.Opens, e.UnansweredRequests
		fields["others_unanswered"], fields["others_opens_unanswered"] = e.OthersUnanswered, e.OthersOpens
		fields["others_requests_unanswered"], fields["others_silent"] = e.OthersRequests, e.OthersVMsSilent
	}
	if e.LinkCause != "" {
		fields["cause"] = e.LinkCause
	}
	if e.Kind == token.EventLinkHeld || e.Kind == token.EventLinkReleased || e.Kind == token.EventLinkRefused {
		fields["link_waiting"], fields["link_waited_ms"] = e.LinkWaiting, e.LinkWaited.Milliseconds()
	}
	if e.LatencyObjective > 0 {
		fields["took_ms"], fields["aim_ms"] = e.Latency.Milliseconds(), e.LatencyObjective.Milliseconds()
	}
	if e.Answers > 0 {
		fields["answers"], fields["failed"], fields["callers_failed"] = roundToTenth(e.Answers), roundToTenth(e.Failed), e.FailedCallers
		fields["peers_failed_share"] = roundToTenth(100*e.PeerFailureRate) / 100
	}
	if e.Kind == token.EventRoomShort || e.Kind == token.EventRoomBack {
		fields["service"], fields["admitted_share"] = e.Service, roundToTenth(100*e.Room.Admitted)/100
		fields["rejected_share"], fields["latency_ratio"] = roundToTenth(100*e.Room.Rejected)/100, roundToTenth(e.Room.LatencyRatio)
	}
	n.log.WithFields(fields).Info(e.Kind.String())
}

// roundToTenth rounds to one decimal place, to keep log lines short.
func roundToTenth(x float64) float64 { return math.Round(10*x) / 10 }

// addAge adds the age of the cached state of a kind to the fields, if there is any.
func (n *Node) addAge(now time.Time, fields log.Fields, name string, kind heartbeat.Kind) {
	if age, ok := n.cache.age(now, kind); ok {
		fields[name] = age.Milliseconds()
	}
}

// reportDroppedLines logs how many lines of each class were dropped.
func (n *Node) reportDroppedLines(now time.Time) {
	if now.Sub(n.droppedReportedAt) < reportInterval {
		return
	}
	n.droppedReportedAt = now
	dropped := n.options.LogLimiter.Dropped()
	if len(dropped) == 0 {
		return
	}
	fields := log.Fields{}
	for class, count := range dropped {
		fields[class] = count
		n.counters.linesDropped.Add(count)
	}
	n.log.WithFields(fields).Warn("log lines dropped")
}

// reportMalformed logs the number of malformed segments from callers, at most once in each
// reportInterval.
func (n *Node) reportMalformed(now time.Time) {
	if now.Sub(n.malformedReportedAt) < reportInterval {
		return
	}
	n.malformedReportedAt = now
	total := n.readMalformed()
	if total > n.malformedReported {
		n.log.WithField("datagrams", total-n.malformedReported).Warn("malformed segments")
	}
	n.malformedReported = total
}

// logDataCentreChanges logs data centres whose heartbeats are received again, or no longer.
func (n *Node) logDataCentreChanges(live map[string]int) {
	for name, vms := range live {
		if n.liveDataCentres[name] == 0 && vms > 0 {
			n.log.WithFields(log.Fields{"other_data_centre": name, "vms": vms}).Info("data centre reachable")
		}
	}
	for name, vms := range n.liveDataCentres {
		if vms > 0 && live[name] == 0 {
			n.log.WithFields(log.Fields{"other_data_centre": name, "vms": vms}).Warn("data centre unreachable")
		}
	}
	n.liveDataCentres = live
}

// logRankChange logs when this VM becomes the first of the fleet by rank, which reads the
// store, or stops being it.
func (n *Node) logRankChange(rank heartbeat.Rank) {
	if rank.First() == n.isFirstRank {
		return
	}
	n.isFirstRank = rank.First()
	n.log.WithFields(log.Fields{"first": n.isFirstRank, "near": rank.Near, "far": rank.Far}).Info("rank changed")
}

// targetName formats a target's identifier as in its registration.
func targetName(id baobabstep.TargetID) string { return fmt.Sprintf("%010x", uint64(id)) }

// malformedMessageClass is the class of log lines about malformed messages of other VMs.
const malformedMessageClass = "peer message malformed"

// recordMalformed counts and logs a message of another VM that cannot be used.
func (n *Node) recordMalformed(now time.Time, from netip.AddrPort, err error) {
	n.counters.malformed.Add(1)
	if n.options.LogLimiter.Wanted(now, malformedMessageClass) {
		n.log.WithError(err).WithField("from", from.String()).Warn(malformedMessageClass)
	}
}

// logWatchState logs when this VM begins or stops to watch a query, and when it would but knows no
// revision from which to.
func (s *storeSyncer) logWatchState(q *storeQuery, before, after watchState, revision *baobabstep.Revision) {
	if before == after {
		return
	}
	fields := log.Fields{"reading": q.name, "state": after.String()}
	if revision != nil {
		fields["revision"] = revision.Number
	}
	s.node.log.WithFields(fields).Info("store watch")
}
