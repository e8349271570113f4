package request

import (
	"testing"
	"time"

	"baobabstep"
)

func TestRequestIsAnsweredThroughAnyVM(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		b := newTestBed(t, 9, 15, 1)
		for i := range 9 {
			key := b.sendRequest(i, transmission{number: uint64(i), idempotent: idempotent})
			b.run(200 * time.Millisecond)
			assertResults(t, b, key, baobabstep.CodeOK)
		}
	}
}
