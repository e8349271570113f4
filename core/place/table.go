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
	slots   []pair
}

// member is one VM that may own slots, sorted by id within its data centre.
type member struct {
	id   baobabstep.VMID
	rack string
}

// pair is the owners of one slot, as indexes of members.
type pair struct{ holder, second uint16 }

// none marks the missing second copy of a data centre with one VM.
const none = ^uint16(0)

// New computes the table of a view.
func New(view *baobabstep.View) *Table {
	return (&Table{}).Update(view)
}

// Update returns the table of view. It recomputes only what changed, and
// returns t itself if nothing did.
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
	if p.second != none {
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
		slots:   make([]pair, Slots),
	}
	if d == nil || (d.racks > 1) != (next.racks > 1) || len(d.members) < 2 {
		next.rebuild()
		return next
	}
	next.mend(d)
	return next
}

func countRacks(members []member) int {
	racks := make(map[string]struct{})
	for i := range members {
		racks[members[i].rack] = struct{}{}
	}
	return len(racks)
}

func (d *dataCentre) rebuild() {
	for slot := range d.slots {
		d.slots[slot] = d.best(slot)
	}
}

// best computes the owners of one slot from all members.
func (d *dataCentre) best(slot int) pair {
	first := d.top(slot, func(uint16) bool { return true })
	second := d.top(slot, func(i uint16) bool { return i != first && d.apart(i, first) })
	return pair{first, second}
}

// top returns the member with the best score among those that fit.
func (d *dataCentre) top(slot int, fits func(uint16) bool) uint16 {
	best := none
	var bestScore uint64
	for i := range d.members {
		score := d.score(slot, uint16(i))
		if (best == none || score > bestScore) && fits(uint16(i)) {
			best, bestScore = uint16(i), score
		}
	}
	return best
}

func (d *dataCentre) score(slot int, i uint16) uint64 {
	return mix(uint64(slot)*0x9e3779b97f4a7c15, uint64(d.members[i].id))
}

// mend fills d from the table old: slots that lost an owner are computed anew,
// and the joining members are tried against the owners of all others.
func (d *dataCentre) mend(old *dataCentre) {
	moved, joined := d.compare(old)
	for slot, p := range old.slots {
		holder, second := moved[p.holder], moved[p.second]
		if holder == none || second == none {
			d.slots[slot] = d.best(slot)
			continue
		}
		owners := pair{holder, second}
		for _, i := range joined {
			owners = d.join(slot, owners, i)
		}
		d.slots[slot] = owners
	}
}

// compare returns the new index of each member of old, or none, and the
// indexes of the members that old lacks. A VM that changed racks counts as
// gone and joined.
func (d *dataCentre) compare(old *dataCentre) (moved []uint16, joined []uint16) {
	moved = make([]uint16, len(old.members))
	for i := range moved {
		moved[i] = none
	}
	for i := range d.members {
		at, found := slices.BinarySearchFunc(old.members, d.members[i].id,
			func(m member, id baobabstep.VMID) int { return compareID(m.id, id) })
		if found && old.members[at].rack == d.members[i].rack {
			moved[at] = uint16(i)
			continue
		}
		joined = append(joined, uint16(i))
	}
	return moved, joined
}

// join returns the owners of slot once member i competes for it.
//
// If i wins the slot, the old holder becomes the second copy, unless it shares
// i's rack: then the old second copy, the best outside that rack, stays.
func (d *dataCentre) join(slot int, p pair, i uint16) pair {
	score := d.score(slot, i)
	switch {
	case score > d.score(slot, p.holder):
		if d.apart(i, p.holder) {
			return pair{i, p.holder}
		}
		return pair{i, p.second}
	case score > d.score(slot, p.second) && d.apart(i, p.holder):
		return pair{p.holder, i}
	}
	return p
}

// apart tells whether two members may own one slot together.
func (d *dataCentre) apart(i, j uint16) bool {
	return d.racks == 1 || d.members[i].rack != d.members[j].rack
}

// historySize bounds the previous tables that are kept. A record that waits
// for its repair is found through them.
const historySize = 16

// Past is a table that was in use until another replaced it.
type Past struct {
	Table *Table
	Until time.Time
}

// History holds past tables, the newest first. It is immutable.
type History []Past

// Push returns the history with p as its newest table; the oldest is dropped
// once there are too many.
func (h History) Push(p Past) History {
	next := make(History, 0, historySize)
	next = append(next, p)
	return append(next, h[:min(len(h), historySize-1)]...)
}
