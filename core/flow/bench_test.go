package flow_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/flow"
)

// filledRouter returns a router with n established flows, and their keys.
func filledRouter(tb testing.TB, n int) (*flow.Router, *testNetwork, []baobabstep.FlowKey) {
	x := newTestNetwork(tb, fleet{vms: 1, dcs: 1, targets: 15})
	self := x.vms[0].ID
	r := flow.New(x.now, flow.Options{
		Self: self, DataCentre: "dc0", Chooser: x.choosers[self], Rand: rand.New(rand.NewPCG(1, 1)),
	})
	r.SetConfig(x.now, x.config)
	r.SetView(x.now, &baobabstep.View{Self: self, Members: x.vms})
	x.routers[self] = r
	keys := make([]baobabstep.FlowKey, n)
	out := make(baobabstep.Outbox, 0, 8)
	s := x.config.Services[0]
	for i := range keys {
		keys[i] = x.key(i)
		p := baobabstep.Packet{Kind: baobabstep.KindProbe, Flow: keys[i]}
		p.Route = baobabstep.Route{Purpose: baobabstep.PurposeLearn, Record: baobabstep.Record{
			Target: s.Targets[i%15].ID, Service: s.ID, Version: 1, Established: true, Confirmed: true,
		}}
		out = out[:0]
		r.Handle(x.now, &p, &out)
	}
	return r, x, keys
}

func TestHeldFlowDoesNotAllocate(t *testing.T) {
	r, x, keys := filledRouter(t, 1000)
	out := make(baobabstep.Outbox, 0, 8)
	p := baobabstep.Packet{Kind: baobabstep.KindData}
	i := 0
	allocs := testing.AllocsPerRun(1000, func() {
		i++
		p.Flow = keys[i%len(keys)]
		out = out[:0]
		r.Handle(x.now, &p, &out)
	})
	qt.Assert(t, allocs, qt.Equals, 0.0)
	qt.Assert(t, len(out), qt.Equals, 1)
}

func TestRecordsStayUnder100Bytes(t *testing.T) {
	t.Parallel()
	for _, n := range []int{28_000, 50_000} {
		r, _, _ := filledRouter(t, n)
		per := float64(r.Stats().Bytes) / float64(n)
		t.Logf("%d flows: %.1f bytes a record", n, per)
		qt.Assert(t, per < 100, qt.IsTrue)
	}
}

func BenchmarkHeldFlow(b *testing.B) {
	for _, n := range []int{1000, 28_000, 100_000, 500_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, x, keys := filledRouter(b, n)
			out := make(baobabstep.Outbox, 0, 8)
			p := baobabstep.Packet{Kind: baobabstep.KindData}
			// In production the key comes from the read buffer and
			// the record from anywhere in memory, so only the
			// records are in random order.
			random := rand.New(rand.NewPCG(3, 4))
			random.Shuffle(n, func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
			runtime.GC()
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i = (i + 1) % n
				p.Flow = keys[i]
				out = out[:0]
				r.Handle(x.now, &p, &out)
			}
			b.ReportMetric(float64(r.Stats().Bytes)/float64(n), "B/record")
		})
	}
}

func BenchmarkHeldFlowParallel(b *testing.B) {
	r, x, keys := filledRouter(b, 500_000)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		out := make(baobabstep.Outbox, 0, 8)
		p := baobabstep.Packet{Kind: baobabstep.KindData}
		random := rand.New(rand.NewPCG(rand.Uint64(), 4))
		for pb.Next() {
			p.Flow = keys[random.IntN(len(keys))]
			out = out[:0]
			r.Handle(x.now, &p, &out)
		}
	})
}

// BenchmarkOpen measures an open, its acceptance and the flow's reset.
func BenchmarkOpen(b *testing.B) {
	r, x, _ := filledRouter(b, 100_000)
	out := make(baobabstep.Outbox, 0, 8)
	n := 1 << 20
	b.ReportAllocs()
	for b.Loop() {
		n++
		open := baobabstep.Packet{Kind: baobabstep.KindOpen, Flow: x.key(n)}
		out = out[:0]
		r.Handle(x.now, &open, &out)
		sent := out[0].Packet
		sent.Kind, sent.FromTarget = baobabstep.KindOpened, true
		out = out[:0]
		r.Handle(x.now, &sent, &out)
		reset := baobabstep.Packet{Kind: baobabstep.KindReset, Flow: open.Flow}
		out = out[:0]
		r.Handle(x.now, &reset, &out)
		if n%10_000 == 0 {
			x.now = x.now.Add(31 * time.Second)
			for range 20 {
				out = out[:0]
				r.Tick(x.now, &out)
			}
		}
	}
}

// BenchmarkTick measures one tick; there are ten a second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1000, 28_000, 100_000, 500_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r, x, _ := filledRouter(b, n)
			out := make(baobabstep.Outbox, 0, 4096)
			b.ReportAllocs()
			for b.Loop() {
				out = out[:0]
				r.Tick(x.now, &out)
			}
		})
	}
}
