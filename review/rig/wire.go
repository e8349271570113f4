package rig

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Bits of the flags field.
const (
	flagAck   = 1
	flagFin   = 2
	flagSyn   = 32
	flagReset = 64
)

const (
	headerBytes = 31
	idBytes     = 8
	maxDatagram = idBytes + headerBytes + 1200
)

// sumKey keys the sums of packets; only hosts and clients know it.
const sumKey = "review rig"

// packet is one packet of a flow.
type packet struct {
	flags    byte
	echo     uint32
	src, dst netip.AddrPort
	seq, ack uint32
	sum      uint32
	data     []byte
}

// encode returns the bytes of a packet with its sum.
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
	binary.BigEndian.PutUint32(b[27:], sumOf(b))
	return b
}

// sumOf returns the keyed sum over all fields except echo and sum. It is never 0.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(sumKey))
	_, _ = h.Write(b[:3])
	_, _ = h.Write(b[7:27])
	_, _ = h.Write(b[headerBytes:])
	return max(1, h.Sum32())
}

// decode returns the packet in b, and whether its sum is right.
func decode(b []byte) (p packet, intact bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b)) != len(b)-headerBytes {
		return packet{}, false
	}
	address := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	p = packet{
		flags: b[2], echo: binary.BigEndian.Uint32(b[3:]), src: address(7, 17), dst: address(11, 15),
		seq: binary.BigEndian.Uint32(b[19:]), ack: binary.BigEndian.Uint32(b[23:]),
		sum: binary.BigEndian.Uint32(b[27:]), data: append([]byte(nil), b[headerBytes:]...),
	}
	return p, p.sum == sumOf(b)
}

// flowID names a flow by its two ends.
type flowID struct{ client, service netip.AddrPort }
