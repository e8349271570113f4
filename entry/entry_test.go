package entry_test

import (
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/platform/standin"
)

func TestWholePath(t *testing.T) {
	f := newFixture(t, 81, 2)
	f.target(1)
	f.target(2)
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	for n := range uint64(50) {
		qt.Assert(t, f.request(100+n), qt.Equals, standin.Answered)
	}
}

// A VM is stopped as planned. It is not ready at once, and goes on forwarding
// until the fabric has stopped sending: the flow's requests are all answered,
// the later ones over the other VM.
func TestPlannedStopBreaksNoFlow(t *testing.T) {
	f := newFixture(t, 82, 2)
	f.target(1)
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	var flows []*standin.Flow
	for range 8 {
		flow, outcome := f.caller.Open(t.Context(), service)
		qt.Assert(t, outcome, qt.Equals, standin.Answered)
		flows = append(flows, flow)
	}
	f.vms[0].cancel()
	for n := uint64(1000); f.fabric.ReadyCount() > 1; n++ {
		for i, flow := range flows {
			qt.Assert(t, flow.Request(t.Context(), n*10+uint64(i), patience), qt.Equals, standin.Answered)
		}
	}
	for i, flow := range flows {
		qt.Assert(t, flow.Request(t.Context(), uint64(i), patience), qt.Equals, standin.Answered)
		flow.Close()
	}
}

// Somebody sends what is no segment. It reaches no target, is counted and logged,
// and callers go on being served.
func TestMalformedSegmentsAreLogged(t *testing.T) {
	f := newFixture(t, 89, 1)
	f.target(1)
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	sender, err := net.Dial("udp", f.at(1, 1, dataPort).String())
	qt.Assert(t, err, qt.IsNil)
	defer sender.Close()
	for range 5 {
		_, err := sender.Write([]byte("no segment"))
		qt.Assert(t, err, qt.IsNil)
	}
	f.until("it is logged", func() bool {
		return f.logged("malformed segments", func(fields map[string]any) bool { return fields["datagrams"] != nil })
	})
	qt.Assert(t, f.request(2), qt.Equals, standin.Answered)
}

// While the store drops its history, watches pass over a change and say that
// there was none. The VM has to come to the new table by itself.
func TestSilentWatch(t *testing.T) {
	f := newFixture(t, 83, 1)
	f.target(1)
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	f.store.SkipEvents()
	f.store.PutRoutes(5, nil)
	f.until("the route is dropped", func() bool { return f.request(2) == standin.Refused })
}

// The store is down when a VM starts. A VM that runs hands on what it holds.
func TestVMStartsWhileTheStoreRefusesIt(t *testing.T) {
	f := newFixture(t, 84, 1)
	f.target(1)
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	// The fleet's secret is the only thing that can be read.
	f.store.SetReadFilter(func(key string) bool { return key == "baobabstep/secret" })
	f.vms = append(f.vms, f.startVM(2))
	f.until("the second VM is ready", func() bool { return f.vms[1].node.Ready() == nil })
	fromPeer := func(fields map[string]any) bool { return fields["source"] == "peer" }
	qt.Assert(t, f.logged("routing table in force", fromPeer), qt.IsTrue)
}

var documentedMetric = regexp.MustCompile("(?m)^\\| `(baobabstep_\\w+)` \\|")

func TestMetricsAreDocumented(t *testing.T) {
	f := newFixture(t, 85, 1)
	f.target(1)
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	page, err := os.ReadFile("../docs/METRICS-TOKEN.md")
	qt.Assert(t, err, qt.IsNil)
	var documented []string
	for _, row := range documentedMetric.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, row[1])
	}
	var text string
	f.until("metrics are served", func() bool {
		response, err := http.Get("http://" + f.at(1, 1, metricsPort).String() + "/metrics")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		raw, err := io.ReadAll(response.Body)
		text = string(raw)
		return err == nil && response.StatusCode == http.StatusOK
	})
	var served []string
	for _, row := range regexp.MustCompile(`(?m)^# TYPE (baobabstep_\w+)`).FindAllStringSubmatch(text, -1) {
		served = append(served, row[1])
	}
	// No other VM is heard here, so nothing is said of peers by data centre.
	documented = slices.DeleteFunc(documented, func(name string) bool { return name == "baobabstep_token_peers" })
	slices.Sort(documented)
	qt.Assert(t, strings.Join(documented, "\n"), qt.Equals, strings.Join(served, "\n"))
}
