package platform

import (
	"context"
	"fmt"
	"time"

	"baobabstep"
	"baobabstep/core/config"
)

const (
	// watchWait is how long a watch waits for a change: long, since each
	// counts as a call, and short enough to notice a dead connection.
	watchWait = 20 * time.Second
	// quarantineWait is the same while addresses are in quarantine.
	quarantineWait = 2 * time.Second
	// idleWait is how often a VM that is no reader looks whether it is one.
	idleWait = 200 * time.Millisecond
	// retryWait is the least pause after a failed call.
	retryWait = 200 * time.Millisecond
	// listAbove is the number of missing objects above which they are
	// listed by the first digits of their names instead of read one by one.
	listAbove = 64
	// peersFirst is how long a VM that has no version yet leaves a large
	// transfer to its peers before it loads the platform with it.
	peersFirst = 3 * time.Second
)

// Reader keeps a replica in step with the platform while the replica says that
// its VM reads it.
type Reader struct {
	platform baobabstep.Platform
	replica  *config.Replica
	deliver  func([]config.Out)
	clock    baobabstep.Clock
	done     chan struct{}
}

// NewReader returns a reader; deliver sends what the replica wants sent.
func NewReader(p baobabstep.Platform, r *config.Replica, clock baobabstep.Clock, deliver func([]config.Out)) *Reader {
	if clock == nil {
		clock = wallClock{}
	}
	return &Reader{platform: p, replica: r, deliver: deliver, clock: clock, done: make(chan struct{})}
}

// fleetSized is a platform whose budget and pauses follow from the fleet's size.
type fleetSized interface{ SetFleetSize(vms int) }

// restorable is a platform whose store may come back from a backup.
type restorable interface{ Era() uint64 }

var (
	_ fleetSized = (*Client)(nil)
	_ restorable = (*Client)(nil)
)

// era returns the era of the platform's store, 0 if it has none.
func (r *Reader) era() uint64 {
	if p, ok := r.platform.(restorable); ok {
		return p.Era()
	}
	return 0
}

// Done is closed once Run has returned.
func (r *Reader) Done() <-chan struct{} { return r.done }

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	defer close(r.done)
	started := r.clock.Now()
	var revision, era uint64
	for ctx.Err() == nil {
		if sized, ok := r.platform.(fleetSized); ok {
			sized.SetFleetSize(r.replica.FleetSize())
		}
		if !r.replica.Reader(r.clock.Now()) {
			pause(ctx, idleWait)
			continue
		}
		if now := r.era(); now != era {
			revision, era = 0, now // another call met a restored store first
		}
		next, err := r.step(ctx, revision, started)
		if err != nil {
			pause(ctx, retryWait)
			if baobabstep.CodeOf(err) != baobabstep.CodeCompacted {
				continue
			}
			// Revisions were lost; read the head as it is now.
			next = 0
		}
		revision = next
		r.lift(ctx)
	}
}

// lift ends the quarantine of addresses, where this VM is the one to do so and
// knows that they have left their former service everywhere. If it fails, the
// next pass tries again.
func (r *Reader) lift(ctx context.Context) {
	version := r.replica.LiftableVersion(r.clock.Now())
	if version == 0 {
		return
	}
	Accept(ctx, r.platform, r.clock, config.Change{
		ID: fmt.Sprintf("quarantine-%d", version), Operator: "baobabstep", Action: "quarantine lift",
		Reason: "the addresses have left their former services on all VMs, or long ago", Lift: version,
	}, r.acceptOptions())
}

// wait returns how long to wait for a change: shortly while addresses are in
// quarantine, which is looked at after each wait.
func (r *Reader) wait() time.Duration {
	if c := r.replica.Current(); c != nil && len(c.Quarantine) > 0 {
		return quarantineWait
	}
	return watchWait
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// step reads or awaits the head and fetches what it needs. It returns the
// revision that has been dealt with.
func (r *Reader) step(ctx context.Context, revision uint64, started time.Time) (uint64, error) {
	head, err := r.head(ctx, revision)
	gone := baobabstep.CodeOf(err) == baobabstep.CodeNotFound
	if err != nil && !gone {
		return revision, err
	}
	r.replica.PlatformAnswered(r.clock.Now())
	if head == nil && !gone {
		return revision, nil
	}
	if gone || r.isSetBack(head) {
		return 0, Restore(ctx, r.platform, r.clock, r.acceptOptions())
	}
	objects := map[config.Digest][]byte{}
	for {
		missing, err := r.replica.MissingObjects(head.Value, objects)
		if err != nil {
			return revision, err
		}
		if len(missing) == 0 {
			break
		}
		if r.replica.Current() == nil && len(missing) > listAbove && r.peerHasOne() && r.clock.Now().Sub(started) < peersFirst {
			pause(ctx, idleWait)
			if ctx.Err() != nil {
				return revision, ctx.Err()
			}
			continue
		}
		if err := r.fetch(ctx, missing, objects); err != nil {
			return revision, err
		}
	}
	r.deliver(r.replica.HandleSnapshot(r.clock.Now(), config.Snapshot{Head: head.Value, Objects: objects}))
	return head.Revision, nil
}

// isSetBack tells whether the platform's head is older than what is in force here.
func (r *Reader) isSetBack(head *baobabstep.KeyValue) bool {
	current := r.replica.Current()
	h, err := config.DecodeHead(head.Value)
	return err == nil && current != nil && h.Version < current.Version
}

func (r *Reader) acceptOptions() config.AcceptOptions {
	return config.AcceptOptions{Objects: r.replica.Object, Current: r.replica.Set(), Builder: r.replica.Builder()}
}

func (r *Reader) peerHasOne() bool { return r.replica.Status(r.clock.Now()).Newest > 0 }

// head returns the head's value if it changed after revision, else nil. Errors also:
// CodeNotFound if there is none though a version is in force here.
func (r *Reader) head(ctx context.Context, revision uint64) (*baobabstep.KeyValue, error) {
	if revision == 0 {
		kv, err := r.platform.Get(ctx, config.HeadKey)
		if err == nil {
			return &kv, nil
		}
		if baobabstep.CodeOf(err) != baobabstep.CodeNotFound || r.replica.Current() != nil {
			return nil, err
		}
	}
	values, err := r.platform.Watch(ctx, config.HeadKey, revision, r.wait())
	if err != nil {
		return nil, err
	}
	var last *baobabstep.KeyValue
	for i := range values {
		if v := &values[i]; v.Key == config.HeadKey && len(v.Value) > 0 && (last == nil || v.Revision > last.Revision) {
			last = v
		}
	}
	return last, nil
}

// fetch reads objects: few by name, many by the first two digits of the name.
func (r *Reader) fetch(ctx context.Context, missing []config.MissingObject, objects map[config.Digest][]byte) error {
	if len(missing) <= listAbove {
		for _, m := range missing {
			kv, err := r.platform.Get(ctx, config.ObjectKey(m.Digest))
			if err != nil {
				return err
			}
			objects[m.Digest] = kv.Value
		}
		return nil
	}
	const digits = "0123456789abcdef"
	for i := range len(digits) * len(digits) {
		prefix := config.ObjectPrefix + string(digits[i/len(digits)]) + string(digits[i%len(digits)])
		values, err := r.platform.List(ctx, prefix)
		if err != nil {
			return err
		}
		for _, v := range values {
			objects[config.MakeDigest(v.Value)] = v.Value
		}
	}
	return nil
}
