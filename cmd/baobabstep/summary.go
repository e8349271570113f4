package main

import (
	"os"

	"baobabstep"
	"baobabstep/report"
)

type summary struct {
	Out   string   `required:"" help:"Folder for the plots; it is made if it is missing." type:"path"`
	Files []string `arg:"" optional:"" help:"Logs of VMs; standard input if there are none." type:"path"`
}

// Run implements the command.
func (s summary) Run() error {
	lines, err := readLogs("summary", s.Files)
	if err != nil {
		return err
	}
	r, err := report.Make(lines)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(s.Out, 0o755); err != nil {
		return baobabstep.Errorf(baobabstep.CodeUsage, "summary", "%w", err)
	}
	if err := r.Plot(s.Out); err != nil {
		return err
	}
	return r.Print(os.Stdout)
}
