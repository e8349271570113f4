package config

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"baobabstep"
)

const (
	// defaultReaders is the number of VMs per data centre that read the
	// platform: one may be down or paused without delaying a change.
	defaultReaders = 2
	// maxStandIns is the number of VMs, first by rank, that watch those above
	// them, and silentAfter the silence after which one counts as gone. The
	// membership notices a death too, later and for all.
	maxStandIns = 8
	silentAfter = 4 * time.Second
	// fanout is the number of children in the tree that offers travel along.
	fanout = 4
	// trees is the number of trees. A VM that died takes its subtree with
	// it in one tree, hardly in both.
	trees = 2
)

// fleet is what the roles of the VMs follow from. It is immutable.
type fleet struct {
	self baobabstep.VM
	// others are the VMs that can be talked to, without self.
	others []baobabstep.VMID
	// near are the VMs of self's data centre, with self.
	near []baobabstep.VMID
	// far are the VMs of other data centres.
	far []baobabstep.VMID
	// readers are the readers of each data centre.
	readers map[string][]baobabstep.VMID
	// sizes counts the VMs of each data centre.
	sizes   map[string]int
	centres map[baobabstep.VMID]string
	// order ranks the VMs of self's data centre; the first are the readers,
	// and the next stand in for those that fall silent.
	order []baobabstep.VMID
	// since says when a VM of the data centre first appeared.
	since map[baobabstep.VMID]time.Time
}

func newFleet(self baobabstep.VM, all []baobabstep.VM, readers int) fleet {
	f := fleet{
		self: self, near: []baobabstep.VMID{self.ID}, readers: map[string][]baobabstep.VMID{}, sizes: map[string]int{},
		centres: map[baobabstep.VMID]string{self.ID: self.DataCentre}, since: map[baobabstep.VMID]time.Time{},
	}
	byCentre := map[string][]baobabstep.VMID{self.DataCentre: {self.ID}}
	for i := range all {
		vm := &all[i]
		if vm.ID == 0 || vm.ID == self.ID || vm.State == baobabstep.VMDead {
			continue
		}
		f.others = append(f.others, vm.ID)
		f.centres[vm.ID] = vm.DataCentre
		if vm.State == baobabstep.VMLeaving {
			// It still answers, and has no roles any more: a reader that
			// stops would delay the changes of its last moments.
			continue
		}
		byCentre[vm.DataCentre] = append(byCentre[vm.DataCentre], vm.ID)
		if vm.DataCentre == self.DataCentre {
			f.near = append(f.near, vm.ID)
		} else {
			f.far = append(f.far, vm.ID)
		}
	}
	for centre, vms := range byCentre {
		f.sizes[centre] = len(vms)
		ordered := rank(vms, readerSalt)
		if centre == self.DataCentre {
			f.order = ordered
		}
		f.readers[centre] = ordered[:min(readers, len(ordered))]
	}
	return f
}

// readerSalt separates the choice of readers from the order of the trees.
const readerSalt = ^uint64(0)

// rank orders VMs by rendezvous over salt: all VMs with the same view get the
// same order, and a VM that comes or goes moves no other.
func rank(vms []baobabstep.VMID, salt uint64) []baobabstep.VMID {
	out := slices.Clone(vms)
	weight := make(map[baobabstep.VMID]uint64, len(out))
	for _, id := range out {
		weight[id] = mix(uint64(id), salt)
	}
	slices.SortFunc(out, func(a, b baobabstep.VMID) int {
		return cmp.Or(cmp.Compare(weight[b], weight[a]), cmp.Compare(a, b))
	})
	return out
}

func mix(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// above returns the VMs of the data centre that would read before self does, or
// false if self is too far down to stand in.
func (f *fleet) above() ([]baobabstep.VMID, bool) {
	at := slices.Index(f.order, f.self.ID)
	return f.order[:at], at < maxStandIns
}

// children returns the VMs that this VM offers a version to: its children in
// each tree of its data centre, the readers there, to whom all report, and, if
// it reads the platform itself, the roots and one reader of each other data
// centre.
func (f *fleet) children(version uint64, reader bool) []baobabstep.VMID {
	var out []baobabstep.VMID
	add := func(id baobabstep.VMID) {
		if id != f.self.ID && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	for tree := range uint64(trees) {
		order := rank(f.near, version*trees+tree)
		at := slices.Index(order, f.self.ID)
		for i := fanout*at + 1; i <= fanout*at+fanout && i < len(order); i++ {
			add(order[i])
		}
		if reader {
			add(order[0])
		}
	}
	for centre, readers := range f.readers {
		if centre == f.self.DataCentre {
			for _, id := range readers {
				add(id)
			}
		} else if reader {
			add(readers[int(version)%len(readers)])
		}
	}
	return out
}
