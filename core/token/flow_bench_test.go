package token

import (
	"testing"
	"time"

	"baobabstep"
)

// BenchmarkSegments measures the cost of one segment. Each flow has a first segment, a
// request, two acknowledgements of its answer and a close.
func BenchmarkSegments(b *testing.B) {
	r := newRouter(b)
	r.SetRegistrations(start, manyTargets(18))
	var out []baobabstep.OutgoingDatagram
	now := start
	const perFlow = 5
	segments := 0
	for port := uint16(1); b.Loop(); port++ {
		now = now.Add(time.Millisecond)
		key := flowFrom(port, fixtures)
		out = out[:0]
		r.Handle(now, &baobabstep.Segment{Kind: baobabstep.KindOpen, Flow: key, Seq: firstSeq}, &out)
		later := data(key, out[0].Token)
		for _, s := range [...]struct {
			kind  baobabstep.Kind
			acked uint32
			size  uint16
		}{{baobabstep.KindData, 77, 100}, {baobabstep.KindData, 477, 0}, {baobabstep.KindData, 877, 0}, {baobabstep.KindClose, 877, 0}} {
			later.Kind, later.Acked, later.Size = s.kind, s.acked, s.size
			r.Handle(now, &later, &out)
		}
		segments += perFlow
		if port%100 == 0 {
			r.Tick(now, new([]baobabstep.OutgoingDatagram))
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(segments), "ns/segment")
}
