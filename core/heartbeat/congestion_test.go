package heartbeat

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// reencode returns a message as its receiver decodes it.
func reencode(t testing.TB, m *Message) *Message {
	t.Helper()
	raw, err := Encode(m)
	qt.Assert(t, err, qt.IsNil)
	received, err := Decode(raw)
	qt.Assert(t, err, qt.IsNil)
	return received
}

// Failure: a VM whose link was congested reports silent targets, and the congestion is not
// passed to the receivers.
func TestCongestionIsReported(t *testing.T) {
	for _, test := range []struct {
		name     string
		at, want time.Time
	}{
		{"never", time.Time{}, time.Time{}},
		{"now", start, start},
		{"a while ago", start.Add(-300 * time.Millisecond), start.Add(-300 * time.Millisecond)},
		{"until later, by the backlog", start.Add(time.Second), start},
		{"older than maxCongestionAge", start.Add(-maxCongestionAge), time.Time{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			sender, receiver := newPeerTable(1), newPeerTable(3)
			receiver.Handle(start, address(1), newHeartbeat(1, 1, 0))
			sender.Handle(start, address(3), newHeartbeat(3, 1, 0))
			sender.SetCongestedAt(test.at)
			alarm := reencode(t, sender.MakeAlarms(start, []baobabstep.TargetLoad{silentTarget})[0].Message).Alarm
			alarm.Incarnation = 1
			loads := receiver.HandleAlarm(start, address(1), alarm)
			qt.Assert(t, loads[9].SilenceReports, qt.HasLen, 1)
			qt.Check(t, loads[9].SilenceReports[0].CongestedAt.Equal(test.want), qt.IsTrue)

			heartbeat := sender.Announce(start, LocalState{Loads: []baobabstep.TargetLoad{silentTarget}}, false)
			h := reencode(t, heartbeat[0].Message).Heartbeat
			h.Incarnation = 2
			receiver.Handle(start, address(1), h)
			qt.Check(t, receiver.Loads(start)[9].SilenceReports[0].CongestedAt.Equal(test.want), qt.IsTrue)
			congested := 0
			if !test.want.IsZero() {
				congested = 1
			}
			qt.Check(t, receiver.CongestedCount(start), qt.Equals, congested)
		})
	}
}

// Failure: a value out of range in a message of another VM becomes a time in the future, and
// its reports are ignored indefinitely.
func TestCongestionAgeOutOfRange(t *testing.T) {
	for _, ms := range []uint32{1, 2, math.MaxInt32, math.MaxUint32} {
		qt.Check(t, congestedAt(start, ms).After(start), qt.IsFalse, qt.Commentf("%d", ms))
	}
	qt.Check(t, congestedAt(start, math.MaxUint32).Before(start.Add(-maxCongestionAge)), qt.IsTrue)
}
