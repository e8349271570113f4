package flow_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"baobabstep"
	"baobabstep/core/flow"
	"baobabstep/core/place"
)

// testNetwork delivers packets between the routers, callers and targets of one
// test, in a fixed order and on one goroutine.
type testNetwork struct {
	t       reporter
	now     time.Time
	random  *rand.Rand
	vms     []baobabstep.VM
	routers map[baobabstep.VMID]flow.Policy
	// policy is the name of the routers' flow policy.
	policy string
	// choosers holds each router's chooser.
	choosers map[baobabstep.VMID]*fakeChooser
	dead     map[baobabstep.VMID]bool
	config   *baobabstep.Config
	targets  map[baobabstep.TargetID]*fakeTarget
	callers  map[baobabstep.FlowKey]*fakeCaller
	// usedBy holds the target that received data of a flow. Data at any
	// other target fails the test, unless allowSplit is set.
	usedBy     map[baobabstep.FlowKey]baobabstep.TargetID
	allowSplit bool
	// noInput holds the VMs that receive no packets from callers and
	// targets.
	noInput map[baobabstep.VMID]bool
	// lose returns true for packets to drop.
	lose  func(from baobabstep.VMID, s *baobabstep.OutgoingPacket) bool
	queue []sentPacket
	// targetEntry is the VM that receives the packets of a data centre's
	// targets; those of others go to a random VM.
	targetEntry map[string]baobabstep.VMID
	table       *place.Table
	// sent counts packets by destination.
	sent map[baobabstep.Dest]int
}

// reporter is the part of testing.T and rapid.T that testNetwork uses.
type reporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// sentPacket is a packet in transit.
type sentPacket struct {
	from baobabstep.VMID
	send baobabstep.OutgoingPacket
}

// fakeTarget is a target that echoes data.
type fakeTarget struct {
	config  baobabstep.Target
	flows   map[baobabstep.FlowKey]int
	refuse  baobabstep.Code
	silent  bool
	refused int
}

// fakeCaller is the caller's end of one flow.
type fakeCaller struct {
	key    baobabstep.FlowKey
	opened baobabstep.TargetID
	// bound is the target whose data the caller received.
	bound  baobabstep.TargetID
	got    []string
	closed bool
	reset  baobabstep.Code
	retry  time.Duration
	silent bool
}

// fakeChooser picks targets in turn, or prefer while it is set.
type fakeChooser struct {
	next   int
	prefer baobabstep.TargetID
	counts map[baobabstep.TargetID]int
}

func (c *fakeChooser) PickFlow(_ time.Time, s *baobabstep.Service, _ string, _ uint64) (baobabstep.TargetID, baobabstep.Code) {
	if len(s.Targets) == 0 {
		return 0, baobabstep.CodeNoTarget
	}
	c.next++
	id := s.Targets[c.next%len(s.Targets)].ID
	if c.prefer != 0 {
		id = c.prefer
	}
	c.counts[id]++
	return id, baobabstep.CodeOK
}

func (c *fakeChooser) FlowOpened(_ time.Time, id baobabstep.TargetID) { c.counts[id]++ }
func (c *fakeChooser) FlowClosed(_ time.Time, id baobabstep.TargetID) { c.counts[id]-- }
func (c *fakeChooser) FlowRefused(_ time.Time, id baobabstep.TargetID, _ baobabstep.Code) {
	c.counts[id]--
	c.prefer = 0
}

func (x *testNetwork) enqueue(from baobabstep.VMID, out baobabstep.Outbox) {
	for _, s := range out {
		x.queue = append(x.queue, sentPacket{from, s})
	}
}

// receive gives a VM a packet from a caller or target; VM 0 stands for a
// random one.
func (x *testNetwork) receive(vm baobabstep.VMID, p baobabstep.Packet) {
	for vm == 0 || x.dead[vm] || x.noInput[vm] {
		vm = x.vms[x.random.IntN(len(x.vms))].ID
	}
	x.deliver(vm, p)
}

func (x *testNetwork) deliver(vm baobabstep.VMID, p baobabstep.Packet) {
	if x.dead[vm] || x.routers[vm] == nil {
		return
	}
	var out baobabstep.Outbox
	x.routers[vm].Handle(x.now, &p, &out)
	x.enqueue(vm, out)
}

// run delivers packets until none is in transit.
func (x *testNetwork) run() {
	for n := 0; len(x.queue) > 0; n++ {
		if n > 5_000_000 {
			x.t.Fatalf("packets are forwarded without end")
		}
		next := x.queue[0]
		x.queue = x.queue[1:]
		if x.lose != nil && x.lose(next.from, &next.send) {
			continue
		}
		x.sent[next.send.Dest]++
		switch next.send.Dest {
		case baobabstep.DestVM:
			x.deliver(next.send.VM, next.send.Packet)
		case baobabstep.DestTarget:
			x.deliverToTarget(next.send.Address, next.send.Packet)
		case baobabstep.DestCaller:
			x.deliverToCaller(next.send.Packet)
		}
	}
}

