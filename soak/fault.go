package soak

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"baobabstep/platform/standin"
)

// Fault is one kind of trouble.
type Fault struct {
	Name string
	// uneasy faults may make news late.
	uneasy bool
	run    func(ctx context.Context, f *fleet, random *rand.Rand)
}

// Faults are all kinds, by name.
var Faults = []Fault{
	{"vm_kill", true, func(_ context.Context, f *fleet, r *rand.Rand) { f.anyVM(r).current().Kill(syscall.SIGKILL) }},
	{"vm_stop", false, func(_ context.Context, f *fleet, r *rand.Rand) { f.anyVM(r).current().Kill(syscall.SIGTERM) }},
	{"vm_pause", true, pauseVM},
	{"vm_hup", false, func(_ context.Context, f *fleet, r *rand.Rand) { f.anyVM(r).current().Signal(syscall.SIGHUP) }},
	{"all_kill", true, func(_ context.Context, f *fleet, _ *rand.Rand) {
		for _, v := range f.vms {
			v.current().Kill(syscall.SIGKILL)
		}
	}},
	{"target_dark", false, darkTarget},
	{"target_drain", false, drainTarget},
	{"target_join", false, joinTarget},
	{"target_replace", false, replaceTarget},
	{"store_refuse", true, storeFault(standin.FaultRefuse)},
	{"store_busy", true, storeFault(standin.FaultBusy)},
	{"store_silent", true, storeFault(standin.FaultSilent)},
	{"store_lost_answers", true, storeFault(standin.FaultLostAnswers)},
	{"store_compact", true, compactStore},
	{"store_restore", true, restoreStore},
	{"link_reset", true, linkTrouble(linkReset)},
	{"link_silent", true, linkTrouble(linkSilent)},
	{"link_one_way", true, linkTrouble(linkOneWay)},
	{"link_slow", true, linkTrouble(linkSlow)},
	{"config_change", false, changeRoutes},
	{"evacuate", false, evacuate},
	{"evacuate_cold", false, evacuateCold},
	{"replica_lag", true, lagReplicas},
	{"target_cold", false, coldTarget},
	{"target_full", false, fullTarget},
	{"odd_entry", false, func(_ context.Context, f *fleet, r *rand.Rand) { f.store.RegisterOdd(r.Uint64N(maxOddEntries)) }},
}

// faultNamed returns a fault, nil if there is none of that name.
func faultNamed(name string) *Fault {
	i := slices.IndexFunc(Faults, func(f Fault) bool { return f.Name == name })
	if i < 0 {
		return nil
	}
	return &Faults[i]
}

// maxOddEntries is the number of odd registrations that a run may have.
const maxOddEntries = 32

func (f *fleet) anyVM(r *rand.Rand) *vm { return f.vms[r.IntN(len(f.vms))] }

// faultTime is how long a fault that ends lasts.
func faultTime(r *rand.Rand) time.Duration {
	return time.Duration(500+r.IntN(3000)) * time.Millisecond
}

func pauseVM(ctx context.Context, f *fleet, r *rand.Rand) {
	p := f.anyVM(r).current()
	p.Signal(syscall.SIGSTOP)
	sleep(ctx, faultTime(r))
	p.Signal(syscall.SIGCONT)
}

// anyTarget returns a target whose service keeps another one, nil if none.
func (f *fleet) anyTarget(r *rand.Rand) *target {
	live := f.live()
	r.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	for _, t := range live {
		same := 0
		for _, other := range live {
			if other.registration.Service == t.registration.Service {
				same++
			}
		}
		if same > 2 {
			return t
		}
	}
	return nil
}

func (f *fleet) mark(t *target, change func(now time.Time)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.mu.Lock()
	defer f.judge.mu.Unlock()
	change(time.Now())
	t.disturbed = time.Now()
}

func darkTarget(ctx context.Context, f *fleet, r *rand.Rand) {
	t := f.anyTarget(r)
	if t == nil {
		return
	}
	f.mark(t, func(time.Time) {})
	t.SetSilent(true)
	sleep(ctx, faultTime(r))
	t.SetSilent(false)
	f.mark(t, func(time.Time) {})
}

