package heartbeat

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"baobabstep"
)

var start = time.Unix(1_800_000_000, 0)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// newPeerTable returns the table of VM n. VMs with odd numbers are in data centre a, those
// with even numbers in b.
func newPeerTable(n int, seeds ...int) *PeerTable {
	o := Options{Self: baobabstep.VMID(n), DataCentre: dataCentre(n), Address: address(n), Incarnation: 1, Rand: rand.New(rand.NewPCG(1, uint64(n)))}
	for _, s := range seeds {
		o.Seeds = append(o.Seeds, address(s))
	}
	return New(start, o)
}

func dataCentre(n int) string { return []string{"b", "a"}[n%2] }

func newHeartbeat(n int, incarnation, sequence uint64) *Heartbeat {
	return &Heartbeat{From: baobabstep.VMID(n), DataCentre: dataCentre(n), Incarnation: incarnation, Sequence: sequence}
}

// Guards against delayed or replayed heartbeats that restore an earlier state of their
// sender or make a dead VM live.
func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	b := newPeerTable(1)
	qt.Assert(t, b.Handle(start, address(3), newHeartbeat(3, 5, 10)), qt.IsTrue)
	for _, old := range []*Heartbeat{newHeartbeat(3, 5, 10), newHeartbeat(3, 5, 9), newHeartbeat(3, 4, 99)} {
		qt.Assert(t, b.Handle(start.Add(time.Minute), address(3), old), qt.IsFalse)
	}
	qt.Assert(t, b.LiveCounts(start.Add(time.Minute)), qt.HasLen, 0)
	qt.Assert(t, b.Handle(start, address(3), newHeartbeat(3, 6, 1)), qt.IsTrue)
}

func TestRank(t *testing.T) {
	b := newPeerTable(5)
	for _, n := range []int{1, 3, 7, 2, 4, 6} { // even ones are in another data centre
		b.Handle(start, address(n), newHeartbeat(n, 1, 1))
	}
	qt.Assert(t, b.Rank(start, false), qt.Equals, Rank{Near: 2, Far: 1})
	later := start.Add(b.options.PeerTimeout)
	for _, test := range []struct {
		name   string
		modify func(h *Heartbeat)
		want   Rank
	}{
		{"silent VMs do not count", func(*Heartbeat) {}, Rank{Near: 1}},
		{"leaving VMs do not count", func(h *Heartbeat) { h.Leaving = true }, Rank{}},
		{"VMs that cannot read the store do not count", func(h *Heartbeat) { h.StoreUnreadable = true }, Rank{}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHeartbeat(3, 1, b.sequence+2)
			b.sequence++
			test.modify(h)
			b.Handle(later, address(3), h)
			qt.Assert(t, b.Rank(later, false), qt.Equals, test.want)
		})
	}
}

// Guards against VMs that all rank first while none can read the store; sixty VMs then
// sent it a request every second. VMs that cannot read the store rank among each other,
// after any VM that can.
func TestRankWithoutStore(t *testing.T) {
	b := newPeerTable(5)
	for _, n := range []int{1, 3, 7} {
		h := newHeartbeat(n, 1, 1)
		h.StoreUnreadable = n != 7
		b.Handle(start, address(n), h)
	}
	qt.Assert(t, b.Rank(start, false), qt.Equals, Rank{})
	qt.Assert(t, b.Rank(start, true), qt.Equals, Rank{Near: 3})
}

// Guards against announcements that miss a data centre. They go to some VMs of the own
// one, and to one VM of each other.
func TestAnnounce(t *testing.T) {
	b := newPeerTable(1)
	for _, n := range []int{3, 5, 2, 4} {
		b.Handle(start, address(n), newHeartbeat(n, 1, 1))
	}
	to := func(far bool) (list []netip.AddrPort) {
		for _, o := range b.Announce(start, LocalState{}, far) {
			list = append(list, o.To)
		}
		slices.SortFunc(list, netip.AddrPort.Compare)
		return list
	}
	qt.Assert(t, fmt.Sprint(to(false)), qt.Equals, fmt.Sprint([]netip.AddrPort{address(3), address(5)}))
	qt.Assert(t, fmt.Sprint(to(true)), qt.Equals, fmt.Sprint([]netip.AddrPort{address(2), address(3), address(5)}))
	for n := 7; n < 60; n += 2 {
		b.Handle(start, address(n), newHeartbeat(n, 1, 1))
	}
	qt.Assert(t, to(true), qt.HasLen, b.options.AnnounceFanout+1)
	recipients := b.ChangeRecipients(start, true)
	qt.Assert(t, recipients, qt.HasLen, 30)
}

