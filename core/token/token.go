package token

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"baobabstep"
	"baobabstep/core/mix"
)

// flowHash is the part of a token that depends on the flow.
type flowHash uint64

// hashFlow returns the hash of a flow's two addresses.
func hashFlow(k baobabstep.FlowKey) flowHash {
	var b [36]byte
	caller, service := k.Caller.Addr().As16(), k.Service.Addr().As16()
	copy(b[:], caller[:])
	copy(b[16:], service[:])
	binary.BigEndian.PutUint16(b[32:], k.Caller.Port())
	binary.BigEndian.PutUint16(b[34:], k.Service.Port())
	return flowHash(xxhash.Sum64(b[:]))
}

// tokenFor returns the token of a flow at a target. It is never 0.
//
// Target identifiers have at least 40 bits, tokens have 32. With one fixed token for each
// target, two of 26,000 targets would almost certainly collide, for all their flows.
// Because the flow is mixed in, two targets collide only for one flow in 2^32.
func tokenFor(h flowHash, id baobabstep.TargetID) uint32 {
	x := mix.Uint64(uint64(h) ^ uint64(id)*0x9e3779b97f4a7c15)
	return max(1, uint32(x>>32))
}
