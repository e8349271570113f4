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

// beliefs are the routes, targets and evacuations that this VM goes by. Each has a
// revision, a source and an age: the time since the store was known to hold nothing
// newer.
type beliefs struct {
	router *token.Router
	log    log.Interface
	limits LogLimits
	// passedOver counts news that was older than what is held, by source.
	passedOver map[string]uint64

	mu   sync.Mutex
	held [heartbeat.Kinds]belief
	// era is the newest of the store that was heard of, and restoredAt when it replaced
	// an earlier one; zero if it never did.
	era        uint64
	restoredAt time.Time
	// restored receives a value after each restore.
	restored chan struct{}
	// table, targets and evacuated are what held stands for.
	table     *baobabstep.RoutingTable
	targets   *heartbeat.Registrations
	evacuated []string
	// history holds the latest changes to targets.
	history heartbeat.History
	// unapplied holds the changes to targets by sections that are not yet applied to
	// the router.
	unapplied heartbeat.Difference
	// lastSectionAt is when targets were last changed by a section or by the first page
	// of the store.
	lastSectionAt time.Time
	// sectionsMissing is set while targets have been changed by sections but do not yet
	// equal those of the sender.
	sectionsMissing bool
	// inForce are the data centres that get no flow, which differ from evacuated
	// while merge is set.
	inForce []string
	merge   *evacuationMerge
}

// belief is what is held of one kind.
type belief struct {
	// revision is the store's; that of routes is the table's version.
	revision baobabstep.Revision
	sum      uint64
	// content is what travels to other VMs; that of targets is made when one
	// asks for it.
	content []byte
	// confirmed is when the store was last known to hold nothing newer.
	confirmed time.Time
	// unconfirmed is set while all that is known of the content is that a copy of
	// the store held it.
	unconfirmed bool
	// revisionFromCopy is set while the revision is known only from a copy of the store.
	// A copy can be ahead of a store that was restored from a backup, so content read
	// from the store itself replaces it even if its revision is lower.
	revisionFromCopy bool
}

func newBeliefs(router *token.Router, logger log.Interface, limits LogLimits) *beliefs {
	return &beliefs{
		router: router, log: logger, limits: limits, passedOver: make(map[string]uint64), restored: make(chan struct{}, 1),
		targets: heartbeat.NoRegistrations(),
	}
}

// passedOverClass is the class of lines about news that was passed over.
const passedOverClass = "news passed over"

// passOver notes news that is older than what is held. What other VMs tell late is
// only counted. The caller holds b.mu.
func (b *beliefs) passOver(now time.Time, kind heartbeat.Kind, offered baobabstep.Revision, from origin) {
	b.passedOver[from.source]++
	if from.source == sourcePeer || !b.limits.Wanted(now, passedOverClass) {
		return
	}
	held := &b.held[kind]
	b.log.WithFields(log.Fields{
		"kind": kind.String(), "source": from.source, "offered": offered.Number, "offered_era": offered.Era,
		"held": held.revision.Number, "held_era": held.revision.Era,
		"age_ms": now.Sub(held.confirmed).Milliseconds(),
	}).Warn("news passed over")
}

// passedOverCounts returns how often news was passed over, by source.
func (b *beliefs) passedOverCounts() map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := make(map[string]float64)
	for _, source := range newsSources {
		counts[source] = float64(b.passedOver[source])
	}
	return counts
}

// origin says where news came from and how fresh it is.
type origin struct {
	source    string
	confirmed time.Time
	// recent is set for what a copy of the store held.
	recent bool
}

// holdRoutes takes in a routing table. It returns whether it is a newer one, and
// what it changes of the one before, nil for the first.
func (b *beliefs) holdRoutes(now time.Time, table *baobabstep.RoutingTable, from origin) (changed bool, change *heartbeat.Change, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[heartbeat.Routes]
	revision := tableRevision(table)
	switch {
	case revision.Before(held.revision):
		b.passOver(now, heartbeat.Routes, revision, from)
		if from.source == sourceStore {
			held.confirm(from.confirmed) // all that the store holds is older
		}
		return false, nil, nil
	case revision == held.revision:
		held.confirm(from.confirmed)
		return false, nil, nil
	}
	heartbeat.SortTable(table)
	content, err := heartbeat.EncodeRoutes(table)
	if err != nil {
		return false, nil, err
	}
	b.router.SetTable(now, table)
	next := belief{revision: revision, sum: heartbeat.Sum(content), content: content, confirmed: from.confirmed, unconfirmed: from.recent}
	if b.table != nil {
		change = heartbeat.RoutesChange(b.table, table, held.sum, next.told(now))
	}
	b.table, *held = table, next
	b.log.WithFields(log.Fields{
		"version": table.Version, "rules": len(table.Rules), "source": from.source, "age_ms": now.Sub(from.confirmed).Milliseconds(),
	}).Info("routing table in force")
	return true, change, nil
}

