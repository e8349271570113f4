// Package exchange is what callers and targets agree on behind the load
// balancer: the payloads of flows, and an answer for each request that its
// caller can work out alone and compare byte for byte.
package exchange

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"baobabstep"
)

// PartSize is the most payload bytes in one part of an answer.
const PartSize = 1000

// Flow payloads start with one of these bytes and a number.
const (
	// Keepalive is a caller's sign of life; Ack answers its number.
	Keepalive = 'k'
	Ack       = 'a'
	// Push is a live update from the target; its numbers count from 1.
	Push = 'p'
)

const flowPayloadSize = 17

// FlowPayload makes the payload of a flow's packet. It names the target, so
// that a caller notices data of another target's flow.
func FlowPayload(kind byte, number uint64, target baobabstep.TargetID) []byte {
	b := append(make([]byte, 0, flowPayloadSize), kind)
	b = binary.BigEndian.AppendUint64(b, number)
	return binary.BigEndian.AppendUint64(b, uint64(target))
}

// ParseFlowPayload is the inverse of FlowPayload.
func ParseFlowPayload(b []byte) (kind byte, number uint64, target baobabstep.TargetID, ok bool) {
	if len(b) != flowPayloadSize {
		return 0, 0, 0, false
	}
	return b[0], binary.BigEndian.Uint64(b[1:]), baobabstep.TargetID(binary.BigEndian.Uint64(b[9:])), true
}

const minRequestSize = 4

// Request makes the payload of a request that asks for an answer of size bytes.
func Request(size uint32, r *rand.Rand) []byte {
	b := binary.BigEndian.AppendUint32(nil, size)
	for range 8 {
		b = binary.BigEndian.AppendUint64(b, r.Uint64())
	}
	return b
}

// Answer works out the answer to a request: a stream of bytes that depends on
// the flow key's number, the service and the whole payload.
func Answer(number uint64, service baobabstep.ServiceID, request []byte) []byte {
	size := uint32(0)
	if len(request) >= minRequestSize {
		size = min(binary.BigEndian.Uint32(request), 64*PartSize)
	}
	r := rand.New(rand.NewPCG(number^uint64(service), xxhash.Sum64(request)))
	b := make([]byte, 0, size+8)
	for uint32(len(b)) < size {
		b = binary.BigEndian.AppendUint64(b, r.Uint64())
	}
	return b[:size]
}

// Parts returns how many parts an answer of size bytes has.
func Parts(size int) int { return max(1, (size+PartSize-1)/PartSize) }

// Part returns one part of an answer.
func Part(answer []byte, part int) []byte {
	start := min(part*PartSize, len(answer))
	return answer[start:min(start+PartSize, len(answer))]
}
