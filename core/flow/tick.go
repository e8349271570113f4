package flow

import (
	"math/bits"
	"time"

	"baobabstep"
	"baobabstep/core/place"
)

// passTicks is the number of ticks in which the scan sees each record once.
const passTicks = 20

// lockedRecords bounds the records looked at under one lock, so that packets of
// the shard never wait long.
const lockedRecords = 256

// learnBytes is the size of the datagram that carries one record, and of its
// answer.
const learnBytes = 160

// scan is the periodic work over all records, a part at each tick.
type scan struct {
	shard int
	pos   uint32
	// pending counts, by age class, the records that this pass found in
	// need of a copy; least is the youngest class that is served.
	pending [ageClasses]int
	least   int
	// spare is set if the pass before found no record in need of a copy.
	spare bool
	// silent counts, by direction, the flows that this pass found with an
	// unanswered probe; silentBefore is the count of the pass before.
	silent, silentBefore [2]int
	// wanted is when evidence of a path was last wanted; witnesses counts
	// the probes that this pass sent for it.
	wanted    map[string]tick
	witnesses map[string]int
	// ackedBy is when each data centre's targets last answered a probe. It
	// is computed when first asked for in a tick.
	ackedBy map[string]tick
}

// ageClasses is the number of classes of flow age, each twice the one before.
const ageClasses = 32

// ageClass returns the class of a record's age.
func (t *turn) ageClass(rec *record) int {
	return min(ageClasses-1, bits.Len64(uint64(max(0, int64(t.tick)-int64(rec.opened)))))
}

// Tick does the periodic work, a bounded part of it each time: expiry, probes
// of idle flows, and copies for idle flows. It is called every 100 ms.
func (r *Router) Tick(now time.Time, out *baobabstep.Outbox) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ticked.Store(r.tick(now))
	snap := r.current.Load()
	if snap.config == nil || snap.view == nil {
		return
	}
	r.scan.ackedBy = nil
	left := r.positions()/passTicks + lockedRecords
	for n := 0; left > 0 && n <= len(r.shards); {
		s := r.shards[r.scan.shard]
		todo := min(uint32(left), lockedRecords)
		done, end := r.visitPart(now, snap, s, r.scan.pos, todo, out)
		left -= int(done)
		r.scan.pos += done
		if end {
			r.nextShard()
			n++
		}
	}
}

// positions returns the size of the table.
func (r *Router) positions() (n int) {
	for _, s := range r.shards {
		s.mu.Lock()
		n += int(s.size())
		s.mu.Unlock()
	}
	return n
}

// visitPart visits at most n positions of a shard and tells whether its end was
// reached.
func (r *Router) visitPart(now time.Time, snap *snapshot, s *shard, from, n uint32, out *baobabstep.Outbox) (done uint32, end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.size()
	to := min(size, from+n)
	t := turn{r: r, snap: snap, s: s, now: now, tick: r.tick(now), out: out}
	for pos := from; pos < to; pos++ {
		if rec := s.at(pos); rec.state != StateFree {
			t.turnTo(rec)
			r.visit(&t, rec)
		}
	}
	return max(to, from) - from, to >= size
}

// turnTo makes a turn about a record, for work that no packet asked for.
func (t *turn) turnTo(rec *record) {
	t.rec, t.hash, t.gotOwn = rec, rec.hash, false
}

// nextShard moves the scan on. After the last shard it decides from which age
// the next pass makes copies: the oldest that fit the budget go first, since a
// long flow is the one that will still be there.
func (r *Router) nextShard() {
	r.scan.pos = 0
	r.scan.shard++
	if r.scan.shard < len(r.shards) {
		return
	}
	r.scan.shard = 0
	fit := int(r.o.RepairBytesPerSecond * passTicks * tickLength.Seconds() / learnBytes)
	least := ageClasses - 1
	for sum := r.scan.pending[least]; least > 0 && sum < fit; sum += r.scan.pending[least] {
		least--
	}
	r.scan.least = least
	r.scan.spare = r.scan.pending == [ageClasses]int{}
	r.scan.pending = [ageClasses]int{}
	clear(r.scan.witnesses)
	r.scan.silentBefore, r.scan.silent = r.scan.silent, [2]int{}
}

// visit does what is due for one record.
func (r *Router) visit(t *turn, rec *record) {
	switch rec.state {
	case StateSearching:
		if since(t.tick, rec.fromCaller) > ticks(searchTTL) {
			t.drop(rec)
		}
	case StateClosed, StateReset:
		t.repeatClose(rec)
		if since(t.tick, rec.fromTarget) > ticks(r.o.TombstoneTTL) {
			t.drop(rec)
		}
	case StateOpening:
		t.evaluate(rec)
		t.visitOpening(rec)
	case StateEstablished:
		t.evaluate(rec)
		if t.snap.paused {
			return
		}
		if rec.has(flagHolder) && t.checkAlive(rec) {
			return
		}
		t.checkCopies(rec)
	}
}

// visitOpening ends opens that no target answered. Before, the target is asked
// once: its acceptance may have been lost, and then it holds the flow. A VM that
// is not the holder leaves that to the holder, who may have died with its copy
// and have a successor that knows nothing.
func (t *turn) visitOpening(rec *record) {
	waited := since(t.tick, rec.fromCaller)
	limit := ticks(t.r.o.OpenTimeout)
	if !rec.has(flagHolder) {
		limit *= 2
	}
	switch {
	case waited > limit:
		t.count(EventOpenExpired)
		t.drop(rec)
	case waited > limit/2 && rec.has(flagHolder) && rec.countProbes(toTarget) == 0 && !t.snap.paused:
		t.probe(rec, toTarget)
	case waited > limit/2 && !rec.has(flagHolder) && !t.snap.paused:
		t.checkCopies(rec)
	}
}

