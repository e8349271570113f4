package target

import (
	"fmt"
	"testing"

	"baobabstep"
)

// manyServices returns a configuration of n targets in services of four.
func manyServices(n int) *baobabstep.Config {
	c := &baobabstep.Config{Version: 1}
	for i := range n / 4 {
		s := testService(4, "braga-a", "braga-b", "guimaraes")
		s.ID = baobabstep.MakeServiceID("account", fmt.Sprint(i))
		for j := range s.Targets {
			s.Targets[j].ID = baobabstep.MakeTargetID(fmt.Sprint(i, j))
			s.Targets[j].Service = s.ID
		}
		c.Services = append(c.Services, s)
	}
	c.Index()
	return c
}

func BenchmarkPickFlow(b *testing.B) {
	for _, n := range []int{16, 26000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			c := manyServices(n)
			r := newRegistry(b, 0)
			r.SetConfig(epoch, c)
			b.ReportAllocs()
			draw := uint64(0)
			for b.Loop() {
				draw++
				id, _ := r.PickFlow(epoch, &c.Services[draw%uint64(len(c.Services))], dataCentre, mix(draw))
				r.FlowClosed(epoch, id)
			}
		})
	}
}

func BenchmarkPickSlot(b *testing.B) {
	for _, n := range []int{15, 64, 400} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			s := testService(n, dataCentre)
			r := newRegistry(b, 0)
			r.SetConfig(epoch, testConfig(s))
			b.ReportAllocs()
			for b.Loop() {
				id, _ := r.PickSlot(epoch, SlotQuery{Service: &s, Groups: GroupCount(n)})
				r.SlotDone(epoch, id, baobabstep.CodeOK, 0)
			}
		})
	}
}

// BenchmarkNews measures one gossip message at the number of targets of a
// region.
func BenchmarkNews(b *testing.B) {
	c := manyServices(5200)
	r := newRegistry(b, 0)
	r.SetConfig(epoch, c)
	r.SetView(epoch, testView(9, "braga-a", "braga-b", "guimaraes"))
	b.ReportAllocs()
	draw := uint64(0)
	for b.Loop() {
		for range 50 {
			draw++
			r.PickFlow(epoch, &c.Services[mix(draw)%uint64(len(c.Services))], dataCentre, mix(draw))
		}
		r.EncodeGossip(epoch, 1200)
	}
}

// BenchmarkSetView measures a change of view at the size of one region.
func BenchmarkSetView(b *testing.B) {
	c := manyServices(5200)
	r := newRegistry(b, 0)
	r.SetConfig(epoch, c)
	views := []*baobabstep.View{testView(460, "braga-a", "braga-b", "guimaraes"), testView(459, "braga-a", "braga-b", "guimaraes")}
	i := 0
	for b.Loop() {
		i++
		r.SetView(epoch, views[i%2])
	}
}
