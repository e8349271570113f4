// Package token routes the packets of flows by a token that callers repeat.
//
// # The model
//
// A target answers its callers directly, so a VM sees one direction only:
//
//	caller -> any VM -> target
//	caller <----------- target
//
// On the first packet of a flow a VM chooses a target and writes a token into
// the packet. The target copies it into its answers, and the caller into every
// later packet, whichever VM they reach. The token is a hash of the flow and of
// the target's identifier. A VM finds the target of a packet by trying which
// target of the service gives that token; nobody has to remember the flow.
//
// The record that a VM keeps of a flow is therefore only a cache: it keeps the
// copies of a first packet together, counts the load of targets, and collects
// evidence of targets that do not answer. A VM that starts serves every flow
// as soon as it knows routes and targets.
//
// # Where new flows go
//
// To the target whose slots are least busy, by its recent requests and their times
// (choose.go). Targets that leave flows unanswered are suspect or dark, by what all
// VMs of the data centre find (health.go, trouble.go), and are tried by one VM at a
// time (avoid.go). Those that answer, but fail more than their peers, count as busier
// (answers.go; package answer judges). Where answers come too late from all, ordinary flows are refused
// (admission.go). Each of these is a [Mechanism] that can be switched off.
//
// # What must hold
//
//   - An established flow goes to the target that its token names, or nowhere.
//   - A token never leads to a target of a service that the flow's address was
//     never routed to. Two targets with the same token for one flow are told
//     apart when the flow is placed: the second is not chosen.
//   - A new routing table changes where new flows go. It ends established
//     flows only if their address is routed no more.
//   - The version of the routing table only grows.
//   - A target that drains or has left gets no new flow; established ones stay.
//
// The present time is an argument of whatever decides. The router starts no
// goroutine and is safe for concurrent use: routes and targets are immutable
// and swapped as a whole, flows stand in shards under their own locks.
package token
