package entry

import (
	"maps"
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
	// table and targets are what held stands for.
	table   *baobabstep.RoutingTable
	targets []baobabstep.Registration
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
	return &beliefs{router: router, log: logger}
}

// origin says where news came from and how fresh it is.
type origin struct {
	source    string
	confirmed time.Time
}

// holdRoutes takes in a routing table. It returns whether it is a newer one, and
// what it changes of the one before, nil for the first.
func (b *beliefs) holdRoutes(now time.Time, table *baobabstep.RoutingTable, from origin) (changed bool, change *heartbeat.Change, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[heartbeat.Routes]
	switch {
	case table.Version < held.version:
		return false, nil, nil
	case table.Version == held.version:
		held.confirm(from.confirmed)
		return false, nil, nil
	}
	heartbeat.SortRules(table.Rules)
	content, err := heartbeat.EncodeRoutes(table)
	if err != nil {
		return false, nil, err
	}
	b.router.SetTable(now, table)
	next := belief{version: table.Version, sum: heartbeat.Sum(content), content: content, confirmed: from.confirmed}
	if b.table != nil {
		change = heartbeat.RoutesChange(b.table, table, held.sum, next.told(now))
	}
	b.table, *held = table, next
	b.log.WithFields(log.Fields{
		"version": table.Version, "rules": len(table.Rules), "source": from.source, "age_ms": now.Sub(from.confirmed).Milliseconds(),
	}).Info("routing table in force")
	return true, change, nil
}

// holdTargets takes in all registrations as of a revision, and returns as
// holdRoutes does.
func (b *beliefs) holdTargets(now time.Time, list []baobabstep.Registration, revision baobabstep.Revision, from origin) (changed bool, change *heartbeat.Change, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if uint64(revision) < b.held[heartbeat.Targets].version {
		return false, nil, nil
	}
	return b.publish(now, list, revision, from)
}

// changeTargets takes in changes up to a revision. Those that are older than
// what is held came late and say nothing new.
func (b *beliefs) changeTargets(now time.Time, changes []baobabstep.RegistrationChange, revision baobabstep.Revision) (changed bool, change *heartbeat.Change, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[heartbeat.Targets]
	if uint64(revision) <= held.version {
		return false, nil, nil
	}
	registered := make(map[baobabstep.TargetID]baobabstep.Registration, len(b.targets))
	for _, r := range b.targets {
		registered[r.ID] = r
	}
	for i := range changes {
		r := changes[i].Registration
		switch {
		case uint64(changes[i].Revision) <= held.version:
		case changes[i].Gone:
			delete(registered, r.ID)
		default:
			registered[r.ID] = r
		}
	}
	return b.publish(now, slices.Collect(maps.Values(registered)), revision, origin{source: sourceWatch})
}

// publish hands the registrations to the router if they have changed.
func (b *beliefs) publish(now time.Time, list []baobabstep.Registration, revision baobabstep.Revision, from origin) (changed bool, change *heartbeat.Change, err error) {
	heartbeat.SortTargets(list)
	content, err := heartbeat.EncodeTargets(list)
	if err != nil {
		return false, nil, err
	}
	held := &b.held[heartbeat.Targets]
	sum := heartbeat.Sum(content)
	changed = held.version == 0 || sum != held.sum
	next := belief{version: uint64(revision), sum: sum, content: content, confirmed: held.confirmed}
	next.confirm(from.confirmed)
	if changed {
		if held.version > 0 {
			change = heartbeat.TargetsChange(b.targets, list, held.sum, next.told(now))
		}
		b.router.SetRegistrations(now, list)
		b.log.WithFields(log.Fields{"revision": uint64(revision), "targets": len(list), "source": from.source}).Info("targets changed")
	}
	b.targets, *held = list, next
	return changed, change, nil
}

// apply returns what a change of a peer makes of what is held. Errors:
// CodeConflict if it is a change of something else.
func (b *beliefs) apply(c *heartbeat.Change) (*baobabstep.RoutingTable, []baobabstep.Registration, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.Kind == heartbeat.Routes {
		table, err := c.ApplyRoutes(b.table, b.held[heartbeat.Routes].sum)
		return table, nil, err
	}
	list, err := c.ApplyTargets(b.targets, b.held[heartbeat.Targets].sum)
	return nil, list, err
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

// age returns how long ago the store was known to hold nothing newer; false if
// it never was.
func (b *beliefs) age(now time.Time, kind heartbeat.Kind) (time.Duration, bool) {
	confirmed := b.get(kind).confirmed
	return now.Sub(confirmed), !confirmed.IsZero()
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
