package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/io/platform"
	standin "baobabstep/standin/platform"
)

// TestOutcomes: what a caller is told of reads and writes under each fault. A
// write is reported as unknown exactly when it may have taken effect, since a
// caller that takes it for failed would make the change twice.
func TestOutcomes(t *testing.T) {
	for _, one := range []struct {
		name        string
		faults      standin.Faults
		read, write baobabstep.Code
		takes       bool
	}{
		{"good order", standin.Faults{}, baobabstep.CodeOK, baobabstep.CodeOK, true},
		{"outage", standin.Faults{Outage: true}, baobabstep.CodePlatformUnavailable, baobabstep.CodePlatformUnknown, false},
		{"answer lost", standin.Faults{LoseAnswers: 1}, baobabstep.CodeOK, baobabstep.CodePlatformUnknown, true},
		{"too many calls", standin.Faults{CallsPerSecond: 1}, baobabstep.CodeOK, baobabstep.CodePlatformUnavailable, false},
		{"source cut off", standin.Faults{RefuseSources: []string{"127.0.0.1"}}, baobabstep.CodePlatformUnavailable, baobabstep.CodePlatformUnknown, false},
		{"slow beyond the timeout", standin.Faults{DelayMS: 400}, baobabstep.CodePlatformUnavailable, baobabstep.CodePlatformUnknown, false},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPair(c, platform.Options{Timeout: 200 * time.Millisecond})
			revision := put(c, p.client, "k", "1", 0)
			p.platform.SetFaults(one.faults)
			_, err := p.client.Get(t.Context(), "k")
			assertCode(c, err, one.read)
			_, err = p.client.Put(t.Context(), "k", []byte("2"), revision)
			assertCode(c, err, one.write)
			p.platform.SetFaults(standin.Faults{})
			kv, err := p.client.Get(t.Context(), "k")
			c.Assert(err, qt.IsNil)
			c.Assert(string(kv.Value) == "2", qt.Equals, one.takes)
		})
	}
}

// TestNeverConnected: nobody listens. The write cannot have taken effect, so it
// is reported as not taken instead of unknown.
func TestNeverConnected(t *testing.T) {
	c := qt.New(t)
	client := platform.NewClient(platform.Options{URL: "http://" + unusedAddress(c)})
	defer client.Close()
	_, err := client.Put(t.Context(), "k", nil, 0)
	assertCode(c, err, baobabstep.CodePlatformUnavailable)
}

// TestOutageCosts: the platform is down for an hour and the VM keeps wanting to
// call it ten times a second. Without the circuit it would meet 36,000 calls
// from each VM when it returns; with it a few hundred, and service resumes
// within the longest pause.
func TestOutageCosts(t *testing.T) {
	c := qt.New(t)
	p := newPair(c, platform.Options{})
	p.client.SetFleetSize(2300)
	p.platform.SetFaults(standin.Faults{Outage: true})
	before := p.platform.Stats().Calls
	for range 36000 {
		_, err := p.client.Get(t.Context(), "k")
		c.Assert(err, qt.IsNotNil)
		p.clock.advance(100 * time.Millisecond)
	}
	calls := p.platform.Stats().Calls - before
	c.Assert(calls < 600, qt.IsTrue, qt.Commentf("%d calls", calls))
	p.platform.SetFaults(standin.Faults{})
	for range 300 {
		p.clock.advance(100 * time.Millisecond)
		if _, err := p.client.Get(t.Context(), "k"); baobabstep.CodeOf(err) == baobabstep.CodeNotFound {
			return
		}
	}
	c.Fatal("the client did not come back within 30 s")
}

