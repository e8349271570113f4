package heartbeat

import (
	"cmp"
	"maps"
	"slices"

	"baobabstep"
)

// Registrations is the list of all registered targets. Its checksum, the sum of the
// checksums of all registrations, is updated incrementally. So the cost of a change
// depends on its own size, not on that of the list; several of thousands of registrations
// change per second.
//
// The registrations are divided into buckets with separate checksums, so that two VMs can
// tell which of their buckets differ.
type Registrations struct {
	buckets  [NumBuckets]bucket
	checksum uint64
	count    int
}

// bucket holds the registrations whose target hashes have the same upper bucketBits bits.
type bucket struct {
	registrations map[baobabstep.TargetID]checksummed
	checksum      uint64
}

// checksummed is a registration with its checksum.
type checksummed struct {
	baobabstep.Registration
	checksum uint64
}

// emptyChecksum is the checksum of an empty list. It differs from 0, which means that no
// content is held.
const emptyChecksum = 0x9e3779b97f4a7c15

// EmptyRegistrations returns an empty list.
func EmptyRegistrations() *Registrations {
	return &Registrations{checksum: emptyChecksum}
}

// NewRegistrations returns the registrations of a list in any order. Of two with the same
// identifier, the later one is used. Errors: CodeInternal.
func NewRegistrations(list []baobabstep.Registration) (*Registrations, error) {
	r := EmptyRegistrations()
	return r, r.Apply(Difference{Put: list})
}

// Clone returns a copy.
func (r *Registrations) Clone() *Registrations {
	c := *r
	for i := range c.buckets {
		c.buckets[i].registrations = maps.Clone(r.buckets[i].registrations)
	}
	return &c
}

// Checksum returns the checksum.
func (r *Registrations) Checksum() uint64 { return r.checksum }

// Len returns the number of registrations.
func (r *Registrations) Len() int { return r.count }

func (r *Registrations) find(id baobabstep.TargetID) (s checksummed, ok bool) {
	s, ok = r.buckets[bucketOf(id)].registrations[id]
	return s, ok
}

// all iterates over all registrations in any order.
func (r *Registrations) all(yield func(baobabstep.TargetID, checksummed) bool) {
	for i := range r.buckets {
		for id, s := range r.buckets[i].registrations {
			if !yield(id, s) {
				return
			}
		}
	}
}

// Get returns a registration, and false if there is none.
func (r *Registrations) Get(id baobabstep.TargetID) (baobabstep.Registration, bool) {
	s, ok := r.find(id)
	return s.Registration, ok
}

// List returns all registrations, sorted by SortTargets.
func (r *Registrations) List() []baobabstep.Registration {
	list := make([]baobabstep.Registration, 0, r.count)
	for _, s := range r.all {
		list = append(list, s.Registration)
	}
	SortTargets(list)
	return list
}

// Difference is a change of registrations: Put are added or replaced, Removed are removed.
// No target occurs in it twice.
type Difference struct {
	Put     []baobabstep.Registration
	Removed []baobabstep.TargetID
}

// Empty reports whether nothing changes.
func (d *Difference) Empty() bool { return len(d.Put)+len(d.Removed) == 0 }

// Merge appends a later difference to d. For a target that is in both, the later one
// applies.
func (d *Difference) Merge(later Difference) {
	if d.Empty() {
		*d = Difference{Put: slices.Clone(later.Put), Removed: slices.Clone(later.Removed)}
		return
	}
	replaced := make(map[baobabstep.TargetID]bool, len(later.Put)+len(later.Removed))
	for i := range later.Put {
		replaced[later.Put[i].ID] = true
	}
	for _, id := range later.Removed {
		replaced[id] = true
	}
	d.Put = slices.DeleteFunc(d.Put, func(r baobabstep.Registration) bool { return replaced[r.ID] })
	d.Removed = slices.DeleteFunc(d.Removed, func(id baobabstep.TargetID) bool { return replaced[id] })
	d.Put, d.Removed = append(d.Put, later.Put...), append(d.Removed, later.Removed...)
}

// Split divides d into consecutive differences of at most size registrations and target IDs each,
// those of targets that leave or are gone first.
func (d *Difference) Split(size int) (parts []Difference) {
	leaving, staying := make([]baobabstep.Registration, 0, len(d.Put)), make([]baobabstep.Registration, 0, len(d.Put))
	for _, r := range d.Put {
		if r.Draining {
			leaving = append(leaving, r)
		} else {
			staying = append(staying, r)
		}
	}
	for part := range slices.Chunk(d.Removed, size) {
		parts = append(parts, Difference{Removed: part})
	}
	for _, list := range [][]baobabstep.Registration{leaving, staying} {
		for part := range slices.Chunk(list, size) {
			parts = append(parts, Difference{Put: part})
		}
	}
	return parts
}

// DiffTo returns the difference that changes r into others.
func (r *Registrations) DiffTo(others *Registrations) Difference {
	var d Difference
	for id, s := range others.all {
		if old, _ := r.find(id); old != s {
			d.Put = append(d.Put, s.Registration)
		}
	}
	for id := range r.all {
		if _, there := others.find(id); !there {
			d.Removed = append(d.Removed, id)
		}
	}
	SortTargets(d.Put)
	slices.Sort(d.Removed)
	return d
}

// ChecksumAfter returns the checksum that results from applying a difference, without
// applying it. Errors: CodeInternal.
func (r *Registrations) ChecksumAfter(d Difference) (uint64, error) {
	put, err := withChecksums(d.Put)
	if err != nil {
		return 0, err
	}
	sum := r.checksum
	for _, s := range put {
		old, _ := r.find(s.ID)
		sum += s.checksum - old.checksum
	}
	for _, id := range d.Removed {
		old, _ := r.find(id)
		sum -= old.checksum
	}
	return sum, nil
}

// Apply applies a difference. On an error, nothing is changed. Errors: CodeInternal.
func (r *Registrations) Apply(d Difference) error {
	put, err := withChecksums(d.Put)
	if err != nil {
		return err
	}
	for _, s := range put {
		r.put(s)
	}
	for _, id := range d.Removed {
		r.remove(id)
	}
	return nil
}

func (r *Registrations) put(s checksummed) {
	r.remove(s.ID)
	p := &r.buckets[bucketOf(s.ID)]
	if p.registrations == nil {
		p.registrations = make(map[baobabstep.TargetID]checksummed)
	}
	p.registrations[s.ID] = s
	p.checksum += s.checksum
	r.checksum += s.checksum
	r.count++
}

func (r *Registrations) remove(id baobabstep.TargetID) {
	p := &r.buckets[bucketOf(id)]
	old, there := p.registrations[id]
	if !there {
		return
	}
	delete(p.registrations, id)
	p.checksum -= old.checksum
	r.checksum -= old.checksum
	r.count--
}

func withChecksums(list []baobabstep.Registration) ([]checksummed, error) {
	all := make([]checksummed, len(list))
	for i := range list {
		b, err := encMode.Marshal(makeTarget(&list[i]))
		if err != nil {
			return nil, baobabstep.Errorf(baobabstep.CodeInternal, "heartbeat.sum", "%w", err)
		}
		all[i] = checksummed{list[i], Checksum(b)}
	}
	return all, nil
}

// SortTargets sorts registrations by identifier, the order in which they are encoded.
func SortTargets(list []baobabstep.Registration) {
	slices.SortFunc(list, func(x, y baobabstep.Registration) int { return cmp.Compare(x.ID, y.ID) })
}
