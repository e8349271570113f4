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

// benchDataCentre runs the fleets of one data centre of a large deployment. The relays
// of the other data centres are simulated.
type benchDataCentre struct {
	now         time.Time
	fleets      map[baobabstep.VMID]*Fleet
	local       []*Fleet
	remote      []*dataCentre // as known to the first fleet
	beat        uint64
	ticks       int
	pendingNews int // changed entries that no relay message has carried yet
	rand        *rand.Rand
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

// newFullFleet returns the fleet of VM self, with records of all n VMs.
func newFullFleet(now time.Time, self, n, dataCentres int) *Fleet {
	vm := benchVM(self, dataCentres)
	f := New(now, Options{Self: vm, Rand: rand.New(rand.NewPCG(1, uint64(vm.ID)))})
	f.self.nonce = uint64(self)
	for i := range n {
		if i != self {
			f.add(now, benchVM(i, dataCentres), uint64(i)).ackedIncarnation = 1
		}
	}
	f.self.dataCentre.digest ^= f.self.sum
	f.self.sum = f.self.computeSum()
	f.self.dataCentre.digest ^= f.self.sum
	f.pause.starting = false
	return f
}

func newBenchDataCentre(n, dataCentres int) *benchDataCentre {
	s := &benchDataCentre{now: time.Unix(1e9, 0), fleets: make(map[baobabstep.VMID]*Fleet), rand: rand.New(rand.NewPCG(3, 4))}
	for i := 0; i < n; i += dataCentres {
		f := newFullFleet(s.now, i, n, dataCentres)
		s.local = append(s.local, f)
		s.fleets[f.self.vm.ID] = f
	}
	for _, d := range s.local[0].sortedDataCentres {
		if d != s.local[0].own {
			s.remote = append(s.remote, d)
		}
	}
	return s
}

type queuedMessage struct {
	from baobabstep.VMID
	out  Out
}

// advance advances the time by 100 ms. news is the number of changed entries that
// arrive from other data centres.
func (s *benchDataCentre) advance(news int) {
	s.ticks++
	s.pendingNews += news
	s.now = s.now.Add(100 * time.Millisecond)
	var queue []queuedMessage
	for _, f := range s.local {
		queue = s.enqueue(queue, f.self.vm.ID, f.Tick(s.now))
	}
	if s.ticks%10 == 0 {
		queue = s.sendRemoteRelays(queue, s.ticks%20 == 0)
	}
	for len(queue) > 0 {
		t := queue[0]
		queue = queue[1:]
		if f := s.fleets[t.out.To]; f != nil {
			queue = s.enqueue(queue, t.out.To, f.Handle(s.now, t.from, t.out.Body))
		} else if m, err := decode(t.out.Body); err == nil && m.Kind == kindRelay {
			queue = append(queue, s.remoteMessage(t.out.To, t.from, message{Kind: kindRelayAck, Seq: m.Seq}))
		}
	}
}

func (s *benchDataCentre) enqueue(queue []queuedMessage, from baobabstep.VMID, out []Out) []queuedMessage {
	for _, o := range out {
		queue = append(queue, queuedMessage{from, o})
	}
	return queue
}

// remoteMessage builds a message from a VM of another data centre.
func (s *benchDataCentre) remoteMessage(from, to baobabstep.VMID, m message) queuedMessage {
	r := s.local[0].known[from]
	s.beat++
	m.Incarnation, m.Nonce, m.PeerIncarnation = r.vm.Incarnation, r.nonce, s.fleets[to].self.vm.Incarnation
	m.Beats = []beat{{DataCentre: r.dataCentre.key, Beat: s.beat}}
	return queuedMessage{from, Out{To: to, Body: encode(&m)}}
}

func (s *benchDataCentre) sendRemoteRelays(queue []queuedMessage, digests bool) []queuedMessage {
	first := s.local[0]
	for _, d := range s.remote {
		for _, relay := range first.rendezvousTop(d, first.own.key, notDead) {
			m := message{Kind: kindRelay, Seq: s.beat}
			if digests {
				m.Digests = first.digests()
			}
			for ; s.pendingNews > 0 && len(m.News) < maxRelayNews; s.pendingNews-- {
				r := d.records[s.rand.IntN(len(d.records))]
				e := r.entry()
				e.Incarnation++
				m.News = append(m.News, e)
			}
			to := s.local[s.rand.IntN(len(s.local))].self.vm.ID
			queue = append(queue, s.remoteMessage(relay.vm.ID, to, m))
		}
	}
	return queue
}

// BenchmarkSecond measures one second of one VM, its ticks and all messages that it
// handles, for several fleet sizes and rates of changes in other data centres.
func BenchmarkSecond(b *testing.B) {
	for _, size := range []struct{ vms, dataCentres int }{{9, 3}, {100, 14}, {500, 14}, {1000, 14}, {2300, 14}} {
		for _, news := range []int{0, 2, 20} {
			b.Run(fmt.Sprintf("vms=%d/news=%d", size.vms, news), func(b *testing.B) {
				s := newBenchDataCentre(size.vms, size.dataCentres)
				var before, after Stats
				for range 50 {
					s.advance(0)
				}
				s.addStats(&before)
				b.ResetTimer()
				for range b.N {
					for i := range 10 {
						due := 0
						if i == 0 {
							due = news
						}
						s.advance(due)
					}
				}
				b.StopTimer()
				s.addStats(&after)
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

func (s *benchDataCentre) addStats(t *Stats) {
	for _, f := range s.local {
		c := f.Stats()
		t.BytesIn += c.BytesIn
		t.BytesOut += c.BytesOut
		t.MessagesIn += c.MessagesIn
		t.Suspicions += c.Suspicions
	}
}

// BenchmarkMemory measures the heap bytes per known member.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{9, 100, 500, 1000, 2300} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var fleets []*Fleet
			for range b.N {
				fleets = append(fleets, newFullFleet(time.Unix(1e9, 0), 0, n, 14))
				fleets[len(fleets)-1].View(time.Unix(1e9, 0))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N*n), "B/member")
			runtime.KeepAlive(fleets)
		})
	}
}

// BenchmarkView measures the cost of View on the data path.
func BenchmarkView(b *testing.B) {
	now := time.Unix(1e9, 0)
	f := newFullFleet(now, 0, 2300, 14)
	for b.Loop() {
		f.View(now)
	}
}
