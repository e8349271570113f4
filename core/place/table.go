package place

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"baobabstep"
)

// Table maps slots to owners for one view. It is immutable.
type Table struct {
	// dataCentres are those with members, sorted by name.
	dataCentres []*dataCentre
}

// dataCentre is the table of one data centre.
type dataCentre struct {
	name    string
	hash    uint64
	members []member
	racks   int
	slots   []ownerPair
}

// member is a VM that may own slots. Members are sorted by ID.
type member struct {
	id   baobabstep.VMID
	rack string
}

// ownerPair is the owners of one slot, as indexes of members.
type ownerPair struct{ holder, second uint16 }

// noMember marks the missing second copy of a data centre with one VM.
const noMember = ^uint16(0)

// New computes the table of a view.
func New(view *baobabstep.View) *Table {
	return (&Table{}).Update(view)
}

// Update returns the table of view. It recomputes only what changed, and
// returns t if nothing did.
func (t *Table) Update(view *baobabstep.View) *Table {
	groups := make(map[string][]member)
	for i := range view.Members {
		vm := &view.Members[i]
		groups[vm.DataCentre] = append(groups[vm.DataCentre], member{vm.ID, vm.Rack})
	}
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	sort.Strings(names)
	next := &Table{dataCentres: make([]*dataCentre, 0, len(names))}
	for _, name := range names {
		members := groups[name]
		slices.SortFunc(members, func(a, b member) int { return compareID(a.id, b.id) })
		next.dataCentres = append(next.dataCentres, t.find(name).update(name, members))
	}
	if slices.Equal(t.dataCentres, next.dataCentres) && len(names) > 0 {
		return t
	}
	return next
}

func (t *Table) find(name string) *dataCentre {
	for _, d := range t.dataCentres {
		if d.name == name {
			return d
		}
	}
	return nil
}

func compareID(a, b baobabstep.VMID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (d *dataCentre) owners(slot int) Owners {
	p := d.slots[slot]
	o := Owners{Holder: d.members[p.holder].id}
	if p.second != noMember {
		o.Second = d.members[p.second].id
	}
	return o
}

// update returns the table for members; d is nil for a new data centre.
func (d *dataCentre) update(name string, members []member) *dataCentre {
	if d != nil && slices.Equal(d.members, members) {
		return d
	}
	next := &dataCentre{
		name:    name,
		hash:    xxhash.Sum64String(name),
		members: members,
		racks:   countRacks(members),
		slots:   make([]ownerPair, SlotCount),
	}
	if d == nil || (d.racks > 1) != (next.racks > 1) || len(d.members) < 2 {
		next.computeSlots()
		return next
	}
	next.updateFrom(d)
	return next
}

func countRacks(members []member) int {
	racks := make(map[string]struct{})
	for i := range members {
		racks[members[i].rack] = struct{}{}
	}
	return len(racks)
}

func (d *dataCentre) computeSlots() {
	for slot := range d.slots {
		d.slots[slot] = d.bestOwners(slot)
	}
}

// bestOwners computes the owners of one slot from all members.
func (d *dataCentre) bestOwners(slot int) ownerPair {
	first := d.bestMember(slot, func(uint16) bool { return true })
	second := d.bestMember(slot, func(i uint16) bool { return i != first && d.compatible(i, first) })
	return ownerPair{first, second}
}

// bestMember returns the member with the highest score among those that fit.
func (d *dataCentre) bestMember(slot int, fits func(uint16) bool) uint16 {
	best := noMember
	var bestScore uint64
	for i := range d.members {
		score := d.score(slot, uint16(i))
		if (best == noMember || score > bestScore) && fits(uint16(i)) {
			best, bestScore = uint16(i), score
		}
	}
	return best
}

func (d *dataCentre) score(slot int, i uint16) uint64 {
	return mix(uint64(slot)*0x9e3779b97f4a7c15, uint64(d.members[i].id))
}

// updateFrom fills d from the table old. Slots that lost an owner are
// recomputed; for all others the joined members compete with the present
// owners.
func (d *dataCentre) updateFrom(old *dataCentre) {
	newIndex, joined := d.diffMembers(old)
	for slot, p := range old.slots {
		holder, second := newIndex[p.holder], newIndex[p.second]
		if holder == noMember || second == noMember {
			d.slots[slot] = d.bestOwners(slot)
			continue
		}
		owners := ownerPair{holder, second}
		for _, i := range joined {
			owners = d.addMember(slot, owners, i)
		}
		d.slots[slot] = owners
	}
}

// diffMembers returns the new index of each member of old, or noMember, and the
// indexes of the members that old lacks. A VM that changed racks counts as one
// that left and one that joined.
func (d *dataCentre) diffMembers(old *dataCentre) (newIndex []uint16, joined []uint16) {
	newIndex = make([]uint16, len(old.members))
	for i := range newIndex {
		newIndex[i] = noMember
	}
	for i := range d.members {
		oldIndex, found := slices.BinarySearchFunc(old.members, d.members[i].id,
			func(m member, id baobabstep.VMID) int { return compareID(m.id, id) })
		if found && old.members[oldIndex].rack == d.members[i].rack {
			newIndex[oldIndex] = uint16(i)
			continue
		}
		joined = append(joined, uint16(i))
	}
	return newIndex, joined
}

// addMember returns the owners of slot once member i competes for it.
//
// If i becomes the holder, the old holder becomes the second copy, unless it is
// in i's rack: then the old second copy, the best outside that rack, stays.
func (d *dataCentre) addMember(slot int, p ownerPair, i uint16) ownerPair {
	score := d.score(slot, i)
	switch {
	case score > d.score(slot, p.holder):
		if d.compatible(i, p.holder) {
			return ownerPair{i, p.holder}
		}
		return ownerPair{i, p.second}
	case score > d.score(slot, p.second) && d.compatible(i, p.holder):
		return ownerPair{p.holder, i}
	}
	return p
}

// compatible reports whether two members may own one slot together.
func (d *dataCentre) compatible(i, j uint16) bool {
	return d.racks == 1 || d.members[i].rack != d.members[j].rack
}

// historySize is the number of previous tables kept. They are needed to find
// records that have not been moved to their new owners yet.
const historySize = 16

// PastTable is a table that was in use until another replaced it.
type PastTable struct {
	Table *Table
	Until time.Time
}

// History holds past tables, newest first. It is immutable.
type History []PastTable

// Push returns the history with p as the newest table, dropping the oldest one
// above historySize.
func (h History) Push(p PastTable) History {
	next := make(History, 0, historySize)
	next = append(next, p)
	return append(next, h[:min(len(h), historySize-1)]...)
}
