// Command baobabstepd runs one VM with token routing on the users' platform.
//
// It links only the packages that such a VM needs. A VM starts on a tenth of a core,
// so each millisecond of initialisation delays callers by ten. The operators'
// commands and VMs with other policies are in command baobabstep.
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
	// socketBufferBytes is the requested size of receive buffers. It holds a second
	// of the traffic of a VM that has just started and does not have its routes yet.
	socketBufferBytes = 1 << 20
	// gcPercent is the GOGC value of a VM in operation. With the default, a heap below
	// 4 MB is not collected at all. A value of 50 reduces the peak memory of a VM by
	// a quarter and takes a tenth more processor time.
	gcPercent = 50
	// startGCPercent is the GOGC value until the VM has routes and targets. Reading
	// the registrations produces garbage, and collecting it during the start would
	// take much of the processor time for which callers wait.
	startGCPercent = 400
	// unreadableLogClass is the class by which log lines about malformed
	// registrations are limited.
	unreadableLogClass = "registration_unreadable"
	// exitFailed is the exit status if the VM could not start or failed.
	exitFailed = 1
	// exitUsage is the exit status if the command line is wrong.
	exitUsage = 2
)

func main() {
	if len(os.Args) != 2 || os.Args[1] == "--help" {
		fmt.Fprintln(os.Stderr, "usage: baobabstepd SETTINGS\n\nRuns one VM with token routing until SIGTERM (planned stop) or a second SIGTERM (at once).\nSIGHUP reads the settings again.")
		os.Exit(exitUsage)
	}
	debug.SetGCPercent(startGCPercent)
	if err := run(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run runs a VM with the settings at path until it stops.
func run(path string) error {
	settings, err := setting.Read(path)
	if err != nil {
		return err
	}
	if settings.Policy != setting.PolicyToken {
		return baobabstep.Errorf(baobabstep.CodeSettings, "settings", "policy: got %q, want %q", settings.Policy, setting.PolicyToken)
	}
	logWriter := logs.New(os.Stdout)
	defer logWriter.Close()
	logger := &log.Logger{Handler: jsonlog.New(logWriter), Level: log.MustParseLevel(settings.LogLevel)}
	stop, stopNow := process.StopSignals(logger)
	node, err := newNode(settings, logger, logWriter)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	reloadDone, gcDone := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(reloadDone)
		reloadOnSIGHUP(ctx, path, node)
	}()
	go func() {
		defer close(gcDone)
		reduceGCPercentAfterStart(ctx, node)
	}()
	err = node.Run(stop, stopNow)
	cancel()
	<-reloadDone
	<-gcDone
	return err
}

// reduceGCPercentAfterStart sets gcPercent once the VM has routes and targets, or when
// ctx ends.
func reduceGCPercentAfterStart(ctx context.Context, node *entry.Node) {
	select {
	case <-ctx.Done():
	case <-node.RoutesKnown():
	}
	debug.SetGCPercent(gcPercent)
}

// newNode binds the sockets and creates the VM.
func newNode(settings *setting.Settings, logger log.Interface, logWriter *logs.Writer) (*entry.Node, error) {
	sockets, err := packet.NewSegments(
		packet.SocketOptions{Listen: settings.DataAddress, Shards: settings.Shards, BufferBytes: socketBufferBytes},
		platform.DatagramCodec{CallerPort: settings.DataAddress.Port()},
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
		URL: settings.PlatformURL, LocalAddress: settings.DataAddress.Addr(),
		OnUnreadable: func(err error) {
			if logWriter.Wanted(clock.Now(), unreadableLogClass) {
				logger.WithError(err).Warn("registration unreadable")
			}
		},
	})
	if err != nil {
		return nil, err
	}
	messages, err := datagram.Listen(settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	return entry.New(entry.Options{
		Settings: settings, Logger: logger, Clock: clock, Directory: store, Segments: segments, Messages: messages, LogLimiter: logWriter,
		ReadyHandler: platform.ReadyHandler, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}), nil
}

// reloadOnSIGHUP reloads the settings on each SIGHUP until ctx ends. Without a handler
// the signal would end the process.
func reloadOnSIGHUP(ctx context.Context, path string, node *entry.Node) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			settings, err := setting.Read(path)
			node.Reload(settings, err)
		}
	}
}
