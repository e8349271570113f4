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

func TestRequestsAreForwarded(t *testing.T) {
	f := newFixture(t, 81, 2)
	f.target(1)
	f.target(2)
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	for n := range uint64(50) {
		qt.Assert(t, f.request(100+n), qt.Equals, standin.Answered)
	}
}

// Guards against flows that fail when a VM is stopped as planned. The VM fails its readiness
// check at once but forwards until the fabric has stopped sending to it. All requests of open
// flows are answered, the later ones over the other VM.
func TestPlannedStopBreaksNoFlow(t *testing.T) {
	f := newFixture(t, 82, 2)
	f.target(1)
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	var flows []*standin.Flow
	for range 8 {
		flow, outcome := f.caller.Open(t.Context(), service)
		qt.Assert(t, outcome, qt.Equals, standin.Answered)
		flows = append(flows, flow)
	}
	f.vms[0].cancel()
	for n := uint64(1000); f.fabric.ReadyCount() > 1; n++ {
		for i, flow := range flows {
			qt.Assert(t, flow.Request(t.Context(), n*10+uint64(i), waitTimeout), qt.Equals, standin.Answered)
		}
	}
	for i, flow := range flows {
		qt.Assert(t, flow.Request(t.Context(), uint64(i), waitTimeout), qt.Equals, standin.Answered)
		flow.Close()
	}
}

// Guards against malformed datagrams that reach a target, stop the VM from forwarding or are
// not logged.
func TestMalformedSegmentsAreLogged(t *testing.T) {
	f := newFixture(t, 89, 1)
	f.target(1)
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	sender, err := net.Dial("udp", f.address(1, 1, dataPort).String())
	qt.Assert(t, err, qt.IsNil)
	defer sender.Close()
	for range 5 {
		_, err := sender.Write([]byte("no segment"))
		qt.Assert(t, err, qt.IsNil)
	}
	f.eventually("the malformed segments are logged", func() bool {
		return f.logged("malformed segments", func(fields map[string]any) bool { return fields["datagrams"] != nil })
	})
	qt.Assert(t, f.request(2), qt.Equals, standin.Answered)
}

// Guards against a VM that keeps an old routing table because a watch missed a change. While
// the store compacts its history, watches report that there was no change.
func TestWatchMissesChange(t *testing.T) {
	f := newFixture(t, 83, 1)
	f.target(1)
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	f.store.SkipEvents()
	f.store.PutRoutes(5, nil)
	f.eventually("the route is dropped", func() bool { return f.request(2) == standin.Refused })
}

// Guards against a VM that cannot start while the store is down: a running VM sends it routes
// and targets.
func TestVMStartsFromPeersWithoutStore(t *testing.T) {
	f := newFixture(t, 84, 1)
	f.target(1)
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	// Only the fleet's secret can be read.
	f.store.SetReadFilter(func(key string) bool { return key == "baobabstep/secret" })
	f.vms = append(f.vms, f.startVM(2))
	f.eventually("the second VM is ready", func() bool { return f.vms[1].node.Ready() == nil })
	fromPeer := func(fields map[string]any) bool { return fields["source"] == "peer" }
	qt.Assert(t, f.logged("routing table in force", fromPeer), qt.IsTrue)
}

var documentedMetric = regexp.MustCompile("(?m)^\\| `(baobabstep_\\w+)` \\|")

func TestMetricsAreDocumented(t *testing.T) {
	f := newFixture(t, 85, 1)
	f.target(1)
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	page, err := os.ReadFile("../docs/METRICS-TOKEN.md")
	qt.Assert(t, err, qt.IsNil)
	var documented []string
	for _, row := range documentedMetric.FindAllStringSubmatch(string(page), -1) {
		documented = append(documented, row[1])
	}
	var text string
	f.eventually("metrics are served", func() bool {
		response, err := http.Get("http://" + f.address(1, 1, metricsPort).String() + "/metrics")
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
	// No heartbeats of other VMs are received here, so the number of peers by data centre is
	// not served.
	documented = slices.DeleteFunc(documented, func(name string) bool { return name == "baobabstep_token_peers" })
	slices.Sort(documented)
	qt.Assert(t, strings.Join(documented, "\n"), qt.Equals, strings.Join(served, "\n"))
}
