package heartbeat

import (
	"slices"
	"time"

	"baobabstep"
	"baobabstep/core/quota"
)

// settleTime is how long after its start, and after it heard of another VM of its
// data centre for the first time, a VM may not know all of them. All have their
// turn within a second in a data centre of forty.
const settleTime = 1500 * time.Millisecond

// View returns the VMs of the own data centre, by which they divide what none of
// them may do alone. It is the same value for as long as nothing changes.
//
// VMs that are not heard keep their places until they are forgotten. If a VM that
// is cut off took those of the others over, each of several such VMs would use up
// the whole. Two VMs know too little, and use nothing: one that hears nobody though
// others exist may have been forgotten meanwhile, and one that has started and of
// whose seeds some are heard by nobody may be on one side of a partition, with
// others on the other side that know as little.
func (b *Board) View(now time.Time) *quota.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := quota.View{Self: b.o.Self, Others: b.near(), Settled: b.knowsAll(now)}
	if b.view == nil || b.view.Settled != next.Settled || !slices.Equal(b.view.Others, next.Others) {
		b.view = &next
	}
	return b.view
}

// startupTime is the time after its start in which a VM may know few of the others.
const startupTime = 5 * time.Second

// KnowsOthers tells whether the VM can be taken to know the others well enough to find its
// rank among them: it started a while ago, or has met the others of its data centre,
// and none for the first time lately.
func (b *Board) KnowsOthers(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.started) >= startupTime {
		return true
	}
	if now.Sub(b.metAt) < settleTime {
		return false
	}
	if len(b.unseen) == 0 {
		return true
	}
	for _, p := range b.peers {
		if b.live(now, p) {
			return true
		}
	}
	return false
}

// near returns all other VMs of the own data centre that are remembered, sorted.
func (b *Board) near() (list []baobabstep.VMID) {
	for _, p := range b.peers {
		if p.last != nil && p.last.DataCentre == b.o.DataCentre {
			list = append(list, p.last.From)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// knowsAll tells whether the VM can be taken to know all others of its data centre.
func (b *Board) knowsAll(now time.Time) bool {
	if now.Sub(b.metAt) < settleTime || now.Sub(b.started) < b.o.Forget && len(b.unseen) > 0 {
		return false
	}
	alone := true
	for _, p := range b.peers {
		if b.live(now, p) {
			return true
		}
		alone = alone && p.last == nil && !slices.Contains(b.o.Seeds, p.address)
	}
	return alone
}
