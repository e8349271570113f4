package request

import (
	"time"

	"baobabstep"
)

// parts collects an answer that comes in several packets.
type parts struct {
	payloads [][]byte
	missing  int
	bytes    int
}

// answered handles a part of an answer from a target.
func (g *group) answered(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	if !p.FromTarget || !en.matches(p) {
		g.engine.stats.lateAnswers.Add(1)
		return
	}
	if p.Parts > 1 {
		g.answeredPart(now, en, p, out)
		return
	}
	g.succeed(now, en, [][]byte{append([]byte{}, p.Payload...)}, out)
}

// answeredPart adds one part. The caller gets parts only once all are here, so
// that it never takes a piece for the whole.
func (g *group) answeredPart(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	t := &en.parts
	if t.payloads == nil {
		t.payloads = make([][]byte, p.Parts)
		t.missing = int(p.Parts)
	}
	if int(p.Parts) != len(t.payloads) || int(p.Part) >= len(t.payloads) || t.payloads[p.Part] != nil {
		g.engine.stats.lateAnswers.Add(1)
		return
	}
	n := len(p.Payload)
	if t.bytes+n > g.engine.opts.MaxAnswer || g.shard.pending+n > g.engine.opts.MaxPending {
		g.tooLarge(now, en, out)
		return
	}
	t.payloads[p.Part] = append([]byte{}, p.Payload...)
	t.bytes += n
	t.missing--
	g.shard.pending += n
	if t.missing == 0 {
		whole := t.payloads
		g.succeed(now, en, whole, out)
	}
}

// tooLarge ends a request that ran, but whose answer cannot be held.
func (g *group) tooLarge(now time.Time, en *entry, out *baobabstep.Outbox) {
	en.maybeRan = true
	en.releaseSlot(now, baobabstep.CodeCancelled)
	g.cancelAttempt(en, out)
	en.finish(now, result{code: baobabstep.CodeAnswerTooLarge}, out)
	g.dispatch(now, out)
}

func (en *entry) dropParts() {
	en.group.shard.pending -= en.parts.bytes
	en.parts = parts{}
}

// succeed gives the whole answer to the caller.
func (g *group) succeed(now time.Time, en *entry, answer [][]byte, out *baobabstep.Outbox) {
	en.releaseSlot(now, baobabstep.CodeOK)
	g.retryTokens = min(maxRetryTokens, g.retryTokens+g.service.RetryShare)
	en.finish(now, result{code: baobabstep.CodeOK, answer: answer}, out)
	en.keepAnswer()
	g.dispatch(now, out)
}

// partOverhead is the cost of keeping a part besides its bytes.
const partOverhead = 64

// keepAnswer keeps the answer for retransmissions and drops the oldest ones
// that no longer fit.
func (en *entry) keepAnswer() {
	s := en.group.shard
	for _, part := range en.result.answer {
		en.result.kept += len(part) + partOverhead
	}
	s.kept += en.result.kept
	s.keptQueue = append(s.keptQueue, en)
	for len(s.keptQueue) > 0 {
		oldest := s.keptQueue[0]
		if s.kept <= s.engine.opts.MaxPending && oldest.result.kept > 0 {
			return
		}
		s.keptQueue[0] = nil
		s.keptQueue = s.keptQueue[1:]
		oldest.dropAnswer()
	}
}

func (en *entry) dropAnswer() {
	en.group.shard.kept -= en.result.kept
	en.result.kept = 0
	en.result.answer = nil
}

// answeredForeign delivers the answer to a request whose owner is gone: the
// witness has the claim, and the attempt that the claim allows is the only
// one that can have been handed over.
func (g *group) answeredForeign(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	single := p.Parts <= 1
	mine := en.state == stateStored && !en.idempotent && p.FromTarget && p.Attempt == en.attempt
	if !mine || !single {
		g.engine.stats.lateAnswers.Add(1)
		return
	}
	en.target = p.Target
	en.finish(now, result{code: baobabstep.CodeOK, answer: [][]byte{append([]byte{}, p.Payload...)}}, out)
	en.keepAnswer()
}
