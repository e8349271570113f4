package member

import (
	"cmp"
	"slices"
	"time"

	"baobabstep"
)

// View returns the membership of the own region. The pointer stays the same while
// nothing changes, and the lock is only taken after a change or a pause.
func (f *Fleet) View(now time.Time) *baobabstep.View {
	sinceTick := now.Sub(f.start) - time.Duration(f.lastTick.Load())
	if v := f.view.Load(); v != nil && !f.viewStale.Load() && sinceTick <= f.options.PauseLimit {
		return v
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceClock(now)
	return f.buildView()
}

func (f *Fleet) buildView() *baobabstep.View {
	old := f.view.Load()
	if old != nil && !f.viewStale.Load() {
		return old
	}
	f.viewStale.Store(false)
	v := &baobabstep.View{Number: 1, Self: f.self.vm.ID, ChangedAt: f.now, Unsure: f.unsure()}
	for _, d := range f.sortedDataCentres {
		if d.region != f.own.region {
			continue
		}
		for _, r := range d.records {
			vm := f.effectiveVM(r)
			v.Unsure = v.Unsure || vm.State == baobabstep.VMSuspect && !vm.Joining
			if vm.State <= baobabstep.VMSuspect && !vm.Joining && !d.partitioned {
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

// unsure reports whether the view is unsure for reasons other than suspects.
func (f *Fleet) unsure() bool {
	return f.pause.active || f.pause.starting || !f.pause.unsureUntil.IsZero()
}

// effectiveVM returns a VM with the state that the rest of the program sees: alive
// VMs of a silent data centre are suspect, and so is a VM that does not answer
// after its connection was lost.
func (f *Fleet) effectiveVM(r *record) baobabstep.VM {
	vm := r.vm
	if (r.dataCentre.silent || r.unresponsive) && vm.State == baobabstep.VMAlive {
		vm.State = baobabstep.VMSuspect
	}
	return vm
}

func compareID(a, b baobabstep.VM) int { return cmp.Compare(a.ID, b.ID) }

func sameID(a, b baobabstep.VM) bool { return a.ID == b.ID }

// All returns every known VM, of all regions and in all states, sorted by ID.
func (f *Fleet) All(now time.Time) []baobabstep.VM {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceClock(now)
	vms := make([]baobabstep.VM, 0, len(f.known))
	for _, r := range f.known {
		vms = append(vms, f.effectiveVM(r))
	}
	slices.SortFunc(vms, compareID)
	return vms
}
