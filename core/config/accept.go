package config

import (
	"time"

	"baobabstep"
)

// StepKind is the kind of platform call that an [Accept] requests.
type StepKind uint8

// Kinds of steps.
const (
	// StepDone ends the accept; see [Accept.Result].
	StepDone StepKind = iota
	// StepGet reads Key.
	StepGet
	// StepPut writes Value to Key by compare-and-swap.
	StepPut
)

// Step is one platform call. The adapter makes it after Wait and passes the
// answer to [Accept.Next].
type Step struct {
	Kind     StepKind
	Key      string
	Value    []byte
	Expected uint64
	Wait     time.Duration
}

// Answer is the outcome of a step. The code of Err selects the next step.
type Answer struct {
	KeyValue baobabstep.KeyValue
	Revision uint64
	Err      error
}

// Result is the outcome of a change.
type Result struct {
	ChangeID string `json:"change_id"`
	// Version is the version that the change created.
	Version     uint64 `json:"version"`
	BaseVersion uint64 `json:"base_version"`
	// Repeated is set if an earlier attempt, whose answer was lost, had
	// already been accepted.
	Repeated   bool        `json:"repeated"`
	Difference []string    `json:"difference"`
	Dangers    []Danger    `json:"dangers"`
	Collisions []Collision `json:"collisions"`
	// Theirs lists, on a conflict, what other operators changed since the base.
	Theirs []FieldChange         `json:"theirs"`
	Entry  baobabstep.AuditEntry `json:"entry"`
	Err    error                 `json:"-"`
}

// AcceptOptions configure an accept.
type AcceptOptions struct {
	// Objects looks up local objects, which are not read from the platform;
	// Current is the version in force on this VM, or nil.
	Objects ObjectLookup
	Current *Set
	// Builder, if set, must not be used by the caller afterwards. One that
	// built the current version saves decoding and rendering it.
	Builder *Builder
	// FlowSecret is used if no version exists yet.
	FlowSecret [16]byte
}

// Accept commits one change to the platform. After a lost answer, an object is
// written again, which has no further effect; the head is read back and searched
// for the change's identifier. The write of the head makes the change visible.
type Accept struct {
	o       AcceptOptions
	change  Change
	builder *Builder
	state   acceptState
	// attempts counts consecutive failures of the current step.
	attempts int
	// restarts counts reads of the head.
	restarts int
	// restoreOnly is set for [NewRestore], which has no change.
	restoreOnly bool

	head     Head
	revision uint64
	// headWriteUnknown is set while an earlier write of the head may have taken
	// effect.
	headWriteUnknown bool
	fetched          map[Digest][]byte
	// baseSet is the version that head refers to, nil if there is none.
	baseSet *Set
	missing []MissingObject

	newHead Head
	writes  []Digest
	objects map[Digest][]byte
	result  Result
	step    Step
}

type acceptState uint8

const (
	stateReadHead acceptState = iota
	stateReadObject
	stateWriteObject
	stateReadExisting
	stateWriteHead
	stateDone
)

// Limits of one accept.
const (
	maxAttempts = 5
	maxRestarts = 16
	// initialBackoff is the wait before the first retry; it doubles with each.
	initialBackoff = 50 * time.Millisecond
)

// NewAccept returns the accept of one change.
func NewAccept(c Change, o AcceptOptions) *Accept {
	a := &Accept{o: o, change: c, builder: o.Builder, fetched: map[Digest][]byte{}}
	if a.builder == nil {
		a.builder = NewBuilder()
	}
	a.result.ChangeID = c.ID
	return a
}

// NewRestore returns an accept that restores a rolled-back store to the version in
// force on this VM. It writes nothing if the store's version is that or newer.
func NewRestore(o AcceptOptions) *Accept {
	a := NewAccept(Change{}, o)
	a.restoreOnly = true
	return a
}

