package entry

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"golang.org/x/time/rate"

	"baobabstep"
	"baobabstep/core/heartbeat"
	"baobabstep/io/setting"
)

// A largeFleet runs the control loops of real nodes in virtual time, from the start of all VMs
// on. Messages and responses of the store take the time that links of limited rate and VMs
// with a share of a core need for them. The nodes' routers are replaced by placementLogs, which
// need a fraction of the memory.
type largeFleet struct {
	size  fleetSize
	store *largeStore
	// startVM starts one more VM; run sets it.
	startVM func(i int)

	mu     sync.Mutex
	vms    []*largeVM
	byPeer map[netip.AddrPort]*largeVM
}

// fleetSize describes a fleet in which slow VMs outnumber fast ones, as in the fleets of
// docs/design/fleet.md.
type fleetSize struct {
	vms, dataCentres, targets int
	// drain is the time in which the fleet has to learn that a target leaves.
	drain time.Duration
	// registeredAtStart targets register within the first second, and the others at
	// registrationsPerSecond.
	registeredAtStart      int
	registrationsPerSecond float64
	// loss is the share of datagrams between VMs that the network loses.
	loss float64
	// storeLinkBytes is the rate of the store's link in bytes a second.
	storeLinkBytes float64
	// slowed are the VMs, out of every ten, that run slowedBy times slower than the others.
	slowed, slowedBy int
}

// Costs of the model. A VM's processor time is divided by its share of a core.
const (
	fastVMs                = 20 // one VM in as many has a fast link
	fastLinkMbps           = 200
	slowLinkMbps           = 20
	fastCore, slowCore     = 0.8, 0.192
	storeLatency           = 4 * time.Millisecond
	storeItemBytes         = 300
	storePageItems         = 500
	storeReadsPerSecond    = 16000
	itemCost               = 4 * time.Microsecond // processor time for one item of a response
	messageCost            = 50 * time.Microsecond
	oneWayDelay            = 500 * time.Microsecond
	largeReplicaLag        = 2 * time.Second
	maxQueueBytes          = 200e3 // of a link or a socket, in either direction
	replicaSnapshots       = 3
	vmCallRate, vmCallSize = 20, 40 // as in package platform
)

func newLargeFleet(t testing.TB, size fleetSize) *largeFleet {
	t.Helper()
	return &largeFleet{size: size, store: newLargeStore(size), byPeer: make(map[netip.AddrPort]*largeVM)}
}

func (f *largeFleet) dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%f.size.dataCentres) }

func largeFleetAddress(f *largeFleet, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % f.size.dataCentres), byte(i >> 8), byte(i)}), 8401)
}

func (f *largeFleet) newVM(i int) *largeVM {
	vm := &largeVM{fleet: f, peer: largeFleetAddress(f, i), inbox: make(chan modelMessage, 1<<14), core: slowCore, placement: newPlacementLog(), random: rand.New(rand.NewPCG(4, uint64(i)))}
	mbps := float64(slowLinkMbps)
	if i%fastVMs == 0 {
		mbps, vm.core = fastLinkMbps, fastCore
	}
	if f.isSlowed(i) {
		vm.core /= float64(f.size.slowedBy)
	}
	vm.linkBytes = mbps * 1e6 / 8
	vm.limiter = rate.NewLimiter(vmCallRate, vmCallSize)
	vm.node = New(Options{
		Settings: &setting.Settings{
			Name: fmt.Sprintf("vm-%d", i), Region: "r", DataCentre: f.dataCentre(i), PeerAddress: vm.peer,
			Seeds: []netip.AddrPort{largeFleetAddress(f, 0), largeFleetAddress(f, 1), largeFleetAddress(f, 2)},
			Token: setting.TokenSettings{ConfigApplyMS: int(f.size.drain.Milliseconds()), DrainMS: int(f.size.drain.Milliseconds()), FlowMaxS: 60, StopGraceS: 6, LinkMbps: mbps},
		},
		LogLimiter: dropAllLines{}, Logger: &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Directory: vm, Messages: vm, Rand: rand.New(rand.NewPCG(2, uint64(i))), Clock: bubbleClock{},
	})
	vm.node.cache.router = vm.placement
	return vm
}

func (f *largeFleet) isSlowed(i int) bool { return i%10 < f.size.slowed }

// bubbleClock reads the virtual time of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() time.Time { return time.Now() }

// run starts the store and, after a while, all VMs. It returns a function that ends them.
func (f *largeFleet) run(vmsAfter time.Duration) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { f.store.run(ctx) })
	time.Sleep(vmsAfter)
	f.startVM = func(i int) {
		vm := f.newVM(i)
		f.mu.Lock()
		f.vms, f.byPeer[vm.peer] = append(f.vms, vm), vm
		f.mu.Unlock()
		for _, loop := range vm.loops(ctx) {
			loops.Go(func() { _ = loop() })
		}
	}
	for i := range f.size.vms {
		f.startVM(i)
	}
	return func() {
		cancel()
		loops.Wait()
	}
}

