package request

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"baobabstep"
	"baobabstep/core/target"
)

func TestMain(m *testing.M) {
	// Defaults that the command line overrides.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "50")
	flag.Parse()
	os.Exit(m.Run())
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var dataCentres = []string{"braga-a", "braga-b", "guimaraes"}

func vmID(i int) baobabstep.VMID { return baobabstep.MakeVMID(fmt.Sprintf("vm-%d", i)) }

func testService(targets int) baobabstep.Service {
	s := baobabstep.Service{
		ID:              baobabstep.MakeServiceID("talho", "corte"),
		Name:            "talho/corte",
		Address:         netip.MustParseAddrPort("127.0.0.9:443"),
		DataCentres:     dataCentres,
		MaxTimeout:      5 * time.Second,
		DefaultTimeout:  2 * time.Second,
		OrdinaryFloor:   0.2,
		RetryShare:      0.1,
		QueueLimit:      4,
		MaxEjectedShare: 0.4,
	}
	for i := range targets {
		name := fmt.Sprintf("corte-%02d", i)
		s.Targets = append(s.Targets, baobabstep.Target{
			ID: baobabstep.MakeTargetID(name), Name: name, Service: s.ID,
			Address:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 9000),
			DataCentre: dataCentres[i%len(dataCentres)],
			Slots:      2, Connections: 2000,
		})
	}
	return s
}

// testBed simulates several engines connected by a queue of packets, with
// simulated targets and callers. Its clock advances only in run, and all
// randomness comes from one seed.
type testBed struct {
	t       reporter
	now     time.Time
	rand    *rand.Rand
	service baobabstep.Service
	config  *baobabstep.Config
	vms     []*vm
	targets map[baobabstep.TargetID]*fakeTarget
	events  events
	nextSeq int
	// drop, when set, drops the packets for which it returns true.
	drop func(b *testBed, from, to string, p *baobabstep.Packet) bool
	// duplicateShare is the share of packets between VMs and callers that are
	// sent twice.
	duplicateShare float64
	// onRefusal is called for each refusal that a caller gets.
	onRefusal func(key baobabstep.FlowKey, p *baobabstep.Packet)
	// redirect maps a VM to the VM that gets its packets from callers and targets
	// instead.
	redirect map[int]int
	// answerToSender makes targets answer the VM that sent the attempt, instead
	// of sometimes a random VM.
	answerToSender bool
	callers        map[baobabstep.FlowKey]*callerState
	// ran counts how often each request ran to completion on any target.
	ran map[baobabstep.FlowKey]int
}

type vm struct {
	index  int
	id     baobabstep.VMID
	engine *Engine
	slots  *target.Registry
	dead   bool
	// paused VMs keep what they receive in inbox until they resume.
	paused bool
	inbox  []func()
	view   *baobabstep.View
}

type fakeTarget struct {
	busy int
	// serviceTime is the mean of the random part of the service time, minTime the
	// fixed part.
	serviceTime, minTime time.Duration
	// refuse, when set, is the code with which the target refuses every request.
	// A silent target doesn't reply.
	refuse baobabstep.Code
	silent bool
}

