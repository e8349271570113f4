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
	// platform. With two, one may be down or paused without delaying a change.
	defaultReaders = 2
	// maxReaderCandidates is the number of VMs, highest in rank, that may read
	// the platform in place of silent readers. A reader counts as silent after
	// readerSilenceTimeout, which is shorter than the membership's detection.
	maxReaderCandidates  = 8
	readerSilenceTimeout = 4 * time.Second
	// treeFanout is the number of children per VM in the announcement trees.
	treeFanout = 4
	// treeCount is the number of announcement trees. A dead VM cuts off its
	// subtree in one tree, but rarely the same VMs in both.
	treeCount = 2
)

// fleet is the view of all VMs that determines their roles. It is immutable.
type fleet struct {
	self baobabstep.VM
	// others are the reachable VMs except self, including those that leave.
	others []baobabstep.VMID
	// localVMs are the VMs of self's data centre, including self.
	localVMs []baobabstep.VMID
	// remoteVMs are the VMs of other data centres.
	remoteVMs []baobabstep.VMID
	// readers are the VMs of each data centre that read the platform.
	readers map[string][]baobabstep.VMID
	// vmCounts is the number of VMs in each data centre.
	vmCounts     map[string]int
	dataCentreOf map[baobabstep.VMID]string
	// readerOrder ranks the VMs of self's data centre: the readers first, then
	// the backup readers.
	readerOrder []baobabstep.VMID
	// firstSeen is when each VM of self's data centre first appeared.
	firstSeen map[baobabstep.VMID]time.Time
}

func newFleet(self baobabstep.VM, all []baobabstep.VM, readers int) fleet {
	f := fleet{
		self: self, localVMs: []baobabstep.VMID{self.ID}, readers: map[string][]baobabstep.VMID{}, vmCounts: map[string]int{},
		dataCentreOf: map[baobabstep.VMID]string{self.ID: self.DataCentre}, firstSeen: map[baobabstep.VMID]time.Time{},
	}
	byCentre := map[string][]baobabstep.VMID{self.DataCentre: {self.ID}}
	for i := range all {
		vm := &all[i]
		if vm.ID == 0 || vm.ID == self.ID || vm.State == baobabstep.VMDead {
			continue
		}
		f.others = append(f.others, vm.ID)
		f.dataCentreOf[vm.ID] = vm.DataCentre
		if vm.State == baobabstep.VMLeaving {
			// A leaving VM still answers but has no role: as a reader it
			// would delay the changes made while it stops.
			continue
		}
		byCentre[vm.DataCentre] = append(byCentre[vm.DataCentre], vm.ID)
		if vm.DataCentre == self.DataCentre {
			f.localVMs = append(f.localVMs, vm.ID)
		} else {
			f.remoteVMs = append(f.remoteVMs, vm.ID)
		}
	}
	for centre, vms := range byCentre {
		f.vmCounts[centre] = len(vms)
		ordered := rendezvousOrder(vms, readerSalt)
		if centre == self.DataCentre {
			f.readerOrder = ordered
		}
		f.readers[centre] = ordered[:min(readers, len(ordered))]
	}
	return f
}

// readerSalt makes the choice of readers independent of the order in the trees.
const readerSalt = ^uint64(0)

// rendezvousOrder orders VMs by rendezvous hashing with salt. All VMs with the
// same view compute the same order, and adding or removing a VM does not reorder
// the others.
func rendezvousOrder(vms []baobabstep.VMID, salt uint64) []baobabstep.VMID {
	out := slices.Clone(vms)
	weight := make(map[baobabstep.VMID]uint64, len(out))
	for _, id := range out {
		weight[id] = hash64(uint64(id), salt)
	}
	slices.SortFunc(out, func(a, b baobabstep.VMID) int {
		return cmp.Or(cmp.Compare(weight[b], weight[a]), cmp.Compare(a, b))
	})
	return out
}

func hash64(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// precedingReaders returns the VMs of the data centre that rank above self, and
// whether self ranks high enough to be a reader or backup reader.
func (f *fleet) precedingReaders() ([]baobabstep.VMID, bool) {
	position := slices.Index(f.readerOrder, f.self.ID)
	return f.readerOrder[:position], position < maxReaderCandidates
}

// announceTo returns the VMs to which this VM announces a version: its children in
// each tree of its data centre, the readers there, which track the versions of
// all VMs, and, if it is a reader itself, the roots of the trees and one reader
// of each other data centre.
func (f *fleet) announceTo(version uint64, reader bool) []baobabstep.VMID {
	var out []baobabstep.VMID
	add := func(id baobabstep.VMID) {
		if id != f.self.ID && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	for tree := range uint64(treeCount) {
		order := rendezvousOrder(f.localVMs, version*treeCount+tree)
		position := slices.Index(order, f.self.ID)
		for i := treeFanout*position + 1; i <= treeFanout*position+treeFanout && i < len(order); i++ {
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
