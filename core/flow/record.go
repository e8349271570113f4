package flow

import (
	"math"
	"net/netip"
	"time"

	"baobabstep"
)

// State is the state of one record.
type State uint8

// States of a record.
const (
	// StateFree marks an unused entry of the table.
	StateFree State = iota
	// StateSearching stands for no record: targets were asked for the flow.
	StateSearching
	// StateOpening waits for the target to accept the flow.
	StateOpening
	// StateEstablished was accepted by its target.
	StateEstablished
	// StateClosed ended in good order; late packets find it for a while.
	StateClosed
	// StateReset ended by a reset; late packets find it for a while.
	StateReset
	numStates
)

// Flags of a record.
const (
	// flagIPv4 tells a 4-byte caller address from its 16-byte form.
	flagIPv4 uint8 = 1 << iota
	// flagHolder and flagSecond are the VM's role under the table rec.gen.
	flagHolder
	flagSecond
	// flagCounted is set while the Chooser counts the flow for this VM.
	flagCounted
	// flagVia is set if the other owner was on the way of the target's
	// acceptance, so that the caller's next packet proves its copy. In
	// StateClosed it was on the way of the caller's close.
	flagVia
	// flagConfirmed is set once the caller was heard after the acceptance.
	// Until then the record counts as half-open, since a caller that only
	// opens gets that far too.
	flagConfirmed
	// flagTried is set if lastRepair is valid.
	flagTried
	// flagCopied is set if copies fits the owners under gen.
	flagCopied
)

// tick is a time in units of tickLength since the router was made.
type tick = uint32

// tickLength is the resolution of the times in a record.
const tickLength = 100 * time.Millisecond

// record is the state of one flow. It has no pointers, so that the garbage
// collector never visits the table, and every field is as small as its use
// allows: hundreds of thousands are held.
type record struct {
	hash   baobabstep.KeyHash
	caller [16]byte
	number uint64
	// version is the configuration version of the choice of target.
	version uint32
	// target and service are indexes of the registry.
	target  uint32
	service uint32
	// opened is signed: a flow may be older than the router.
	opened int32
	// fromCaller and fromTarget are the last signs of life per direction.
	fromCaller tick
	fromTarget tick
	// copies is the fingerprint of the owners that are known to have the
	// record, or 0.
	copies uint32
	port   uint16
	// gen is the generation of the table under which the role was computed.
	gen uint16
	// lastProbe and lastRepair are the low bits of a tick.
	lastProbe  uint16
	lastRepair uint16
	state      State
	flags      uint8
	// tries holds three counters: see countProbes and attempt.
	tries uint8
	// detail is why a finished flow was reset, less codeBase; of an open one
	// it tells whether the caller uses it.
	detail uint8
}

// Details of an open flow.
const (
	// detailInUse: the caller's data goes to the target.
	detailInUse uint8 = iota + 1
	// detailDoubt: data goes by way of the other owner, since lastRepair.
	detailDoubt
	// detailNoDoubt: the other owner did not answer in time.
	detailNoDoubt
)

// codeBase makes flow codes fit a byte.
const codeBase = 100

func (rec *record) has(flag uint8) bool { return rec.flags&flag != 0 }
func (rec *record) set(flag uint8)      { rec.flags |= flag }
func (rec *record) clear(flag uint8)    { rec.flags &^= flag }

// live tells whether the flow is open or opening.
func (rec *record) live() bool {
	return rec.state == StateOpening || rec.state == StateEstablished
}

// finished tells whether the record only stands against late packets.
func (rec *record) finished() bool {
	return rec.state == StateClosed || rec.state == StateReset
}

// halfOpen tells whether the record counts against the half-open limits.
func (rec *record) halfOpen() bool {
	return rec.state == StateSearching || rec.live() && !rec.has(flagConfirmed)
}

// direction is one of the two ends of a flow.
type direction uint8

const (
	toCaller direction = iota
	toTarget
)

// Probes without an answer are counted per direction in three bits each, the
// attempt to open in the two bits above.
const probeMask = 7

func (rec *record) countProbes(d direction) int { return int(rec.tries >> (3 * d) & probeMask) }

func (rec *record) setProbes(d direction, n int) {
	rec.tries = rec.tries&^(probeMask<<(3*d)) | uint8(min(n, probeMask))<<(3*d)
}

func (rec *record) attempt() uint16 { return uint16(rec.tries >> 6) }

func (rec *record) setAttempt(n uint16) {
	rec.tries = rec.tries&0x3f | uint8(min(n, maxAttempts))<<6
}

// maxAttempts bounds the targets asked for one open.
const maxAttempts = 3

// since returns the ticks from then to now, 0 if then is later: another thread
// may have written a slightly newer time.
func since(now, then tick) tick {
	if then > now {
		return 0
	}
	return now - then
}

// since16 is since for times that were cut to 16 bits.
func since16(now tick, then uint16) tick { return tick(uint16(now) - then) }

// ticks converts a duration, rounding up.
func ticks(d time.Duration) tick {
	return tick((d + tickLength - 1) / tickLength)
}

// setKey stores the parts of the key that the service entry does not give.
func (rec *record) setKey(key baobabstep.FlowKey) {
	addr := key.Caller.Addr()
	rec.caller = addr.As16()
	rec.port = key.Caller.Port()
	rec.number = key.Number
	if addr.Is4() {
		rec.set(flagIPv4)
	}
}

// callerAddress returns the caller's address as it was in the key.
func (rec *record) callerAddress() netip.AddrPort {
	addr := netip.AddrFrom16(rec.caller)
	if rec.has(flagIPv4) {
		addr = addr.Unmap()
	}
	return netip.AddrPortFrom(addr, rec.port)
}

// clampVersion cuts a version to the field of a record.
func clampVersion(v uint64) uint32 { return uint32(min(v, math.MaxUint32)) }

// Beats tells whether record a wins over b when two VMs hold different records
// of one flow. It is a strict total order on (established,
// confirmed, attempt, version, target), so that VMs agree whatever the order in which they learn the two,
// and it needs no clock:
//
//   - a flow that a target accepted goes before one that is still opening;
//   - a flow that its caller is known to use goes before one that may be the
//     leftover of a repeated open;
//   - among opening ones the later attempt wins, since the earlier was refused;
//   - then the lower version, the choice that was made first;
//   - then the lower target.
func Beats(a, b baobabstep.Record) bool {
	if a.Established != b.Established {
		return a.Established
	}
	if a.Confirmed != b.Confirmed {
		return a.Confirmed
	}
	if !a.Established && a.Attempt != b.Attempt {
		return a.Attempt > b.Attempt
	}
	if a.Version != b.Version {
		return a.Version < b.Version
	}
	return a.Target < b.Target
}
