package entry

import (
	"sync"
	"time"

	"baobabstep"
)

// placementLog records when the targets of a VM became unavailable to new flows. It replaces
// the router of a stateCache.
type placementLog struct {
	mu sync.Mutex
	// available holds the targets that get new flows, and lastAvailable when the others last
	// did.
	available     map[baobabstep.TargetID]bool
	lastAvailable map[baobabstep.TargetID]time.Time
}

func newPlacementLog() *placementLog {
	return &placementLog{available: make(map[baobabstep.TargetID]bool), lastAvailable: make(map[baobabstep.TargetID]time.Time)}
}

func (p *placementLog) set(now time.Time, id baobabstep.TargetID, available bool) {
	if p.available[id] && !available {
		delete(p.available, id)
		p.lastAvailable[id] = now
	} else if available {
		p.available[id] = true
	}
}

// SetRegistrations implements flowRouter.
func (p *placementLog) SetRegistrations(now time.Time, list []baobabstep.Registration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[baobabstep.TargetID]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
		p.set(now, list[i].ID, !list[i].Draining)
	}
	for id := range p.available {
		if !listed[id] {
			p.set(now, id, false)
		}
	}
}

// ChangeRegistrations implements flowRouter.
func (p *placementLog) ChangeRegistrations(now time.Time, put []baobabstep.Registration, gone []baobabstep.TargetID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range put {
		p.set(now, put[i].ID, !put[i].Draining)
	}
	for _, id := range gone {
		p.set(now, id, false)
	}
}

// SetTable implements flowRouter.
func (p *placementLog) SetTable(time.Time, *baobabstep.RoutingTable) bool { return true }
func (p *placementLog) ConfirmTable(time.Time)                            {}
func (p *placementLog) ConfirmTargets()                                   {}

// SetEvacuations implements flowRouter.
func (p *placementLog) SetEvacuations(time.Time, []string) {}

// StoreRestored implements flowRouter.
func (p *placementLog) StoreRestored(time.Time) {}

// availableAfter returns how long after left a target was still available, 0 if it was not.
func (p *placementLog) availableAfter(now time.Time, id baobabstep.TargetID, left time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.available[id] {
		return now.Sub(left)
	}
	return max(0, p.lastAvailable[id].Sub(left))
}
