package baobabstep

import "time"

// LinkLoad is the utilization of a VM's own link at one point in time.
type LinkLoad struct {
	// Received and Sent are the recent bytes in each direction as shares of the link's
	// capacity.
	Received, Sent float64
	// Backlog is the queueing delay of a datagram that is sent now.
	Backlog time.Duration
}

// LinkMeter measures a VM's own link against its rate. It is safe for concurrent use.
type LinkMeter interface {
	// BytesPerSecond returns the rate of the link in each direction, 0 if it is unknown.
	BytesPerSecond() float64
	// Load returns the current utilization of the link.
	Load(now time.Time) LinkLoad
	// CongestedSince reports whether segments may have been queued on the link at any
	// time from since on, in which case a delayed answer is no evidence against the
	// target. It returns false if the rate is unknown.
	CongestedSince(since time.Time) bool
}