// callerState holds the results that one caller got for its request.
type callerState struct {
	codes   []baobabstep.Code
	answers int
	parts   int
	retry   time.Duration
	first   time.Time
	final   time.Time
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap ordered by time, then by creation.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if c := e[i].at.Compare(e[j].at); c != 0 {
		return c < 0
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const oneWayDelay = 500 * time.Microsecond

// reporter is the common part of testing.T and rapid.T.
type reporter interface {
	Helper()
	Errorf(format string, args ...any)
}

func newTestBed(t reporter, vms, targets int, seed uint64) *testBed {
	b := &testBed{
		t: t, now: epoch, rand: rand.New(rand.NewPCG(seed, 1)), service: testService(targets),
		targets: make(map[baobabstep.TargetID]*fakeTarget),
		callers: make(map[baobabstep.FlowKey]*callerState),
		ran:     make(map[baobabstep.FlowKey]int),
	}
	b.config = &baobabstep.Config{Version: 1, Services: []baobabstep.Service{b.service}}
	b.config.Index()
	for i := range b.service.Targets {
		b.targets[b.service.Targets[i].ID] = &fakeTarget{serviceTime: 10 * time.Millisecond}
	}
	for i := range vms {
		b.vms = append(b.vms, &vm{index: i, id: vmID(i)})
		b.start(i)
	}
	for _, v := range b.vms {
		b.setView(v.index, b.all()...)
	}
	// After this time no VM counts as recently started.
	b.now = b.now.Add(2 * time.Minute)
	return b
}

// start starts or restarts the process of a VM.
func (b *testBed) start(i int) {
	v := b.vms[i]
	broken := func(name, detail string) { b.t.Errorf("invariant %s: %s", name, detail) }
	v.dead = false
	v.slots = target.New(b.now, target.Options{Self: v.id, DataCentre: b.dataCentre(i), Rand: rand.New(rand.NewPCG(b.rand.Uint64(), 1)), Invariant: broken})
	v.slots.SetConfig(b.now, b.config)
	v.engine = New(b.now, Options{Self: v.id, DataCentre: b.dataCentre(i), Targets: v.slots, Rand: rand.New(rand.NewPCG(b.rand.Uint64(), 2)), Invariant: broken})
	v.engine.SetConfig(b.now, b.config)
}

func (b *testBed) dataCentre(i int) string { return dataCentres[i%len(dataCentres)] }

func (b *testBed) all() []int {
	var all []int
	for i := range b.vms {
		all = append(all, i)
	}
	return all
}

// setView gives a VM a view of the given members; negative ones are suspect.
func (b *testBed) setView(i int, members ...int) {
	v := &baobabstep.View{Self: b.vms[i].id, ChangedAt: b.now}
	for _, m := range members {
		state := baobabstep.VMAlive
		if m < 0 {
			m, state = -m-1, baobabstep.VMSuspect
		}
		v.Members = append(v.Members, baobabstep.VM{ID: vmID(m), DataCentre: b.dataCentre(m), Incarnation: 1, State: state})
	}
	b.vms[i].view = v
	b.vms[i].engine.SetView(b.now, v)
	b.vms[i].slots.SetView(b.now, v)
}

// suspectMember marks a member as suspect for setView.
func suspectMember(i int) int { return -i - 1 }

// allExcept returns all VMs but the given ones.
func (b *testBed) allExcept(gone ...int) []int {
	return slices.DeleteFunc(b.all(), func(i int) bool { return slices.Contains(gone, i) })
}

func (b *testBed) after(d time.Duration, do func()) {
	b.nextSeq++
	heap.Push(&b.events, event{b.now.Add(d), b.nextSeq, do})
}

// run advances the time and ticks the engines every 20 ms.
func (b *testBed) run(d time.Duration) {
	end := b.now.Add(d)
	for next := b.now.Add(20 * time.Millisecond); !b.now.Equal(end); next = next.Add(20 * time.Millisecond) {
		until := earlier(next, end)
		for len(b.events) > 0 && !b.events[0].at.After(until) {
			e := heap.Pop(&b.events).(event)
			b.now = e.at
			e.do()
		}
		b.now = until
		for _, v := range b.vms {
			if !v.dead && !v.paused {
				b.withOutbox(v, func(out *baobabstep.Outbox) { v.engine.Tick(b.now, out) })
			}
		}
	}
}

func (b *testBed) withOutbox(v *vm, f func(out *baobabstep.Outbox)) {
	var out baobabstep.Outbox
	f(&out)
	for i := range out {
		b.send(v, &out[i])
	}
}

func (b *testBed) send(from *vm, s *baobabstep.OutgoingPacket) {
	p := s.Packet
	p.Payload = append([]byte(nil), p.Payload...)
	name := fmt.Sprintf("vm-%d", from.index)
	switch s.Dest {
	case baobabstep.DestCaller:
		b.transmit(name, "caller", &p, func() { b.deliverToCaller(&p) })
	case baobabstep.DestTarget:
		b.transmit(name, "target", &p, func() { b.deliverToTarget(from, &p) })
	case baobabstep.DestVM:
		for _, v := range b.vms {
			if v.id == s.VM {
				b.transmit(name, fmt.Sprintf("vm-%d", v.index), &p, func() { b.deliverToVM(v, &p) })
			}
		}
	default:
		b.t.Errorf("got a send to %v", s.Dest)
	}
}

func (b *testBed) transmit(from, to string, p *baobabstep.Packet, arrive func()) {
	if b.drop != nil && b.drop(b, from, to, p) {
		return
	}
	b.after(oneWayDelay, arrive)
	if to != "target" && from != "target" && b.rand.Float64() < b.duplicateShare {
		b.after(oneWayDelay+time.Duration(b.rand.Int64N(int64(time.Second))), arrive)
	}
}

func (b *testBed) deliverToVM(v *vm, p *baobabstep.Packet) {
	if v.dead {
		return
	}
	if v.paused {
		v.inbox = append(v.inbox, func() { b.deliverToVM(v, p) })
		return
	}
	q := *p
	b.withOutbox(v, func(out *baobabstep.Outbox) { v.engine.Handle(b.now, &q, out) })
}

// deliverToTarget simulates a target, which refuses requests while it has no free
// slot.
func (b *testBed) deliverToTarget(from *vm, p *baobabstep.Packet) {
	t := b.targets[p.Target]
	answer := *p
	answer.FromTarget = true
	answer.Route = baobabstep.Route{}
	reply := func() {
		v := from
		if v.dead || (!b.answerToSender && b.rand.IntN(4) == 0) {
			v = b.vms[b.rand.IntN(len(b.vms))]
		}
		if other, ok := b.redirect[v.index]; ok {
			v = b.vms[other]
		}
		q := answer
		b.transmit("target", fmt.Sprintf("vm-%d", v.index), &q, func() { b.deliverToVM(v, &q) })
	}
	if p.Kind != baobabstep.KindRequest || t.silent {
		return
	}
	if t.refuse != baobabstep.CodeOK || t.busy >= 2 {
		answer.Kind = baobabstep.KindRefusal
		answer.Code = t.refuse
		if t.refuse == baobabstep.CodeOK {
			answer.Code = baobabstep.CodeShed
		}
		reply()
		return
	}
	t.busy++
	answer.Kind = baobabstep.KindAnswer
	answer.Parts = 1
	b.after(t.minTime+time.Duration(b.rand.ExpFloat64()*float64(t.serviceTime)), func() {
		t.busy--
		b.ran[p.Flow]++
		reply()
	})
}

func (b *testBed) deliverToCaller(p *baobabstep.Packet) {
	c := b.callers[p.Flow]
	if want := fmt.Sprintf("question %d", p.Flow.Number); p.Kind == baobabstep.KindAnswer && p.Parts == 1 && string(p.Payload) != want {
		b.t.Errorf("I3: request %d got the answer to %q", p.Flow.Number, p.Payload)
	}
	if c.final.IsZero() {
		c.final = b.now
	}
	c.retry = p.RetryAfter
	if p.Kind == baobabstep.KindRefusal {
		c.codes = append(c.codes, p.Code)
		if b.onRefusal != nil {
			b.onRefusal(p.Flow, p)
		}
		return
	}
	c.parts++
	if p.Part == 0 {
		c.answers++
		c.codes = append(c.codes, baobabstep.CodeOK)
	}
}

// transmission is one transmission of a request by a caller.
type transmission struct {
	number     uint64
	seq        uint32
	class      baobabstep.Class
	idempotent bool
	timeout    time.Duration
}

func (b *testBed) key(number uint64) baobabstep.FlowKey {
	return baobabstep.FlowKey{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 2, byte(number % 16)}), 5000),
		Service: b.service.Address,
		Number:  number,
	}
}

