package platform_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/standin/platform"
)

// ask sends one request and returns the status, 0 for a dropped connection.
func ask(c *qt.C, method, url, body string) (int, string) {
	c.Helper()
	req, err := http.NewRequestWithContext(c.Context(), method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	c.Assert(err, qt.IsNil)
	return res.StatusCode, string(text)
}

// TestFaultEndpoint: the launcher of a demo sets faults over HTTP, which have to
// hold for the platform's own interface and never for the endpoint itself.
func TestFaultEndpoint(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(platform.New(platform.Options{}))
	defer server.Close()
	for _, one := range []struct {
		fault  string
		status int
	}{
		{`{}`, http.StatusNotFound},
		{`{"outage": true}`, 0},
		{`{"refuse_sources": ["127.0.0.1"]}`, 0},
		{`{"refuse_sources": ["127.0.0.9"]}`, http.StatusNotFound},
		{`{"calls_per_second": 1}`, http.StatusNotFound},
		{`{"delay_ms": 1}`, http.StatusNotFound},
	} {
		status, text := ask(c, http.MethodPost, server.URL+"/fault", one.fault)
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		status, _ = ask(c, http.MethodGet, server.URL+"/v1/key?key=k", "")
		c.Assert(status, qt.Equals, one.status, qt.Commentf("%s", one.fault))
	}
	status, _ := ask(c, http.MethodPost, server.URL+"/fault", `{"outages": true}`)
	c.Assert(status, qt.Equals, http.StatusBadRequest)
	_, text := ask(c, http.MethodGet, server.URL+"/stats", "")
	var stats platform.Stats
	c.Assert(json.Unmarshal([]byte(text), &stats), qt.IsNil)
	// A client repeats a read whose kept connection was dropped, so that the
	// two faults that drop may count twice.
	c.Assert(stats.Calls >= 6 && stats.Refused >= 2, qt.IsTrue, qt.Commentf("%+v", stats))
	c.Assert(stats.BySource["127.0.0.1"], qt.Equals, stats.Calls)
}
