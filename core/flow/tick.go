package flow

import (
	"math/bits"
	"time"

	"baobabstep"
	"baobabstep/core/place"
)

// scanTicks is the number of ticks in which the scan visits every record once.
const scanTicks = 20

// maxRecordsPerLock bounds the records visited while a shard is locked, so
// that packets of the shard wait only briefly.
const maxRecordsPerLock = 256

// recordExchangeBytes is the size in bytes of the datagram that carries one
// record plus that of its answer.
const recordExchangeBytes = 160

// scan is the state of the periodic work over all records, of which each tick
// does a part.
type scan struct {
	shard int
	pos   uint32
	// pending counts, by age class, the records that this scan found
	// without a confirmed copy; minClass is the youngest class that is
	// replicated.
	pending  [ageClasses]int
	minClass int
	// allCopied is set if the last scan found no record without a
	// confirmed copy.
	allCopied bool
	// unanswered counts, by direction, the flows that this scan found with
	// an unanswered probe; lastUnanswered holds the counts of the last
	// scan.
	unanswered, lastUnanswered [2]int
	// evidenceWanted holds when evidence of each path was last requested,
	// pathProbes the number of probes that this scan sent for it.
	evidenceWanted map[string]tick
	pathProbes     map[string]int
	// lastAckByDataCentre holds when the targets of each data centre last
	// acknowledged a probe. It is computed on first use in a tick.
	lastAckByDataCentre map[string]tick
}

// ageClasses is the number of flow age classes; each spans twice the previous
// one.
const ageClasses = 32

// ageClass returns the age class of a record.
func (t *task) ageClass(rec *record) int {
	return min(ageClasses-1, bits.Len64(uint64(max(0, int64(t.tick)-int64(rec.opened)))))
}

// Tick does a bounded part of the periodic work: expiry, probes and copies of
// idle flows. It must be called every 100 ms.
func (r *Router) Tick(now time.Time, out *baobabstep.Outbox) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastTick.Store(r.tick(now))
	snap := r.current.Load()
	if snap.config == nil || snap.view == nil {
		return
	}
	r.scan.lastAckByDataCentre = nil
	left := r.positions()/scanTicks + maxRecordsPerLock
	for n := 0; left > 0 && n <= len(r.shards); {
		s := r.shards[r.scan.shard]
		todo := min(uint32(left), maxRecordsPerLock)
		done, end := r.visitPart(now, snap, s, r.scan.pos, todo, out)
		left -= int(done)
		r.scan.pos += done
		if end {
			r.nextShard()
			n++
		}
	}
}

// positions returns the number of positions in the table.
func (r *Router) positions() (n int) {
	for _, s := range r.shards {
		s.mu.Lock()
		n += int(s.size())
		s.mu.Unlock()
	}
	return n
}

// visitPart visits at most n positions of a shard and reports whether it
// reached the shard's end.
func (r *Router) visitPart(now time.Time, snap *snapshot, s *shard, from, n uint32, out *baobabstep.Outbox) (done uint32, end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	size := s.size()
	to := min(size, from+n)
	t := task{r: r, snap: snap, s: s, now: now, tick: r.tick(now), out: out}
	for pos := from; pos < to; pos++ {
		if rec := s.recordAt(pos); rec.state != StateFree {
			t.setRecord(rec)
			r.visitRecord(&t, rec)
		}
	}
	return max(to, from) - from, to >= size
}

// setRecord points the task at a record, for work without a packet.
func (t *task) setRecord(rec *record) {
	t.rec, t.hash, t.ownersCached = rec, rec.hash, false
}

// nextShard advances the scan. After the last shard it chooses the youngest
// age class that the next scan replicates: the oldest flows that fit the
// budget come first, since they are the most likely to last.
func (r *Router) nextShard() {
	r.scan.pos = 0
	r.scan.shard++
	if r.scan.shard < len(r.shards) {
		return
	}
	r.scan.shard = 0
	fit := int(r.opts.RepairBytesPerSecond * scanTicks * tickLength.Seconds() / recordExchangeBytes)
	least := ageClasses - 1
	for sum := r.scan.pending[least]; least > 0 && sum < fit; sum += r.scan.pending[least] {
		least--
	}
	r.scan.minClass = least
	r.scan.allCopied = r.scan.pending == [ageClasses]int{}
	r.scan.pending = [ageClasses]int{}
	clear(r.scan.pathProbes)
	r.scan.lastUnanswered, r.scan.unanswered = r.scan.unanswered, [2]int{}
}

// visitRecord does the periodic work for one record.
func (r *Router) visitRecord(t *task, rec *record) {
	switch rec.state {
	case StateSearching:
		if since(t.tick, rec.lastFromCaller) > ticks(searchTTL) {
			t.dropRecord(rec)
		}
	case StateClosed, StateReset:
		t.repeatClose(rec)
		if since(t.tick, rec.lastFromTarget) > ticks(r.opts.TombstoneTTL) {
			t.dropRecord(rec)
		}
	case StateOpening:
		t.refreshRole(rec)
		t.visitOpening(rec)
	case StateEstablished:
		t.refreshRole(rec)
		if t.snap.paused {
			return
		}
		if rec.has(flagHolder) && t.probeIdle(rec) {
			return
		}
		t.checkCopies(rec)
	}
}

