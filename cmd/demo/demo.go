package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"baobabstep"
	"baobabstep/io/platform"
	"baobabstep/standin/callers"
	"baobabstep/standin/control"
	"baobabstep/standin/fabric"
	"baobabstep/standin/targets"
)

const (
	readyTimeout  = 30 * time.Second
	finishTimeout = 40 * time.Second
	pollInterval  = 50 * time.Millisecond
	// launcherRandom keeps the launcher's random numbers apart from others.
	launcherRandom = 99
	// Calls of the launcher to the platform, which it must not be slowed by.
	operatorCalls = 1000
)

// demo is one run. Its lock guards everything below it.
type demo struct {
	plan     *plan
	fleet    *fleet
	schedule []scheduled
	platform *platform.Client

	// configLock makes the launcher's own changes of the configuration follow
	// one another.
	configLock sync.Mutex
	document   json.RawMessage

	// overlapLock guards overlap, also while a stand-in is told, so that the
	// last one told is the latest.
	overlapLock sync.Mutex
	overlap     overlap

	lock    sync.Mutex
	random  *rand.Rand
	runs    []*vmRun
	leaving map[string]bool
	starts  map[string]uint64
	// cut counts the faults that cut a data centre off.
	cut      map[string]int
	versions map[string]uint64
	reverts  int
	// lost are targets whose flows a fault ended.
	lost           map[baobabstep.TargetID]bool
	taken          map[string]bool
	inForceSeconds float64
	violations     []string
	// joined counts targets that joined, limits the values that changes set.
	joined, limits int
}

func newDemo(f flags) (*demo, error) {
	schedule, err := parseFaults(f.Fault, f.Seconds)
	if err != nil {
		return nil, err
	}
	p, err := newPlan(f)
	if err != nil {
		return nil, err
	}
	return &demo{
		plan:     p,
		fleet:    &fleet{logs: p.logs, bin: f.Bin},
		schedule: schedule,
		platform: platform.NewClient(platform.Options{
			URL: "http://" + p.platformAddress(), MaxCalls: operatorCalls, Burst: operatorCalls, FleetCalls: operatorCalls,
		}),
		random:   rand.New(rand.NewPCG(f.Seed, launcherRandom)),
		leaving:  make(map[string]bool),
		starts:   make(map[string]uint64),
		cut:      make(map[string]int),
		versions: make(map[string]uint64),
		lost:     make(map[baobabstep.TargetID]bool),
		taken:    make(map[string]bool),
	}, nil
}

// run starts everything, drives it and makes the report.
func (d *demo) run(ctx context.Context) (*report, error) {
	defer d.platform.Close()
	if err := d.startAll(ctx); err != nil {
		return nil, err
	}
	watchCtx, stopWatch := context.WithCancel(ctx)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		d.watch(watchCtx)
	}()
	err := d.drive(ctx)
	stopWatch()
	<-watched
	if err != nil {
		return nil, err
	}
	d.readMetrics(ctx)
	return d.report(ctx)
}

func (d *demo) startAll(ctx context.Context) error {
	standins := []struct {
		name     string
		settings any
		ready    string
	}{
		{"platform", map[string]any{"control_address": d.plan.platformAddress(), "vm_lag_ms": vmLagMS, "latency_ms": platformLatencyMS}, d.plan.platformAddress()},
		{"targets", d.plan.targets, d.plan.targets.ControlAddress},
		{"fabric", d.plan.fabric, d.plan.fabric.ControlAddress},
	}
	for _, s := range standins {
		if err := d.startStandin(ctx, s.name, s.settings, s.ready); err != nil {
			return err
		}
	}
	if err := d.publishVMs(ctx); err != nil {
		return err
	}
	if err := d.importConfig(ctx); err != nil {
		return err
	}
	for i := range d.plan.vms {
		if err := d.startVM(ctx, d.plan.vms[i]); err != nil {
			return err
		}
	}
	err := d.await(ctx, readyTimeout, "VMs to be ready", func() bool {
		var s fabric.Stats
		return control.Call(ctx, d.fabricURL("/stats"), nil, &s) == nil && len(s.Live) == len(d.plan.vms)
	})
	if err != nil {
		return err
	}
	return d.startStandin(ctx, "callers", d.plan.callers, d.plan.callers.ControlAddress)
}

func (d *demo) startStandin(ctx context.Context, name string, settings any, address string) error {
	path, err := d.plan.write(name, settings)
	if err != nil {
		return err
	}
	if _, err := d.fleet.start(name, "baobabstep-standin", name, "--settings", path); err != nil {
		return err
	}
	return d.await(ctx, readyTimeout, name, func() bool {
		var any map[string]any
		return control.Call(ctx, "http://"+address+"/stats", nil, &any) == nil
	})
}

