package entry

import (
	"encoding/json"
	"maps"
	"os"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/link"
	"baobabstep/core/pace"
)

const testLinkRate = 1.25e6

// newCongestedNode returns a test node whose 10 Mbit/s link receives at full rate for a duration.
func newCongestedNode(limits LogLimiter, duration time.Duration) (*Node, *memory.Handler) {
	lines := memory.New()
	n := newTestNode(new(countingMessages), &log.Logger{Handler: lines, Level: log.InfoLevel}, limits)
	n.meter = link.New(testLinkRate)
	n.pacer = pace.New(n.meter)
	for at := range duration / time.Millisecond {
		size := int(testLinkRate*time.Millisecond.Seconds()) - link.DatagramOverhead
		n.meterReceived(benchEpoch.Add(at*time.Millisecond), []baobabstep.Segment{{Raw: make([]byte, size)}})
	}
	return n, lines
}

// citedLine returns the log line with a message that the operators' page cites.
func citedLine(t testing.TB, message string) (line struct{ Fields map[string]any }) {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	raw := regexp.MustCompile(`(?m)^\{"fields":.*"message":"` + message + `"\}$`).Find(page)
	qt.Assert(t, json.Unmarshal(raw, &line), qt.IsNil, qt.Commentf("%s", message))
	return line
}

func assertFields(t testing.TB, message string, got log.Fields) {
	t.Helper()
	want := slices.Sorted(maps.Keys(citedLine(t, message).Fields))
	qt.Check(t, slices.Sorted(maps.Keys(got)), qt.DeepEquals, want)
}

// Failure: congestion of the link is not logged, or is logged at every tick while the load varies.
func TestCongestionIsLoggedOnce(t *testing.T) {
	n, lines := newCongestedNode(keepAllLines{}, 300*time.Millisecond)
	for tick := range 20 {
		n.logCongestion(benchEpoch.Add(300*time.Millisecond + time.Duration(tick)*tickInterval))
	}
	qt.Assert(t, lines.Entries, qt.HasLen, 2)
	qt.Check(t, lines.Entries[0].Message, qt.Equals, "link congested")
	qt.Check(t, lines.Entries[0].Fields["received_percent"], qt.Equals, 93) // the last 10 of 150 ms are not yet received
	assertFields(t, "link congested", lines.Entries[0].Fields)
	qt.Check(t, lines.Entries[1].Message, qt.Equals, "link congestion over")
	assertFields(t, "link congestion over", lines.Entries[1].Fields)

	t.Run("limiter drops lines", func(t *testing.T) {
		n, lines := newCongestedNode(dropAllLines{}, 300*time.Millisecond)
		n.logCongestion(benchEpoch.Add(300 * time.Millisecond))
		qt.Assert(t, lines.Entries, qt.HasLen, 0)
	})
}

// Failure: congestion that the meter finds is not reported to other VMs, or is reported although the
// mechanism is disabled.
func TestCongestionIsAnnounced(t *testing.T) {
	for _, test := range []struct {
		name    string
		without []string
		want    bool
	}{
		{"with the mechanism", nil, true},
		{"without it", []string{"congestion"}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			n, _ := newCongestedNode(dropAllLines{}, 300*time.Millisecond)
			n.options.Settings.Token.Without = test.without
			n.peerTable.Handle(benchEpoch, peerAddress(1), &heartbeat.Heartbeat{From: 1, DataCentre: "dc-0", Incarnation: 1, Sequence: 1})
			n.announceCongestion()
			out := n.peerTable.Announce(benchEpoch.Add(300*time.Millisecond), n.ownState(benchEpoch), false)
			qt.Assert(t, out, qt.HasLen, 1)
			qt.Check(t, out[0].Message.Heartbeat.CongestedMS > 0, qt.Equals, test.want)
		})
	}
}

// Failure: a VM without a configured link rate counts as congested at the rate that is assumed for
// what it sends to other VMs.
func TestUnknownRateIsNeverCongested(t *testing.T) {
	n := newQuietNode(new(countingMessages))
	n.meter.Received(benchEpoch, 1e9)
	qt.Check(t, n.meter.CongestedSince(benchEpoch), qt.IsFalse)
	qt.Check(t, n.serveRate() > 0, qt.IsTrue)
}
