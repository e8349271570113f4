package heartbeat

import (
	"slices"

	"baobabstep"
)

// maxHistory limits the registrations and target IDs in a History. It covers some
// seconds of a rollout that replaces thousands of targets.
const maxHistory = 8192

// History keeps the latest changes of registrations, so that a VM that missed some can
// be sent only those. The zero value is empty.
type History struct {
	changes []historyChange
	size    int
}

// historyChange is the difference between the registrations of two revisions.
type historyChange struct {
	from, to baobabstep.Revision
	Difference
}

func (s *historyChange) size() int { return len(s.Put) + len(s.Removed) }

// Add appends the difference between two revisions. It clears the history first if from is
// not the latest recorded revision. It clears the history without adding anything if to
// precedes from, which means that the store has not reached from.
func (h *History) Add(from, to baobabstep.Revision, d Difference) {
	if n := len(h.changes); n > 0 && h.changes[n-1].to != from {
		*h = History{}
	}
	if to.Before(from) {
		*h = History{}
		return
	}
	h.changes = append(h.changes, historyChange{from: from, to: to, Difference: d})
	h.size += h.changes[len(h.changes)-1].size()
	drop := 0
	for h.size > maxHistory && drop < len(h.changes) {
		h.size -= h.changes[drop].size()
		drop++
	}
	h.changes = slices.Delete(h.changes, 0, drop)
}

// Advance advances the latest recorded revision without a change of registrations.
func (h *History) Advance(to baobabstep.Revision) {
	n := len(h.changes)
	switch {
	case n == 0:
	case to.Before(h.changes[n-1].to):
		*h = History{}
	default:
		h.changes[n-1].to = to
	}
}

// Since returns the difference between the registrations of a revision and the current
// ones, or false if the history does not reach back that far. The difference may
// include targets that did not change.
func (h *History) Since(revision baobabstep.Revision) (d Difference, ok bool) {
	if len(h.changes) == 0 || revision.Before(h.changes[0].from) {
		return d, false
	}
	last := make(map[baobabstep.TargetID]*baobabstep.Registration)
	for i := range h.changes {
		s := &h.changes[i]
		if !revision.Before(s.to) {
			continue
		}
		for j := range s.Put {
			last[s.Put[j].ID] = &s.Put[j]
		}
		for _, id := range s.Removed {
			last[id] = nil
		}
	}
	for id, r := range last {
		if r == nil {
			d.Removed = append(d.Removed, id)
		} else {
			d.Put = append(d.Put, *r)
		}
	}
	SortTargets(d.Put)
	slices.Sort(d.Removed)
	return d, true
}