// Guards against VMs that all request new content from the same VM when they learn of it
// at the same time. With thirty VMs, that saturated its link for 0.2 s.
func TestNewerSpreadsRequests(t *testing.T) {
	b := newPeerTable(1)
	requests := map[netip.AddrPort]int{}
	for _, n := range []int{3, 5, 7, 9} {
		h := newHeartbeat(n, 1, 1)
		h.Versions[Targets] = MakeVersionInfo(revisionOf(10), 77, 0)
		b.Handle(start, address(n), h)
	}
	for range 400 {
		from, ok := b.FindNewer(start, Targets, revisionOf(9), 66)
		qt.Assert(t, ok, qt.IsTrue)
		requests[from]++
	}
	for n, times := range requests {
		qt.Assert(t, times > 60, qt.IsTrue, qt.Commentf("%v: %d of 400", n, times))
	}
	qt.Assert(t, requests, qt.HasLen, 4)
}

// Guards against requests for what a VM missed that all go to the few VMs with the newest version.
func TestAnyNewerSpreadsRequests(t *testing.T) {
	const vms = 40
	b := newPeerTable(1)
	for n := 3; n < 3+2*vms; n += 2 {
		h := newHeartbeat(n, 1, 1)
		h.Versions[Targets] = MakeVersionInfo(revisionOf(uint64(n)), uint64(n), 0)
		b.Handle(start, address(n), h)
	}
	requests := map[netip.AddrPort]int{}
	for range 2000 {
		from, ok := b.FindAnyNewer(start, Targets, revisionOf(9), 9)
		qt.Assert(t, ok, qt.IsTrue)
		requests[from]++
	}
	for n := 3; n <= 9; n += 2 {
		qt.Check(t, requests[address(n)], qt.Equals, 0, qt.Commentf("VM %d is not newer", n))
	}
	qt.Assert(t, len(requests) > vms/2, qt.IsTrue, qt.Commentf("%d VMs", len(requests)))
	_, ok := b.FindAnyNewer(start, Targets, revisionOf(200), 9)
	qt.Assert(t, ok, qt.IsFalse)
}

func TestNewer(t *testing.T) {
	b := newPeerTable(1)
	say := func(n int, number, version, sum uint64, age time.Duration) {
		h := newHeartbeat(n, 1, number)
		h.Versions[Targets] = MakeVersionInfo(revisionOf(version), sum, age)
		b.Handle(start, address(n), h)
	}
	say(3, 1, 10, 77, 300*time.Millisecond)
	say(5, 1, 12, 77, 900*time.Millisecond)
	say(2, 1, 14, 88, 0) // another data centre
	later := start.Add(100 * time.Millisecond)

	from, ok := b.FindNewer(later, Targets, revisionOf(9), 66)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, from, qt.Equals, address(5))
	t.Run("the same content at a later revision is not newer", func(t *testing.T) {
		from, ok := b.FindNewer(later, Targets, revisionOf(10), 77)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, from, qt.Equals, address(2)) // the other content
	})
	t.Run("an older version is not returned", func(t *testing.T) {
		_, ok := b.FindNewer(later, Targets, revisionOf(14), 66)
		qt.Assert(t, ok, qt.IsFalse)
	})
	t.Run("a later era is newer regardless of the number", func(t *testing.T) {
		held := baobabstep.Revision{Era: 1, Number: 3}
		_, ok := b.FindNewer(later, Targets, held, 66)
		qt.Assert(t, ok, qt.IsFalse)
		h := newHeartbeat(5, 1, 2)
		h.Versions[Targets] = MakeVersionInfo(baobabstep.Revision{Era: 2, Number: 1}, 99, 0)
		b.Handle(start, address(5), h)
		from, ok := b.FindNewer(later, Targets, held, 66)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, from, qt.Equals, address(5))
	})
	t.Run("silent VMs are not returned", func(t *testing.T) {
		_, ok := b.FindNewer(start.Add(time.Second), Targets, revisionOf(9), 66)
		qt.Assert(t, ok, qt.IsFalse)
	})
}

