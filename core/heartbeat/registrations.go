package heartbeat

import (
	"cmp"
	"slices"

	"baobabstep"
)

// Registrations are all that are registered, with a checksum that is kept in
// step: the sum of the checksums of each. A change so costs what it changes, not
// what there is: several registrations of thousands change in a second.
type Registrations struct {
	list map[baobabstep.TargetID]summed
	sum  uint64
}

// summed is a registration with its checksum.
type summed struct {
	baobabstep.Registration
	sum uint64
}

// noRegistrations is the checksum of an empty list. It is not 0, which stands
// for nothing held.
const noRegistrations = 0x9e3779b97f4a7c15

// NoRegistrations returns an empty list.
func NoRegistrations() *Registrations {
	return &Registrations{list: make(map[baobabstep.TargetID]summed), sum: noRegistrations}
}

// NewRegistrations returns the registrations of a list in any order; of two with
// one identifier the later. Errors: CodeInternal.
func NewRegistrations(list []baobabstep.Registration) (*Registrations, error) {
	r := NoRegistrations()
	return r, r.Apply(Difference{Put: list})
}

// Sum returns the checksum.
func (r *Registrations) Sum() uint64 { return r.sum }

// Len returns how many are registered.
func (r *Registrations) Len() int { return len(r.list) }

// Get returns a registration; false if there is none.
func (r *Registrations) Get(id baobabstep.TargetID) (baobabstep.Registration, bool) {
	s, ok := r.list[id]
	return s.Registration, ok
}

// List returns all, sorted by SortTargets.
func (r *Registrations) List() []baobabstep.Registration {
	list := make([]baobabstep.Registration, 0, len(r.list))
	for _, s := range r.list {
		list = append(list, s.Registration)
	}
	SortTargets(list)
	return list
}

// Difference is what turns registrations into others. No target is in it twice.
type Difference struct {
	Put  []baobabstep.Registration
	Gone []baobabstep.TargetID
}

// Empty tells whether nothing differs.
func (d *Difference) Empty() bool { return len(d.Put)+len(d.Gone) == 0 }

// To returns what turns r into others.
func (r *Registrations) To(others *Registrations) Difference {
	var d Difference
	for id, s := range others.list {
		if r.list[id] != s {
			d.Put = append(d.Put, s.Registration)
		}
	}
	for id := range r.list {
		if _, there := others.list[id]; !there {
			d.Gone = append(d.Gone, id)
		}
	}
	SortTargets(d.Put)
	slices.Sort(d.Gone)
	return d
}

// SumAfter returns the checksum that Apply would give. Errors: CodeInternal.
func (r *Registrations) SumAfter(d Difference) (uint64, error) {
	put, err := sumAll(d.Put)
	if err != nil {
		return 0, err
	}
	sum := r.sum
	for _, s := range put {
		sum += s.sum - r.list[s.ID].sum
	}
	for _, id := range d.Gone {
		sum -= r.list[id].sum
	}
	return sum, nil
}

// Apply makes what a difference says. Errors, which change nothing: CodeInternal.
func (r *Registrations) Apply(d Difference) error {
	put, err := sumAll(d.Put)
	if err != nil {
		return err
	}
	for _, s := range put {
		r.sum += s.sum - r.list[s.ID].sum
		r.list[s.ID] = s
	}
	for _, id := range d.Gone {
		r.sum -= r.list[id].sum
		delete(r.list, id)
	}
	return nil
}

func sumAll(list []baobabstep.Registration) ([]summed, error) {
	all := make([]summed, len(list))
	for i := range list {
		b, err := encMode.Marshal(makeTarget(&list[i]))
		if err != nil {
			return nil, baobabstep.Errorf(baobabstep.CodeInternal, "heartbeat.sum", "%w", err)
		}
		all[i] = summed{list[i], Sum(b)}
	}
	return all, nil
}

// SortTargets puts registrations into the order in which they travel.
func SortTargets(list []baobabstep.Registration) {
	slices.SortFunc(list, func(x, y baobabstep.Registration) int { return cmp.Compare(x.ID, y.ID) })
}
