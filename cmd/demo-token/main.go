// Command demo-token runs a fleet with token routing on this machine, as
// separate processes before a stand-in of the users' platform, and prints what
// callers and targets saw. Given a number of runs it is a soak: each run draws
// its own faults.
//
// It exits 0 only if no promise was broken.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"baobabstep/soak"
)

type flags struct {
	Bin     string   `help:"Folder of the built programs." default:"bin" type:"existingdir"`
	Seconds int      `help:"Seconds of load." default:"20"`
	VMs     int      `name:"vms" help:"VMs, spread over three data centres." default:"6"`
	Targets int      `help:"Targets, three of four for the first service." default:"12"`
	Callers int      `help:"Addresses of callers." default:"6"`
	Users   int      `help:"Users of each address." default:"4"`
	Seed    uint64   `help:"Seed of faults and load." default:"1"`
	Fault   []string `help:"A fault and its second, as vm_kill@4; may be repeated." sep:"none"`
	Random  bool     `help:"Draw the faults from the seed."`
	Runs    int      `help:"Runs with seeds that follow on the first; more than one draws the faults." default:"1"`
	List    bool     `name:"list-faults" help:"Print the faults and exit."`
}

func main() {
	var f flags
	kong.Parse(&f, kong.Description("A fleet with token routing on this machine, with faults."))
	if f.List {
		for _, fault := range soak.Faults {
			fmt.Println(fault.Name)
		}
		return
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken, err := f.run(ctx)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	case broken > 0:
		os.Exit(1)
	}
}

// run plays the runs and returns how many broke a promise.
func (f *flags) run(ctx context.Context) (broken int, err error) {
	plan, err := f.plan()
	if err != nil {
		return 0, err
	}
	for n := range f.Runs {
		dir, err := os.MkdirTemp("", "baobabstep-token-")
		if err != nil {
			return broken, err
		}
		report, err := soak.Run(ctx, soak.Options{
			Program: filepath.Join(f.Bin, "baobabstepd"), Dir: dir, Seed: f.Seed + uint64(n), Seconds: f.Seconds,
			VMs: f.VMs, Targets: f.Targets, Callers: f.Callers, Users: f.Users, Plan: plan,
		})
		if err != nil {
			return broken, err
		}
		text, err := json.MarshalIndent(report, "", "  ")
		if err != nil {
			return broken, err
		}
		fmt.Println(string(text))
		if len(report.Violations) > 0 {
			broken++
			fmt.Println("logs:", dir)
			continue
		}
		if err := os.RemoveAll(dir); err != nil {
			return broken, err
		}
	}
	return broken, nil
}

// plan returns the faults that were asked for, nil for drawn ones.
func (f *flags) plan() ([]soak.Moment, error) {
	if f.Random || f.Runs > 1 {
		return nil, nil
	}
	plan := []soak.Moment{}
	for _, text := range f.Fault {
		name, second, ok := strings.Cut(text, "@")
		at, err := strconv.ParseFloat(second, 64)
		if !ok || err != nil {
			return nil, errors.Newf("fault: got %q, want NAME@SECOND", text)
		}
		plan = append(plan, soak.Moment{At: time.Duration(at * float64(time.Second)), Name: name})
	}
	return plan, nil
}
