package callers

import (
	"bytes"
	"time"

	"baobabstep"
	"baobabstep/standin/exchange"
)

const (
	// maxAnswer is the largest answer asked for in bytes, maxTries how often a
	// caller comes back after a refusal, cancelAfter how long it waits before
	// it withdraws a request.
	maxAnswer   = 5 * exchange.PartSize
	manyParts   = 0.1
	maxTries    = 3
	cancelAfter = 5 * time.Millisecond
)

// arrival is a Poisson process of requests to one service.
type arrival struct {
	service *service
	rate    float64
	next    time.Duration
}

// retry is a request that was refused as not run and comes again as a new one.
type retry struct {
	request
	at time.Duration
}

type request struct {
	service    *service
	number     uint64
	class      baobabstep.Class
	idempotent bool
	payload    []byte
	answer     []byte
	parts      []bool
	missing    int
	started    time.Duration
	deadline   time.Duration
	next       time.Duration
	repeat     time.Duration
	seq        uint32
	tries      int
	cancelAt   time.Duration
	cancelled  bool
}

// arrive issues the requests that are due.
func (w *worker) arrive(now time.Duration) {
	for i := range w.arrivals {
		a := &w.arrivals[i]
		for a.next <= now {
			if a.next > 0 {
				w.issue(w.draw(a.service), now)
			}
			a.next += time.Duration(w.random.ExpFloat64() / a.rate * float64(time.Second))
		}
	}
	kept := w.retries[:0]
	for _, r := range w.retries {
		if r.at > now {
			kept = append(kept, r)
			continue
		}
		w.issue(r.request, now)
	}
	w.retries = kept
}

func (w *worker) draw(s *service) request {
	r := request{service: s, class: baobabstep.ClassOrdinary, idempotent: w.random.Float64() < s.IdempotentShare}
	if w.random.Float64() < s.UrgentShare {
		r.class = baobabstep.ClassUrgent
	}
	if w.random.Float64() < s.CancelledShare {
		r.cancelAt = cancelAfter
	}
	return r
}

// issue sends a new request; r holds what a retry has in common with the last.
func (w *worker) issue(r request, now time.Duration) {
	size := uint32(w.random.IntN(exchange.PartSize))
	if w.random.Float64() < manyParts {
		size = uint32(w.random.IntN(maxAnswer))
	}
	r.number = w.random.Uint64()
	r.payload = exchange.Request(size, w.random)
	r.answer = exchange.Answer(r.number, r.service.id, r.payload)
	r.missing = exchange.Parts(len(r.answer))
	r.parts = make([]bool, r.missing)
	r.started, r.deadline = now, now+w.process.timeout(r.class)
	r.repeat, r.seq = firstRepeat, 0
	if r.cancelAt > 0 {
		r.cancelAt = now + cancelAfter
	}
	w.process.count(func(c *Counts) { c.Requests++ })
	w.requests[r.number] = &r
	w.transmit(&r, now)
}

func (p *Process) timeout(class baobabstep.Class) time.Duration {
	ms := p.settings.OrdinaryTimeoutMS
	if class == baobabstep.ClassUrgent {
		ms = p.settings.UrgentTimeoutMS
	}
	return time.Duration(ms) * time.Millisecond
}

func (w *worker) transmit(r *request, now time.Duration) {
	r.next = now + r.repeat
	w.send(&baobabstep.Packet{
		Kind:       baobabstep.KindRequest,
		Flow:       w.key(r.service, r.number),
		Seq:        r.seq,
		Class:      r.class,
		Idempotent: r.idempotent,
		Timeout:    r.deadline - now,
		Payload:    r.payload,
	})
}

// stepRequest repeats a request, withdraws it, or gives it up. The load
// balancer owes a word by the deadline; a little later the request counts as
// lost.
func (w *worker) stepRequest(r *request, now time.Duration) {
	if now > r.deadline+lastGrace {
		w.process.noteSilent(r)
		w.end(r, func(c *Counts) {
			if r.class == baobabstep.ClassOrdinary {
				c.OrdinaryLost++
			} else {
				c.OutcomeUnknown++
				c.UrgentSilent++
			}
		})
		return
	}
	if r.cancelAt > 0 && now >= r.cancelAt {
		r.cancelAt, r.cancelled = 0, true
		w.process.count(func(c *Counts) { c.Cancelled++ })
		w.send(&baobabstep.Packet{Kind: baobabstep.KindCancel, Flow: w.key(r.service, r.number), Seq: r.seq, Class: r.class})
	}
	if now >= r.next && now < r.deadline {
		r.repeat = min(2*r.repeat, maxRepeat)
		r.seq++
		w.process.count(func(c *Counts) { c.Repeats++ })
		w.transmit(r, now)
	}
}

func (w *worker) end(r *request, change func(*Counts)) {
	delete(w.requests, r.number)
	w.process.count(change)
}

func (w *worker) handleRequest(r *request, p *baobabstep.Packet, now time.Duration) {
	switch p.Kind {
	case baobabstep.KindAnswer:
		w.answer(r, p, now)
	case baobabstep.KindRefusal:
		w.refusal(r, p, now)
	}
}

func (w *worker) answer(r *request, p *baobabstep.Packet, now time.Duration) {
	part := int(p.Part)
	if part >= len(r.parts) || int(p.Parts) != len(r.parts) || !bytes.Equal(p.Payload, exchange.Part(r.answer, part)) {
		w.end(r, func(c *Counts) {
			c.AnswersWrong++
			c.OutcomeUnknown++
		})
		return
	}
	if p.Service != r.service.id {
		w.process.count(func(c *Counts) { c.Misrouted++ })
	}
	if r.parts[part] {
		return
	}
	r.parts[part] = true
	r.missing--
	if r.missing == 0 {
		w.process.recordLatency(r.class, now-r.started)
		w.end(r, func(c *Counts) { c.Answered++ })
	}
}

func (w *worker) refusal(r *request, p *baobabstep.Packet, now time.Duration) {
	if !notRun(p.Code) {
		w.end(r, func(c *Counts) {
			c.OutcomeUnknown++
			c.Refusals[p.Code.String()]++
		})
		return
	}
	w.process.countRefused(r.number, p.Code)
	w.end(r, func(c *Counts) { c.RefusedNotRun++ })
	if p.RetryAfter > 0 && r.tries+1 < maxTries && p.Code != baobabstep.CodeCancelled {
		again := request{service: r.service, class: r.class, idempotent: r.idempotent, tries: r.tries + 1}
		w.retries = append(w.retries, retry{again, now + p.RetryAfter})
	}
}

// notRun tells whether a refusal promises that the request did not run.
func notRun(code baobabstep.Code) bool {
	switch code {
	case baobabstep.CodeRefusedNotRun, baobabstep.CodeDeadlineExceeded, baobabstep.CodeOverloaded,
		baobabstep.CodeCancelled, baobabstep.CodeShed, baobabstep.CodeStopping, baobabstep.CodeNoCapacity,
		baobabstep.CodeNoTarget, baobabstep.CodeTargetLeaving, baobabstep.CodeWrongService, baobabstep.CodeTableFull:
		return true
	}
	return false
}
