package token

import (
	"math/rand/v2"
	"testing"
	"time"

	"baobabstep"
)

// testLink is a link that is congested until a given time.
type testLink struct{ congestedUntil time.Time }

func (*testLink) BytesPerSecond() float64 { return 1.25e6 }

func (*testLink) Load(time.Time) baobabstep.LinkLoad { return baobabstep.LinkLoad{} }

func (l *testLink) CongestedSince(since time.Time) bool {
	return !l.congestedUntil.IsZero() && !l.congestedUntil.Before(since)
}

// testFleet are the VMs of data centre a, with the silence reports that each of them last
// sent. Targets 1 to 4 are in a, targets 11 and 12 in b, all of service fixtures.
type testFleet struct {
	t       testing.TB
	routers []*Router
	links   []*testLink
	reports []map[baobabstep.TargetID]baobabstep.TargetLoad
	port    uint16
}

func newTestFleet(t testing.TB, vms int, disabled ...Mechanism) *testFleet {
	var set Mechanisms
	for _, m := range disabled {
		set = set.With(m)
	}
	f := &testFleet{t: t}
	for vm := range vms {
		link := new(testLink)
		r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(uint64(vm), 2)), Link: link, Disabled: set})
		r.SetTable(start, table(1, singleRule(fixtures, "fixtures")))
		r.SetRegistrations(start, append(manyTargets(4), registration(11, "fixtures", "b"), registration(12, "fixtures", "b")))
		f.routers, f.links, f.reports = append(f.routers, r), append(f.links, link), append(f.reports, map[baobabstep.TargetID]baobabstep.TargetLoad{})
	}
	f.setHeard(map[string]int{"a": vms - 1, "b": 1})
	return f
}

// setHeard sets the number of VMs that each VM hears in each data centre.
func (f *testFleet) setHeard(vms map[string]int) {
	for _, r := range f.routers {
		r.SetPeerLoads(start, nil, vms)
	}
}

// congest makes the links of the VMs from one number to another congested until a time.
func (f *testFleet) congest(from, to int, until time.Time) {
	for _, l := range f.links[from:to] {
		l.congestedUntil = until
	}
}

// exchange delivers the alarms of all VMs until none are left.
func (f *testFleet) exchange(now time.Time) {
	for range 3 {
		changed := map[baobabstep.TargetID]bool{}
		for vm, r := range f.routers {
			for _, l := range r.TakeAlarms(now) {
				f.reports[vm][l.Target] = l
				changed[l.Target] = true
			}
		}
		for vm, r := range f.routers {
			received := map[baobabstep.TargetID]baobabstep.TargetLoad{}
			for id := range changed {
				received[id] = f.combined(vm, id)
			}
			r.SetSilenceReports(now, received)
		}
	}
}

// combined returns what the other VMs reported about a target.
func (f *testFleet) combined(receiver int, id baobabstep.TargetID) (sum baobabstep.TargetLoad) {
	for vm, reports := range f.reports {
		l, ok := reports[id]
		if vm == receiver || !ok {
			continue
		}
		if l.Unanswered > 0 {
			sum.SilenceReports = append(sum.SilenceReports, baobabstep.SilenceReport{
				Unanswered: l.Unanswered, UnansweredOpens: l.UnansweredOpens, NotRetransmitted: l.NotRetransmitted,
				LastUnansweredAt: l.LastUnansweredAt, RequestUnansweredAt: l.RequestUnansweredAt, CongestedAt: f.links[vm].congestedUntil,
			})
		}
		if l.ReportedSilent && l.HeardAt.After(sum.HeardAt) {
			sum.HeardAt = l.HeardAt
		}
	}
	return sum
}

// nextKey returns a flow that is not in use.
func (f *testFleet) nextKey() baobabstep.FlowKey {
	f.port++
	return flowFrom(f.port, fixtures)
}

