package heartbeat

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"baobabstep"
)

// DataCentreReturn is the end of a data centre's evacuation.
type DataCentreReturn struct {
	DataCentre string `cbor:"1,keyasint"`
	// AgeMS is the time since the end, in milliseconds.
	AgeMS uint32 `cbor:"2,keyasint,omitempty"`
}

// TargetReturn is a target that accepted no flows and was heard from again.
type TargetReturn struct {
	Target baobabstep.TargetID `cbor:"1,keyasint"`
	// AgeMS is the time since it was heard from again, in milliseconds.
	AgeMS uint32 `cbor:"2,keyasint,omitempty"`
}

// Limits of the returns in a heartbeat, and the number of loads that one of each takes the place of.
const (
	maxDataCentreReturns, dataCentreReturnLoads = 4, 4
	maxTargetReturns, targetReturnLoads         = 16, 1
)

// loadLimit returns the limit of loads in a heartbeat that contains returns.
func loadLimit(known *baobabstep.Returns) int {
	if known == nil {
		return sentLoads
	}
	return sentLoads - 1 - dataCentreReturnLoads*min(len(known.DataCentres), maxDataCentreReturns) - targetReturnLoads*min(len(known.Targets), maxTargetReturns)
}

// setReturns sets the returns that the sender knows of. A sender that knows of more than a heartbeat
// holds does not claim to know all.
func (h *Heartbeat) setReturns(now time.Time, known *baobabstep.Returns) {
	if known == nil {
		return
	}
	for _, name := range latest(known.DataCentres, maxDataCentreReturns) {
		h.DataCentreReturns = append(h.DataCentreReturns, DataCentreReturn{DataCentre: name, AgeMS: milliseconds(now.Sub(known.DataCentres[name]))})
	}
	for _, id := range latest(known.Targets, maxTargetReturns) {
		h.TargetReturns = append(h.TargetReturns, TargetReturn{Target: id, AgeMS: milliseconds(now.Sub(known.Targets[id]))})
	}
	if len(known.DataCentres) <= maxDataCentreReturns && len(known.Targets) <= maxTargetReturns && !known.Since.IsZero() {
		h.ReturnsKnownMS = 1 + milliseconds(now.Sub(known.Since))
	}
}

// latest returns the keys with the latest times, up to a limit.
func latest[K cmp.Ordered](times map[K]time.Time, limit int) []K {
	keys := slices.SortedFunc(maps.Keys(times), func(a, b K) int { return cmp.Or(times[b].Compare(times[a]), cmp.Compare(a, b)) })
	return keys[:min(len(keys), limit)]
}

// Returns returns the returns that the sender knows of. Since is zero if it does not tell since when
// it knows all.
func (h *Heartbeat) Returns(now time.Time) baobabstep.Returns {
	known := baobabstep.Returns{DataCentres: make(map[string]time.Time), Targets: make(map[baobabstep.TargetID]time.Time)}
	for _, e := range h.DataCentreReturns {
		known.DataCentres[e.DataCentre] = now.Add(-time.Duration(e.AgeMS) * time.Millisecond)
	}
	for _, e := range h.TargetReturns {
		known.Targets[e.Target] = now.Add(-time.Duration(e.AgeMS) * time.Millisecond)
	}
	if h.ReturnsKnownMS > 0 {
		known.Since = now.Add(-time.Duration(h.ReturnsKnownMS-1) * time.Millisecond)
	}
	return known
}

// TellsReturns reports whether the heartbeat contains anything of returns.
func (h *Heartbeat) TellsReturns() bool {
	return h.ReturnsKnownMS > 0 || len(h.DataCentreReturns) > 0 || len(h.TargetReturns) > 0
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxInt32))
}
