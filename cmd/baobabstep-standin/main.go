// Command baobabstep-standin runs one of the stand-ins: the platform, the
// fabric, the targets or the callers. They exist to show and test the load
// balancer on one machine and have no use in an installation.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"baobabstep/standin/callers"
	"baobabstep/standin/control"
	"baobabstep/standin/fabric"
	"baobabstep/standin/platform"
	"baobabstep/standin/targets"
)

type commandLine struct {
	Platform platformCommand `cmd:"" help:"Key-value service with compare-and-swap, leases and watches, and the list of VMs."`
	Fabric   fabricCommand   `cmd:"" help:"Network that hands datagrams to any live VM and relays those between VMs."`
	Targets  targetsCommand  `cmd:"" help:"Back ends, many in one process."`
	Callers  callersCommand  `cmd:"" help:"Clients with long flows and requests."`
}

// file reads a settings file strictly.
type file struct {
	Settings string `required:"" type:"existingfile" help:"Settings file in JSON."`
}

func (f file) read(into any) error {
	raw, err := os.ReadFile(f.Settings)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

type platformCommand struct{ file }

// platformSettings are those of the platform stand-in.
type platformSettings struct {
	ControlAddress string `json:"control_address"`
	// VMLagMS is how long a change of the list of VMs stays invisible.
	VMLagMS int `json:"vm_lag_ms"`
	// LatencyMS is added to each call.
	LatencyMS int `json:"latency_ms"`
}

// Run implements the command.
func (c *platformCommand) Run(ctx context.Context) error {
	var s platformSettings
	if err := c.read(&s); err != nil {
		return err
	}
	p := platform.New(platform.Options{
		VMLag:   time.Duration(s.VMLagMS) * time.Millisecond,
		Latency: time.Duration(s.LatencyMS) * time.Millisecond,
	})
	return serve(ctx, s.ControlAddress, p, wait)
}

func wait(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

type fabricCommand struct{ file }

// Run implements the command.
func (c *fabricCommand) Run(ctx context.Context) error {
	var s fabric.Settings
	if err := c.read(&s); err != nil {
		return err
	}
	f := fabric.New(s)
	return serve(ctx, s.ControlAddress, f.Handler(), f.Run)
}

type targetsCommand struct{ file }

// Run implements the command.
func (c *targetsCommand) Run(ctx context.Context) error {
	var s targets.Settings
	if err := c.read(&s); err != nil {
		return err
	}
	p, err := targets.New(s)
	if err != nil {
		return err
	}
	return serve(ctx, s.ControlAddress, p.Handler(), p.Run)
}

type callersCommand struct{ file }

// Run implements the command.
func (c *callersCommand) Run(ctx context.Context) error {
	var s callers.Settings
	if err := c.read(&s); err != nil {
		return err
	}
	p, err := callers.New(s)
	if err != nil {
		return err
	}
	return serve(ctx, s.ControlAddress, p.Handler(), p.Run)
}

// serve runs a stand-in and its control interface until one of them ends.
func serve(ctx context.Context, address string, handler http.Handler, run func(context.Context) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	served, err := control.Serve(ctx, address, handler)
	if err != nil {
		return err
	}
	ran := make(chan error, 1)
	go func() { ran <- run(ctx) }()
	var first, second error
	select {
	case first = <-ran:
		cancel()
		second = <-served
	case first = <-served:
		cancel()
		second = <-ran
	}
	return errors.Join(first, second)
}

func main() {
	var line commandLine
	command := kong.Parse(&line, kong.Name("baobabstep-standin"), kong.Description("Stand-ins for what surrounds baobabstep."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	command.BindTo(ctx, (*context.Context)(nil))
	err := command.Run()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "baobabstep-standin:", err)
		os.Exit(1)
	}
}
