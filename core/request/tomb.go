package request

import (
	"math"
	"time"

	"baobabstep"
)

// tomb is what is left of a request whose entry was removed: enough to never
// run it, and to tell its caller the same again.
type tomb struct {
	code  baobabstep.Code
	token uint32
	// owner is the VM that owns the claim.
	owner baobabstep.VMID
}

// tombs holds tombs for between one and two periods. Whole generations are
// dropped, so that nothing scans them.
type tombs struct {
	young, old map[baobabstep.KeyHash]tomb
	turned     time.Time
	// lost is when the newest tomb that was dropped early was made.
	lost time.Time
}

// maxTombs bounds a generation, and with it the memory that a flood can take:
// some 50 MB for both.
const maxTombs = 1 << 19

func (t *tombs) turn(now time.Time, period time.Duration) {
	early := len(t.young) >= maxTombs
	if t.young != nil && now.Sub(t.turned) < period && !early {
		return
	}
	if early && len(t.old) > 0 {
		t.lost = t.turned
	}
	t.old = t.young
	t.young = make(map[baobabstep.KeyHash]tomb)
	t.turned = now
}

func (t *tombs) add(now time.Time, period time.Duration, h baobabstep.KeyHash, v tomb) {
	t.turn(now, period)
	t.young[h] = v
}

func (t *tombs) get(now time.Time, period time.Duration, h baobabstep.KeyHash) (tomb, bool) {
	t.turn(now, period)
	if v, ok := t.young[h]; ok {
		return v, true
	}
	v, ok := t.old[h]
	return v, ok
}

// reach is how far back no tomb was lost.
func (t *tombs) reach(now time.Time) time.Duration {
	if t.lost.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(t.lost)
}

func (t *tombs) len() int { return len(t.young) + len(t.old) }

// bury replaces the entry by a tomb, where one is needed: an idempotent
// request that was answered may run again.
func (en *entry) bury(now time.Time) {
	g := en.group
	en.remove()
	if en.idempotent && en.result.code == baobabstep.CodeOK && en.owner == 0 {
		return
	}
	t := tomb{code: en.result.code, token: en.token, owner: en.owner}
	if t.owner == 0 {
		t.owner = g.engine.opts.Self
		t.token = g.engine.token
	}
	if t.code == baobabstep.CodeOK {
		// The answer is no longer kept.
		t.code = baobabstep.CodeOutcomeUnknown
	}
	g.tombs.add(now, g.engine.opts.Remember, en.hash, t)
}

// handleBuried handles a packet of a request that left a tomb.
func (g *group) handleBuried(now time.Time, t tomb, p *baobabstep.Packet, out *baobabstep.Outbox) {
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