// loops returns the goroutines of a VM that its model runs.
func (vm *largeVM) loops(ctx context.Context) []func() error {
	n := vm.node
	desired, targets := n.syncer.desiredQuery(), n.syncer.targetsQuery()
	return []func() error{
		func() error { return n.syncer.readLoop(ctx, desired) },
		func() error { return n.syncer.readLoop(ctx, targets) },
		func() error { return n.syncer.watchLoop(ctx, desired) },
		func() error { return n.syncer.watchLoop(ctx, targets) },
		func() error { return n.receiveMessages(ctx) },
		func() error { return n.tickLoop(ctx) },
	}
}

// firstName returns a number by whose name a VM precedes all others in rank.
func (f *largeFleet) firstName() int {
	idOf := func(i int) baobabstep.VMID { return baobabstep.MakeVMID(fmt.Sprintf("vm-%d", i)) }
	first := idOf(0)
	for i := range f.size.vms {
		first = min(first, idOf(i))
	}
	for i := f.size.vms; ; i++ {
		if idOf(i) < first && !f.isSlowed(i) {
			return i
		}
	}
}

// largeVM is one VM with its link, its share of a core and its access to the store.
type largeVM struct {
	fleet     *largeFleet
	node      *Node
	peer      netip.AddrPort
	inbox     chan modelMessage
	limiter   *rate.Limiter
	linkBytes float64 // bytes a second
	core      float64
	placement *placementLog

	mu                       sync.Mutex
	random                   *rand.Rand
	egress, ingress, coreEnd reservation
	dropped, messages        int
}

// reservation is when a resource that serves in turn is free again.
type reservation struct{ free time.Time }

// take reserves the resource for d and returns the wait until the end of that time.
func (r *reservation) take(now time.Time, d time.Duration) time.Duration {
	if r.free.Before(now) {
		r.free = now
	}
	r.free = r.free.Add(d)
	return r.free.Sub(now)
}

func transferTime(bytes, bytesPerSecond float64) time.Duration {
	return time.Duration(bytes / bytesPerSecond * float64(time.Second))
}

// work waits for processor time, as computed on a whole core.
func (vm *largeVM) work(cost time.Duration) {
	vm.mu.Lock()
	wait := vm.coreEnd.take(time.Now(), time.Duration(float64(cost)/vm.core))
	vm.mu.Unlock()
	time.Sleep(wait)
}

func (vm *largeVM) SetSecret([]byte) error { return nil }
func (vm *largeVM) Close() error           { return nil }

// Send implements MessageConn.
func (vm *largeVM) Send(to netip.AddrPort, raw []byte) {
	vm.fleet.mu.Lock()
	other := vm.fleet.byPeer[to]
	vm.fleet.mu.Unlock()
	if other == nil {
		return
	}
	size := float64(len(raw) + messageOverhead)
	sent, ok := vm.transmit(&vm.egress, size)
	if !ok || vm.loses() {
		return
	}
	m := modelMessage{vm.peer, to, slices.Clone(raw)}
	time.AfterFunc(sent+oneWayDelay, func() {
		received, ok := other.transmit(&other.ingress, size)
		if ok {
			time.AfterFunc(received, func() { other.enqueue(m) })
		}
	})
}

// loses draws whether the network loses a datagram.
func (vm *largeVM) loses() bool {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	return vm.random.Float64() < vm.fleet.size.loss
}

// transmit reserves the VM's link for a datagram and returns how long its transmission takes,
// or false if the queue of the link is full.
func (vm *largeVM) transmit(direction *reservation, size float64) (wait time.Duration, ok bool) {
	vm.mu.Lock()
	defer vm.mu.Unlock()
	now := time.Now()
	if direction.free.Sub(now) > transferTime(maxQueueBytes, vm.linkBytes) {
		vm.dropped++
		return 0, false
	}
	vm.messages++
	return direction.take(now, transferTime(size, vm.linkBytes)), true
}

func (vm *largeVM) enqueue(m modelMessage) {
	select {
	case vm.inbox <- m:
	default:
	}
}

// Receive implements MessageConn.
func (vm *largeVM) Receive(ctx context.Context, handle func(from netip.AddrPort, message []byte)) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-vm.inbox:
			vm.work(messageCost)
			handle(m.from, m.raw)
		}
	}
}

