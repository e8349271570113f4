package member

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

// View returns the membership of the own region. The pointer stays the same
// while nothing changed. It does not take the lock unless something did.
func (f *Fleet) View(now time.Time) *baobabstep.View {
	sinceTick := now.Sub(f.start) - time.Duration(f.ticked.Load())
	if v := f.view.Load(); v != nil && !f.stale.Load() && sinceTick <= f.o.PauseLimit {
		return v
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	return f.buildView()
}

func (f *Fleet) buildView() *baobabstep.View {
	old := f.view.Load()
	if old != nil && !f.stale.Load() {
		return old
	}
	f.stale.Store(false)
	v := &baobabstep.View{Number: 1, Self: f.me.vm.ID, ChangedAt: f.now, Unsure: f.unsure()}
	for _, d := range f.sorted {
		if d.region != f.own.region {
			continue
		}
		for _, r := range d.records {
			vm := f.seen(r)
			v.Unsure = v.Unsure || vm.State == baobabstep.VMSuspect && !vm.Joining
			if vm.State <= baobabstep.VMSuspect && !vm.Joining && !d.cut {
				v.Members = append(v.Members, vm)
			}
		}
	}
	slices.SortFunc(v.Members, compareID)
	if old != nil {
		if v.Unsure == old.Unsure && slices.Equal(v.Members, old.Members) {
			return old
		}
		v.Number = old.Number + 1
		if slices.EqualFunc(v.Members, old.Members, sameID) {
			v.ChangedAt = old.ChangedAt
		}
	}
	f.view.Store(v)
	return v
}

// unsure reports what makes a view unsure besides suspects.
func (f *Fleet) unsure() bool {
	return f.pause.on || f.pause.starting || !f.pause.until.IsZero()
}

// seen returns a VM as others of this program should see it: the VMs of a
// silent data centre are suspect, whatever the last news of them was, and so is
// one that does not answer after its connection was lost.
func (f *Fleet) seen(r *record) baobabstep.VM {
	vm := r.vm
	if (r.dataCentre.silent || r.shaky) && vm.State == baobabstep.VMAlive {
		vm.State = baobabstep.VMSuspect
	}
	return vm
}

func compareID(a, b baobabstep.VM) int { return cmp.Compare(a.ID, b.ID) }

func sameID(a, b baobabstep.VM) bool { return a.ID == b.ID }

// All returns every VM known, of all regions and in all states, sorted by ID.
func (f *Fleet) All(now time.Time) []baobabstep.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe(now)
	vms := make([]baobabstep.VM, 0, len(f.known))
	for _, r := range f.known {
		vms = append(vms, f.seen(r))
	}
	slices.SortFunc(vms, compareID)
	return vms
}
