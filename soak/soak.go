package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"baobabstep/platform/standin"
)

// Options are those of one run.
type Options struct {
	// Program is the path of baobabstepd, Dir takes settings and logs.
	Program, Dir string
	Seed         uint64
	Seconds      int
	VMs, Targets int
	Callers      int
	// Users is the number of users of each caller.
	Users int
	// Plan is the faults with their moments; nil draws one from the seed.
	Plan []Moment
}

// Moment is a fault and when it strikes, from the start of the load.
type Moment struct {
	At   time.Duration
	Name string
}

// Report is the outcome of a run.
type Report struct {
	Seed       uint64   `json:"seed"`
	Faults     []string `json:"faults"`
	Answered   int      `json:"answered"`
	Refused    int      `json:"refused"`
	Broken     int      `json:"broken"`
	TimedOut   int      `json:"timed_out"`
	Foreign    int      `json:"foreign_datagrams"`
	Calls      int      `json:"platform_calls"`
	Violations []string `json:"violations"`
}

// Times around the load.
const (
	readyTimeout = 15 * time.Second
	// restartAfter is how soon a process that has ended is started again.
	restartAfter = 300 * time.Millisecond
	// calm is the time at the end without new faults, in which the fleet has
	// to recover.
	calm = 8 * time.Second
	// recoverSample is the number of requests that must succeed at the end.
	recoverSample = 40
)

// Draw returns the faults of a seed: one every second or two, some at the same
// moment, up to the calm at the end.
func Draw(seed uint64, seconds int) []Moment {
	random := rand.New(rand.NewPCG(seed, 1))
	var plan []Moment
	for at := time.Second; at < time.Duration(seconds)*time.Second-calm; {
		plan = append(plan, Moment{At: at, Name: Faults[random.IntN(len(Faults))].Name})
		if random.IntN(3) > 0 {
			at += time.Duration(300+random.IntN(2000)) * time.Millisecond
		}
	}
	return plan
}

// Run plays one run.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Plan == nil {
		o.Plan = Draw(o.Seed, o.Seconds)
	}
	j := newJudge()
	for n := range services {
		j.route(serviceAddress(n), services[n])
	}
	f, err := newFleet(o, j)
	if err != nil {
		return nil, err
	}
	r, err := f.play(ctx, o)
	f.close()
	if err != nil {
		return nil, err
	}
	f.checkLogs()
	return f.fill(r), nil
}

// play drives load and faults.
func (f *fleet) play(ctx context.Context, o Options) (*Report, error) {
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.fabric.Run(running)
	if err := f.untilReady(running, o.VMs); err != nil {
		return nil, err
	}
	go f.keepRunning(running)
	l := &load{fleet: f, finished: make(chan struct{})}
	f.load = l
	users := 0
	for n, c := range f.callers {
		for u := range o.Users {
			users++
			go l.user(running, c, rand.New(rand.NewPCG(o.Seed, uint64(n*1000+u))))
		}
	}
	f.strike(running, o)
	f.checkRecovery(running, l)
	cancel()
	for range users {
		<-l.finished
	}
	<-f.fabric.Done()
	r := &Report{Seed: o.Seed}
	for _, m := range o.Plan {
		r.Faults = append(r.Faults, fmt.Sprintf("%s@%.1f", m.Name, m.At.Seconds()))
	}
	return r, nil
}

func (f *fleet) untilReady(ctx context.Context, vms int) error {
	deadline := time.Now().Add(readyTimeout)
	for f.fabric.ReadyCount() < vms {
		if time.Now().After(deadline) {
			return errors.Newf("after %v %d of %d VMs are ready", readyTimeout, f.fabric.ReadyCount(), vms)
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return nil
}

// keepRunning starts processes again that have ended.
func (f *fleet) keepRunning(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, restartAfter)
		for _, v := range f.vms {
			if ctx.Err() != nil {
				return
			}
			if err := v.restart(f.program); err != nil {
				f.judge.note("%s could not start again: %v", v.name, err)
			}
		}
	}
}

// strike injects the faults and returns when the run's time is over and each
// fault has ended.
func (f *fleet) strike(ctx context.Context, o Options) {
	began := time.Now()
	ended := make(chan struct{})
	struck := 0
	for n, m := range o.Plan {
		sleep(ctx, time.Until(began.Add(m.At)))
		fault := faultNamed(m.Name)
		if fault == nil {
			f.judge.note("no fault is called %q", m.Name)
			continue
		}
		if fault.uneasy {
			f.judge.uneasy(time.Now())
		}
		struck++
		go func() {
			fault.run(ctx, f, rand.New(rand.NewPCG(o.Seed, uint64(2000+n))))
			ended <- struct{}{}
		}()
	}
	sleep(ctx, time.Until(began.Add(time.Duration(o.Seconds)*time.Second)))
	for range struck {
		<-ended
	}
}

// checkRecovery checks that the fleet serves again once nothing is wrong.
func (f *fleet) checkRecovery(ctx context.Context, l *load) {
	failed := 0
	for n := range recoverSample {
		flow, outcome := f.callers[n%len(f.callers)].Open(ctx, serviceAddress(n%len(services)))
		if outcome == standin.Answered {
			outcome = flow.Request(ctx, l.numbers.Add(1), requestLimit)
		}
		flow.Close()
		if outcome != standin.Answered {
			failed++
		}
	}
	if failed > recoverSample/20 {
		f.judge.note("after the last fault %d of %d requests failed", failed, recoverSample)
	}
}

// checkLogs checks that no process took an older routing table than it had.
func (f *fleet) checkLogs() {
	for _, v := range f.vms {
		if err := v.checkLog(f.judge); err != nil {
			f.judge.note("%s: log: %v", v.name, err)
		}
		if v.unexpected > 0 {
			f.judge.note("%s ended %d times by itself", v.name, v.unexpected)
		}
	}
}

func (v *vm) checkLog(j *judge) error {
	file, err := os.Open(v.log.Name())
	if err != nil {
		return err
	}
	defer file.Close()
	version := uint64(0)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var line struct {
			Message string `json:"message"`
			Fields  struct {
				Version uint64 `json:"version"`
			} `json:"fields"`
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			j.note("%s wrote %q", v.name, lines.Text())
			continue
		}
		switch line.Message {
		case "started":
			version = 0
		case "routing table in force":
			if line.Fields.Version <= version {
				j.note("%s went from version %d to %d", v.name, version, line.Fields.Version)
			}
			version = line.Fields.Version
		}
	}
	return lines.Err()
}

// fill adds what was counted to the report.
func (f *fleet) fill(r *Report) *Report {
	for _, t := range f.targets {
		stats := t.Stats()
		r.Foreign += stats.Misrouted
		if stats.Corrupted > 0 {
			f.judge.note("target %x got %d damaged segments", t.registration.ID, stats.Corrupted)
		}
	}
	r.Answered, r.Refused = f.judge.outcomes[standin.Answered], f.judge.outcomes[standin.Refused]
	r.Broken, r.TimedOut = f.judge.outcomes[standin.Broken], f.judge.outcomes[standin.TimedOut]
	r.Calls = f.store.Calls()
	r.Violations = f.judge.violations
	return r
}
