package main

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/standin/control"
	"baobabstep/standin/targets"
)

// allFaults stands for every fault, one after the other.
const allFaults = "all"

// Bounds of how long a fault lasts, and sizes of faults.
const (
	minHold        = 2 * time.Second
	maxHold        = 5 * time.Second
	holdShare      = 0.25
	lossShare      = 0.05
	duplicateShare = 0.10
	reorderShare   = 0.10
	silentShare    = 0.05
	lostAnswers    = 2
)

// fault is something that goes wrong, or a planned change.
type fault struct {
	name, doc string
	// run makes it happen, and undoes what does not stay after hold.
	run func(d *demo, ctx context.Context, hold time.Duration) error
}

var faults = []fault{
	{"vm_death", "a VM is killed (SIGKILL); a new one takes its place a few seconds later", (*demo).vmDeathFault},
	{"vm_join", "one more VM starts", (*demo).vmJoinFault},
	{"vm_pause", "a VM is stopped for a while (SIGSTOP, SIGCONT)", (*demo).vmPauseFault},
	{"vm_stop", "a VM is told to stop gracefully (SIGTERM) and started again", (*demo).vmStopFault},
	{"target_drain", "a target drains: it says so and refuses new work", (*demo).targetDrainFault},
	{"target_death", "a target dies and comes back without its flows", (*demo).targetDeathFault},
	{"target_join", "a target starts cold and an operator adds it", (*demo).targetJoinFault},
	{"target_lies", "a target reports that it is idle and fast, whatever it does", (*demo).targetLiesFault},
	{"platform_down", "the platform answers nobody", (*demo).platformDownFault},
	{"platform_lost_answer", "writes to the platform take effect, but their answers are lost", (*demo).lostAnswerFault},
	{"dc_partition", "a data centre is cut off from the others and from the platform", (*demo).partitionFault},
	{"fabric_loss", "the fabric loses 5 % of the datagrams", (*demo).lossFault},
	{"fabric_duplicate", "the fabric doubles 10 % of the datagrams and reorders 10 %", (*demo).duplicateFault},
	{"flows_silent", "a target forgets 5 % of its flows without a word", (*demo).silentFault},
	{"config_change", "an operator accepts a change", (*demo).configChangeFault},
	{"operator_race", "two operators accept different values of one parameter at once", (*demo).operatorRaceFault},
	{"address_reuse", "a target's host ends and its address is given to another service", (*demo).addressReuseFault},
}

// scheduled is a fault and when it happens.
type scheduled struct {
	*fault
	at time.Duration
}

// String returns the form that the command line takes.
func (s scheduled) String() string { return fmt.Sprintf("%s@%g", s.name, s.at.Seconds()) }

// parseFaults reads NAME or NAME@SECOND; those without a second are spread over
// the time after the ramp.
func parseFaults(list []string, seconds int) ([]scheduled, error) {
	var schedule, unset []scheduled
	for _, text := range list {
		name, at, timed := strings.Cut(text, "@")
		if name == allFaults && !timed {
			for i := range faults {
				unset = append(unset, scheduled{fault: &faults[i]})
			}
			continue
		}
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, errors.Newf("--fault %s: got an unknown name; --list-faults prints all", text)
		}
		if !timed {
			unset = append(unset, scheduled{fault: &faults[i]})
			continue
		}
		second, err := strconv.ParseFloat(at, 64)
		if err != nil || second < 0 || second > float64(seconds) {
			return nil, errors.Newf("--fault %s: got second %q, want 0 to %d", text, at, seconds)
		}
		schedule = append(schedule, scheduled{&faults[i], time.Duration(second * float64(time.Second))})
	}
	ramp := rampShare * float64(seconds)
	step := (float64(seconds) - ramp) / float64(len(unset)+1)
	for i, s := range unset {
		s.at = time.Duration((ramp + step*float64(i)) * float64(time.Second)).Round(100 * time.Millisecond)
		schedule = append(schedule, s)
	}
	return schedule, nil
}

// runFault waits for the fault's time and makes it happen.
func (d *demo) runFault(ctx context.Context, start time.Time, s scheduled) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(time.Until(start.Add(s.at))):
	}
	share := time.Duration(holdShare * float64(d.plan.flags.Seconds) * float64(time.Second))
	hold := min(maxHold, max(minHold, share))
	if err := s.run(d, ctx, hold); err != nil && ctx.Err() == nil {
		d.violate("fault %s: %v", s.name, err)
	}
}

