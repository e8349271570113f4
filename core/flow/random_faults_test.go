package flow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"baobabstep"
)

// machine drives a fleet by random events.
type machine struct {
	*exchange
	flows   []*fakeCaller
	closing map[*fakeCaller]bool
	paused  map[baobabstep.VMID]bool
	vmCount int
	tgCount int
}

// pick returns a running VM.
func (m *machine) pick(t *rapid.T) baobabstep.VMID {
	alive := m.alive()
	return alive[rapid.IntRange(0, len(alive)-1).Draw(t, "vm")].ID
}

// flow returns a flow that is open or opening, or nil.
func (m *machine) flow(t *rapid.T) (int, *fakeCaller) {
	if len(m.flows) == 0 {
		return 0, nil
	}
	n := rapid.IntRange(0, len(m.flows)-1).Draw(t, "flow")
	if c := m.flows[n]; !m.closing[c] && c.reset == 0 {
		return n, c
	}
	return n, nil
}

func (m *machine) open(t *rapid.T) {
	n := len(m.flows)
	m.flows = append(m.flows, m.sendOpen(n, m.pick(t)))
	if rapid.Bool().Draw(t, "twice") {
		m.sendOpen(n, m.pick(t))
	}
}

func (m *machine) repeat(t *rapid.T) {
	if n, c := m.flow(t); c != nil && c.opened == 0 {
		m.sendOpen(n, m.pick(t))
	}
}

func (m *machine) data(t *rapid.T) {
	if _, c := m.flow(t); c != nil && c.opened != 0 {
		m.enter(m.pick(t), baobabstep.Packet{Kind: baobabstep.KindData, Flow: c.key})
		m.run()
	}
}

func (m *machine) finish(t *rapid.T) {
	if _, c := m.flow(t); c != nil && c.opened != 0 {
		m.closing[c] = true
		m.enter(m.pick(t), baobabstep.Packet{Kind: baobabstep.KindClose, Flow: c.key})
		m.run()
	}
}

// news brings one VM, or all, up to date.
func (m *machine) news(t *rapid.T) {
	vm := m.pick(t)
	m.setView(vm, m.alive())
	m.routers[vm].SetConfig(m.now, m.config)
}

func (m *machine) newsToAll(*rapid.T) {
	m.setViews(m.alive())
	for _, r := range m.routers {
		if r != nil {
			r.SetConfig(m.now, m.config)
		}
	}
}

func (m *machine) death(t *rapid.T) {
	if len(m.alive()) > 4 {
		m.kill(m.pick(t))
	}
}

func (m *machine) join(t *rapid.T) {
	if len(m.alive()) < 9 {
		m.addVM(m.vmCount, 2)
		m.vmCount++
		vm := m.vms[slices.IndexFunc(m.vms, func(vm baobabstep.VM) bool { return vm.Name == fmt.Sprint("vm", m.vmCount-1) })]
		m.setView(vm.ID, m.alive())
	}
}

func (m *machine) pause(t *rapid.T) {
	vm := m.pick(t)
	m.paused[vm] = !m.paused[vm]
	m.routers[vm].SetPaused(m.now, m.paused[vm])
}

func (m *machine) wait(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
}

// retarget replaces one target; only some VMs hear of it now.
func (m *machine) retarget(t *rapid.T) {
	c := m.next(func(c *baobabstep.Config) {
		s := &c.Services[0]
		s.Targets = without(s.Targets, rapid.IntRange(0, len(s.Targets)-1).Draw(t, "target"))
		tg := s.Targets[0]
		tg.Name = fmt.Sprint("t", m.tgCount)
		tg.ID = baobabstep.MakeTargetID(tg.Name)
		s.Targets = append(s.Targets, tg)
		m.tgCount++
	})
	routers := m.routers
	m.routers = nil
	m.setConfig(c)
	m.routers = routers
	m.news(t)
}

// settle ends all faults and checks every flow: it goes on with the one target
// that has had its data, or it ended, and then no target holds it.
func (m *machine) settle(t *rapid.T) {
	for vm, paused := range m.paused {
		if r := m.routers[vm]; r != nil && paused {
			r.SetPaused(m.now, false)
		}
	}
	excused := map[*fakeCaller]bool{}
	for _, c := range m.flows {
		excused[c] = m.beyondBound(c)
	}
	m.newsToAll(t)
	m.advance(25 * time.Second)
	for n, c := range m.flows {
		switch {
		case excused[c]:
		case m.closing[c]:
			for range 3 {
				m.enter(0, baobabstep.Packet{Kind: baobabstep.KindClose, Flow: c.key})
				m.run()
			}
		case c.reset != 0:
			t.Fatalf("flow %v was reset with %v", c.key, c.reset)
		case c.opened == 0:
			m.exchange.open(n)
			m.goesOn(t, c)
		default:
			m.goesOn(t, c)
		}
	}
}

// beyondBound tells whether a flow may end by itself: all VMs with its record
// died, and its target is no more in the configuration, so that a VM which
// started since does not know whom to ask.
func (m *machine) beyondBound(c *fakeCaller) bool {
	for _, r := range m.routers {
		if r == nil {
			continue
		}
		if _, found := r.Explain(c.key); found {
			return false
		}
	}
	for id, tg := range m.targets {
		if _, holds := tg.flows[c.key]; holds && m.config.Target(id) == nil {
			return true
		}
	}
	return false
}

// goesOn checks that a flow carries data. A target that accepted a repeated
// open, and whose VMs all died, holds the flow for nobody until it asks.
func (m *machine) goesOn(t *rapid.T, c *fakeCaller) {
	for n := range 6 {
		if !m.say(c, fmt.Sprint("hello ", n), 0) {
			t.Fatalf("flow %v is broken, reset %v", c.key, c.reset)
		}
		m.orphansAsk(c)
	}
	m.assertAlive(c)
}

// orphansAsk has the targets that hold the flow for nobody ask for it.
func (m *machine) orphansAsk(c *fakeCaller) {
	for id, tg := range m.targets {
		if _, holds := tg.flows[c.key]; !holds || id == c.bound {
			continue
		}
		m.enter(0, baobabstep.Packet{
			Kind: baobabstep.KindProbe, FromTarget: true, Flow: c.key, Service: tg.config.Service, Target: id,
		})
		m.run()
		if m.config.Target(id) == nil {
			// Nobody may know its address any more.
			delete(tg.flows, c.key)
		}
	}
}

// Everything at once, in random order: opens and repetitions, data, ends,
// deaths, joins, pauses, targets replaced, with each VM hearing of it at some
// other time. A caller whose packets go unanswered repeats them. No invariant
// may break, no data may reach two targets, and no flow may end by itself.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			exchange: newExchange(t, fleet{vms: 6, dcs: 2, targets: 4}),
			closing:  map[*fakeCaller]bool{}, paused: map[baobabstep.VMID]bool{}, vmCount: 6, tgCount: 100,
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": m.open, "repeat": m.repeat, "data": m.data, "more data": m.data, "close": m.finish,
			"news": m.news, "more news": m.news, "news to all": m.newsToAll, "death": m.death, "join": m.join,
			"pause": m.pause, "wait": m.wait, "retarget": m.retarget,
		})
		m.settle(t)
	})
}
