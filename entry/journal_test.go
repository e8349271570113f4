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

	n.beliefs.vouched(heartbeat.Routes, 0, benchEpoch.Add(-250*time.Millisecond))
	n.router.Handle(benchEpoch, &p, new([]baobabstep.Forward))
	encoded, err := json.Marshal(lines.Entries[1].Fields)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(encoded), qt.Contains, `"routes_age_ms":250`)
}