// surplusTTL is how long a VM keeps a record that it handed over.
const surplusTTL = time.Minute

// checkCopies sends the record to an owner that may lack it, within the budget.
func (t *turn) checkCopies(rec *record) {
	owner := rec.has(flagHolder) || rec.has(flagSecond)
	if rec.has(flagCopied) {
		if !owner && since16(t.tick, rec.lastRepair) > ticks(surplusTTL) {
			t.count(EventSurplusDropped)
			t.drop(rec)
		}
		if rec.has(flagSecond) {
			t.audit(rec)
		}
		return
	}
	if rec.detail == detailDoubt && !t.endDoubt(rec) {
		return
	}
	if rec.has(flagVia) && !rec.has(flagConfirmed) {
		// The caller's next packet, or its answer to a probe, will confirm.
		return
	}
	other := t.otherOwner()
	if other == 0 {
		return
	}
	class := t.ageClass(rec)
	t.r.scan.pending[class]++
	if class < t.r.scan.least || !t.repairDue(rec) || !t.r.repairs.take(t.now, learnBytes) {
		return
	}
	t.count(EventRepaired)
	rec.lastRepair = uint16(t.tick)
	rec.set(flagTried)
	t.teach(other, rec)
}

// audit compares the second copy of an idle flow with its holder once in a long
// while. The message that the flow ended may have been lost, and only the
// holder probes, so the copy would stay for good. A holder that lost the record
// gets it back this way.
func (t *turn) audit(rec *record) {
	idle := min(since(t.tick, rec.fromCaller), since(t.tick, rec.fromTarget))
	limit := ticks(t.r.o.AuditAfter)
	if idle < limit || rec.has(flagTried) && since16(t.tick, rec.lastRepair) < limit || !t.r.scan.spare {
		return
	}
	holder := t.owners().Holder
	if t.suspect(holder) || !t.r.repairs.take(t.now, learnBytes) {
		return
	}
	t.count(EventAudited)
	rec.lastRepair = uint16(t.tick)
	rec.set(flagTried)
	t.teach(holder, rec)
}

// stopRecords and stopSends bound the work of one call of Stop.
const (
	stopRecords = 20_000
	stopSends   = 256
)

// Stop hands the records over to the VMs that stay, in bounded pieces. It is
// called, some ten times a second and between other packets, until it returns
// 0, the number of flows that no other VM is known to have. Most have a second
// copy already, and only the others are sent.
func (r *Router) Stop(now time.Time, out *baobabstep.Outbox) (remaining int) {
	r.leave(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	snap := r.current.Load()
	if snap.config == nil || snap.view == nil || len(snap.states) == 0 {
		return 0
	}
	sends := stopSends
	for _, s := range r.shards {
		remaining += r.stopShard(now, snap, s, &sends, out)
	}
	return remaining
}

// leave takes the VM out of its own table, so that it owns nothing any more.
func (r *Router) leave(now time.Time) {
	r.change(func(s *snapshot) {
		if s.leaving {
			return
		}
		s.leaving = true
		if s.view != nil {
			r.setView(now, s, s.view)
		}
	})
}

// stopShard sends records of one shard that only this VM may have, and returns
// how many there are.
func (r *Router) stopShard(now time.Time, snap *snapshot, s *shard, sends *int, out *baobabstep.Outbox) (remaining int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := turn{r: r, snap: snap, s: s, now: now, tick: r.tick(now), out: out}
	for pos := range s.size() {
		rec := s.at(pos)
		if !rec.live() {
			continue
		}
		t.turnTo(rec)
		t.evaluate(rec)
		if rec.has(flagCopied) || t.keptByOther(rec) {
			continue
		}
		remaining++
		if *sends > 0 && t.repairDue(rec) {
			*sends--
			t.handOver(rec)
		}
	}
	return remaining
}

// handOver sends the record to both present owners.
func (t *turn) handOver(rec *record) {
	t.count(EventHandedOver)
	rec.lastRepair = uint16(t.tick)
	rec.set(flagTried)
	o := t.owners()
	t.teach(o.Holder, rec)
	if o.Second != 0 {
		t.teach(o.Second, rec)
	}
}

// keptByOther tells whether a VM that stays is known to have the record: its
// copies were confirmed under an earlier table, and one of the owners of then
// is another VM that is still a member.
func (t *turn) keptByOther(rec *record) bool {
	for i := range t.snap.history {
		o := t.ownersUnder(t.snap.history[i].Table)
		if rec.copies == t.fingerprint(o) && (t.stays(o.Holder) || t.stays(o.Second)) {
			return true
		}
	}
	return false
}

func (t *turn) stays(vm baobabstep.VMID) bool {
	state, member := t.snap.states[vm]
	return member && state != baobabstep.VMSuspect && vm != t.r.o.Self
}

// ownersUnder returns the owners under another table.
func (t *turn) ownersUnder(table *place.Table) place.Owners {
	return table.Owners(t.hash, t.dataCentres())
}
