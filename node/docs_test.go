package node

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/io/metric"
	"baobabstep/io/packet"
	"baobabstep/io/peer"
)

// The pages cite an event as member_counts{event="pauses"}, and the page on
// membership as a row "| member: `pauses`, `deaths` |".
var (
	citedEvent = regexp.MustCompile(`\b(\w+?)(?:_counts|_events_total)\{event="(\w+)"\}`)
	countRow   = regexp.MustCompile(`(?m)^\| (member|peer): ([^|]+)\|`)
	codeWord   = regexp.MustCompile("`(\\w+)`")
)

// An alert on an event that is not counted never fires.
func TestCitedEventsAreCounted(t *testing.T) {
	counted := map[string]map[string]float64{
		"peer": metric.Fields(peer.Stats{}), "packet": metric.Fields(packet.Stats{}),
	}
	n := newFixture(t).node
	counted["flow"] = n.flowEvents()
	counted["request"] = metric.Fields(n.work.Stats())
	counted["member"] = metric.Fields(n.fleet.Stats())
	counted["config"] = n.configCounts()
	pages, err := filepath.Glob("../docs/*.md")
	qt.Assert(t, err, qt.IsNil)
	more, err := filepath.Glob("../docs/operators/*.md")
	qt.Assert(t, err, qt.IsNil)
	cited := 0
	check := func(page, part, event string) {
		_, ok := counted[part][event]
		qt.Check(t, ok, qt.IsTrue, qt.Commentf("%s: %s of %s", page, event, part))
		cited++
	}
	for _, page := range append(pages, more...) {
		text, err := os.ReadFile(page)
		qt.Assert(t, err, qt.IsNil)
		for _, event := range citedEvent.FindAllStringSubmatch(string(text), -1) {
			check(page, event[1], event[2])
		}
		for _, row := range countRow.FindAllStringSubmatch(string(text), -1) {
			for _, event := range codeWord.FindAllStringSubmatch(row[2], -1) {
				check(page, row[1], event[1])
			}
		}
	}
	qt.Assert(t, cited > 20, qt.IsTrue)
}
