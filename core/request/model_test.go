package request

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"baobabstep/core/target"
)

// model is a queue model of one service, without engines: it compares ways to
// give slots to requests. Requests arrive at random VMs as a Poisson process
// and take an exponential time; a target with no free slot refuses at once.
type model struct {
	rand        *rand.Rand
	now         time.Duration
	events      modelEvents
	vms         int
	busy        []int
	served      []int
	delays      []time.Duration
	shed        int
	messages    int
	dispatchers []modelDispatcher
	// local[vm][target] counts what each VM has at each target.
	local [][]int
	// idle[vm] lists targets that told the VM of a free slot.
	idle [][]int
}

type modelDispatcher struct {
	first, n int
	used     []int
	queue    []time.Duration
}

type modelEvent struct {
	at time.Duration
	do func()
}

type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }

func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	modelSlots   = 2
	modelService = 10 * time.Millisecond
	modelHop     = 500 * time.Microsecond
	// modelPatience is the longest wait before a request is shed.
	modelPatience = 4 * modelService
	modelBackoff  = 4 * time.Millisecond
)

func newModel(vms, targets int) *model {
	m := &model{
		rand: rand.New(rand.NewPCG(7, 7)), vms: vms,
		busy: make([]int, targets), served: make([]int, targets),
		local: make([][]int, vms), idle: make([][]int, vms),
	}
	for i := range m.local {
		m.local[i] = make([]int, targets)
	}
	size := (targets + target.Groups(targets) - 1) / target.Groups(targets)
	for first := 0; first < targets; first += size {
		n := min(size, targets-first)
		m.dispatchers = append(m.dispatchers, modelDispatcher{first: first, n: n, used: make([]int, n)})
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{m.now + d, do})
}

func (m *model) run(load float64, length time.Duration, arrive func(at time.Duration)) {
	gap := float64(modelService) / (load * float64(modelSlots*len(m.busy)))
	var next func()
	next = func() {
		arrive(m.now)
		m.after(time.Duration(m.rand.ExpFloat64()*gap), next)
	}
	m.after(0, next)
	for m.now < length {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

// serve starts a request at a target, or returns false if it refuses. done is
// called when the slot is free again.
func (m *model) serve(target int, arrived time.Duration, done func()) bool {
	if m.busy[target] >= modelSlots {
		return false
	}
	m.busy[target]++
	m.served[target]++
	m.delays = append(m.delays, m.now-arrived)
	m.after(time.Duration(m.rand.ExpFloat64()*float64(modelService)), func() {
		m.busy[target]--
		done()
	})
	return true
}

// dispatcher gives each request to the least used target of its group.
func (m *model) dispatcher(arrived time.Duration) {
	d := &m.dispatchers[m.rand.IntN(len(m.dispatchers))]
	m.messages++
	m.after(modelHop, func() {
		d.queue = append(d.queue, arrived)
		m.drain(d)
	})
}

func (m *model) drain(d *modelDispatcher) {
	for len(d.queue) > 0 {
		if m.now-d.queue[0] > modelPatience {
			m.shed++
			d.queue = d.queue[1:]
			continue
		}
		i := m.least(d.used)
		if d.used[i] >= modelSlots {
			return
		}
		arrived := d.queue[0]
		d.queue = d.queue[1:]
		d.used[i]++
		m.messages += 2
		m.after(modelHop, func() {
			m.serve(d.first+i, arrived, func() {
				m.after(modelHop, func() {
					d.used[i]--
					m.drain(d)
				})
			})
		})
	}
}

func (m *model) least(used []int) int {
	start := m.rand.IntN(len(used))
	best := start
	for k := range used {
		if i := (start + k) % len(used); used[i] < used[best] {
			best = i
		}
	}
	return best
}

// twoChoices draws two targets and takes the one to which the VM itself has
// sent less.
func (m *model) twoChoices(arrived time.Duration) {
	vm := m.rand.IntN(m.vms)
	m.attempt(vm, arrived, func() int {
		a, b := m.rand.IntN(len(m.busy)), m.rand.IntN(len(m.busy))
		if m.local[vm][b] < m.local[vm][a] {
			return b
		}
		return a
	}, func(int) {})
}

// joinIdle sends to a target that told this VM of a free slot, or to any.
func (m *model) joinIdle(arrived time.Duration) {
	vm := m.rand.IntN(m.vms)
	m.attempt(vm, arrived, func() int {
		q := m.idle[vm]
		if len(q) == 0 {
			return m.rand.IntN(len(m.busy))
		}
		m.idle[vm] = q[1:]
		return q[0]
	}, func(target int) {
		to := m.rand.IntN(m.vms)
		m.messages++
		m.after(modelHop, func() { m.idle[to] = append(m.idle[to], target) })
	})
}

// attempt tries targets until one serves or the patience ends.
func (m *model) attempt(vm int, arrived time.Duration, pick func() int, free func(target int)) {
	if m.now-arrived > modelPatience {
		m.shed++
		return
	}
	t := pick()
	m.local[vm][t]++
	m.messages += 2
	back := func() { m.after(modelHop, func() { m.local[vm][t]-- }) }
	m.after(modelHop, func() {
		served := m.serve(t, arrived, func() {
			back()
			free(t)
		})
		if served {
			return
		}
		back()
		wait := modelHop + time.Duration(m.rand.Int64N(int64(modelBackoff)))
		m.after(wait, func() { m.attempt(vm, arrived, pick, free) })
	})
}

func (m *model) seedIdle() {
	for t := range m.busy {
		for range modelSlots {
			vm := m.rand.IntN(m.vms)
			m.idle[vm] = append(m.idle[vm], t)
		}
	}
}

// BenchmarkDispatchModel gives the figures of docs/design/requests.md:
// go test -run - -bench DispatchModel -benchtime 1x ./core/request
func BenchmarkDispatchModel(b *testing.B) {
	sizes := []struct{ vms, targets int }{{6, 15}, {9, 15}, {200, 400}}
	policies := []struct {
		name string
		pick func(m *model) func(time.Duration)
	}{
		{"dispatcher", func(m *model) func(time.Duration) { return m.dispatcher }},
		{"two_choices", func(m *model) func(time.Duration) { return m.twoChoices }},
		{"join_idle", func(m *model) func(time.Duration) { m.seedIdle(); return m.joinIdle }},
	}
	for _, size := range sizes {
		for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
			for _, policy := range policies {
				b.Run(fmt.Sprintf("vms=%d/targets=%d/load=%v/%s", size.vms, size.targets, load, policy.name), func(b *testing.B) {
					for range b.N {
						m := newModel(size.vms, size.targets)
						m.run(load, time.Duration(300/size.targets)*time.Second+2*time.Second, policy.pick(m))
						m.report(b)
					}
				})
			}
		}
	}
}

func (m *model) report(b *testing.B) {
	slices.Sort(m.delays)
	n := len(m.delays)
	most, sum := 0, 0
	for _, s := range m.served {
		most = max(most, s)
		sum += s
	}
	b.ReportMetric(100*float64(m.shed)/float64(n+m.shed), "shed_%")
	b.ReportMetric(float64(m.delays[n/2])/1e6, "delay_p50_ms")
	b.ReportMetric(float64(m.delays[n*99/100])/1e6, "delay_p99_ms")
	b.ReportMetric(float64(most)*float64(len(m.served))/float64(sum)-1, "imbalance")
	b.ReportMetric(float64(m.messages)/float64(n+m.shed), "messages/req")
	b.ReportMetric(0, "ns/op")
}
