package baobabstep

import (
	"context"
	"net/netip"
)

// Segment is one packet of a flow whose target answers its caller directly, on
// a wire that numbers bytes and has room for a token. Only callers' segments
// reach a VM.
//
// A segment is valid only until the handler that received it returns: Raw
// points into the read buffer.
type Segment struct {
	// Kind is KindOpen, KindData, KindClose or KindReset.
	Kind Kind
	// Flow has no Number: the two addresses name the flow.
	Flow FlowKey
	// Token is the value that the caller repeats from the last segment of its
	// target; 0 means none yet.
	Token uint32
	// Seq numbers the first of the segment's Size payload bytes; on a first
	// segment it names the flow among those of the same addresses.
	Seq  uint32
	Size uint16
	// Acked is how far the caller has received the other direction. On a
	// first segment it counts the copies sent before.
	Acked uint32
	// Raw is the packet as it came. It goes to the target unchanged but for
	// the token.
	Raw []byte
}

// Forward is one datagram that a decision wants sent: a segment to a target, or
// a reset to a caller.
type Forward struct {
	// Target is 0 for a reset.
	Target  TargetID
	Address netip.AddrPort
	Token   uint32
	Raw     []byte
	// Flow and Seq are those of a reset.
	Flow FlowKey
	Seq  uint32
}

// Segments moves segments between this VM, callers and targets.
type Segments interface {
	// Receive blocks until at least one segment arrived, fills batch and
	// returns the count. Malformed datagrams are counted and skipped.
	Receive(ctx context.Context, batch []Segment) (int, error)
	// Send sends what it can; what cannot be sent is counted.
	Send(batch []Forward) error
	Close() error
}
