package config_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep/core/config"
)

// targetsOf returns the number of targets of an account: 4 or 5, 4.2 in the mean,
// so that 6,200 accounts have 26,040.
func targetsOf(number int) int {
	if number%5 == 0 {
		return 5
	}
	return 4
}

func bigChange(accounts int) config.Change {
	c := firstChange(0, 0)
	for i := range accounts {
		c.Edits = append(c.Edits, config.Edit{Kind: config.ObjectAccount, Name: accountName(i), Document: config.Encode(testAccount(i, targetsOf(i)))})
	}
	return c
}

// accountCounts are the benchmarked numbers of accounts, up to the required 6,200.
var accountCounts = []int{100, 400, 1600, 6200}

func bigStore(b *testing.B, accounts int) *store {
	b.Helper()
	s := newStore()
	mustAccept(qt.New(b), s, bigChange(accounts))
	return s
}

// BenchmarkFirst loads and renders a whole version with empty caches.
func BenchmarkFirst(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := bigStore(b, n)
			c := qt.New(b)
			bytes := 0
			for k, kv := range s.keys {
				if k != config.HeadKey {
					bytes += len(kv.Value)
				}
			}
			for b.Loop() {
				s.read(c)
			}
			b.ReportMetric(float64(bytes), "object-bytes")
		})
	}
}

// BenchmarkChange builds a version in which one account changed, from local objects
// and with the previous version cached.
func BenchmarkChange(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := bigStore(b, n)
			builder := config.NewBuilder()
			objects := func(d config.Digest) ([]byte, bool) { kv, ok := s.keys[config.ObjectKey(d)]; return kv.Value, ok }
			var heads [2]config.Digest
			set, _, err := builder.Build(headOf(b, s), objects, nil)
			qt.Assert(b, err, qt.IsNil)
			for i := range heads {
				mustAccept(qt.New(b), s, queueChange(fmt.Sprint(i), 1, targetsOf(1), i-1, i))
				heads[i] = headOf(b, s)
			}
			i := 0
			for b.Loop() {
				if set, _, err = builder.Build(heads[i%2], objects, set); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

func headOf(b *testing.B, s *store) config.Digest {
	b.Helper()
	head, err := config.DecodeHead(s.keys[config.HeadKey].Value)
	qt.Assert(b, err, qt.IsNil)
	return head.Manifest
}

// BenchmarkAccept accepts a change of one account on a VM that has the version in
// force.
func BenchmarkAccept(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := bigStore(b, n)
			objects := func(d config.Digest) ([]byte, bool) { kv, ok := s.keys[config.ObjectKey(d)]; return kv.Value, ok }
			builder := config.NewBuilder()
			set, _, err := builder.Build(headOf(b, s), objects, nil)
			qt.Assert(b, err, qt.IsNil)
			puts, gets := s.puts, s.gets
			i := 0
			for b.Loop() {
				res := s.accept(testStart, queueChange(fmt.Sprint(i), 1, targetsOf(1), i%100-1, (i+1)%100-1+100*((i+1)%100/100)), config.AcceptOptions{Objects: objects, Current: set, Builder: builder.Clone()})
				if res.Err != nil {
					b.Fatal(res.Err)
				}
				i++
				if i == 99 {
					b.Fatal("more changes than distinct values")
				}
			}
			b.ReportMetric(float64(s.puts-puts)/float64(i), "puts/op")
			b.ReportMetric(float64(s.gets-gets)/float64(i), "gets/op")
		})
	}
}

// BenchmarkSpreadFleet distributes one change over fleets of several sizes. The
// clock is virtual, the bytes are those of the encoded messages.
func BenchmarkSpreadFleet(b *testing.B) {
	for _, size := range []struct{ centres, per int }{{3, 3}, {6, 12}, {14, 41}, {14, 164}} {
		b.Run(fmt.Sprint(size.centres*size.per), func(b *testing.B) {
			c := qt.New(b)
			s := newStore()
			mustAccept(c, s, firstChange(20, 4))
			f := newFleet(size.centres, size.per, s)
			assertInForce(c, f, 10*time.Second, 1)
			f.advance(5 * time.Second)
			var worst time.Duration
			i := 0
			bytes, messages := f.total(), f.messages
			start := f.now
			for b.Loop() {
				mustAccept(c, s, queueChange(fmt.Sprint(i), 3, 4, i-1, i))
				took := assertInForce(c, f, 10*time.Second, uint64(2+i))
				worst = max(worst, took)
				f.advance(8*time.Second - took)
				i++
			}
			seconds := f.now.Sub(start).Seconds()
			vms := float64(len(f.vms))
			b.ReportMetric(worst.Seconds(), "worst-s")
			b.ReportMetric(float64(f.total()-bytes)/vms/seconds, "B/s/VM")
			b.ReportMetric(float64(f.messages-messages)/vms/seconds, "msg/s/VM")
		})
	}
}

func (f *fleet) total() int {
	n := 0
	for _, sent := range f.sent {
		n += sent
	}
	return n
}

// BenchmarkSpreadSize distributes a change of one account over nine VMs at several
// configuration sizes, and replaces one VM, which fetches everything from peers.
func BenchmarkSpreadSize(b *testing.B) {
	for _, n := range accountCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := qt.New(b)
			s := bigStore(b, n)
			f := newFleet(3, 3, s)
			assertInForce(c, f, time.Minute, 1)
			// The initial distribution has spent the send budgets.
			f.advance(2 * time.Minute)
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			s.down = true
			f.advance(time.Second)
			before, start := f.total(), f.now
			f.start(f.vms[0].ID)
			took := assertInForce(c, f, 2*time.Minute, 1)
			startBytes := f.total() - before
			s.down = false
			f.advance(2*time.Minute - f.now.Sub(start))
			i := 0
			bytes := 0
			for b.Loop() {
				mustAccept(c, s, queueChange(fmt.Sprint(i), 1, targetsOf(1), i-1, i))
				before := f.total()
				took := assertInForce(c, f, 10*time.Second, uint64(2+i))
				bytes += f.total() - before
				f.advance(8*time.Second - took)
				i++
			}
			b.ReportMetric(float64(m.HeapAlloc)/9, "heap-B/VM")
			b.ReportMetric(took.Seconds(), "start-s")
			b.ReportMetric(float64(startBytes), "start-B")
			b.ReportMetric(float64(bytes)/float64(i)/9, "change-B/VM")
		})
	}
}
