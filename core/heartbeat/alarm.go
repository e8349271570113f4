package heartbeat

import (
	"net/netip"
	"time"

	"baobabstep"
)

const (
	// maxAlarmed bounds the targets of one alarm.
	maxAlarmed = 16
	// alarmFanout bounds the VMs that get an alarm. A data centre of 44 hears it
	// whole; in a larger one each VM hears that part of what the others find.
	alarmFanout = 48
	// alarmRate and alarmBurst bound the bytes of a VM's alarms a second and at
	// once: two alarms a second to a data centre of alarmFanout. What is over goes
	// with the heartbeats.
	alarmRate  = 8e3
	alarmBurst = 16e3
)

// Alarm tells of targets that just left flows unanswered, or were heard of though
// others found them silent. It goes at once to the whole data centre: in a large one
// each VM meets a given target seldom, and none finds out alone. Told with the
// heartbeats, what one found would come to the others after callers have waited for
// their time limits.
type Alarm struct {
	From baobabstep.VMID `cbor:"1,keyasint"`
	// Life and Number are as in Heartbeat; both share one count.
	Life   uint64 `cbor:"2,keyasint"`
	Number uint64 `cbor:"3,keyasint"`
	// Loads hold nothing but what is said of silence.
	Loads Loads `cbor:"4,keyasint"`
}

// report is what a VM says of the silence of one target.
type report struct {
	silence baobabstep.Silence
	// heardAt is when it heard of the target, zero if it does not say.
	heardAt time.Time
}

// makeReports returns what loads that came now say of silent targets; nil if
// nothing.
func makeReports(now time.Time, loads Loads) (reports map[baobabstep.TargetID]report) {
	for _, l := range loads {
		if !l.tellsSilence() {
			continue
		}
		if reports == nil {
			reports = make(map[baobabstep.TargetID]report)
		}
		reports[l.Target] = l.report(now)
	}
	return reports
}

func (l Load) report(now time.Time) (r report) {
	ago := func(ms uint16) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	if l.HeardMS > 0 {
		r.heardAt = ago(l.HeardMS)
	}
	if l.Unanswered > 0 {
		r.silence = baobabstep.Silence{
			Unanswered: int(l.Unanswered), Opens: int(l.Opens), Vanished: int(l.Vanished), LeftAt: ago(l.LeftMS),
		}
	}
	return r
}

// addTo adds a report to what VMs say of the target together.
func (r *report) addTo(sum *baobabstep.TargetLoad) {
	if r.silence.Unanswered > 0 {
		sum.Silence = append(sum.Silence, r.silence)
	}
	if r.heardAt.After(sum.HeardAt) {
		sum.HeardAt = r.heardAt
	}
}

// Alarm returns alarms about targets of this VM to the others of its data centre;
// none if it may not send as much now.
func (b *Board) Alarm(now time.Time, troubles []baobabstep.TargetLoad) []Out {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := MakeLoads(now, troubles, maxAlarmed)
	to := b.hearers(now)
	if len(loads) == 0 || len(to) == 0 {
		return nil
	}
	if !b.alarms.AllowN(now, len(to)*(alarmHead+len(loads)*alarmedBytes)) {
		return nil
	}
	b.number++
	m := &Message{Alarm: &Alarm{From: b.o.Self, Life: b.o.Life, Number: b.number, Loads: loads}}
	outs := make([]Out, 0, len(to))
	for _, address := range to {
		outs = append(outs, Out{To: address, Message: m})
	}
	return outs
}

// What an alarm takes in bytes, authentication and headers of datagrams included.
const (
	alarmHead    = 90
	alarmedBytes = 14
)

// hearers returns the VMs that get an alarm.
func (b *Board) hearers(now time.Time) []netip.AddrPort {
	to := b.neighbours(now)
	if len(to) > alarmFanout {
		b.o.Rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:alarmFanout]
	}
	return to
}

// HandleAlarm takes in an alarm and returns what VMs say now, together, of the
// targets that it names. It is left if its sender was not heard yet, or is in
// another life, or has said something newer.
func (b *Board) HandleAlarm(now time.Time, from netip.AddrPort, a *Alarm) map[baobabstep.TargetID]baobabstep.TargetLoad {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[from]
	switch {
	case p == nil || p.last == nil || p.last.DataCentre != b.o.DataCentre:
		return nil
	case a.From != p.last.From || a.Life != p.last.Life || a.Number <= max(p.alarmed, p.last.Number):
		return nil
	}
	p.alarmed = a.Number
	if p.reports == nil {
		p.reports = make(map[baobabstep.TargetID]report)
	}
	said := make(map[baobabstep.TargetID]baobabstep.TargetLoad, len(a.Loads))
	for _, l := range a.Loads {
		p.reports[l.Target] = l.report(now)
		b.changed[l.Target] = struct{}{}
		said[l.Target] = b.silence(now, l.Target)
	}
	return said
}

// silence returns what live VMs of the data centre say of the silence of a target.
func (b *Board) silence(now time.Time, id baobabstep.TargetID) (sum baobabstep.TargetLoad) {
	for _, p := range b.peers {
		if r, ok := p.reports[id]; ok && b.live(now, p) && p.last.DataCentre == b.o.DataCentre {
			r.addTo(&sum)
		}
	}
	return sum
}
