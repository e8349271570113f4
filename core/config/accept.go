package config

import (
	"time"

	"baobabstep"
)

// StepKind tells what an [Accept] wants done.
type StepKind uint8

// Kinds of steps.
const (
	// StepDone: the accept has ended; see [Accept.Result].
	StepDone StepKind = iota
	// StepGet reads Key.
	StepGet
	// StepPut writes Value to Key by compare-and-swap.
	StepPut
)

// Step is one platform call. The adapter makes it after Wait and gives the
// answer to [Accept.Next].
type Step struct {
	Kind     StepKind
	Key      string
	Value    []byte
	Expected uint64
	Wait     time.Duration
}

// Answer is what became of a step. Err's code decides what comes next.
type Answer struct {
	KeyValue baobabstep.KeyValue
	Revision uint64
	Err      error
}

// Result is what became of a change.
type Result struct {
	ChangeID string `json:"change_id"`
	// Version is the version that the change became.
	Version     uint64 `json:"version"`
	BaseVersion uint64 `json:"base_version"`
	// Repeated is set if the change had been accepted before this attempt,
	// whose predecessor's answer was lost.
	Repeated   bool        `json:"repeated"`
	Difference []string    `json:"difference"`
	Dangers    []Danger    `json:"dangers"`
	Collisions []Collision `json:"collisions"`
	// Theirs lists what others changed since the base, on a conflict.
	Theirs []FieldChange         `json:"theirs"`
	Entry  baobabstep.AuditEntry `json:"entry"`
	Err    error                 `json:"-"`
}

// AcceptOptions are what an accept starts from.
type AcceptOptions struct {
	// Objects finds objects that are known already, so that they need not
	// be read; Current is the version in force here, or nil.
	Objects Objects
	Current *Set
	// Builder, if set, is used up by the accept. One that knows the current
	// version saves decoding and rendering it.
	Builder *Builder
	// FlowSecret is used for the first version of all.
	FlowSecret [16]byte
}

// Accept carries one change through the platform. Every write's answer may be
// lost: an object is written again, which changes nothing; the head is read
// back and searched for the change's identifier. Nothing is visible before the
// head is written, and everything is once it was.
type Accept struct {
	o       AcceptOptions
	change  Change
	builder *Builder
	state   acceptState
	// attempts counts failures in a row of the same step.
	attempts int
	// restarts counts reads of the head.
	restarts int
	// restoreOnly is set if there is no change to make.
	restoreOnly bool

	head     Head
	revision uint64
	// unsure is set once a write of the head may have taken effect.
	unsure  bool
	fetched map[Digest][]byte
	before  *Set
	missing []Missing

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
	// firstWait is the pause before the first repetition; it doubles.
	firstWait = 50 * time.Millisecond
)

// NewAccept returns the machine for one change.
func NewAccept(c Change, o AcceptOptions) *Accept {
	a := &Accept{o: o, change: c, builder: o.Builder, fetched: map[Digest][]byte{}}
	if a.builder == nil {
		a.builder = NewBuilder()
	}
	a.result.ChangeID = c.ID
	return a
}

// NewRestore returns the machine that gives a store that was set back what is in
// force here. It changes nothing if the store has that, or something newer.
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

// Result returns what became of the change, once the step is StepDone.
func (a *Accept) Result() Result { return a.result }

func (a *Accept) fail(err error) Step {
	a.state = stateDone
	a.result.Err = err
	return Step{}
}

func (a *Accept) next(state acceptState, s Step) Step {
	a.state, a.step, a.attempts = state, s, 0
	return s
}

// Next takes the answer to the last step and returns the next one.
func (a *Accept) Next(now time.Time, answer Answer) Step {
	code := baobabstep.CodeOf(answer.Err)
	if a.state == stateWriteHead {
		return a.headWritten(answer, code)
	}
	switch code {
	case baobabstep.CodePlatformUnavailable, baobabstep.CodePlatformUnknown, baobabstep.CodeBudgetSpent:
		return a.again(answer.Err)
	}
	switch a.state {
	case stateReadHead:
		return a.headRead(now, answer, code)
	case stateReadObject:
		return a.objectRead(now, answer, code)
	case stateWriteObject:
		return a.objectWritten(answer, code)
	case stateReadExisting:
		return a.existingRead(answer, code)
	}
	return Step{}
}

// again repeats the last step after a pause. Only reads and repeatable writes
// come here. Once the attempts are used up nothing was accepted, unless an
// earlier write of the head is still in doubt.
func (a *Accept) again(err error) Step {
	a.attempts++
	if a.attempts < maxAttempts {
		s := a.step
		s.Wait = firstWait << (a.attempts - 1)
		return s
	}
	if a.unsure {
		return a.fail(baobabstep.Errorf(baobabstep.CodePlatformUnknown, "config.accept",
			"the platform stopped answering while change %s was written; repeat the command with this change id to learn what became of it: %w", a.change.ID, err))
	}
	return a.fail(baobabstep.Errorf(baobabstep.CodePlatformUnavailable, "config.accept", "nothing was accepted: %w", err))
}

