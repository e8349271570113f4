package request

import (
	"math"
	"time"

	"baobabstep"
)

// tombstone is what remains of a request whose entry was removed: enough to never
// run it again and to repeat its result code to the caller.
type tombstone struct {
	code       baobabstep.Code
	ownerToken uint32
	// owner is the VM that owns the claim.
	owner baobabstep.VMID
}

// tombstones keeps each tombstone for between one and two periods. It drops a
// whole generation at a time, which needs no scan.
type tombstones struct {
	current, previous map[baobabstep.KeyHash]tombstone
	rotatedAt         time.Time
	// newestLost is when the newest tombstone that was dropped early was created.
	newestLost time.Time
}

// maxTombstones limits a generation, and thereby the memory that a flood can
// take, about 50 MB for both generations.
const maxTombstones = 1 << 19

func (t *tombstones) rotate(now time.Time, period time.Duration) {
	early := len(t.current) >= maxTombstones
	if t.current != nil && now.Sub(t.rotatedAt) < period && !early {
		return
	}
	if early && len(t.previous) > 0 {
		t.newestLost = t.rotatedAt
	}
	t.previous = t.current
	t.current = make(map[baobabstep.KeyHash]tombstone)
	t.rotatedAt = now
}

func (t *tombstones) add(now time.Time, period time.Duration, h baobabstep.KeyHash, v tombstone) {
	t.rotate(now, period)
	t.current[h] = v
}

func (t *tombstones) get(now time.Time, period time.Duration, h baobabstep.KeyHash) (tombstone, bool) {
	t.rotate(now, period)
	if v, ok := t.current[h]; ok {
		return v, true
	}
	v, ok := t.previous[h]
	return v, ok
}

// completeFor returns how far back no tombstone was dropped early.
func (t *tombstones) completeFor(now time.Time) time.Duration {
	if t.newestLost.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(t.newestLost)
}

func (t *tombstones) len() int { return len(t.current) + len(t.previous) }

// replaceByTombstone removes the entry and leaves a tombstone where one is
// needed. An idempotent request that was answered needs none, since it may run
// again.
func (en *entry) replaceByTombstone(now time.Time) {
	g := en.group
	en.remove()
	if en.idempotent && en.result.code == baobabstep.CodeOK && en.owner == 0 {
		return
	}
	t := tombstone{code: en.result.code, ownerToken: en.ownerToken, owner: en.owner}
	if t.owner == 0 {
		t.owner = g.engine.opts.Self
		t.ownerToken = g.engine.claimToken
	}
	if t.code == baobabstep.CodeOK {
		// The answer is no longer kept.
		t.code = baobabstep.CodeOutcomeUnknown
	}
	g.tombstones.add(now, g.engine.opts.RetransmissionWindow, en.hash, t)
}

// handleTombstone handles a packet of a request that left a tombstone.
func (g *group) handleTombstone(now time.Time, t tombstone, p *baobabstep.Packet, out *baobabstep.Outbox) {
	switch p.Kind {
	case baobabstep.KindRequest:
		g.engine.stats.copies.Add(1)
		if p.Seq == 0 {
			return
		}
		out.ToCaller(&baobabstep.Packet{
			Kind:       baobabstep.KindRefusal,
			Flow:       p.Flow,
			Service:    g.id.service,
			Code:       t.code,
			RetryAfter: g.retryAfter(now),
		})
	case baobabstep.KindAnswer, baobabstep.KindRefusal:
		g.engine.stats.lateAnswers.Add(1)
	default:
	}
}
