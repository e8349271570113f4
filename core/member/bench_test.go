package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"baobabstep"
)

// site is one data centre of a large fleet: its VMs are real, the relays of the
// other data centres are played.
type site struct {
	now     time.Time
	fleets  map[baobabstep.VMID]*Fleet
	local   []*Fleet
	foreign []*dataCentre // as the first fleet knows them
	beat    uint64
	ticks   int
	news    int // changed entries that wait for a relay
	rand    *rand.Rand
}

// benchVM returns VM i of a fleet in the given number of data centres.
func benchVM(i, dataCentres int) baobabstep.VM {
	dc := i % dataCentres
	name := fmt.Sprintf("entry-%02d-%04d", dc, i/dataCentres)
	address := netip.AddrFrom4([4]byte{10, byte(dc), byte(i >> 8), byte(i)})
	return baobabstep.VM{
		ID: baobabstep.MakeVMID(name), Name: name, Region: fmt.Sprintf("region-%d", dc%5),
		DataCentre: fmt.Sprintf("data-centre-%02d", dc), Rack: fmt.Sprintf("rack-%02d", i/dataCentres%12),
		DataAddress: netip.AddrPortFrom(address, 4000), PeerAddress: netip.AddrPortFrom(address, 4001),
		Incarnation: 1, State: baobabstep.VMAlive,
	}
}

// fullFleet returns VM 0 of a fleet that knows all n.
func fullFleet(now time.Time, self, n, dataCentres int) *Fleet {
	vm := benchVM(self, dataCentres)
	f := New(now, Options{Self: vm, Rand: rand.New(rand.NewPCG(1, uint64(vm.ID)))})
	f.me.nonce = uint64(self)
	for i := range n {
		if i != self {
			f.add(now, benchVM(i, dataCentres), uint64(i)).acked = 1
		}
	}
	f.me.dataCentre.digest ^= f.me.sum
	f.me.sum = f.me.computeSum()
	f.me.dataCentre.digest ^= f.me.sum
	f.pause.starting = false
	return f
}

func newSite(n, dataCentres int) *site {
	s := &site{now: time.Unix(1e9, 0), fleets: make(map[baobabstep.VMID]*Fleet), rand: rand.New(rand.NewPCG(3, 4))}
	for i := 0; i < n; i += dataCentres {
		f := fullFleet(s.now, i, n, dataCentres)
		s.local = append(s.local, f)
		s.fleets[f.me.vm.ID] = f
	}
	for _, d := range s.local[0].sorted {
		if d != s.local[0].own {
			s.foreign = append(s.foreign, d)
		}
	}
	return s
}

type transfer struct {
	from baobabstep.VMID
	out  Out
}

// step lets 100 ms pass. news is the number of changed entries that come from
// other data centres.
func (s *site) step(news int) {
	s.ticks++
	s.news += news
	s.now = s.now.Add(100 * time.Millisecond)
	var queue []transfer
	for _, f := range s.local {
		queue = s.post(queue, f.me.vm.ID, f.Tick(s.now))
	}
	if s.ticks%10 == 0 {
		queue = s.playRelays(queue, s.ticks%20 == 0)
	}
	for len(queue) > 0 {
		t := queue[0]
		queue = queue[1:]
		if f := s.fleets[t.out.To]; f != nil {
			queue = s.post(queue, t.out.To, f.Handle(s.now, t.from, t.out.Body))
		} else if m, err := decode(t.out.Body); err == nil && m.Kind == kindRelay {
			queue = append(queue, s.play(t.out.To, t.from, message{Kind: kindRelayAck, Seq: m.Seq}))
		}
	}
}

func (s *site) post(queue []transfer, from baobabstep.VMID, out []Out) []transfer {
	for _, o := range out {
		queue = append(queue, transfer{from, o})
	}
	return queue
}

// play makes a message of a VM in another data centre.
func (s *site) play(from, to baobabstep.VMID, m message) transfer {
	r := s.local[0].known[from]
	s.beat++
	m.Incarnation, m.Nonce, m.PeerIncarnation = r.vm.Incarnation, r.nonce, s.fleets[to].me.vm.Incarnation
	m.Beats = []beat{{DataCentre: r.dataCentre.key, Beat: s.beat}}
	return transfer{from, Out{To: to, Body: encode(&m)}}
}

func (s *site) playRelays(queue []transfer, digests bool) []transfer {
	first := s.local[0]
	for _, d := range s.foreign {
		for _, relay := range first.best(d, first.own.key, living) {
			m := message{Kind: kindRelay, Seq: s.beat}
			if digests {
				m.Digests = first.digests()
			}
			for ; s.news > 0 && len(m.News) < maxRelayNews; s.news-- {
				r := d.records[s.rand.IntN(len(d.records))]
				e := r.entry()
				e.Incarnation++
				m.News = append(m.News, e)
			}
			to := s.local[s.rand.IntN(len(s.local))].me.vm.ID
			queue = append(queue, s.play(relay.vm.ID, to, m))
		}
	}
	return queue
}

// BenchmarkSecond measures one second of one VM: its ticks and all messages it
// handles, in fleets of several sizes, quiet and with changes all over.
func BenchmarkSecond(b *testing.B) {
	for _, size := range []struct{ vms, dataCentres int }{{9, 3}, {100, 14}, {500, 14}, {1000, 14}, {2300, 14}} {
		for _, news := range []int{0, 2, 20} {
			b.Run(fmt.Sprintf("vms=%d/news=%d", size.vms, news), func(b *testing.B) {
				s := newSite(size.vms, size.dataCentres)
				var before, after Stats
				for range 50 {
					s.step(0)
				}
				s.total(&before)
				b.ResetTimer()
				for range b.N {
					for i := range 10 {
						due := 0
						if i == 0 {
							due = news
						}
						s.step(due)
					}
				}
				b.StopTimer()
				s.total(&after)
				vmSeconds := float64(b.N * len(s.local))
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/1e3/vmSeconds, "cpu_us/s")
				b.ReportMetric(float64(after.BytesOut-before.BytesOut)/vmSeconds, "B_out/s")
				b.ReportMetric(float64(after.BytesIn-before.BytesIn)/vmSeconds, "B_in/s")
				b.ReportMetric(float64(after.MessagesIn-before.MessagesIn)/vmSeconds, "msgs_in/s")
				b.ReportMetric(float64(after.Suspicions), "suspicions")
			})
		}
	}
}

func (s *site) total(t *Stats) {
	for _, f := range s.local {
		c := f.Stats()
		t.BytesIn += c.BytesIn
		t.BytesOut += c.BytesOut
		t.MessagesIn += c.MessagesIn
		t.Suspicions += c.Suspicions
	}
}

// BenchmarkMemory measures what one known member costs.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{9, 100, 500, 1000, 2300} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var fleets []*Fleet
			for range b.N {
				fleets = append(fleets, fullFleet(time.Unix(1e9, 0), 0, n, 14))
				fleets[len(fleets)-1].View(time.Unix(1e9, 0))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N*n), "B/member")
			runtime.KeepAlive(fleets)
		})
	}
}

// BenchmarkView measures what the data path pays for the view.
func BenchmarkView(b *testing.B) {
	now := time.Unix(1e9, 0)
	f := fullFleet(now, 0, 2300, 14)
	for b.Loop() {
		f.View(now)
	}
}
