package entry

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
)

// A VM that has just started gets a segment before it knows any routes. The age
// of what it does not hold is no number: written as one, it is 292 years, and a
// plot of ages shows nothing else.
func TestAgeOfWhatIsNotKnownIsLeftOut(t *testing.T) {
	lines := memory.New()
	n := newTestNode(new(countedMessages), &log.Logger{Handler: lines, Level: log.InfoLevel}, allLines{})
	p := baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: benchService, Service: benchService}}
	n.router.Handle(benchEpoch, &p, new([]baobabstep.Forward))
	qt.Assert(t, lines.Entries, qt.HasLen, 1)
	qt.Check(t, lines.Entries[0].Message, qt.Equals, "segment_unready")
	_, has := lines.Entries[0].Fields["routes_age_ms"]
	qt.Check(t, has, qt.IsFalse)

	n.beliefs.vouched(benchEpoch, heartbeat.Routes, baobabstep.Revision{}, benchEpoch.Add(-250*time.Millisecond))
	n.router.Handle(benchEpoch, &p, new([]baobabstep.Forward))
	encoded, err := json.Marshal(lines.Entries[1].Fields)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(encoded), qt.Contains, `"routes_age_ms":250`)
}

// A reading that is older than what is held leaves no trace, and on-call cannot
// tell a store that went back from one that is not read.
func TestPassedOverReadingIsLogged(t *testing.T) {
	lines := memory.New()
	n := newTestNode(new(countedMessages), &log.Logger{Handler: lines, Level: log.InfoLevel}, allLines{})
	for _, number := range []uint64{500, 450} {
		err := n.learnTargets(nil, baobabstep.Revision{Era: 1, Number: number}, origin{source: sourceStore, confirmed: benchEpoch})
		qt.Assert(t, err, qt.IsNil)
	}
	last := lines.Entries[len(lines.Entries)-1]
	qt.Check(t, last.Message, qt.Equals, "news passed over")
	qt.Check(t, last.Fields, qt.DeepEquals, log.Fields{
		"kind": "targets", "source": "store",
		"offered": uint64(450), "offered_era": uint64(1), "held": uint64(500), "held_era": uint64(1), "age_ms": int64(0),
		"vm": "vm-0", "data_centre": "dc-0",
	})
	qt.Check(t, n.beliefs.passedOverCounts(), qt.DeepEquals, map[string]float64{"store": 1, "watch": 0, "peer": 0, "copy": 0})
}
