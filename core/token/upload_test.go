package token

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// fullLink is the meter of a fully utilized link of 10 Mbit/s.
type fullLink struct{}

func (fullLink) BytesPerSecond() float64            { return 1.25e6 }
func (fullLink) Load(time.Time) baobabstep.LinkLoad { return baobabstep.LinkLoad{Received: 1} }
func (fullLink) CongestedSince(time.Time) bool      { return false }

func releaseHeld(r *Router, now time.Time) (out []baobabstep.OutgoingDatagram) {
	r.ReleaseHeld(now, &out)
	return out
}

// newUploadRouter returns a router on a full link that has seen three requests of 40 kB on the
// route of fixtures and has two sending flows there, which is the limit of the link. Ports up
// to 10 are in use.
func newUploadRouter(t *testing.T, disabled Mechanisms) *Router {
	t.Helper()
	r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), Link: fullLink{}, Disabled: disabled})
	r.SetTable(start, table(1, singleRule(fixtures, "fixtures"), singleRule(results, "results")))
	r.ConfirmTable(start)
	r.SetRegistrations(start, threeTargets())
	r.SetPeerLoads(start, nil, map[string]int{"b": 1})
	for port := range uint16(3) {
		upload(t, r, port, 34)
	}
	for port := range uint16(2) {
		open(t, r, start, flowFrom(4+port, fixtures))
	}
	return r
}

// upload simulates a flow with one request of the given number of segments.
func upload(t *testing.T, r *Router, port uint16, segments int) {
	t.Helper()
	key := flowFrom(port, fixtures)
	_, token := open(t, r, start, key)
	s := data(key, token)
	for range segments {
		s.Size = 1200
		handle(r, start, s)
		s.Seq += 1200
	}
	s.Size, s.Acked = 0, s.Acked+300
	handle(r, start, s)
	s.Kind = baobabstep.KindClose
	handle(r, start, s)
}

// tokenOf returns the token of an open flow.
func tokenOf(r *Router, key baobabstep.FlowKey) uint32 {
	h := hashFlow(key)
	return tokenFor(h, r.flows.shard(h).flows[key].target.id)
}

func heldSegment() baobabstep.Segment {
	return baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: flowFrom(20, fixtures), Seq: firstSeq, Raw: []byte{20}}
}