// largeStore is the store with the registrations of a large fleet.
type largeStore struct {
	size fleetSize

	mu       sync.Mutex
	revision uint64
	// events are all changes, in order of revision, which starts at 1.
	events []baobabstep.RegistrationChange
	// current are the registrations by identifier.
	current  []baobabstep.Registration
	replicas [][]baobabstep.Registration
	changed  chan struct{}
	link     reservation
	limiter  *rate.Limiter
	reads    int
	watches  int
	refused  int
	// readAt is when the newest registrations were last read.
	readAt time.Time
	// leftAt is when each target that leaves said so.
	leftAt map[baobabstep.TargetID]time.Time
}

func newLargeStore(size fleetSize) *largeStore {
	return &largeStore{
		size: size, changed: make(chan struct{}), limiter: rate.NewLimiter(storeReadsPerSecond, storeReadsPerSecond),
		leftAt: make(map[baobabstep.TargetID]time.Time), replicas: [][]baobabstep.Registration{nil},
	}
}

// storeStep is the interval at which the model's targets write.
const storeStep = 20 * time.Millisecond

// run registers targets until ctx ends.
func (s *largeStore) run(ctx context.Context) {
	pending := benchRegistrations(s.size.targets)
	rng := rand.New(rand.NewPCG(8, 9))
	rng.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
	start, snapshotAt := time.Now(), time.Now()
	for sleep(ctx, storeStep, nil); ctx.Err() == nil; sleep(ctx, storeStep, nil) {
		now := time.Now()
		elapsed := now.Sub(start).Seconds()
		due := min(s.size.targets, int(min(1, elapsed)*float64(s.size.registeredAtStart)+elapsed*s.size.registrationsPerSecond))
		registered := s.size.targets - len(pending)
		s.write(pending[:due-registered]...)
		pending = pending[due-registered:]
		if now.Sub(snapshotAt) >= largeReplicaLag/replicaSnapshots {
			snapshotAt = now
			s.snapshot()
		}
	}
}

func (s *largeStore) snapshot() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replicas = append(s.replicas, slices.Clone(s.current))
	s.replicas = s.replicas[max(0, len(s.replicas)-replicaSnapshots):]
}

func byID(r baobabstep.Registration, id baobabstep.TargetID) int { return cmp.Compare(r.ID, id) }

// write writes registrations, each with a revision of its own.
func (s *largeStore) write(list ...baobabstep.Registration) {
	if len(list) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range list {
		at, found := slices.BinarySearchFunc(s.current, r.ID, byID)
		if !found {
			s.current = slices.Insert(s.current, at, r)
		}
		s.put(at, r)
	}
	s.notify()
}

// put replaces a registration. The caller holds s.mu.
func (s *largeStore) put(at int, r baobabstep.Registration) {
	s.revision++
	s.current[at] = r
	s.events = append(s.events, baobabstep.RegistrationChange{Registration: r, Revision: baobabstep.Revision{Number: s.revision}})
}

func (s *largeStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// drain marks count targets as leaving and returns them.
func (s *largeStore) drain(rng *rand.Rand, count int) {
	s.mu.Lock()
	var list []baobabstep.Registration
	for len(list) < count {
		r := s.current[rng.IntN(len(s.current))]
		if _, left := s.leftAt[r.ID]; !left {
			r.Draining = true
			s.leftAt[r.ID] = time.Now()
			list = append(list, r)
		}
	}
	s.mu.Unlock()
	s.write(list...)
}

// call accounts for a call of a VM and waits for the response.
func (s *largeStore) call(vm *largeVM, items int) {
	size := float64(items * storeItemBytes)
	now := time.Now()
	s.mu.Lock()
	wait := s.link.take(now, transferTime(size, s.size.storeLinkBytes))
	s.mu.Unlock()
	vm.mu.Lock()
	wait = max(wait, vm.ingress.take(now, transferTime(size, vm.linkBytes)))
	vm.mu.Unlock()
	time.Sleep(storeLatency + wait)
	vm.work(time.Duration(items) * itemCost)
}

// Desired implements baobabstep.Directory.
func (vm *largeVM) Desired(context.Context, baobabstep.Freshness) (*baobabstep.DesiredState, baobabstep.Revision, error) {
	vm.fleet.store.call(vm, 1)
	return &baobabstep.DesiredState{Table: testTable()}, baobabstep.Revision{Number: 1}, nil
}

// WatchDesired implements baobabstep.Directory.
func (vm *largeVM) WatchDesired(ctx context.Context, after baobabstep.Revision, wait time.Duration) (*baobabstep.DesiredChange, baobabstep.Revision, error) {
	sleep(ctx, wait, nil)
	return new(baobabstep.DesiredChange), after, nil
}

// Secret implements baobabstep.Directory.
func (vm *largeVM) Secret(context.Context, []byte, baobabstep.Freshness) ([]byte, error) {
	return nil, nil
}

// page returns the page of registrations that follows an identifier.
func (vm *largeVM) page(f baobabstep.Freshness, after baobabstep.TargetID) (list []baobabstep.Registration, more bool, revision baobabstep.Revision, err error) {
	s := vm.fleet.store
	s.mu.Lock()
	all := s.current
	if f == baobabstep.Recent {
		all = s.replicas[0]
	} else if s.reads, s.readAt = s.reads+1, time.Now(); !s.limiter.Allow() {
		s.refused++
		err = baobabstep.Errorf(baobabstep.CodeBudgetSpent, "model", "too many reads")
	}
	at, _ := slices.BinarySearchFunc(all, after+1, byID)
	end := min(at+storePageItems, len(all))
	list, more, revision = slices.Clone(all[at:end]), end < len(all), baobabstep.Revision{Number: max(1, s.revision)}
	s.mu.Unlock()
	if err != nil {
		list = nil
	}
	s.call(vm, len(list))
	return list, more, revision, err
}

// unreadFor returns how long ago the newest registrations were last read.
func (s *largeStore) unreadFor() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.readAt)
}

