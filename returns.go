package baobabstep

import "time"

// Returns are the events by which targets may have become cold although their registrations show it
// only seconds later.
type Returns struct {
	// Since is the time since which all such events are known.
	Since time.Time
	// DataCentres are the times of the latest end of each evacuation.
	DataCentres map[string]time.Time
	// Targets are the times at which targets that accepted no flows were last heard from again.
	Targets map[TargetID]time.Time
}
