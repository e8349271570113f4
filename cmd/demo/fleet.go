package main

import (
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"baobabstep/standin/local"
)

// stopTimeout is how long a process may take to end after SIGTERM before it is
// killed.
const stopTimeout = 25 * time.Second

// lastTimeout is the time between the signals of stopAll.
const lastTimeout = 2 * time.Second

// process is one process of a run.
type process struct {
	*local.Process
	name string
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
	started, err := local.Start(output, filepath.Join(f.bin, program), args...)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	p := &process{Process: started, name: name}
	f.lock.Lock()
	defer f.lock.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}

// end sends s and waits for the end, which it forces after stopTimeout. It
// returns an error if it had to, or if a planned stop ended badly.
func (p *process) end(s syscall.Signal) error {
	switch {
	case !p.End(s, stopTimeout):
		return errors.Newf("%s: got no end within %v", p.name, stopTimeout)
	case s == syscall.SIGTERM && p.Err() != nil:
		return errors.Wrapf(p.Err(), "%s: planned stop", p.name)
	}
	return nil
}

// stopAll ends what still runs. A second SIGTERM tells a VM to give up its
// planned stop, which has nobody to hand over to when all go at once.
func (f *fleet) stopAll() {
	f.lock.Lock()
	processes := slices.Clone(f.processes)
	f.lock.Unlock()
	var ends sync.WaitGroup
	for _, p := range processes {
		if !p.Running() {
			continue
		}
		ends.Go(func() {
			p.Signal(syscall.SIGCONT)
			for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGKILL} {
				p.Kill(s)
				select {
				case <-p.Done():
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
		if p.Crashed() {
			names = append(names, p.name)
		}
	}
	return names
}
