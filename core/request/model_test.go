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

// model is a queueing model of one service, without engines. It compares policies
// for assigning requests to slots. Requests arrive at random VMs as a Poisson
// process and take exponentially distributed times; a target without a free slot
// refuses at once.
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
	// local[vm][target] counts the requests that each VM has at each target.
	local [][]int
	// idle[vm] lists targets that reported a free slot to the VM.
	idle [][]int
}

type modelDispatcher struct {
	first, numTargets int
	used              []int
	queue             []time.Duration
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
	modelSlots       = 2
	modelServiceTime = 10 * time.Millisecond
	modelOneWayDelay = 500 * time.Microsecond
	// modelMaxWait is the longest wait before a request is shed.
	modelMaxWait = 4 * modelServiceTime
	modelBackoff = 4 * time.Millisecond
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
	size := (targets + target.GroupCount(targets) - 1) / target.GroupCount(targets)
	for first := 0; first < targets; first += size {
		n := min(size, targets-first)
		m.dispatchers = append(m.dispatchers, modelDispatcher{first: first, numTargets: n, used: make([]int, n)})
	}
	return m
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{m.now + d, do})
}

func (m *model) run(load float64, length time.Duration, arrive func(at time.Duration)) {
	meanGap := float64(modelServiceTime) / (load * float64(modelSlots*len(m.busy)))
	var next func()
	next = func() {
		arrive(m.now)
		m.after(time.Duration(m.rand.ExpFloat64()*meanGap), next)
	}
	m.after(0, next)
	for m.now < length {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

// startService starts a request at a target, or returns false if the target
// refuses. done is called when the slot is free again.
func (m *model) startService(target int, arrived time.Duration, done func()) bool {
	if m.busy[target] >= modelSlots {
		return false
	}
	m.busy[target]++
	m.served[target]++
	m.delays = append(m.delays, m.now-arrived)
	m.after(time.Duration(m.rand.ExpFloat64()*float64(modelServiceTime)), func() {
		m.busy[target]--
		done()
	})
	return true
}

// viaDispatcher sends each request to the least used target of its group.
func (m *model) viaDispatcher(arrived time.Duration) {
	d := &m.dispatchers[m.rand.IntN(len(m.dispatchers))]
	m.messages++
	m.after(modelOneWayDelay, func() {
		d.queue = append(d.queue, arrived)
		m.dispatchQueue(d)
	})
}

func (m *model) dispatchQueue(d *modelDispatcher) {
	for len(d.queue) > 0 {
		if m.now-d.queue[0] > modelMaxWait {
			m.shed++
			d.queue = d.queue[1:]
			continue
		}
		i := m.leastUsed(d.used)
		if d.used[i] >= modelSlots {
			return
		}
		arrived := d.queue[0]
		d.queue = d.queue[1:]
		d.used[i]++
		m.messages += 2
		m.after(modelOneWayDelay, func() {
			m.startService(d.first+i, arrived, func() {
				m.after(modelOneWayDelay, func() {
					d.used[i]--
					m.dispatchQueue(d)
				})
			})
		})
	}
}

func (m *model) leastUsed(used []int) int {
	start := m.rand.IntN(len(used))
	best := start
	for k := range used {
		if i := (start + k) % len(used); used[i] < used[best] {
			best = i
		}
	}
	return best
}

// twoChoices picks two random targets and takes the one with fewer requests from
// this VM.
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

// joinIdle picks a target that reported a free slot to this VM, or else a random
// one.
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
		m.after(modelOneWayDelay, func() { m.idle[to] = append(m.idle[to], target) })
	})
}

// attempt tries targets until one accepts the request or modelMaxWait is over.
func (m *model) attempt(vm int, arrived time.Duration, pick func() int, free func(target int)) {
	if m.now-arrived > modelMaxWait {
		m.shed++
		return
	}
	t := pick()
	m.local[vm][t]++
	m.messages += 2
	back := func() { m.after(modelOneWayDelay, func() { m.local[vm][t]-- }) }
	m.after(modelOneWayDelay, func() {
		served := m.startService(t, arrived, func() {
			back()
			free(t)
		})
		if served {
			return
		}
		back()
		wait := modelOneWayDelay + time.Duration(m.rand.Int64N(int64(modelBackoff)))
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

// BenchmarkDispatchModel produces the figures of docs/design/requests.md:
// go test -run - -bench DispatchModel -benchtime 1x ./core/request
func BenchmarkDispatchModel(b *testing.B) {
	sizes := []struct{ vms, targets int }{{6, 15}, {9, 15}, {200, 400}}
	policies := []struct {
		name string
		pick func(m *model) func(time.Duration)
	}{
		{"dispatcher", func(m *model) func(time.Duration) { return m.viaDispatcher }},
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
