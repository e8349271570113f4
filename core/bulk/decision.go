package bulk

//go:generate stringer -type=Decision -linecomment -output=decision_string.go

// Decision is what becomes of a new bulk flow.
type Decision uint8

// Decisions. The line comment of each is its name in metrics.
const (
	// Admitted: the first segment goes on.
	Admitted Decision = iota // admitted
	// Held: the first segment waits.
	Held // held
	// AlreadyHeld: the segment is a copy of one that waits, and is dropped.
	AlreadyHeld // already_held
	// TooLate: the flow would not be admitted in time, and is refused.
	TooLate // too_late
	// NoRoom: the queue is full, and the flow is refused.
	NoRoom // no_room
	// Displaced: the flow lost its place to a caller with fewer waiting flows, and is
	// refused.
	Displaced // displaced
	// Expired: the flow was not admitted in time, and is refused.
	Expired // expired
	// Stopping: the VM stops, and the flow is refused.
	Stopping // stopping
	// Overdue: the caller's next copy did not arrive, since another VM got it or the caller
	// has an answer. The segment is dropped without a reset, which might end an open flow.
	Overdue // overdue
	numDecisions
)

// Refused reports whether the flow is refused.
func (d Decision) Refused() bool { return d >= TooLate }
