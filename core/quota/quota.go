// Package quota divides a rate limit of the whole fleet among its VMs without a
// coordinator.
//
// # The model
//
// A limit applies to one resource, such as a target that accepts six new requests
// a second. All VMs rank themselves for the resource by rendezvous hash. In a large
// fleet the first six VMs may each use one request in any second and the others none;
// in a fleet of three each VM may use two. A VM decides on its own:
//
//	view of the fleet + key of the resource + limit -> Share -> Meter
//
// VMs exchange no messages and don't compare their clocks.
//
// # Why the total stays below the bound
//
// VMs with the same view select the same VMs, whose shares together stay below the
// limit and below half of the bound. Views differ while VMs join, are cut off or
// leave, and then VMs outside of the selection may use a share too. Three rules keep
// the total below the bound:
//
//   - In the short term a view only grows: a silent VM stays in it for as long as
//     the caller remembers that VM, so a partition changes no share.
//   - A VM that may not know all others yet, or hears none of them, uses nothing;
//     see [View.Settled].
//   - The other half of the bound leaves room for as many additional VMs as are
//     selected to use their shares in the same second.
package quota

import (
	"math"
	"time"

	"baobabstep"
	"baobabstep/core/mix"
)

// Limit is the rate limit of the fleet for one resource.
type Limit struct {
	// PerSecond is the rate that the resource accepts.
	PerSecond float64
	// Bound is the number of uses that must not be exceeded in any second.
	Bound float64
}

// View is what a VM knows about the VMs that share a limit.
type View struct {
	Self baobabstep.VMID
	// Others are all other VMs that were heard of recently, whether alive or not.
	Others []baobabstep.VMID
	// Settled reports whether the VM can be assumed to know all others.
	Settled bool
}

// Share is what one VM may use: Count uses in any time span of Interval. The
// zero value permits none.
type Share struct {
	Count    int
	Interval time.Duration
}

// boundShare is the maximum part of the bound that VMs with the same view use.
const boundShare = 0.5

// ShareOf returns this VM's share of a limit on the resource with the given key.
func (v *View) ShareOf(key uint64, l Limit) Share {
	usable := min(l.PerSecond, l.Bound*boundShare)
	if !v.Settled || usable <= 0 || l.Bound < 1 {
		return Share{}
	}
	rank := v.rank(key)
	if usable < 1 {
		if rank > 0 {
			return Share{}
		}
		return Share{Count: 1, Interval: time.Duration(math.Ceil(float64(time.Second) / usable))}
	}
	total, vms := int(usable), 1+len(v.Others)
	count := total / vms
	if rank < total%vms {
		count++
	}
	if count == 0 {
		return Share{}
	}
	return Share{Count: count, Interval: time.Second}
}

// rank returns how many other VMs rank before this one for a key.
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
	return mix.Uint64(uint64(vm) ^ key*0x9e3779b97f4a7c15)
}