// deliverToTarget delivers a packet by its address. As in a node, a target
// without an address is looked up in the configuration.
func (x *testNetwork) deliverToTarget(address netip.AddrPort, p baobabstep.Packet) {
	if !address.IsValid() && x.config.Target(p.Target) != nil {
		address = x.config.Target(p.Target).Address
	}
	tg := x.targets[p.Target]
	if tg == nil || tg.silent || tg.config.Address != address {
		return
	}
	back := baobabstep.Packet{FromTarget: true, Flow: p.Flow, Seq: p.Seq, Service: p.Service, Target: p.Target, Version: p.Version}
	_, holds := tg.flows[p.Flow]
	switch {
	case p.Service != tg.config.Service || p.Target != tg.config.ID:
		back.Kind, back.Code = baobabstep.KindReset, baobabstep.CodeWrongService
		tg.refused++
	case p.Kind == baobabstep.KindOpen && tg.refuse != 0 && !holds:
		back.Kind, back.Code = baobabstep.KindReset, tg.refuse
	case p.Kind == baobabstep.KindOpen:
		tg.flows[p.Flow] += 0
		back.Kind = baobabstep.KindOpened
	case p.Kind == baobabstep.KindReset || p.Kind == baobabstep.KindClose:
		delete(tg.flows, p.Flow)
		return
	case !holds:
		back.Kind, back.Code = baobabstep.KindReset, baobabstep.CodeUnknownFlow
	case p.Kind == baobabstep.KindProbe:
		back.Kind = baobabstep.KindProbeAck
	case p.Kind == baobabstep.KindData:
		if by := x.usedBy[p.Flow]; by != 0 && by != p.Target && !x.allowSplit {
			x.t.Fatalf("data of %v went to targets %x and %x", p.Flow, by, p.Target)
		}
		x.usedBy[p.Flow] = p.Target
		tg.flows[p.Flow]++
		back.Kind, back.Payload = baobabstep.KindData, append([]byte("echo "), p.Payload...)
	default:
		return
	}
	x.receive(x.targetEntry[tg.config.DataCentre], back)
}

func (x *testNetwork) deliverToCaller(p baobabstep.Packet) {
	c := x.callers[p.Flow]
	if c == nil || c.silent {
		return
	}
	switch p.Kind {
	case baobabstep.KindOpened:
		c.opened = p.Target
	case baobabstep.KindData:
		c.got = append(c.got, string(p.Payload))
		if c.bound != 0 && p.Target != c.bound && !x.allowSplit {
			x.t.Fatalf("caller of %v got data of targets %x and %x", p.Flow, c.bound, p.Target)
		}
		c.bound = p.Target
	case baobabstep.KindClose:
		c.closed = true
	case baobabstep.KindReset:
		c.reset, c.retry = p.Code, p.RetryAfter
	case baobabstep.KindProbe:
		x.receive(0, baobabstep.Packet{Kind: baobabstep.KindProbeAck, Flow: p.Flow, Seq: p.Seq})
	}
}

// fleet is the size of a testNetwork.
type fleet struct {
	vms, dcs, targets int
	policy            string
}

// newTestNetwork returns VMs and one service with targets in all data centres.
func newTestNetwork(t reporter, size fleet) *testNetwork {
	x := &testNetwork{
		t: t, policy: size.policy, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(1, 2)),
		routers: map[baobabstep.VMID]flow.Policy{}, dead: map[baobabstep.VMID]bool{},
		targets: map[baobabstep.TargetID]*fakeTarget{}, callers: map[baobabstep.FlowKey]*fakeCaller{},
		usedBy:   map[baobabstep.FlowKey]baobabstep.TargetID{},
		sent:     map[baobabstep.Dest]int{},
		choosers: map[baobabstep.VMID]*fakeChooser{},
	}
	s := baobabstep.Service{
		ID: baobabstep.MakeServiceID("a", "s"), Name: "a/s", Account: "a",
		Address: netip.MustParseAddrPort("127.0.0.9:443"),
	}
	for i := range size.targets {
		s.Targets = append(s.Targets, baobabstep.Target{
			ID: baobabstep.MakeTargetID(fmt.Sprint("t", i)), Name: fmt.Sprint("t", i), Service: s.ID, DataCentre: fmt.Sprint("dc", i%size.dcs),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 80), Connections: 2000,
		})
	}
	for i := range size.dcs {
		s.DataCentres = append(s.DataCentres, fmt.Sprint("dc", i))
	}
	x.setConfig(&baobabstep.Config{Version: 1, FlowSecret: [16]byte{7}, Services: []baobabstep.Service{s}})
	for i := range size.vms {
		x.addVM(i, size.dcs)
	}
	x.setViews(x.vms)
	x.now = x.now.Add(20 * time.Second)
	return x
}
