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

const secretKey = "baobabstep/secret"

// withoutSecret brings the store back from a backup that lacks the fleet's secret, and
// returns that. Another one, if there is any, is written before a VM sees it.
func (f *fixture) withoutSecret(other []byte) (lost []byte) {
	f.t.Helper()
	f.target(1)
	f.until("a request is answered", func() bool { return f.request(1) == standin.Answered })
	f.until("the fleet has a secret", func() bool { return len(f.store.Value(secretKey)) > 0 })
	lost = f.store.Value(secretKey)
	f.store.SetReadFilter(func(string) bool { return false })
	f.store.Write(secretKey, other)
	f.store.Restore(f.store.Backup())
	f.store.SetReadFilter(nil)
	return lost
}

// Guards against a fleet in two halves that cannot read each other: VMs from before a
// restore that lost the secret, and VMs that start after it and make another one.
func TestSecretOverARestore(t *testing.T) {
	t.Run("it is written again", func(t *testing.T) {
		f := newFixture(t, 98, 2)
		lost := f.withoutSecret(nil)
		f.until("it is back", func() bool { return slices.Equal(f.store.Value(secretKey), lost) })
	})
	t.Run("another one that came first is taken over", func(t *testing.T) {
		f := newFixture(t, 99, 1)
		other := []byte("a secret of a VM that started just now")
		f.withoutSecret(other)
		f.until("the VM noticed", func() bool { return f.logged("secret replaced", func(map[string]any) bool { return true }) })
		f.store.SetReadFilter(func(key string) bool { return key == secretKey })
		f.vms = append(f.vms, f.startVM(2))
		f.until("both hear each other", func() bool {
			return f.logged("routing table in force", func(fields map[string]any) bool { return fields["source"] == "peer" })
		})
		qt.Assert(t, f.store.Value(secretKey), qt.DeepEquals, other)
	})
}