func TestConfirmedAge(t *testing.T) {
	h := newHeartbeat(3, 1, 1)
	h.Versions[Targets] = MakeVersionInfo(revisionOf(10), 77, 300*time.Millisecond)
	for _, c := range []struct {
		name string
		kind Kind
		sum  uint64
		want bool
	}{
		{"the same content", Targets, 77, true},
		{"other content", Targets, 99, false},
		{"a kind that the sender does not hold", Routes, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			age, ok := h.ConfirmedAge(c.kind, c.sum)
			qt.Assert(t, ok, qt.Equals, c.want)
			if ok {
				qt.Assert(t, age, qt.Equals, 300*time.Millisecond)
			}
		})
	}
}

// Guards against load sums that differ from the loads of the live VMs after VMs start,
// change their loads, fall silent, restart at the same address or are removed.
func TestLoadSumsMatchLiveVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newPeerTable(1)
		accumulated := make(loadsByTarget)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			n := rapid.IntRange(2, 12).Draw(t, "vm")
			h := newHeartbeat(n, uint64(rapid.IntRange(1, 2).Draw(t, "life")), uint64(now.Sub(start)))
			for id := range baobabstep.TargetID(4) {
				if rapid.Bool().Draw(t, "sends") {
					h.Loads = append(h.Loads, Load{
						Target: id + 1, RequestTenths: uint32(rapid.IntRange(0, 50).Draw(t, "tenths")),
						Unanswered:   uint8(rapid.IntRange(0, 2).Draw(t, "unanswered")),
						AnswerTenths: uint16(rapid.IntRange(0, 40).Draw(t, "answers")),
						FailedTenths: uint16(rapid.IntRange(0, 50).Draw(t, "failed")),
						LatencyMS:    uint16(rapid.IntRange(0, 90).Draw(t, "took")),
						Callers:      rapid.Uint16().Draw(t, "callers"),
					})
				}
			}
			b.Handle(now, address(n), h)
			if rapid.IntRange(0, 9).Draw(t, "tick") == 0 {
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "s")) * time.Second)
				b.Tick(now, LocalState{})
			}
			got, want := sortSilence(accumulated.apply(b.Loads(now))), sortSilence(summedLoads(b, now))
			if !maps.EqualFunc(got, want, func(a, b baobabstep.TargetLoad) bool { return reflect.DeepEqual(a, b) }) {
				t.Fatalf("loads: got %v, want %v", got, want)
			}
		}
	})
}

// loadsByTarget accumulates the changes that successive calls of PeerTable.Loads return.
type loadsByTarget map[baobabstep.TargetID]baobabstep.TargetLoad

func (l loadsByTarget) apply(changed map[baobabstep.TargetID]baobabstep.TargetLoad) loadsByTarget {
	maps.Copy(l, changed)
	maps.DeleteFunc(l, func(_ baobabstep.TargetID, load baobabstep.TargetLoad) bool {
		return reflect.DeepEqual(load, baobabstep.TargetLoad{})
	})
	return l
}

// sortSilence sorts the silence reports of each target.
func sortSilence(loads map[baobabstep.TargetID]baobabstep.TargetLoad) map[baobabstep.TargetID]baobabstep.TargetLoad {
	for _, l := range loads {
		slices.SortFunc(l.SilenceReports, func(a, b baobabstep.SilenceReport) int {
			return cmp.Or(a.LastUnansweredAt.Compare(b.LastUnansweredAt), cmp.Compare(a.Unanswered, b.Unanswered), cmp.Compare(a.UnansweredOpens, b.UnansweredOpens))
		})
	}
	return loads
}

// summedLoads returns the sums of the latest loads of the live VMs.
func summedLoads(b *PeerTable, now time.Time) map[baobabstep.TargetID]baobabstep.TargetLoad {
	sums := make(map[baobabstep.TargetID]uint64)
	answers, failures, times := map[baobabstep.TargetID]int{}, map[baobabstep.TargetID]int{}, map[baobabstep.TargetID]int{}
	loads := make(map[baobabstep.TargetID]baobabstep.TargetLoad)
	for _, p := range b.peers {
		if !b.isLive(now, p) {
			continue
		}
		for _, l := range p.last.Loads {
			near := p.last.DataCentre == b.options.DataCentre
			if l.RequestTenths == 0 && l.AnswerTenths == 0 && (!near || l.Unanswered == 0) {
				continue
			}
			sums[l.Target] += uint64(l.RequestTenths)
			sum := loads[l.Target]
			sum.Requests = float64(sums[l.Target]) / tenthsPerRequest
			if l.AnswerTenths > 0 {
				failed := min(l.FailedTenths, l.AnswerTenths)
				answers[l.Target] += int(l.AnswerTenths)
				failures[l.Target] += int(failed)
				times[l.Target] += int(l.LatencyMS) * int(l.AnswerTenths-failed)
				sum.Answers, sum.Failed = float64(answers[l.Target])/tenthsPerRequest, float64(failures[l.Target])/tenthsPerRequest
				if good := answers[l.Target] - failures[l.Target]; good > 0 {
					sum.MeanLatency = time.Duration(times[l.Target]) * time.Millisecond / time.Duration(good)
				}
				sum.Callers |= l.Callers
			}
			if near && l.Unanswered > 0 {
				sum.SilenceReports = append(sum.SilenceReports, baobabstep.SilenceReport{Unanswered: int(l.Unanswered), LastUnansweredAt: p.lastHeard})
			}
			loads[l.Target] = sum
		}
	}
	return loads
}

