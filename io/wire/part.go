package wire

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"time"

	"baobabstep"
)

// The last values of the enums that a datagram may carry.
const (
	lastKind    = baobabstep.KindHealthReport
	lastPurpose = baobabstep.PurposeStored
)

var errRange = errors.New("value out of range")

// Flags of the header. All bits are taken; a new flag needs a new version. A
// record comes only with a route.
const (
	flagFromTarget = 1 << iota
	flagIdempotent
	flagOrdinary
	flagWide
	flagDetail
	flagReport
	flagRoute
	flagRecord
)

// header is the part that every datagram carries. Caller and Address hold an
// IPv4 address and port as address<<16 | port. With flagWide they hold the port
// alone and the addresses follow in the wide part.
type header struct {
	_         struct{} `cbor:",toarray"`
	Kind      uint8
	Flags     uint8
	Caller    uint64
	Address   uint64
	Number    uint64
	Seq       uint32
	ServiceID uint64
	TargetID  uint64
	Version   uint64
}

func (h *header) set(p *baobabstep.Packet) {
	h.Kind = uint8(p.Kind)
	h.Flags = flagsOf(p)
	h.Caller = packAddress(p.Flow.Caller, h.Flags)
	h.Address = packAddress(p.Flow.Service, h.Flags)
	h.Number = p.Flow.Number
	h.Seq = p.Seq
	h.ServiceID = uint64(p.Service)
	h.TargetID = uint64(p.Target)
	h.Version = p.Version
}

func (h *header) get(p *baobabstep.Packet) {
	p.Kind = baobabstep.Kind(h.Kind)
	p.FromTarget = h.Flags&flagFromTarget != 0
	p.Idempotent = h.Flags&flagIdempotent != 0
	if h.Flags&flagOrdinary != 0 {
		p.Class = baobabstep.ClassOrdinary
	}
	p.Flow.Caller = unpackAddress(h.Caller)
	p.Flow.Service = unpackAddress(h.Address)
	p.Flow.Number = h.Number
	p.Seq = h.Seq
	p.Service = baobabstep.ServiceID(h.ServiceID)
	p.Target = baobabstep.TargetID(h.TargetID)
	p.Version = h.Version
}

// valid refuses what a later version may give a meaning to, and addresses with
// more than one form.
func (h *header) valid() bool {
	limit := uint64(1) << 48
	if h.Flags&flagWide != 0 {
		limit = 1 << 16
	}
	known := h.Kind != 0 && h.Kind <= uint8(lastKind) && h.Flags&(flagRoute|flagRecord) != flagRecord
	return known && h.Caller < limit && h.Address < limit
}

func flagsOf(p *baobabstep.Packet) uint8 {
	var flags uint8
	if p.FromTarget {
		flags |= flagFromTarget
	}
	if p.Idempotent {
		flags |= flagIdempotent
	}
	if p.Class == baobabstep.ClassOrdinary {
		flags |= flagOrdinary
	}
	if isWide(p.Flow.Caller) || isWide(p.Flow.Service) {
		flags |= flagWide
	}
	if p.Attempt != 0 || p.Timeout != 0 || p.Part != 0 || p.Parts != 0 || p.Code != 0 || p.RetryAfter != 0 {
		flags |= flagDetail
	}
	if p.Report != (baobabstep.TargetReport{}) {
		flags |= flagReport
	}
	if p.Route.Purpose != baobabstep.PurposeNone {
		flags |= flagRoute
		if p.Route.Record != (baobabstep.Record{}) {
			flags |= flagRecord
		}
	}
	return flags
}

func isWide(a netip.AddrPort) bool { return a.Addr().Is6() && !a.Addr().Is4In6() }

func packAddress(a netip.AddrPort, flags uint8) uint64 {
	if flags&flagWide != 0 || !a.IsValid() {
		return uint64(a.Port())
	}
	b := a.Addr().Unmap().As4()
	return uint64(binary.BigEndian.Uint32(b[:]))<<16 | uint64(a.Port())
}

// unpackAddress gives the zero AddrPort for 0, which no socket can have.
func unpackAddress(v uint64) netip.AddrPort {
	if v == 0 {
		return netip.AddrPort{}
	}
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], uint32(v>>16))
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(v))
}

// wide carries two addresses of which at least one is IPv6, each as the upper
// and lower half of its 16-byte form.
type wide struct {
	_                       struct{} `cbor:",toarray"`
	CallerHigh, CallerLow   uint64
	AddressHigh, AddressLow uint64
}

func (w *wide) set(p *baobabstep.Packet) {
	w.CallerHigh, w.CallerLow = splitAddress(p.Flow.Caller)
	w.AddressHigh, w.AddressLow = splitAddress(p.Flow.Service)
}

func (w *wide) get(p *baobabstep.Packet, h *header) {
	p.Flow.Caller = joinAddress(w.CallerHigh, w.CallerLow, uint16(h.Caller))
	p.Flow.Service = joinAddress(w.AddressHigh, w.AddressLow, uint16(h.Address))
}

