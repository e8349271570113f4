package stream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"baobabstep"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// roundRobin picks targets in order and counts what is open on each.
type roundRobin struct {
	mu      sync.Mutex
	next    int
	open    map[baobabstep.TargetID]int
	refused map[baobabstep.TargetID]int
}

var _ baobabstep.Chooser = (*roundRobin)(nil)

func newRoundRobin() *roundRobin {
	return &roundRobin{open: map[baobabstep.TargetID]int{}, refused: map[baobabstep.TargetID]int{}}
}

func (r *roundRobin) PickFlow(_ time.Time, s *baobabstep.Service, _ string, _ uint64) (baobabstep.TargetID, baobabstep.Code) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(s.Targets) == 0 {
		return 0, baobabstep.CodeNoTarget
	}
	id := s.Targets[r.next%len(s.Targets)].ID
	r.next++
	r.open[id]++
	return id, baobabstep.CodeOK
}

func (r *roundRobin) FlowOpened(_ time.Time, id baobabstep.TargetID) { r.add(r.open, id, 1) }
func (r *roundRobin) FlowClosed(_ time.Time, id baobabstep.TargetID) { r.add(r.open, id, -1) }

func (r *roundRobin) FlowRefused(_ time.Time, id baobabstep.TargetID, _ baobabstep.Code) {
	r.add(r.open, id, -1)
	r.add(r.refused, id, 1)
}

func (r *roundRobin) add(m map[baobabstep.TargetID]int, id baobabstep.TargetID, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m[id] += n
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// fixture is a proxy before one service with the given targets.
type fixture struct {
	proxy   *Proxy
	chooser *roundRobin
	address string
	config  *baobabstep.Config
}

func newFixture(t *testing.T, limits Limits, targets ...string) *fixture {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := free.Addr().String()
	free.Close()

	service := baobabstep.Service{Name: "a/web", Stream: true, Address: netip.MustParseAddrPort(address)}
	for _, name := range targets {
		service.Targets = append(service.Targets, baobabstep.Target{
			ID: baobabstep.MakeTargetID(name), Name: name, Address: netip.MustParseAddrPort(name),
		})
	}
	f := &fixture{chooser: newRoundRobin(), address: address}
	f.config = &baobabstep.Config{Version: 1, Services: []baobabstep.Service{service}}
	f.proxy = New(Options{
		Host: netip.MustParseAddr("127.0.0.1"), Chooser: f.chooser, Clock: systemClock{},
		Draw: func() uint64 { return 1 }, Limits: limits,
	})
	f.proxy.SetConfig(t.Context(), f.config)
	return f
}

func (f *fixture) stop(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	f.proxy.Stop(ctx)
	<-f.proxy.Done()
}

// startTarget serves each connection with handle.
func startTarget(t *testing.T, handle func(*net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c.(*net.TCPConn))
			}()
		}
	}()
	return l.Addr().String()
}

func echo(c *net.TCPConn) { _, _ = io.Copy(c, c) }

func dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

func assertEcho(t *testing.T, c *net.TCPConn, size int) {
	t.Helper()
	sent := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	go func() {
		_, _ = c.Write(sent)
		_ = c.CloseWrite()
	}()
	got, err := io.ReadAll(c)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, bytes.Equal(got, sent), qt.IsTrue, qt.Commentf("got %d bytes, want %d", len(got), len(sent)))
}

func TestProxyCarriesBytesAndHalfClose(t *testing.T) {
	target := startTarget(t, echo)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	f := newFixture(t, Limits{}, target)
	defer f.stop(t)
	for _, size := range []int{16, 1 << 10, 4 << 20} {
		assertEcho(t, dial(t, f.address), size)
	}
}

func TestProxyServesHTTP(t *testing.T) {
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "path "+r.URL.Path)
	}))
	defer web.Close()
	f := newFixture(t, Limits{}, strings.TrimPrefix(web.URL, "http://"))
	defer f.stop(t)
	answer, err := http.Get("http://" + f.address + "/page")
	qt.Assert(t, err, qt.IsNil)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "path /page")
}

// The caller gets its answer although the first target chosen is dead: the
// connection to it is refused, no byte has gone out, so the proxy tells the
// chooser and takes the next target.
func TestProxyTakesAnotherTargetBeforeTheFirstByte(t *testing.T) {
	const dead = "127.0.0.1:1"
	f := newFixture(t, Limits{}, dead, startTarget(t, echo))
	defer f.stop(t)
	assertEcho(t, dial(t, f.address), 1<<10)
	f.chooser.mu.Lock()
	defer f.chooser.mu.Unlock()
	qt.Check(t, f.chooser.refused[baobabstep.MakeTargetID(dead)], qt.Equals, 1)
	qt.Check(t, f.chooser.open[baobabstep.MakeTargetID(dead)], qt.Equals, 0)
}

// The caller sees a reset, not an end of file, when the target resets in the
// middle of an answer: an orderly end would pass a cut answer off as whole.
func TestProxyPassesOnAReset(t *testing.T) {
	f := newFixture(t, Limits{}, startTarget(t, func(c *net.TCPConn) {
		_, _ = c.Write([]byte("half"))
		_, _ = c.Read(make([]byte, 1))
		_ = c.SetLinger(0)
	}))
	defer f.stop(t)
	c := dial(t, f.address)
	head := make([]byte, 4)
	_, err := io.ReadFull(c, head)
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Write([]byte("x"))
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.ErrorMatches, ".*connection reset by peer")
}

// A caller that opens connections and says nothing reaches its own limit and is
// refused; a connection that it already had goes on working.
func TestProxyBoundsSilentCallers(t *testing.T) {
	f := newFixture(t, Limits{ConnectionsPerCaller: 2}, startTarget(t, echo))
	defer f.stop(t)
	first := dial(t, f.address)
	_, err := first.Write([]byte("a"))
	qt.Assert(t, err, qt.IsNil)
	_, err = first.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	dial(t, f.address)
	assertRefused(t, f.address)
	assertEcho(t, first, 1<<10)
}

// assertRefused checks that a connection is reset. That may be seen while it is
// made or at the first read.
func assertRefused(t *testing.T, address string) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		qt.Assert(t, err, qt.ErrorMatches, ".*connection reset by peer")
		return
	}
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.ErrorMatches, ".*connection reset by peer")
}

// A planned stop takes no new connection and lets an open one finish. The
// caller with the open connection gets all of its bytes back.
func TestProxyStopWaitsForOpenConnections(t *testing.T) {
	target := startTarget(t, echo)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	f := newFixture(t, Limits{}, target)
	c := dial(t, f.address)
	_, err := c.Write([]byte("a"))
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)

	cut := make(chan int, 1)
	go func() { cut <- f.proxy.Stop(context.Background()) }()
	for {
		probe, err := net.Dial("tcp", f.address)
		if err != nil {
			break
		}
		probe.Close()
	}
	assertEcho(t, c, 1<<10)
	qt.Assert(t, <-cut, qt.Equals, 0)
}

// A new version without the service closes its listener and leaves the open
// connection alone.
func TestProxyRemovedServiceKeepsOpenConnections(t *testing.T) {
	f := newFixture(t, Limits{}, startTarget(t, echo))
	defer f.stop(t)
	c := dial(t, f.address)
	_, err := c.Write([]byte("a"))
	qt.Assert(t, err, qt.IsNil)
	_, err = c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNil)
	f.proxy.SetConfig(t.Context(), &baobabstep.Config{Version: 2})
	_, err = net.Dial("tcp", f.address)
	qt.Assert(t, err, qt.ErrorMatches, ".*connection refused")
	assertEcho(t, c, 1<<10)
}
