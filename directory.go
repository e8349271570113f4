package baobabstep

import (
	"context"
	"net/netip"
	"time"
)

// RoutingTable maps service addresses to services for new flows. The platform's
// operators maintain it; a VM with token routing reads it whole. It is
// immutable once published.
type RoutingTable struct {
	// Version grows with each change, not necessarily by one.
	Version uint64
	Rules   []Rule
	// IdleTimeout is the silence after which a flow may be dropped; 0 if the
	// table does not set it.
	IdleTimeout time.Duration
	// ColdLimits has at most one entry per service.
	ColdLimits []ColdLimit
}

// ColdLimit is the rate of new requests that a target of a service can take
// while it is cold after its start, from all VMs together.
type ColdLimit struct {
	Service string
	// PerSecond is the rate in requests per second, above 0.
	PerSecond float64
	// Duration is how long a target stays cold after its start.
	Duration time.Duration
}

// DesiredState is the state of the fleet that the operators ask for.
type DesiredState struct {
	Table *RoutingTable
	// Evacuated lists the data centres whose targets get no new flows, sorted.
	Evacuated []string
}

// DesiredChange is the result of watching the desired state.
type DesiredChange struct {
	// Table is the newest routing table, or nil if it did not change.
	Table *RoutingTable
	// Evacuations are in the order in which they were made.
	Evacuations []EvacuationChange
}

// Empty reports whether nothing changed.
func (c *DesiredChange) Empty() bool { return c.Table == nil && len(c.Evacuations) == 0 }

// EvacuationChange begins or ends the evacuation of a data centre.
type EvacuationChange struct {
	DataCentre string
	Ended      bool
	// Revision is the store's revision of the change.
	Revision Revision
}

// Rule distributes the new flows of one service address over services.
type Rule struct {
	Name    string
	Address netip.AddrPort
	// Repeatable says that requests of the rule may be retried after any
	// failure.
	Repeatable bool
	// LatencyObjective is the latency that callers expect; 0 if not set.
	LatencyObjective time.Duration
	// Priority orders rules by urgency; 0 is the most urgent.
	Priority int
	// Shares is never empty.
	Shares []Share
}

// Share is the weight of one service among the services of a rule.
type Share struct {
	Service string
	Weight  uint32
}

// Registration is a target's own entry in the platform's store.
type Registration struct {
	// ID identifies the target. A restarted target has another ID, or the same
	// with another start time.
	ID TargetID
	// StartedMS is the start time of the target's process in Unix milliseconds
	// by its own clock; 0 if unknown. A restarted target holds none of its
	// earlier flows.
	StartedMS uint64
	Service   string
	// Address receives packets of flows.
	Address    netip.AddrPort
	DataCentre string
	// Release is the version of the target's program.
	Release string
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Draining is set once the target plans to leave.
	Draining bool
	// WarmupLeft is how much longer the target stays slow after its start.
	WarmupLeft time.Duration
}

// RegistrationList is the result of reading all registrations. A list of several
// pages is not that of one revision, as targets write between two pages.
type RegistrationList struct {
	Registrations []Registration
	// Oldest and Newest are the revisions of the oldest and the newest page. The
	// list has all changes up to Oldest, none after Newest and some of those
	// between.
	Oldest, Newest Revision
}

// RegistrationChange is one change of the registrations. After a removal only
// the registration's ID is set.
type RegistrationChange struct {
	Registration Registration
	Removed      bool
	// Revision is the store's revision of the change.
	Revision Revision
}

// Revision is a position in the history of the platform's store. The zero value
// precedes all others.
type Revision struct {
	// Era counts how often the store was restored from a backup. A restore
	// loses the latest changes, and the new era reuses their numbers.
	Era uint64
	// Number counts the changes.
	Number uint64
}

// Before reports whether r precedes other. Numbers of different eras are not
// comparable.
func (r Revision) Before(other Revision) bool {
	return r.Era < other.Era || r.Era == other.Era && r.Number < other.Number
}

