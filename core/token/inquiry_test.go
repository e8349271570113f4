package token

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// copyOf returns a copy of the first segment of a flow.
func copyOf(key baobabstep.FlowKey, copies uint32) baobabstep.Segment {
	return baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq, Acked: copies, Raw: []byte{1, 2, 3}}
}

// ask delivers the inquiries of one VM to another, and returns what is sent for the answers.
func ask(now time.Time, from, to *Router) (out []baobabstep.OutgoingDatagram) {
	for _, o := range from.TakeInquiries() {
		if id, ok := to.PlacedAt(o); ok {
			from.SettleInquiry(now, o, id, &out)
		}
	}
	return out
}

// Failure: the fabric sends the copy of a first segment to another VM, as when VMs are stopped and
// started in turn; that VM places it at a second target, and the caller is reset by one of the two.
func TestCopyGoesWhereAnotherVMPlacedTheFlow(t *testing.T) {
	later := start.Add(200 * time.Millisecond)
	for _, test := range []struct {
		name string
		seen func(f *testFleet, key baobabstep.FlowKey, token uint32)
	}{
		{"the first segment", func(*testFleet, baobabstep.FlowKey, uint32) {}},
		{"the end of the handshake", func(f *testFleet, key baobabstep.FlowKey, token uint32) {
			end := data(key, token)
			end.Size = 0
			handle(f.routers[0], start, end)
		}},
	} {
		t.Run("the other VM saw "+test.name, func(t *testing.T) {
			for range 20 {
				f := newTestFleet(t, 2)
				key := f.nextKey()
				home, token := open(t, f.routers[0], start, key)
				test.seen(f, key, token)
				assertDropped(t, f.routers[1], later, copyOf(key, 1))
				out := ask(later, f.routers[1], f.routers[0])
				qt.Assert(t, out, qt.HasLen, 1)
				qt.Assert(t, out[0].Target, qt.Equals, home)
				qt.Assert(t, out[0].Raw, qt.DeepEquals, []byte{1, 2, 3})
				qt.Assert(t, retransmit(t, f.routers[1], later, key), qt.Equals, home)
				qt.Assert(t, f.routers[1].InquiryCount(), qt.Equals, 0)
			}
		})
	}
	t.Run("a VM that only saw the end of the handshake", func(t *testing.T) {
		f := newTestFleet(t, 2)
		key := f.nextKey()
		end := data(key, tokenFor(hashFlow(key), 3))
		end.Size = 0
		handle(f.routers[0], start, end)
		assertDropped(t, f.routers[1], later, copyOf(key, 1))
		qt.Assert(t, ask(later, f.routers[1], f.routers[0])[0].Target, qt.Equals, baobabstep.TargetID(3))
	})
}

// Failure: a flow is not served because the VM that got its first segment has ended, or a flow waits
// although nobody can know it.
func TestCopyIsPlacedIfNobodyKnowsTheFlow(t *testing.T) {
	later := start.Add(200 * time.Millisecond)
	t.Run("after a while without an answer", func(t *testing.T) {
		f := newTestFleet(t, 2)
		key := f.nextKey()
		var out []baobabstep.OutgoingDatagram
		assertDropped(t, f.routers[1], later, copyOf(key, 1))
		qt.Assert(t, ask(later, f.routers[1], f.routers[0]), qt.HasLen, 0)
		f.routers[1].EndInquiries(later.Add(inquiryTimeout-1), false, &out)
		qt.Assert(t, out, qt.HasLen, 0)
		assertDropped(t, f.routers[1], later, copyOf(key, 2))
		f.routers[1].EndInquiries(later.Add(inquiryTimeout), false, &out)
		qt.Assert(t, out, qt.HasLen, 1)
		qt.Assert(t, retransmit(t, f.routers[1], later.Add(inquiryTimeout), key), qt.Equals, out[0].Target)
		t.Run("a late answer changes nothing", func(t *testing.T) {
			var late []baobabstep.OutgoingDatagram
			f.routers[1].SettleInquiry(later.Add(inquiryTimeout), baobabstep.Opening{Flow: key, Seq: firstSeq}, 3-out[0].Target, &late)
			qt.Assert(t, late, qt.HasLen, 0)
		})
	})
	t.Run("at once if no question can be sent", func(t *testing.T) {
		f := newTestFleet(t, 2)
		var out []baobabstep.OutgoingDatagram
		assertDropped(t, f.routers[1], later, copyOf(f.nextKey(), 1))
		f.routers[1].EndInquiries(later, true, &out)
		qt.Assert(t, out, qt.HasLen, 1)
	})
	for _, test := range []struct {
		name   string
		vms    int
		copies uint32
	}{{"the only VM", 1, 1}, {"not a copy", 2, 0}} {
		t.Run("at once: "+test.name, func(t *testing.T) {
			f := newTestFleet(t, test.vms)
			qt.Assert(t, handle(f.routers[0], start, copyOf(f.nextKey(), test.copies)), qt.HasLen, 1)
		})
	}
	t.Run("at once beyond the limit", func(t *testing.T) {
		f := newTestFleet(t, 2)
		for range maxInquiries {
			assertDropped(t, f.routers[0], start, copyOf(f.nextKey(), 1))
		}
		qt.Assert(t, handle(f.routers[0], start, copyOf(f.nextKey(), 1)), qt.HasLen, 1)
	})
	t.Run("and others are asked again after such a burst", func(t *testing.T) {
		f := newTestFleet(t, 2)
		var out []baobabstep.OutgoingDatagram
		for range maxInquiries {
			assertDropped(t, f.routers[0], start, copyOf(f.nextKey(), 1))
		}
		f.routers[0].EndInquiries(start, true, &out)
		qt.Assert(t, out, qt.HasLen, maxInquiries)
		assertDropped(t, f.routers[0], start.Add(inquiryRetention), copyOf(f.nextKey(), 1))
	})
	t.Run("elsewhere if its target leaves", func(t *testing.T) {
		f := newTestFleet(t, 2)
		key := f.nextKey()
		home, _ := open(t, f.routers[0], start, key)
		list := manyTargets(4)
		list[home-1].Draining = true
		f.routers[1].SetRegistrations(later, list)
		assertDropped(t, f.routers[1], later, copyOf(key, 1))
		qt.Assert(t, ask(later, f.routers[1], f.routers[0])[0].Target, qt.Not(qt.Equals), home)
	})
}

// Failure: a copy arrives after the next segment of its flow, and a second target accepts the flow.
func TestOvertakenCopyGoesToSameTarget(t *testing.T) {
	f := newTestFleet(t, 1)
	for range 20 {
		key := f.nextKey()
		home, token := open(t, f.routers[0], start, key)
		handle(f.routers[0], start, data(key, token))
		qt.Assert(t, handle(f.routers[0], start, copyOf(key, 1))[0].Target, qt.Equals, home)
		assertPassed(t, f.routers[0], start, data(key, token), home)
	}
}