func TestLoads(t *testing.T) {
	b := newPeerTable(1)
	for n, load := range map[int]Load{
		2: {RequestTenths: 15, Unanswered: 9, UnansweredOpens: 9}, 3: {RequestTenths: 30, Unanswered: 1, UnansweredOpens: 1}, 5: {Unanswered: 2, UnansweredOpens: 1}, 7: {Unanswered: 2},
	} {
		h := newHeartbeat(n, 1, 1)
		load.Target = 9
		h.Loads = Loads{load}
		b.Handle(start, address(n), h)
	}
	// VM 2 is in another data centre.
	accumulated := make(loadsByTarget)
	qt.Assert(t, sortSilence(accumulated.apply(b.Loads(start)))[9], qt.DeepEquals, baobabstep.TargetLoad{Requests: 4.5, SilenceReports: []baobabstep.SilenceReport{
		{Unanswered: 1, UnansweredOpens: 1, LastUnansweredAt: start}, {Unanswered: 2, LastUnansweredAt: start}, {Unanswered: 2, UnansweredOpens: 1, LastUnansweredAt: start},
	}})
	qt.Assert(t, b.Loads(start), qt.HasLen, 0, qt.Commentf("no change since the previous call"))
	b.MarkLoadsChanged([]baobabstep.TargetID{9})
	qt.Assert(t, b.Loads(start)[9].Requests, qt.Equals, 4.5)
	qt.Assert(t, accumulated.apply(b.Loads(start.Add(time.Second))), qt.HasLen, 0)
}

// Guards against a target that counts as silent only because the link of one VM is
// saturated. VMs that receive its answers report when they last did. Reports from other
// data centres are ignored.
func TestDisputedSilence(t *testing.T) {
	b := newPeerTable(1)
	own := []baobabstep.TargetLoad{
		{Target: 9, HeardAt: start.Add(-50 * time.Millisecond), ReportedSilent: true},
		{Target: 10, HeardAt: start.Add(-50 * time.Millisecond)},
	}
	for _, n := range []int{2, 3} {
		h := newHeartbeat(n, 1, 1)
		h.Loads = MakeLoads(start, own, maxLoads)
		qt.Assert(t, h.Loads, qt.HasLen, 1)
		if n == 2 {
			h.Loads[0].HeardMS = 1
		}
		b.Handle(start, address(n), h)
	}
	qt.Assert(t, b.Loads(start)[9].HeardAt.Equal(start.Add(-50*time.Millisecond)), qt.IsTrue)
}

// Guards against VMs of a large fleet that count as dead because their turns are rare.
func TestTurnsExtendTimeout(t *testing.T) {
	b := newPeerTable(1)
	for n := 3; n < 60; n += 2 {
		b.Handle(start, address(n), newHeartbeat(n, 1, 1))
	}
	b.Tick(start, LocalState{})
	qt.Assert(t, b.LiveCounts(start.Add(3 * b.options.PeerTimeout))["a"], qt.Equals, 29)
	qt.Assert(t, b.LiveCounts(start.Add(4 * b.options.PeerTimeout))["a"], qt.Equals, 0)
}

// Guards against VMs that know only seeds and do not find each other, also when a seed no
// longer exists.
func TestDiscovery(t *testing.T) {
	tables := map[netip.AddrPort]*PeerTable{}
	for n := 1; n <= 9; n++ {
		tables[address(n)] = newPeerTable(n, 1, 2, 99)
	}
	now := start
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		for from, b := range tables {
			for _, out := range b.Tick(now, LocalState{}) {
				if to := tables[out.To]; to != nil {
					to.Handle(now, from, out.Message.Heartbeat)
				}
			}
		}
	}
	for n := 1; n <= 9; n++ {
		live := tables[address(n)].LiveCounts(now)
		qt.Assert(t, live["a"]+live["b"], qt.Equals, 8, qt.Commentf("VM %d: %v", n, live))
	}
}

