package target

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"baobabstep"
)

// benchServiceTargets is the number of targets per service: 26,000 hosts behind
// 6,200 addresses are about four.
const benchServiceTargets = 4

// benchConfig returns a configuration with n targets.
func benchConfig(n int) *baobabstep.Config {
	c := &baobabstep.Config{Version: 1}
	for i := 0; i < n; i += benchServiceTargets {
		name := fmt.Sprintf("service-%d", i)
		s := baobabstep.Service{
			ID: baobabstep.MakeServiceID("account", name), Name: name,
			DataCentres: []string{"dc"}, MaxEjectedShare: 0.5,
		}
		for j := i; j < min(n, i+benchServiceTargets); j++ {
			target := fmt.Sprintf("target-%d", j)
			s.Targets = append(s.Targets, baobabstep.Target{
				ID: baobabstep.MakeTargetID(target), Name: target, Service: s.ID, DataCentre: "dc",
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(j >> 16), byte(j >> 8), byte(j)}), 80),
				Slots:   2, Connections: 5000,
			})
		}
		c.Services = append(c.Services, s)
	}
	c.Index()
	return c
}

func benchRegistry(now time.Time, self string, c *baobabstep.Config) *Registry {
	id := baobabstep.MakeVMID(self)
	r := New(now, Options{Self: id, DataCentre: "dc", Rand: rand.New(rand.NewPCG(1, uint64(id)))})
	r.SetConfig(now, c)
	view := &baobabstep.View{Number: 1, Self: id}
	for i := range 164 {
		name := fmt.Sprintf("vm-%d", i)
		view.Members = append(view.Members, baobabstep.VM{ID: baobabstep.MakeVMID(name), Name: name, DataCentre: "dc", Incarnation: 1})
	}
	r.SetView(now, view)
	return r
}

var benchSizes = []int{100, 1000, 5000, 13000, 26000}

// BenchmarkPickFlowBySize must not depend on the total number of targets.
func BenchmarkPickFlowBySize(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			c := benchConfig(n)
			r := benchRegistry(now, "vm-0", c)
			random := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				s := &c.Services[random.IntN(len(c.Services))]
				id, code := r.PickFlow(now, s, "dc", random.Uint64())
				if code != baobabstep.CodeOK {
					b.Fatal(code)
				}
				r.FlowClosed(now, id)
			}
		})
	}
}

// newsFlows is the number of flows opened between two messages: 230,000 per
// second over 2,300 VMs are 50 in half a second.
const newsFlows = 50

// BenchmarkNewsBySize measures encoding one message of at most 1,200 bytes at
// one VM and applying it at another.
func BenchmarkNewsBySize(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			c := benchConfig(n)
			from := benchRegistry(now, "vm-0", c)
			to := benchRegistry(now, "vm-1", c)
			random := rand.New(rand.NewPCG(1, 2))
			bytes := 0
			for b.Loop() {
				for range newsFlows {
					s := &c.Services[random.IntN(len(c.Services))]
					from.FlowOpened(now, s.Targets[0].ID)
				}
				body := from.EncodeGossip(now, 1200)
				if body == nil {
					continue
				}
				bytes += len(body)
				if _, err := to.HandleGossip(now, baobabstep.MakeVMID("vm-0"), body); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/message")
		})
	}
}

// BenchmarkProbesBySize measures one second of a prober: finding the due probes
// and applying the reports.
func BenchmarkProbesBySize(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			r := benchRegistry(now, "vm-0", benchConfig(n))
			probes := 0
			for b.Loop() {
				for range 10 {
					now = now.Add(100 * time.Millisecond)
					for _, id := range r.ProbeTargets(now) {
						probes++
						r.RecordReport(now, id, baobabstep.TargetReport{Healthy: true})
					}
				}
			}
			b.ReportMetric(float64(probes)/float64(b.N), "probes/op")
		})
	}
}

// BenchmarkSetConfigBySize measures the replacement of a configuration.
func BenchmarkSetConfigBySize(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			now := time.Unix(1e9, 0)
			r := benchRegistry(now, "vm-0", benchConfig(n))
			next := benchConfig(n)
			for b.Loop() {
				r.SetConfig(now, next)
			}
		})
	}
}
