package emulator

//go:generate stringer -type=Cause -linecomment -output=cause_string.go

// Cause says why a request lost worth.
type Cause uint8

// Causes. The comment of each is its name in reports.
const (
	// CauseNone: it was answered in time.
	CauseNone Cause = iota // none
	// CauseVMOff: its first segments reached VMs that were off or frozen.
	CauseVMOff // vm_off
	// CauseUnopened: no target accepted the flow in time.
	CauseUnopened // unopened
	// CauseRefused: a VM reset the flow before it was open.
	CauseRefused // refused
	// CauseEnded: a VM reset an open flow.
	CauseEnded // ended
	// CauseGone: the target reset the flow, which it did not hold.
	CauseGone // gone
	// CauseShed: the target had no room and said so.
	CauseShed // shed
	// CauseError: the target answered with an error.
	CauseError // error
	// CauseSilent: no answer came before the caller's limit.
	CauseSilent // silent
	// CauseSlow: the target was slower than others of its service.
	CauseSlow // slow
	// CauseWait: it waited in a target's queue.
	CauseWait // wait
	// CausePath: it was late on its way: copies, lost packets.
	CausePath // path
	numCauses
)
