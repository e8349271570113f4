package flow

import (
	"math"
	"net/netip"
	"time"

	"baobabstep"
)

// State is the state of a flow record.
type State uint8

const (
	// StateFree marks an unused table entry.
	StateFree State = iota
	// StateSearching marks a flow without a record whose targets were
	// probed for it.
	StateSearching
	// StateOpening waits for the target to accept the flow.
	StateOpening
	// StateEstablished is a flow that its target accepted.
	StateEstablished
	// StateClosed is a flow that ended with a close, kept for late
	// packets.
	StateClosed
	// StateReset is a flow that ended with a reset, kept for late packets.
	StateReset
	numStates
)

// Record flags.
const (
	// flagIPv4 marks an IPv4 caller address, as opposed to its IPv4-mapped
	// form.
	flagIPv4 uint8 = 1 << iota
	// flagHolder and flagSecond are this VM's role at generation
	// record.gen.
	flagHolder
	flagSecond
	// flagCounted is set while the Chooser counts the flow for this VM.
	flagCounted
	// flagViaOwner is set if the target's acceptance was sent through the
	// other owner, so that the caller's next packet proves that owner's
	// copy. In StateClosed, the caller's close was sent through it.
	flagViaOwner
	// flagConfirmed is set once the caller has sent a packet after the
	// acceptance. Until then the record counts as half-open, since a
	// caller that floods opens gets this far too.
	flagConfirmed
	// flagRepairSent is set if lastRepair is valid.
	flagRepairSent
	// flagCopied is set if copyFingerprint matches the owners at
	// generation gen.
	flagCopied
)

// tick is a time in units of tickLength since the router's creation.
type tick = uint32

// tickLength is the resolution of times in a record.
const tickLength = 100 * time.Millisecond

// record is the state of one flow. It has no pointers, so the garbage
// collector does not scan the table, and its fields are as small as possible,
// since a VM holds hundreds of thousands of records.
type record struct {
	hash   baobabstep.KeyHash
	caller [16]byte
	number uint64
	// version is the configuration version under which the target was
	// chosen.
	version uint32
	// target and service are registry indexes.
	target  uint32
	service uint32
	// opened is signed, since a flow may be older than the router.
	opened int32
	// lastFromCaller and lastFromTarget are the times of the last packet
	// in each direction.
	lastFromCaller tick
	lastFromTarget tick
	// copyFingerprint identifies the owners that are known to have the
	// record; 0 for none.
	copyFingerprint uint32
	port            uint16
	// gen is the snapshot generation for which the role was computed.
	gen uint16
	// lastProbe and lastRepair are the low 16 bits of a tick.
	lastProbe  uint16
	lastRepair uint16
	state      State
	flags      uint8
	// counters packs three counters: see countProbes and attempt.
	counters uint8
	// detail is, for an ended flow, the reset code less codeBase; for an
	// open flow, one of the detail constants, which tell whether the
	// caller uses it.
	detail uint8
}

// Values of record.detail for open flows.
const (
	// detailInUse: the caller sends data to the record's target.
	detailInUse uint8 = iota + 1
	// detailVerifying: data is sent through the other owner, since
	// lastRepair.
	detailVerifying
	// detailVerifyTimeout: the other owner did not answer in time.
	detailVerifyTimeout
)

// codeBase is subtracted from flow codes to store them in a byte.
const codeBase = 100

func (rec *record) has(flag uint8) bool { return rec.flags&flag != 0 }
func (rec *record) set(flag uint8)      { rec.flags |= flag }
func (rec *record) clear(flag uint8)    { rec.flags &^= flag }

// live reports whether the flow is opening or established.
func (rec *record) live() bool {
	return rec.state == StateOpening || rec.state == StateEstablished
}

// ended reports whether the record is kept only for late packets.
func (rec *record) ended() bool {
	return rec.state == StateClosed || rec.state == StateReset
}

// halfOpen reports whether the record counts against the half-open limits.
func (rec *record) halfOpen() bool {
	return rec.state == StateSearching || rec.live() && !rec.has(flagConfirmed)
}

// direction is one of the two ends of a flow.
type direction uint8

const (
	toCaller direction = iota
	toTarget
)

// record.counters holds the unanswered probes of each direction in three bits
// each, and the attempt to open in the top two bits.
const probeMask = 7

func (rec *record) countProbes(d direction) int { return int(rec.counters >> (3 * d) & probeMask) }

func (rec *record) setProbes(d direction, n int) {
	rec.counters = rec.counters&^(probeMask<<(3*d)) | uint8(min(n, probeMask))<<(3*d)
}

func (rec *record) attempt() uint16 { return uint16(rec.counters >> 6) }

func (rec *record) setAttempt(n uint16) {
	rec.counters = rec.counters&0x3f | uint8(min(n, maxAttempts))<<6
}

// maxAttempts bounds the targets tried for one open.
const maxAttempts = 3

// since returns the ticks from then to now, or 0 if then is later: another
// goroutine may have stored a slightly newer time.
func since(now, then tick) tick {
	if then > now {
		return 0
	}
	return now - then
}

// since16 is since for times truncated to 16 bits.
func since16(now tick, then uint16) tick { return tick(uint16(now) - then) }

// ticks converts a duration, rounding up.
func ticks(d time.Duration) tick {
	return tick((d + tickLength - 1) / tickLength)
}

// setKey stores the parts of the key that the record's service does not
// provide.
func (rec *record) setKey(key baobabstep.FlowKey) {
	addr := key.Caller.Addr()
	rec.caller = addr.As16()
	rec.port = key.Caller.Port()
	rec.number = key.Number
	if addr.Is4() {
		rec.set(flagIPv4)
	}
}

// callerAddress returns the caller's address in the form that the key had.
func (rec *record) callerAddress() netip.AddrPort {
	addr := netip.AddrFrom16(rec.caller)
	if rec.has(flagIPv4) {
		addr = addr.Unmap()
	}
	return netip.AddrPortFrom(addr, rec.port)
}

// clampVersion limits a version to the 32 bits stored in a record.
func clampVersion(v uint64) uint32 { return uint32(min(v, math.MaxUint32)) }

// HasPrecedence reports whether record a wins over b when two VMs hold
// different records of one flow. It is a strict total order on (established,
// confirmed, attempt, version, target), so VMs agree in whatever order they
// receive the records, and it needs no clock:
//
//   - an established flow wins over one that is still opening;
//   - a flow that its caller is known to use wins over one that may be left over
//     from a repeated open;
//   - among opening flows the later attempt wins, since the earlier was refused;
//   - then the lower version wins, as the earlier choice;
//   - then the lower target ID wins.
func HasPrecedence(a, b baobabstep.Record) bool {
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