// TestTrialIsShort: the platform is back, and the first call after the outage is
// a watch that would wait for a change. Until it is answered the circuit stays
// open, so an operator would be refused for as long; the trial must not wait.
func TestTrialIsShort(t *testing.T) {
	c := qt.New(t)
	p := newPair(c, platform.Options{})
	p.platform.SetFaults(standin.Faults{Outage: true})
	for range 8 {
		_, err := p.client.Get(t.Context(), "k")
		assertCode(c, err, baobabstep.CodePlatformUnavailable)
	}
	p.platform.SetFaults(standin.Faults{})
	p.clock.advance(time.Minute)
	_, err := p.client.Watch(t.Context(), "k", 0, time.Hour)
	c.Assert(err, qt.IsNil)
	_, err = p.client.Get(t.Context(), "k")
	assertCode(c, err, baobabstep.CodeNotFound)
}

// TestBudget: the fleet's budget is shared out, so a VM of a large fleet gets
// less of it, and a caller beyond it is told so instead of loading the platform.
func TestBudget(t *testing.T) {
	c := qt.New(t)
	p := newPair(c, platform.Options{FleetCalls: 2, MaxCalls: 2, Burst: 3, Timeout: 50 * time.Millisecond})
	p.client.SetFleetSize(2300)
	spent := 0
	for range 10 {
		if _, err := p.client.List(t.Context(), ""); baobabstep.CodeOf(err) == baobabstep.CodeBudgetSpent {
			spent++
		}
	}
	c.Assert(spent, qt.Equals, 7)
	c.Assert(p.platform.Stats().Calls, qt.Equals, uint64(3))
}

// TestStaleAnswer: a platform of several machines answers from one that lags.
// The caller must not be given the older value, nor be told that a key it has
// read does not exist.
func TestStaleAnswer(t *testing.T) {
	c := qt.New(t)
	fresh, lagging := newPair(c, platform.Options{}), newPair(c, platform.Options{})
	one := put(c, fresh.client, "k", "1", 0)
	put(c, lagging.client, "k", "1", 0)
	put(c, fresh.client, "k", "2", one)
	put(c, fresh.client, "new", "1", 0)
	to := http.Handler(fresh.platform)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { to.ServeHTTP(w, r) }))
	defer server.Close()
	client := platform.NewClient(platform.Options{URL: server.URL})
	defer client.Close()
	for _, key := range []string{"k", "new"} {
		_, err := client.Get(t.Context(), key)
		c.Assert(err, qt.IsNil)
	}
	to = lagging.platform
	for _, key := range []string{"k", "new"} {
		_, err := client.Get(t.Context(), key)
		assertCode(c, err, baobabstep.CodePlatformUnavailable)
	}
	_, err := client.List(t.Context(), "new")
	assertCode(c, err, baobabstep.CodePlatformUnavailable)
	c.Assert(client.Counts().Stale, qt.Equals, uint64(3))
}

// Guards against a client that takes a platform restored from a backup for a machine
// that lags, and refuses its answers until it has caught up.
func TestRestoredPlatformIsBelieved(t *testing.T) {
	c := qt.New(t)
	p := newPair(c, platform.Options{})
	backup := p.platform.Backup()
	one := put(c, p.client, "k", "1", 0)
	put(c, p.client, "k", "2", one)
	p.platform.Restore(backup)
	_, err := p.client.Get(t.Context(), "k")
	assertCode(c, err, baobabstep.CodeNotFound)
	put(c, p.client, "k", "3", 0)
	values, err := p.client.List(t.Context(), "k")
	c.Assert(err, qt.IsNil)
	c.Assert(values, qt.HasLen, 1)
	c.Assert(p.client.Counts().Stale, qt.Equals, uint64(0))
}

// Guards against changes that a watch skips because its revision was lost and given
// out again.
func TestWatchAcrossRestore(t *testing.T) {
	c := qt.New(t)
	p := newPair(c, platform.Options{})
	put(c, p.client, "k", "1", 0)
	backup := p.platform.Backup()
	lost := put(c, p.client, "other", "1", 0)
	p.platform.Restore(backup)
	admin := platform.NewClient(platform.Options{URL: p.server.URL, MaxCalls: 1e6, Burst: 1e6})
	defer admin.Close()
	for _, key := range []string{"a", "b"} {
		put(c, admin, key, "1", 0)
	}
	_, err := p.client.Watch(t.Context(), "a", lost, 0)
	assertCode(c, err, baobabstep.CodeCompacted)
}

