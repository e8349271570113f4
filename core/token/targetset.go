package token

import (
	"slices"
	"sync"

	"baobabstep"
)

// targetSet collects targets for later processing, so that the cost is proportional to the
// number of targets with events instead of all known targets. It is safe for concurrent
// use; the zero value is an empty set.
type targetSet struct {
	mu  sync.Mutex
	set map[baobabstep.TargetID]struct{}
}

func (s *targetSet) add(id baobabstep.TargetID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.set == nil {
		s.set = make(map[baobabstep.TargetID]struct{})
	}
	s.set[id] = struct{}{}
}

// take removes all targets from the set and returns them in ascending order.
func (s *targetSet) take() []baobabstep.TargetID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]baobabstep.TargetID, 0, len(s.set))
	for id := range s.set {
		ids = append(ids, id)
	}
	clear(s.set)
	slices.Sort(ids)
	return ids
}
