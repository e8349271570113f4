package member

import (
	"net/netip"
	"time"

	"baobabstep"
)

// merge applies an entry. With quiet set, an entry of a new VM is not queued as
// news: a VM that joins a large fleet receives thousands of entries that the
// others already have.
func (f *Fleet) merge(e *entry, quiet bool) {
	if !e.valid() {
		f.stats.Malformed++
		return
	}
	vm := e.vm()
	if vm.ID == f.self.vm.ID {
		f.handleEntryOfSelf(vm, e.Nonce)
		return
	}
	r := f.known[vm.ID]
	switch {
	case r == nil:
		r = f.add(f.now, vm, e.Nonce)
		if !quiet {
			f.queueNews(r)
		}
	case supersedes(vm, e.Nonce, r):
		f.update(r, vm, e.Nonce)
	}
}

// add creates the record of an unknown VM.
func (f *Fleet) add(now time.Time, vm baobabstep.VM, nonce uint64) *record {
	_, listed := f.candidates[vm.ID]
	delete(f.candidates, vm.ID)
	delete(f.candidates, addressSeedID(vm.PeerAddress))
	r := &record{nonce: nonce, stateSince: now, everListed: listed, listed: listed}
	r.vm = vm
	f.known[vm.ID] = r
	d := f.dataCentreOf(vm)
	f.shareStrings(r, d)
	r.sum = r.computeSum()
	d.insert(r)
	f.markChanged(r)
	return r
}

// update replaces the record of a VM and queues it as news.
func (f *Fleet) update(r *record, vm baobabstep.VM, nonce uint64) {
	if vm.State != r.vm.State {
		r.stateSince = f.now
		r.suspectedHere = false
		if vm.State == baobabstep.VMLeaving {
			r.stateSince = time.Time{}
		}
	}
	d := f.dataCentreOf(vm)
	r.dataCentre.remove(r)
	r.vm, r.nonce = vm, nonce
	f.shareStrings(r, d)
	r.sum = r.computeSum()
	d.insert(r)
	f.markChanged(r)
	f.queueNews(r)
}

func (f *Fleet) markChanged(r *record) {
	f.changeCount++
	r.changeNumber = f.changeCount
	r.dataCentre.lastChange = f.changeCount
	f.viewStale.Store(true)
}

// shareStrings interns the strings that many VMs have in common.
func (f *Fleet) shareStrings(r *record, d *dataCentre) {
	r.vm.Region, r.vm.DataCentre = d.region, d.name
	rack, ok := f.racks[r.vm.Rack]
	if !ok {
		rack = r.vm.Rack
		f.racks[rack] = rack
	}
	r.vm.Rack = rack
}

// setState sets the state of another VM by local decision.
func (f *Fleet) setState(r *record, state baobabstep.VMState) {
	vm := r.vm
	vm.State = state
	f.update(r, vm, r.nonce)
}

// raiseIncarnation sets a higher incarnation for this VM.
func (f *Fleet) raiseIncarnation(incarnation uint64) {
	vm := f.self.vm
	if incarnation <= vm.Incarnation || incarnation >= maxIncarnation {
		return
	}
	vm.Incarnation = incarnation
	f.update(f.self, vm, f.self.nonce)
}

// handleEntryOfSelf handles a received entry for this VM: it refutes suspicion and
// death, and detects other processes with the same name.
func (f *Fleet) handleEntryOfSelf(vm baobabstep.VM, nonce uint64) {
	me := f.self.vm
	if vm.Name != me.Name {
		f.stats.DuplicateNames++ // two names with the same ID hash
		return
	}
	if vm.Incarnation < me.Incarnation {
		return
	}
	if nonce != f.self.nonce {
		f.handleDuplicate(vm.Incarnation)
		return
	}
	suspected := vm.State == baobabstep.VMSuspect || vm.State == baobabstep.VMDead
	if vm.Incarnation == me.Incarnation && !suspected {
		return // this VM's own entry, passed back
	}
	f.stats.Refutations++
	if vm.State == baobabstep.VMDead {
		// The others have taken over this VM's flows and requests, so it must stop
		// acting on its records, as after a pause that it detected itself.
		f.beginPause()
	}
	f.raiseIncarnation(vm.Incarnation + 1)
}

// duplicate tracks another process with this VM's name.
type duplicate struct {
	lastSeen  time.Time // time of the last sign
	nextRaise time.Time // earliest time of the next raise
	count     int
}

