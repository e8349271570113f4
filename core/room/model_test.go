package room_test

import (
	"math"
	"math/rand/v2"
	"time"

	"baobabstep"
	"baobabstep/core/room"
)

// model simulates callers that keep flows open for several requests, the gates of several
// VMs, and targets with slots and a queue, in steps of a millisecond.
type model struct {
	random  *rand.Rand
	now     time.Time
	gates   []*room.Gate // nil for a VM without a gate
	targets []*modelTarget
	callers []*caller
	// ordinary and urgent count the requests of the measured interval.
	ordinary, urgent       requestCounts
	measured               bool
	rejections, slotMillis int
}

type requestCounts struct{ requested, inTime int }

func (c *requestCounts) share() float64 { return float64(c.inTime) / float64(max(1, c.requested)) }

const (
	slots, queue  = 2, 8
	objective     = 500 * time.Millisecond
	unloaded      = 35 * time.Millisecond
	maxTries      = 3
	flowEndChance = 0.1
)

type modelTarget struct {
	working, waiting []*request
	// failing is the share of requests that the target rejects regardless of its load.
	failing float64
}

type caller struct {
	urgent bool
	// target and vm are those of the caller's flow. target is nil if no flow is open.
	target *modelTarget
	vm     int
}

type request struct {
	caller          *caller
	requested, sent time.Time
	done            time.Time
	tries           int
	counted         bool
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

// run simulates an interval. offered is the offered load relative to the capacity of the
// slots.
func (m *model) run(d time.Duration, offered float64) {
	const meanSeconds = 0.033
	perMilli := offered * float64(slots*len(m.targets)) / meanSeconds / 1000
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(time.Millisecond) {
		for _, t := range m.targets {
			m.process(t)
		}
		for n := m.poisson(perMilli); n > 0; n-- {
			c := m.callers[m.random.IntN(len(m.callers))]
			r := &request{caller: c, requested: m.now, counted: m.measured}
			if m.measured {
				m.countsOf(c).requested++
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

func (m *model) countsOf(c *caller) *requestCounts {
	if c.urgent {
		return &m.urgent
	}
	return &m.ordinary
}

// try sends a request on the caller's flow or on a new one, with up to maxTries tries.
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

// open opens a flow through a random VM to the target with the shortest queue of three
// random ones. It reports whether the flow was admitted.
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

func (m *model) process(t *modelTarget) {
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
	if r.counted && m.now.Sub(r.requested) <= objective {
		m.countsOf(r.caller).inTime++
	}
	if m.random.Float64() < flowEndChance {
		r.caller.target = nil
	}
}

// measure simulates an interval and returns the utilization of the slots and the number of
// rejections.
func (m *model) measure(d time.Duration, offered float64) (busy float64, rejections int) {
	m.ordinary, m.urgent, m.slotMillis, m.rejections = requestCounts{}, requestCounts{}, 0, 0
	m.measured = true
	m.run(d, offered)
	m.measured = false
	rejections = m.rejections
	m.run(objective, offered) // completes the counted requests
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

// leave removes n VMs. The flows through them continue through the remaining VMs.
func (m *model) leave(n int) {
	m.gates = m.gates[n:]
	for _, c := range m.callers {
		c.vm %= len(m.gates)
	}
}
