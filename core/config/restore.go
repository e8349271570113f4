package config

import (
	"slices"

	"baobabstep"
)

// isSetBack tells whether the store's version, by the head that was read last, is older
// than what is in force here.
func (a *Accept) isSetBack() bool {
	return a.o.Current != nil && a.head.Version < a.o.Current.Manifest.Version
}

// prepareRestore makes the writes that give a store that was set back what is in force
// here: what was accepted may not revert, and a change on top of the older version
// would be given a number that is in use. The store's head still is the one value
// that counts: whoever writes it first has restored the store.
func (a *Accept) prepareRestore() Step {
	current := a.o.Current
	var there map[Digest]struct{}
	if a.before != nil {
		there = a.before.reachable()
	}
	lost := map[Digest][]byte{}
	for d := range current.reachable() {
		if _, ok := there[d]; ok {
			continue
		}
		b, ok := a.lookup(d)
		if !ok || a.change.DryRun {
			return a.fail(baobabstep.Errorf(baobabstep.CodeOldVersion, "config.restore",
				"the platform has version %d although version %d is in force: its store was set back and cannot be restored by this command; nothing was accepted", a.head.Version, current.Manifest.Version))
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
// as far as manifests are here.
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
