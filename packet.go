package baobabstep

import (
	"net/netip"
	"time"
)

// Kind tells what a packet is for.
type Kind uint8

// Kinds of packets. Those between callers, VMs and targets come first; the
// health kinds pass between VMs and targets only.
const (
	KindInvalid Kind = iota
	// KindOpen asks for a new flow. The caller repeats it until KindOpened.
	KindOpen
	// KindOpened is a target's word that it holds the flow.
	KindOpened
	// KindData carries payload in either direction of a flow.
	KindData
	// KindClose ends a flow in good order, from either end.
	KindClose
	// KindReset ends a flow at once; Code says why.
	KindReset
	// KindProbe asks whether the receiver still knows the flow.
	KindProbe
	// KindProbeAck answers KindProbe and echoes its Seq, by which the entry
	// VM finds the VM that asked.
	KindProbeAck
	// KindRequest carries one request.
	KindRequest
	// KindAnswer carries one part of an answer.
	KindAnswer
	// KindRefusal ends a request without an answer; Code says why.
	KindRefusal
	// KindCancel withdraws a request or one attempt of it.
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

// Purpose tells why one VM sent a packet to another.
type Purpose uint8

// Purposes of packets between VMs.
const (
	// PurposeNone marks a packet that did not come from a VM.
	PurposeNone Purpose = iota
	// PurposeForward asks the receiver to act as holder.
	PurposeForward
	// PurposeReplicate asks the receiver to store Route.Record and then to
	// send the packet on to the record's target.
	PurposeReplicate
	// PurposeLearn asks the receiver to store Route.Record; the packet
	// itself goes nowhere.
	PurposeLearn
	// PurposeForget says that the flow or request has ended.
	PurposeForget
	// PurposeStored confirms a PurposeReplicate or PurposeLearn of a request.
	PurposeStored
)

// MaxTried bounds the VMs that a packet may visit in search of its record.
const MaxTried = 6

// Packet is one packet of the data path, whatever wire carried it.
//
// A packet is valid only until the handler that received it returns: Payload
// points into the read buffer. A part that keeps a packet copies it.
type Packet struct {
	Kind Kind
	// FromTarget tells the direction: set on packets that a target sent.
	FromTarget bool
	Flow       FlowKey
	// Seq numbers the sender's packets within the flow; for KindRequest it
	// counts the caller's transmissions of the same request from 0.
	Seq uint32
	// Service and Target are set by VMs and echoed by targets. A target
	// refuses a packet whose Service or Target is not its own.
	Service ServiceID
	Target  TargetID
	// Version is the configuration version the packet was routed under.
	Version uint64

	// Attempt numbers the hand-overs of one request to targets, from 1.
	Attempt uint16
	Class   Class
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Timeout is the time left for the request, shortened on the way. It is
	// relative, so that the clocks of two machines need not agree.
	Timeout time.Duration
	// Part and Parts number the pieces of a large answer: Part from 0.
	Part, Parts uint16

	// Code says why a reset or refusal was sent.
	Code Code
	// RetryAfter tells a refused caller when to come back.
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
	// Exhausted says that every VM that could know the record was asked.
	Exhausted bool
	// Tried lists the VMs that had no record; NTried counts them.
	NTried uint8
	Tried  [MaxTried]VMID
	// Record is present if Record.Target is not zero.
	Record Record
}

// Record is the state of one flow or attempt that travels between VMs.
type Record struct {
	Target  TargetID
	Service ServiceID
	// Address is the target's, for a VM that started after the target left
	// the configuration. It is the zero value if the sender does not know.
	Address netip.AddrPort
	// Version is the configuration version under which Target was chosen.
	Version uint64
	// Established is set once the target has accepted the flow.
	Established bool
	// Confirmed is set once the caller was heard after the target accepted:
	// the caller uses the flow.
	Confirmed bool
	// Age is the time since the flow was opened, relative for the reason
	// given at Packet.Timeout.
	Age time.Duration
	// Attempt is the attempt that was recorded, for requests.
	Attempt uint16
}

// TargetReport is what a target says of itself. It may lag or be wrong.
type TargetReport struct {
	Healthy     bool
	Draining    bool
	SlotsUsed   uint32
	Connections uint32
	// ServiceTime is the target's mean time to serve a request.
	ServiceTime time.Duration
}

// Dest tells what a [Send] is addressed to.
type Dest uint8

// Destinations of a Send.
const (
	DestNone Dest = iota
	// DestCaller sends to Packet.Flow.Caller.
	DestCaller
	// DestTarget sends to the address of the target Packet.Target.
	DestTarget
	// DestVM sends to the VM Send.VM.
	DestVM
)

// Send is one packet that a decision wants sent.
type Send struct {
	Dest Dest
	VM   VMID
	// Address is the target's address when Dest is DestTarget and the
	// sender knows it; the zero value leaves the look-up to the node.
	Address netip.AddrPort
	Packet  Packet
}

// Outbox collects what a decision wants sent. Handlers append to it, and its
// owner reuses it, so that the data path does not allocate.
type Outbox []Send

// Caller appends a packet to the caller of p.Flow.
func (o *Outbox) Caller(p *Packet) { *o = append(*o, Send{Dest: DestCaller, Packet: *p}) }

// Target appends a packet to target p.Target.
func (o *Outbox) Target(p *Packet) { *o = append(*o, Send{Dest: DestTarget, Packet: *p}) }

// VM appends a packet to another VM.
func (o *Outbox) VM(to VMID, p *Packet) {
	*o = append(*o, Send{Dest: DestVM, VM: to, Packet: *p})
}
