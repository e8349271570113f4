package emulator

import (
	"net/netip"
	"time"

	"baobabstep"
	"baobabstep/core/mix"
)

const (
	// firstCopy and secondCopy are when copies of a first segment go out, and
	// openLimit when a caller gives the flow up.
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	openLimit  = 1400 * time.Millisecond
	// lastRepeat bounds the doubling pauses after which data goes out again.
	lastRepeat = 1600 * time.Millisecond
	// ackDelay is how long a caller waits for a second packet to acknowledge.
	ackDelay = 40 * time.Millisecond
	// packetBytes is the data of one packet.
	packetBytes = 1200
	// retryPause is how long a caller waits before its next try, as measured.
	retryPause = 45 * time.Millisecond
	// idleFlow is how long an unused flow is kept.
	idleFlow = 11 * time.Second
	// firstPort is the first of a caller's ports.
	firstPort = 1025
)

// caller is one address from which requests come.
type caller struct {
	world   *World
	address netip.Addr
	// site is its data centre, entry the one whose VMs get its packets.
	site, entry int
	port        uint16
	// flows are those that are not closed, by port.
	flows map[uint16]*flow
	// idle are the open flows of each class that carry no request.
	idle map[*Class][]*flow
}

// request is what a caller wants done.
type request struct {
	class       *Class
	caller      *caller
	since       time.Duration
	work        float64 // milliseconds in a slot
	ask, answer int     // bytes
	tries       int
	done        bool
	// first is why the first try that failed did.
	first Cause
	// metOff is set if a segment of it reached a VM that was off. openMet and
	// dataMet are when a first segment and a request of it first reached one
	// that could have served it, 0 if none has.
	metOff           bool
	openMet, dataMet time.Duration
	now              *attempt
}

// attempt is one try of a request.
type attempt struct {
	request               *request
	flow                  *flow
	arrived, acknowledged bool
	ended                 bool
	// waited is the time in the target's queue.
	waited time.Duration
	slowed bool
}

// flow is a caller's end of a flow.
type flow struct {
	caller         *caller
	class          *Class
	key            baobabstep.FlowKey
	token          uint32
	seq, acked     uint32
	opened, closed bool
	// attempt is the one whose request it carries, nil for none.
	attempt *attempt
	used    time.Duration
}

// packet is a segment on its way, with what it stands for.
type packet struct {
	segment baobabstep.Segment
	flow    *flow
	attempt *attempt
}

// begin starts a request.
func (c *caller) begin(r *request) {
	c.world.result.asked(r)
	c.world.after(r.class.LimitMS.D(), func() { r.expire() })
	c.try(r)
}

// try sends a request over an idle flow, or a new one. A further try always goes
// over a new one.
func (c *caller) try(r *request) {
	r.tries++
	a := &attempt{request: r}
	r.now = a
	if r.tries == 1 {
		if f := c.idleFlow(r.class); f != nil {
			f.ask(a)
			return
		}
	}
	f := c.newFlow(r.class)
	a.flow, f.attempt = f, a
	f.open()
}

// idleFlow takes an idle flow of a class, the one used last; nil if there is none.
func (c *caller) idleFlow(class *Class) *flow {
	list := c.idle[class]
	for len(list) > 0 {
		f := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[class] = list
		switch {
		case f.closed:
		case c.world.now-f.used > idleFlow:
			f.close()
		default:
			return f
		}
	}
	return nil
}

func (c *caller) newFlow(class *Class) *flow {
	port := c.port
	c.port++
	if c.port == 0 {
		c.port = firstPort
	}
	key := baobabstep.FlowKey{Caller: netip.AddrPortFrom(c.address, port), Service: c.world.addresses[class]}
	f := &flow{caller: c, class: class, key: key, seq: uint32(mix.Uint64(flowHash(key)))}
	c.flows[port] = f
	return f
}

// forget drops a flow that is closed.
func (f *flow) forget() {
	f.closed = true
	delete(f.caller.flows, f.key.Caller.Port())
}

// openFlow returns the flow with a key, nil if it is closed.
func (w *World) openFlow(key baobabstep.FlowKey) *flow {
	if c := w.callers[key.Caller.Addr()]; c != nil {
		return c.flows[key.Caller.Port()]
	}
	return nil
}

// send hands a segment to the fabric.
func (f *flow) send(s baobabstep.Segment, a *attempt) {
	s.Flow = f.key
	p := &packet{segment: s, flow: f, attempt: a}
	w := f.caller.world
	w.after(w.deployment.Links.CallerMS.D(), func() {
		v := w.fabric.pick(f.key, f.caller.entry)
		if f.attempt != nil {
			f.attempt.request.meet(w.now, v, a != nil)
		}
		if v != nil && v.works(w.now) {
			v.receive(p)
		}
	})
}

// meet notes that a segment reached a VM, nil for none; data tells whether it
// carries the request.
func (r *request) meet(now time.Duration, v *vm, data bool) {
	met := &r.openMet
	if data {
		met = &r.dataMet
	}
	r.metOff = r.metOff || v == nil || !v.works(now)
	if v != nil && *met == 0 && v.able(now) {
		*met = now
	}
}

