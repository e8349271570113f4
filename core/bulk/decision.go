package bulk

//go:generate stringer -type=Decision -linecomment -output=decision_string.go

// Decision is the outcome of the admission of a new bulk flow.
type Decision uint8

// Decisions. The line comment of each is its name in metrics.
const (
	// Admitted: the first segment is forwarded.
	Admitted Decision = iota // admitted
	// Held: the first segment is queued.
	Held // held
	// AlreadyHeld: the segment is a retransmission of one that is held, and is dropped.
	AlreadyHeld // already_held
	// TooLate: the flow would not be admitted in time, and is refused.
	TooLate // too_late
	// NoRoom: the queue is full, and the flow is refused.
	NoRoom // no_room
	// Displaced: the queue is full, and the flow made room for a caller with fewer held flows.
	// It is refused.
	Displaced // displaced
	// Expired: the flow was not admitted in time, and is refused.
	Expired // expired
	// Stopping: the VM is shutting down, and the flow is refused.
	Stopping // stopping
	// Overdue: the caller's next retransmission did not arrive, because another VM received
	// it or the caller has an answer. The segment is dropped without a reset, which could end
	// an open flow.
	Overdue // overdue
	numDecisions
)

// Refused reports whether the flow is refused.
func (d Decision) Refused() bool { return d >= TooLate }
