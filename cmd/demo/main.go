// Command demo runs the whole path on one machine as separate processes: the
// stand-ins and one load balancer process per VM. It drives them, makes faults
// happen, and prints what callers and targets saw.
//
// It starts in main.go; plan.go lays out addresses and settings files, fleet.go
// holds the processes, fault.go the faults, watch.go reads the VMs' metrics,
// report.go makes the report, random.go draws and shrinks schedules of faults.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type flags struct {
	Site              string   `help:"Site whose sizes are used: ${enum}." enum:"tas-south,pt-norte" default:"tas-south"`
	VMs               int      `name:"vms" help:"Number of VMs." default:"6"`
	Seconds           int      `help:"Seconds of load, the ramp included." default:"20"`
	Seed              uint64   `help:"Seed of all random numbers of stand-ins and VMs." default:"1"`
	Flows             int      `help:"Long flows; -1 is half of the site's connection capacity, or 2500 with --random." default:"-1"`
	RequestsPerSecond float64  `help:"Requests a second; -1 follows --load." default:"-1"`
	Load              float64  `help:"Requests as a share of what the slots can serve; -1 is 0.5, or 0.3 with --random." default:"-1"`
	Fault             []string `help:"Fault as NAME or NAME@SECOND, repeatable; all stands for every one." placeholder:"NAME[@SECOND]"`
	Random            int      `help:"Run this many rounds, each with faults that are drawn from its seed; seeds count up from --seed. The shortest failing schedule is searched for." placeholder:"ROUNDS"`
	Policy            string   `help:"How flows are routed: ${enum}. hash_table is the baseline." enum:"replicated,hash_table,slot_table" default:"replicated"`
	JSON              bool     `name:"json" help:"Print one JSON object on standard output."`
	ListFaults        bool     `help:"Print the faults and stop."`
	Logs              string   `help:"Folder for logs and settings; a new temporary one by default." type:"path"`

	Bin  string `hidden:"" required:"" help:"Folder of the built programs; removed at the end."`
	Root string `hidden:"" required:"" help:"Folder of the repository."`
}

// Exit statuses.
const (
	exitBroken = 1
	exitFailed = 2
)

func main() {
	var f flags
	kong.Parse(&f, kong.Name("demo"), kong.Description("Run callers, fabric, VMs, targets and platform on this machine and report what callers and targets saw. Exit 0 if all invariants held, 1 if one was broken, 2 if the run failed."))
	if f.ListFaults {
		listFaults(os.Stdout)
		_ = os.RemoveAll(f.Bin)
		return
	}
	f.setDefaults()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	status := run(ctx, f)
	stop()
	_ = os.RemoveAll(f.Bin)
	os.Exit(status)
}

func run(ctx context.Context, f flags) int {
	if f.Random > 0 {
		return randomRuns(ctx, f, demoRunner(f), os.Stdout, os.Stderr)
	}
	d, err := newDemo(f)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return exitFailed
	}
	report, err := d.run(ctx)
	d.fleet.stopAll()
	fmt.Fprintln(os.Stderr, "demo: logs in", d.plan.logs)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return exitFailed
	}
	broken := d.broken(report)
	for _, b := range broken {
		fmt.Fprintln(os.Stderr, "demo: broken:", b)
	}
	if err := print(os.Stdout, report, f.JSON); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		return exitFailed
	}
	if len(broken) > 0 {
		return exitBroken
	}
	return 0
}

func print(w io.Writer, r *report, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	return r.table(w)
}

func listFaults(w io.Writer) {
	for _, f := range faults {
		fmt.Fprintf(w, "%-22s%s\n", f.name, f.doc)
	}
	fmt.Fprintf(w, "%-22s%s\n", allFaults, "each of the above in turn")
}
