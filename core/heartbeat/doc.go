// Package heartbeat is the protocol between VMs with token routing. It tells them
// which VMs are live, which versions of routes and targets they hold and how fresh
// these are, and how much load they send to each target.
//
// # The model
//
// Each VM sends heartbeats to the VMs of its own data centre often, and to some VMs
// of other data centres less often. Messages are neither acknowledged nor repeated,
// because the next heartbeat contains the same information. A VM learns the
// addresses of others from heartbeats too, so the settings contain only the seeds.
// In names, near stands for the own data centre and far for all others.
//
// Heartbeats contain ages rather than times, so clocks need not be synchronized: "I
// hold version 7 and knew 300 ms ago that it was the newest". A VM that holds the
// same version takes over that freshness without a request to the store. One that
// holds an older version requests the newer one from the sender. So one VM of a data
// centre that reads the store is enough. That is the first by rank. The others
// read the store as well when the ages they receive exceed their own limits, whether
// the first VM died, froze, is refused by the store or is partitioned. There is no
// election, and nothing depends on exactly one VM reading the store.
//
// # Distribution of content
//
//   - A [Change] is the difference between two versions of the routing table or
//     the registrations. The VM that reads it from the store sends it to one VM
//     of each other data centre, and within a data centre it is relayed along a
//     tree ([PeerTable.RelayPeers]), whether or not it applies on its way. One
//     that exceeds MaxMessage is sent in fragments ([EncodeDatagrams]); one too
//     large for that is only announced by heartbeats.
//   - A VM that learns of a newer version from a heartbeat requests it from a VM
//     that holds it ([Request]). For registrations the response is consecutive
//     changes since the requester's revision if the [History] reaches back that
//     far ([History.Steps]). They need not lead to the newest version.
//   - If no VM has these, the response is a limited number of sections ([Section])
//     of the buckets whose digests differ from those in the request. The requester
//     asks the same VM for the remaining ones, and then for the changes since.
//   - A requested routing table is sent completely, in chunks ([SplitChunks],
//     [ChunkAssembly]). So are registrations if sections cannot be used.
//   - The list of evacuated data centres is sent completely, in one message
//     ([EvacuationList]).
//
// # Frequency of heartbeats
//
// If there are more VMs than the fan-out, a VM sends heartbeats to them in turns.
// In a large data centre the fan-out depends on the recent requests of the VM,
// except for the first VMs by rank and those that have just started (fanout.go).
//
// # Invariants
//
//   - A VM never replaces its version by an older one. Of versions that the store
//     assigns, one of a later era is newer regardless of its number.
//   - Content that arrives in several messages is used only once it is complete and
//     its checksum matches.
//   - Sequence numbers grow within an incarnation of a VM, so that delayed or
//     replayed messages have no effect.
//   - A VM that was silent for its timeout does not count for rank, freshness or
//     load.
//
// The present time is an argument; no goroutine, no I/O.
package heartbeat
