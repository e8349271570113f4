// Package config decides everything about the configuration: what templates
// and client accounts mean, which changes are allowed, how an accepted change
// becomes visible at once, and how a version spreads over the fleet. It does
// no I/O; adapters carry out the steps and messages that it returns.
//
// # Documents
//
// A [Template] is shared: it declares typed parameters and says which setting
// of a service each of them fills. An [Account] belongs to one client and
// names, for each of its services, a template and values for its parameters.
// [Render] makes a [baobabstep.Config] of them or says what is wrong.
//
// # The tree
//
// A version is a tree of immutable objects, each named by the SHA-256 of its
// bytes:
//
//	head -> manifest -> pages -> templates and accounts
//
// Only the head is ever overwritten, by compare-and-swap. A change writes its
// new objects first and then the head, so that it is visible as a whole or not
// at all, and one change at a large installation writes an account, one page
// and one manifest instead of everything. The same names serve the fleet: a VM
// that has a manifest knows what it lacks, fetches that from any peer, and
// needs to trust none of them.
//
// # Accept
//
// [Accept] is a step machine: it returns one platform call at a time and
// decides by the answer what comes next. Each write may have taken effect
// although its answer was lost, so each write is repeatable: objects because
// equal names mean equal bytes, the head because it lists the identifiers of
// recent changes.
//
// # Spread
//
// [Replica] is one VM's copy. Few VMs in each data centre read the platform;
// the others are told by peers along a tree and, where the tree has a gap, by
// periodic comparison of versions with a random peer. Versions only grow.
package config