func (a *Accept) readHead() Step {
	a.restarts++
	if a.restarts > maxRestarts {
		return a.fail(baobabstep.Errorf(baobabstep.CodeConflict, "config.accept", "got %d other changes while trying, want one quiet moment; nothing was accepted", a.restarts))
	}
	return a.next(stateReadHead, Step{Kind: StepGet, Key: HeadKey})
}

func (a *Accept) headRead(now time.Time, answer Answer, code baobabstep.Code) Step {
	switch code {
	case baobabstep.CodeOK:
		h, err := DecodeHead(answer.KeyValue.Value)
		if err != nil {
			return a.fail(err)
		}
		if answer.KeyValue.Revision != a.revision {
			// A write that expected the former revision cannot take effect
			// any more; whether it did is in the list of changes.
			a.unsure = false
		}
		a.head, a.revision = *h, answer.KeyValue.Revision
	case baobabstep.CodeNotFound:
		a.head, a.revision = Head{Format: Format}, 0
	default:
		return a.fail(answer.Err)
	}
	if a.isSetBack() {
		return a.build(now)
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
	return a.build(now)
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

// build loads the version that the head names, reading what is not here, and
// then makes the next one.
func (a *Accept) build(now time.Time) Step {
	if a.head.Version == 0 {
		a.before = nil
		return a.built(now)
	}
	s, missing, err := a.builder.Build(a.head.Manifest, a.lookup, a.o.Current)
	if err != nil {
		return a.fail(err)
	}
	if len(missing) > 0 {
		a.missing = missing
		return a.readNext()
	}
	a.before = s
	return a.built(now)
}

// built goes on once the version that the head names is at hand.
func (a *Accept) built(now time.Time) Step {
	if a.isSetBack() {
		return a.prepareRestore()
	}
	return a.prepare(now)
}

func (a *Accept) readNext() Step {
	return a.next(stateReadObject, Step{Kind: StepGet, Key: ObjectKey(a.missing[0].Digest)})
}

func (a *Accept) objectRead(now time.Time, answer Answer, code baobabstep.Code) Step {
	if code == baobabstep.CodeNotFound {
		// Another change came first and this object was collected since.
		return a.readHead()
	}
	if code != baobabstep.CodeOK {
		return a.fail(answer.Err)
	}
	d := a.missing[0].Digest
	if MakeDigest(answer.KeyValue.Value) != d {
		return a.fail(baobabstep.Errorf(baobabstep.CodeInvalid, "config.accept", "got other bytes than object %v is named for; nothing was accepted", d))
	}
	a.fetched[d] = answer.KeyValue.Value
	a.missing = a.missing[1:]
	if len(a.missing) > 0 {
		return a.readNext()
	}
	return a.build(now)
}

func (a *Accept) writeNext() Step {
	if len(a.writes) == 0 {
		return a.next(stateWriteHead, Step{Kind: StepPut, Key: HeadKey, Value: Encode(a.newHead), Expected: a.revision})
	}
	d := a.writes[0]
	return a.next(stateWriteObject, Step{Kind: StepPut, Key: ObjectKey(d), Value: a.objects[d]})
}

// objectWritten serves the first write of an object and the one that renews its
// revision.
func (a *Accept) objectWritten(answer Answer, code baobabstep.Code) Step {
	switch code {
	case baobabstep.CodeOK:
		a.writes = a.writes[1:]
		return a.writeNext()
	case baobabstep.CodeConflict:
		// It exists: from a write whose answer was lost, or as garbage that
		// is about to be collected. Writing it once more changes its
		// revision, and the collector removes only the revision it saw.
		return a.next(stateReadExisting, Step{Kind: StepGet, Key: a.step.Key})
	}
	return a.fail(answer.Err)
}

func (a *Accept) existingRead(answer Answer, code baobabstep.Code) Step {
	d := a.writes[0]
	switch code {
	case baobabstep.CodeNotFound:
		return a.writeNext()
	case baobabstep.CodeOK:
		return a.next(stateWriteObject, Step{Kind: StepPut, Key: ObjectKey(d), Value: a.objects[d], Expected: answer.KeyValue.Revision})
	}
	return a.fail(answer.Err)
}

// headWritten decides after the one write that matters. On any doubt the head
// is read: it tells whether this change, or another, came first.
func (a *Accept) headWritten(answer Answer, code baobabstep.Code) Step {
	switch code {
	case baobabstep.CodeOK:
		if a.isSetBack() {
			return a.readHead() // it has been restored; now for the change
		}
		a.state = stateDone
		return Step{}
	case baobabstep.CodeConflict:
		return a.readHead()
	case baobabstep.CodePlatformUnknown:
		a.unsure = true
		return a.readHead()
	case baobabstep.CodePlatformUnavailable, baobabstep.CodeBudgetSpent:
		return a.again(answer.Err)
	}
	return a.fail(answer.Err)
}
