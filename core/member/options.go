package member

import (
	"cmp"
	"math/rand/v2"
	"time"

	"baobabstep"
)

// Defaults of [Options].
const (
	DefaultProbeInterval        = 500 * time.Millisecond
	DefaultProbeTimeout         = 200 * time.Millisecond
	DefaultSuspicionTimeout     = time.Second
	DefaultPauseLimit           = time.Second
	DefaultRejoinTimeout        = 2 * time.Second
	DefaultDataCentreSilence    = 3 * time.Second
	DefaultPartitionTimeout     = 5 * time.Second
	DefaultForgetTimeout        = 2 * time.Hour
	DefaultSyncInterval         = 2 * time.Second
	DefaultRelays               = 3
	DefaultGossipBytesPerSecond = 8 << 10
)

// Options configure a [Fleet]. Zero values get the defaults above.
type Options struct {
	// Self describes this VM. An Incarnation of 0 counts as 1; peers that
	// knew an earlier life of the VM make it choose a higher one.
	Self baobabstep.VM
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// ProbeTimeout is the time to wait for the answer of a probe before
	// other VMs are asked to probe. It has to be well under ProbeInterval.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time a suspect has to refute.
	SuspicionTimeout time.Duration
	// PauseLimit is the gap between ticks that counts as a pause. It must not
	// be more than ProbeInterval and SuspicionTimeout together: others may
	// declare this VM dead after that.
	PauseLimit time.Duration
	// RejoinTimeout bounds how long a VM that was paused, or just started,
	// waits for a peer before it goes on alone.
	RejoinTimeout time.Duration
	// DataCentreSilence is the time without a beat after which the VMs of
	// another data centre are suspect.
	DataCentreSilence time.Duration
	// PartitionTimeout is the further time after which they leave the view's
	// Members. They stay suspect, and the view unsure.
	PartitionTimeout time.Duration
	// ForgetTimeout is the time after which the VMs of a silent data centre
	// are dead, and after which the dead are forgotten.
	ForgetTimeout time.Duration
	// SyncInterval is the time between two comparisons of digests.
	SyncInterval time.Duration
	// Relays is the number of VMs of a data centre that exchange news with
	// one other data centre, and of VMs asked for an indirect probe.
	Relays int
	// GossipBytesPerSecond bounds the bytes sent for gossip and comparison.
	// Probes and relays have a fixed rate of their own.
	GossipBytesPerSecond int
	// Rand draws everything random. It is seeded from Self.ID and the time
	// of the start if not set.
	Rand *rand.Rand
}

func (o *Options) setDefaults(now time.Time) {
	o.ProbeInterval = cmp.Or(o.ProbeInterval, DefaultProbeInterval)
	o.ProbeTimeout = cmp.Or(o.ProbeTimeout, DefaultProbeTimeout)
	o.SuspicionTimeout = cmp.Or(o.SuspicionTimeout, DefaultSuspicionTimeout)
	o.PauseLimit = cmp.Or(o.PauseLimit, DefaultPauseLimit)
	o.RejoinTimeout = cmp.Or(o.RejoinTimeout, DefaultRejoinTimeout)
	o.DataCentreSilence = cmp.Or(o.DataCentreSilence, DefaultDataCentreSilence)
	o.PartitionTimeout = cmp.Or(o.PartitionTimeout, DefaultPartitionTimeout)
	o.ForgetTimeout = cmp.Or(o.ForgetTimeout, DefaultForgetTimeout)
	o.SyncInterval = cmp.Or(o.SyncInterval, DefaultSyncInterval)
	o.Relays = cmp.Or(o.Relays, DefaultRelays)
	o.GossipBytesPerSecond = cmp.Or(o.GossipBytesPerSecond, DefaultGossipBytesPerSecond)
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(uint64(o.Self.ID), uint64(now.UnixNano())))
	}
}
