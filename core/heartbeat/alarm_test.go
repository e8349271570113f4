package heartbeat

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// neighbours lets a board hear some VMs of its data centre.
func neighbours(b *Board, count int) {
	for n := range count {
		b.Handle(start, address(2*n+3), beat(2*n+3, 1, 1))
	}
}

var silentTarget = baobabstep.TargetLoad{Target: 9, Unanswered: 1, Opens: 1, LeftAt: start.Add(-30 * time.Millisecond)}

// A VM found a target silent. All others of its data centre hear so at once, and
// those of other data centres, whose path to it may differ, do not.
func TestAlarmGoesToTheDataCentre(t *testing.T) {
	b := newBoard(1)
	neighbours(b, 10)
	b.Handle(start, address(2), beat(2, 1, 1))
	outs := b.Alarm(start, []baobabstep.TargetLoad{silentTarget})
	qt.Assert(t, outs, qt.HasLen, 10)
	for _, o := range outs {
		qt.Assert(t, b.IsNear(o.To), qt.IsTrue)
	}
	raw, err := Encode(outs[0].Message)
	qt.Assert(t, err, qt.IsNil)
	m, err := Decode(raw)
	qt.Assert(t, err, qt.IsNil)

	other := newBoard(3)
	other.Handle(start, address(1), beat(1, 1, 0))
	said := other.HandleAlarm(start, address(1), m.Alarm)
	qt.Assert(t, said[9].Silence, qt.DeepEquals, []baobabstep.Silence{{Unanswered: 1, Opens: 1, LeftAt: start.Add(-30 * time.Millisecond)}})
	qt.Assert(t, other.Loads(start)[9], qt.DeepEquals, said[9])
}

// Alarms come late, doubled, from a former life, or from a VM that nobody knows.
// None of them changes what is held; the next heartbeat replaces it.
func TestOldAlarmsChangeNothing(t *testing.T) {
	loads := MakeLoads(start, []baobabstep.TargetLoad{silentTarget}, maxAlarmed)
	for _, test := range []struct {
		name  string
		from  int
		alarm Alarm
		taken bool
	}{
		{"new", 3, Alarm{From: 3, Life: 5, Number: 11, Loads: loads}, true},
		{"older than the heartbeat", 3, Alarm{From: 3, Life: 5, Number: 10, Loads: loads}, false},
		{"of another life", 3, Alarm{From: 3, Life: 4, Number: 99, Loads: loads}, false},
		{"of a VM of another data centre", 2, Alarm{From: 2, Life: 5, Number: 11, Loads: loads}, false},
		{"of a VM that is not known", 5, Alarm{From: 5, Life: 5, Number: 11, Loads: loads}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := newBoard(1)
			b.Handle(start, address(3), beat(3, 5, 10))
			b.Handle(start, address(2), beat(2, 5, 10))
			qt.Assert(t, b.HandleAlarm(start, address(test.from), &test.alarm) != nil, qt.Equals, test.taken)
			qt.Assert(t, b.HandleAlarm(start, address(test.from), &test.alarm), qt.IsNil) // doubled
			b.Handle(start, address(3), beat(3, 5, 11))                                   // sent before, arrived later
			accumulated := make(loadsByTarget)
			qt.Assert(t, len(accumulated.apply(b.Loads(start))) == 1, qt.Equals, test.taken)
			b.Handle(start, address(3), beat(3, 5, 12))
			qt.Assert(t, accumulated.apply(b.Loads(start)), qt.HasLen, 0)
		})
	}
}

// A VM whose link is broken finds every target silent, again and again. What it
// sends about that stays within its budget.
func TestAlarmsAreBounded(t *testing.T) {
	b := newBoard(1)
	neighbours(b, 44)
	bytes := 0
	now := start
	for range 500 { // 10 s
		now = now.Add(20 * time.Millisecond)
		for _, p := range b.peers {
			p.heard = now
		}
		for _, o := range b.Alarm(now, []baobabstep.TargetLoad{silentTarget}) {
			raw, err := Encode(o.Message)
			qt.Assert(t, err, qt.IsNil)
			bytes += len(raw)
		}
	}
	qt.Assert(t, bytes > 0 && bytes <= alarmBurst+10*alarmRate, qt.IsTrue, qt.Commentf("%d", bytes))
}
