package request

import (
	"testing"
	"time"

	"baobabstep"
)

func TestRequestIsAnsweredThroughAnyVM(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		b := newBench(t, 9, 15, 1)
		for i := range 9 {
			key := b.ask(i, request{number: uint64(i), idempotent: idempotent})
			b.run(200 * time.Millisecond)
			assertTold(t, b, key, baobabstep.CodeOK)
		}
	}
}
