package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// stopTimeout is how long a process may take to end after SIGTERM before it is
// killed.
const stopTimeout = 25 * time.Second

// lastTimeout is the time between the signals of stopAll.
const lastTimeout = 2 * time.Second

// process is one program that was started here. Signals go to it by its id, and
// only while it has not been waited for, so never to a stranger.
type process struct {
	name    string
	command *exec.Cmd
	started time.Time
	// done is closed once the process has ended; err then says how.
	done chan struct{}
	err  error
	// wanted is set before a signal that ends the process.
	wanted atomic.Bool
}

// fleet is all processes of a run.
type fleet struct {
	logs string
	bin  string

	lock      sync.Mutex
	processes []*process
}

// start runs program with args; its output is appended to NAME.log.
func (f *fleet) start(name, program string, args ...string) (*process, error) {
	output, err := os.OpenFile(filepath.Join(f.logs, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	command := exec.Command(filepath.Join(f.bin, program), args...)
	command.Stdout, command.Stderr = output, output
	// A group of its own keeps the terminal's interrupt from it: the order of
	// the end is decided here. Should this process be killed, so are they.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	p := &process{name: name, command: command, started: time.Now(), done: make(chan struct{})}
	go func() {
		p.err = command.Wait()
		close(p.done)
	}()
	f.lock.Lock()
	defer f.lock.Unlock()
	f.processes = append(f.processes, p)
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

func (p *process) signal(s syscall.Signal) {
	if p.running() {
		_ = p.command.Process.Signal(s)
	}
}

// end sends s and waits for the end, which it forces after stopTimeout. It
// returns an error if it had to, or if a planned stop ended badly.
func (p *process) end(s syscall.Signal) error {
	p.wanted.Store(true)
	p.signal(s)
	select {
	case <-p.done:
		if s == syscall.SIGTERM && p.err != nil {
			return errors.Wrapf(p.err, "%s: planned stop", p.name)
		}
		return nil
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-p.done
		return errors.Newf("%s: got no end within %v", p.name, stopTimeout)
	}
}

// stopAll ends what still runs. A second SIGTERM tells a VM to give up its
// planned stop, which has nobody to hand over to when all go at once.
func (f *fleet) stopAll() {
	f.lock.Lock()
	processes := slices.Clone(f.processes)
	f.lock.Unlock()
	var ends sync.WaitGroup
	for _, p := range processes {
		if !p.running() {
			continue
		}
		p.wanted.Store(true)
		ends.Go(func() {
			p.signal(syscall.SIGCONT)
			for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGKILL} {
				p.signal(s)
				select {
				case <-p.done:
					return
				case <-time.After(lastTimeout):
				}
			}
		})
	}
	ends.Wait()
}

// crashed returns the processes that ended without being told to.
func (f *fleet) crashed() []string {
	f.lock.Lock()
	defer f.lock.Unlock()
	var names []string
	for _, p := range f.processes {
		if !p.running() && !p.wanted.Load() {
			names = append(names, p.name)
		}
	}
	return names
}
