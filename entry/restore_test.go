package entry_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"baobabstep/platform/standin"
)

// allReportTargets reports whether the number of targets that each VM logged last is as given.
func (f *fixture) allReportTargets(want int) bool {
	return !slices.ContainsFunc(f.vms, func(vm *runningVM) bool { return vm.lastTargetCount() != want })
}

// lastTargetCount returns the number of targets that the VM logged last.
func (vm *runningVM) lastTargetCount() (targets int) {
	for _, l := range vm.log.lines() {
		if count, ok := l.Fields["targets"].(float64); ok && l.Message == "targets changed" {
			targets = int(count)
		}
	}
	return targets
}

// restoreAfterChanges restores the store from a backup that lacks some changes.
func (f *fixture) restoreAfterChanges(changes int) {
	f.t.Helper()
	backup := f.store.Backup()
	r := standin.Registration{ID: 0x9999, Service: "other", Address: f.address(2, 99, targetPort), DataCentre: "a"}
	for range changes {
		f.store.Register(r)
	}
	f.eventually("all VMs have the changes that will be lost", func() bool { return f.allReportTargets(2) })
	f.store.Restore(backup)
}

// Guards against requests to a target that drains after a restore of the store.
func TestLeavingTargetAfterRestore(t *testing.T) {
	f := newFixture(t, 97, 2)
	_, r := f.target(1)
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	f.restoreAfterChanges(100)
	r.Draining = true
	f.store.Register(r)
	f.eventually("the draining target gets no new request", func() bool { return f.request(2) == standin.Refused })
	for n := range uint64(20) {
		qt.Assert(t, f.request(100+n), qt.Equals, standin.Refused)
	}
}

const secretKey = "baobabstep/secret"

// restoreWithoutSecret restores the store from a backup that lacks the fleet's secret, and
// returns the lost secret. The secret other, if not nil, is written before any VM reads the
// store.
func (f *fixture) restoreWithoutSecret(other []byte) (lost []byte) {
	f.t.Helper()
	f.target(1)
	f.eventually("a request is answered", func() bool { return f.request(1) == standin.Answered })
	f.eventually("the fleet has a secret", func() bool { return len(f.store.Value(secretKey)) > 0 })
	lost = f.store.Value(secretKey)
	f.store.SetReadFilter(func(string) bool { return false })
	f.store.Write(secretKey, other)
	f.store.Restore(f.store.Backup())
	f.store.SetReadFilter(nil)
	return lost
}

// Guards against a fleet in two parts that cannot exchange messages: VMs from before a restore
// that lost the secret, and VMs that start after it and create another one.
func TestSecretAfterRestore(t *testing.T) {
	t.Run("the lost secret is written again", func(t *testing.T) {
		f := newFixture(t, 98, 2)
		lost := f.restoreWithoutSecret(nil)
		f.eventually("the secret is in the store again", func() bool { return slices.Equal(f.store.Value(secretKey), lost) })
	})
	t.Run("a secret that was written first is adopted", func(t *testing.T) {
		f := newFixture(t, 99, 1)
		other := []byte("a secret of a VM that started just now")
		f.restoreWithoutSecret(other)
		f.eventually("the VM adopted the other secret", func() bool { return f.logged("secret replaced", func(map[string]any) bool { return true }) })
		f.store.SetReadFilter(func(key string) bool { return key == secretKey })
		f.vms = append(f.vms, f.startVM(2))
		f.eventually("the second VM gets routes from the first", func() bool {
			return f.logged("routing table in force", func(fields map[string]any) bool { return fields["source"] == "peer" })
		})
		qt.Assert(t, f.store.Value(secretKey), qt.DeepEquals, other)
	})
}
