// Package place answers one question: which two VMs keep the record of a key.
//
// # The model
//
// A keyed hash spreads keys over a fixed number of slots. Each data centre
// with members in the view has a table that maps a slot to two of its VMs, the
// holder and the second copy. The table is computed by rendezvous hashing:
// each VM has a score for each slot, the best score holds, and the best score
// outside the holder's rack keeps the second copy.
//
//	key -> hash -> home data centre -> slot -> (holder, second)
//
// Rendezvous hashing was chosen since two VMs with different views still agree
// on most slots: a slot changes hands only if one of its own VMs came or went.
// Two views that differ by one VM always share a VM of each slot, also with the
// rule about racks: when the holder goes, the best VM outside its rack is still
// the best outside the rack of whichever VM holds next, or holds itself.
//
// A [Table] is immutable. [Table.Update] shares the data centres that did not
// change and mends the others slot by slot, so that the cost of one join or
// death does not depend on the size of the fleet.
package place

import (
	"encoding/binary"
	"math/bits"

	"github.com/dchest/siphash"

	"baobabstep"
)

// Slots is the number of slots of each data centre. A power of two.
const Slots = 1 << 14

// keySize is the number of bytes of an encoded key.
const keySize = 16 + 2 + 16 + 2 + 8

// Hash returns the keyed hash of a flow key. IPv6 zones are left out.
func Hash(secret [16]byte, key baobabstep.FlowKey) baobabstep.KeyHash {
	var b [keySize]byte
	caller := key.Caller.Addr().As16()
	service := key.Service.Addr().As16()
	copy(b[0:], caller[:])
	binary.LittleEndian.PutUint16(b[16:], key.Caller.Port())
	copy(b[18:], service[:])
	binary.LittleEndian.PutUint16(b[34:], key.Service.Port())
	binary.LittleEndian.PutUint64(b[36:], key.Number)
	k0 := binary.LittleEndian.Uint64(secret[:8])
	k1 := binary.LittleEndian.Uint64(secret[8:])
	lo, hi := siphash.Hash128(k0, k1, b[:])
	var h baobabstep.KeyHash
	binary.LittleEndian.PutUint64(h[:8], lo)
	binary.LittleEndian.PutUint64(h[8:], hi)
	return h
}

// Slot returns the slot of a hashed key.
func Slot(h baobabstep.KeyHash) int {
	return int(binary.LittleEndian.Uint64(h[:8]) % Slots)
}

// Owners are the VMs that keep the record of a key.
type Owners struct {
	// Holder decides for the key. It is 0 if the view has no fitting member.
	Holder baobabstep.VMID
	// Second keeps a copy. It is 0 if the home data centre has one VM only.
	Second baobabstep.VMID
}

// Has tells whether vm is one of the owners.
func (o Owners) Has(vm baobabstep.VMID) bool {
	return vm != 0 && (vm == o.Holder || vm == o.Second)
}

// Other returns the owner that is not vm; for a VM that owns nothing it
// returns the holder.
func (o Owners) Other(vm baobabstep.VMID) baobabstep.VMID {
	if vm == o.Holder {
		return o.Second
	}
	return o.Holder
}

// Fingerprint identifies the pair, whichever of the two holds. It is never 0.
func (o Owners) Fingerprint() uint32 {
	return uint32(mix(uint64(o.Holder)^uint64(o.Second), uint64(o.Holder)+uint64(o.Second))) | 1
}

// Owners returns the owners of a hashed key of a service that the given data
// centres may serve; none given stands for all. The home data centre is chosen
// without weights, since weights that move would move homes.
func (t *Table) Owners(h baobabstep.KeyHash, dataCentres []string) Owners {
	home := t.home(binary.LittleEndian.Uint64(h[8:]), dataCentres)
	if home == nil {
		return Owners{}
	}
	return home.owners(Slot(h))
}

// home returns the data centre with the best score among those named.
func (t *Table) home(h uint64, dataCentres []string) *dataCentre {
	var best *dataCentre
	var bestScore uint64
	for _, d := range t.dataCentres {
		if !allowed(d.name, dataCentres) {
			continue
		}
		if score := mix(h, d.hash); best == nil || score > bestScore {
			best, bestScore = d, score
		}
	}
	return best
}

// allowed tells whether name is listed. Lists are short, so a scan is faster
// than a map.
func allowed(name string, list []string) bool {
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return len(list) == 0
}

// mix returns a well-spread hash of two words, in a few nanoseconds.
func mix(a, b uint64) uint64 {
	const k0, k1, k2 = 0x9e3779b97f4a7c15, 0xd6e8feb86659fd93, 0xa0761d6478bd642f
	hi, lo := bits.Mul64(a^k0, b^k1)
	hi, lo = bits.Mul64(hi^lo^k2, a^bits.RotateLeft64(b, 32)^k1)
	return hi ^ lo
}
