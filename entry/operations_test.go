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

// cited is a log line of the operators' page.
var cited = regexp.MustCompile(`(?m)^\{"fields":.*\}$`)

// citedLines returns the lines of one section of the page.
func citedLines(t testing.TB, section string) (list []line) {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	qt.Assert(t, err, qt.IsNil)
	_, text, ok := strings.Cut(string(page), "## "+section)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("section %q", section))
	text, _, _ = strings.Cut(text, "\n## ")
	for _, raw := range cited.FindAllString(text, -1) {
		var l line
		qt.Assert(t, json.Unmarshal([]byte(raw), &l), qt.IsNil)
		list = append(list, l)
	}
	qt.Assert(t, list, qt.Not(qt.HasLen), 0)
	return list
}

// assertLogged checks that a line as the page cites it was written: the same
// message with the same fields, whatever their values.
func (f *fixture) assertLogged(want line) {
	f.t.Helper()
	var keys []string
	for key := range want.Fields {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	f.until(fmt.Sprintf("%s with %v is logged", want.Message, keys), func() bool {
		return f.logged(want.Message, func(fields map[string]any) bool {
			return !slices.ContainsFunc(keys, func(key string) bool { _, has := fields[key]; return !has })
		})
	})
}

// An operator follows the page from a failed request to its cause. Each kind of
// failure is brought about here, and the lines that the page cites have to be
// there, with the fields that it explains.
func TestOperationsPage(t *testing.T) {
	t.Run("never placed", func(t *testing.T) {
		f := newFixture(t, 86, 1)
		_, r := f.target(1)
		f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
		r.Draining = true
		f.store.Register(r)
		f.until("a flow is refused", func() bool { return f.request(2) == standin.Refused })
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
			if outcome == standin.Answered && flow.Request(t.Context(), 1, patience) == standin.Answered {
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
		f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
		f.store.PutRoutes(4, nil)
		f.until("the route is dropped", func() bool { return f.request(2) == standin.Refused })
		for _, l := range citedLines(t, "Refused by a missing or an old route") {
			f.assertLogged(l)
		}
	})
}