func pause(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// chooseVM draws a running VM that no other fault has.
func (d *demo) chooseVM() (*vmRun, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	var free []*vmRun
	for _, r := range d.runs {
		if r.process.Running() && !r.paused && !d.taken[r.Name] {
			free = append(free, r)
		}
	}
	if len(free) < 2 {
		return nil, errors.New("got fewer than two VMs that run, want two")
	}
	r := free[d.random.IntN(len(free))]
	d.taken[r.Name] = true
	return r, nil
}

// chooseTarget draws a target of a service that no other fault has.
func (d *demo) chooseTarget(service string) (targets.TargetSettings, error) {
	d.lock.Lock()
	defer d.lock.Unlock()
	var free []targets.TargetSettings
	for _, t := range d.plan.targets.Targets {
		if (service == "" || t.Service == service) && !t.Down && !d.taken[t.Name] {
			free = append(free, t)
		}
	}
	if len(free) < 2 {
		return targets.TargetSettings{}, errors.New("got fewer than two targets, want two")
	}
	t := free[d.random.IntN(len(free))]
	d.taken[t.Name] = true
	return t, nil
}

func (d *demo) free(name string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	delete(d.taken, name)
}

func (d *demo) vmDeathFault(ctx context.Context, hold time.Duration) error {
	r, err := d.chooseVM()
	if err != nil {
		return err
	}
	defer d.free(r.Name)
	if err := r.process.end(syscall.SIGKILL); err != nil {
		return err
	}
	if err := d.publishVMs(ctx); err != nil {
		return err
	}
	pause(ctx, hold)
	return d.startVM(ctx, r.VM)
}

func (d *demo) vmJoinFault(ctx context.Context, _ time.Duration) error {
	d.lock.Lock()
	if len(d.plan.spares) == 0 {
		d.lock.Unlock()
		return errors.New("got no VM left that could join")
	}
	vm := d.plan.spares[0]
	d.plan.spares = d.plan.spares[1:]
	d.lock.Unlock()
	return d.startVM(ctx, vm)
}

func (d *demo) setPaused(r *vmRun, paused bool) {
	d.lock.Lock()
	defer d.lock.Unlock()
	r.paused = paused
}

func (d *demo) vmPauseFault(ctx context.Context, hold time.Duration) error {
	r, err := d.chooseVM()
	if err != nil {
		return err
	}
	defer d.free(r.Name)
	d.setPaused(r, true)
	r.process.Signal(syscall.SIGSTOP)
	pause(ctx, hold)
	r.process.Signal(syscall.SIGCONT)
	d.setPaused(r, false)
	return nil
}

func (d *demo) vmStopFault(ctx context.Context, hold time.Duration) error {
	r, err := d.chooseVM()
	if err != nil {
		return err
	}
	defer d.free(r.Name)
	d.lock.Lock()
	d.leaving[r.Name] = true
	d.lock.Unlock()
	if err := d.publishVMs(ctx); err != nil {
		return err
	}
	if err := r.process.end(syscall.SIGTERM); err != nil {
		return err
	}
	if err := d.publishVMs(ctx); err != nil {
		return err
	}
	pause(ctx, hold)
	return d.startVM(ctx, r.VM)
}

func (d *demo) target(ctx context.Context, f targets.Fault) error {
	return control.Call(ctx, d.targetsURL("/fault"), f, nil)
}

// loseFlows notes that a fault ends flows of a target.
func (d *demo) loseFlows(name string) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.lost[baobabstep.MakeTargetID(name)] = true
}

func (d *demo) targetDrainFault(ctx context.Context, _ time.Duration) error {
	t, err := d.chooseTarget("")
	if err != nil {
		return err
	}
	return d.target(ctx, targets.Fault{Action: "drain", Targets: []string{t.Name}})
}

func (d *demo) targetDeathFault(ctx context.Context, hold time.Duration) error {
	t, err := d.chooseTarget("")
	if err != nil {
		return err
	}
	defer d.free(t.Name)
	d.loseFlows(t.Name)
	if err := d.target(ctx, targets.Fault{Action: "die", Targets: []string{t.Name}}); err != nil {
		return err
	}
	pause(ctx, hold)
	return d.target(ctx, targets.Fault{Action: "start", Targets: []string{t.Name}})
}

func (d *demo) targetJoinFault(ctx context.Context, _ time.Duration) error {
	d.lock.Lock()
	service := d.joined
	d.joined++
	d.lock.Unlock()
	if service >= len(d.plan.joining) {
		return errors.New("got no target left that could join")
	}
	t := d.plan.joining[service]
	if err := d.target(ctx, targets.Fault{Action: "start", Targets: []string{t.Name}}); err != nil {
		return err
	}
	return d.changeConfig(ctx, "one more target", changeTargets(service, func(list []config.TargetValue) []config.TargetValue {
		return append(list, config.TargetValue{Name: t.Name, Address: t.Address.String(), DataCentre: t.DataCentre})
	}))
}

