package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/apex/log"

	"baobabstep/experiment"
	"baobabstep/experiment/bound"
)

// experimentCommands play days of a fleet without one.
type experimentCommands struct {
	Run     experimentRun     `cmd:"" help:"Play the days of an experiment under each of its arms, and compare them."`
	Explain experimentExplain `cmd:"" help:"Where one day of an experiment lost worth, and why."`
	Bound   experimentBound   `cmd:"" help:"Compute an upper bound on the value that callers can get from given targets and links."`
}

type experimentRun struct {
	File    string `arg:"" help:"Experiment file (JSON); docs/design/emulator.md lists the fields." type:"existingfile"`
	Seeds   int    `help:"Number of days, in place of the file's." default:"0"`
	Workers int    `help:"Days played at once; 0 for one a processor." default:"0"`
	Out     string `help:"Folder for report.json and SVG plots." type:"existingdir"`
	Quiet   bool   `help:"Show no progress."`
}

// Run implements the command.
func (c experimentRun) Run() error {
	f, err := experiment.Read(c.File)
	if err != nil {
		return err
	}
	if c.Seeds > 0 {
		f.Seeds = c.Seeds
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options := experiment.Options{Workers: c.Workers}
	if !c.Quiet && isTerminal(os.Stderr) {
		options.Progress = func(done, all int) {
			fmt.Fprintf(os.Stderr, "\r%d of %d days", done, all)
			if done == all {
				fmt.Fprintln(os.Stderr)
			}
		}
	}
	report, err := f.Run(ctx, options)
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := writeReport(report, c.Out); err != nil {
			return err
		}
	}
	return report.WriteTable(os.Stdout)
}

func writeReport(report *experiment.Report, folder string) error {
	file, err := os.Create(filepath.Join(folder, "report.json"))
	if err != nil {
		return err
	}
	if err := report.WriteJSON(file); err != nil {
		if closeErr := file.Close(); closeErr != nil {
			log.WithError(closeErr).Warn("close report")
		}
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	return report.Plot(folder)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

type experimentExplain struct {
	File string `arg:"" help:"Experiment file." type:"existingfile"`
	Seed uint64 `arg:"" help:"Seed of the day."`
	Arm  string `help:"Name of the arm; the first if left out."`
}

// Run implements the command.
func (c experimentExplain) Run() error {
	f, err := experiment.Read(c.File)
	if err != nil {
		return err
	}
	arm, err := f.Arm(c.Arm)
	if err != nil {
		return err
	}
	return f.Explain(os.Stdout, arm, c.Seed)
}

type experimentBound struct {
	File string `arg:"" help:"Day file (JSON): offered requests, targets and links by span; docs/design/emulator.md lists the fields." type:"existingfile"`
}

// Run implements the command.
func (c experimentBound) Run() error {
	d, err := bound.Read(c.File)
	if err != nil {
		return err
	}
	fmt.Println(d.Name)
	for _, order := range d.Orders() {
		plan, err := d.Solve(order)
		if err != nil {
			return err
		}
		fmt.Println()
		if err := plan.WriteTable(os.Stdout); err != nil {
			return err
		}
	}
	return nil
}
