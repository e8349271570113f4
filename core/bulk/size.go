package bulk

import (
	"math"
	"sync/atomic"
)

const (
	// minBulkSize is the mean size of a route's requests in bytes from which its flows are
	// bulk: they fill half of a caller's window.
	minBulkSize = 8 * 1200
	// sizeWeight is the weight of a new size in the mean, once some are known.
	sizeWeight = 1.0 / 16
)

// RequestSizes is the mean size of the requests of one route, in which older requests have
// less weight. It is safe for concurrent use; the zero value knows no size.
type RequestSizes struct {
	// mean holds the bits of the mean.
	mean  atomic.Uint64
	count atomic.Uint64
}

// Add adds the size of a request in bytes. Of two concurrent calls, one may be lost.
func (r *RequestSizes) Add(bytes uint32) {
	weight := max(1/float64(r.count.Add(1)), sizeWeight)
	mean := math.Float64frombits(r.mean.Load())
	r.mean.Store(math.Float64bits(mean + weight*(float64(bytes)-mean)))
}

// AddUnfinished takes note of a request of which so many bytes were sent so far. Where no
// request has finished yet, the first large one shows that the route's flows are bulk: on a
// full link, none may finish for seconds.
func (r *RequestSizes) AddUnfinished(bytes uint32) {
	if bytes >= minBulkSize && r.count.Load() == 0 {
		r.Add(bytes)
	}
}

// Mean returns the mean size in bytes, 0 if none is known.
func (r *RequestSizes) Mean() float64 { return math.Float64frombits(r.mean.Load()) }

// Bulk reports whether the flows of the route are bulk flows.
func (r *RequestSizes) Bulk() bool { return r.Mean() >= minBulkSize }
