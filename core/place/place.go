// Package place maps each key to the two VMs that store its record.
//
// # The model
//
// A keyed hash distributes keys over a fixed number of slots. Each data centre
// with members in the view has a table that maps a slot to two of its VMs, the
// holder and the second copy. The table is computed by rendezvous hashing: each
// VM has a score for each slot, the VM with the highest score is the holder,
// and the highest score outside the holder's rack is the second copy.
//
//	key -> hash -> home data centre -> slot -> (holder, second)
//
// With rendezvous hashing, two VMs with different views still agree on most
// slots: a slot moves only if one of its own VMs joined or left. Two views that
// differ by one VM always share an owner of each slot, also with the rack rule:
// when the holder leaves, the best VM outside its rack either becomes the
// holder or is still the best outside the new holder's rack.
//
// A [Table] is immutable. [Table.Update] shares the tables of unchanged data
// centres and updates the others slot by slot, so that the cost of one join or
// death does not depend on the size of the fleet.
package place

import (
	"encoding/binary"
	"math/bits"

	"github.com/dchest/siphash"

	"baobabstep"
)

// SlotCount is the number of slots of each data centre, a power of two.
const SlotCount = 1 << 14

// keySize is the size of an encoded key in bytes.
const keySize = 16 + 2 + 16 + 2 + 8

// Hash returns the keyed hash of a flow key. IPv6 zones are not included.
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
	return int(binary.LittleEndian.Uint64(h[:8]) % SlotCount)
}

// Owners are the VMs that store the record of a key.
type Owners struct {
	// Holder decides for the key. It is 0 if no member of the view may own it.
	Holder baobabstep.VMID
	// Second stores a copy. It is 0 if the home data centre has a single VM.
	Second baobabstep.VMID
}

// Has reports whether vm is one of the owners.
func (o Owners) Has(vm baobabstep.VMID) bool {
	return vm != 0 && (vm == o.Holder || vm == o.Second)
}

// Other returns the other owner of vm, or the holder if vm is not an owner.
func (o Owners) Other(vm baobabstep.VMID) baobabstep.VMID {
	if vm == o.Holder {
		return o.Second
	}
	return o.Holder
}

// Fingerprint identifies the pair regardless of roles. It is never 0.
func (o Owners) Fingerprint() uint32 {
	return uint32(mix(uint64(o.Holder)^uint64(o.Second), uint64(o.Holder)+uint64(o.Second))) | 1
}

// Owners returns the owners of a hashed key of a service that the given data
// centres may serve; an empty list means all. The home data centre is chosen
// without weights, since changing a weight would move keys to other data
// centres.
func (t *Table) Owners(h baobabstep.KeyHash, dataCentres []string) Owners {
	home := t.home(binary.LittleEndian.Uint64(h[8:]), dataCentres)
	if home == nil {
		return Owners{}
	}
	return home.owners(Slot(h))
}

// home returns the data centre with the highest score among those named.
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

// allowed reports whether name is in list or list is empty. Lists are short, so
// a scan is faster than a map.
func allowed(name string, list []string) bool {
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return len(list) == 0
}

// mix returns a well-distributed hash of two words, within a few nanoseconds.
func mix(a, b uint64) uint64 {
	const k0, k1, k2 = 0x9e3779b97f4a7c15, 0xd6e8feb86659fd93, 0xa0761d6478bd642f
	hi, lo := bits.Mul64(a^k0, b^k1)
	hi, lo = bits.Mul64(hi^lo^k2, a^bits.RotateLeft64(b, 32)^k1)
	return hi ^ lo
}
