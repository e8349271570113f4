package member

import (
	"net/netip"
	"time"

	"baobabstep"
)

// merge takes in an entry. quiet keeps it from being passed on as news, unless
// it changes a record that was known: a VM that joins a large fleet learns of
// thousands, and nobody has to hear of them again.
func (f *Fleet) merge(e *entry, quiet bool) {
	if !e.valid() {
		f.stats.Malformed++
		return
	}
	vm := e.vm()
	if vm.ID == f.me.vm.ID {
		f.hearOfSelf(vm, e.Nonce)
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

// add creates the record of a VM that was not known.
func (f *Fleet) add(now time.Time, vm baobabstep.VM, nonce uint64) *record {
	_, listed := f.candidates[vm.ID]
	delete(f.candidates, vm.ID)
	delete(f.candidates, namelessID(vm.PeerAddress))
	r := &record{nonce: nonce, since: now, listed: listed, listedNow: listed}
	r.vm = vm
	f.known[vm.ID] = r
	d := f.dataCentreOf(vm)
	f.shareStrings(r, d)
	r.sum = r.computeSum()
	d.insert(r)
	f.markChanged(r)
	return r
}

// update replaces what is known of a VM and passes it on.
func (f *Fleet) update(r *record, vm baobabstep.VM, nonce uint64) {
	if vm.State != r.vm.State {
		r.since = f.now
		r.accused = false
		if vm.State == baobabstep.VMLeaving {
			r.since = time.Time{}
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
	f.changes++
	r.changed = f.changes
	r.dataCentre.lastChanged = f.changes
	f.stale.Store(true)
}

// shareStrings keeps one copy of strings that many VMs have in common.
func (f *Fleet) shareStrings(r *record, d *dataCentre) {
	r.vm.Region, r.vm.DataCentre = d.region, d.name
	rack, ok := f.racks[r.vm.Rack]
	if !ok {
		rack = r.vm.Rack
		f.racks[rack] = rack
	}
	r.vm.Rack = rack
}

// setState changes the state of another VM by this VM's own judgement.
func (f *Fleet) setState(r *record, state baobabstep.VMState) {
	vm := r.vm
	vm.State = state
	f.update(r, vm, r.nonce)
}

// raise gives this VM a higher incarnation.
func (f *Fleet) raise(incarnation uint64) {
	vm := f.me.vm
	if incarnation <= vm.Incarnation || incarnation >= maxIncarnation {
		return
	}
	vm.Incarnation = incarnation
	f.update(f.me, vm, f.me.nonce)
}

// hearOfSelf compares what others say of this VM with the truth.
func (f *Fleet) hearOfSelf(vm baobabstep.VM, nonce uint64) {
	me := f.me.vm
	if vm.Name != me.Name {
		f.stats.DuplicateNames++ // two names with one hash
		return
	}
	if vm.Incarnation < me.Incarnation {
		return
	}
	if nonce != f.me.nonce {
		f.hearOfOther(vm.Incarnation)
		return
	}
	doubted := vm.State == baobabstep.VMSuspect || vm.State == baobabstep.VMDead
	if vm.Incarnation == me.Incarnation && !doubted {
		return // an echo
	}
	f.stats.Refutations++
	if vm.State == baobabstep.VMDead {
		// The others have given this VM's work away, so it has to stop
		// acting on its records, as after a pause that it noticed itself.
		f.beginPause()
	}
	f.raise(vm.Incarnation + 1)
}

// duplicate tracks another process with this VM's name.
type duplicate struct {
	last  time.Time // when it was last heard of
	raise time.Time // when the incarnation may be raised again
	count int
}

const (
	// duplicateWindow is the time in which signs of another process add up.
	duplicateWindow = 30 * time.Second
	// duplicateLimit is the number of signs that cannot come from an earlier
	// life: that one is gone and cannot top a raised incarnation. One or two
	// may, when several of its incarnations are still being passed on.
	duplicateLimit = 4
)

// hearOfOther handles news of a process with this VM's name that is not this
// one: an earlier life, which a higher incarnation ends, or a VM with the same
// name in its settings, which tops each incarnation. Raises become rarer, so
// that two such VMs do not fill the fleet with their quarrel.
func (f *Fleet) hearOfOther(incarnation uint64) {
	if f.now.Before(f.duplicate.raise) {
		return
	}
	f.sawDuplicate()
	wait := f.o.ProbeInterval * time.Duration(f.duplicate.count)
	f.duplicate.raise = f.now.Add(min(wait, duplicateWindow/4))
	f.raise(incarnation + 1)
}

func (f *Fleet) sawDuplicate() {
	if f.now.Sub(f.duplicate.last) > duplicateWindow {
		f.duplicate.count = 0
	}
	f.duplicate.last = f.now
	f.duplicate.count++
	if f.duplicate.count >= duplicateLimit {
		f.stats.DuplicateNames++
	}
}

// Duplicate reports whether another process seems to use this VM's name.
func (f *Fleet) Duplicate(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.duplicate.count >= duplicateLimit && now.Sub(f.duplicate.last) <= duplicateWindow
}

// Seeds takes the VMs of the settings or of the platform's list. They are
// candidates to contact; a list proves neither life nor death. Only a VM that
// is suspect here already, and that the list named before and no longer does,
// is declared dead by it. An empty list is a fault of the platform. A seed may
// consist of its peer address alone.
func (f *Fleet) Seeds(now time.Time, vms []baobabstep.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	named := vms[:0:0]
	for _, vm := range vms {
		if vm.Name == "" {
			f.addNameless(vm)
		} else {
			named = append(named, vm)
		}
	}
	if len(named) > 0 {
		f.takeList(named)
	}
}

// takeList takes a list of VMs with names.
func (f *Fleet) takeList(vms []baobabstep.VM) {
	for _, r := range f.known {
		r.listedNow = false
	}
	clear(f.candidates)
	for _, vm := range vms {
		vm.ID = baobabstep.MakeVMID(vm.Name)
		r := f.known[vm.ID]
		switch {
		case r == nil:
			f.candidates[vm.ID] = vm
		case r != f.me:
			r.listed, r.listedNow = true, true
		}
	}
	f.buryUnlisted()
}

// addNameless takes a seed of which only the address is known. It is kept
// under an ID made from the address, which no message ever carries.
func (f *Fleet) addNameless(vm baobabstep.VM) {
	if !vm.PeerAddress.IsValid() || vm.PeerAddress == f.me.vm.PeerAddress {
		return
	}
	for _, r := range f.known {
		if r.vm.PeerAddress == vm.PeerAddress {
			return
		}
	}
	vm.ID = namelessID(vm.PeerAddress)
	f.candidates[vm.ID] = vm
}

func namelessID(address netip.AddrPort) baobabstep.VMID {
	return baobabstep.MakeVMID("seed " + address.String())
}

func (f *Fleet) buryUnlisted() {
	for _, d := range f.sorted {
		for _, r := range d.records {
			suspect := r.vm.State == baobabstep.VMSuspect || r.vm.State == baobabstep.VMAlive && d.silent
			if suspect && r.listed && !r.listedNow {
				f.declareDead(r)
			}
		}
	}
}

func (f *Fleet) declareDead(r *record) {
	f.stats.Deaths++
	f.setState(r, baobabstep.VMDead)
}

// sweepInterval is the time between two searches for records to forget.
const sweepInterval = 10 * time.Second

// sweep forgets the dead after a while.
func (f *Fleet) sweep() {
	if f.now.Before(f.nextSweep) {
		return
	}
	f.nextSweep = f.now.Add(sweepInterval)
	for _, r := range f.known {
		if r.vm.State == baobabstep.VMDead && f.now.Sub(r.since) > f.o.ForgetTimeout {
			r.dataCentre.remove(r)
			delete(f.known, r.vm.ID)
		}
	}
}
