// Package token routes the packets of a flow by a token that the caller echoes in every
// packet.
//
// # The model
//
// A target answers its callers directly (direct server return), so a VM sees one direction
// only:
//
//	caller -> any VM -> target
//	caller <----------- target
//
// On the first packet of a flow a VM chooses a target and writes a token into the packet.
// The target copies the token into its answers, and the caller copies it into every later
// packet, whichever VM receives them. The token is a hash of the flow and of the target's
// identifier. A VM finds the target of a packet by computing the token of each target of
// the service until one matches, so no VM needs per-flow state.
//
// The copy of a first segment that comes to another VM goes where the first VM placed the flow, if
// that one can still be asked (inquiry.go).
//
// The flow record that a VM keeps is only a cache. It sends retransmitted first packets to
// the same target, counts the load of targets, and collects evidence of targets that do not
// answer. A newly started VM serves every flow as soon as it has the routing table and the
// targets.
//
// # Target selection for new flows
//
// A new flow goes to the target with the lowest share of busy slots, estimated from its
// recent requests and their service times (choose.go). Targets that leave flows unanswered
// become suspect or unreachable, by the combined reports of all VMs of the data centre
// (health.go, alarm.go), and are retried by one VM at a time (avoid.go). Targets that leave
// first segments unanswered and answer on open flows are full (full.go). Targets that
// answer but fail more often than their peers are scored as busier (answers.go; package
// answer computes their health). When even the best target answers too late, ordinary flows
// are refused (admission.go). When targets reject requests for lack of room, ordinary flows
// are refused in part, except at targets that are idle (room.go; package room). New bulk
// flows wait while the VM's own link is full of them (upload.go; package bulk). What a VM
// observes while its own link is congested counts in none of these (congestion.go). Each of
// these is a [Mechanism] that can be disabled.
//
// # Invariants
//
//   - A packet of an established flow goes to the target that its token names, or to no
//     target.
//   - A token never leads to a target of a service that the flow's address was never
//     routed to. If two targets have the same token for a flow, the flow is not placed
//     on either of them.
//   - A new routing table changes where new flows go. It ends established flows only if
//     their address has no route any more.
//   - An established flow is reset for lack of a route only if the store is known to have held
//     none since the flow was seen (unrouted.go), a new one only by a table that the store
//     confirmed.
//   - The version of the routing table in force never decreases.
//   - A target that drains or is gone gets no new flows; its established flows
//     continue.
//
// Functions take the current time as an argument. The router starts no goroutines and is
// safe for concurrent use: routes and targets are immutable snapshots that are replaced as
// a whole, and flow records are stored in shards with a lock each.
package token
