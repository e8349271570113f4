package experiment

import (
	"context"
	"runtime"
	"sync"

	"baobabstep/core/token"
	"baobabstep/emulator"
)

// Play plays one day of an experiment under one arm. Errors: CodeInvalid.
func (f *File) Play(arm *Arm, seed uint64) (*emulator.Result, error) {
	d, troubles := f.day(seed)
	w, err := emulator.New(&d, emulator.Options{
		Seed: seed, Troubles: troubles,
		Policy: func(o *token.Options) { o.Disabled = arm.without },
	})
	if err != nil {
		return nil, err
	}
	return w.Play(), nil
}

// Arm returns the arm of a name, the first if it is empty. Errors: CodeInvalid.
func (f *File) Arm(name string) (*Arm, error) {
	for i := range f.Arms {
		if name == "" || f.Arms[i].Name == name {
			return &f.Arms[i], nil
		}
	}
	return nil, fail("got arm %q, want one of the file", name)
}

// Options are how an experiment is run.
type Options struct {
	// Workers is the number of days played at once; 0 for one a processor.
	Workers int
	// Progress, if set, is told how many of all plays are done.
	Progress func(done, all int)
}

// play is one day under one arm, by its place in the report.
type play struct {
	arm, day int
}

// Run plays all days under all arms. Errors: CodeInvalid, and that of ctx.
func (f *File) Run(ctx context.Context, o Options) (*Report, error) {
	report := newReport(f)
	plays := make(chan play)
	ended := make(chan error)
	workers := o.Workers
	if workers == 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	progress := counter{all: f.Seeds * len(f.Arms), tell: o.Progress}
	for range workers {
		go func() { ended <- f.work(ctx, plays, report, &progress) }()
	}
	go func() {
		defer close(plays)
		for day := range f.Seeds {
			for arm := range f.Arms {
				select {
				case plays <- play{arm, day}:
				case <-ctx.Done():
					return
				}
			}
		}
	}()
	var failed error
	for range workers {
		if err := <-ended; err != nil && failed == nil {
			failed = err
			cancel()
		}
	}
	if failed != nil {
		return nil, failed
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	report.finish()
	return report, nil
}

// work plays days until there are no more.
func (f *File) work(ctx context.Context, plays <-chan play, report *Report, progress *counter) error {
	for p := range plays {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		result, err := f.Play(&f.Arms[p.arm], f.FirstSeed+uint64(p.day))
		if err != nil {
			return err
		}
		report.Arms[p.arm].Days[p.day] = result
		progress.add()
	}
	return nil
}

// counter counts plays that are done.
type counter struct {
	mu        sync.Mutex
	done, all int
	tell      func(done, all int)
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done++
	if c.tell != nil {
		c.tell(c.done, c.all)
	}
}
