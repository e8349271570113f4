package baobabstep

import (
	"net/netip"
	"time"
)

// Kind is the type of a packet.
type Kind uint8

// Kinds of packets. The health kinds are used between VMs and targets only, the
// others between callers, VMs and targets.
const (
	KindInvalid Kind = iota
	// KindOpen asks for a new flow. The caller repeats it until KindOpened
	// arrives.
	KindOpen
	// KindOpened confirms that the target accepted the flow.
	KindOpened
	// KindData carries payload in either direction of a flow.
	KindData
	// KindClose ends a flow gracefully, from either end.
	KindClose
	// KindReset aborts a flow; Code says why.
	KindReset
	// KindProbe asks whether the receiver still knows the flow.
	KindProbe
	// KindProbeAck answers KindProbe and echoes its Seq, from which the entry
	// VM finds the VM that sent the probe.
	KindProbeAck
	// KindRequest carries one request.
	KindRequest
	// KindAnswer carries one part of an answer.
	KindAnswer
	// KindRefusal ends a request without an answer; Code says why.
	KindRefusal
	// KindCancel cancels a request or one attempt of it.
	KindCancel
	// KindHealth asks a target for its report.
	KindHealth
	// KindHealthReport carries a target's report in Report.
	KindHealthReport
)

// Class is the urgency of a request.
type Class uint8

// Classes of requests, the more urgent first.
const (
	ClassUrgent Class = iota
	ClassOrdinary
)

// Purpose says why one VM sent a packet to another.
type Purpose uint8

// Purposes of packets between VMs.
const (
	// PurposeNone marks a packet that did not come from a VM.
	PurposeNone Purpose = iota
	// PurposeForward asks the receiver to act as holder.
	PurposeForward
	// PurposeReplicate asks the receiver to store Route.Record and then to
	// forward the packet to the record's target.
	PurposeReplicate
	// PurposeLearn asks the receiver to store Route.Record; the packet is not
	// forwarded.
	PurposeLearn
	// PurposeForget says that the flow or request has ended.
	PurposeForget
	// PurposeStored confirms a PurposeReplicate or PurposeLearn of a request.
	PurposeStored
)

// MaxTried is the maximum number of VMs a packet visits in search of its
// record.
const MaxTried = 6

// Packet is one packet of the data path, independent of the transport.
//
// A packet is valid only until the handler that received it returns, since
// Payload points into the read buffer. Code that keeps a packet has to copy it.
type Packet struct {
	Kind Kind
	// FromTarget is the direction: set on packets sent by a target.
	FromTarget bool
	Flow       FlowKey
	// Seq numbers the sender's packets within the flow; for KindRequest it
	// counts the caller's transmissions of the same request from 0.
	Seq uint32
	// Service and Target are set by VMs and echoed by targets. A target refuses
	// a packet for another service or target.
	Service ServiceID
	Target  TargetID
	// Version is the configuration version that the packet was routed by.
	Version uint64

	// Attempt numbers the attempts to send one request to a target, from 1.
	Attempt uint16
	Class   Class
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Timeout is the time left for the request, reduced at each hop. It is
	// relative, so that clocks need not be synchronised.
	Timeout time.Duration
	// Part is the index of a piece of a large answer, from 0; Parts is the
	// number of pieces.
	Part, Parts uint16

	// Code is the reason of a reset or refusal.
	Code Code
	// RetryAfter tells a refused caller how long to wait before a retry.
	RetryAfter time.Duration
	Report     TargetReport
	Payload    []byte

	Route Route
}

// Route is the part of a packet that only VMs read and write. Adapters drop it
// from packets that did not come from an authenticated VM.
type Route struct {
	Purpose Purpose
	From    VMID
	// Exhausted says that all VMs that could have the record were asked.
	Exhausted bool
	// Tried lists the VMs that had no record; NTried is their number.
	NTried uint8
	Tried  [MaxTried]VMID
	// Record is present if Record.Target is not zero.
	Record Record
}

// Record is the state of one flow or attempt, as exchanged between VMs.
type Record struct {
	Target  TargetID
	Service ServiceID
	// Address is the target's address, for VMs that started after the target
	// left the configuration. It is the zero value if the sender does not know
	// it.
	Address netip.AddrPort
	// Version is the configuration version under which Target was chosen.
	Version uint64
	// Established is set once the target has accepted the flow.
	Established bool
	// Confirmed is set once a packet of the caller arrived after the target
	// accepted, which shows that the caller uses the flow.
	Confirmed bool
	// Age is the time since the flow was opened. It is relative for the same
	// reason as Packet.Timeout.
	Age time.Duration
	// Attempt is the recorded attempt of a request.
	Attempt uint16
}

// TargetReport is a target's report of its own state. It may lag or be wrong.
type TargetReport struct {
	Healthy     bool
	Draining    bool
	SlotsUsed   uint32
	Connections uint32
	// ServiceTime is the target's mean time to serve a request.
	ServiceTime time.Duration
}

// Dest is the kind of destination of a packet in an [Outbox].
type Dest uint8

// Kinds of destinations.
const (
	DestNone Dest = iota
	// DestCaller is the address Packet.Flow.Caller.
	DestCaller
	// DestTarget is the target Packet.Target.
	DestTarget
	// DestVM is another VM.
	DestVM
)

// OutgoingPacket is one packet to send and its destination.
type OutgoingPacket struct {
	Dest Dest
	VM   VMID
	// Address is the target's address if Dest is DestTarget and the address is
	// known; otherwise the node looks it up.
	Address netip.AddrPort
	Packet  Packet
}

// Outbox collects packets to send. Handlers append to it, and its owner reuses
// it, so that the data path does not allocate.
type Outbox []OutgoingPacket

// ToCaller appends a packet for the caller of its flow.
func (o *Outbox) ToCaller(p *Packet) { *o = append(*o, OutgoingPacket{Dest: DestCaller, Packet: *p}) }

// ToTarget appends a packet for its target.
func (o *Outbox) ToTarget(p *Packet) { *o = append(*o, OutgoingPacket{Dest: DestTarget, Packet: *p}) }

// ToVM appends a packet for another member of the fleet.
func (o *Outbox) ToVM(to VMID, p *Packet) {
	*o = append(*o, OutgoingPacket{Dest: DestVM, VM: to, Packet: *p})
}