// FirstRegistrations implements baobabstep.Directory.
func (vm *largeVM) FirstRegistrations(_ context.Context, f baobabstep.Freshness) (list []baobabstep.Registration, complete bool, revision baobabstep.Revision, err error) {
	list, more, revision, err := vm.page(f, 0)
	return list, !more, revision, err
}

// Registrations implements baobabstep.Directory.
func (vm *largeVM) Registrations(ctx context.Context, f baobabstep.Freshness) (*baobabstep.RegistrationList, error) {
	read := new(baobabstep.RegistrationList)
	for after, more := baobabstep.TargetID(0), true; more; {
		if f == baobabstep.Newest && vm.limiter.Wait(ctx) != nil {
			return nil, baobabstep.Errorf(baobabstep.CodePlatformUnavailable, "model", "ended")
		}
		var page []baobabstep.Registration
		var err error
		page, more, read.Newest, err = vm.page(f, after)
		if err != nil {
			return nil, err
		}
		if after == 0 {
			read.Oldest = read.Newest
		}
		read.Registrations = append(read.Registrations, page...)
		if more {
			after = page[len(page)-1].ID
		}
	}
	return read, nil
}

// WatchRegistrations implements baobabstep.Directory. A response holds at most a page of
// events, as on the platform.
func (vm *largeVM) WatchRegistrations(ctx context.Context, after baobabstep.Revision, wait time.Duration) (list []baobabstep.RegistrationChange, next baobabstep.Revision, err error) {
	s := vm.fleet.store
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		s.watches++
		first, end := int(after.Number), min(int(after.Number)+storePageItems, len(s.events))
		if first < end {
			list = slices.Clone(s.events[first:end])
		}
		changed := s.changed
		s.mu.Unlock()
		if len(list) > 0 || ctx.Err() != nil || !time.Now().Before(deadline) {
			s.call(vm, len(list))
			return list, baobabstep.Revision{Number: max(after.Number, uint64(end))}, nil
		}
		sleep(ctx, time.Until(deadline), changed)
	}
}

// drainDelays returns, sorted, how long each VM that counts kept on using each target that left.
func (f *largeFleet) drainDelays(counts func(i int) bool) (delays []time.Duration) {
	now := time.Now()
	for i, vm := range f.vms {
		if !counts(i) {
			continue
		}
		for id, left := range f.store.leftAt {
			delays = append(delays, vm.placement.availableAfter(now, id, left))
		}
	}
	slices.Sort(delays)
	return delays
}

// currentVMs returns the number of VMs whose registrations are complete and not older than
// maxAge.
func (f *largeFleet) currentVMs(maxAge time.Duration) (vms int) {
	for _, vm := range f.vms {
		if age, known := vm.node.cache.age(time.Now(), heartbeat.Targets); known && age <= maxAge {
			vms++
		}
	}
	return vms
}

// costs describes what the VMs and the store have done so far.
func (f *largeFleet) costs() string {
	messages, dropped := 0, 0
	for _, vm := range f.vms {
		vm.mu.Lock()
		messages += vm.messages
		dropped += vm.dropped
		vm.mu.Unlock()
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return fmt.Sprintf("%d pages read, %d refused, %d watches, revision %d, %d messages, %d dropped", f.store.reads, f.store.refused, f.store.watches, f.store.revision, messages, dropped)
}

// isolatedVMs returns the number of VMs that hear no other.
func (f *largeFleet) isolatedVMs() (vms int) {
	for _, vm := range f.vms {
		if len(vm.node.peerTable.LiveCounts(time.Now())) == 0 {
			vms++
		}
	}
	return vms
}
