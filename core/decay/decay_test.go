package decay_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep/core/decay"
)

func ExampleFactor() {
	fmt.Printf("%.2f", decay.Factor(2*time.Second, time.Second))
	// Output: 0.14
}

func TestFactor(t *testing.T) {
	for _, test := range []struct {
		passed time.Duration
		want   float64
	}{
		{-time.Second, 1}, {0, 1}, {time.Second, 1 / math.E}, {time.Hour, 0},
	} {
		got := decay.Factor(test.passed, time.Second)
		qt.Check(t, math.Abs(got-test.want) < 1e-9, qt.IsTrue, qt.Commentf("after %v: got %v, want %v", test.passed, got, test.want))
	}
}
