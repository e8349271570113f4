// Package config implements the configuration: it renders templates and client
// accounts, validates changes, commits each change atomically, and distributes
// versions to the VMs. It does no I/O; adapters carry out the steps and messages
// that it returns.
//
// # Documents
//
// A [Template] is shared between accounts: it declares typed parameters and maps
// them to the settings of a service. An [Account] belongs to one client and
// names, for each of its services, a template and values for its parameters.
// [Render] turns them into a [baobabstep.Config] or returns the [Problems].
//
// # The tree
//
// A version is a tree of immutable objects, each named by the SHA-256 of its
// bytes:
//
//	head -> manifest -> pages -> templates and accounts
//
// Only the head is ever overwritten, by compare-and-swap. A change writes its
// new objects first and then the head, so that it becomes visible atomically. A
// change of one account writes that account, one page and one manifest. A VM
// that has a manifest can compute which objects it lacks, fetch them from any
// peer, and verify each by its digest.
//
// # Accept
//
// [Accept] is a state machine: it returns one platform call at a time and takes
// the answer. A write may have taken effect although its answer was lost, so
// each write is idempotent: objects are named by their content, and the head
// lists the identifiers of recent changes.
//
// # Distribution
//
// [Replica] is one VM's copy. A few VMs in each data centre read the platform;
// they announce new versions to the others along trees. VMs that an announcement
// missed learn of it by comparing versions with a random peer periodically. The
// version in force never decreases.
package config