func TestUploadAdmission(t *testing.T) {
	later := start.Add(250 * time.Millisecond)

	// Guards against retransmissions that open a held flow twice.
	t.Run("a first segment and its retransmissions are held", func(t *testing.T) {
		r := newUploadRouter(t, 0)
		s := heldSegment()
		assertDropped(t, r, start, s)
		s.Raw[0] = 99 // the read buffer is reused
		s.Acked = 1
		assertDropped(t, r, start.Add(200*time.Millisecond), s)
		qt.Check(t, r.HeldCount(), qt.Equals, 1)
		out := releaseHeld(r, later)
		qt.Assert(t, out, qt.HasLen, 1)
		qt.Check(t, out[0].Raw, qt.DeepEquals, []byte{20})
		qt.Check(t, out[0].Target, qt.Not(qt.Equals), baobabstep.TargetID(0))
		s.Acked = 2
		repeated := handle(r, later, s)
		qt.Assert(t, repeated, qt.HasLen, 1)
		qt.Check(t, repeated[0].Target, qt.Equals, out[0].Target)
	})
	t.Run("an answered flow frees its slot", func(t *testing.T) {
		r := newUploadRouter(t, 0)
		assertDropped(t, r, start, heldSegment())
		qt.Check(t, releaseHeld(r, start), qt.HasLen, 0)
		handle(r, start, baobabstep.Segment{Kind: baobabstep.KindClose, Flow: flowFrom(4, fixtures), Token: tokenOf(r, flowFrom(4, fixtures)), Seq: firstSeq + 1, Acked: 77})
		qt.Check(t, releaseHeld(r, start), qt.HasLen, 1)
	})
	// Guards against a flow that counts as sending because a segment was retransmitted after
	// the last one of its request.
	t.Run("retransmissions of a sent request take no slot", func(t *testing.T) {
		r := newUploadRouter(t, 0)
		s := data(flowFrom(4, fixtures), tokenOf(r, flowFrom(4, fixtures)))
		first := s
		for _, s.Size = range []uint16{1200, 1200, 400} {
			first.Size = 1200
			handle(r, start, s)
			s.Seq += uint32(s.Size)
		}
		handle(r, start, first)
		open(t, r, start, flowFrom(20, fixtures))
	})
	// Guards against targets that count as silent because of a segment that the VM held.
	t.Run("holding does not count against targets", func(t *testing.T) {
		r := newUploadRouter(t, 0)
		assertDropped(t, r, start, heldSegment())
		r.Tick(start.Add(400*time.Millisecond), new([]baobabstep.OutgoingDatagram))
		qt.Check(t, r.Stats().Events[EventSilent.String()], qt.Equals, uint64(2)) // the two flows that were opened
	})
	t.Run("a stop resets the callers", func(t *testing.T) {
		r := newUploadRouter(t, 0)
		assertDropped(t, r, start, heldSegment())
		r.StopHolding()
		out := releaseHeld(r, start)
		qt.Assert(t, out, qt.HasLen, 1)
		qt.Check(t, out[0].Target, qt.Equals, baobabstep.TargetID(0))
		qt.Check(t, out[0].Flow, qt.Equals, flowFrom(20, fixtures))
		qt.Check(t, r.Stats().LinkRefusals["stopping"], qt.Equals, uint64(1))
	})
	t.Run("a route that is removed resets the callers", func(t *testing.T) {
		r := newUploadRouter(t, 0)
		assertDropped(t, r, start, heldSegment())
		r.SetTable(start, table(2, singleRule(results, "results")))
		out := releaseHeld(r, later)
		qt.Assert(t, out, qt.HasLen, 1)
		qt.Check(t, out[0].Target, qt.Equals, baobabstep.TargetID(0))
	})
	t.Run("a reset by the caller removes its held segment", func(t *testing.T) {
		r := newUploadRouter(t, 0)
		s := heldSegment()
		assertDropped(t, r, start, s)
		s.Kind = baobabstep.KindReset
		assertDropped(t, r, start, s)
		qt.Check(t, r.HeldCount(), qt.Equals, 0)
	})
	t.Run("flows of other routes are not held", func(t *testing.T) {
		r := newUploadRouter(t, 0)
		open(t, r, start, flowFrom(20, results))
	})
	t.Run("the mechanism can be disabled", func(t *testing.T) {
		r := newUploadRouter(t, Mechanisms(0).With(MechanismLinkAdmission))
		open(t, r, start, flowFrom(20, fixtures))
	})
}

