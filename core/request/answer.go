package request

import (
	"time"

	"baobabstep"
)

// partialAnswer collects an answer that arrives in several packets.
type partialAnswer struct {
	payloads [][]byte
	missing  int
	bytes    int
}

// handleAnswer handles an answer, or a part of one, from a target.
func (g *group) handleAnswer(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	if !p.FromTarget || !en.matchesAttempt(p) {
		g.engine.stats.lateAnswers.Add(1)
		return
	}
	if p.Parts > 1 {
		g.handleAnswerPart(now, en, p, out)
		return
	}
	g.finishWithAnswer(now, en, [][]byte{append([]byte{}, p.Payload...)}, out)
}

// handleAnswerPart adds one part. The caller gets the parts only once all have
// arrived, so that it never mistakes an incomplete answer for a complete one.
func (g *group) handleAnswerPart(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	t := &en.partial
	if t.payloads == nil {
		t.payloads = make([][]byte, p.Parts)
		t.missing = int(p.Parts)
	}
	if int(p.Parts) != len(t.payloads) || int(p.Part) >= len(t.payloads) || t.payloads[p.Part] != nil {
		g.engine.stats.lateAnswers.Add(1)
		return
	}
	n := len(p.Payload)
	if t.bytes+n > g.engine.opts.MaxAnswerBytes || g.shard.partialBytes+n > g.engine.opts.MaxPendingBytes {
		g.finishTooLarge(now, en, out)
		return
	}
	t.payloads[p.Part] = append([]byte{}, p.Payload...)
	t.bytes += n
	t.missing--
	g.shard.partialBytes += n
	if t.missing == 0 {
		whole := t.payloads
		g.finishWithAnswer(now, en, whole, out)
	}
}

// finishTooLarge ends a request that ran but whose answer exceeds the limits.
func (g *group) finishTooLarge(now time.Time, en *entry, out *baobabstep.Outbox) {
	en.maybeRan = true
	en.concludeAttempt(now, baobabstep.CodeCancelled)
	g.cancelAttempt(en, out)
	en.finish(now, result{code: baobabstep.CodeAnswerTooLarge}, out)
	g.dispatch(now, out)
}

func (en *entry) dropParts() {
	en.group.shard.partialBytes -= en.partial.bytes
	en.partial = partialAnswer{}
}

// finishWithAnswer sends the complete answer to the caller.
func (g *group) finishWithAnswer(now time.Time, en *entry, answer [][]byte, out *baobabstep.Outbox) {
	en.concludeAttempt(now, baobabstep.CodeOK)
	g.retryTokens = min(maxRetryTokens, g.retryTokens+g.service.RetryShare)
	en.finish(now, result{code: baobabstep.CodeOK, answer: answer}, out)
	en.keepAnswer()
	g.dispatch(now, out)
}

// partOverhead is the memory in bytes for keeping a part in addition to its
// payload.
const partOverhead = 64

// keepAnswer keeps the answer for retransmissions and drops the oldest answers
// that exceed the limit.
func (en *entry) keepAnswer() {
	s := en.group.shard
	for _, part := range en.result.answer {
		en.result.keptBytes += len(part) + partOverhead
	}
	s.keptBytes += en.result.keptBytes
	s.keptAnswers = append(s.keptAnswers, en)
	for len(s.keptAnswers) > 0 {
		oldest := s.keptAnswers[0]
		if s.keptBytes <= s.engine.opts.MaxPendingBytes && oldest.result.keptBytes > 0 {
			return
		}
		s.keptAnswers[0] = nil
		s.keptAnswers = s.keptAnswers[1:]
		oldest.dropAnswer()
	}
}

func (en *entry) dropAnswer() {
	en.group.shard.keptBytes -= en.result.keptBytes
	en.result.keptBytes = 0
	en.result.answer = nil
}

// handleForeignAnswer delivers the answer to a request whose owner has left. This
// VM stored the claim, and the attempt that the claim permits is the only one
// that can have been sent.
func (g *group) handleForeignAnswer(now time.Time, en *entry, p *baobabstep.Packet, out *baobabstep.Outbox) {
	single := p.Parts <= 1
	expected := en.state == stateStored && !en.idempotent && p.FromTarget && p.Attempt == en.attempt
	if !expected || !single {
		g.engine.stats.lateAnswers.Add(1)
		return
	}
	en.target = p.Target
	en.finish(now, result{code: baobabstep.CodeOK, answer: [][]byte{append([]byte{}, p.Payload...)}}, out)
	en.keepAnswer()
}
