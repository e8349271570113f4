// Package baobabstep holds the words that every part of the load balancer
// shares: identifiers, packets, the configuration in force, the view of the
// fleet, result codes, and the ports through which decisions meet the world.
// It does no I/O and starts no goroutine.
//
// # The model
//
// Callers reach a service at a service address. A fabric in front of the fleet
// hands each packet to any VM of the region; two packets of one flow rarely
// reach the same VM. The VM that a packet reaches is its entry VM.
//
//	caller -> fabric -> entry VM -> holder -> target
//	                                  \-> second copy (first packet only)
//
// Work comes in two shapes. A flow is a long-lived exchange between a caller
// and one target; it fills one of the target's connections. A request is one
// question with one answer; it fills one of the target's slots. Both are
// found again by key: a keyed hash of (caller, service address, number) names
// a slot, and a [View] of the live VMs maps each slot to two VMs, the holder
// and the second copy. No VM is set aside: every role follows from the key
// and the view.
//
// Two views differ whenever the fleet changes, so nothing may depend on a role
// being held exactly once. Each decision is made so that it stays safe while
// two VMs hold a role, or none does.
//
// # Layout
//
// Packages below core decide: they are pure, take the present time as an
// argument, and return what should be sent. Packages below io are adapters to
// sockets, the platform and files. Package node wires the two together.
// The place to start reading is packet.go, then ports.go.
package baobabstep
