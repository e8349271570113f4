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

// Options configures a [Fleet]. Zero values select the defaults above.
type Options struct {
	// Self describes this VM. An Incarnation of 0 counts as 1; entries that peers
	// kept of an earlier process make the VM raise it.
	Self baobabstep.VM
	// ProbeInterval is the time between two probes.
	ProbeInterval time.Duration
	// ProbeTimeout is the time to wait for an answer before indirect probes are
	// requested. It must be well below ProbeInterval.
	ProbeTimeout time.Duration
	// SuspicionTimeout is the time that a suspect has to refute.
	SuspicionTimeout time.Duration
	// PauseLimit is the gap between ticks above which this VM counts as paused. It
	// must not exceed ProbeInterval plus SuspicionTimeout, after which others may
	// declare this VM dead.
	PauseLimit time.Duration
	// RejoinTimeout bounds how long a VM that was paused, or just started,
	// waits for a peer before it continues alone.
	RejoinTimeout time.Duration
	// DataCentreSilence is the time without a beat after which the VMs of
	// another data centre are suspect.
	DataCentreSilence time.Duration
	// PartitionTimeout is the additional time after which these VMs are removed from
	// the view's Members. They stay suspect, and the view stays unsure.
	PartitionTimeout time.Duration
	// ForgetTimeout is the time after which the VMs of a silent data centre
	// are declared dead, and after which dead VMs are forgotten.
	ForgetTimeout time.Duration
	// SyncInterval is the time between two comparisons of digests.
	SyncInterval time.Duration
	// Relays is the number of VMs of a data centre that exchange news with each
	// other data centre, and of VMs asked for an indirect probe.
	Relays int
	// GossipBytesPerSecond bounds the bytes sent for gossip and for comparing
	// digests. Probes and periodic relay messages have a fixed rate of their own.
	GossipBytesPerSecond int
	// Rand is the source of all random choices. If nil, it is seeded from Self.ID and
	// the start time.
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
