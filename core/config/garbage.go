package config

import (
	"strings"

	"baobabstep"
)

// UnusedObjects returns the listed objects that the version of head does not use. It
// returns CodeIncomplete if the list lacks an object in use; then nothing may be
// removed.
//
// A concurrent accept may be about to use one of the objects. The collector
// therefore lists the objects, then writes the head with an incremented
// Collections, which restarts every accept that began earlier, and removes each
// object only at its listed revision. An accept that finds an object present
// rewrites it, which changes its revision. So the collector removes only objects
// that no accept has used since the listing, however long it was paused.
func UnusedObjects(head *Head, listed []baobabstep.KeyValue) ([]baobabstep.KeyValue, error) {
	objects := make(map[Digest][]byte, len(listed))
	for _, kv := range listed {
		objects[MakeDigest(kv.Value)] = kv.Value
	}
	set, missing, err := NewBuilder().Build(head.Manifest, func(d Digest) ([]byte, bool) {
		b, ok := objects[d]
		return b, ok
	}, nil)
	if err != nil {
		return nil, err
	}
	if len(missing) > 0 {
		return nil, baobabstep.Errorf(baobabstep.CodeIncomplete, "config.garbage", "got a list without %d objects in use", len(missing))
	}
	used := set.reachable()
	var out []baobabstep.KeyValue
	for _, kv := range listed {
		var d Digest
		name, ok := strings.CutPrefix(kv.Key, ObjectPrefix)
		if !ok || d.UnmarshalText([]byte(name)) != nil {
			continue
		}
		if _, ok := used[d]; !ok {
			out = append(out, kv)
		}
	}
	return out, nil
}
