package platform_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/io/audit"
	"baobabstep/io/platform"
)

// mesh is a fleet of replicas in real time whose readers call a platform over
// HTTP; messages among them are handed over directly.
type mesh struct {
	replicas map[baobabstep.VMID]*config.Replica
	inbox    map[baobabstep.VMID]chan parcel
}

type parcel struct {
	from baobabstep.VMID
	body []byte
}

func (m *mesh) send(from baobabstep.VMID, outs []config.Out) {
	for _, o := range outs {
		select {
		case m.inbox[o.To] <- parcel{from, o.Body}:
		default:
		}
	}
}

// runMesh starts the fleet; it ends with the benchmark.
func runMesh(c *qt.C, url string, centres, per int) *mesh {
	m := &mesh{replicas: map[baobabstep.VMID]*config.Replica{}, inbox: map[baobabstep.VMID]chan parcel{}}
	var vms []baobabstep.VM
	for i := range centres * per {
		name := fmt.Sprintf("vm-%d", i)
		vms = append(vms, baobabstep.VM{ID: baobabstep.MakeVMID(name), Name: name, DataCentre: fmt.Sprint(i % centres)})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var done []<-chan struct{}
	for _, vm := range vms {
		r := config.NewReplica(time.Now(), config.ReplicaOptions{Self: vm, Rand: rand.New(rand.NewPCG(uint64(vm.ID), 1))})
		r.SetFleet(time.Now(), vms)
		m.replicas[vm.ID], m.inbox[vm.ID] = r, make(chan parcel, 256)
	}
	for _, vm := range vms {
		client := platform.NewClient(platform.Options{URL: url})
		client.SetFleetSize(len(vms))
		r := m.replicas[vm.ID]
		reader := platform.NewReader(client, r, nil, func(outs []config.Out) { m.send(vm.ID, outs) })
		go reader.Run(ctx)
		ended := make(chan struct{})
		done = append(done, reader.Done(), ended)
		go func() { m.serve(ctx, vm.ID, r); close(ended) }()
	}
	c.Cleanup(func() {
		cancel()
		for _, d := range done {
			<-d
		}
	})
	return m
}

func (m *mesh) serve(ctx context.Context, id baobabstep.VMID, r *config.Replica) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-m.inbox[id]:
			m.send(id, r.Handle(time.Now(), p.from, p.body))
		case <-ticker.C:
			m.send(id, r.Tick(time.Now()))
		}
	}
}

func (m *mesh) await(version uint64) {
	for _, r := range m.replicas {
		for r.Current() == nil || r.Current().Version < version {
			time.Sleep(time.Millisecond)
		}
	}
}

// BenchmarkCalls counts the platform's calls for each change, the accept and its
// audit entry included, and for a second in which nothing changes.
func BenchmarkCalls(b *testing.B) {
	for _, size := range []struct{ centres, per int }{{1, 3}, {3, 3}, {7, 9}, {14, 16}} {
		b.Run(fmt.Sprint(size.centres*size.per), func(b *testing.B) {
			c := qt.New(b)
			p := newPair(c, platform.Options{})
			admin := platform.NewClient(platform.Options{URL: p.server.URL, MaxCalls: 1e6, Burst: 1e6})
			defer admin.Close()
			trail := audit.NewTrail(admin, 0)
			ctx := b.Context()
			c.Assert(platform.Import(ctx, admin, example(c, 0), change("0")).Err, qt.IsNil)
			m := runMesh(c, p.server.URL, size.centres, size.per)
			m.await(1)
			time.Sleep(2 * time.Second)
			idle := p.platform.Stats().Calls
			time.Sleep(5 * time.Second)
			calls := p.platform.Stats()
			idlePerSecond := float64(calls.Calls-idle) / 5
			i := 0
			var slowest time.Duration
			for b.Loop() {
				i++
				start := time.Now()
				c.Assert(platform.Import(ctx, admin, example(c, i), change(fmt.Sprint(i))).Err, qt.IsNil)
				m.await(uint64(1 + i))
				slowest = max(slowest, time.Since(start))
				c.Assert(trail.CatchUp(ctx), qt.IsNil)
				time.Sleep(time.Second)
			}
			b.ReportMetric(float64(p.platform.Stats().Calls-calls.Calls)/float64(i), "calls/change")
			b.ReportMetric(idlePerSecond, "idle-calls/s")
			b.ReportMetric(slowest.Seconds(), "slowest-s")
		})
	}
}
