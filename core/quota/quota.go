// Package quota divides a limit that a whole fleet shares among its VMs, without
// a coordinator.
//
// # The model
//
// A limit concerns one thing, such as a target that bears six new requests a
// second. The VMs have an order for it, by rendezvous hash. The first six may use
// one in any second, all others none; of three VMs each may use two. A VM decides
// alone:
//
//	view of the fleet + key of the thing + limit -> Share -> Meter
//
// No clock is compared with another, and nothing is sent.
//
// # Why the sum holds
//
// VMs that have the same view choose the same few, whose shares together stay
// below the limit and below half of the bound. Views differ while VMs come, are
// cut off or go; then some VM is chosen that should not be. Three things keep the
// sum of all below the bound:
//
//   - A view only grows in the short term: a VM that falls silent keeps its place
//     for as long as the caller remembers it, so a partition changes no share.
//   - A VM that may not know the others yet, or hears none of them, uses nothing;
//     see [View.Settled].
//   - As many VMs again as are chosen may use their shares in the same second.
package quota

import (
	"math"
	"time"

	"baobabstep"
	"baobabstep/core/mix"
)

// Limit is what a fleet may do to one thing.
type Limit struct {
	// PerSecond is what the thing bears.
	PerSecond float64
	// Bound is never to be exceeded in any second.
	Bound float64
}

// View is what a VM knows of those that divide a limit.
type View struct {
	Self baobabstep.VMID
	// Others are all other VMs that were heard of lately, live or not.
	Others []baobabstep.VMID
	// Settled tells whether the VM can be taken to know all others.
	Settled bool
}

// Share is what one VM may use: Count in any span of Every. The zero value is
// nothing.
type Share struct {
	Count int
	Every time.Duration
}

// margin is the part of the bound that VMs with the same view use at most.
const margin = 0.5

// Of returns this VM's share of a limit on the thing that key stands for.
func (v *View) Of(key uint64, l Limit) Share {
	usable := min(l.PerSecond, l.Bound*margin)
	if !v.Settled || usable <= 0 || l.Bound < 1 {
		return Share{}
	}
	rank := v.rank(key)
	if usable < 1 {
		if rank > 0 {
			return Share{}
		}
		return Share{Count: 1, Every: time.Duration(math.Ceil(float64(time.Second) / usable))}
	}
	whole, vms := int(usable), 1+len(v.Others)
	count := whole / vms
	if rank < whole%vms {
		count++
	}
	if count == 0 {
		return Share{}
	}
	return Share{Count: count, Every: time.Second}
}

// rank returns how many others come before this VM for a key.
func (v *View) rank(key uint64) (before int) {
	own := weight(v.Self, key)
	for _, other := range v.Others {
		if w := weight(other, key); w > own || w == own && other < v.Self {
			before++
		}
	}
	return before
}

// weight is the rendezvous weight of a VM for a key.
func weight(vm baobabstep.VMID, key uint64) uint64 {
	return mix.Bits(uint64(vm) ^ key*0x9e3779b97f4a7c15)
}
