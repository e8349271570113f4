package baobabstep

import "time"

// LinkLoad is the use that a VM makes of its own link at one moment.
type LinkLoad struct {
	// Received and Sent are the bytes of the last moments as shares of what the link can
	// carry in that time, one for each direction.
	Received, Sent float64
	// Backlog is how long a datagram that is sent now waits behind those sent before it.
	Backlog time.Duration
}

// LinkMeter measures a VM's own link against its rate. It is safe for concurrent use.
type LinkMeter interface {
	// BytesPerSecond returns the rate of the link in each direction, 0 if it is unknown.
	BytesPerSecond() float64
	// Load returns the present use of the link.
	Load(now time.Time) LinkLoad
	// CongestedSince reports whether segments may have waited on the link at any moment
	// from since on, so that the delay of an answer in that time says nothing about
	// the target. It is false where the rate is unknown.
	CongestedSince(since time.Time) bool
}