// Start returns the first step.
func (a *Accept) Start() Step {
	if a.restoreOnly {
		return a.readHead()
	}
	if err := a.change.check(); err != nil {
		return a.fail(err)
	}
	return a.readHead()
}

// Result returns the outcome of the change, once the step is StepDone.
func (a *Accept) Result() Result { return a.result }

func (a *Accept) fail(err error) Step {
	a.state = stateDone
	a.result.Err = err
	return Step{}
}

func (a *Accept) transition(state acceptState, s Step) Step {
	a.state, a.step, a.attempts = state, s, 0
	return s
}

// Next takes the answer to the last step and returns the next one.
func (a *Accept) Next(now time.Time, answer Answer) Step {
	code := baobabstep.CodeOf(answer.Err)
	if a.state == stateWriteHead {
		return a.handleHeadWritten(answer, code)
	}
	switch code {
	case baobabstep.CodePlatformUnavailable, baobabstep.CodePlatformUnknown, baobabstep.CodeBudgetSpent:
		return a.retry(answer.Err)
	}
	switch a.state {
	case stateReadHead:
		return a.handleHeadRead(now, answer, code)
	case stateReadObject:
		return a.handleObjectRead(now, answer, code)
	case stateWriteObject:
		return a.handleObjectWritten(answer, code)
	case stateReadExisting:
		return a.handleExistingRead(answer, code)
	}
	return Step{}
}

// retry repeats the current step, a read or an idempotent write, after a backoff.
// After maxAttempts it fails: nothing was accepted, unless the outcome of an
// earlier write of the head is unknown.
func (a *Accept) retry(err error) Step {
	a.attempts++
	if a.attempts < maxAttempts {
		s := a.step
		s.Wait = initialBackoff << (a.attempts - 1)
		return s
	}
	if a.headWriteUnknown {
		return a.fail(baobabstep.Errorf(baobabstep.CodePlatformUnknown, "config.accept",
			"the platform stopped answering while change %s was written; repeat the command with this change id to learn the outcome: %w", a.change.ID, err))
	}
	return a.fail(baobabstep.Errorf(baobabstep.CodePlatformUnavailable, "config.accept", "nothing was accepted: %w", err))
}

func (a *Accept) readHead() Step {
	a.restarts++
	if a.restarts > maxRestarts {
		return a.fail(baobabstep.Errorf(baobabstep.CodeConflict, "config.accept", "gave up before attempt %d: other changes were accepted first; nothing was accepted", a.restarts))
	}
	return a.transition(stateReadHead, Step{Kind: StepGet, Key: HeadKey})
}

func (a *Accept) handleHeadRead(now time.Time, answer Answer, code baobabstep.Code) Step {
	switch code {
	case baobabstep.CodeOK:
		h, err := DecodeHead(answer.KeyValue.Value)
		if err != nil {
			return a.fail(err)
		}
		if answer.KeyValue.Revision != a.revision {
			// A write that expected the former revision can no longer take
			// effect; the list of changes shows whether it did.
			a.headWriteUnknown = false
		}
		a.head, a.revision = *h, answer.KeyValue.Revision
	case baobabstep.CodeNotFound:
		a.head, a.revision = Head{Format: Format}, 0
	default:
		return a.fail(answer.Err)
	}
	if a.storeRolledBack() {
		return a.loadBaseSet(now)
	}
	if a.restoreOnly {
		a.state = stateDone
		return Step{}
	}
	if v, ok := a.head.find(a.change.ID); ok {
		a.result.Version = v
		a.result.Repeated = true
		a.state = stateDone
		return Step{}
	}
	return a.loadBaseSet(now)
}

func (a *Accept) lookup(d Digest) ([]byte, bool) {
	if b, ok := a.objects[d]; ok {
		return b, true
	}
	if b, ok := a.fetched[d]; ok {
		return b, true
	}
	if a.o.Objects == nil {
		return nil, false
	}
	return a.o.Objects(d)
}

