package node

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/io/platform"
)

// A caller with a plain HTTP client gets the answer of a server behind the VM,
// by nothing but the example account with the server's address filled in.
func TestHTTPThroughAStreamService(t *testing.T) {
	answering := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "you asked for "+r.URL.Path)
	})
	web := httptest.NewServer(answering)
	defer web.Close()
	other := httptest.NewServer(answering)
	defer other.Close()
	address := freeAddress(t)

	export, err := platform.LoadExport("../examples/web")
	qt.Assert(t, err, qt.IsNil)
	account := export.Accounts[0]
	account = bytes.ReplaceAll(account, []byte("127.0.0.1:8080"), []byte(address))
	account = bytes.ReplaceAll(account, []byte("127.0.0.1:9081"), []byte(strings.TrimPrefix(web.URL, "http://")))
	account = bytes.ReplaceAll(account, []byte("127.0.0.1:9082"), []byte(strings.TrimPrefix(other.URL, "http://")))
	export.Accounts[0] = account

	f := newFixtureWith(t, export)
	f.node.streams = f.node.newStreams(netip.MustParseAddr("127.0.0.1"))
	f.joined()
	defer f.node.stopStreams(t.Context())
	answer, err := http.Get("http://" + address + "/page")
	qt.Assert(t, err, qt.IsNil)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "you asked for /page")
	http.DefaultClient.CloseIdleConnections()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}