// await polls until done, and fails if a process has crashed meanwhile.
func (d *demo) await(ctx context.Context, timeout time.Duration, what string, done func() bool) error {
	start := time.Now()
	for !done() {
		if crashed := d.fleet.crashed(); len(crashed) > 0 {
			return errors.Newf("ended by itself while waiting for %s: %v; see the logs", what, crashed)
		}
		if time.Since(start) > timeout {
			return errors.Newf("got none within %v: %s", timeout, what)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// startVM starts a process for vm and tells the platform.
func (d *demo) startVM(ctx context.Context, vm fabric.VM) error {
	path, err := d.plan.write(vm.Name, d.plan.vmSettings(&vm))
	if err != nil {
		return err
	}
	d.lock.Lock()
	d.starts[vm.Name]++
	delete(d.leaving, vm.Name)
	d.lock.Unlock()
	seed := fmt.Sprint(d.plan.flags.Seed)
	p, err := d.fleet.start(vm.Name, "baobabstep", "balance", "--settings", path, "--seed", seed)
	if err != nil {
		return err
	}
	d.lock.Lock()
	d.runs = append(d.runs, &vmRun{VM: vm, process: p})
	d.lock.Unlock()
	return d.publishVMs(ctx)
}

// publishVMs puts the running VMs into the platform's list, which shows them
// after its lag.
func (d *demo) publishVMs(ctx context.Context) error {
	vms := []platform.VM{}
	d.lock.Lock()
	for _, r := range d.runs {
		if !r.process.Running() {
			continue
		}
		vms = append(vms, platform.VM{
			Name: r.Name, Region: d.plan.flags.Site, DataCentre: r.DataCentre, Rack: r.Name,
			DataAddress: r.RelayDataAddress, PeerAddress: r.RelayPeerAddress,
			Incarnation: d.starts[r.Name], Leaving: d.leaving[r.Name],
		})
	}
	d.lock.Unlock()
	return d.call(ctx, http.MethodPut, "http://"+d.plan.platformAddress()+platform.PathVMs, vms)
}

// drive lets the callers work, makes the faults happen and brings it to an end.
func (d *demo) drive(ctx context.Context) error {
	start := time.Now()
	end := start.Add(time.Duration(d.plan.flags.Seconds) * time.Second)
	var faults sync.WaitGroup
	for _, s := range d.schedule {
		faults.Go(func() { d.runFault(ctx, start, s) })
	}
	if err := d.await(ctx, time.Until(end)+time.Minute, "the end of the load", func() bool {
		d.progress(ctx, start)
		return time.Now().After(end)
	}); err != nil {
		faults.Wait()
		return err
	}
	faults.Wait()
	if err := control.Call(ctx, d.callersURL("/finish"), struct{}{}, nil); err != nil {
		return err
	}
	return d.await(ctx, finishTimeout, "the callers to finish", func() bool {
		d.progress(ctx, start)
		var s callers.Stats
		return control.Call(ctx, d.callersURL("/stats"), nil, &s) == nil && s.Done
	})
}

// progress shows a line on a terminal.
func (d *demo) progress(ctx context.Context, start time.Time) {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return
	}
	var s callers.Stats
	if control.Call(ctx, d.callersURL("/stats"), nil, &s) != nil {
		return
	}
	fmt.Fprintf(os.Stderr, "\r%4.0f s  flows %d open, %d broken  requests %d, %d answered, %d refused   ",
		time.Since(start).Seconds(), s.FlowsOpen, s.FlowsBroken, s.Requests, s.Answered, s.RefusedNotRun)
	if s.Done {
		fmt.Fprintln(os.Stderr)
	}
}

func (d *demo) callersURL(path string) string {
	return "http://" + d.plan.callers.ControlAddress + path
}

func (d *demo) targetsURL(path string) string {
	return "http://" + d.plan.targets.ControlAddress + path
}

func (d *demo) fabricURL(path string) string { return "http://" + d.plan.fabric.ControlAddress + path }

// details is written beside the logs: what explains the report.
type details struct {
	Callers  callers.Stats    `json:"callers"`
	Targets  targets.Stats    `json:"targets"`
	Fabric   fabric.Stats     `json:"fabric"`
	Platform platformStats    `json:"platform"`
	Broken   []callers.Broken `json:"broken_flows"`
	// UDPDrops counts datagrams that the kernel dropped because a socket's
	// buffer was full: this machine's own loss, on top of the faults.
	UDPDrops map[string]int `json:"udp_drops"`
}

// platformStats is the part of the platform's counts that is used.
type platformStats struct {
	BySource map[string]uint64 `json:"by_source"`
}

func (d *demo) report(ctx context.Context) (*report, error) {
	var all details
	var refused, ran []uint64
	for _, call := range []struct {
		url     string
		in, out any
	}{
		{d.callersURL("/stats"), nil, &all.Callers},
		{d.callersURL("/broken"), nil, &all.Broken},
		{d.targetsURL("/stats"), nil, &all.Targets},
		{d.fabricURL("/stats"), nil, &all.Fabric},
		{"http://" + d.plan.platformAddress() + "/stats", nil, &all.Platform},
		{d.callersURL("/refused"), nil, &refused},
	} {
		if err := control.Call(ctx, call.url, call.in, call.out); err != nil {
			return nil, err
		}
	}
	if err := control.Call(ctx, d.targetsURL("/ran"), refused, &ran); err != nil {
		return nil, err
	}
	r := &report{Seed: d.plan.flags.Seed, Policy: d.plan.flags.Policy, Faults: []string{}}
	r.setCallers(&all.Callers)
	r.RefusedButRan = len(ran)
	r.NonIdempotentRunTwice = all.Targets.NonIdempotentRunTwice
	r.NewWorkOnLeavingTarget = all.Targets.NewWorkOnLeavingTarget
	r.ConnectionImbalance = all.Targets.ConnectionImbalance
	r.SlotImbalance = all.Targets.SlotImbalance
	r.setVMs(d.runs)
	r.PlatformCallsPerSecond = d.vmCalls(all.Platform) / time.Since(d.runs[0].process.Started()).Seconds()
	r.ConfigInForceSeconds, r.ConfigReverts = d.inForceSeconds, d.reverts
	for _, s := range d.schedule {
		r.Faults = append(r.Faults, s.String())
	}
	d.judgeFlows(all.Broken)
	var err error
	if all.UDPDrops, err = udpDrops(d.plan.net); err != nil {
		return nil, err
	}
	raw, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return nil, err
	}
	return r, os.WriteFile(filepath.Join(d.plan.logs, "details.json"), raw, 0o600)
}

// vmCalls counts the calls of VMs, which are known by their addresses.
func (d *demo) vmCalls(s platformStats) float64 {
	total := 0.0
	for _, vm := range d.plan.fabric.VMs {
		total += float64(s.BySource[vm.DataAddress.Addr().String()])
	}
	return total
}

// judgeFlows finds the broken flows that no fault excuses: a fault that ends a
// target or makes it forget flows allows an explicit reset of flows on it, and
// nothing else.
func (d *demo) judgeFlows(broken []callers.Broken) {
	unexcused, unsaid := 0, 0
	for _, b := range broken {
		switch {
		case !d.lost[b.Target] || b.Reason == "misrouted":
			unexcused++
		case b.Reason != "reset":
			unsaid++
		}
	}
	if unexcused > 0 {
		d.violate("%d flows broken without a fault of their target", unexcused)
	}
	if unsaid > 0 {
		d.violate("%d flows whose target a fault ended got no reset within %d ms of their callers' asking", unsaid, silenceMS)
	}
}

func (d *demo) violate(format string, args ...any) {
	d.lock.Lock()
	defer d.lock.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// broken lists the invariants that did not hold.
func (d *demo) broken(r *report) []string {
	zero := []struct {
		name  string
		count int
	}{
		{"misrouted", r.Misrouted},
		{"answers_wrong", r.AnswersWrong},
		{"refused_but_ran", r.RefusedButRan},
		{"non_idempotent_run_twice", r.NonIdempotentRunTwice},
		{"ordinary_lost", r.OrdinaryLost},
		{"new_work_on_leaving_target", r.NewWorkOnLeavingTarget},
		{"config_reverts", r.ConfigReverts},
		{"invariant_failures", r.InvariantFailures},
	}
	broken := d.violations
	for _, z := range zero {
		if z.count != 0 {
			broken = append(broken, fmt.Sprintf("%s: got %d, want 0", z.name, z.count))
		}
	}
	if r.ConfigInForceSeconds > maxInForceSeconds {
		broken = append(broken, fmt.Sprintf("config_in_force_seconds: got %.1f, want at most %d", r.ConfigInForceSeconds, maxInForceSeconds))
	}
	if r.FlowsOpened == 0 && d.plan.flags.Flows != 0 || r.Answered == 0 && d.plan.flags.RequestsPerSecond != 0 {
		broken = append(broken, "got no work done, want flows opened and requests answered")
	}
	for _, name := range d.fleet.crashed() {
		broken = append(broken, name+" ended by itself")
	}
	return broken
}

// maxInForceSeconds bounds the time from accept to every VM.
const maxInForceSeconds = 6
