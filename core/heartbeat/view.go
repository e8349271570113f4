package heartbeat

import (
	"slices"
	"time"

	"baobabstep"
	"baobabstep/core/quota"
)

// settlePeriod is how long a VM may not know all others of its data centre, after its
// start and after it first heard another of them. In a data centre of forty VMs, all of
// them have their turn within a second.
const settlePeriod = 1500 * time.Millisecond

// View returns the VMs of the own data centre, among which shared quotas are divided. The
// returned pointer changes only if the view changes.
//
// Silent VMs keep their shares until they are removed. If a VM in a partition took over
// the shares of the others, several such VMs would each use the whole quota. In two cases
// the view is not settled, and the VM uses nothing. A VM that hears nobody although others
// exist may have been removed by them meanwhile. A VM that has just started, and has seeds
// that no VM has heard, may be in one part of a partition, with others in the other part
// in the same
// situation.
func (b *PeerTable) View(now time.Time) *quota.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := quota.View{Self: b.options.Self, Others: b.nearVMIDs(), Settled: b.knowsAllNear(now)}
	if b.view == nil || b.view.Settled != next.Settled || !slices.Equal(b.view.Others, next.Others) {
		b.view = &next
	}
	return b.view
}

// discoveryPeriod is the time after the start after which a VM is assumed to have
// discovered the others.
const discoveryPeriod = 5 * time.Second

// KnowsOthers reports whether the VM is assumed to know enough of the others to determine
// its rank. Either it started a while ago, or it has discovered VMs, and did not hear
// another VM of its data centre for the first time recently.
func (b *PeerTable) KnowsOthers(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.started) >= discoveryPeriod {
		return true
	}
	if now.Sub(b.lastNewNearPeer) < settlePeriod {
		return false
	}
	if len(b.unseenSeeds) == 0 {
		return true
	}
	for _, p := range b.peers {
		if b.isLive(now, p) {
			return true
		}
	}
	return false
}

// nearVMIDs returns the identifiers of all other known VMs of the own data centre, sorted.
func (b *PeerTable) nearVMIDs() (list []baobabstep.VMID) {
	for _, p := range b.peers {
		if p.last != nil && p.last.DataCentre == b.options.DataCentre {
			list = append(list, p.last.From)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// knowsAllNear reports whether the VM is assumed to know all others of its data centre.
func (b *PeerTable) knowsAllNear(now time.Time) bool {
	if now.Sub(b.lastNewNearPeer) < settlePeriod || now.Sub(b.started) < b.options.RemovalTimeout && len(b.unseenSeeds) > 0 {
		return false
	}
	alone := true
	for _, p := range b.peers {
		if b.isLive(now, p) {
			return true
		}
		alone = alone && p.last == nil && !slices.Contains(b.options.Seeds, p.address)
	}
	return alone
}
