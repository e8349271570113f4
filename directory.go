package baobabstep

import (
	"context"
	"net/netip"
	"time"
)

// RoutingTable says where new flows go. The platform's operators keep it; a VM
// with token routing reads it whole. It is immutable once published.
type RoutingTable struct {
	// Version grows with each change, in uneven steps.
	Version uint64
	Rules   []Rule
	// IdleTimeout is the silence after which a flow may be forgotten; 0 if
	// the table does not say.
	IdleTimeout time.Duration
	// ColdLimits are those of services whose targets have one, each once.
	ColdLimits []ColdLimit
}

// ColdLimit is how many new requests a second a target of a service bears while
// it is cold after its start, from all VMs together.
type ColdLimit struct {
	Service string
	// PerSecond is above 0.
	PerSecond float64
	// Lasts is how long a target stays cold.
	Lasts time.Duration
}

// DesiredState is what the operators want of the fleet.
type DesiredState struct {
	Table *RoutingTable
	// Evacuated names the data centres whose targets get no new flow, sorted.
	Evacuated []string
}

// DesiredChange is what a watch saw of the desired state.
type DesiredChange struct {
	// Table is the newest routing table, nil if it did not change.
	Table *RoutingTable
	// Evacuations are in the order in which they were made.
	Evacuations []EvacuationChange
}

// Empty tells whether nothing changed.
func (c *DesiredChange) Empty() bool { return c.Table == nil && len(c.Evacuations) == 0 }

// EvacuationChange begins the evacuation of a data centre, or ends it.
type EvacuationChange struct {
	DataCentre string
	Ended      bool
	// Revision is the store's when the change was made.
	Revision Revision
}

// Rule sends the new flows of one service address to services.
type Rule struct {
	Name    string
	Address netip.AddrPort
	// Repeatable tells whether the requests of the rule may be tried again
	// after any failure.
	Repeatable bool
	// Aim is the time within which callers want answers, 0 if it is not said.
	Aim time.Duration
	// Priority is how urgent the requests are; 0 is the most urgent.
	Priority int
	// Shares is never empty.
	Shares []Share
}

// Share is one service of a rule and its part of the rule's new flows.
type Share struct {
	Service string
	Weight  uint32
}

// Registration is what one target says of itself in the platform's store.
type Registration struct {
	// ID names the target. One that starts again has another, or the same with
	// another Life.
	ID TargetID
	// Life is when this run of the target started, in Unix milliseconds by its
	// own clock; 0 if it does not say. A run holds no flow of the one before.
	Life    uint64
	Service string
	// Address receives packets of flows.
	Address    netip.AddrPort
	DataCentre string
	// Release is the version of the target's program.
	Release string
	// Slots is the number of requests the target runs at once.
	Slots int
	// Draining is set once the target plans to leave.
	Draining bool
	// ColdFor is how much longer the target stays slow after its start.
	ColdFor time.Duration
}

// RegistrationChange is one change under the registrations. Gone is set when
// the registration was removed; then only its ID is known.
type RegistrationChange struct {
	Registration Registration
	Gone         bool
	// Revision is the store's when the change was made.
	Revision Revision
}

// Revision is a position in the history of the platform's store. The zero value
// comes before all others.
type Revision struct {
	// Era counts how often the store came back from a backup. That loses its last
	// changes, and the next era gives their numbers out again.
	Era uint64
	// Number counts the changes.
	Number uint64
}

// Before tells whether r comes before other. Numbers of two eras say nothing of
// each other.
func (r Revision) Before(other Revision) bool {
	return r.Era < other.Era || r.Era == other.Era && r.Number < other.Number
}

// Freshness is how new the answer to a reading has to be.
type Freshness uint8

// Freshnesses. The comment of each is its name in logs.
const (
	// Newest: what the store holds when it is asked.
	Newest Freshness = iota // newest
	// Recent: what a copy of the store holds, which may be seconds old. It costs
	// a tenth.
	Recent // recent
)

// Directory is where a VM with token routing reads the desired state and targets. Every
// method may fail with CodePlatformUnavailable; watches fail with
// CodeCompacted once the store no longer has the changes asked for.
//
// A store that came back from a backup has lost changes. Its answers then have
// revisions of a later era, and a watch from one of an earlier era fails with
// CodeCompacted.
//
// A watch alone is no proof of freshness: a store that is dropping its history
// may pass over a change and yet return a later revision.
type Directory interface {
	// Desired reads the desired state. Errors also: CodeNotFound while there is no
	// routing table.
	Desired(ctx context.Context, f Freshness) (*DesiredState, Revision, error)
	// WatchDesired waits until the desired state changes after a revision; the
	// change is empty if it did not within wait.
	WatchDesired(ctx context.Context, after Revision, wait time.Duration) (*DesiredChange, Revision, error)
	// Registrations reads all registrations. Of several pages the oldest
	// revision is returned, so that a watch from there misses no change.
	Registrations(ctx context.Context, f Freshness) ([]Registration, Revision, error)
	// FirstRegistrations reads the first page of registrations; complete tells whether
	// there are no others.
	FirstRegistrations(ctx context.Context, f Freshness) (list []Registration, complete bool, revision Revision, err error)
	// WatchRegistrations waits for changes after a revision; none come if
	// nothing changed within wait.
	WatchRegistrations(ctx context.Context, after Revision, wait time.Duration) ([]RegistrationChange, Revision, error)
	// Secret returns the secret that the VMs of the fleet share. If there is
	// none, offer becomes it, unless another VM's came first.
	Secret(ctx context.Context, offer []byte, f Freshness) ([]byte, error)
}

// TargetLoad is what one VM sends to one target.
type TargetLoad struct {
	Target TargetID
	// Requests are the recent ones, each weighted by its age.
	Requests float64
	// Unanswered is the number of flows in a row that the target left without
	// an answer, Opens that of those whose first segment was.
	Unanswered, Opens int
	// Vanished is the number of those of which nothing came after the first
	// segment, not even a copy: as far as can be told the target refused them.
	Vanished int
	// LeftAt is when it last left one so.
	LeftAt time.Time
	// Silence is, in what other VMs say together, what each of the own data
	// centre says that found flows unanswered.
	Silence []Silence
	// HeardAt is when the target was last heard of; zero if never.
	HeardAt time.Time
	// Disputed is set if other VMs say that the target is silent.
	Disputed bool
	// Answers are the recent requests whose outcome was seen, Failed those of
	// them that failed as far as a VM can tell, both weighted by age, and Took
	// is the mean time of the others. In what other VMs say together they are
	// those of the own data centre. All are 0 unless the target stands out.
	Answers, Failed float64
	Took            time.Duration
	// Callers is the set of callers whose requests failed; see package answer.
	Callers uint16
}

// Silence is what one VM says of a target that left its flows unanswered; its fields
// are as those of TargetLoad.
type Silence struct {
	Unanswered, Opens, Vanished int
	LeftAt                      time.Time
}
