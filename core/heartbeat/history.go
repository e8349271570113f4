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

// historyChange is the difference between the registrations of two revisions. checksum is that
// of the registrations after it.
type historyChange struct {
	from, to baobabstep.Revision
	checksum uint64
	Difference
}

func (s *historyChange) size() int { return len(s.Put) + len(s.Removed) }

// Add appends the difference between two revisions, with the checksum of the registrations after
// it. It clears the history first if from is
// not the latest recorded revision. It clears the history without adding anything if to
// precedes from, which means that the store has not reached from.
func (h *History) Add(from, to baobabstep.Revision, checksum uint64, d Difference) {
	if n := len(h.changes); n > 0 && h.changes[n-1].to != from {
		*h = History{}
	}
	if to.Before(from) {
		*h = History{}
		return
	}
	h.changes = append(h.changes, historyChange{from: from, to: to, checksum: checksum, Difference: d})
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
	if !h.reaches(revision) {
		return d, false
	}
	return mergeChanges(h.after(revision)), true
}

// Step is the difference from one revision to the revision To, at which the registrations have
// the checksum Checksum.
type Step struct {
	Difference
	To       baobabstep.Revision
	Checksum uint64
}

// Steps returns what Since does as consecutive steps. A step has at most maxSize registrations and
// target IDs, unless it consists of a single recorded change. Steps that exceed maxTotal together
// are left out, except the first. It returns false if the history does not reach back that far.
func (h *History) Steps(revision baobabstep.Revision, maxSize, maxTotal int) (steps []Step, ok bool) {
	if !h.reaches(revision) {
		return nil, false
	}
	for rest, total := h.after(revision), 0; len(rest) > 0; {
		count, size := 1, rest[0].size()
		for count < len(rest) && size+rest[count].size() <= maxSize {
			size += rest[count].size()
			count++
		}
		if total += size; len(steps) > 0 && total > maxTotal {
			break
		}
		last := &rest[count-1]
		steps = append(steps, Step{Difference: mergeChanges(rest[:count]), To: last.to, Checksum: last.checksum})
		rest = rest[count:]
	}
	return steps, true
}

// reaches reports whether the history has all changes since a revision.
func (h *History) reaches(revision baobabstep.Revision) bool {
	return len(h.changes) > 0 && !revision.Before(h.changes[0].from)
}

// after returns the changes to revisions after the given one.
func (h *History) after(revision baobabstep.Revision) []historyChange {
	first := slices.IndexFunc(h.changes, func(s historyChange) bool { return revision.Before(s.to) })
	if first < 0 {
		return nil
	}
	return h.changes[first:]
}

// mergeChanges returns the difference that consecutive changes make together.
func mergeChanges(changes []historyChange) (d Difference) {
	last := make(map[baobabstep.TargetID]*baobabstep.Registration)
	for i := range changes {
		s := &changes[i]
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
	return d
}
