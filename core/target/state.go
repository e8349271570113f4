package target

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

// State is the state of one target, for status pages and explanations.
type State struct {
	Target     baobabstep.TargetID  `json:"target"`
	Name       string               `json:"name"`
	Service    baobabstep.ServiceID `json:"service"`
	DataCentre string               `json:"data_centre"`
	// Usable says whether the target may get new work; Reason says why not.
	Usable bool   `json:"usable"`
	Reason string `json:"reason,omitempty"`
	// Weight is below 1 during the ramp after the target joined or returned.
	Weight float64 `json:"weight"`
	Flows  int     `json:"flows"`
	// Load is the estimated number of open flows over all VMs.
	Load        int           `json:"load"`
	Slots       int           `json:"slots"`
	SlotLimit   int           `json:"slot_limit"`
	ServiceTime time.Duration `json:"service_time"`
	// Panicking says that health is ignored for the whole service.
	Panicking bool `json:"panicking"`
}

// States returns the state of all targets, sorted by name.
func (r *Registry) States(now time.Time) []State {
	x := r.index.Load()
	states := make([]State, 0, len(x.targets))
	for _, p := range x.pools {
		p.mu.Lock()
		p.refresh(now)
		for _, e := range p.entries {
			states = append(states, e.state(now))
		}
		p.mu.Unlock()
	}
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(a.Name, b.Name) })
	return states
}

func (e *entry) state(now time.Time) State {
	return State{
		Target:      e.target.ID,
		Name:        e.target.Name,
		Service:     e.target.Service,
		DataCentre:  e.target.DataCentre,
		Usable:      e.usable,
		Reason:      e.unusableReason(now),
		Weight:      e.rampWeight(now),
		Flows:       e.flows,
		Load:        e.load,
		Slots:       e.slotsUsed,
		SlotLimit:   e.slotLimit(now),
		ServiceTime: time.Duration(e.health.serviceTime * float64(time.Second)),
		Panicking:   e.pool.panicking,
	}
}

func (e *entry) unusableReason(now time.Time) string {
	switch {
	case e.removed:
		return "removed"
	case e.quarantined:
		return "address in quarantine"
	case e.leaving[SourceOperator].leaving:
		return "drained by an operator"
	case e.leaving[SourcePlatform].leaving:
		return "leaving by the platform's list"
	case e.leaving[SourceTarget].leaving:
		return "leaving by its own report"
	case now.Before(e.health.ejectedUntil):
		return "ejected for failing work"
	case !e.health.healthy(now, e):
		return "down by probes"
	case e.health.paused(now):
		return "refused work for lack of room"
	default:
		return ""
	}
}
