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
// the view is not settled, and the VM uses nothing. If a VM hears from no other although
// others exist, they may have removed it in the meantime. If a VM has just started, and no
// VM has heard from some of its seeds, it may be in one part of a partitioned network while
// VMs in the other part are in the same situation.
func (t *PeerTable) View(now time.Time) *quota.View {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := quota.View{Self: t.options.Self, Others: t.nearVMIDs(), Settled: t.knowsAllNear(now)}
	if t.view == nil || t.view.Settled != next.Settled || !slices.Equal(t.view.Others, next.Others) {
		t.view = &next
	}
	return t.view
}

// discoveryPeriod is the time after the start after which a VM is assumed to have
// discovered the others.
const discoveryPeriod = 5 * time.Second

// KnowsOthers reports whether the VM is assumed to know enough of the others to determine
// its rank. Either it started a while ago, or it has discovered VMs, and did not hear
// another VM of its data centre for the first time recently.
func (t *PeerTable) KnowsOthers(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.started) >= discoveryPeriod {
		return true
	}
	if now.Sub(t.lastNewNearPeer) < settlePeriod {
		return false
	}
	if len(t.unseenSeeds) == 0 {
		return true
	}
	for _, p := range t.peers {
		if t.isLive(now, p) {
			return true
		}
	}
	return false
}

// SilentFor returns how long ago a heartbeat of any VM was last received.
func (t *PeerTable) SilentFor(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.lastHeard)
}

// nearVMIDs returns the identifiers of all other known VMs of the own data centre, sorted.
func (t *PeerTable) nearVMIDs() (list []baobabstep.VMID) {
	for _, p := range t.peers {
		if p.last != nil && p.last.DataCentre == t.options.DataCentre {
			list = append(list, p.last.From)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// knowsAllNear reports whether the VM is assumed to know all others of its data centre.
func (t *PeerTable) knowsAllNear(now time.Time) bool {
	if now.Sub(t.lastNewNearPeer) < settlePeriod || now.Sub(t.started) < t.options.RemovalTimeout && len(t.unseenSeeds) > 0 {
		return false
	}
	alone := true
	for _, p := range t.peers {
		if t.isLive(now, p) {
			return true
		}
		alone = alone && p.last == nil && !slices.Contains(t.options.Seeds, p.address)
	}
	return alone
}
