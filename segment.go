package baobabstep

import (
	"context"
	"net/netip"
)

// Segment is one packet from a caller whose target answers it directly, over a
// protocol that numbers bytes and carries a token. VMs see no segments of
// targets.
//
// A segment is valid only until the handler that received it returns, since Raw
// points into the read buffer.
type Segment struct {
	// Kind is KindOpen, KindData, KindClose or KindReset.
	Kind Kind
	// Flow has no Number: the two addresses identify the flow.
	Flow FlowKey
	// Token is the value that the caller echoes from the last segment of its
	// target; 0 if there is none yet.
	Token uint32
	// Seq is the number of the first of Size payload bytes. On a first segment
	// it distinguishes flows with the same addresses.
	Seq  uint32
	Size uint16
	// Acked is the number up to which the caller has received the other
	// direction. On a first segment it counts earlier transmissions.
	Acked uint32
	// Raw is the packet as received. It is forwarded unchanged except for the
	// token.
	Raw []byte
}

// Opening identifies a flow that is being opened, by its addresses and the number of its first
// segment.
type Opening struct {
	Flow FlowKey
	Seq  uint32
}

// OutgoingDatagram is one datagram to send: a segment to a target,
// or a reset to a caller.
type OutgoingDatagram struct {
	// Target is 0 for a reset.
	Target  TargetID
	Address netip.AddrPort
	Token   uint32
	// Raw is valid as long as that of the segment.
	Raw  []byte
	Flow FlowKey
	// Seq is set for a reset only.
	Seq uint32
}

// Segments exchanges segments with callers and targets.
type Segments interface {
	// Receive blocks until a segment arrives, fills batch and returns the
	// count. Malformed datagrams are counted and skipped.
	Receive(ctx context.Context, batch []Segment) (int, error)
	// Send sends what it can and counts what it cannot.
	Send(batch []OutgoingDatagram) error
	Close() error
}
