package token

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// countedOutcomes returns the outcomes that the router counted, without zero counts.
func countedOutcomes(r *Router) map[string]uint64 {
	counted := make(map[string]uint64)
	for name, count := range r.Stats().Outcomes {
		if count > 0 {
			counted[name] = count
		}
	}
	return counted
}

// Guards against counting the end of a flow as an unanswered request. A caller that opens a
// flow for one request closes it after the answer. Its last acknowledgement, of the
// target's close, overtakes its own close and is one past the end of the payload. Counted
// as a request, it made a third of such flows unanswered under normal load, and doubled the
// load.
func TestFlowEndIsNotCountedAsRequest(t *testing.T) {
	r := newRouter(t)
	key := flowFrom(1, results)
	_, token := open(t, r, start, key)
	send := func(ms int, kind baobabstep.Kind, seq, acked uint32, size uint16) {
		s := data(key, token)
		s.Kind, s.Seq, s.Acked, s.Size = kind, seq, acked, size
		handle(r, start.Add(time.Duration(ms)*time.Millisecond), s)
	}
	send(2, baobabstep.KindData, 1001, 50, 1200)
	send(2, baobabstep.KindData, 2201, 50, 345)
	send(30, baobabstep.KindData, 2547, 829, 0)
	send(30, baobabstep.KindClose, 2546, 828, 0)
	for ms := 100; ms <= 900; ms += 100 {
		r.Tick(start.Add(time.Duration(ms)*time.Millisecond), new([]baobabstep.OutgoingDatagram))
	}
	qt.Assert(t, countedOutcomes(r), qt.DeepEquals, map[string]uint64{"answered": 1})
	own, _ := r.current.Load().targets[3].load.requests(start.Add(30 * time.Millisecond))
	qt.Assert(t, own > 0.97 && own <= 1, qt.IsTrue, qt.Commentf("%v requests", own))
}

// Guards against counting a hanging request more than once. A request that is unanswered
// for ten times the usual time counts once, however long it lasts. If the caller leaves
// earlier, nothing counts against the target.
func TestHangingRequestCountsOnce(t *testing.T) {
	for name, test := range map[string]struct {
		last baobabstep.Kind
		want map[string]uint64
	}{
		"the caller keeps waiting":   {baobabstep.KindData, map[string]uint64{"unanswered": 1}},
		"the caller resets the flow": {baobabstep.KindReset, map[string]uint64{}},
		"the caller closes the flow": {baobabstep.KindClose, map[string]uint64{}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t)
			key := flowFrom(1, results)
			_, token := open(t, r, start, key)
			s := data(key, token)
			handle(r, start.Add(2*time.Millisecond), s)
			s.Kind, s.Seq, s.Size = test.last, 1101, 0
			handle(r, start.Add(100*time.Millisecond), s)
			for ms := 200; ms <= 1200; ms += 100 {
				r.Tick(start.Add(time.Duration(ms)*time.Millisecond), new([]baobabstep.OutgoingDatagram))
			}
			qt.Assert(t, countedOutcomes(r), qt.DeepEquals, test.want)
		})
	}
}
