package request

import (
	"math/rand/v2"
	"testing"
	"time"

	"baobabstep"
	"baobabstep/core/target"
)

// BenchmarkRequest measures one request at its dispatcher, from the caller's
// packet to the answer, without a claim.
func BenchmarkRequest(b *testing.B) {
	s := testService(15)
	c := &baobabstep.Config{Version: 1, Services: []baobabstep.Service{s}}
	c.Index()
	slots := target.New(epoch, target.Options{Self: vmID(0), Rand: rand.New(rand.NewPCG(1, 1))})
	slots.SetConfig(epoch, c)
	e := New(epoch, Options{Self: vmID(0), Targets: slots, Rand: rand.New(rand.NewPCG(1, 1))})
	e.SetConfig(epoch, c)
	v := &baobabstep.View{Self: vmID(0)}
	for _, dc := range dataCentres {
		v.Members = append(v.Members, baobabstep.VM{ID: vmID(0), DataCentre: dc})
	}
	e.SetView(epoch, v)
	now := epoch.Add(time.Hour)
	key := baobabstep.FlowKey{Service: s.Address}
	var out baobabstep.Outbox
	b.ReportAllocs()
	for b.Loop() {
		key.Number++
		out = out[:0]
		now = now.Add(20 * time.Microsecond)
		e.Handle(now, &baobabstep.Packet{Kind: baobabstep.KindRequest, Flow: key, Idempotent: true, Timeout: time.Second}, &out)
		answer := out[0].Packet
		answer.Kind = baobabstep.KindAnswer
		answer.FromTarget = true
		e.Handle(now, &answer, &out)
		if key.Number%1000 == 0 {
			e.Tick(now, &out)
		}
	}
}

// BenchmarkForward measures forwarding one request to its dispatcher.
func BenchmarkForward(b *testing.B) {
	bed := newTestBed(b, 9, 15, 1)
	e := bed.vms[bed.nonMember()].engine
	p := &baobabstep.Packet{Kind: baobabstep.KindRequest, Flow: bed.key(1), Idempotent: true}
	var out baobabstep.Outbox
	b.ReportAllocs()
	for b.Loop() {
		out = out[:0]
		p.Flow.Number++
		e.Handle(bed.now, p, &out)
	}
}
