package heartbeat

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// addNearPeers adds heartbeats of some VMs of the own data centre.
func addNearPeers(b *PeerTable, count int) {
	for n := range count {
		b.Handle(start, address(2*n+3), newHeartbeat(2*n+3, 1, 1))
	}
}

var silentTarget = baobabstep.TargetLoad{Target: 9, Unanswered: 1, UnansweredOpens: 1, LastUnansweredAt: start.Add(-30 * time.Millisecond)}

// Guards against alarms that do not reach the own data centre, or reach others, whose path
// to the target may differ.
func TestAlarmRecipients(t *testing.T) {
	b := newPeerTable(1)
	addNearPeers(b, 10)
	b.Handle(start, address(2), newHeartbeat(2, 1, 1))
	outs := b.MakeAlarms(start, []baobabstep.TargetLoad{silentTarget})
	qt.Assert(t, outs, qt.HasLen, 10)
	for _, o := range outs {
		qt.Assert(t, b.IsNear(o.To), qt.IsTrue)
	}
	raw, err := Encode(outs[0].Message)
	qt.Assert(t, err, qt.IsNil)
	m, err := Decode(raw)
	qt.Assert(t, err, qt.IsNil)

	other := newPeerTable(3)
	other.Handle(start, address(1), newHeartbeat(1, 1, 0))
	combined := other.HandleAlarm(start, address(1), m.Alarm)
	qt.Assert(t, combined[9].SilenceReports, qt.DeepEquals, []baobabstep.SilenceReport{{Unanswered: 1, UnansweredOpens: 1, LastUnansweredAt: start.Add(-30 * time.Millisecond)}})
	qt.Assert(t, other.Loads(start)[9], qt.DeepEquals, combined[9])
}

// Guards against alarms that are delayed, duplicated, from an earlier incarnation or from
// an unknown VM, and replace newer reports. The next heartbeat replaces the reports of an
// alarm.
func TestStaleAlarmsAreIgnored(t *testing.T) {
	loads := MakeLoads(start, []baobabstep.TargetLoad{silentTarget}, maxAlarmLoads)
	for _, test := range []struct {
		name  string
		from  int
		alarm Alarm
		taken bool
	}{
		{"new", 3, Alarm{From: 3, Incarnation: 5, Sequence: 11, Loads: loads}, true},
		{"older than the heartbeat", 3, Alarm{From: 3, Incarnation: 5, Sequence: 10, Loads: loads}, false},
		{"of another incarnation", 3, Alarm{From: 3, Incarnation: 4, Sequence: 99, Loads: loads}, false},
		{"of a VM of another data centre", 2, Alarm{From: 2, Incarnation: 5, Sequence: 11, Loads: loads}, false},
		{"of an unknown VM", 5, Alarm{From: 5, Incarnation: 5, Sequence: 11, Loads: loads}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newPeerTable(1)
			b.Handle(start, address(3), newHeartbeat(3, 5, 10))
			b.Handle(start, address(2), newHeartbeat(2, 5, 10))
			qt.Assert(t, b.HandleAlarm(start, address(test.from), &test.alarm) != nil, qt.Equals, test.taken)
			qt.Assert(t, b.HandleAlarm(start, address(test.from), &test.alarm), qt.IsNil) // duplicate
			b.Handle(start, address(3), newHeartbeat(3, 5, 11))                           // sent before, arrived later
			accumulated := make(loadsByTarget)
			qt.Assert(t, len(accumulated.apply(b.Loads(start))) == 1, qt.Equals, test.taken)
			b.Handle(start, address(3), newHeartbeat(3, 5, 12))
			qt.Assert(t, accumulated.apply(b.Loads(start)), qt.HasLen, 0)
		})
	}
}

// Guards against alarms above the rate limit. A VM with a broken link repeatedly finds
// every target silent.
func TestAlarmsAreBounded(t *testing.T) {
	b := newPeerTable(1)
	addNearPeers(b, 44)
	bytes := 0
	now := start
	for range 500 { // 10 s
		now = now.Add(20 * time.Millisecond)
		for _, p := range b.peers {
			p.lastHeard = now
		}
		for _, o := range b.MakeAlarms(now, []baobabstep.TargetLoad{silentTarget}) {
			raw, err := Encode(o.Message)
			qt.Assert(t, err, qt.IsNil)
			bytes += len(raw)
		}
	}
	qt.Assert(t, bytes > 0 && bytes <= alarmBurst+10*alarmRate, qt.IsTrue, qt.Commentf("%d", bytes))
}