// sendRequest sends a caller's request to a VM.
func (b *testBed) sendRequest(vm int, r transmission) baobabstep.FlowKey {
	key := b.key(r.number)
	if b.callers[key] == nil {
		b.callers[key] = &callerState{first: b.now}
	}
	p := &baobabstep.Packet{
		Kind: baobabstep.KindRequest, Flow: key, Seq: r.seq, Class: r.class,
		Idempotent: r.idempotent, Timeout: r.timeout, Payload: fmt.Appendf(nil, "question %d", r.number),
	}
	if other, ok := b.redirect[vm]; ok {
		vm = other
	}
	v := b.vms[vm]
	b.transmit("caller", fmt.Sprintf("vm-%d", vm), p, func() { b.deliverToVM(v, p) })
	return key
}

func (b *testBed) sendCancel(vm int, number uint64) {
	p := &baobabstep.Packet{Kind: baobabstep.KindCancel, Flow: b.key(number)}
	v := b.vms[vm]
	b.transmit("caller", fmt.Sprintf("vm-%d", vm), p, func() { b.deliverToVM(v, p) })
}

// members returns the indices of the group's set, dispatcher first.
func (b *testBed) members() []int {
	f := newFleet(b.now, b.vms[0].view, nil, 0)
	s := f.setOf(groupID{service: b.service.ID, groups: 1}, &b.service, 0)
	var m []int
	for _, id := range s.members {
		m = append(m, slices.IndexFunc(b.vms, func(v *vm) bool { return v.id == id }))
	}
	return m
}

// nonMember returns a VM that is not in the set.
func (b *testBed) nonMember() int {
	m := b.members()
	return slices.IndexFunc(b.all(), func(i int) bool { return !slices.Contains(m, i) })
}

// assertResults checks the result codes that one caller got, in order.
func assertResults(t testing.TB, b *testBed, key baobabstep.FlowKey, want ...baobabstep.Code) {
	t.Helper()
	qt.Assert(t, b.callers[key].codes, qt.DeepEquals, want)
}

// assertTruthfulResults checks the invariants I4 and I5 for all requests.
func assertTruthfulResults(t reporter, b *testBed, idempotent func(key baobabstep.FlowKey) bool) {
	t.Helper()
	for key, c := range b.callers {
		for _, code := range c.codes {
			notRun := code == baobabstep.CodeRefusedNotRun || code == baobabstep.CodeOverloaded ||
				code == baobabstep.CodeStopping || code == baobabstep.CodeDeadlineExceeded || code == baobabstep.CodeCancelled
			if notRun && b.ran[key] > 0 {
				t.Errorf("request %d: got result %v, but it ran", key.Number, code)
			}
		}
		if !idempotent(key) && b.ran[key] > 1 {
			t.Errorf("request %d: not idempotent, but it ran %d times", key.Number, b.ran[key])
		}
	}
}
