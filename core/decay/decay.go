// Package decay implements exponential decay of weights by age. A new observation has full
// weight, which then decreases continuously, so that no observation drops out of a window
// at once.
package decay

import (
	"math"
	"time"
)

// Factor returns the factor by which a weight has decayed after some time: 1 at first, 1/e
// after the window. It returns 1 if the time is negative.
func Factor(passed, window time.Duration) float64 {
	if passed <= 0 {
		return 1
	}
	return math.Exp(-float64(passed) / float64(window))
}
