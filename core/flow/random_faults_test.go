package flow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"baobabstep"
)

// faultMachine drives a fleet with random events.
type faultMachine struct {
	*testNetwork
	flows   []*fakeCaller
	closing map[*fakeCaller]bool
	paused  map[baobabstep.VMID]bool
	vmCount int
	tgCount int
}

// pick returns a random running VM.
func (m *faultMachine) pick(t *rapid.T) baobabstep.VMID {
	alive := m.alive()
	return alive[rapid.IntRange(0, len(alive)-1).Draw(t, "vm")].ID
}

// flow returns the index of a random flow, and the flow unless it has ended.
func (m *faultMachine) flow(t *rapid.T) (int, *fakeCaller) {
	if len(m.flows) == 0 {
		return 0, nil
	}
	n := rapid.IntRange(0, len(m.flows)-1).Draw(t, "flow")
	if c := m.flows[n]; !m.closing[c] && c.reset == 0 {
		return n, c
	}
	return n, nil
}

func (m *faultMachine) open(t *rapid.T) {
	n := len(m.flows)
	m.flows = append(m.flows, m.sendOpen(n, m.pick(t)))
	if rapid.Bool().Draw(t, "twice") {
		m.sendOpen(n, m.pick(t))
	}
}

func (m *faultMachine) repeat(t *rapid.T) {
	if n, c := m.flow(t); c != nil && c.opened == 0 {
		m.sendOpen(n, m.pick(t))
	}
}

func (m *faultMachine) data(t *rapid.T) {
	if _, c := m.flow(t); c != nil && c.opened != 0 {
		m.receive(m.pick(t), baobabstep.Packet{Kind: baobabstep.KindData, Flow: c.key})
		m.run()
	}
}

func (m *faultMachine) closeOne(t *rapid.T) {
	if _, c := m.flow(t); c != nil && c.opened != 0 {
		m.closing[c] = true
		m.receive(m.pick(t), baobabstep.Packet{Kind: baobabstep.KindClose, Flow: c.key})
		m.run()
	}
}

// updateOne gives one VM the current view and configuration.
func (m *faultMachine) updateOne(t *rapid.T) {
	vm := m.pick(t)
	m.setView(vm, m.alive())
	m.routers[vm].SetConfig(m.now, m.config)
}

func (m *faultMachine) updateAll(*rapid.T) {
	m.setViews(m.alive())
	for _, r := range m.routers {
		if r != nil {
			r.SetConfig(m.now, m.config)
		}
	}
}

func (m *faultMachine) death(t *rapid.T) {
	if len(m.alive()) > 4 {
		m.kill(m.pick(t))
	}
}

func (m *faultMachine) join(t *rapid.T) {
	if len(m.alive()) < 9 {
		m.addVM(m.vmCount, 2)
		m.vmCount++
		vm := m.vms[slices.IndexFunc(m.vms, func(vm baobabstep.VM) bool { return vm.Name == fmt.Sprint("vm", m.vmCount-1) })]
		m.setView(vm.ID, m.alive())
	}
}

func (m *faultMachine) pause(t *rapid.T) {
	vm := m.pick(t)
	m.paused[vm] = !m.paused[vm]
	m.routers[vm].SetPaused(m.now, m.paused[vm])
}

func (m *faultMachine) wait(t *rapid.T) {
	m.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond)
}

// retarget replaces one target; only one VM gets the new configuration.
func (m *faultMachine) retarget(t *rapid.T) {
	c := m.nextConfig(func(c *baobabstep.Config) {
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
	m.updateOne(t)
}

// checkAfterFaults ends all faults and checks that every flow either continues
// with the one target that received its data, or ended and no target has it.
func (m *faultMachine) checkAfterFaults(t *rapid.T) {
	for vm, paused := range m.paused {
		if r := m.routers[vm]; r != nil && paused {
			r.SetPaused(m.now, false)
		}
	}
	excused := map[*fakeCaller]bool{}
	for _, c := range m.flows {
		excused[c] = m.mayBeLost(c)
	}
	m.updateAll(t)
	m.advance(25 * time.Second)
	for n, c := range m.flows {
		switch {
		case excused[c]:
		case m.closing[c]:
			for range 3 {
				m.receive(0, baobabstep.Packet{Kind: baobabstep.KindClose, Flow: c.key})
				m.run()
			}
		case c.reset != 0:
			t.Fatalf("flow %v was reset with %v", c.key, c.reset)
		case c.opened == 0:
			m.testNetwork.open(n)
			m.checkUsable(t, c)
		default:
			m.checkUsable(t, c)
		}
	}
}

// mayBeLost reports whether a flow may end without cause: all VMs with its
// record died, and its target is no longer configured, so a VM that started
// since cannot probe it.
func (m *faultMachine) mayBeLost(c *fakeCaller) bool {
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

// checkUsable checks that a flow carries data. A target that accepted a
// repeated open, and whose VMs all died, keeps the flow until it probes.
func (m *faultMachine) checkUsable(t *rapid.T, c *fakeCaller) {
	for n := range 6 {
		if !m.sendData(c, fmt.Sprint("hello ", n), 0) {
			t.Fatalf("flow %v is broken, reset %v", c.key, c.reset)
		}
		m.probeFromOrphans(c)
	}
	m.assertAlive(c)
}

// probeFromOrphans sends probes from targets that have the flow without being
// used for it.
func (m *faultMachine) probeFromOrphans(c *fakeCaller) {
	for id, tg := range m.targets {
		if _, holds := tg.flows[c.key]; !holds || id == c.bound {
			continue
		}
		m.receive(0, baobabstep.Packet{
			Kind: baobabstep.KindProbe, FromTarget: true, Flow: c.key, Service: tg.config.Service, Target: id,
		})
		m.run()
		if m.config.Target(id) == nil {
			// No VM may have its address any more.
			delete(tg.flows, c.key)
		}
	}
}

// Random opens, repetitions, data, closes, VM deaths, joins, pauses and target
// replacements, which each VM learns of at a different time. Callers repeat
// unanswered packets. No invariant may break, no data may reach two targets,
// and no flow may end without a close.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		m := &faultMachine{
			testNetwork: newTestNetwork(t, fleet{vms: 6, dcs: 2, targets: 4}),
			closing:     map[*fakeCaller]bool{}, paused: map[baobabstep.VMID]bool{}, vmCount: 6, tgCount: 100,
		}
		t.Repeat(map[string]func(*rapid.T){
			"open": m.open, "repeat": m.repeat, "data": m.data, "more data": m.data, "close": m.closeOne,
			"news": m.updateOne, "more news": m.updateOne, "news to all": m.updateAll, "death": m.death, "join": m.join,
			"pause": m.pause, "wait": m.wait, "retarget": m.retarget,
		})
		m.checkAfterFaults(t)
	})
}