func splitAddress(a netip.AddrPort) (high, low uint64) {
	if !a.IsValid() {
		return 0, 0
	}
	b := a.Addr().As16()
	return binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])
}

func joinAddress(high, low uint64, port uint16) netip.AddrPort {
	if high == 0 && low == 0 && port == 0 {
		return netip.AddrPort{}
	}
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], high)
	binary.BigEndian.PutUint64(b[8:], low)
	return netip.AddrPortFrom(netip.AddrFrom16(b).Unmap(), port)
}

// detail carries what requests, answers, resets and refusals need beyond the
// header. Times are in nanoseconds.
type detail struct {
	_           struct{} `cbor:",toarray"`
	Attempt     uint16
	Timeout     int64
	Part, Parts uint16
	Code        uint16
	RetryAfter  int64
}

func (d *detail) set(p *baobabstep.Packet) {
	d.Attempt = p.Attempt
	d.Timeout = int64(p.Timeout)
	d.Part, d.Parts = p.Part, p.Parts
	d.Code = uint16(p.Code)
	d.RetryAfter = int64(p.RetryAfter)
}

func (d *detail) get(p *baobabstep.Packet) {
	p.Attempt = d.Attempt
	p.Timeout = time.Duration(d.Timeout)
	p.Part, p.Parts = d.Part, d.Parts
	p.Code = baobabstep.Code(d.Code)
	p.RetryAfter = time.Duration(d.RetryAfter)
}

// report carries a target's report. ServiceTime is in nanoseconds.
type report struct {
	_                      struct{} `cbor:",toarray"`
	Healthy, Draining      bool
	SlotsUsed, Connections uint32
	ServiceTime            int64
}

func (r *report) set(p *baobabstep.Packet) {
	r.Healthy, r.Draining = p.Report.Healthy, p.Report.Draining
	r.SlotsUsed, r.Connections = p.Report.SlotsUsed, p.Report.Connections
	r.ServiceTime = int64(p.Report.ServiceTime)
}

func (r *report) get(p *baobabstep.Packet) {
	p.Report = baobabstep.TargetReport{
		Healthy:     r.Healthy,
		Draining:    r.Draining,
		SlotsUsed:   r.SlotsUsed,
		Connections: r.Connections,
		ServiceTime: time.Duration(r.ServiceTime),
	}
}

// route carries baobabstep.Route but for its record. Tried is as long as
// Route.NTried: it is most often empty, and each number costs on both ends.
type route struct {
	_         struct{} `cbor:",toarray"`
	Purpose   uint8
	From      uint64
	Exhausted bool
	Tried     []uint64
}

func (r *route) set(p *baobabstep.Packet) {
	from := &p.Route
	r.Purpose = uint8(from.Purpose)
	r.From = uint64(from.From)
	r.Exhausted = from.Exhausted
	r.Tried = r.Tried[:0]
	for _, id := range from.Tried[:from.NTried] {
		r.Tried = append(r.Tried, uint64(id))
	}
}

func (r *route) valid() bool {
	return r.Purpose != 0 && r.Purpose <= uint8(lastPurpose) && len(r.Tried) <= baobabstep.MaxTried
}

func (r *route) get(p *baobabstep.Packet) {
	to := &p.Route
	to.Purpose = baobabstep.Purpose(r.Purpose)
	to.From = baobabstep.VMID(r.From)
	to.Exhausted = r.Exhausted
	to.NTried = uint8(len(r.Tried))
	for i, id := range r.Tried {
		to.Tried[i] = baobabstep.VMID(id)
	}
}

// record carries baobabstep.Record. Age is in nanoseconds.
type record struct {
	_           struct{} `cbor:",toarray"`
	Target      uint64
	Service     uint64
	Version     uint64
	Established bool
	Confirmed   bool
	Age         int64
	Attempt     uint16
	// Port, High and Low are the target's address as in wide.
	Port      uint16
	High, Low uint64
}

func (r *record) set(p *baobabstep.Packet) {
	from := &p.Route.Record
	high, low := splitAddress(from.Address)
	*r = record{
		Port:        from.Address.Port(),
		High:        high,
		Low:         low,
		Target:      uint64(from.Target),
		Service:     uint64(from.Service),
		Version:     from.Version,
		Established: from.Established,
		Confirmed:   from.Confirmed,
		Age:         int64(from.Age),
		Attempt:     from.Attempt,
	}
}

func (r *record) get(p *baobabstep.Packet) {
	p.Route.Record = baobabstep.Record{
		Target:      baobabstep.TargetID(r.Target),
		Service:     baobabstep.ServiceID(r.Service),
		Address:     joinAddress(r.High, r.Low, r.Port),
		Version:     r.Version,
		Established: r.Established,
		Confirmed:   r.Confirmed,
		Age:         time.Duration(r.Age),
		Attempt:     r.Attempt,
	}
}
