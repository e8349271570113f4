package metric

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestServer(t *testing.T) {
	var notReady error
	s := New(netip.MustParseAddrPort("127.0.0.1:1"), func() error { return notReady })
	s.Register(
		Source{Name: "packets_total", Help: "Packets.", Label: "event", Read: func() map[string]float64 {
			return map[string]float64{"dropped": 2}
		}},
		Source{Name: "config_version", Help: "Version.", Gauge: true, Read: func() map[string]float64 { return Value(7) }},
	)

	t.Run("metrics", func(t *testing.T) {
		body := assertStatus(t, s, "/metrics", http.StatusOK)
		for _, line := range []string{`baobabstep_packets_total{event="dropped"} 2`, `baobabstep_config_version 7`} {
			qt.Check(t, strings.Contains(body, line+"\n"), qt.IsTrue, qt.Commentf("%s", line))
		}
	})
	t.Run("ready", func(t *testing.T) {
		assertStatus(t, s, "/readyz", http.StatusOK)
		notReady = errors.New("no configuration")
		body := assertStatus(t, s, "/readyz", http.StatusServiceUnavailable)
		qt.Check(t, body, qt.Equals, "no configuration\n")
		assertStatus(t, s, "/healthz", http.StatusOK)
	})
}

func assertStatus(t *testing.T, s *Server, path string, want int) string {
	t.Helper()
	recorder := httptest.NewRecorder()
	s.http.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
	qt.Assert(t, recorder.Code, qt.Equals, want)
	return recorder.Body.String()
}