// tableRevision returns the revision of a routing table. Operators number tables
// themselves and never go back, whatever becomes of the store.
func tableRevision(table *baobabstep.RoutingTable) baobabstep.Revision {
	return baobabstep.Revision{Number: table.Version}
}

// isHeld tells whether anything is held.
func (h *belief) isHeld() bool { return h.revision != baobabstep.Revision{} }

// move sets the revision of what is held of a kind. The first one of a later era tells
// that the store was restored; the router has to know before it gets what the store
// holds then. The caller holds b.mu.
func (b *beliefs) move(now time.Time, kind heartbeat.Kind, to baobabstep.Revision) {
	known := b.held[heartbeat.Targets].isHeld() || b.held[heartbeat.Evacuations].isHeld()
	b.held[kind].revision = to
	if kind == heartbeat.Targets {
		b.history.Move(to)
	}
	if to.Era <= b.era {
		return
	}
	b.era = to.Era
	if !known {
		return
	}
	b.restoredAt = now
	b.router.StoreRestored(now)
	select {
	case b.restored <- struct{}{}:
	default:
	}
	b.log.WithFields(log.Fields{"era": to.Era, "revision": to.Number, "kind": kind.String()}).Warn("store restored")
}

// holdTargets takes in all registrations as of a revision, and returns as
// holdRoutes does.
func (b *beliefs) holdTargets(now time.Time, list []baobabstep.Registration, revision baobabstep.Revision, from origin) (changed bool, change *heartbeat.Change, err error) {
	next, err := heartbeat.NewRegistrations(list)
	if err != nil {
		return false, nil, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[heartbeat.Targets]
	if from.source == sourceStore && !held.revisionFromCopy && revision.Era == held.revision.Era && revision.Before(held.revision) {
		if merged := b.mergeHistory(next, revision); merged != nil {
			next, list, revision = merged, merged.List(), held.revision
		}
	}
	first := !held.isHeld()
	if !b.differs(now, heartbeat.Targets, next.Sum(), revision, from) {
		return false, nil, nil
	}
	var d heartbeat.Difference
	if !first {
		d = b.targets.To(next)
		b.history.Add(held.revision, revision, d)
	}
	b.targets = next
	oldSum := b.replace(now, heartbeat.Targets, next.Sum(), revision, from)
	if !first {
		change = heartbeat.TargetsChange(d, oldSum, held.told(now))
	}
	b.unapplied, b.sectionsMissing = heartbeat.Difference{}, false
	b.router.SetRegistrations(now, list)
	b.logTargets(from)
	return true, change, nil
}

// mergeHistory applies to next, which was read from the store at an older revision, the
// changes in the history since then. It returns nil if the history does not reach back
// that far or on an error. Without the merge, no read would confirm what is held while changes
// arrive faster than all pages can be read, and every VM would read the store itself. The
// caller holds b.mu.
func (b *beliefs) mergeHistory(next *heartbeat.Registrations, revision baobabstep.Revision) *heartbeat.Registrations {
	d, ok := b.history.Since(revision)
	if !ok {
		return nil
	}
	if err := next.Apply(d); err != nil {
		return nil
	}
	return next
}

// differs tells whether news of a kind that the store numbers has another content than
// what is held. News that is older is passed over, the same content is confirmed. The
// caller holds b.mu.
func (b *beliefs) differs(now time.Time, kind heartbeat.Kind, sum uint64, revision baobabstep.Revision, from origin) bool {
	held := &b.held[kind]
	overridden := held.revisionFromCopy && from.source == sourceStore
	switch {
	case revision.Before(held.revision) && !overridden:
		b.passOver(now, kind, revision, from)
		return false
	case held.isHeld() && sum == held.sum:
		b.move(now, kind, revision)
		held.revisionFromCopy = from.recent
		held.confirm(from.confirmed)
		return false
	}
	return true
}

// replace makes a kind stand for another content, and returns the checksum before. The
// caller holds b.mu.
func (b *beliefs) replace(now time.Time, kind heartbeat.Kind, sum uint64, revision baobabstep.Revision, from origin) (oldSum uint64) {
	held := &b.held[kind]
	oldSum = held.sum
	b.move(now, kind, revision)
	held.sum, held.content = sum, nil
	held.confirm(from.confirmed)
	held.unconfirmed, held.revisionFromCopy = from.recent, from.recent
	return oldSum
}

func (b *beliefs) logTargets(from origin) {
	b.log.WithFields(log.Fields{
		"revision": b.held[heartbeat.Targets].revision.Number, "era": b.held[heartbeat.Targets].revision.Era, "targets": b.targets.Len(), "source": from.source,
	}).Info("targets changed")
}

// changeTargets takes in changes up to a revision. Those that are older than
// what is held came late and say nothing new.
func (b *beliefs) changeTargets(now time.Time, changes []baobabstep.RegistrationChange, revision baobabstep.Revision) (changed bool, change *heartbeat.Change, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[heartbeat.Targets]
	if !held.revision.Before(revision) {
		b.passOver(now, heartbeat.Targets, revision, origin{source: sourceWatch})
		return false, nil, nil
	}
	d := b.difference(changes)
	if d.Empty() {
		b.move(now, heartbeat.Targets, revision)
		return false, nil, nil
	}
	oldSum, err := b.changeBy(now, d, revision, origin{source: sourceWatch})
	if err != nil {
		return false, nil, err
	}
	return true, heartbeat.TargetsChange(d, oldSum, held.told(now)), nil
}

// difference returns what changes, in the order in which they came, make of what
// is held.
func (b *beliefs) difference(changes []baobabstep.RegistrationChange) (d heartbeat.Difference) {
	last := make(map[baobabstep.TargetID]*baobabstep.RegistrationChange)
	for i := range changes {
		if b.held[heartbeat.Targets].revision.Before(changes[i].Revision) {
			last[changes[i].Registration.ID] = &changes[i]
		}
	}
	for _, id := range slices.Sorted(maps.Keys(last)) {
		old, there := b.targets.Get(id)
		switch c := last[id]; {
		case c.Gone && there:
			d.Gone = append(d.Gone, id)
		case !c.Gone && (!there || old != c.Registration):
			d.Put = append(d.Put, c.Registration)
		}
	}
	return d
}

// changeBy puts a difference in force, and returns the checksum before. The
// caller holds b.mu.
func (b *beliefs) changeBy(now time.Time, d heartbeat.Difference, revision baobabstep.Revision, from origin) (oldSum uint64, err error) {
	if err := b.targets.Apply(d); err != nil {
		return 0, err
	}
	b.applySections(now)
	b.sectionsMissing = false
	b.history.Add(b.held[heartbeat.Targets].revision, revision, d)
	oldSum = b.replace(now, heartbeat.Targets, b.targets.Sum(), revision, from)
	b.router.ChangeRegistrations(now, d.Put, d.Gone)
	b.logTargets(from)
	return oldSum, nil
}

// takeChange takes in a change that a peer made. It returns whether that is
// newer. Errors: CodeConflict if it is a change of something else;
// CodeMalformed.
func (b *beliefs) takeChange(now time.Time, c *heartbeat.Change, from origin) (changed bool, err error) {
	if c.Kind == heartbeat.Routes {
		table, err := b.changedTable(c)
		if err != nil {
			return false, err
		}
		changed, _, err = b.holdRoutes(now, table, from)
		return changed, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[heartbeat.Targets]
	if !held.isHeld() || !held.revision.Before(c.To.Revision()) {
		return false, nil
	}
	d, err := c.Difference(b.targets)
	if err != nil {
		return false, err
	}
	_, err = b.changeBy(now, d, c.To.Revision(), from)
	return err == nil, err
}

func (b *beliefs) changedTable(c *heartbeat.Change) (*baobabstep.RoutingTable, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.ApplyRoutes(b.table, b.held[heartbeat.Routes].sum)
}

// whole returns what is held of a kind, with its content. Errors: CodeInternal.
func (b *beliefs) whole(kind heartbeat.Kind) (belief, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[kind]
	if held.content == nil && kind == heartbeat.Targets {
		content, err := heartbeat.EncodeTargets(b.targets.List())
		if err != nil {
			return belief{}, baobabstep.Errorf(baobabstep.CodeInternal, "entry.whole", "%w", err)
		}
		held.content = content
	}
	return *held, nil
}

// targetsSince returns the change from the registrations of a revision, with checksum
// sum, to those held now, or nil if the history does not reach back that far.
func (b *beliefs) targetsSince(now time.Time, revision baobabstep.Revision, sum uint64) *heartbeat.Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	d, ok := b.history.Since(revision)
	if !ok {
		return nil
	}
	return heartbeat.TargetsChange(d, sum, b.held[heartbeat.Targets].told(now))
}

func (h *belief) confirm(at time.Time) {
	if at.After(h.confirmed) {
		h.confirmed, h.unconfirmed = at, false
	}
}

// vouched notes that another VM holds the same, of a revision, and that the store
// held nothing newer at a time.
//
// What is held takes over the revision: an evacuation that ends leaves what was
// there before it began. Kept under its first revision that would give way to the
// evacuation itself, told late by a third VM, as if it had been confirmed.
func (b *beliefs) vouched(now time.Time, kind heartbeat.Kind, revision baobabstep.Revision, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := &b.held[kind]
	if held.revision.Before(revision) {
		b.move(now, kind, revision)
		held.revisionFromCopy = false
	}
	held.confirm(at)
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
func (b *beliefs) told(now time.Time) (held [heartbeat.Kinds]heartbeat.Held) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for kind := range held {
		held[kind] = b.held[kind].told(now)
	}
	return held
}

// copyNumber is announced in place of a revision number known only from a copy of the
// store. If that number were ahead of the store, peers would ignore the store's
// revisions until it caught up.
const copyNumber = 1

func (h *belief) told(now time.Time) heartbeat.Held {
	revision := h.revision
	if h.revisionFromCopy {
		revision.Number = copyNumber
	}
	return heartbeat.MakeHeld(revision, h.sum, now.Sub(h.confirmed))
}
