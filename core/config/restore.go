package config

import (
	"slices"

	"baobabstep"
)

// storeRolledBack reports whether the head read last has an older version than the
// one in force on this VM.
func (a *Accept) storeRolledBack() bool {
	return a.o.Current != nil && a.head.Version < a.o.Current.Manifest.Version
}

// prepareRestore makes the writes that bring a rolled-back store to the version in
// force on this VM. Accepted changes must not revert, and a change on top of the
// older version would reuse a version number. The restore commits with the
// compare-and-swap of the head, so only one VM's restore takes effect.
func (a *Accept) prepareRestore() Step {
	current := a.o.Current
	var there map[Digest]struct{}
	if a.baseSet != nil {
		there = a.baseSet.reachable()
	}
	lost := map[Digest][]byte{}
	for d := range current.reachable() {
		if _, ok := there[d]; ok {
			continue
		}
		b, ok := a.lookup(d)
		if !ok || a.change.DryRun {
			return a.fail(baobabstep.Errorf(baobabstep.CodeOldVersion, "config.restore",
				"the platform has version %d although version %d is in force: its store was rolled back and cannot be restored by this command; nothing was accepted", a.head.Version, current.Manifest.Version))
		}
		lost[d] = b
	}
	a.objects = lost
	a.newHead = a.head.next(current, a.lostChanges()...)
	a.orderWrites(current.Digest)
	return a.writeNext()
}

// lostChanges returns the changes since the store's version, oldest first, and adds
// the manifests that hold their audit entries to the objects to write. It goes back
// as far as manifests are available on this VM.
func (a *Accept) lostChanges() (changes []ChangeID) {
	for m := a.o.Current.Manifest; m.Version > a.head.Version; {
		changes = append(changes, ChangeID{m.Entry.ChangeID, m.Version})
		b, ok := a.lookup(m.Previous)
		if !ok {
			break
		}
		previous, err := DecodeManifest(b)
		if err != nil {
			break
		}
		if previous.Version > a.head.Version {
			a.objects[m.Previous] = b
		}
		m = previous
	}
	slices.Reverse(changes)
	return changes
}
