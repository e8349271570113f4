// Package heartbeat is what VMs with token routing tell each other: that they
// live, how fresh their routes and targets are, and what they send to each
// target.
//
// # The model
//
// Each VM sends heartbeats to the VMs of its own data centre often, and to some
// of the others less often. Nothing is acknowledged and nothing repeated: the
// next heartbeat says it again. A VM that hears of another from a third one
// greets it, so that the addresses in the settings are only where it starts.
//
// Heartbeats carry ages, not times, so clocks need not agree: "I hold version 7
// and knew 300 ms ago that it was the newest". A VM that holds the same version
// is as sure of it as the sender, without asking the store; one that holds an
// older version asks the sender for the newer one. So a data centre needs one
// VM that reads the store. The first by rank does; the others follow when the
// ages that they hear grow past what theirs may be, whatever the reason: it
// died, it froze, the store refuses it, or the path to it is cut. No election
// is held and nothing depends on there being exactly one.
//
// # What must hold
//
//   - A VM never takes over an older version than it holds. Of what the store
//     numbers, a version of a later era is newer whatever its number.
//   - What arrives in pieces is used only as a whole whose checksum fits.
//   - Numbers of one life only grow: a message that is late, or recorded and
//     sent again, changes nothing.
//   - A VM that is silent for Options.Silent counts for nothing: not for rank,
//     freshness or load.
//
// The present time is an argument; no goroutine, no I/O.
package heartbeat
