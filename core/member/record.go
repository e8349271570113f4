package member

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"baobabstep"
)

// record is what this VM knows of one VM. Known to be dead is kept too, so
// that old news does not bring the dead back.
type record struct {
	vm         baobabstep.VM
	nonce      uint64
	dataCentre *dataCentre
	// since is when the VM became suspect or dead here; for one that is
	// leaving, when it stopped to answer.
	since time.Time
	// changed is the number of the last change of vm; see [Fleet.changes].
	changed uint64
	// sum is the record's share of the digest, 0 for the dead.
	sum uint64
	// acked is the incarnation of this VM that the other one knows.
	acked uint64
	// listed tells that the platform's list named the VM, listedNow that
	// its last version did.
	listed, listedNow bool
	// sendsLeft counts the messages that still have to carry the record as
	// news; queued tells that it is in the queue.
	sendsLeft int
	queued    bool
	// doubted is when the connection to the VM was lost, zero if it has been
	// heard since; shaky tells that it did not answer for a probe timeout.
	doubted time.Time
	shaky   bool
	// accused tells that this VM itself found the other one silent.
	accused bool
	// nextPing is the time of the next extra ping of a suspect.
	nextPing time.Time
	// nextCorrection is the earliest time of the next unasked correction.
	nextCorrection time.Time
}

// dataCentre is what this VM knows of one data centre.
type dataCentre struct {
	key          uint64
	name, region string
	records      []*record // sorted by ID
	digest       uint64
	// lastChanged is the highest number in changed of its records.
	lastChanged uint64
	// beat is the highest beat heard, beatAt when it grew.
	beat   uint64
	beatAt time.Time
	// silent and cut are the judgements of judgeDataCentres.
	silent, cut bool
	role        role
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

// supersedes reports whether vm with nonce is newer than r. The nonce decides
// between two processes that chose the same incarnation; any order would do,
// as long as every VM has the same.
func supersedes(vm baobabstep.VM, nonce uint64, r *record) bool {
	return compareVersions(vm.Incarnation, vm.State, nonce, r) > 0
}

// isNewer reports whether r is newer than what the sender of m says of itself.
func (r *record) isNewer(m *message) bool {
	return compareVersions(m.Incarnation, m.State, m.Nonce, r) < 0
}

func compareVersions(incarnation uint64, state baobabstep.VMState, nonce uint64, r *record) int {
	return cmp.Or(
		cmp.Compare(incarnation, r.vm.Incarnation),
		cmp.Compare(state, r.vm.State),
		cmp.Compare(nonce, r.nonce))
}

// mix returns a well-spread hash of three words.
func mix(a, b, c uint64) uint64 {
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
	return mix(mix(uint64(r.vm.ID), r.vm.Incarnation, uint64(r.vm.State)), r.nonce, 1)
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

// dataCentreOf returns the data centre of vm, which it may have to create. A
// new one counts as just heard of, so that it gets its time to speak.
func (f *Fleet) dataCentreOf(vm baobabstep.VM) *dataCentre {
	key := dataCentreKey(vm.Region, vm.DataCentre)
	d := f.dataCentres[key]
	if d == nil {
		d = &dataCentre{key: key, name: vm.DataCentre, region: vm.Region, beatAt: f.now}
		f.dataCentres[key] = d
		i, _ := slices.BinarySearchFunc(f.sorted, key, func(d *dataCentre, key uint64) int {
			return cmp.Compare(d.key, key)
		})
		f.sorted = slices.Insert(f.sorted, i, d)
	}
	return d
}

// Conditions for pick.
func alive(r *record) bool  { return r.vm.State == baobabstep.VMAlive }
func living(r *record) bool { return r.vm.State != baobabstep.VMDead }
func anyOne(*record) bool   { return true }

// pick returns up to n random records of a data centre, this VM left out.
func (f *Fleet) pick(d *dataCentre, n int, fits func(*record) bool) []*record {
	var picked []*record
	size := len(d.records)
	if size == 0 {
		return nil
	}
	// A few random draws are enough in a large data centre; a walk from a
	// random place finds what there is when few records fit.
	for range 3 * n {
		r := d.records[f.rand.IntN(size)]
		if len(picked) < n && r != f.me && fits(r) && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
	}
	first := f.rand.IntN(size)
	for i := 0; i < size && len(picked) < n; i++ {
		r := d.records[(first+i)%size]
		if r != f.me && fits(r) && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
	}
	return picked
}
