package request

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
)

// The network loses one in ten packets to targets, at a third of the load that
// the slots can serve. An attempt that is not idempotent is not retried. If it
// kept its slot until the request's deadline, two hundred service times later,
// lost attempts would fill all slots and callers would be refused as overloaded
// while targets are idle. A slot is therefore presumed free some service times
// after its attempt, and only requests whose packets are lost may fail.
func TestLostAttemptsDoNotFillTheSlots(t *testing.T) {
	b := newTestBed(t, 6, 8, 1)
	b.drop = func(b *testBed, _, to string, p *baobabstep.Packet) bool {
		return to == "target" && p.Kind == baobabstep.KindRequest && b.rand.IntN(10) == 0
	}
	number := uint64(0)
	for i := range 5000 {
		b.after(time.Duration(i)*2*time.Millisecond, func() {
			number++
			b.sendRequest(b.rand.IntN(6), transmission{number: number, timeout: 2 * time.Second})
		})
	}
	b.run(14 * time.Second)
	answered, refused := 0, 0
	for _, c := range b.callers {
		qt.Assert(t, c.codes, qt.HasLen, 1)
		switch c.codes[0] {
		case ok:
			answered++
		case baobabstep.CodeOverloaded, baobabstep.CodeRefusedNotRun, baobabstep.CodeDeadlineExceeded:
			refused++
		}
	}
	qt.Check(t, refused <= 50, qt.IsTrue, qt.Commentf("got %d of 5000 refused", refused))
	qt.Check(t, answered >= 4350, qt.IsTrue, qt.Commentf("got %d of 5000 answered", answered))
	assertTruthfulResults(t, b, func(baobabstep.FlowKey) bool { return false })
}