// openAtFirst opens flows through a VM until one is placed on target 1, and returns it. The
// flows at other targets are accepted.
func (f *testFleet) openAtFirst(now time.Time, vm int) baobabstep.FlowKey {
	f.t.Helper()
	for range 500 {
		key := f.nextKey()
		at, token := open(f.t, f.routers[vm], now, key)
		if at == 1 {
			return key
		}
		handle(f.routers[vm], now, data(key, token))
	}
	f.t.Fatalf("VM %d places no flow on target 1", vm)
	return baobabstep.FlowKey{}
}

// leaveUnanswered opens flows through some VMs at target 1, sends requests on open flows there, and
// repeats all of them 200 ms later. It returns the time after that; alarms are delivered.
func (f *testFleet) leaveUnanswered(now time.Time, counts silence, vms ...int) time.Time {
	f.t.Helper()
	segments := make([][]baobabstep.Segment, len(f.routers))
	for _, vm := range vms {
		for range counts.opens {
			segments[vm] = append(segments[vm], baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: f.openAtFirst(now, vm), Seq: firstSeq, Acked: 1})
		}
		for range counts.requests {
			request := f.requestAtFirst()
			handle(f.routers[vm], now, request)
			segments[vm] = append(segments[vm], request)
		}
	}
	later := now.Add(callerRetransmissionDelay)
	for vm, list := range segments {
		for _, s := range list {
			handle(f.routers[vm], later, s)
		}
	}
	f.exchange(later)
	return later
}

// requestAtFirst returns a request on a flow that another VM opened at target 1.
func (f *testFleet) requestAtFirst() baobabstep.Segment {
	key := f.nextKey()
	return data(key, tokenFor(hashFlow(key), 1))
}

// established returns the next request of a flow that another VM opened at a target, and makes
// a VM hear from all targets but this one.
func (f *testFleet) established(now time.Time, vm int, target baobabstep.TargetID) baobabstep.Segment {
	f.t.Helper()
	for _, other := range []baobabstep.TargetID{1, 2, 3, 4} {
		if other != target {
			f.hear(now, vm, other)
		}
	}
	key := f.nextKey()
	return data(key, tokenFor(hashFlow(key), target))
}

// hear makes a VM receive an acknowledgement of a target's answer on an open flow.
func (f *testFleet) hear(now time.Time, vm int, target baobabstep.TargetID) {
	f.t.Helper()
	key := f.nextKey()
	s := data(key, tokenFor(hashFlow(key), target))
	handle(f.routers[vm], now.Add(-time.Millisecond), s)
	s.Seq, s.Acked, s.Size = s.Seq+uint32(s.Size), s.Acked+600, 0
	handle(f.routers[vm], now, s)
}

// findSilent makes a VM find two flows at a target unanswered from their first segments, and two
// requests on open flows. New flows go to other data centres only where the own one is busy, so
// the flows are placed there.
func (f *testFleet) findSilent(sentAt time.Time, vm int, id baobabstep.TargetID) {
	f.findFull(sentAt, vm, id)
	f.findUnanswered(sentAt, vm, id, requestRepeated)
}

// findFull makes a VM find two flows at a target unanswered from their first segments.
func (f *testFleet) findFull(sentAt time.Time, vm int, id baobabstep.TargetID) {
	f.findUnanswered(sentAt, vm, id, openRepeated)
}

func (f *testFleet) findUnanswered(sentAt time.Time, vm int, id baobabstep.TargetID, kind silenceKind) {
	r := f.routers[vm]
	t := r.current.Load().targets[id]
	for range 2 {
		flow := &flow{key: f.nextKey(), target: t, rule: r.current.Load().rules[fixtures], opening: kind != requestRepeated, requestSentAt: sentAt}
		r.noteUnanswered(sentAt.Add(callerRetransmissionDelay), flow, kind)
	}
}

// renewSilence makes all VMs find targets silent once more.
func (f *testFleet) renewSilence(sentAt time.Time, ids ...baobabstep.TargetID) {
	for _, id := range ids {
		for vm := range f.routers {
			f.findSilent(sentAt, vm, id)
		}
	}
	f.exchange(sentAt.Add(callerRetransmissionDelay))
}