// follower runs a reader whose deliveries can be awaited.
type follower struct {
	replica *config.Replica
	news    chan struct{}
}

func follow(c *qt.C, p baobabstep.Platform) *follower {
	f := &follower{replica: newReplica(time.Now()), news: make(chan struct{}, 64)}
	ctx, cancel := context.WithCancel(context.Background())
	r := platform.NewReader(p, f.replica, nil, func([]config.Out) { f.news <- struct{}{} })
	go r.Run(ctx)
	c.Cleanup(func() { cancel(); <-r.Done() })
	return f
}

// await waits until the version is in force; the test's own time limit ends a
// wait in vain.
func (f *follower) await(version uint64) {
	for f.replica.Current() == nil || f.replica.Current().Version < version {
		<-f.news
	}
}

// TestReaderFaults: a change is accepted after each fault of the platform; the
// reader's VM must come to have it in force without a restart.
func TestReaderFaults(t *testing.T) {
	for _, one := range []struct {
		name  string
		fault standin.Faults
	}{
		{"outage that ends waiting watches", standin.Faults{Outage: true}},
		{"revisions compacted", standin.Faults{Compact: true}},
		{"source cut off", standin.Faults{RefuseSources: []string{"127.0.0.1"}}},
	} {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPair(c, platform.Options{})
			admin := platform.NewClient(platform.Options{URL: p.server.URL, MaxCalls: 1e6, Burst: 1e6})
			defer admin.Close()
			c.Assert(platform.Import(t.Context(), admin, example(c, 1), change("1")).Err, qt.IsNil)
			reading := platform.NewClient(platform.Options{URL: p.server.URL, MaxCalls: 1e6, Burst: 1e6})
			defer reading.Close()
			f := follow(c, reading)
			f.await(1)
			put(c, admin, "another", "1", 0)
			p.platform.SetFaults(one.fault)
			_, _ = reading.Get(t.Context(), "nothing")
			p.platform.SetFaults(standin.Faults{})
			c.Assert(platform.Import(t.Context(), admin, example(c, 2), change("2")).Err, qt.IsNil)
			f.await(2)
			c.Assert(f.replica.Status(time.Now()).Counts.RefusedOld, qt.Equals, uint64(0))
		})
	}
}

// Guards against a change that is accepted and never in force, or lost again, because
// the platform came back from a backup.
func TestReaderRestoresThePlatform(t *testing.T) {
	for _, one := range []struct {
		name string
		// lost is the number of changes that the backup lacks.
		lost int
	}{{"one change lost", 1}, {"all lost", 2}} {
		t.Run(one.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPair(c, platform.Options{})
			admin := platform.NewClient(platform.Options{URL: p.server.URL, MaxCalls: 1e6, Burst: 1e6})
			defer admin.Close()
			reading := platform.NewClient(platform.Options{URL: p.server.URL, MaxCalls: 1e6, Burst: 1e6})
			defer reading.Close()
			backups := []*standin.Backup{p.platform.Backup()}
			c.Assert(platform.Import(t.Context(), admin, example(c, 1), change("1")).Err, qt.IsNil)
			backups = append(backups, p.platform.Backup())
			c.Assert(platform.Import(t.Context(), admin, example(c, 2), change("2")).Err, qt.IsNil)
			f := follow(c, reading)
			f.await(2)
			p.platform.Restore(backups[2-one.lost])
			p.platform.SetFaults(standin.Faults{Outage: true}) // its watches end
			p.platform.SetFaults(standin.Faults{})
			restored := func() bool {
				kv, err := admin.Get(t.Context(), config.HeadKey)
				if err != nil {
					return false
				}
				head, err := config.DecodeHead(kv.Value)
				return err == nil && head.Version == 2
			}
			for !restored() {
				time.Sleep(time.Millisecond)
			}
			assertWhole(c, admin, 2)
			c.Assert(platform.Import(t.Context(), admin, example(c, 1), change("3")).Err, qt.IsNil)
			f.await(3)
			c.Assert(f.replica.Status(time.Now()).Counts.Clashes, qt.Equals, uint64(0))
		})
	}
}

