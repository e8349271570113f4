package platform

import (
	"context"
	"math/rand/v2"
	"time"

	"baobabstep"
	"baobabstep/core/config"
)

const (
	// collectLease names the lease on collecting. It only saves calls: two
	// collectors at once, one of them paused past its lease, do no harm.
	collectLease = "config-collect"
	collectTTL   = 5 * time.Minute
	// collectPeriod is the mean time between collections of one VM, and
	// maxRemoved the most that one collection removes.
	collectPeriod = 20 * time.Minute
	maxRemoved    = 1024
	// minGarbage is the garbage that is left alone: at some three objects a
	// change, a few hundred changes.
	minGarbage = 512
)

// Collector removes objects that no version in force uses.
type Collector struct {
	platform baobabstep.Platform
	replica  *config.Replica
	holder   string
	// before runs first: it copies audit entries out of old manifests.
	before func(context.Context) error
	rand   *rand.Rand
	clock  baobabstep.Clock
	done   chan struct{}
	// Keep is the garbage that is left alone.
	Keep int
}

// NewCollector returns a collector for the VM called holder; before must copy
// what is still needed from old versions.
func NewCollector(p baobabstep.Platform, r *config.Replica, holder string, rng *rand.Rand, before func(context.Context) error) *Collector {
	return &Collector{platform: p, replica: r, holder: holder, before: before, rand: rng, clock: wallClock{}, done: make(chan struct{}), Keep: minGarbage}
}

// Done is closed once Run has returned.
func (c *Collector) Done() <-chan struct{} { return c.done }

// Run collects now and then, while the VM is one that reads the platform.
func (c *Collector) Run(ctx context.Context) {
	defer close(c.done)
	for ctx.Err() == nil {
		pause(ctx, collectPeriod/2+time.Duration(c.rand.Int64N(int64(collectPeriod))))
		if ctx.Err() == nil && c.replica.Reader(c.clock.Now()) {
			// A failed collection leaves garbage for the next.
			_, _ = c.Collect(ctx)
		}
	}
}

// Collect removes garbage once and returns how many objects were removed.
func (c *Collector) Collect(ctx context.Context) (int, error) {
	if _, err := c.platform.Lease(ctx, collectLease, c.holder, collectTTL); err != nil {
		return 0, err
	}
	if err := c.before(ctx); err != nil {
		return 0, err
	}
	garbage, err := c.mark(ctx)
	if err != nil || len(garbage) <= c.Keep {
		return 0, err
	}
	removed := 0
	for _, kv := range garbage[:min(len(garbage), maxRemoved)] {
		_, err := c.platform.Put(ctx, kv.Key, nil, kv.Revision)
		switch baobabstep.CodeOf(err) {
		case baobabstep.CodeOK:
			removed++
		case baobabstep.CodeConflict:
			// Written again by an accept, or removed already.
		default:
			return removed, err
		}
	}
	return removed, nil
}

// mark lists the garbage and then makes every accept under way start again.
func (c *Collector) mark(ctx context.Context) ([]baobabstep.KeyValue, error) {
	kv, err := c.platform.Get(ctx, config.HeadKey)
	if err != nil {
		return nil, err
	}
	head, err := config.DecodeHead(kv.Value)
	if err != nil {
		return nil, err
	}
	listed, err := c.platform.List(ctx, config.ObjectPrefix)
	if err != nil {
		return nil, err
	}
	garbage, err := config.UnusedObjects(head, listed)
	if err != nil || len(garbage) <= c.Keep {
		return nil, err
	}
	head.Collections++
	if _, err := c.platform.Put(ctx, config.HeadKey, config.Encode(head), kv.Revision); err != nil {
		return nil, err
	}
	return garbage, nil
}
