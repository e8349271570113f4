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

// allEvacuated reports whether all VMs logged exactly these data centres as evacuated.
func (f *fixture) allEvacuated(want ...any) bool {
	return !slices.ContainsFunc(f.vms, func(vm *runningVM) bool { return !slices.Equal(vm.lastEvacuated(), want) })
}

// lastEvacuated returns the data centres that the VM logged last as evacuated.
func (vm *runningVM) lastEvacuated() (list []any) {
	for _, l := range vm.log.lines() {
		if l.Message == "evacuations in force" {
			list, _ = l.Fields["evacuated"].([]any)
		}
	}
	return list
}

// Guards against flows into an evacuated data centre after all VMs restart. The store refuses
// all reads but those of one VM, and the other VMs receive the evacuation from that one. A
// replica of the store that is seconds old does not end it; the end by the operators does.
func TestEvacuation(t *testing.T) {
	f := newFixture(t, 95, 2)
	_, r := f.targetIn(1, "b")
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	f.store.SetReplicaLag(true)
	f.store.Evacuate("b")
	f.eventually("both VMs apply the evacuation", func() bool { return f.allEvacuated("b") })
	qt.Assert(t, f.request(2), qt.Equals, standin.Refused)

	for n := range f.vms {
		f.vms[n].cancel()
	}
	for n := range f.vms {
		qt.Assert(t, <-f.vms[n].ended, qt.IsNil)
		f.vms[n] = f.startVM(byte(n + 1))
		if n == 0 {
			f.eventually("the first VM applies the evacuation", func() bool { return len(f.vms[0].lastEvacuated()) == 1 })
			f.store.SetReadFilter(func(key string) bool { return key == "baobabstep/secret" })
		}
	}
	f.eventually("both VMs apply the evacuation again", func() bool { return f.allEvacuated("b") })
	f.eventually("both VMs are ready", func() bool { return f.fabric.ReadyCount() == 2 })
	qt.Assert(t, f.request(3), qt.Equals, standin.Refused)

	f.store.SetReadFilter(nil)
	f.store.SetReplicaLag(false)
	f.store.EndEvacuation("b")
	f.eventually("the end of the evacuation is in force", func() bool { return f.allEvacuated() && f.request(4) == standin.Answered })
	f.store.Deregister(r.ID)
}