// best returns the worth that a request could have earned, given when its
// segments met VMs that had power for long enough to serve.
func (r *request) best() float64 {
	if !r.metOff {
		return r.class.Worth
	}
	links := &r.caller.world.deployment.Links
	met, left := r.dataMet, links.CallerMS.D()
	if met == 0 {
		met, left = r.openMet, 3*links.CallerMS.D() // the request follows the answer to the first segment
	}
	if met == 0 {
		return 0
	}
	took := met + left + time.Duration(r.work*float64(time.Millisecond)) - r.since
	return r.class.earns(took)
}

func (f *flow) open() {
	w := f.caller.world
	first := baobabstep.Segment{Kind: baobabstep.KindOpen, Seq: f.seq}
	f.seq++
	f.send(first, nil)
	for i, at := range [2]time.Duration{firstCopy, secondCopy} {
		w.after(at, func() {
			if !f.opened && !f.closed {
				s := first
				s.Acked = uint32(i + 1)
				f.send(s, nil)
			}
		})
	}
	w.after(openLimit, func() {
		if !f.opened {
			f.ended(CauseUnopened)
		}
	})
}

// accepted takes in a target's acceptance.
func (f *flow) accepted(t *target, token uint32) {
	if f.opened || f.closed {
		return
	}
	f.opened, f.token = true, token
	f.acked = uint32(mix.Uint64(uint64(t.id)+uint64(f.seq))) + 1
	if f.attempt != nil {
		f.ask(f.attempt)
	}
}

// ask sends a request and repeats it until the target has it.
func (f *flow) ask(a *attempt) {
	a.flow, f.attempt = f, a
	s := baobabstep.Segment{
		Kind: baobabstep.KindData, Token: f.token, Seq: f.seq, Acked: f.acked, Size: uint16(min(a.request.ask, 1<<16-1)),
	}
	f.seq += uint32(s.Size)
	f.transmit(a, s, firstCopy)
}

func (f *flow) transmit(a *attempt, s baobabstep.Segment, pause time.Duration) {
	f.send(s, a)
	f.caller.world.after(pause, func() {
		if !a.acknowledged && !a.ended && !f.closed {
			f.transmit(a, s, min(2*pause, lastRepeat))
		}
	})
}

// answered takes in an answer of some bytes.
func (f *flow) answered(a *attempt, why Cause, bytes int) {
	if f.closed || f.attempt != a {
		return
	}
	start := f.acked
	f.acked += uint32(bytes)
	f.attempt, f.used = nil, f.caller.world.now
	if f.class.Keep {
		f.acknowledge(start, bytes)
		f.caller.idle[f.class] = append(f.caller.idle[f.class], f)
	} else {
		f.close()
	}
	a.end(why)
}

// acknowledge sends what a caller says of an answer that began at start: each
// second packet at once, a last one without a second a little later.
func (f *flow) acknowledge(start uint32, bytes int) {
	pairs := bytes / (2 * packetBytes)
	if pairs > 0 {
		f.send(baobabstep.Segment{Kind: baobabstep.KindData, Token: f.token, Seq: f.seq, Acked: start + uint32(pairs*2*packetBytes)}, nil)
	}
	if (bytes+packetBytes-1)/packetBytes%2 == 0 {
		f.send(baobabstep.Segment{Kind: baobabstep.KindData, Token: f.token, Seq: f.seq, Acked: f.acked}, nil)
		return
	}
	seq, acked := f.seq, f.acked
	f.caller.world.after(ackDelay, func() {
		if f.seq == seq && f.acked == acked && !f.closed {
			f.send(baobabstep.Segment{Kind: baobabstep.KindData, Token: f.token, Seq: seq, Acked: acked}, nil)
		}
	})
}

// close ends an open flow.
func (f *flow) close() {
	f.forget()
	f.send(baobabstep.Segment{Kind: baobabstep.KindClose, Token: f.token, Seq: f.seq, Acked: f.acked}, nil)
}

// ended takes in a reset, or the end of a caller's patience with a first segment.
func (f *flow) ended(why Cause) {
	if f.closed {
		return
	}
	f.forget()
	if f.attempt != nil {
		f.attempt.end(why)
	}
}

// end is the end of one try.
func (a *attempt) end(why Cause) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.request
	if r.done {
		return
	}
	w := r.caller.world
	if why == CauseNone {
		r.done = true
		w.result.served(r, w.now-r.since)
		return
	}
	if r.first == CauseNone {
		r.first = why
	}
	if r.tries > r.class.Retries || !r.repeatable(why, a) {
		r.done = true
		w.result.lost(r, why)
		return
	}
	w.after(retryPause, func() {
		if !r.done {
			r.caller.try(r)
		}
	})
}

// repeatable tells whether a request may be tried again after a failure.
func (r *request) repeatable(why Cause, a *attempt) bool {
	switch {
	case r.class.Idempotent, why == CauseShed, why == CauseUnopened, why == CauseRefused:
		return true
	default:
		return !a.flow.opened
	}
}

// expire ends a request whose time is over.
func (r *request) expire() {
	if r.done {
		return
	}
	r.done = true
	r.caller.world.result.lost(r, r.whySilent())
	if a := r.now; a != nil && !a.ended && a.flow != nil {
		a.ended = true
		f := a.flow
		f.forget()
		f.send(baobabstep.Segment{Kind: baobabstep.KindReset, Token: f.token, Seq: f.seq}, nil)
	}
}

func (r *request) whySilent() Cause {
	switch {
	case r.metOff:
		return CauseVMOff
	case r.first != CauseNone:
		return r.first
	default:
		return CauseSilent
	}
}
