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
// # Distribution of content
//
//   - A [Change] is the difference between two versions of the routing table or
//     the registrations. The VM that reads it from the store sends it to one VM
//     of each other data centre, and within a data centre it is relayed along a
//     tree ([Board.RelayPeers]). One that exceeds MaxMessage is sent in
//     fragments ([EncodeDatagrams]); one too large for that is only announced
//     by heartbeats.
//   - A VM that learns of a newer version from a heartbeat requests it from a VM
//     that holds it ([Want]). For registrations the response is the changes
//     since the requester's revision if the [History] reaches back that far and
//     they fit the limit on fragments.
//   - Otherwise the response is a limited number of sections ([Section]) of the
//     buckets whose digests differ from those in the request. The requester asks
//     for the remaining ones, possibly from another VM.
//   - A requested routing table is sent whole, in pieces ([Split], [Assembly]).
//     So are registrations if sections cannot be used.
//   - The list of evacuated data centres is sent whole, in one message
//     ([EvacuationList]).
//
// # Frequency of heartbeats
//
// If there are more VMs than the fan-out, a VM sends heartbeats to them in turns.
// In a large data centre the fan-out depends on the recent requests of the VM,
// except for the first VMs by rank and those that have just started (fanout.go).
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
