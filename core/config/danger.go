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
// take away without being confirmed by name.
const MaxCapacityLoss = 0.34

// Danger is a change that is valid and still likely to be a mistake. It is
// carried out only if the operator names it.
type Danger struct {
	// Name is what has to be named: the service, as "account/service".
	Name string `json:"name"`
	Text string `json:"text"`
}

// dangers compares two configurations service by service.
func dangers(before, after *baobabstep.Config) []Danger {
	if before == nil {
		return nil
	}
	var out []Danger
	for i := range before.Services {
		was := &before.Services[i]
		now := after.Service(was.ID)
		if now == nil {
			out = append(out, Danger{was.Name, fmt.Sprintf("the service and its %d targets are removed", len(was.Targets))})
			continue
		}
		if sameTargets(was, now) && was.Address == now.Address {
			continue
		}
		if was.Address != now.Address {
			out = append(out, Danger{was.Name, fmt.Sprintf("callers reach the service at %v, no longer at %v", now.Address, was.Address)})
		}
		c0, s0 := capacity(was)
		c1, s1 := capacity(now)
		if lost(c0, c1) > MaxCapacityLoss || lost(s0, s1) > MaxCapacityLoss {
			out = append(out, Danger{was.Name, fmt.Sprintf("connections for new work go from %d to %d and slots from %d to %d; at most %.0f %% may go at once", c0, c1, s0, s1, 100*MaxCapacityLoss)})
		}
	}
	return out
}

// sameTargets tells quickly that nothing changed: unchanged accounts share
// their rendered targets between versions.
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

func lost(before, after int) float64 {
	if before == 0 {
		return 0
	}
	return float64(before-after) / float64(before)
}

// unconfirmed returns the dangers that the operator did not name.
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
	// quarantineAge is how long an address stays in quarantine while it is
	// not known that the version is in force everywhere. A VM that has not
	// heard a version for so long is cut off from everything, and a target
	// refuses a packet that names another service.
	quarantineAge = 2 * time.Hour
	maxQuarantine = 4096
)

// nextQuarantine lists the addresses that the version takes away from a
// service, beside those on the list that are still young. A VM that acts on an
// earlier version may send the old service's packets there, so the address
// gets no work from another service before the version is in force everywhere,
// which is when the address is lifted.
func nextQuarantine(now time.Time, items []QuarantineItem, lift uint64, before, after *baobabstep.Config) []QuarantineItem {
	var out []QuarantineItem
	for _, q := range items {
		if q.Until > lift && now.Sub(q.Since) < quarantineAge {
			out = append(out, q)
		}
	}
	if before == nil {
		return out
	}
	for i := range before.Services {
		was := &before.Services[i]
		current := after.Service(was.ID)
		if current != nil && sameTargets(was, current) {
			continue
		}
		kept := map[netip.AddrPort]bool{}
		if current != nil {
			for j := range current.Targets {
				kept[current.Targets[j].Address] = true
			}
		}
		for j := range was.Targets {
			if a := was.Targets[j].Address; !kept[a] {
				out = append(out, QuarantineItem{Address: a.String(), Service: was.ID, Until: after.Version, Since: now})
			}
		}
	}
	return out[max(0, len(out)-maxQuarantine):]
}

// Liftable returns the version up to which addresses may leave quarantine, or 0.
// It is that of a version known to be in force on every VM, or of addresses that
// have been in quarantine for long. To save calls it answers on one VM only, as
// far as views agree; two that lift the same do no harm, since the second
// changes nothing.
func (r *Replica) Liftable(now time.Time) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.current.Load()
	own := r.o.Self.DataCentre
	if s == nil || len(s.quarantine) == 0 || r.fleet.readers[own][0] != r.o.Self.ID {
		return 0
	}
	everywhere, complete := s.Manifest.Version, true
	for _, d := range r.knownCentres(now) {
		fresh := time.Duration(d.AgeMS)*time.Millisecond < peerExpiry && d.Heard >= d.VMs
		if fresh && d.DataCentre < own {
			return 0
		}
		complete = complete && fresh
		everywhere = min(everywhere, d.Oldest)
	}
	var lift uint64
	for _, q := range s.quarantine {
		if complete && q.Until <= everywhere || now.Sub(q.Since) >= quarantineAge {
			lift = max(lift, q.Until)
		}
	}
	return lift
}
