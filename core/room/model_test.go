package room_test

import (
	"math"
	"math/rand/v2"
	"time"

	"baobabstep"
	"baobabstep/core/room"
)

// model plays callers that keep flows open for several requests, the gates of several VMs,
// and targets with slots and a queue, in steps of a millisecond.
type model struct {
	random  *rand.Rand
	now     time.Time
	gates   []*room.Gate // nil for a VM without the mechanism
	targets []*modelTarget
	callers []*caller
	// ordinary and urgent count the requests of the interval that is measured.
	ordinary, urgent       tally
	measured               bool
	rejections, slotMillis int
}

type tally struct{ asked, inTime int }

func (t *tally) share() float64 { return float64(t.inTime) / float64(max(1, t.asked)) }

const (
	slots, queue  = 2, 8
	objective     = 500 * time.Millisecond
	unloaded      = 35 * time.Millisecond
	maxTries      = 3
	flowEndChance = 0.1
)

type modelTarget struct {
	working, waiting []*request
	// failing is the share of requests that it answers with an error at once.
	failing float64
}

type caller struct {
	urgent bool
	// target and vm are those of the caller's flow; target is nil if it has none.
	target *modelTarget
	vm     int
}

type request struct {
	caller      *caller
	asked, sent time.Time
	done        time.Time
	tries       int
	counted     bool
}

var start = time.Unix(1_800_000_000, 0)

func newModel(seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), now: start}
	for range vms {
		m.gates = append(m.gates, new(room.Gate))
	}
	for range targets {
		m.targets = append(m.targets, new(modelTarget))
	}
	for i := range callers {
		m.callers = append(m.callers, &caller{urgent: i%3 == 0})
	}
	return m
}

// run plays some time in which the callers together ask work for a multiple of the slots.
func (m *model) run(d time.Duration, offered float64) {
	const meanSeconds = 0.033
	perMilli := offered * float64(slots*len(m.targets)) / meanSeconds / 1000
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(time.Millisecond) {
		for _, t := range m.targets {
			m.work(t)
		}
		for n := m.poisson(perMilli); n > 0; n-- {
			c := m.callers[m.random.IntN(len(m.callers))]
			r := &request{caller: c, asked: m.now, counted: m.measured}
			if m.measured {
				m.tallyOf(c).asked++
			}
			m.try(r)
		}
		if m.now.Sub(start)%(100*time.Millisecond) == 0 {
			m.update()
		}
	}
}

func (m *model) update() {
	for _, gate := range m.gates {
		if gate != nil {
			gate.Update(m.now, unloaded, len(m.targets))
		}
	}
}

func (m *model) poisson(mean float64) (n int) {
	for p := m.random.Float64(); p > math.Exp(-mean); p *= m.random.Float64() {
		n++
	}
	return n
}

func (m *model) tallyOf(c *caller) *tally {
	if c.urgent {
		return &m.urgent
	}
	return &m.ordinary
}

// try sends a request on the caller's flow or on a new one; the caller gives up after
// maxTries.
func (m *model) try(r *request) {
	c := r.caller
	for ; r.tries < maxTries; r.tries++ {
		if c.target == nil && !m.open(c) {
			continue
		}
		t := c.target
		if len(t.waiting) < queue && m.random.Float64() >= t.failing {
			r.sent = m.now
			t.waiting = append(t.waiting, r)
			return
		}
		m.rejections++
		c.target = nil
		if gate := m.gates[c.vm]; gate != nil {
			gate.AddRejected(m.now, m.idOf(t))
		}
	}
}

func (m *model) idOf(t *modelTarget) baobabstep.TargetID {
	for i := range m.targets {
		if m.targets[i] == t {
			return baobabstep.TargetID(i + 1)
		}
	}
	return 0
}

// open opens a flow through a random VM to the least busy of three targets.
func (m *model) open(c *caller) bool {
	c.vm = m.random.IntN(len(m.gates))
	if gate := m.gates[c.vm]; gate != nil && !c.urgent && !gate.Admits(m.random.Uint64()) {
		return false
	}
	for range 3 {
		t := m.targets[m.random.IntN(len(m.targets))]
		if c.target == nil || len(t.waiting) < len(c.target.waiting) {
			c.target = t
		}
	}
	return true
}

func (m *model) work(t *modelTarget) {
	rest := t.working[:0]
	for _, r := range t.working {
		if m.now.Before(r.done) {
			rest = append(rest, r)
			continue
		}
		m.finish(r)
	}
	t.working = rest
	for len(t.working) < slots && len(t.waiting) > 0 {
		r := t.waiting[0]
		t.waiting = t.waiting[1:]
		mean := 30.0
		if r.caller.urgent {
			mean = 39
		}
		r.done = m.now.Add(time.Duration(mean * math.Exp(0.5*m.random.NormFloat64()-0.125) * float64(time.Millisecond)))
		t.working = append(t.working, r)
	}
	if m.measured {
		m.slotMillis += len(t.working)
	}
}

func (m *model) finish(r *request) {
	if gate := m.gates[r.caller.vm]; gate != nil {
		gate.AddAnswered(m.now, m.now.Sub(r.sent))
	}
	if r.counted && m.now.Sub(r.asked) <= objective {
		m.tallyOf(r.caller).inTime++
	}
	if m.random.Float64() < flowEndChance {
		r.caller.target = nil
	}
}

// measure plays an interval and returns the share of the slots that was busy, and the
// number of rejections.
func (m *model) measure(d time.Duration, offered float64) (busy float64, rejections int) {
	m.ordinary, m.urgent, m.slotMillis, m.rejections = tally{}, tally{}, 0, 0
	m.measured = true
	m.run(d, offered)
	m.measured = false
	rejections = m.rejections
	m.run(objective, offered) // for the answers
	return float64(m.slotMillis) / float64(slots*len(m.targets)) / float64(d/time.Millisecond), rejections
}

func (m *model) closed() (n int) {
	for _, gate := range m.gates {
		if gate != nil && gate.State().Closed {
			n++
		}
	}
	return n
}

// leave takes VMs away; their callers' flows go on through the others.
func (m *model) leave(n int) {
	m.gates = m.gates[n:]
	for _, c := range m.callers {
		c.vm %= len(m.gates)
	}
}
