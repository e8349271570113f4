package heartbeat

import (
	"cmp"
	"slices"

	"baobabstep"
)

// Registrations are all that are registered, with a checksum that is kept in
// step: the sum of the checksums of each. A change so costs what it changes, not
// what there is: several registrations of thousands change in a second.
//
// They are divided into buckets with checksums of their own, so that two VMs can tell
// which of their buckets differ.
type Registrations struct {
	buckets [NumBuckets]bucket
	sum     uint64
	count   int
}

// bucket holds the registrations whose target hashes have the same upper bucketBits bits.
type bucket struct {
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
	return &Registrations{sum: noRegistrations}
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
func (r *Registrations) Len() int { return r.count }

func (r *Registrations) find(id baobabstep.TargetID) (s summed, ok bool) {
	s, ok = r.buckets[bucketOf(id)].list[id]
	return s, ok
}

// all iterates over all registrations in any order.
func (r *Registrations) all(yield func(baobabstep.TargetID, summed) bool) {
	for i := range r.buckets {
		for id, s := range r.buckets[i].list {
			if !yield(id, s) {
				return
			}
		}
	}
}

// Get returns a registration; false if there is none.
func (r *Registrations) Get(id baobabstep.TargetID) (baobabstep.Registration, bool) {
	s, ok := r.find(id)
	return s.Registration, ok
}

// List returns all, sorted by SortTargets.
func (r *Registrations) List() []baobabstep.Registration {
	list := make([]baobabstep.Registration, 0, r.count)
	for _, s := range r.all {
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

// Merge appends a later difference to d. For a target that is in both, the later one
// applies.
func (d *Difference) Merge(later Difference) {
	if d.Empty() {
		*d = Difference{Put: slices.Clone(later.Put), Gone: slices.Clone(later.Gone)}
		return
	}
	replaced := make(map[baobabstep.TargetID]bool, len(later.Put)+len(later.Gone))
	for i := range later.Put {
		replaced[later.Put[i].ID] = true
	}
	for _, id := range later.Gone {
		replaced[id] = true
	}
	d.Put = slices.DeleteFunc(d.Put, func(r baobabstep.Registration) bool { return replaced[r.ID] })
	d.Gone = slices.DeleteFunc(d.Gone, func(id baobabstep.TargetID) bool { return replaced[id] })
	d.Put, d.Gone = append(d.Put, later.Put...), append(d.Gone, later.Gone...)
}

// To returns what turns r into others.
func (r *Registrations) To(others *Registrations) Difference {
	var d Difference
	for id, s := range others.all {
		if old, _ := r.find(id); old != s {
			d.Put = append(d.Put, s.Registration)
		}
	}
	for id := range r.all {
		if _, there := others.find(id); !there {
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
		old, _ := r.find(s.ID)
		sum += s.sum - old.sum
	}
	for _, id := range d.Gone {
		old, _ := r.find(id)
		sum -= old.sum
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
		r.put(s)
	}
	for _, id := range d.Gone {
		r.remove(id)
	}
	return nil
}

func (r *Registrations) put(s summed) {
	r.remove(s.ID)
	p := &r.buckets[bucketOf(s.ID)]
	if p.list == nil {
		p.list = make(map[baobabstep.TargetID]summed)
	}
	p.list[s.ID] = s
	p.sum += s.sum
	r.sum += s.sum
	r.count++
}

func (r *Registrations) remove(id baobabstep.TargetID) {
	p := &r.buckets[bucketOf(id)]
	old, there := p.list[id]
	if !there {
		return
	}
	delete(p.list, id)
	p.sum -= old.sum
	r.sum -= old.sum
	r.count--
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
