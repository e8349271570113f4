package entry_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/platform/standin"
)

// targetIn starts a target in a data centre.
func (f *fixture) targetIn(n byte, dataCentre string) (*standin.Target, standin.Registration) {
	f.t.Helper()
	target, r := f.target(n)
	r.DataCentre = dataCentre
	f.store.Register(r)
	return target, r
}

// isEvacuated tells whether all VMs say that just these data centres are evacuated.
func (f *fixture) isEvacuated(want ...any) bool {
	return !slices.ContainsFunc(f.vms, func(vm *runningVM) bool { return !slices.Equal(vm.evacuated(), want) })
}

// evacuated returns the data centres that the VM last said are evacuated.
func (vm *runningVM) evacuated() (list []any) {
	for _, l := range vm.log.lines() {
		if l.Message == "evacuations in force" {
			list, _ = l.Fields["evacuated"].([]any)
		}
	}
	return list
}

// Operators empty a data centre, all VMs lose power, and the store refuses
// everything but one VM. The others learn from that one that flows must not go
// there; a copy of the store that is seconds old must not bring them back, and once
// the operators say so they return.
func TestEvacuation(t *testing.T) {
	f := newFixture(t, 95, 2)
	_, r := f.targetIn(1, "b")
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	f.store.SetReplicaLag(true)
	f.store.Evacuate("b")
	f.until("both VMs hold it", func() bool { return f.isEvacuated("b") })
	qt.Assert(t, f.request(2), qt.Equals, standin.Refused)

	for n := range f.vms {
		f.vms[n].cancel()
	}
	for n := range f.vms {
		qt.Assert(t, <-f.vms[n].ended, qt.IsNil)
		f.vms[n] = f.startVM(byte(n + 1))
		if n == 0 {
			f.until("the first VM holds it", func() bool { return len(f.vms[0].evacuated()) == 1 })
			f.store.SetReadFilter(func(key string) bool { return key == "baobabstep/secret" })
		}
	}
	f.until("both hold it again", func() bool { return f.isEvacuated("b") })
	f.until("both are ready", func() bool { return f.fabric.ReadyCount() == 2 })
	qt.Assert(t, f.request(3), qt.Equals, standin.Refused)

	f.store.SetReadFilter(nil)
	f.store.SetReplicaLag(false)
	f.store.EndEvacuation("b")
	f.until("it is taken back", func() bool { return f.isEvacuated() && f.request(4) == standin.Answered })
	f.store.Deregister(r.ID)
}