const (
	// duplicateWindow is the time in which signs of another process are added up.
	duplicateWindow = 30 * time.Second
	// duplicateLimit is the number of signs after which a duplicate is reported.
	// An earlier process of the same VM has stopped and cannot exceed a raised
	// incarnation, but can cause one or two signs while several of its
	// incarnations are still being gossiped.
	duplicateLimit = 4
)

// handleDuplicate handles signs of another process with this VM's name: an earlier
// process, which a higher incarnation supersedes, or a second VM configured with
// the same name, which exceeds each new incarnation. The delay between raises
// grows, so that two such VMs do not flood the fleet.
func (f *Fleet) handleDuplicate(incarnation uint64) {
	if f.now.Before(f.duplicate.nextRaise) {
		return
	}
	f.countDuplicate()
	wait := f.options.ProbeInterval * time.Duration(f.duplicate.count)
	f.duplicate.nextRaise = f.now.Add(min(wait, duplicateWindow/4))
	f.raiseIncarnation(incarnation + 1)
}

func (f *Fleet) countDuplicate() {
	if f.now.Sub(f.duplicate.lastSeen) > duplicateWindow {
		f.duplicate.count = 0
	}
	f.duplicate.lastSeen = f.now
	f.duplicate.count++
	if f.duplicate.count >= duplicateLimit {
		f.stats.DuplicateNames++
	}
}

// DuplicateName reports whether another process seems to use this VM's name.
func (f *Fleet) DuplicateName(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.duplicate.count >= duplicateLimit && now.Sub(f.duplicate.lastSeen) <= duplicateWindow
}

// SetSeeds sets the VMs of the settings or of the platform's list as candidates to
// contact. A list neither makes a VM alive nor, on its own, dead: it only declares
// dead a VM that is already suspect here and that an earlier list named but this
// one omits. An empty list is treated as a platform fault and ignored. A seed may
// consist of its peer address alone.
func (f *Fleet) SetSeeds(now time.Time, vms []baobabstep.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceClock(now)
	named := vms[:0:0]
	for _, vm := range vms {
		if vm.Name == "" {
			f.addAddressSeed(vm)
		} else {
			named = append(named, vm)
		}
	}
	if len(named) > 0 {
		f.applyList(named)
	}
}

// applyList replaces the candidates by a list of VMs with names.
func (f *Fleet) applyList(vms []baobabstep.VM) {
	for _, r := range f.known {
		r.listed = false
	}
	clear(f.candidates)
	for _, vm := range vms {
		vm.ID = baobabstep.MakeVMID(vm.Name)
		r := f.known[vm.ID]
		switch {
		case r == nil:
			f.candidates[vm.ID] = vm
		case r != f.self:
			r.everListed, r.listed = true, true
		}
	}
	f.declareUnlistedDead()
}

// addAddressSeed adds a seed of which only the address is known. Its ID is derived
// from the address and never appears in a message.
func (f *Fleet) addAddressSeed(vm baobabstep.VM) {
	if !vm.PeerAddress.IsValid() || vm.PeerAddress == f.self.vm.PeerAddress {
		return
	}
	for _, r := range f.known {
		if r.vm.PeerAddress == vm.PeerAddress {
			return
		}
	}
	vm.ID = addressSeedID(vm.PeerAddress)
	f.candidates[vm.ID] = vm
}

func addressSeedID(address netip.AddrPort) baobabstep.VMID {
	return baobabstep.MakeVMID("seed " + address.String())
}

func (f *Fleet) declareUnlistedDead() {
	for _, d := range f.sortedDataCentres {
		for _, r := range d.records {
			suspect := r.vm.State == baobabstep.VMSuspect || r.vm.State == baobabstep.VMAlive && d.silent
			if suspect && r.everListed && !r.listed {
				f.declareDead(r)
			}
		}
	}
}

func (f *Fleet) declareDead(r *record) {
	f.stats.Deaths++
	f.setState(r, baobabstep.VMDead)
}

// forgetInterval is the time between two searches for records to forget.
const forgetInterval = 10 * time.Second

// forgetDead deletes records that have been dead for ForgetTimeout.
func (f *Fleet) forgetDead() {
	if f.now.Before(f.nextForget) {
		return
	}
	f.nextForget = f.now.Add(forgetInterval)
	for _, r := range f.known {
		if r.vm.State == baobabstep.VMDead && f.now.Sub(r.stateSince) > f.options.ForgetTimeout {
			r.dataCentre.remove(r)
			delete(f.known, r.vm.ID)
		}
	}
}
