package callers

import (
	"time"

	"baobabstep"
	"baobabstep/standin/exchange"
)

type phase uint8

const (
	// phaseWaiting waits for next to open.
	phaseWaiting phase = iota
	phaseOpening
	phaseOpen
	// phaseClosed has been checked a last time and closed by its caller.
	phaseClosed
)

// flow is one long flow. A flow that breaks is opened anew under a new number.
type flow struct {
	service *service
	phase   phase
	number  uint64
	target  baobabstep.TargetID
	// next is when to open, repeat or show a sign of life.
	next time.Duration
	// asked is when the caller began to wait for an answer, if waiting.
	asked   time.Duration
	waiting bool
	repeat  time.Duration
	seq     uint32
	acked   uint32
	// last is the seq of the last sign of life at the end of the run.
	last uint32
}

func (w *worker) stepFlow(f *flow, now time.Duration, finishing bool) {
	if finishing {
		w.finishFlow(f, now)
	}
	if now < f.next {
		return
	}
	switch f.phase {
	case phaseWaiting:
		if !finishing {
			w.open(f, now)
		}
	case phaseOpening:
		if now-f.asked > w.process.silence() {
			w.process.count(func(c *Counts) { c.FlowsNotOpened++ })
			w.drop(f, now+reopenDelay)
			return
		}
		w.repeatFlow(f, now)
	case phaseOpen:
		if !f.waiting {
			f.waiting, f.asked, f.repeat = true, now, firstRepeat
			f.seq++
			w.sendFlow(f, now)
			return
		}
		if now-f.asked > w.process.silence() {
			w.breakFlow(f, now, "silent", baobabstep.CodeOK, 0)
			return
		}
		w.repeatFlow(f, now)
	}
}

// finishFlow lets each flow show one more sign of life in its turn, so that it
// is known to live or be broken at the end, and closes it once that is answered.
func (w *worker) finishFlow(f *flow, now time.Duration) {
	switch {
	case f.phase == phaseOpen && f.last == 0:
		f.last = f.seq + 1
	case f.phase == phaseOpen && !f.waiting && f.acked >= f.last:
		w.send(&baobabstep.Packet{Kind: baobabstep.KindClose, Flow: w.key(f.service, f.number), Seq: f.seq + 1})
		w.drop(f, now)
		f.phase = phaseClosed
	case f.phase == phaseWaiting:
		f.phase = phaseClosed
	}
}

func (w *worker) open(f *flow, now time.Duration) {
	f.number = w.random.Uint64()
	f.phase, f.target, f.seq, f.acked, f.last = phaseOpening, 0, 0, 0, 0
	f.asked, f.repeat, f.waiting = now, firstRepeat, true
	w.flows[f.number] = f
	w.sendFlow(f, now)
}

func (w *worker) repeatFlow(f *flow, now time.Duration) {
	f.repeat = min(2*f.repeat, maxRepeat)
	w.process.count(func(c *Counts) { c.Repeats++ })
	w.sendFlow(f, now)
}

func (w *worker) sendFlow(f *flow, now time.Duration) {
	f.next = now + f.repeat
	p := baobabstep.Packet{Kind: baobabstep.KindOpen, Flow: w.key(f.service, f.number), Seq: f.seq}
	if f.phase == phaseOpen {
		p.Kind = baobabstep.KindData
		p.Payload = exchange.FlowPayload(exchange.Keepalive, uint64(f.seq), f.target)
	}
	w.send(&p)
}

// drop forgets the flow; its slot opens a new one at next.
func (w *worker) drop(f *flow, next time.Duration) {
	delete(w.flows, f.number)
	f.phase, f.next, f.waiting = phaseWaiting, next, false
}

func (w *worker) breakFlow(f *flow, now time.Duration, reason string, code baobabstep.Code, retryAfter time.Duration) {
	b := Broken{Service: f.service.Name, Target: f.target, Number: f.number, Reason: reason, Code: code, AtMS: now.Milliseconds()}
	w.process.countBroken(b)
	w.drop(f, now+max(retryAfter, reopenDelay))
}

func (w *worker) handleFlow(f *flow, p *baobabstep.Packet, now time.Duration) {
	switch p.Kind {
	case baobabstep.KindOpened:
		w.opened(f, p, now)
	case baobabstep.KindData:
		w.flowData(f, p, now)
	case baobabstep.KindProbe:
		w.send(&baobabstep.Packet{Kind: baobabstep.KindProbeAck, Flow: p.Flow, Seq: p.Seq})
	case baobabstep.KindReset, baobabstep.KindRefusal:
		if f.phase == phaseOpening {
			w.process.count(func(c *Counts) { c.OpensRefused[p.Code.String()]++ })
			w.drop(f, now+max(p.RetryAfter, reopenDelay))
			return
		}
		w.breakFlow(f, now, "reset", p.Code, p.RetryAfter)
	case baobabstep.KindClose:
		w.breakFlow(f, now, "closed", p.Code, p.RetryAfter)
	}
}

func (w *worker) opened(f *flow, p *baobabstep.Packet, now time.Duration) {
	switch {
	case p.Service != f.service.id || f.phase == phaseOpen && p.Target != f.target:
		w.misrouted(f, now)
	case f.phase == phaseOpening:
		f.phase, f.target, f.waiting = phaseOpen, p.Target, false
		f.next = now + time.Duration(w.random.Int64N(int64(w.process.keepalive())))
		w.process.count(func(c *Counts) { c.FlowsOpened++ })
	}
}

func (w *worker) misrouted(f *flow, now time.Duration) {
	w.process.count(func(c *Counts) { c.Misrouted++ })
	w.breakFlow(f, now, "misrouted", baobabstep.CodeOK, 0)
}

// flowData takes an acknowledgement or a push. Data may overtake the packet
// that says the flow is open; it is not taken as that, the caller asks again.
func (w *worker) flowData(f *flow, p *baobabstep.Packet, now time.Duration) {
	kind, number, target, ok := exchange.ParseFlowPayload(p.Payload)
	if f.phase != phaseOpen {
		return
	}
	if !ok || p.Service != f.service.id || p.Target != f.target || target != f.target {
		w.misrouted(f, now)
		return
	}
	switch {
	case kind == exchange.Push:
		w.process.count(func(c *Counts) { c.Pushes++ })
	case kind == exchange.Ack && f.waiting && number == uint64(f.seq):
		f.waiting, f.acked = false, f.seq
		f.next = now + w.process.keepalive()
	}
}

func (p *Process) silence() time.Duration {
	return time.Duration(p.settings.SilenceMS) * time.Millisecond
}

func (p *Process) keepalive() time.Duration {
	return time.Duration(p.settings.KeepaliveMS) * time.Millisecond
}
