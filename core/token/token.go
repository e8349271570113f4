package token

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"baobabstep"
	"baobabstep/core/mix"
)

// flowHash is the part of a token that depends on the flow.
type flowHash uint64

// hashFlow returns the hash of a flow's two ends.
func hashFlow(k baobabstep.FlowKey) flowHash {
	var b [36]byte
	caller, service := k.Caller.Addr().As16(), k.Service.Addr().As16()
	copy(b[:], caller[:])
	copy(b[16:], service[:])
	binary.BigEndian.PutUint16(b[32:], k.Caller.Port())
	binary.BigEndian.PutUint16(b[34:], k.Service.Port())
	return flowHash(xxhash.Sum64(b[:]))
}

// tokenFor returns the token of a flow at a target; it is never 0.
//
// Identifiers have 40 bits and more, tokens 32. A fixed token for each target
// would make two of 26,000 collide with near certainty, for all their flows.
// Mixed with the flow, a collision concerns one flow in 2^32 for each pair.
func tokenFor(h flowHash, id baobabstep.TargetID) uint32 {
	x := mix.Bits(uint64(h) ^ uint64(id)*0x9e3779b97f4a7c15)
	return max(1, uint32(x>>32))
}
