// Package fade weighs what was seen by its age. What is seen now counts whole, and
// less and less as time passes, so that no moment drops out at once.
package fade

import (
	"math"
	"time"
)

// Left returns the part of a weight that is left after some time has passed: 1 at
// first, 1/e after the given window. Time that runs backwards changes nothing.
func Left(passed, window time.Duration) float64 {
	if passed <= 0 {
		return 1
	}
	return math.Exp(-float64(passed) / float64(window))
}
