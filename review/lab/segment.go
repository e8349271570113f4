package main

import (
	"encoding/binary"
	"net/netip"
)

// Bits of the flags field of a packet.
const (
	flagAck   = 1
	flagFin   = 2
	flagSyn   = 32
	flagReset = 64
)

const (
	headerBytes = 31
	// idBytes is the size of the host's identifier before each packet that a VM forwards.
	idBytes = 8
)

// flowID identifies a flow by the addresses of its client and of its route.
type flowID struct{ client, route netip.AddrPort }

// packet is one packet of a flow, as its two ends see it.
type packet struct {
	flags    byte
	echo     uint32
	src, dst netip.AddrPort
	seq, ack uint32
	data     []byte
}

// encode returns the datagram of a packet, with the sum of its sender.
func (p *packet) encode() []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.BigEndian.PutUint16(b, uint16(len(p.data)))
	b[2] = p.flags
	binary.BigEndian.PutUint32(b[3:], p.echo)
	copy(b[7:], p.src.Addr().AsSlice())
	copy(b[11:], p.dst.Addr().AsSlice())
	binary.BigEndian.PutUint16(b[15:], p.dst.Port())
	binary.BigEndian.PutUint16(b[17:], p.src.Port())
	binary.BigEndian.PutUint32(b[19:], p.seq)
	binary.BigEndian.PutUint32(b[23:], p.ack)
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[27:], sum(b))
	return b
}

// sum returns the sum of a datagram over all fields but echo and sum. It is never 0.
func sum(b []byte) uint32 {
	h := uint32(0x9747b28c)
	for i, c := range b {
		if i >= 3 && i < 7 || i >= 27 && i < headerBytes {
			continue
		}
		h = (h ^ uint32(c)) * 16777619
	}
	return max(1, h)
}

// decode returns the packet in b. intact says that one of the two ends wrote it; own says
// that it is a reset of the system, which has no sum.
func decode(b []byte) (p packet, intact, own bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b)) != len(b)-headerBytes {
		return packet{}, false, false
	}
	address := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p = packet{
		flags: b[2], echo: binary.BigEndian.Uint32(b[3:]), src: address(7, 17), dst: address(11, 15),
		seq: binary.BigEndian.Uint32(b[19:]), ack: binary.BigEndian.Uint32(b[23:]), data: b[headerBytes:],
	}
	got := binary.BigEndian.Uint32(b[27:])
	own = p.flags&flagReset != 0 && got == 0 && len(p.data) == 0
	return p, got == sum(b), own
}
