package entry

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/io/setting"
)

// A VM that has just started gets a segment before it knows any routes. The age
// of what it does not hold is no number: written as one, it is 292 years, and a
// plot of ages shows nothing else.
func TestAgeOfWhatIsNotKnownIsLeftOut(t *testing.T) {
	lines := memory.New()
	n := New(Options{
		Settings: &setting.Settings{Name: "vm-1", Region: "r", DataCentre: "a"}, Clock: fixedClock{},
		Logger: &log.Logger{Handler: lines, Level: log.InfoLevel}, LogLimits: allLines{}, Rand: rand.New(rand.NewPCG(1, 2)),
	})
	p := baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: baobabstep.FlowKey{Caller: benchService, Service: benchService}}
	n.router.Handle(benchEpoch, &p, new([]baobabstep.Forward))
	qt.Assert(t, lines.Entries, qt.HasLen, 1)
	qt.Check(t, lines.Entries[0].Message, qt.Equals, "segment_unready")
	_, has := lines.Entries[0].Fields["routes_age_ms"]
	qt.Check(t, has, qt.IsFalse)

	n.beliefs.confirm(heartbeat.Routes, benchEpoch.Add(-250*time.Millisecond))
	n.router.Handle(benchEpoch, &p, new([]baobabstep.Forward))
	encoded, err := json.Marshal(lines.Entries[1].Fields)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(encoded), qt.Contains, `"routes_age_ms":250`)
}

type allLines struct{}

func (allLines) Wanted(time.Time, string) bool { return true }
func (allLines) Dropped() map[string]uint64    { return nil }