// Guards against data centres that seem unreachable because heartbeats from them arrive
// irregularly. In a large fleet many VMs of a data centre send heartbeats, each of them
// rarely. At random times, one of 60 VMs received none for a second every half a minute,
// and sent no flows to that data centre.
func TestDataCentresStayLiveInLargeFleets(t *testing.T) {
	for _, size := range []struct{ vms, dataCentres, small int }{{60, 4, 0}, {80, 3, 0}, {120, 3, 20}} {
		t.Run(fmt.Sprintf("%d VMs", size.vms), func(t *testing.T) {
			lost := countLostDataCentres(t, size.vms, size.dataCentres, size.small)
			qt.Assert(t, lost, qt.Equals, 0, qt.Commentf("data centres seemed unreachable"))
		})
	}
}

// countLostDataCentres simulates a fleet for 30 s, in which each VM ticks at its own
// times. It returns how often in the last 10 s a VM considered a data centre unreachable.
// If small is not 0, it is the number of VMs of the last data centre.
func countLostDataCentres(t *testing.T, vms, dataCentres, small int) (lost int) {
	t.Helper()
	random := rand.New(rand.NewPCG(7, 8))
	tables := make([]*PeerTable, vms)
	phase := make([]time.Duration, vms)
	at := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(n >> 8), byte(n)}), 8401)
	}
	index := map[netip.AddrPort]int{}
	for n := range tables {
		dc := n % dataCentres
		if small > 0 {
			dc = n % (dataCentres - 1)
			if n >= vms-small {
				dc = dataCentres - 1
			}
		}
		tables[n] = New(start, Options{
			Self: baobabstep.VMID(n + 1), DataCentre: string(rune('a' + dc)), Address: at(n), Incarnation: 1,
			Seeds: []netip.AddrPort{at(0), at(1), at(vms - 1)}, Rand: rand.New(rand.NewPCG(uint64(n), 1)),
		})
		phase[n] = time.Duration(random.IntN(100)) * time.Millisecond
		index[at(n)] = n
	}
	for step := range 300 {
		for n, b := range tables {
			now := start.Add(time.Duration(step)*100*time.Millisecond + phase[n])
			if b.HeartbeatsDue(now) {
				for _, out := range b.Tick(now, LocalState{}) {
					tables[index[out.To]].Handle(now, at(n), out.Message.Heartbeat)
				}
			}
			if step >= 200 && len(b.LiveCounts(now)) < dataCentres {
				lost++
			}
		}
	}
	return lost
}

// Guards against VMs of a large fleet that send heartbeats to all others in one round, or
// never to some of them.
func TestFanoutIsBounded(t *testing.T) {
	b := newPeerTable(1)
	for n := 2; n < 120; n++ {
		b.Handle(start, address(n), newHeartbeat(n, 1, 1))
	}
	heard := map[netip.AddrPort]bool{}
	now := start
	for range 30 {
		now = now.Add(b.options.FarInterval)
		qt.Assert(t, b.HeartbeatsDue(now), qt.IsTrue)
		outs := b.Tick(now, LocalState{})
		qt.Assert(t, b.HeartbeatsDue(now), qt.IsFalse)
		qt.Assert(t, len(outs) <= b.options.NearFanout+b.options.FarFanout, qt.IsTrue)
		for _, o := range outs {
			heard[o.To] = true
		}
	}
	qt.Assert(t, len(heard), qt.Equals, 118)
}

// Guards against heartbeats to other data centres that contain as many loads as those
// within one. Traffic between data centres costs money, so only the largest loads are
// sent.
func TestFarHeartbeatsHaveFewerLoads(t *testing.T) {
	b := newPeerTable(1)
	for n := 2; n < 8; n++ {
		b.Handle(start, address(n), newHeartbeat(n, 1, 1))
	}
	own := LocalState{Loads: make([]baobabstep.TargetLoad, 2*maxLoads)}
	for i := range own.Loads {
		own.Loads[i] = baobabstep.TargetLoad{Target: baobabstep.TargetID(i + 1), Requests: float64(i + 1)}
	}
	counts := map[bool]int{}
	for _, o := range append(b.Tick(start, own), b.Announce(start, own, true)...) {
		near, loads := b.IsNear(o.To), o.Message.Heartbeat.Loads
		qt.Assert(t, loads, qt.HasLen, map[bool]int{true: sentLoads, false: maxFarLoads}[near])
		qt.Assert(t, int(loads[0].Target), qt.Equals, 2*maxLoads-len(loads)+1)
		counts[near]++
	}
	qt.Assert(t, counts[true] > 0 && counts[false] > 0, qt.IsTrue)
}

