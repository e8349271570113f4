// Command baobabstepd runs one VM with token routing on the users' platform.
//
// It links only what such a VM needs: a VM starts on a tenth of a core, where
// each millisecond of initialisation is one of ten in which callers wait. The
// operators' commands and the VMs of the other policies are those of command
// baobabstep.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"baobabstep"
	"baobabstep/entry"
	"baobabstep/io/datagram"
	"baobabstep/io/logs"
	"baobabstep/io/packet"
	"baobabstep/io/process"
	"baobabstep/io/setting"
	"baobabstep/platform"
)

const (
	// socketBuffer is the receive buffer asked for, in bytes: a second of the
	// traffic of a VM that has just started and does not know its routes.
	socketBuffer = 1 << 20
	// gcPercent is how much the heap may grow between collections. Below 4 MB a
	// standard heap is not collected at all; at 50 % the peak of a VM falls by
	// a quarter, for a tenth more processor time.
	gcPercent = 50
	// startGCPercent holds until the VM knows routes and targets. Reading the
	// registrations makes garbage; to collect it meanwhile takes a good part of the
	// processor time of a start, for which callers wait.
	startGCPercent = 400
	// unreadableClass bounds the lines about registrations that cannot be read:
	// one that stays is met at each reading.
	unreadableClass = "registration_unreadable"
	// failed is the exit status of a VM that could not start or go on.
	failed = 1
	// misused is that of a wrong command line.
	misused = 2
)

func main() {
	if len(os.Args) != 2 || os.Args[1] == "--help" {
		fmt.Fprintln(os.Stderr, "usage: baobabstepd SETTINGS\n\nRuns one VM with token routing until SIGTERM (planned stop) or a second SIGTERM (at once).\nSIGHUP reads the settings again.")
		os.Exit(misused)
	}
	debug.SetGCPercent(startGCPercent)
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
}

// run runs a VM with the settings at path.
func run(path string) error {
	s, err := setting.Read(path)
	if err != nil {
		return err
	}
	if s.Policy != setting.PolicyToken {
		return baobabstep.Errorf(baobabstep.CodeSettings, "settings", "policy: got %q, want %q", s.Policy, setting.PolicyToken)
	}
	lines := logs.New(os.Stdout)
	defer lines.Close()
	logger := &log.Logger{Handler: jsonlog.New(lines), Level: log.MustParseLevel(s.LogLevel)}
	stop, hurry := process.StopSignals(logger)
	n, err := build(s, logger, lines)
	if err != nil {
		return err
	}
	running, cancel := context.WithCancel(context.Background())
	reloading, saving := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(reloading)
		reload(running, path, n)
	}()
	go func() {
		defer close(saving)
		saveMemory(running, n)
	}()
	err = n.Run(stop, hurry)
	cancel()
	<-reloading
	<-saving
	return err
}

// saveMemory collects garbage as usual once the VM has started.
func saveMemory(ctx context.Context, n *entry.Node) {
	select {
	case <-ctx.Done():
	case <-n.Known():
	}
	debug.SetGCPercent(gcPercent)
}

// build opens the sockets and makes the VM.
func build(s *setting.Settings, logger log.Interface, lines *logs.Writer) (*entry.Node, error) {
	sockets, err := packet.NewSegments(
		packet.SocketOptions{Listen: s.DataAddress, Shards: s.Shards, BufferBytes: socketBuffer},
		platform.Datagrams{CallerPort: s.DataAddress.Port()},
	)
	if err != nil {
		return nil, err
	}
	segments := make([]baobabstep.Segments, len(sockets))
	for i, socket := range sockets {
		segments[i] = socket
	}
	clock := process.Clock{}
	store, err := platform.NewStore(platform.StoreOptions{
		URL: s.PlatformURL, LocalAddress: s.DataAddress.Addr(),
		Unreadable: func(err error) {
			if lines.Wanted(clock.Now(), unreadableClass) {
				logger.WithError(err).Warn("registration unreadable")
			}
		},
	})
	if err != nil {
		return nil, err
	}
	messages, err := datagram.Listen(s.PeerAddress)
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Options{
		Settings: s, Logger: logger, Clock: clock, Directory: store, Segments: segments, Messages: messages, LogLimits: lines,
		ReadyHandler: platform.ReadyHandler, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}), nil
}

// reload reads the settings again at each SIGHUP, until ctx ends. Without a
// handler the signal would end the process.
func reload(ctx context.Context, path string, n *entry.Node) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			s, err := setting.Read(path)
			n.Reload(s, err)
		}
	}
}
