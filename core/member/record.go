package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"baobabstep"
)

// record is what this VM knows of one VM. Records of dead VMs are kept too, so that
// outdated entries do not add them again.
type record struct {
	vm         baobabstep.VM
	nonce      uint64
	dataCentre *dataCentre
	// stateSince is when the VM became suspect or dead here. For a leaving VM it is
	// when the VM stopped answering, zero while it answers.
	stateSince time.Time
	// changeNumber is the number of the last change of vm; see [Fleet.changeCount].
	changeNumber uint64
	// sum is the record's contribution to the digest, 0 for dead VMs.
	sum uint64
	// ackedIncarnation is the incarnation of this VM that the other VM knows.
	ackedIncarnation uint64
	// everListed is set once the platform's list has named the VM, listed if its
	// latest version does.
	everListed, listed bool
	// sendsLeft is the number of messages that still have to carry the record as
	// news; queued is set while it is in the queue.
	sendsLeft int
	queued    bool
	// connectionLostAt is when the connection to the VM was lost, zero if a message
	// arrived since. unresponsive is set if none does within ProbeTimeout.
	connectionLostAt time.Time
	unresponsive     bool
	// suspectedHere is set if this VM's own probe of the other VM failed.
	suspectedHere bool
	// nextPing is the time of the next additional ping of a suspect.
	nextPing time.Time
	// nextCorrection is the earliest time of the next sendCorrection.
	nextCorrection time.Time
}

// dataCentre is what this VM knows of one data centre.
type dataCentre struct {
	key          uint64
	name, region string
	records      []*record // sorted by ID
	digest       uint64
	// lastChange is the highest changeNumber of its records.
	lastChange uint64
	// beat is the highest beat received, beatAt when it last grew.
	beat   uint64
	beatAt time.Time
	// silent is set after DataCentreSilence without a beat, partitioned after a
	// further PartitionTimeout.
	silent, partitioned bool
	role                role
}

func dataCentreKey(region, name string) uint64 {
	return xxhash.Sum64String(region + "/" + name)
}

func (r *record) entry() entry {
	return entry{
		Name: r.vm.Name, Region: r.vm.Region, DataCentre: r.vm.DataCentre, Rack: r.vm.Rack,
		DataAddress: r.vm.DataAddress, PeerAddress: r.vm.PeerAddress,
		Incarnation: r.vm.Incarnation, State: r.vm.State, Joining: r.vm.Joining, Nonce: r.nonce,
	}
}

// supersedes reports whether vm with nonce is newer than r. The nonce orders two
// processes with the same incarnation; any order works if all VMs use the same.
func supersedes(vm baobabstep.VM, nonce uint64, r *record) bool {
	return compareVersions(vm.Incarnation, vm.State, nonce, r) > 0
}

// isNewer reports whether r is newer than the sender's state in the header of m.
func (r *record) isNewer(m *message) bool {
	return compareVersions(m.Incarnation, m.State, m.Nonce, r) < 0
}

func compareVersions(incarnation uint64, state baobabstep.VMState, nonce uint64, r *record) int {
	return cmp.Or(
		cmp.Compare(incarnation, r.vm.Incarnation),
		cmp.Compare(state, r.vm.State),
		cmp.Compare(nonce, r.nonce))
}

// mixHash returns a well-distributed hash of three words.
func mixHash(a, b, c uint64) uint64 {
	h := a
	for _, word := range [...]uint64{b, c} {
		h = (h ^ h>>32) * 0xd6e8feb86659fd93
		h = (h ^ h>>29) * 0x9e3779b97f4a7c15
		h ^= word
	}
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	return h ^ h>>32
}

func (r *record) computeSum() uint64 {
	if r.vm.State == baobabstep.VMDead {
		return 0
	}
	return mixHash(mixHash(uint64(r.vm.ID), r.vm.Incarnation, uint64(r.vm.State)), r.nonce, 1)
}

func findRecord(records []*record, id baobabstep.VMID) (int, bool) {
	return slices.BinarySearchFunc(records, id, func(r *record, id baobabstep.VMID) int {
		return cmp.Compare(r.vm.ID, id)
	})
}

func (d *dataCentre) insert(r *record) {
	i, _ := findRecord(d.records, r.vm.ID)
	d.records = slices.Insert(d.records, i, r)
	d.digest ^= r.sum
	r.dataCentre = d
}

func (d *dataCentre) remove(r *record) {
	i, found := findRecord(d.records, r.vm.ID)
	if found {
		d.records = slices.Delete(d.records, i, i+1)
		d.digest ^= r.sum
	}
}

// dataCentreOf returns the data centre of vm and creates it if necessary. A new one
// gets the full DataCentreSilence before it counts as silent.
func (f *Fleet) dataCentreOf(vm baobabstep.VM) *dataCentre {
	key := dataCentreKey(vm.Region, vm.DataCentre)
	d := f.dataCentres[key]
	if d == nil {
		d = &dataCentre{key: key, name: vm.DataCentre, region: vm.Region, beatAt: f.now}
		f.dataCentres[key] = d
		i, _ := slices.BinarySearchFunc(f.sortedDataCentres, key, func(d *dataCentre, key uint64) int {
			return cmp.Compare(d.key, key)
		})
		f.sortedDataCentres = slices.Insert(f.sortedDataCentres, i, d)
	}
	return d
}

// Conditions for pickRandom.
func alive(r *record) bool   { return r.vm.State == baobabstep.VMAlive }
func notDead(r *record) bool { return r.vm.State != baobabstep.VMDead }
func anyState(*record) bool  { return true }

// pickRandom returns up to n random records of a data centre, except this VM's.
func (f *Fleet) pickRandom(d *dataCentre, n int, match func(*record) bool) []*record {
	var picked []*record
	size := len(d.records)
	if size == 0 {
		return nil
	}
	// A few random draws suffice in a large data centre. The scan from a random
	// start finds the remaining records when few match.
	for range 3 * n {
		r := d.records[f.rand.IntN(size)]
		if len(picked) < n && r != f.self && match(r) && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
	}
	first := f.rand.IntN(size)
	for i := 0; i < size && len(picked) < n; i++ {
		r := d.records[(first+i)%size]
		if r != f.self && match(r) && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
	}
	return picked
}
