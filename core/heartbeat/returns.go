package heartbeat

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"baobabstep"
)

// Return is the end of a data centre's evacuation.
type Return struct {
	DataCentre string `cbor:"1,keyasint"`
	// AgeMS is the time since the end, in milliseconds.
	AgeMS uint32 `cbor:"2,keyasint,omitempty"`
}

// maxReturns limits the ends of evacuations in a heartbeat.
const maxReturns = 4

// loadLimit returns the limit of loads in a heartbeat that contains what the sender knows of ended
// evacuations.
func loadLimit(known *baobabstep.Returns) int {
	switch {
	case known == nil:
		return maxLoads
	case len(known.DataCentres) == 0:
		return maxLoads - 1
	}
	return maxLoads - 18
}

// setReturns sets what the sender knows of ended evacuations. A sender that knows more of them
// than a heartbeat holds does not claim to know all.
func (h *Heartbeat) setReturns(now time.Time, known *baobabstep.Returns) {
	if known == nil {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(known.DataCentres)) {
		h.Returned = append(h.Returned, Return{DataCentre: name, AgeMS: milliseconds(now.Sub(known.DataCentres[name]))})
	}
	if len(h.Returned) > maxReturns {
		slices.SortStableFunc(h.Returned, func(a, b Return) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
		h.Returned = h.Returned[:maxReturns]
	} else if !known.Since.IsZero() {
		h.ReturnsKnownMS = 1 + milliseconds(now.Sub(known.Since))
	}
}

// Returns returns what the sender knows of ended evacuations. Since is zero if it does not tell
// since when it knows all.
func (h *Heartbeat) Returns(now time.Time) baobabstep.Returns {
	known := baobabstep.Returns{DataCentres: make(map[string]time.Time, len(h.Returned))}
	for _, e := range h.Returned {
		known.DataCentres[e.DataCentre] = now.Add(-time.Duration(e.AgeMS) * time.Millisecond)
	}
	if h.ReturnsKnownMS > 0 {
		known.Since = now.Add(-time.Duration(h.ReturnsKnownMS-1) * time.Millisecond)
	}
	return known
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxInt32))
}
