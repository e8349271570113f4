package main

import (
	"os"

	"baobabstep/capacity"
)

// capacityCommands measure and print what a VM costs at a size.
type capacityCommands struct {
	Measure capacityMeasure `cmd:"" help:"Fit slopes to the output of benchmarks on standard input. Use: go test -run xxx -bench . ./core/... ./io/wire | baobabstep capacity measure --out FILE"`
	Table   capacityTable   `cmd:"" help:"Print slopes and budgets at a size as Markdown."`
	Plot    capacityPlot    `cmd:"" help:"Draw each slope as an SVG file."`
}

type capacityMeasure struct {
	Out string `required:"" help:"File of slopes to write."`
}

// Run implements the command.
func (c capacityMeasure) Run() error {
	results, machine, err := capacity.ReadResults(os.Stdin)
	if err != nil {
		return err
	}
	measured, err := capacity.Measure(results, machine)
	if err != nil {
		return err
	}
	return measured.Write(c.Out)
}

type capacityTable struct {
	File        string  `help:"File of slopes." default:"docs/capacity/slopes.json" type:"existingfile"`
	VMs         float64 `name:"vms" help:"VMs of the fleet." default:"2300"`
	Hosts       float64 `help:"Hosts that serve, one target each." default:"26000"`
	Addresses   float64 `help:"Service addresses." default:"6200"`
	Flows       float64 `help:"Open flows." default:"65e6"`
	NewFlows    float64 `help:"New flows a second." default:"230e3"`
	DataCentres float64 `help:"Data centres of the fleet." default:"14"`
	Regions     float64 `help:"Regions that the data centres form." default:"5"`
	Changes     float64 `help:"Changes of configuration a day." default:"11000"`
	Deaths      float64 `help:"VMs that fail in a day." default:"67"`
	Restarts    float64 `help:"VMs restarted or replaced in a day." default:"4700"`
}

// Run implements the command.
func (c capacityTable) Run() error {
	measured, err := capacity.Read(c.File)
	if err != nil {
		return err
	}
	size := capacity.Size{
		VMs: c.VMs, Hosts: c.Hosts, Addresses: c.Addresses, Flows: c.Flows, NewFlows: c.NewFlows,
		DataCentres: c.DataCentres, Regions: c.Regions, Changes: c.Changes, Deaths: c.Deaths, Restarts: c.Restarts,
	}
	if err := measured.WriteSlopes(os.Stdout); err != nil {
		return err
	}
	if _, err := os.Stdout.WriteString("\n"); err != nil {
		return err
	}
	return measured.WriteTable(os.Stdout, size)
}

type capacityPlot struct {
	File string `help:"File of slopes." default:"docs/capacity/slopes.json" type:"existingfile"`
	Out  string `help:"Folder for the SVG files." default:"docs/capacity" type:"existingdir"`
}

// Run implements the command.
func (c capacityPlot) Run() error {
	measured, err := capacity.Read(c.File)
	if err != nil {
		return err
	}
	return measured.Plot(c.Out)
}
