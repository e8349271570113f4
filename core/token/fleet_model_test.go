package token

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"baobabstep"
)

// fleetModel simulates a fleet of routers with callers and targets in virtual time. Callers
// follow the protocol: they retransmit after 200 ms without a reply, repeat a request
// after 200 ms, and use a new port for each try.
type fleetModel struct {
	t       *rapid.T
	now     time.Time
	routers []*Router
	// links are the links of the VMs. On a congested link segments wait, so that a caller often
	// repeats what was answered.
	links   []*testLink
	random  *rand.Rand
	version uint64
	// routed are the services that each address was ever routed to, routes the present
	// ones.
	routed map[string][]string
	routes map[string]string
	// targets are all targets that ever existed.
	targets map[baobabstep.TargetID]*modelTarget
	nextID  baobabstep.TargetID
	flows   []*modelFlow
	port    uint16
}

type modelTarget struct {
	registration baobabstep.Registration
	registered   bool
	// silent is set while the target answers nothing; disturbed is when that last changed.
	silent    bool
	disturbed time.Time
}

type modelFlow struct {
	key     baobabstep.FlowKey
	target  *modelTarget
	token   uint32
	seq     uint32
	acked   uint32
	address string
}

// modelAddresses are the service addresses by name.
var modelAddresses = map[string]baobabstep.FlowKey{
	"a": flowFrom(0, fixtures), "b": flowFrom(0, results),
}

func newFleetModel(t *rapid.T) *fleetModel {
	m := &fleetModel{
		t: t, now: start, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		routed: map[string][]string{}, routes: map[string]string{"a": "fixtures", "b": "results"},
		targets: map[baobabstep.TargetID]*modelTarget{},
	}
	for range 6 {
		m.join()
	}
	for range 3 {
		m.links = append(m.links, new(testLink))
		m.routers = append(m.routers, m.newRouter(len(m.routers)))
	}
	m.putRoutes()
	m.register()
	return m
}

func (m *fleetModel) newRouter(vm int) *Router {
	return New(Options{DataCentre: "a", Rand: rand.New(rand.NewPCG(m.random.Uint64(), 2)), Link: m.links[vm]})
}

func (m *fleetModel) join() {
	m.nextID++
	service := []string{"fixtures", "results"}[int(m.nextID)%2]
	m.targets[m.nextID] = &modelTarget{registration: registration(m.nextID, service, "a"), registered: true, disturbed: m.now}
}

func (m *fleetModel) table() *baobabstep.RoutingTable {
	table := &baobabstep.RoutingTable{Version: m.version}
	for _, name := range []string{"a", "b"} {
		if service, ok := m.routes[name]; ok {
			table.Rules = append(table.Rules, singleRule(modelAddresses[name].Service, service))
		}
	}
	return table
}

func (m *fleetModel) putRoutes() {
	m.version++
	for name, service := range m.routes {
		if !slices.Contains(m.routed[name], service) {
			m.routed[name] = append(m.routed[name], service)
		}
	}
	for _, r := range m.routers {
		r.SetTable(m.now, m.table())
	}
}

func (m *fleetModel) register() {
	var list []baobabstep.Registration
	for _, t := range m.targets {
		if t.registered {
			list = append(list, t.registration)
		}
	}
	for _, r := range m.routers {
		r.SetRegistrations(m.now, list)
	}
}

// send passes a segment to a random VM and returns what that VM sends. late is set if the
// segment waits on the VM's link for longer than its caller does.
func (m *fleetModel) send(f *modelFlow, s baobabstep.Segment) (sent *baobabstep.OutgoingDatagram, late bool) {
	s.Flow = f.key
	var out []baobabstep.OutgoingDatagram
	vm := m.random.IntN(len(m.routers))
	m.routers[vm].Handle(m.now, &s, &out)
	late = m.links[vm].CongestedSince(m.now)
	if len(out) > 1 {
		m.t.Fatalf("one segment became %d", len(out))
	}
	if len(out) == 0 {
		return nil, late
	}
	if id := out[0].Target; id != 0 {
		service := m.targets[id].registration.Service
		if !slices.Contains(m.routed[f.address], service) {
			m.t.Fatalf("a segment to %s went to %s, which it was never routed to", f.address, service)
		}
	}
	return &out[0], late
}

// open opens a flow as a caller does.
func (m *fleetModel) open() {
	m.port++
	name := []string{"a", "b"}[m.random.IntN(2)]
	f := &modelFlow{key: flowFrom(m.port, modelAddresses[name].Service), seq: m.random.Uint32(), address: name}
	for retransmissions := range uint32(3) {
		out, late := m.send(f, baobabstep.Segment{Kind: baobabstep.KindOpen, Seq: f.seq, Acked: retransmissions})
		if out == nil || out.Target == 0 {
			return
		}
		t := m.targets[out.Target]
		if retransmissions == 0 && t.registration.Draining && t.registered {
			m.t.Fatalf("a new flow went to target %d, which drains", out.Target)
		}
		if !t.silent && !late {
			f.target, f.token, f.acked = t, out.Token, 1
			f.seq++
			m.flows = append(m.flows, f)
			m.request(f)
			return
		}
		m.now = m.now.Add(200 * time.Millisecond)
	}
}