func (d *demo) targetLiesFault(ctx context.Context, _ time.Duration) error {
	t, err := d.chooseTarget("")
	if err != nil {
		return err
	}
	return d.target(ctx, targets.Fault{Action: "lie", Targets: []string{t.Name}})
}

func (d *demo) platformDownFault(ctx context.Context, hold time.Duration) error {
	if err := d.changePlatform(ctx, func(o *overlap) { o.outages++ }); err != nil {
		return err
	}
	pause(ctx, hold)
	return d.changePlatform(ctx, func(o *overlap) { o.outages-- })
}

func (d *demo) lostAnswerFault(ctx context.Context, _ time.Duration) error {
	if err := d.changePlatform(ctx, func(o *overlap) { o.loseAnswers += lostAnswers }); err != nil {
		return err
	}
	return d.changeConfig(ctx, "answers get lost", setValue(0, "queue_limit", d.newLimit()))
}

func (d *demo) partitionFault(ctx context.Context, hold time.Duration) error {
	d.lock.Lock()
	centres := d.plan.dataCentres()
	cut := centres[d.random.IntN(len(centres))]
	d.lock.Unlock()
	if err := d.changePartition(ctx, cut, 1); err != nil {
		return err
	}
	pause(ctx, hold)
	return d.changePartition(ctx, cut, -1)
}

// changePartition cuts a data centre off, or ends that, on all three ways:
// between VMs, between VMs and targets, and to the platform.
func (d *demo) changePartition(ctx context.Context, dc string, by int) error {
	d.lock.Lock()
	d.cut[dc] += by
	d.lock.Unlock()
	return errors.CombineErrors(
		d.changeNetwork(ctx, func(*overlap) {}),
		errors.CombineErrors(
			d.changeTargetPartition(ctx),
			d.changePlatform(ctx, func(*overlap) {}),
		),
	)
}

func (d *demo) lossFault(ctx context.Context, hold time.Duration) error {
	if err := d.changeNetwork(ctx, func(o *overlap) { o.losses++ }); err != nil {
		return err
	}
	pause(ctx, hold)
	return d.changeNetwork(ctx, func(o *overlap) { o.losses-- })
}

func (d *demo) duplicateFault(ctx context.Context, hold time.Duration) error {
	if err := d.changeNetwork(ctx, func(o *overlap) { o.duplicates++ }); err != nil {
		return err
	}
	pause(ctx, hold)
	return d.changeNetwork(ctx, func(o *overlap) { o.duplicates-- })
}

func (d *demo) silentFault(ctx context.Context, _ time.Duration) error {
	t, err := d.chooseTarget("")
	if err != nil {
		return err
	}
	d.loseFlows(t.Name)
	return d.target(ctx, targets.Fault{Action: "silent", Targets: []string{t.Name}, Share: silentShare})
}

func (d *demo) configChangeFault(ctx context.Context, _ time.Duration) error {
	return d.changeConfig(ctx, "another queue limit", setValue(0, "queue_limit", d.newLimit()))
}

func (d *demo) operatorRaceFault(ctx context.Context, _ time.Duration) error { return d.race(ctx) }

// addressReuseFault ends a target of the first service, takes it out of the
// configuration, and gives its address to a new target of the second.
func (d *demo) addressReuseFault(ctx context.Context, _ time.Duration) error {
	first := d.plan.account.Name + "/" + d.plan.account.Services[0].Name
	second := d.plan.account.Name + "/" + d.plan.account.Services[1].Name
	t, err := d.chooseTarget(first)
	if err != nil {
		return err
	}
	d.loseFlows(t.Name)
	name := t.Name + "-reused"
	reassign := targets.Fault{Action: "reassign", Targets: []string{t.Name}, ToService: second, ToName: name}
	if err := d.target(ctx, reassign); err != nil {
		return err
	}
	return d.changeConfig(ctx, "an address moves to another service", func(a *config.Account) error {
		without := changeTargets(0, func(list []config.TargetValue) []config.TargetValue {
			return slices.DeleteFunc(list, func(v config.TargetValue) bool { return v.Name == t.Name })
		})
		with := changeTargets(1, func(list []config.TargetValue) []config.TargetValue {
			return append(list, config.TargetValue{Name: name, Address: t.Address.String(), DataCentre: t.DataCentre})
		})
		if err := without(a); err != nil {
			return err
		}
		return with(a)
	})
}
