package entry

import (
	"fmt"
	"math"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/token"
)

// dropInterval is the time between two lines about lines that were dropped, and
// between two about segments that were malformed.
const dropInterval = time.Second

// LogLimits bound the lines of each class.
type LogLimits interface {
	// Wanted tells whether one more line of a class may be written.
	Wanted(now time.Time, class string) bool
	// Dropped returns the lines dropped since the last call, by class.
	Dropped() map[string]uint64
}

// eventWanted is the router's question whether an event will be logged.
func (n *Node) eventWanted(now time.Time, kind token.EventKind) bool {
	return n.o.LogLimits.Wanted(now, kind.String())
}

// logEvent writes the line of one decision, with the inputs that decided it.
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
		fields["evacuated"] = e.Evacuated
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
		fields["unanswered"], fields["opens_unanswered"], fields["others_unanswered"] = e.Unanswered, e.Opens, e.OthersUnanswered
	}
	if e.Aim > 0 {
		fields["took_ms"], fields["aim_ms"] = e.AnswerTime.Milliseconds(), e.Aim.Milliseconds()
	}
	if e.Answers > 0 {
		fields["answers"], fields["failed"], fields["callers_failed"] = round1(e.Answers), round1(e.Failed), e.FailedCallers
		fields["peers_failed_share"] = round1(100*e.PeerFailureShare) / 100
	}
	n.log.WithFields(fields).Info(e.Kind.String())
}

// round1 rounds to one digit after the point: more would only make lines longer.
func round1(x float64) float64 { return math.Round(10*x) / 10 }

// addAge adds the age of a belief to a line; what is not held has none.
func (n *Node) addAge(now time.Time, fields log.Fields, name string, kind heartbeat.Kind) {
	if age, ok := n.beliefs.age(now, kind); ok {
		fields[name] = age.Milliseconds()
	}
}

// reportDropped says which lines were left out.
func (n *Node) reportDropped(now time.Time) {
	if now.Sub(n.droppedAt) < dropInterval {
		return
	}
	n.droppedAt = now
	dropped := n.o.LogLimits.Dropped()
	if len(dropped) == 0 {
		return
	}
	fields := log.Fields{}
	for class, count := range dropped {
		fields[class] = count
		n.counts.linesDropped.Add(count)
	}
	n.log.WithFields(fields).Warn("log lines dropped")
}

// reportMalformed says that callers sent what cannot be decoded, once in each
// interval in which they did.
func (n *Node) reportMalformed(now time.Time) {
	if now.Sub(n.malformedAt) < dropInterval {
		return
	}
	n.malformedAt = now
	total := n.readMalformed()
	if total > n.malformedSeen {
		n.log.WithField("datagrams", total-n.malformedSeen).Warn("malformed segments")
	}
	n.malformedSeen = total
}

// noteDataCentres logs data centres that are heard of again, or no more.
func (n *Node) noteDataCentres(live map[string]int) {
	for name, vms := range live {
		if n.heardDataCentres[name] == 0 && vms > 0 {
			n.log.WithFields(log.Fields{"other_data_centre": name, "vms": vms}).Info("data centre heard")
		}
	}
	for name, vms := range n.heardDataCentres {
		if vms > 0 && live[name] == 0 {
			n.log.WithFields(log.Fields{"other_data_centre": name, "vms": vms}).Warn("data centre lost")
		}
	}
	n.heardDataCentres = live
}

// noteRank logs when this VM becomes the fleet's reader of the store, or is
// not any more.
func (n *Node) noteRank(rank heartbeat.Rank) {
	if rank.First() == n.first {
		return
	}
	n.first = rank.First()
	n.log.WithFields(log.Fields{"first": n.first, "near": rank.Near, "far": rank.Far}).Info("rank changed")
}

// targetName is a target's identifier as its registration writes it.
func targetName(id baobabstep.TargetID) string { return fmt.Sprintf("%010x", uint64(id)) }
