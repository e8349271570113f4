package entry_test

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep/platform/standin"
)

// cited matches a log line cited by the operators' page.
var cited = regexp.MustCompile(`(?m)^\{"fields":.*\}$`)

// citedLines returns the log lines cited in one section of the page.
func citedLines(t testing.TB, section string) (list []logLine) {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	_, text, ok := strings.Cut(string(page), "## "+section)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("section %q", section))
	text, _, _ = strings.Cut(text, "\n## ")
	for _, raw := range cited.FindAllString(text, -1) {
		var l logLine
		qt.Assert(t, json.Unmarshal([]byte(raw), &l), qt.IsNil)
		list = append(list, l)
	}
	qt.Assert(t, list, qt.Not(qt.HasLen), 0)
	return list
}

// assertLogged checks that a cited line was logged: the same message with the same fields,
// whatever their values.
func (f *fixture) assertLogged(want logLine) {
	f.t.Helper()
	var keys []string
	for key := range want.Fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	f.eventually(fmt.Sprintf("%s with %v is logged", want.Message, keys), func() bool {
		return f.logged(want.Message, func(fields map[string]any) bool {
			return !slices.ContainsFunc(keys, func(key string) bool { _, has := fields[key]; return !has })
		})
	})
}

// Guards against cited log lines that are not written, or lack fields that the operators' page
// explains. Each kind of failure that the page describes is caused here.
func TestOperationsPage(t *testing.T) {
	t.Run("never placed", func(t *testing.T) {
		f := newFixture(t, 86, 1)
		_, r := f.target(1)
		f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
		r.Draining = true
		f.store.Register(r)
		f.eventually("a flow is refused", func() bool { return f.request(2) == standin.Refused })
		for _, l := range citedLines(t, "Never placed") {
			f.assertLogged(l)
		}
	})
	t.Run("dark target", func(t *testing.T) {
		f := newFixture(t, 87, 1)
		dark, _ := f.target(1)
		f.target(2)
		var flows []*standin.Flow
		for len(flows) < 30 {
			flow, outcome := f.caller.Open(t.Context(), service)
			if outcome == standin.Answered && flow.Request(t.Context(), 1, waitTimeout) == standin.Answered {
				flows = append(flows, flow)
			}
		}
		dark.SetSilent(true)
		ends := make(chan standin.Outcome)
		for n, flow := range flows {
			go func() {
				outcome := standin.Answered
				for i := 0; i < 200 && outcome == standin.Answered; i++ {
					outcome = flow.Request(t.Context(), uint64(1000*n+i+2), time.Second)
					f.request(uint64(1e6 + 1000*n + i))
				}
				ends <- outcome
			}()
		}
		broken := 0
		for range flows {
			if <-ends == standin.Broken {
				broken++
			}
		}
		qt.Assert(t, broken > 0, qt.IsTrue)
		for _, l := range citedLines(t, "Placed on a target that then went dark") {
			f.assertLogged(l)
		}
	})
	t.Run("missing route", func(t *testing.T) {
		f := newFixture(t, 88, 1)
		f.target(1)
		f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
		f.store.PutRoutes(4, nil)
		f.eventually("the route is dropped", func() bool { return f.request(2) == standin.Refused })
		for _, l := range citedLines(t, "Refused by a missing or an old route") {
			f.assertLogged(l)
		}
	})
}
