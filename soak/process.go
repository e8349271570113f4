package soak

import (
	"io"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is one program that was started here. Signals go to it by its id, and
// only while it has not been waited for, so never to a stranger.
type process struct {
	command *exec.Cmd
	// done is closed once the process has ended; err then says how.
	done chan struct{}
	err  error
	// wanted is set before a signal that ends the process.
	wanted atomic.Bool
}

// startProcess runs a program whose output goes to log.
func startProcess(log io.Writer, program string, args ...string) (*process, error) {
	command := exec.Command(program, args...)
	command.Stdout, command.Stderr = log, log
	// Should this process be killed, so are those that it started.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", program)
	}
	p := &process{command: command, done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.done)
	}()
	return p, nil
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal; ends says that the process is meant to end of it.
func (p *process) signal(s syscall.Signal, ends bool) {
	if ends {
		p.wanted.Store(true)
	}
	if p.running() {
		_ = p.command.Process.Signal(s) // it may have ended just now
	}
}

// end sends SIGTERM, and SIGKILL after grace, and waits.
func (p *process) end(grace time.Duration) {
	p.signal(syscall.SIGTERM, true)
	select {
	case <-p.done:
	case <-time.After(grace):
		p.signal(syscall.SIGKILL, true)
		<-p.done
	}
}
