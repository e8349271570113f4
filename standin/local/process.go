// Package local is what runs of a whole fleet on one machine share: programs that
// are started and signalled, and IPs that no other run has. A VM needs neither.
package local

import (
	"io"
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is one program that was started here. Signals go to it by its id, and
// only while it has not been waited for, so never to a stranger.
type Process struct {
	command *exec.Cmd
	started time.Time
	done    chan struct{}
	err     error
	wanted  atomic.Bool
}

// Start runs a program whose output goes to log.
func Start(log io.Writer, program string, args ...string) (*Process, error) {
	command := exec.Command(program, args...)
	command.Stdout, command.Stderr = log, log
	// A group of its own keeps the terminal's interrupt from it: the order of
	// the end is decided here. Should this process be killed, so is it.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", program)
	}
	p := &Process{command: command, started: time.Now(), done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.done)
	}()
	return p, nil
}

// Started returns when the process was started.
func (p *Process) Started() time.Time { return p.started }

// Done is closed once the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err says how the process ended; nil for exit status 0. It is for after Done.
func (p *Process) Err() error { return p.err }

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Crashed tells whether the process ended without being meant to.
func (p *Process) Crashed() bool { return !p.Running() && !p.wanted.Load() }

// Signal sends a signal that does not end the process.
func (p *Process) Signal(s syscall.Signal) {
	if p.Running() {
		_ = p.command.Process.Signal(s) // it may have ended just now
	}
}

// Kill sends a signal of which the process is meant to end.
func (p *Process) Kill(s syscall.Signal) {
	p.wanted.Store(true)
	p.Signal(s)
}

// End sends s and waits for the end, which it forces after grace. It tells
// whether it did not have to.
func (p *Process) End(s syscall.Signal, grace time.Duration) (inTime bool) {
	p.Kill(s)
	select {
	case <-p.done:
		return true
	case <-time.After(grace):
		p.Signal(syscall.SIGKILL)
		<-p.done
		return false
	}
}
