package bulk

import (
	"math"
	"sync/atomic"
)

const (
	// minBulkSize is the minimum mean request size in bytes of a route with bulk flows. It is
	// half of a caller's window.
	minBulkSize = 8 * 1200
	// sizeWeight is the minimum weight of a new size in the mean.
	sizeWeight = 1.0 / 16
)

// RequestSizes keeps an exponentially weighted mean of the request sizes of one route. It is
// safe for concurrent use. The zero value has no samples.
type RequestSizes struct {
	// mean holds the mean as IEEE 754 bits.
	mean  atomic.Uint64
	count atomic.Uint64
}

// Add adds the size of a request in bytes. The size of one of two concurrent
// calls may be lost.
func (r *RequestSizes) Add(bytes uint32) {
	weight := max(1/float64(r.count.Add(1)), sizeWeight)
	mean := math.Float64frombits(r.mean.Load())
	r.mean.Store(math.Float64bits(mean + weight*(float64(bytes)-mean)))
}

// AddUnfinished records a request of which the given number of bytes was sent so far. If no
// request has finished yet, the first large one marks the route as bulk, since on a full link
// no request may finish for seconds.
func (r *RequestSizes) AddUnfinished(bytes uint32) {
	if bytes >= minBulkSize && r.count.Load() == 0 {
		r.Add(bytes)
	}
}

// Mean returns the mean size in bytes, or 0 without samples.
func (r *RequestSizes) Mean() float64 { return math.Float64frombits(r.mean.Load()) }

// Bulk reports whether the flows of the route are bulk flows.
func (r *RequestSizes) Bulk() bool { return r.Mean() >= minBulkSize }