// Guards against slots of the link that are occupied by flows that do not send, and against
// sending flows without a slot.
func TestUploadSlots(t *testing.T) {
	key := flowFrom(4, fixtures)
	for _, test := range []struct {
		name string
		run  func(t *testing.T, r *Router, s baobabstep.Segment)
		at   time.Duration
		held int
	}{
		{"a flow sends payload", func(_ *testing.T, r *Router, s baobabstep.Segment) {
			handle(r, start.Add(200*time.Millisecond), s)
			s.Flow = flowFrom(5, fixtures)
			s.Token = tokenOf(r, s.Flow)
			handle(r, start.Add(200*time.Millisecond), s)
		}, 300 * time.Millisecond, 1},
		{"a segment is retransmitted after the close", func(_ *testing.T, r *Router, s baobabstep.Segment) {
			end := s
			end.Kind, end.Size, end.Seq = baobabstep.KindClose, 0, s.Seq+1200
			handle(r, start, s)
			handle(r, start, end)
			handle(r, start, s)
		}, 0, 0},
		{"a segment is retransmitted after the answer began", func(_ *testing.T, r *Router, s baobabstep.Segment) {
			handle(r, start, s)
			s.Acked += 300
			ack := s
			ack.Size, ack.Seq = 0, s.Seq+1200
			handle(r, start, ack)
			handle(r, start, s)
		}, 0, 0},
		{"no target accepts a flow", func(t *testing.T, r *Router, s baobabstep.Segment) {
			s.Kind = baobabstep.KindReset
			handle(r, start, s)
			r.SetRegistrations(start, nil)
			refused := heldSegment()
			refused.Flow = flowFrom(21, fixtures)
			assertReset(t, r, start, refused)
			r.SetRegistrations(start, threeTargets())
		}, 0, 0},
		{"the route is changed", func(_ *testing.T, r *Router, s baobabstep.Segment) {
			r.SetTable(start, table(2, singleRule(fixtures, "fixtures"), singleRule(results, "results")))
		}, 0, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newUploadRouter(t, 0)
			s := data(key, tokenOf(r, key))
			s.Size = 1200
			test.run(t, r, s)
			handle(r, start.Add(test.at), heldSegment())
			qt.Check(t, r.HeldCount(), qt.Equals, test.held)
		})
	}
	t.Run("no upload has finished yet", func(t *testing.T) {
		r := New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), Link: fullLink{}})
		r.SetTable(start, table(1, singleRule(fixtures, "fixtures")))
		r.SetRegistrations(start, threeTargets())
		for port := range uint16(2) {
			_, token := open(t, r, start, flowFrom(port, fixtures))
			s := data(flowFrom(port, fixtures), token)
			for s.Size = 1200; s.Seq < firstSeq+12_000; s.Seq += 1200 {
				handle(r, start, s)
			}
		}
		assertDropped(t, r, start, heldSegment())
	})
}

// Guards against forwarding a held first segment to a second target after the flow was opened
// by other means.
func TestHeldFlowIsOpenedOnce(t *testing.T) {
	copied := start.Add(200 * time.Millisecond)
	later := start.Add(260 * time.Millisecond)
	second := heldSegment()
	second.Acked = 1

	for _, test := range []struct {
		name string
		open func(t *testing.T, r *Router)
	}{
		{"a retransmission goes through another VM", func(*testing.T, *Router) {}},
		{"a stop after the next retransmission was due", func(_ *testing.T, r *Router) { r.StopHolding() }},
		{"data of the flow arrives", func(t *testing.T, r *Router) {
			handle(r, copied, second)
			assertPassed(t, r, copied, data(second.Flow, tokenFor(hashFlow(second.Flow), 1)), 1)
		}},
		{"a retransmission is forwarded since the route is no longer bulk", func(t *testing.T, r *Router) {
			for sizes := r.current.Load().rules[fixtures].requestSizes; sizes.Bulk(); {
				sizes.Add(500)
			}
			qt.Assert(t, handle(r, copied, second), qt.HasLen, 1)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newUploadRouter(t, 0)
			assertDropped(t, r, start, heldSegment())
			test.open(t, r)
			qt.Check(t, releaseHeld(r, later), qt.HasLen, 0)
			qt.Check(t, r.HeldCount(), qt.Equals, 0)
		})
	}
	t.Run("a retransmission arrives between release and forwarding", func(t *testing.T) {
		r := newUploadRouter(t, 0)
		assertDropped(t, r, start, heldSegment())
		handle(r, copied, second)
		list := r.bulkGate.Release(later, baobabstep.LinkLoad{Received: 1})
		qt.Assert(t, list, qt.HasLen, 1)
		out := handle(r, later, second)
		r.release(later, r.current.Load(), list[0], &out)
		qt.Check(t, out, qt.HasLen, 1)
		qt.Check(t, r.HeldCount(), qt.Equals, 0)
	})
}

// Guards against classifying connections with many small requests as bulk flows.
func TestManySmallRequestsAreNotBulk(t *testing.T) {
	r := newUploadRouter(t, 0)
	key := flowFrom(1, results)
	_, token := open(t, r, start, key)
	s := data(key, token)
	for range 1000 {
		handle(r, start, s)
		s.Seq, s.Acked = s.Seq+100, s.Acked+2000
	}
	sizes := r.current.Load().rules[results].requestSizes
	qt.Check(t, sizes.Mean(), qt.Equals, 100.0)
}
