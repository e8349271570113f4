package platform_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http/httptest"
	"sort"
	"strings"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/io/platform"
	standin "baobabstep/standin/platform"
)

// manualClock is a clock that the test moves.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func newClock() *manualClock { return &manualClock{now: time.Unix(1e9, 0)} }

func (m *manualClock) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

func (m *manualClock) advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}

// pair is a stand-in platform and a client of it over HTTP.
type pair struct {
	platform *standin.Platform
	server   *httptest.Server
	client   *platform.Client
	clock    *manualClock
}

func newPair(c *qt.C, o platform.Options) *pair {
	c.Helper()
	p := &pair{clock: newClock()}
	p.platform = standin.New(standin.Options{Clock: p.clock, Kept: 8, VMLag: time.Second})
	p.server = httptest.NewServer(p.platform)
	c.Cleanup(p.server.Close)
	o.URL, o.Clock = p.server.URL, p.clock
	if o.Burst == 0 {
		o.Burst, o.MaxCalls = 1e6, 1e6
	}
	p.client = platform.NewClient(o)
	c.Cleanup(p.client.Close)
	return p
}

// fake is the port over a map, without a wire.
type fake struct {
	mu       sync.Mutex
	clock    *manualClock
	revision uint64
	keys     map[string]baobabstep.KeyValue
	changes  []baobabstep.KeyValue
	lost     uint64
	changed  chan struct{}
	leases   map[string]fakeLease
	lists    []fakeList
}

type fakeLease struct {
	holder  string
	fencing uint64
	until   time.Time
}

type fakeList struct {
	at  time.Time
	vms []baobabstep.VM
}

var _ baobabstep.Platform = (*fake)(nil)

func newFake(clock *manualClock) *fake {
	return &fake{clock: clock, keys: map[string]baobabstep.KeyValue{}, changed: make(chan struct{}), leases: map[string]fakeLease{}}
}

func coded(code baobabstep.Code) error { return baobabstep.Errorf(code, "fake", "refused") }

func (f *fake) Get(_ context.Context, key string) (baobabstep.KeyValue, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kv, ok := f.keys[key]
	if !ok {
		return kv, coded(baobabstep.CodeNotFound)
	}
	return kv, nil
}

func (f *fake) Put(_ context.Context, key string, value []byte, expected uint64) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(value) > 1<<20 {
		return 0, coded(baobabstep.CodeTooLarge)
	}
	if f.keys[key].Revision != expected {
		return 0, coded(baobabstep.CodeConflict)
	}
	f.revision++
	kv := baobabstep.KeyValue{Key: key, Value: value, Revision: f.revision}
	f.keys[key] = kv
	if len(value) == 0 {
		delete(f.keys, key)
	}
	f.changes = append(f.changes, kv)
	if len(f.changes) > 8 {
		f.lost = f.changes[0].Revision
		f.changes = f.changes[1:]
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return f.revision, nil
}

func (f *fake) List(_ context.Context, prefix string) ([]baobabstep.KeyValue, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []baobabstep.KeyValue
	for key, kv := range f.keys {
		if strings.HasPrefix(key, prefix) {
			out = append(out, kv)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out, nil
}

func (f *fake) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]baobabstep.KeyValue, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		f.mu.Lock()
		changed, lost := f.changed, f.lost
		latest := map[string]baobabstep.KeyValue{}
		for _, kv := range f.changes {
			if kv.Revision > after && strings.HasPrefix(kv.Key, prefix) {
				latest[kv.Key] = kv
			}
		}
		f.mu.Unlock()
		if after < lost {
			return nil, coded(baobabstep.CodeCompacted)
		}
		if len(latest) > 0 {
			var out []baobabstep.KeyValue
			for _, kv := range latest {
				out = append(out, kv)
			}
			return out, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, coded(baobabstep.CodePlatformUnavailable)
		}
	}
}

func (f *fake) Lease(_ context.Context, name, holder string, ttl time.Duration) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, l := f.clock.Now(), f.leases[name]
	if l.holder != holder && now.Before(l.until) {
		return 0, coded(baobabstep.CodeConflict)
	}
	if l.holder != holder || now.After(l.until) {
		f.revision++
		l = fakeLease{holder: holder, fencing: f.revision}
	}
	l.until = now.Add(ttl)
	f.leases[name] = l
	return l.fencing, nil
}

func (f *fake) VMs(context.Context) ([]baobabstep.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []baobabstep.VM
	for _, l := range f.lists {
		if f.clock.Now().Sub(l.at) >= time.Second {
			out = l.vms
		}
	}
	return out, nil
}

// example returns the export of an example organisation, with doc texts that
// depend on n so that versions differ.
func example(c *qt.C, n int) config.Export {
	c.Helper()
	e, err := platform.LoadExport("../../examples/tas-south")
	c.Assert(err, qt.IsNil)
	e.Accounts[0] = json.RawMessage(strings.Replace(string(e.Accounts[0]), `"doc": "`, fmt.Sprintf(`"doc": "%d`, n), 1))
	return e
}

func change(id string) config.Change {
	return config.Change{ID: id, Operator: "ana", Reason: "test", Action: "config import"}
}

func newReplica(now time.Time) *config.Replica {
	return config.NewReplica(now, config.ReplicaOptions{Self: baobabstep.VM{ID: 1, Name: "vm-1", DataCentre: "a"}})
}

// unusedAddress returns a loopback address that nobody listens on.
func unusedAddress(c *qt.C) string {
	c.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func assertCode(c *qt.C, err error, code baobabstep.Code) {
	c.Helper()
	c.Assert(baobabstep.CodeOf(err), qt.Equals, code, qt.Commentf("%v", err))
}