// visitOpening expires opens that no target answered. After half the time the
// holder probes the target, since the acceptance may have been lost while the
// target has the flow. Other VMs leave this to the holder and send it their
// copy: it may have died, and its successor lacks the record.
func (t *task) visitOpening(rec *record) {
	waited := since(t.tick, rec.lastFromCaller)
	limit := ticks(t.r.opts.OpenTimeout)
	if !rec.has(flagHolder) {
		limit *= 2
	}
	switch {
	case waited > limit:
		t.count(EventOpenExpired)
		t.dropRecord(rec)
	case waited > limit/2 && rec.has(flagHolder) && rec.countProbes(toTarget) == 0 && !t.snap.paused:
		t.probe(rec, toTarget)
	case waited > limit/2 && !rec.has(flagHolder) && !t.snap.paused:
		t.checkCopies(rec)
	}
}

// surplusTTL is how long a VM that is no owner keeps a record after handing it
// over.
const surplusTTL = time.Minute

// checkCopies sends the record to an owner that may lack it, within the repair
// budget.
func (t *task) checkCopies(rec *record) {
	owner := rec.has(flagHolder) || rec.has(flagSecond)
	if rec.has(flagCopied) {
		if !owner && since16(t.tick, rec.lastRepair) > ticks(surplusTTL) {
			t.count(EventSurplusDropped)
			t.dropRecord(rec)
		}
		if rec.has(flagSecond) {
			t.audit(rec)
		}
		return
	}
	if rec.detail == detailVerifying && !t.verifyTimedOut(rec) {
		return
	}
	if rec.has(flagViaOwner) && !rec.has(flagConfirmed) {
		// The caller's next packet or probe acknowledgement will
		// confirm the copy.
		return
	}
	other := t.otherOwner()
	if other == 0 {
		return
	}
	class := t.ageClass(rec)
	t.r.scan.pending[class]++
	if class < t.r.scan.minClass || !t.repairDue(rec) || !t.r.repairs.take(t.now, recordExchangeBytes) {
		return
	}
	t.count(EventRepairSent)
	rec.lastRepair = uint16(t.tick)
	rec.set(flagRepairSent)
	t.sendRecord(other, rec)
}

// audit compares the second copy of an idle flow with the holder, at most once
// per Options.AuditAfter. If the notice of the flow's end was lost, the copy
// would otherwise stay forever, since only the holder probes. A holder that
// lost the record receives it again.
func (t *task) audit(rec *record) {
	idle := min(since(t.tick, rec.lastFromCaller), since(t.tick, rec.lastFromTarget))
	limit := ticks(t.r.opts.AuditAfter)
	if idle < limit || rec.has(flagRepairSent) && since16(t.tick, rec.lastRepair) < limit || !t.r.scan.allCopied {
		return
	}
	holder := t.owners().Holder
	if t.isSuspect(holder) || !t.r.repairs.take(t.now, recordExchangeBytes) {
		return
	}
	t.count(EventCopyAudited)
	rec.lastRepair = uint16(t.tick)
	rec.set(flagRepairSent)
	t.sendRecord(holder, rec)
}

// stopRecords and stopSends bound the work of one call of Stop.
const (
	stopRecords = 20_000
	stopSends   = 256
)

// Stop hands the records over to the remaining VMs in bounded steps. Call it
// about ten times a second, between packets, until it returns 0: the number of
// flows that no other VM is known to have. Flows with a second copy are not
// sent.
func (r *Router) Stop(now time.Time, out *baobabstep.Outbox) (remaining int) {
	r.startLeaving(now)
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

// startLeaving removes the VM from its own owner table, so that it owns no
// flows.
func (r *Router) startLeaving(now time.Time) {
	r.updateSnapshot(func(s *snapshot) {
		if s.leaving {
			return
		}
		s.leaving = true
		if s.view != nil {
			r.setView(now, s, s.view)
		}
	})
}

// stopShard sends the records of one shard that no other VM is known to have,
// and returns their number.
func (r *Router) stopShard(now time.Time, snap *snapshot, s *shard, sends *int, out *baobabstep.Outbox) (remaining int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := task{r: r, snap: snap, s: s, now: now, tick: r.tick(now), out: out}
	for pos := range s.size() {
		rec := s.recordAt(pos)
		if !rec.live() {
			continue
		}
		t.setRecord(rec)
		t.refreshRole(rec)
		if rec.has(flagCopied) || t.hasOtherCopy(rec) {
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

// handOver sends the record to both current owners.
func (t *task) handOver(rec *record) {
	t.count(EventHandedOver)
	rec.lastRepair = uint16(t.tick)
	rec.set(flagRepairSent)
	o := t.owners()
	t.sendRecord(o.Holder, rec)
	if o.Second != 0 {
		t.sendRecord(o.Second, rec)
	}
}

// hasOtherCopy reports whether a remaining VM is known to have the record: its
// copies were confirmed under an earlier owner table, and one of those owners
// is another active member.
func (t *task) hasOtherCopy(rec *record) bool {
	for i := range t.snap.history {
		o := t.ownersUnder(t.snap.history[i].Table)
		if rec.copyFingerprint == t.fingerprint(o) && (t.isActiveMember(o.Holder) || t.isActiveMember(o.Second)) {
			return true
		}
	}
	return false
}

func (t *task) isActiveMember(vm baobabstep.VMID) bool {
	state, member := t.snap.states[vm]
	return member && state != baobabstep.VMSuspect && vm != t.r.opts.Self
}

// ownersUnder returns the flow's owners in the given table.
func (t *task) ownersUnder(table *place.Table) place.Owners {
	return table.Owners(t.hash, t.dataCentres())
}