// pausing stops before its nth write, until resumed.
type pausing struct {
	baobabstep.Platform
	before func(n int)
	n      int
}

func (p *pausing) Put(ctx context.Context, key string, value []byte, expected uint64) (uint64, error) {
	p.n++
	p.before(p.n)
	return p.Platform.Put(ctx, key, value, expected)
}

// assertWhole checks that the store has a version with all of its objects.
func assertWhole(c *qt.C, p baobabstep.Platform, version uint64) {
	c.Helper()
	kv, err := p.Get(c.Context(), config.HeadKey)
	c.Assert(err, qt.IsNil)
	head, err := config.DecodeHead(kv.Value)
	c.Assert(err, qt.IsNil)
	c.Assert(head.Version, qt.Equals, version)
	listed, err := p.List(c.Context(), config.ObjectPrefix)
	c.Assert(err, qt.IsNil)
	_, err = config.UnusedObjects(head, listed)
	c.Assert(err, qt.IsNil)
}

func nothing(context.Context) error { return nil }

// TestCollectorPaused: a collector is paused past its lease, before each of its
// writes in turn, while an operator brings back an earlier configuration, whose
// objects the collector took for garbage. Woken up, it must not remove what is in
// force: the store would lack objects and a VM that starts could never load it.
func TestCollectorPaused(t *testing.T) {
	for at := 1; at <= 6; at++ {
		t.Run("", func(t *testing.T) {
			c := qt.New(t)
			clock := newClock()
			p := newFake(clock)
			ctx := t.Context()
			for i, n := range []int{1, 2, 3} {
				c.Assert(platform.Import(ctx, p, example(c, n), change(string(rune('a'+i)))).Err, qt.IsNil)
			}
			slow := &pausing{Platform: p, before: func(n int) {
				if n != at {
					return
				}
				clock.advance(time.Hour)
				c.Assert(platform.Import(ctx, p, example(c, 1), change("back")).Err, qt.IsNil)
				other := platform.NewCollector(p, newReplica(clock.Now()), "vm-2", nil, nothing)
				other.Keep = 0
				_, err := other.Collect(ctx)
				c.Assert(err, qt.IsNil)
			}}
			collector := platform.NewCollector(slow, newReplica(clock.Now()), "vm-1", nil, nothing)
			collector.Keep = 0
			_, _ = collector.Collect(ctx)
			assertWhole(c, p, 4)
		})
	}
}

// TestCollectDuringAccept: a collection runs in the middle of an accept, before
// each of its writes in turn. The accept must start again and write anew what the
// collector removed; otherwise its head would name objects that are gone.
func TestCollectDuringAccept(t *testing.T) {
	for at := 1; at <= 4; at++ {
		t.Run("", func(t *testing.T) {
			c := qt.New(t)
			p := newFake(newClock())
			ctx := t.Context()
			for i, n := range []int{1, 2, 3} {
				c.Assert(platform.Import(ctx, p, example(c, n), change(string(rune('a'+i)))).Err, qt.IsNil)
			}
			removed := 0
			slow := &pausing{Platform: p, before: func(n int) {
				if n != at {
					return
				}
				collector := platform.NewCollector(p, newReplica(time.Now()), "vm-2", nil, nothing)
				collector.Keep = 0
				var err error
				removed, err = collector.Collect(ctx)
				c.Assert(err, qt.IsNil)
			}}
			c.Assert(platform.Import(ctx, slow, example(c, 1), change("back")).Err, qt.IsNil)
			c.Assert(removed > 0, qt.IsTrue)
			assertWhole(c, p, 4)
		})
	}
}