// fullTarget lets a target accept no new flows for a while. Its open flows may not break.
func fullTarget(ctx context.Context, f *fleet, r *rand.Rand) {
	t := f.anyTarget(r)
	if t == nil {
		return
	}
	t.SetFull(true)
	sleep(ctx, faultTime(r))
	t.SetFull(false)
}

func drainTarget(ctx context.Context, f *fleet, r *rand.Rand) {
	t := f.anyTarget(r)
	if t == nil {
		return
	}
	t.registration.Draining = true
	f.store.Register(t.registration)
	f.mark(t, func(now time.Time) { t.leaving = now })
	sleep(ctx, newsBound+time.Second)
	f.leave(t)
}

// leave ends a target.
func (f *fleet) leave(t *target) {
	f.store.Deregister(t.registration.ID)
	f.mark(t, func(time.Time) { t.gone = true })
	t.Close()
}

func joinTarget(_ context.Context, f *fleet, r *rand.Rand) {
	f.mu.Lock()
	n := len(f.targets) + 1
	f.mu.Unlock()
	if n < 250 {
		if err := f.addTarget(n, services[r.IntN(len(services))], dataCentres[r.IntN(len(dataCentres))]); err != nil {
			f.judge.note("a target could not start: %v", err)
		}
	}
}

// replaceTarget ends a target without notice and gives its address to a target
// of the other service.
func replaceTarget(ctx context.Context, f *fleet, r *rand.Rand) {
	t := f.anyTarget(r)
	if t == nil {
		return
	}
	f.mark(t, func(now time.Time) { t.leaving = now })
	f.leave(t)
	sleep(ctx, 2*time.Second)
	other := services[0]
	if t.registration.Service == other {
		other = services[1]
	}
	n := int(t.registration.Address.Addr().As4()[3])
	if err := f.addTarget(n, other, t.registration.DataCentre); err != nil {
		f.judge.note("a target could not take over an address: %v", err)
	}
}

func storeFault(fault standin.Fault) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, r *rand.Rand) {
		f.store.SetFault(fault)
		sleep(ctx, faultTime(r))
		f.store.SetFault(standin.FaultNone)
		f.judge.uneasy(time.Now())
	}
}

func compactStore(ctx context.Context, f *fleet, _ *rand.Rand) {
	f.store.SkipEvents()
	sleep(ctx, time.Second)
	f.store.Compact()
	f.judge.uneasy(time.Now())
}

// lostTime is the most that a restored store loses, and writeAgainTime the most that
// operators and targets take to write again what is lost.
const (
	lostTime       = 6 * time.Second
	writeAgainTime = 2 * time.Second
)

// restoreStore takes the store away and brings it back from a backup some seconds old.
func restoreStore(ctx context.Context, f *fleet, r *rand.Rand) {
	backup := f.store.Backup()
	sleep(ctx, upTo(r, lostTime))
	f.store.SetFault(standin.FaultSilent)
	sleep(ctx, faultTime(r))
	f.store.Restore(backup)
	f.store.SetFault(standin.FaultNone)
	f.judge.uneasy(time.Now())
	sleep(ctx, upTo(r, writeAgainTime))
	f.store.RepeatLostWrites()
}

func upTo(r *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(most)))
}

func linkTrouble(fault linkFault) func(context.Context, *fleet, *rand.Rand) {
	return func(ctx context.Context, f *fleet, r *rand.Rand) {
		v := f.anyVM(r)
		v.link.set(fault)
		sleep(ctx, faultTime(r))
		v.link.set(linkFine)
		f.judge.uneasy(time.Now())
	}
}

// evacuate empties a data centre and takes that back.
func evacuate(ctx context.Context, f *fleet, r *rand.Rand) {
	f.store.EndEvacuation(f.empty(ctx, r))
}

