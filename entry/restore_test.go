package entry_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/platform/standin"
)

// sawTargets tells whether all VMs hold the number of targets, as they last said.
func (f *fixture) sawTargets(want int) bool {
	return !slices.ContainsFunc(f.vms, func(vm *runningVM) bool { return vm.lastTargets() != want })
}

// lastTargets returns how many targets the VM last said that it holds.
func (vm *runningVM) lastTargets() (targets int) {
	for _, l := range vm.log.lines() {
		if count, ok := l.Fields["targets"].(float64); ok && l.Message == "targets changed" {
			targets = int(count)
		}
	}
	return targets
}

// restoredAfter brings the store back from a backup that lacks some changes.
func (f *fixture) restoredAfter(changes int) {
	f.t.Helper()
	backup := f.store.Backup()
	r := standin.Registration{ID: 0x9999, Service: "other", Address: f.at(2, 99, targetPort), DataCentre: "a"}
	for range changes {
		f.store.Register(r)
	}
	f.until("all VMs know what will be lost", func() bool { return f.sawTargets(2) })
	f.store.Restore(backup)
}

// Guards against requests to a target that leaves after a restore of the store.
func TestLeavingTargetAfterRestore(t *testing.T) {
	f := newFixture(t, 97, 2)
	_, r := f.target(1)
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	f.restoredAfter(100)
	r.Draining = true
	f.store.Register(r)
	f.until("it gets no request any more", func() bool { return f.request(2) == standin.Refused })
	for n := range uint64(20) {
		qt.Assert(t, f.request(100+n), qt.Equals, standin.Refused)
	}
}
