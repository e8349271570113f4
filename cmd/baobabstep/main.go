// Command baobabstep runs one VM of the load balancer and carries the
// operators' commands.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"baobabstep"
	"baobabstep/io/operator/command"
)

// version is set at link time for releases.
var version = "0.1.0-dev"

// commands is the command line.
type commands struct {
	command.Globals

	Balance       balance            `cmd:"" help:"Run one VM with the given settings file, until SIGTERM (planned stop) or a second SIGTERM (at once)."`
	CheckSettings checkSettings      `cmd:"" help:"Check a settings file and print it with its defaults filled in."`
	Capacity      capacityCommands   `cmd:"" help:"Measure and print what a VM costs in fleets of any size."`
	Template      command.Template   `cmd:"" help:"Templates that services are made from."`
	Account       command.Account    `cmd:"" help:"Client accounts: edit a draft, see the difference, accept."`
	Target        command.Target     `cmd:"" help:"Drain and undrain targets."`
	DataCentre    command.DataCentre `cmd:"" help:"Evacuate and restore data centres."`
	Status        command.Status     `cmd:"" help:"The fleet as one VM sees it."`
	Explain       command.Explain    `cmd:"" help:"Where a flow or request went, and why."`
	Trace         trace              `cmd:"" help:"From logs of VMs with token routing: what became of a flow, and why."`
	Summary       summary            `cmd:"" help:"From logs of VMs with token routing: totals, and plots of load, decisions and the age of beliefs."`
	Experiment    experimentCommands `cmd:"" help:"Compare ways of deciding on hundreds of emulated days."`
	Audit         command.Audit      `cmd:"" help:"Who changed what, when and why."`
	Config        command.Config     `cmd:"" help:"The whole configuration as one file."`

	Version showVersion `cmd:"" help:"Print the version."`
}

type showVersion struct{}

// Run implements the command.
func (showVersion) Run() error {
	fmt.Println("baobabstep", version)
	return nil
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run returns the exit status; [command.ExitStatus] says how it follows from
// the result code.
func run(args []string) int {
	var c commands
	parser, err := kong.New(&c,
		kong.Name("baobabstep"),
		kong.Description("A layer-4 load balancer whose VMs are all alike. Each failure ends with a result code; docs/RESULT_CODES.md explains them."),
		kong.UsageOnError(),
	)
	if err != nil {
		panic(err)
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		return exitStatus(baobabstep.Errorf(baobabstep.CodeUsage, "baobabstep", "%v", err))
	}
	return exitStatus(parsed.Run(&c.Globals))
}

// exitStatus says what went wrong on standard error.
func exitStatus(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return command.ExitStatus(err)
}