// empty evacuates a data centre for a while and returns its name. The caller ends the evacuation.
func (f *fleet) empty(ctx context.Context, r *rand.Rand) (name string) {
	name = dataCentres[r.IntN(len(dataCentres))]
	f.store.Evacuate(name)
	f.judge.evacuated(name, time.Now())
	sleep(ctx, newsBound+faultTime(r))
	f.judge.evacuated(name, time.Time{})
	return name
}

// reportDelay is the most that a target takes to report that it has become cold.
const reportDelay = 1200 * time.Millisecond

// evacuateCold empties a data centre, lets its targets become cold and takes it back before they
// report that.
func evacuateCold(ctx context.Context, f *fleet, r *rand.Rand) {
	name := f.empty(ctx, r)
	cold, until := f.live(), time.Now().Add(coldLasts)
	cold = slices.DeleteFunc(cold, func(t *target) bool { return t.registration.DataCentre != name })
	for _, t := range cold {
		f.judge.startedCold(t.registration.ID, time.Now(), coldLasts)
	}
	f.store.EndEvacuation(name)
	sleep(ctx, upTo(r, reportDelay))
	for _, t := range cold {
		f.report(t, time.Until(until))
	}
}

// report writes the registration of a target that stays, with the time that it is still cold.
func (f *fleet) report(t *target, left time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !t.gone && !t.registration.Draining {
		t.registration.WarmupLeft = left
		f.store.Register(t.registration)
	}
}

// lagReplicas lets reads of replicas see an older content for longer than a change takes.
func lagReplicas(ctx context.Context, f *fleet, r *rand.Rand) {
	f.store.SetReplicaLag(true)
	sleep(ctx, newsBound+faultTime(r))
	f.store.SetReplicaLag(false)
	f.judge.uneasy(time.Now())
}

// coldTarget lets a target fall silent and come back cold, as another run.
func coldTarget(ctx context.Context, f *fleet, r *rand.Rand) {
	t := f.anyTarget(r)
	if t == nil {
		return
	}
	f.mark(t, func(now time.Time) { t.leaving = now })
	t.SetSilent(true)
	sleep(ctx, faultTime(r))
	f.leave(t)
	again := t.registration
	again.WarmupLeft = coldLasts
	if err := f.startTarget(again); err != nil {
		f.judge.note("a target could not start again: %v", err)
	}
}

// changeRoutes adds an address, checks that it is served in time, drops it, and
// checks that it is not served any more.
func changeRoutes(ctx context.Context, f *fleet, r *rand.Rand) {
	f.mu.Lock()
	address := serviceAddress(10 + int(f.version)%200)
	service := services[r.IntN(len(services))]
	f.judge.route(address, service)
	f.routes = append(f.routes, standin.Route{Address: address, Service: service})
	f.putRoutes()
	f.mu.Unlock()
	sleep(ctx, newsBound)
	f.checkRoute(ctx, address, standin.Answered, "an added route")
	f.useRoute(ctx, address, r)
	f.mu.Lock()
	f.routes = slices.DeleteFunc(f.routes, func(x standin.Route) bool { return x.Address == address })
	f.putRoutes()
	f.mu.Unlock()
	sleep(ctx, newsBound)
	f.checkRoute(ctx, address, standin.Refused, "a dropped route")
}

// routeRequests is the number of requests on each flow of an added route.
const routeRequests = 30

// useRoute opens a flow from each caller, sends requests on it and closes it.
func (f *fleet) useRoute(ctx context.Context, address netip.AddrPort, r *rand.Rand) {
	var flows sync.WaitGroup
	for _, c := range f.callers {
		random := rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))
		flows.Go(func() { f.load.flow(ctx, c, address, routeRequests, pause, random) })
	}
	flows.Wait()
}

// checkRoute opens a flow from each caller and compares how it ends.
func (f *fleet) checkRoute(ctx context.Context, address netip.AddrPort, want standin.Outcome, what string) {
	for _, c := range f.callers {
		easy := f.judge.easy(time.Now())
		flow, got := c.Open(ctx, address)
		flow.Close()
		if got != want && easy && ctx.Err() == nil && got != standin.TimedOut {
			f.judge.note("%s: a flow to %v ended with outcome %d, want %d", what, address, got, want)
		}
	}
}
