package link_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep/core/link"
)

const (
	rate = 1.25e6 // 10 Mbit/s
	step = 10 * time.Millisecond
)

var start = time.Unix(1_000_000, 0)

// receive feeds a meter with a share of the rate for a time and returns the time after it.
func receive(m *link.Meter, from time.Time, share float64, duration time.Duration) time.Time {
	for at := from; at.Before(from.Add(duration)); at = at.Add(step) {
		m.Received(at, int(share*rate*step.Seconds()))
	}
	return from.Add(duration)
}

// Failure: a load too short or too small to delay a segment until its retransmission counts
// as congestion, or a full link does not.
func TestCongestedSince(t *testing.T) {
	for _, test := range []struct {
		name     string
		rate     float64
		share    float64
		duration time.Duration
		want     bool
	}{
		{"idle", rate, 0, time.Second, false},
		{"one long upload", rate, 1, 100 * time.Millisecond, false},
		{"three quarters busy", rate, 0.75, time.Second, false},
		{"full", rate, 1, 200 * time.Millisecond, true},
		{"rate unknown", 0, 10, time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			m := link.New(test.rate)
			receive(m, start, test.share, test.duration)
			qt.Assert(t, m.CongestedSince(start), qt.Equals, test.want)
		})
	}
}

// Failure: past congestion is taken as the cause of a later retransmission.
func TestCongestionEnds(t *testing.T) {
	m := link.New(rate)
	end := receive(m, start, 1, 300*time.Millisecond)
	receive(m, end, 0.1, time.Second)
	qt.Assert(t, m.CongestedSince(end.Add(200*time.Millisecond)), qt.IsFalse)
	qt.Assert(t, m.CongestedSince(start), qt.IsTrue)
}

// Failure: bytes sent in excess of the rate are not counted as backlog, or do not drain at
// the rate.
func TestBacklog(t *testing.T) {
	m := link.New(rate)
	m.Sent(start, rate/4)
	qt.Assert(t, m.Load(start).Backlog, qt.Equals, 250*time.Millisecond)
	qt.Assert(t, m.CongestedSince(start.Add(204*time.Millisecond)), qt.IsTrue)
	later := start.Add(200 * time.Millisecond)
	qt.Assert(t, m.Load(later).Backlog, qt.Equals, 50*time.Millisecond)
	qt.Assert(t, m.CongestedSince(start.Add(206*time.Millisecond)), qt.IsFalse)
}

// Failure: the clock steps back by seconds, and all bytes received until it catches up are
// counted in one window.
func TestClockStepsBack(t *testing.T) {
	m := link.New(rate)
	receive(m, start, 0.1, time.Second)
	earlier := start.Add(-10 * time.Second)
	receive(m, earlier, 0.5, time.Second)
	qt.Assert(t, m.CongestedSince(earlier), qt.IsFalse)
	qt.Assert(t, m.Load(earlier.Add(time.Second)).Received <= 0.5, qt.IsTrue)
}

// Failure: a burst of 16 segments takes 81 ms on a link of 2 Mbit/s and overflows its queue,
// which also drops first segments of other callers. Their retransmissions count as evidence
// against the targets, and two such VMs reset flows of a live target.
func TestBurstOverflowsSlowLink(t *testing.T) {
	const slow = 2e6 / 8
	m := link.New(slow)
	for range 16 {
		m.Received(start, 1259)
		m.Sent(start, 1259)
	}
	first := start.Add(20 * time.Millisecond)
	m.Sent(first, 59)
	qt.Assert(t, m.Load(first).Sent < 0.6, qt.IsTrue)
	qt.Assert(t, m.CongestedSince(first), qt.IsTrue)
	qt.Assert(t, m.CongestedSince(start.Add(50*time.Millisecond)), qt.IsFalse)
}

// Failure: after a minute of sending at twice the rate, a VM counts as congested for another
// minute, although no real queue is that long.
func TestBacklogIsBounded(t *testing.T) {
	m := link.New(rate)
	at := start
	for ; at.Before(start.Add(time.Minute)); at = at.Add(step) {
		m.Sent(at, int(2*rate*step.Seconds()))
	}
	qt.Assert(t, m.CongestedSince(at), qt.IsTrue)
	qt.Assert(t, m.CongestedSince(at.Add(time.Second)), qt.IsFalse)
}
