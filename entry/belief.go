package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/core/token"
)

// beliefs are the routes and targets that this VM goes by. Each has a version,
// a source and an age: the time since the store was known to hold nothing newer.
type beliefs struct {
	router *token.Router
	log    log.Interface

	mu   sync.Mutex
	held [2]belief
	// registered are the registrations of held[heartbeat.Targets].
	registered map[baobabstep.TargetID]baobabstep.Registration
}

// belief is what is held of one kind.
type belief struct {
	version, sum uint64
	// content is what travels to other VMs.
	content []byte
	// confirmed is when the store was last known to hold nothing newer.
	confirmed time.Time
}

func newBeliefs(router *token.Router, logger log.Interface) *beliefs {
	return &beliefs{router: router, log: logger, registered: map[baobabstep.TargetID]baobabstep.Registration{}}
}

// origin says where news came from and how fresh it is.
type origin struct {
	source    string
	confirmed time.Time
}

// holdRoutes takes in a routing table and tells whether it is a newer one.
func (b *beliefs) holdRoutes(now time.Time, table *baobabstep.RoutingTable, from origin) (changed bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[heartbeat.Routes]
	switch {
	case table.Version < held.version:
		return false, nil
	case table.Version == held.version:
		held.confirm(from.confirmed)
		return false, nil
	}
	content, err := heartbeat.EncodeRoutes(table)
	if err != nil {
		return false, err
	}
	b.router.SetTable(now, table)
	*held = belief{version: table.Version, sum: heartbeat.Sum(content), content: content, confirmed: from.confirmed}
	b.log.WithFields(log.Fields{
		"version": table.Version, "rules": len(table.Rules), "source": from.source, "age_ms": now.Sub(from.confirmed).Milliseconds(),
	}).Info("routing table in force")
	return true, nil
}

// holdTargets takes in all registrations as of a revision.
func (b *beliefs) holdTargets(now time.Time, list []baobabstep.Registration, revision baobabstep.Revision, from origin) (changed bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[heartbeat.Targets]
	if uint64(revision) < held.version {
		return false, nil
	}
	clear(b.registered)
	for i := range list {
		b.registered[list[i].ID] = list[i]
	}
	changed, err = b.publish(now, revision, from.source)
	held.confirm(from.confirmed)
	return changed, err
}

// changeTargets takes in changes up to a revision. Those that are older than
// what is held came late and say nothing new.
func (b *beliefs) changeTargets(now time.Time, changes []baobabstep.RegistrationChange, revision baobabstep.Revision) (changed bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[heartbeat.Targets]
	if uint64(revision) <= held.version {
		return false, nil
	}
	for i := range changes {
		r := changes[i].Registration
		switch {
		case uint64(changes[i].Revision) <= held.version:
		case changes[i].Gone:
			delete(b.registered, r.ID)
		default:
			b.registered[r.ID] = r
		}
	}
	return b.publish(now, revision, sourceWatch)
}

// publish hands the registrations to the router if they have changed.
func (b *beliefs) publish(now time.Time, revision baobabstep.Revision, source string) (changed bool, err error) {
	list := make([]baobabstep.Registration, 0, len(b.registered))
	for _, r := range b.registered {
		list = append(list, r)
	}
	slices.SortFunc(list, func(x, y baobabstep.Registration) int { return cmp.Compare(x.ID, y.ID) })
	content, err := heartbeat.EncodeTargets(list)
	if err != nil {
		return false, err
	}
	held := &b.held[heartbeat.Targets]
	sum := heartbeat.Sum(content)
	changed = held.version == 0 || sum != held.sum
	held.version, held.sum, held.content = uint64(revision), sum, content
	if changed {
		b.router.SetRegistrations(now, list)
		b.log.WithFields(log.Fields{"revision": uint64(revision), "targets": len(list), "source": source}).Info("targets changed")
	}
	return changed, nil
}

func (h *belief) confirm(at time.Time) {
	if at.After(h.confirmed) {
		h.confirmed = at
	}
}

// confirm notes that the store held nothing newer than what is held at a time.
func (b *beliefs) confirm(kind heartbeat.Kind, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held[kind].confirm(at)
}

// get returns what is held of a kind.
func (b *beliefs) get(kind heartbeat.Kind) belief {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[kind]
}

// age returns how long ago the store was known to hold nothing newer.
func (b *beliefs) age(now time.Time, kind heartbeat.Kind) time.Duration {
	return now.Sub(b.get(kind).confirmed)
}

// told returns what heartbeats say of what is held.
func (b *beliefs) told(now time.Time) (held [2]heartbeat.Held) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for kind := range held {
		held[kind] = b.held[kind].told(now)
	}
	return held
}

func (h *belief) told(now time.Time) heartbeat.Held {
	return heartbeat.MakeHeld(h.version, h.sum, now.Sub(h.confirmed))
}
