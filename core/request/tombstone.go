package request

import (
	"math"
	"time"

	"baobabstep"
)

// tombstone is what is left of a request whose entry was removed: enough to never
// run it, and to tell its caller the same again.
type tombstone struct {
	code  baobabstep.Code
	token uint32
	// owner is the VM that owns the claim.
	owner baobabstep.VMID
}

// tombstones holds tombstones for between one and two periods. Whole generations are
// dropped, so that nothing scans them.
type tombstones struct {
	young, old map[baobabstep.KeyHash]tombstone
	turned     time.Time
	// lost is when the newest tombstone that was dropped early was made.
	lost time.Time
}

// maxTombstones bounds a generation, and with it the memory that a flood can take:
// some 50 MB for both.
const maxTombstones = 1 << 19

func (t *tombstones) turn(now time.Time, period time.Duration) {
	early := len(t.young) >= maxTombstones
	if t.young != nil && now.Sub(t.turned) < period && !early {
		return
	}
	if early && len(t.old) > 0 {
		t.lost = t.turned
	}
	t.old = t.young
	t.young = make(map[baobabstep.KeyHash]tombstone)
	t.turned = now
}

func (t *tombstones) add(now time.Time, period time.Duration, h baobabstep.KeyHash, v tombstone) {
	t.turn(now, period)
	t.young[h] = v
}

func (t *tombstones) get(now time.Time, period time.Duration, h baobabstep.KeyHash) (tombstone, bool) {
	t.turn(now, period)
	if v, ok := t.young[h]; ok {
		return v, true
	}
	v, ok := t.old[h]
	return v, ok
}

// reach is how far back no tombstone was lost.
func (t *tombstones) reach(now time.Time) time.Duration {
	if t.lost.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(t.lost)
}

func (t *tombstones) len() int { return len(t.young) + len(t.old) }

// leaveTombstone replaces the entry by a tombstone, where one is needed: an idempotent
// request that was answered may run again.
func (en *entry) leaveTombstone(now time.Time) {
	g := en.group
	en.remove()
	if en.idempotent && en.result.code == baobabstep.CodeOK && en.owner == 0 {
		return
	}
	t := tombstone{code: en.result.code, token: en.token, owner: en.owner}
	if t.owner == 0 {
		t.owner = g.engine.opts.Self
		t.token = g.engine.token
	}
	if t.code == baobabstep.CodeOK {
		// The answer is no longer kept.
		t.code = baobabstep.CodeOutcomeUnknown
	}
	g.tombstones.add(now, g.engine.opts.Remember, en.hash, t)
}

// handleTombstone handles a packet of a request that left a tombstone.
func (g *group) handleTombstone(now time.Time, t tombstone, p *baobabstep.Packet, out *baobabstep.Outbox) {
	switch p.Kind {
	case baobabstep.KindRequest:
		g.engine.stats.copies.Add(1)
		if p.Seq == 0 {
			return
		}
		out.Caller(&baobabstep.Packet{
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
