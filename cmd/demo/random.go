package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Sizes of randomised runs.
const (
	randomFlows   = 2500
	randomLoad    = 0.3
	defaultLoad   = 0.5
	maxFaults     = 6
	maxSame       = 2
	firstSecond   = 2
	lastShare     = 0.85
	secondsStep   = 0.5
	maxTries      = 10
	scheduleLimit = 1000
	// scheduleRandom keeps the draw of schedules apart from other random
	// numbers of the same seed.
	scheduleRandom = 98
)

// setDefaults fills in what depends on whether the run is randomised.
func (f *flags) setDefaults() {
	if f.Load < 0 {
		f.Load = defaultLoad
		if f.Random > 0 {
			f.Load = randomLoad
		}
	}
	if f.Flows < 0 && f.Random > 0 {
		f.Flows = randomFlows
	}
}

// drawSchedule draws 1 to 6 faults, in the form that --fault takes, from the
// seed alone: a fault alone, two different ones at one moment, or one fault
// twice. Each fault comes twice at most.
func drawSchedule(seed uint64, seconds int) []string {
	random := rand.New(rand.NewPCG(seed, scheduleRandom))
	count := 1 + random.IntN(maxFaults)
	times := make(map[string]int)
	var schedule []string
	add := func(name string, second float64) {
		if times[name] < maxSame && len(schedule) < count {
			times[name]++
			schedule = append(schedule, fmt.Sprintf("%s@%g", name, second))
		}
	}
	drawName := func() string { return faults[random.IntN(len(faults))].name }
	drawSecond := func() float64 {
		steps := (lastShare*float64(seconds) - firstSecond) / secondsStep
		return firstSecond + secondsStep*float64(random.IntN(max(1, int(steps)+1)))
	}
	for range scheduleLimit {
		if len(schedule) == count {
			break
		}
		name, second := drawName(), drawSecond()
		add(name, second)
		switch random.IntN(3) {
		case 0:
		case 1:
			if other := drawName(); other != name {
				add(other, second)
			}
		case 2:
			add(name, drawSecond())
		}
	}
	return schedule
}

// outcome is what one run of a schedule gave.
type outcome struct {
	report *report
	broken []string
	logs   string
}

func (o *outcome) failed() bool { return len(o.broken) > 0 }

// keyDigits are the parts of a violation that differ from run to run.
var keyDigits = regexp.MustCompile(`[0-9.]+`)

// keys names the violations without their counts.
func (o *outcome) keys() map[string]bool {
	keys := make(map[string]bool)
	for _, b := range o.broken {
		keys[keyDigits.ReplaceAllString(b, "#")] = true
	}
	return keys
}

// sameFailure tells whether two runs have a violation in common.
func sameFailure(a, b *outcome) bool {
	for key := range b.keys() {
		if a.keys()[key] {
			return true
		}
	}
	return false
}

// runner runs one schedule. It returns an error only if nothing can be said
// about the schedule, as after an interrupt.
type runner func(ctx context.Context, seed uint64, schedule []string) (*outcome, error)

// shrink leaves out one fault after the other as long as the run without it
// fails in the same way. It returns the shortest schedule that failed and the
// number of runs that it took, tries at most.
func shrink(ctx context.Context, run runner, seed uint64, schedule []string, first *outcome, tries int) ([]string, int, error) {
	shortest := schedule
	runs := 0
	for i := 0; i < len(shortest) && runs < tries; {
		without := slices.Delete(slices.Clone(shortest), i, i+1)
		runs++
		o, err := run(ctx, seed, without)
		if err != nil {
			return shortest, runs, err
		}
		if o.failed() && sameFailure(first, o) {
			shortest = without
			continue
		}
		i++
	}
	return shortest, runs, nil
}

// randomRuns runs f.Random rounds, with the seeds from f.Seed on, and returns
// the exit status.
func randomRuns(ctx context.Context, f flags, run runner, out, log io.Writer) int {
	start := time.Now()
	failed, runs := 0, 0
	for i := range f.Random {
		seed := f.Seed + uint64(i)
		schedule := drawSchedule(seed, f.Seconds)
		o, err := run(ctx, seed, schedule)
		if err != nil {
			fmt.Fprintln(log, "demo:", err)
			return exitFailed
		}
		runs++
		fmt.Fprintln(out, roundLine(seed, schedule, o))
		if !o.failed() {
			continue
		}
		failed++
		for _, b := range o.broken {
			fmt.Fprintf(log, "demo: seed %d: broken: %s\n", seed, b)
		}
		fmt.Fprintf(log, "demo: seed %d: logs in %s\n", seed, o.logs)
		shortest, tries, err := shrink(ctx, run, seed, schedule, o, maxTries)
		if err != nil {
			fmt.Fprintln(log, "demo:", err)
			return exitFailed
		}
		runs += tries
		fmt.Fprintf(log, "demo: seed %d: shortest failing schedule after %d more runs: %s\n", seed, tries, repeatCommand(f, seed, shortest))
	}
	fmt.Fprintf(out, "rounds %d failed %d runs %d minutes %.1f\n", f.Random, failed, runs, time.Since(start).Minutes())
	if failed > 0 {
		return exitBroken
	}
	return 0
}

// roundLine is what is printed of a round.
func roundLine(seed uint64, schedule []string, o *outcome) string {
	verdict := "ok"
	if o.failed() {
		verdict = "FAILED"
	}
	line := fmt.Sprintf("seed %d %s %s", seed, verdict, strings.Join(schedule, " "))
	if r := o.report; r != nil {
		line += fmt.Sprintf(" | flows %d broken %d reset %d | requests %d answered %d refused %d unknown %d lost %d | urgent p99 %.0f ms | config %.1f s",
			r.FlowsOpened, r.FlowsBroken, r.FlowsResetExplicitly,
			r.Requests, r.Answered, r.RefusedNotRun, r.OutcomeUnknown, r.OrdinaryLost, r.UrgentP99MS, r.ConfigInForceSeconds)
	}
	return line
}

// repeatCommand is the command line that runs a schedule again.
func repeatCommand(f flags, seed uint64, schedule []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "./demo --site %s --vms %d --seconds %d --flows %d --load %g", f.Site, f.VMs, f.Seconds, f.Flows, f.Load)
	if f.RequestsPerSecond >= 0 {
		fmt.Fprintf(&b, " --requests-per-second %g", f.RequestsPerSecond)
	}
	for _, s := range schedule {
		fmt.Fprintf(&b, " --fault %s", s)
	}
	fmt.Fprintf(&b, " --seed %d", seed)
	return b.String()
}

// demoRunner runs schedules as the ordinary demo does. Only logs of failed runs
// are kept.
func demoRunner(f flags) runner {
	base := f.Logs
	runs := 0
	return func(ctx context.Context, seed uint64, schedule []string) (*outcome, error) {
		f.Seed, f.Fault = seed, schedule
		if base != "" {
			f.Logs = filepath.Join(base, fmt.Sprintf("run-%d-seed-%d", runs, seed))
		}
		runs++
		d, err := newDemo(f)
		if err != nil {
			return nil, err
		}
		r, err := d.run(ctx)
		d.fleet.stopAll()
		if ctx.Err() != nil {
			return nil, errors.Wrap(ctx.Err(), "interrupted")
		}
		o := &outcome{report: r, logs: d.plan.logs}
		if err != nil {
			o.broken = append(slices.Clone(d.violations), "run: "+err.Error())
			return o, nil
		}
		o.broken = d.broken(r)
		if !o.failed() {
			return o, os.RemoveAll(o.logs)
		}
		return o, nil
	}
}
