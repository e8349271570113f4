// Package process is what the programs that run a VM share: the machine's clock,
// the signals that end a process, and the running of its parts.
package process

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"

	"baobabstep"
)

// Clock is the machine's clock. Its readings are monotonic within the process,
// which is all that decisions use.
type Clock struct{}

var _ baobabstep.Clock = Clock{}

// Now implements [baobabstep.Clock].
func (Clock) Now() time.Time { return time.Now() }

// StopSignals returns a context that ends at the first SIGTERM or interrupt, and
// one that ends at the second.
func StopSignals(logger log.Interface) (stop, hurry context.Context) {
	stop, cancelStop := context.WithCancel(context.Background())
	hurry, cancelHurry := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		logger.WithField("signal", (<-signals).String()).Info("stop asked for")
		cancelStop()
		logger.WithField("signal", (<-signals).String()).Warn("stop at once asked for")
		cancelHurry()
	}()
	return stop, hurry
}