func TestLargestHeartbeatFits(t *testing.T) {
	for _, test := range []struct {
		name  string
		known *baobabstep.Returns
	}{
		{"no returns matter", nil},
		{"nothing returned", returns(0, 0)},
		{"data centres returned", returns(maxDataCentreReturns, 0)},
		{"targets returned", returns(0, maxTargetReturns)},
		{"both returned", returns(maxDataCentreReturns+1, maxTargetReturns+1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := &Heartbeat{From: 1<<64 - 1, DataCentre: "a-data-centre-with-a-long-name", Incarnation: 1 << 50, Sequence: 1 << 40, Leaving: true, StoreUnreadable: true, TurnMS: uint32(maxTurn.Milliseconds()), CongestedMS: math.MaxUint32}
			for range maxPeers {
				h.Peers = append(h.Peers, netip.MustParseAddrPort("255.255.255.255:65535"))
			}
			for kind := range h.Versions {
				h.Versions[kind] = VersionInfo{Number: 1<<64 - 1, Checksum: 1<<64 - 1, AgeMS: maxAgeMS, Era: 1<<64 - 1, Read: 1<<32 - 1}
			}
			h.EvacuationsVersion = h.Versions[Targets]
			var own []baobabstep.TargetLoad
			for id := range 200 {
				own = append(own, baobabstep.TargetLoad{Target: baobabstep.TargetID(id) + 1<<39, Requests: 6000, Unanswered: 255, UnansweredOpens: 255, HeardAt: start.Add(-time.Minute), ReportedSilent: true, Answers: 6000, Failed: 6000, MeanLatency: time.Minute})
			}
			h.Loads = MakeLoads(start, own, loadLimit(test.known))
			qt.Assert(t, h.Loads, qt.HasLen, loadLimit(test.known))
			h.setReturns(start, test.known)
			raw, err := Encode(&Message{Heartbeat: h})
			qt.Assert(t, err, qt.IsNil)
			_, err = Decode(raw)
			qt.Assert(t, err, qt.IsNil)
		})
	}
}

// revisionOf returns a revision of a store without eras.
func revisionOf(number uint64) baobabstep.Revision { return baobabstep.Revision{Number: number} }

// Guards against relay trees that miss a VM of the data centre or reach it twice.
func TestRelayReachesEachOnce(t *testing.T) {
	for _, vms := range []int{1, 2, 5, 17, 18, 60, 200} {
		for _, fanout := range []int{minRelayFanout, maxRelayFanout} {
			tables := make(map[netip.AddrPort]*PeerTable)
			for n := 1; n <= 2*vms; n += 2 { // odd VMs share a data centre
				b := newPeerTable(n)
				for other := 1; other <= 2*vms; other += 2 {
					b.Handle(start, address(other), newHeartbeat(other, 1, 1))
				}
				b.updateTurns()
				tables[address(n)] = b
			}
			origin := address(1 + 2*(vms/2))
			got := map[netip.AddrPort]int{}
			for senders := []netip.AddrPort{origin}; len(senders) > 0; senders = senders[1:] {
				to := tables[senders[0]].RelayPeers(start, origin, fanout)
				qt.Assert(t, len(to) <= fanout, qt.IsTrue)
				for _, at := range to {
					got[at]++
					senders = append(senders, at)
				}
			}
			qt.Assert(t, got, qt.HasLen, vms-1)
			for at, times := range got {
				qt.Assert(t, times, qt.Equals, 1, qt.Commentf("%v", at))
			}
		}
	}
}

func TestRelayDelay(t *testing.T) {
	for vms, want := range map[int]time.Duration{1: 0, 4: 0, 5: relayHopDelay, 20: relayHopDelay, 21: 2 * relayHopDelay, 200: 3 * relayHopDelay, 400: 4 * relayHopDelay} {
		b := newPeerTable(1)
		for n := range vms {
			b.Handle(start, address(3+2*n), newHeartbeat(3+2*n, 1, 1))
		}
		b.updateTurns()
		qt.Assert(t, b.RelayDelay(), qt.Equals, want, qt.Commentf("%d VMs", vms))
	}
}
