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

// exchange moves packets between routers, callers and targets of one test, in
// a fixed order and without threads.
type exchange struct {
	t       reporter
	now     time.Time
	random  *rand.Rand
	vms     []baobabstep.VM
	routers map[baobabstep.VMID]flow.Policy
	// policy is the name of the routers' policy.
	policy string
	// choosers are those of the routers.
	choosers map[baobabstep.VMID]*fakeChooser
	dead     map[baobabstep.VMID]bool
	config   *baobabstep.Config
	targets  map[baobabstep.TargetID]*fakeTarget
	callers  map[baobabstep.FlowKey]*fakeCaller
	// usedBy is the target that had data of a flow. No other may get any,
	// unless split is set.
	usedBy map[baobabstep.FlowKey]baobabstep.TargetID
	split  bool
	// deaf VMs get nothing from outside.
	deaf map[baobabstep.VMID]bool
	// lose drops a packet if it returns true.
	lose  func(from baobabstep.VMID, s *baobabstep.Send) bool
	queue []parcel
	// enterAt is where packets of targets enter, by data centre; others
	// enter anywhere.
	enterAt map[string]baobabstep.VMID
	table   *place.Table
	// sent counts packets by destination.
	sent map[baobabstep.Dest]int
}

// reporter is what an exchange needs of a test, of either kind.
type reporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// parcel is a packet under way.
type parcel struct {
	from baobabstep.VMID
	send baobabstep.Send
}

// fakeTarget holds flows as a target does.
type fakeTarget struct {
	config  baobabstep.Target
	flows   map[baobabstep.FlowKey]int
	refuse  baobabstep.Code
	silent  bool
	refused int
}

// fakeCaller is one end of one flow.
type fakeCaller struct {
	key    baobabstep.FlowKey
	opened baobabstep.TargetID
	// bound is the target whose data the caller got.
	bound  baobabstep.TargetID
	got    []string
	closed bool
	reset  baobabstep.Code
	retry  time.Duration
	silent bool
}

// fakeChooser takes targets in turn. It may be told to prefer one.
type fakeChooser struct {
	next   int
	prefer baobabstep.TargetID
	count  map[baobabstep.TargetID]int
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
	c.count[id]++
	return id, baobabstep.CodeOK
}

func (c *fakeChooser) FlowOpened(_ time.Time, id baobabstep.TargetID) { c.count[id]++ }
func (c *fakeChooser) FlowClosed(_ time.Time, id baobabstep.TargetID) { c.count[id]-- }
func (c *fakeChooser) FlowRefused(_ time.Time, id baobabstep.TargetID, _ baobabstep.Code) {
	c.count[id]--
	c.prefer = 0
}

func (x *exchange) push(from baobabstep.VMID, out baobabstep.Outbox) {
	for _, s := range out {
		x.queue = append(x.queue, parcel{from, s})
	}
}

// enter hands a packet from outside to a VM; 0 lets the fabric choose.
func (x *exchange) enter(vm baobabstep.VMID, p baobabstep.Packet) {
	for vm == 0 || x.dead[vm] || x.deaf[vm] {
		vm = x.vms[x.random.IntN(len(x.vms))].ID
	}
	x.deliver(vm, p)
}

func (x *exchange) deliver(vm baobabstep.VMID, p baobabstep.Packet) {
	if x.dead[vm] || x.routers[vm] == nil {
		return
	}
	var out baobabstep.Outbox
	x.routers[vm].Handle(x.now, &p, &out)
	x.push(vm, out)
}

// run moves packets until none is under way.
func (x *exchange) run() {
	for n := 0; len(x.queue) > 0; n++ {
		if n > 5_000_000 {
			x.t.Fatalf("packets go round without end")
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
			x.atTarget(next.send.Address, next.send.Packet)
		case baobabstep.DestCaller:
			x.atCaller(next.send.Packet)
		}
	}
}

// atTarget delivers a packet by its address. As in a node, only a configured
// target is found without one.
func (x *exchange) atTarget(address netip.AddrPort, p baobabstep.Packet) {
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
		if by := x.usedBy[p.Flow]; by != 0 && by != p.Target && !x.split {
			x.t.Fatalf("data of %v went to targets %x and %x", p.Flow, by, p.Target)
		}
		x.usedBy[p.Flow] = p.Target
		tg.flows[p.Flow]++
		back.Kind, back.Payload = baobabstep.KindData, append([]byte("echo "), p.Payload...)
	default:
		return
	}
	x.enter(x.enterAt[tg.config.DataCentre], back)
}

func (x *exchange) atCaller(p baobabstep.Packet) {
	c := x.callers[p.Flow]
	if c == nil || c.silent {
		return
	}
	switch p.Kind {
	case baobabstep.KindOpened:
		c.opened = p.Target
	case baobabstep.KindData:
		c.got = append(c.got, string(p.Payload))
		if c.bound != 0 && p.Target != c.bound && !x.split {
			x.t.Fatalf("caller of %v got data of targets %x and %x", p.Flow, c.bound, p.Target)
		}
		c.bound = p.Target
	case baobabstep.KindClose:
		c.closed = true
	case baobabstep.KindReset:
		c.reset, c.retry = p.Code, p.RetryAfter
	case baobabstep.KindProbe:
		x.enter(0, baobabstep.Packet{Kind: baobabstep.KindProbeAck, Flow: p.Flow, Seq: p.Seq})
	}
}

// fleet is the size of an exchange.
type fleet struct {
	vms, dcs, targets int
	policy            string
}

// newExchange returns VMs and one service whose targets all data centres have.
func newExchange(t reporter, size fleet) *exchange {
	x := &exchange{
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