// loadBaseSet builds the version that the head refers to, reading missing objects
// from the platform, and then prepares the writes.
func (a *Accept) loadBaseSet(now time.Time) Step {
	if a.head.Version == 0 {
		a.baseSet = nil
		return a.prepareWrites(now)
	}
	s, missing, err := a.builder.Build(a.head.Manifest, a.lookup, a.o.Current)
	if err != nil {
		return a.fail(err)
	}
	if len(missing) > 0 {
		a.missing = missing
		return a.readNextObject()
	}
	a.baseSet = s
	return a.prepareWrites(now)
}

// prepareWrites makes the writes of the restore or the change, given baseSet.
func (a *Accept) prepareWrites(now time.Time) Step {
	if a.storeRolledBack() {
		return a.prepareRestore()
	}
	return a.prepare(now)
}

func (a *Accept) readNextObject() Step {
	return a.transition(stateReadObject, Step{Kind: StepGet, Key: ObjectKey(a.missing[0].Digest)})
}

func (a *Accept) handleObjectRead(now time.Time, answer Answer, code baobabstep.Code) Step {
	if code == baobabstep.CodeNotFound {
		// Another change was accepted and the object was garbage-collected.
		return a.readHead()
	}
	if code != baobabstep.CodeOK {
		return a.fail(answer.Err)
	}
	d := a.missing[0].Digest
	if MakeDigest(answer.KeyValue.Value) != d {
		return a.fail(baobabstep.Errorf(baobabstep.CodeInvalid, "config.accept", "object %v does not match its digest; nothing was accepted", d))
	}
	a.fetched[d] = answer.KeyValue.Value
	a.missing = a.missing[1:]
	if len(a.missing) > 0 {
		return a.readNextObject()
	}
	return a.loadBaseSet(now)
}

func (a *Accept) writeNext() Step {
	if len(a.writes) == 0 {
		return a.transition(stateWriteHead, Step{Kind: StepPut, Key: HeadKey, Value: Encode(a.newHead), Expected: a.revision})
	}
	d := a.writes[0]
	return a.transition(stateWriteObject, Step{Kind: StepPut, Key: ObjectKey(d), Value: a.objects[d]})
}

// handleObjectWritten handles the first write of an object and the rewrite that
// changes its revision.
func (a *Accept) handleObjectWritten(answer Answer, code baobabstep.Code) Step {
	switch code {
	case baobabstep.CodeOK:
		a.writes = a.writes[1:]
		return a.writeNext()
	case baobabstep.CodeConflict:
		// The object exists, from a write whose answer was lost or as garbage
		// that may be collected at any time. Rewriting it changes its
		// revision, and the collector only removes the revision that it listed.
		return a.transition(stateReadExisting, Step{Kind: StepGet, Key: a.step.Key})
	}
	return a.fail(answer.Err)
}

func (a *Accept) handleExistingRead(answer Answer, code baobabstep.Code) Step {
	d := a.writes[0]
	switch code {
	case baobabstep.CodeNotFound:
		return a.writeNext()
	case baobabstep.CodeOK:
		return a.transition(stateWriteObject, Step{Kind: StepPut, Key: ObjectKey(d), Value: a.objects[d], Expected: answer.KeyValue.Revision})
	}
	return a.fail(answer.Err)
}

// handleHeadWritten handles the answer to the commit. On a conflict or an unknown
// outcome it reads the head to find whether the change took effect.
func (a *Accept) handleHeadWritten(answer Answer, code baobabstep.Code) Step {
	switch code {
	case baobabstep.CodeOK:
		if a.storeRolledBack() {
			return a.readHead() // the store is restored; the change follows
		}
		a.state = stateDone
		return Step{}
	case baobabstep.CodeConflict:
		return a.readHead()
	case baobabstep.CodePlatformUnknown:
		a.headWriteUnknown = true
		return a.readHead()
	case baobabstep.CodePlatformUnavailable, baobabstep.CodeBudgetSpent:
		return a.retry(answer.Err)
	}
	return a.fail(answer.Err)
}