// request sends a request on an established flow, and repeats it once if there is no
// answer.
func (m *fleetModel) request(f *modelFlow) {
	for range 2 {
		out, late := m.send(f, baobabstep.Segment{Kind: baobabstep.KindData, Token: f.token, Seq: f.seq, Acked: f.acked, Size: 100})
		switch {
		case out == nil:
		case out.Target == 0:
			m.checkReset(f)
			m.forget(f)
			return
		case m.targets[out.Target] != f.target:
			m.t.Fatalf("a segment of a flow at target %d went to %d", f.target.registration.ID, out.Target)
		case !f.target.silent && !late:
			f.seq += 100
			f.acked += 600
			m.send(f, baobabstep.Segment{Kind: baobabstep.KindData, Token: f.token, Seq: f.seq, Acked: f.acked})
			return
		}
		m.now = m.now.Add(200 * time.Millisecond)
	}
}

func (m *fleetModel) forget(f *modelFlow) {
	m.flows = slices.DeleteFunc(m.flows, func(x *modelFlow) bool { return x == f })
}

// checkReset checks that there was a valid reason to reset an established flow.
func (m *fleetModel) checkReset(f *modelFlow) {
	_, routed := m.routes[f.address]
	if !routed || f.target.silent || m.now.Sub(f.target.disturbed) < 4*time.Second {
		return
	}
	m.t.Fatalf("a flow at target %d was reset, to which nothing happened for %v", f.target.registration.ID, m.now.Sub(f.target.disturbed))
}

// checkEnded checks the flows that a VM reset without a packet from the caller.
func (m *fleetModel) checkEnded(ended []baobabstep.OutgoingDatagram) {
	for _, reset := range ended {
		for _, f := range slices.Clone(m.flows) {
			if f.key == reset.Flow {
				m.checkReset(f)
				m.forget(f)
			}
		}
	}
}

func (m *fleetModel) anyTarget() *modelTarget {
	return m.targets[baobabstep.TargetID(1+m.random.IntN(int(m.nextID)))]
}

// pass advances time while callers open flows and send requests on the latest ones.
func (m *fleetModel) pass() {
	for range 5 {
		m.now = m.now.Add(100 * time.Millisecond)
		for range 4 {
			m.open()
		}
		for _, f := range slices.Clone(m.flows[max(0, len(m.flows)-20):]) {
			m.request(f)
		}
		for _, r := range m.routers {
			var ended []baobabstep.OutgoingDatagram
			r.Tick(m.now, &ended)
			m.checkEnded(ended)
			r.SetPeerLoads(m.now, nil, nil)
		}
	}
}

// TestRandomOperationsAndFailures applies operations and failures in random order. It
// checks that all VMs agree on the target of a flow, that no segment reaches a target of
// another service, that no flow is reset without a reason, and that versions never
// decrease.
func TestRandomOperationsAndFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newFleetModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass time":      func(*rapid.T) { m.pass() },
			"a target joins": func(*rapid.T) { m.join(); m.register() },
			"a target drains": func(*rapid.T) {
				m.anyTarget().registration.Draining = true
				m.register()
			},
			"a registration lapses, or is back": func(*rapid.T) {
				x := m.anyTarget()
				x.registered = !x.registered
				m.register()
			},
			"a target goes dark, or is back": func(*rapid.T) {
				x := m.anyTarget()
				x.silent, x.disturbed = !x.silent, m.now
			},
			"an address moves to the other service": func(*rapid.T) {
				m.routes["a"], m.routes["b"] = "results", m.routes["a"]
				m.putRoutes()
			},
			"a route is dropped, or is back": func(*rapid.T) {
				if _, ok := m.routes["b"]; ok {
					delete(m.routes, "b")
				} else {
					m.routes["b"] = "results"
				}
				m.putRoutes()
			},
			"an old table arrives late": func(*rapid.T) {
				for _, r := range m.routers {
					before := r.Version()
					old := m.table()
					old.Version = before - min(before, 1)
					if r.SetTable(m.now, old) || r.Version() != before {
						t.Fatalf("version %d became %d", before, r.Version())
					}
				}
			},
			"a VM's link is congested": func(*rapid.T) {
				m.links[m.random.IntN(len(m.links))].congestedUntil = m.now.Add(time.Second)
			},
			"a VM restarts": func(*rapid.T) {
				vm := m.random.IntN(len(m.routers))
				m.routers[vm] = m.newRouter(vm)
				for _, r := range m.routers {
					r.SetTable(m.now, m.table())
				}
				m.register()
			},
			"": func(*rapid.T) { m.open() },
		})
	})
}
