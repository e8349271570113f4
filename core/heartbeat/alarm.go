package heartbeat

import (
	"net/netip"
	"time"

	"baobabstep"
)

const (
	// maxAlarmLoads limits the targets of one alarm.
	maxAlarmLoads = 16
	// alarmFanout limits the VMs that get an alarm. It reaches a whole data centre of 44
	// VMs. In a larger one, each VM gets a part of the alarms.
	alarmFanout = 48
	// alarmRate, in bytes per second, and alarmBurst, in bytes, limit the alarms of a VM:
	// two alarms per second to alarmFanout VMs. What exceeds the limit is sent with the
	// next heartbeats.
	alarmRate  = 8e3
	alarmBurst = 16e3
)

// Alarm reports targets that just left flows unanswered, or that were heard although other
// VMs report them as silent. It is sent at once to the whole data centre. In a large one,
// each VM sends few flows to a given target, so none detects a silent target alone. With
// the next heartbeats the information would arrive after callers have waited for their
// timeouts.
type Alarm struct {
	From baobabstep.VMID `cbor:"1,keyasint"`
	// Incarnation and Sequence are as in Heartbeat. Both kinds of messages share one
	// sequence.
	Incarnation uint64 `cbor:"2,keyasint"`
	Sequence    uint64 `cbor:"3,keyasint"`
	// Loads contain only the details about silence.
	Loads Loads `cbor:"4,keyasint"`
	// CongestedMS is as in Heartbeat.
	CongestedMS uint32 `cbor:"5,keyasint,omitempty"`
}

// silenceReport is what a VM reports about the silence of one target.
type silenceReport struct {
	silence baobabstep.SilenceReport
	// lastHeard is when the VM last received anything from the target; zero if not
	// reported.
	lastHeard time.Time
}

// makeSilenceReports returns the silence reports in loads that were received now, or nil
// if there are none.
func makeSilenceReports(now time.Time, loads Loads) (reports map[baobabstep.TargetID]silenceReport) {
	for _, l := range loads {
		if !l.hasSilence() {
			continue
		}
		if reports == nil {
			reports = make(map[baobabstep.TargetID]silenceReport)
		}
		reports[l.Target] = l.silenceReport(now)
	}
	return reports
}

func (l Load) silenceReport(now time.Time) (r silenceReport) {
	ago := func(ms uint16) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	if l.HeardMS > 0 {
		r.lastHeard = ago(l.HeardMS)
	}
	if l.Unanswered > 0 {
		r.silence = baobabstep.SilenceReport{
			Unanswered: int(l.Unanswered), UnansweredOpens: int(l.UnansweredOpens), NotRetransmitted: int(l.NotRetransmitted), LastUnansweredAt: ago(l.LastUnansweredMS),
		}
		if l.RequestSilenceMS > 0 {
			r.silence.RequestUnansweredAt = ago(l.RequestSilenceMS - 1)
		}
	}
	return r
}

// addTo adds the report of a peer to the combined load of the target.
func (r *silenceReport) addTo(sum *baobabstep.TargetLoad, p *peer) {
	if r.silence.Unanswered > 0 {
		silence := r.silence
		silence.CongestedAt = p.congestedAt
		sum.SilenceReports = append(sum.SilenceReports, silence)
	}
	if r.lastHeard.After(sum.HeardAt) {
		sum.HeardAt = r.lastHeard
	}
}

// MakeAlarms returns alarms about silent targets for the VMs of the data centre, or none
// if the rate limit is exceeded.
func (t *PeerTable) MakeAlarms(now time.Time, silentTargets []baobabstep.TargetLoad) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := MakeLoads(now, silentTargets, maxAlarmLoads)
	recipients := t.alarmRecipients(now)
	if len(loads) == 0 || len(recipients) == 0 {
		return nil
	}
	if !t.alarmLimiter.AllowN(now, len(recipients)*(alarmHeaderBytes+len(loads)*alarmLoadBytes)) {
		return nil
	}
	t.sequence++
	m := &Message{Alarm: &Alarm{From: t.options.Self, Incarnation: t.options.Incarnation, Sequence: t.sequence, Loads: loads, CongestedMS: t.congestedMS(now)}}
	outs := make([]Outgoing, 0, len(recipients))
	for _, address := range recipients {
		outs = append(outs, Outgoing{To: address, Message: m})
	}
	return outs
}

// Sizes of an alarm in bytes, including authentication and datagram headers.
const (
	alarmHeaderBytes = 90
	alarmLoadBytes   = 14
)

// inquiryBytes is the size of an inquiry in bytes, including authentication and datagram headers.
const inquiryBytes = 100

// InquiryRecipients returns the VMs to ask for a flow, none if the rate limit is exceeded.
func (t *PeerTable) InquiryRecipients(now time.Time) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	to := t.alarmRecipients(now)
	if !t.inquiryLimiter.AllowN(now, len(to)*inquiryBytes) {
		return nil
	}
	return to
}

// alarmRecipients returns the VMs that get an alarm.
func (t *PeerTable) alarmRecipients(now time.Time) []netip.AddrPort {
	to := t.liveNearAddresses(now)
	if len(to) > alarmFanout {
		t.options.Rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:alarmFanout]
	}
	return to
}

// HandleAlarm processes an alarm and returns what all VMs now report about the targets in
// it. The alarm is ignored if no heartbeat of its sender is known, if the sender is in
// another data centre or another incarnation, or if a later message of it is known.
func (t *PeerTable) HandleAlarm(now time.Time, from netip.AddrPort, a *Alarm) map[baobabstep.TargetID]baobabstep.TargetLoad {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[from]
	switch {
	case p == nil || p.last == nil || p.last.DataCentre != t.options.DataCentre:
		return nil
	case a.From != p.last.From || a.Incarnation != p.last.Incarnation || a.Sequence <= max(p.alarmSequence, p.last.Sequence):
		return nil
	}
	p.alarmSequence, p.congestedAt = a.Sequence, congestedAt(now, a.CongestedMS)
	if p.reports == nil {
		p.reports = make(map[baobabstep.TargetID]silenceReport)
	}
	combined := make(map[baobabstep.TargetID]baobabstep.TargetLoad, len(a.Loads))
	for _, l := range a.Loads {
		p.reports[l.Target] = l.silenceReport(now)
		t.changedTargets[l.Target] = struct{}{}
		combined[l.Target] = t.combinedSilence(now, l.Target)
	}
	return combined
}

// combinedSilence returns the silence of a target as reported by the live VMs of the data
// centre.
func (t *PeerTable) combinedSilence(now time.Time, id baobabstep.TargetID) (sum baobabstep.TargetLoad) {
	for _, p := range t.peers {
		if r, ok := p.reports[id]; ok && t.isLive(now, p) && p.last.DataCentre == t.options.DataCentre {
			r.addTo(&sum, p)
		}
	}
	return sum
}
