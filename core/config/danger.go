package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"baobabstep"
)

// MaxCapacityLoss is the share of a service's capacity that one change may
// remove without confirmation by the operator.
const MaxCapacityLoss = 0.34

// Danger is a valid change that is likely to be a mistake. It is accepted only
// if the operator confirms it by name.
type Danger struct {
	// Name is the name to confirm: the service, as "account/service".
	Name string `json:"name"`
	Text string `json:"text"`
}

// findDangers returns the dangers of replacing before by after.
func findDangers(before, after *baobabstep.Config) []Danger {
	if before == nil {
		return nil
	}
	var out []Danger
	for i := range before.Services {
		old := &before.Services[i]
		updated := after.Service(old.ID)
		if updated == nil {
			out = append(out, Danger{old.Name, fmt.Sprintf("the service and its %d targets are removed", len(old.Targets))})
			continue
		}
		if sameTargets(old, updated) && old.Address == updated.Address {
			continue
		}
		if old.Address != updated.Address {
			out = append(out, Danger{old.Name, fmt.Sprintf("callers reach the service at %v, no longer at %v", updated.Address, old.Address)})
		}
		c0, s0 := capacity(old)
		c1, s1 := capacity(updated)
		if lostShare(c0, c1) > MaxCapacityLoss || lostShare(s0, s1) > MaxCapacityLoss {
			out = append(out, Danger{old.Name, fmt.Sprintf("connections for new work go from %d to %d and slots from %d to %d; at most %.0f %% may go at once", c0, c1, s0, s1, 100*MaxCapacityLoss)})
		}
	}
	return out
}

// sameTargets reports whether both services share one slice of targets, as
// unchanged accounts do between versions. It compares no contents.
func sameTargets(a, b *baobabstep.Service) bool {
	return len(a.Targets) == len(b.Targets) && (len(a.Targets) == 0 || &a.Targets[0] == &b.Targets[0])
}

func capacity(s *baobabstep.Service) (connections, slots int) {
	for i := range s.Targets {
		if !s.Targets[i].Drained {
			connections += s.Targets[i].Connections
			slots += s.Targets[i].Slots
		}
	}
	return connections, slots
}

func lostShare(before, after int) float64 {
	if before == 0 {
		return 0
	}
	return float64(before-after) / float64(before)
}

// unconfirmed returns the dangers that the operator did not confirm.
func unconfirmed(all []Danger, confirmed []string) []Danger {
	var out []Danger
	for _, d := range all {
		if !slices.Contains(confirmed, d.Name) {
			out = append(out, d)
		}
	}
	return out
}

func dangerText(all []Danger) string {
	lines := make([]string, 0, len(all))
	for _, d := range all {
		lines = append(lines, d.Name+": "+d.Text)
	}
	return strings.Join(lines, "; ")
}

// Bounds of the quarantine.
const (
	// maxQuarantineAge is how long an address stays in quarantine if the
	// version is not known to be in force everywhere. A VM that has learnt no
	// version for that long has lost all connectivity, and a target rejects
	// packets that name another service.
	maxQuarantineAge   = 2 * time.Hour
	maxQuarantineItems = 4096
)

// nextQuarantine returns the quarantine of version after: the items that are
// neither lifted nor expired, and the addresses that after removes from a
// service. A VM with an earlier version may still send the old service's packets
// there, so the address gets no work from another service until the version is
// in force everywhere.
func nextQuarantine(now time.Time, items []QuarantineItem, lift uint64, before, after *baobabstep.Config) []QuarantineItem {
	var out []QuarantineItem
	for _, q := range items {
		if q.Until > lift && now.Sub(q.Since) < maxQuarantineAge {
			out = append(out, q)
		}
	}
	if before == nil {
		return out
	}
	for i := range before.Services {
		old := &before.Services[i]
		current := after.Service(old.ID)
		if current != nil && sameTargets(old, current) {
			continue
		}
		kept := map[netip.AddrPort]bool{}
		if current != nil {
			for j := range current.Targets {
				kept[current.Targets[j].Address] = true
			}
		}
		for j := range old.Targets {
			if a := old.Targets[j].Address; !kept[a] {
				out = append(out, QuarantineItem{Address: a.String(), Service: old.ID, Until: after.Version, Since: now})
			}
		}
	}
	return out[max(0, len(out)-maxQuarantineItems):]
}

// LiftableVersion returns the version up to which addresses may leave quarantine, or 0.
// An address may leave once its version is known to be in force on every VM, or
// after maxQuarantineAge. To save platform calls only one VM returns a version,
// as far as the VMs' views agree. Two VMs that lift the same addresses do no
// harm, since the second change has no effect.
func (r *Replica) LiftableVersion(now time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current.Load()
	own := r.o.Self.DataCentre
	if s == nil || len(s.quarantine) == 0 || r.fleet.readers[own][0] != r.o.Self.ID {
		return 0
	}
	everywhere, complete := s.Manifest.Version, true
	for _, d := range r.knownDataCentres(now) {
		fresh := time.Duration(d.AgeMS)*time.Millisecond < peerExpiry && d.Heard >= d.VMs
		if fresh && d.DataCentre < own {
			return 0
		}
		complete = complete && fresh
		everywhere = min(everywhere, d.Oldest)
	}
	var lift uint64
	for _, q := range s.quarantine {
		if complete && q.Until <= everywhere || now.Sub(q.Since) >= maxQuarantineAge {
			lift = max(lift, q.Until)
		}
	}
	return lift
}