// Freshness is how current the result of a read has to be.
type Freshness uint8

// Levels of freshness. The line comments are their names in logs.
const (
	// Newest is the store's state at the time of the read.
	Newest Freshness = iota // newest
	// Recent is the state of a replica, which may lag by seconds. It costs a
	// tenth of Newest.
	Recent // recent
)

// Directory gives a VM with token routing the desired state and the targets.
// Every method may fail with CodePlatformUnavailable; watches fail with
// CodeCompacted if the store no longer has the changes asked for.
//
// A store restored from a backup has lost changes. Its results then have
// revisions of a later era, and watches from an earlier era fail with
// CodeCompacted.
//
// A watch alone does not prove freshness: a store that is compacting its
// history may skip a change and still return a later revision.
type Directory interface {
	// Desired reads the desired state. It fails with CodeNotFound while there
	// is no routing table.
	Desired(ctx context.Context, f Freshness) (*DesiredState, Revision, error)
	// WatchDesired waits until the desired state changes after a revision. The
	// change is empty if nothing changed within wait.
	WatchDesired(ctx context.Context, after Revision, wait time.Duration) (*DesiredChange, Revision, error)
	// Registrations reads all registrations.
	Registrations(ctx context.Context, f Freshness) (*RegistrationList, error)
	// FirstRegistrations reads the first page of registrations; complete says
	// that there are no others.
	FirstRegistrations(ctx context.Context, f Freshness) (list []Registration, complete bool, revision Revision, err error)
	// WatchRegistrations waits for changes after a revision. It returns none if
	// nothing changed within wait.
	WatchRegistrations(ctx context.Context, after Revision, wait time.Duration) ([]RegistrationChange, Revision, error)
	// Secret returns the secret shared by the VMs of the fleet. If there is
	// none, offer is stored as the secret, unless another VM stores one first.
	Secret(ctx context.Context, offer []byte, f Freshness) ([]byte, error)
}

// TargetLoad is one VM's view of the load and health of one target.
type TargetLoad struct {
	Target TargetID
	// Requests is the number of recent requests, weighted by age.
	Requests float64
	// Unanswered is the number of consecutive flows without an answer of the
	// target; UnansweredOpens counts those whose first segment had none.
	Unanswered, UnansweredOpens int
	// NotRetransmitted counts those whose first segment was not even
	// retransmitted: most likely the target refused them.
	NotRetransmitted int
	// LastUnansweredAt is when the target last left a flow unanswered, RequestUnansweredAt when
	// it last left a request on an open flow unanswered; zero if it left none.
	LastUnansweredAt, RequestUnansweredAt time.Time
	// SilenceReports, in a summary of other VMs, has the reports of each VM
	// of the own data centre that found flows unanswered.
	SilenceReports []SilenceReport
	// HeardAt is when the target was last heard from; zero if never.
	HeardAt time.Time
	// ReportedSilent says that other VMs report the target as silent.
	ReportedSilent bool
	// Answers is the number of recent requests with a known outcome, Failed the
	// number of those that failed as far as a VM can tell, both weighted by
	// age, followed by the mean latency of the others. A summary of other VMs
	// covers those of the own data centre only. All are 0 unless the target is
	// an outlier.
	Answers, Failed float64
	MeanLatency     time.Duration
	// Callers is the set of callers whose requests failed; see package answer.
	Callers uint16
}

// SilenceReport is one VM's report of a target that left its flows
// unanswered. The fields are as in TargetLoad.
type SilenceReport struct {
	Unanswered, UnansweredOpens, NotRetransmitted int
	LastUnansweredAt, RequestUnansweredAt         time.Time
	// CongestedAt is when that VM's own link was last congested; zero if it was not
	// lately.
	CongestedAt time.Time
}

// Requests returns the number of requests on open flows among what was unanswered.
func (r *SilenceReport) Requests() int {
	return max(0, r.Unanswered-r.UnansweredOpens-r.NotRetransmitted)
}
