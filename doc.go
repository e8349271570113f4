// Package baobabstep defines the types that all parts of the load balancer
// share: identifiers, packets, the configuration, the view of the fleet, result
// codes, and the interfaces to the network and the platform. It does no I/O and
// starts no goroutine.
//
// # The model
//
// Callers reach a service at a service address. A fabric in front of the fleet
// sends each packet to any VM of the region, so two packets of one flow rarely
// reach the same VM. The VM that receives a packet is its entry VM.
//
//	caller -> fabric -> entry VM -> holder -> target
//	                                  \-> second copy (first packet only)
//
// There are two kinds of work. A flow is a long-lived exchange between a caller
// and one target; it occupies one of the target's connections. A request is one
// question with one answer; it occupies one of the target's slots. Both are
// looked up by key: a keyed hash of (caller, service address, number) selects a
// slot, and a [View] of the live VMs maps each slot to two VMs, the holder and
// the second copy. No VM is dedicated to a role: roles follow from the key and
// the view.
//
// Views differ between VMs whenever the fleet changes, so a role may be held by
// two VMs, or by none, for a while. Every decision has to be safe in both
// cases.
//
// # Layout
//
// Packages below core decide: they are pure, take the present time as an
// argument, and return what to send. Packages below io are adapters to sockets,
// the platform and files. Package node connects the two. Start reading at
// packet.go, then port.go.
package baobabstep
