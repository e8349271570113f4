package config

import (
	"strings"

	"baobabstep"
)

// Garbage returns the objects that the version named by head does not use, of
// those listed from the platform. CodeIncomplete says that the list lacks an
// object in use; then nothing may be removed.
//
// An accept under way may be about to use one of them. So the collector, after
// listing, writes the head with a greater Collections, which makes every accept
// that began earlier start again; and it removes each object only at the
// revision that was listed. An accept that finds an object present writes it
// anew, which changes its revision. However long the collector is paused in
// between, it can then remove only what no accept has touched since.
func Garbage(head *Head, listed []baobabstep.KeyValue) ([]baobabstep.KeyValue, error) {
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
