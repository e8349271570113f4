package config

import (
	"bytes"
	"fmt"
	"slices"
	"sort"
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
	stateTouchObject
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
	a := &Accept{o: o, change: c, builder: NewBuilder(), fetched: map[Digest][]byte{}}
	a.result.ChangeID = c.ID
	return a
}

// Start returns the first step.
func (a *Accept) Start() Step {
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
	case stateTouchObject:
		return a.objectTouched(answer, code)
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
	if v, ok := a.head.find(a.change.ID); ok {
		a.result.Version = v
		a.result.Repeated = true
		a.state = stateDone
		return Step{}
	}
	if s := a.o.Current; s != nil && s.Manifest.Version > a.head.Version {
		return a.fail(baobabstep.Errorf(baobabstep.CodeOldVersion, "config.accept",
			"the platform has version %d although version %d is in force: its store was set back; a change now would be lost; nothing was accepted", a.head.Version, s.Manifest.Version))
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
		return a.prepare(now)
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

// prepare makes the objects and the head of the next version.
func (a *Accept) prepare(now time.Time) Step {
	refs, err := a.applyEdits()
	if err != nil {
		return a.fail(err)
	}
	after, err := a.assemble(now, refs)
	if err != nil {
		return a.fail(err)
	}
	if err := a.checkTemplates(after); err != nil {
		return a.fail(err)
	}
	a.result.Dangers = dangers(a.beforeConfig(), after.Config)
	open := unconfirmed(a.result.Dangers, a.change.Confirm)
	switch {
	case len(a.result.Difference) == 0:
		return a.fail(baobabstep.Errorf(baobabstep.CodeInvalid, "config.accept", "got a change that changes nothing, want at least one difference"))
	case a.change.DryRun:
		a.state = stateDone
		return Step{}
	case len(open) > 0:
		return a.fail(baobabstep.Errorf(baobabstep.CodeDangerous, "config.accept", "confirm by name: %s", dangerText(open)))
	}
	return a.writeNext()
}

func (a *Accept) beforeConfig() *baobabstep.Config {
	if a.before == nil {
		return nil
	}
	return a.before.Config
}

// applyEdits returns the references of the next version and collects the
// difference. An edit whose base is no longer the current document conflicts.
func (a *Accept) applyEdits() (map[refKey]Ref, error) {
	refs := map[refKey]Ref{}
	if a.before != nil {
		for k, r := range a.before.refs {
			refs[k] = r
		}
	}
	a.objects = map[Digest][]byte{}
	a.result.Difference, a.result.Theirs, a.result.Collisions = nil, nil, nil
	conflicts := 0
	for i := range a.change.Edits {
		e := &a.change.Edits[i]
		document, conflict, err := a.applyEdit(e, refs)
		if err != nil {
			return nil, err
		}
		if conflict {
			conflicts++
			continue
		}
		a.place(e, document, refs)
	}
	if conflicts > 0 {
		return nil, baobabstep.Errorf(baobabstep.CodeConflict, "config.accept", "another operator changed %d of %d documents first: %s", conflicts, len(a.change.Edits), a.conflictText())
	}
	return refs, nil
}

func (a *Accept) conflictText() string {
	text := ""
	for _, c := range a.result.Theirs {
		text += c.String() + "; "
	}
	return shorten(text)
}

// applyEdit returns the document that an edit leads to, nil for removal.
func (a *Accept) applyEdit(e *Edit, refs map[refKey]Ref) (document []byte, conflict bool, err error) {
	key := refKey{e.Kind, e.Name}
	var current []byte
	if r, ok := refs[key]; ok {
		current, _ = a.lookup(r.Digest)
	}
	if len(e.Document) > 0 {
		if document, err = canonical(e.Kind, e.Name, e.Document); err != nil {
			return nil, false, err
		}
	}
	var base []byte
	if len(e.Base) > 0 {
		if base, err = canonical(e.Kind, e.Name, e.Base); err != nil {
			return nil, false, err
		}
	}
	if !e.Overwrite && !bytes.Equal(base, current) {
		if document, err = a.merge(base, document, current); err != nil || document == nil {
			return nil, err == nil, err
		}
		if document, err = canonical(e.Kind, e.Name, document); err != nil {
			return nil, false, err
		}
	}
	changes, err := Diff(current, document)
	if err != nil {
		return nil, false, err
	}
	for _, c := range changes {
		c.Path = fmt.Sprintf("%v.%s.%s", e.Kind, e.Name, c.Path)
		a.result.Difference = append(a.result.Difference, c.String())
	}
	return document, false, nil
}

// merge notes what others changed since base, and returns the merged document
// if the operator asked for it and no field was changed by both.
func (a *Accept) merge(base, document, current []byte) ([]byte, error) {
	theirs, err := Diff(base, current)
	if err != nil {
		return nil, err
	}
	a.result.Theirs = append(a.result.Theirs, theirs...)
	if len(base) == 0 || len(document) == 0 || len(current) == 0 {
		return nil, nil
	}
	merged, collisions, err := Merge(base, document, current)
	a.result.Collisions = append(a.result.Collisions, collisions...)
	if !a.change.Merge || err != nil {
		return nil, err
	}
	return merged, nil
}

func (a *Accept) place(e *Edit, document []byte, refs map[refKey]Ref) {
	key := refKey{e.Kind, e.Name}
	if document == nil {
		delete(refs, key)
		return
	}
	d := MakeDigest(document)
	if refs[key].Digest == d {
		return
	}
	a.objects[d] = document
	refs[key] = Ref{Kind: e.Kind, Name: e.Name, Digest: d, Version: a.head.Version + 1}
}

// assemble makes pages, quarantine, manifest and head, and renders the whole.
func (a *Accept) assemble(now time.Time, refs map[refKey]Ref) (*Set, error) {
	m := Manifest{Format: Format, Version: a.head.Version + 1, FlowSecret: a.o.FlowSecret[:]}
	var items []QuarantineItem
	if a.before != nil {
		m.FlowSecret = a.before.Manifest.FlowSecret
		m.Previous = a.before.Digest
		items = a.before.quarantine
	}
	m.Pages = pageRefs(refs, a.objects)
	m.Entry = a.entry(now)
	// The quarantine follows from the rendered version, so render first.
	draft, err := a.tryBuild(&m)
	if err != nil {
		return nil, err
	}
	if items = nextQuarantine(now, items, a.beforeConfig(), draft.Config); len(items) > 0 {
		b := Encode(items)
		m.Quarantine = MakeDigest(b)
		a.objects[m.Quarantine] = b
		delete(a.objects, draft.Digest)
		if draft, err = a.tryBuild(&m); err != nil {
			return nil, err
		}
	}
	a.newHead = Head{
		Format: Format, Version: m.Version, Manifest: draft.Digest, Collections: a.head.Collections,
		Changes: append(slices.Clone(a.head.Changes), ChangeID{a.change.ID, m.Version}),
	}
	a.newHead.Changes = a.newHead.Changes[max(0, len(a.newHead.Changes)-MaxChangeIDs):]
	a.result.Entry = m.Entry
	a.result.Version, a.result.BaseVersion = m.Version, a.head.Version
	a.orderWrites(draft.Digest)
	return draft, nil
}

func (a *Accept) tryBuild(m *Manifest) (*Set, error) {
	b := Encode(m)
	d := MakeDigest(b)
	a.objects[d] = b
	s, missing, err := a.builder.Build(d, a.lookup, a.before)
	if err != nil {
		return nil, err
	}
	if len(missing) > 0 {
		return nil, baobabstep.Errorf(baobabstep.CodeInternal, "config.accept", "got %d objects missing of a version just made", len(missing))
	}
	return s, nil
}

// entry makes the audit entry of the change. Its sequence number is the
// version, since each change makes one version and one entry.
func (a *Accept) entry(now time.Time) baobabstep.AuditEntry {
	e := baobabstep.AuditEntry{
		Sequence: a.head.Version + 1, At: now.UTC(), Operator: a.change.Operator, Action: a.change.Action,
		Subject: a.subject(), Reason: a.change.Reason, ChangeID: a.change.ID,
		BaseVersion: a.head.Version, NewVersion: a.head.Version + 1,
		Difference: a.result.Difference,
	}
	if n := len(e.Difference); n > maxDifferences {
		e.Difference = append(slices.Clone(e.Difference[:maxDifferences]), fmt.Sprintf("and %d more", n-maxDifferences))
	}
	for i, line := range e.Difference {
		if len(line) > maxDifferenceLine {
			e.Difference = slices.Clone(e.Difference)
			e.Difference[i] = line[:maxDifferenceLine] + "..."
		}
	}
	if a.before != nil {
		e.PreviousHash = a.before.Manifest.Entry.Hash
	}
	e.Hash = EntryHash(e)
	return e
}

const maxSubjects = 4

func (a *Accept) subject() string {
	text := ""
	for i, e := range a.change.Edits {
		if i == maxSubjects {
			return text + fmt.Sprintf(" and %d more", len(a.change.Edits)-maxSubjects)
		}
		if i > 0 {
			text += " "
		}
		text += fmt.Sprintf("%v/%s", e.Kind, e.Name)
	}
	return text
}

// orderWrites puts the manifest last, so that one that can be read has all its
// parts.
func (a *Accept) orderWrites(manifest Digest) {
	a.writes = a.writes[:0]
	for d := range a.objects {
		if d != manifest && !a.inBefore(d) {
			a.writes = append(a.writes, d)
		}
	}
	sort.Slice(a.writes, func(i, j int) bool { return bytes.Compare(a.writes[i][:], a.writes[j][:]) < 0 })
	a.writes = append(a.writes, manifest)
}

// inBefore says whether the current version has the object, as most pages.
func (a *Accept) inBefore(d Digest) bool {
	if a.before == nil {
		return false
	}
	for _, p := range a.before.pages {
		if p == d {
			return true
		}
	}
	return d == a.before.Manifest.Quarantine
}

// checkTemplates applies the rule for changes under live accounts.
func (a *Accept) checkTemplates(after *Set) error {
	for i := range a.change.Edits {
		e := &a.change.Edits[i]
		if e.Kind != ObjectTemplate || a.before == nil {
			continue
		}
		old, changed := a.before.Template(e.Name), after.Template(e.Name)
		if old == nil || changed == nil {
			continue
		}
		accounts := make([]*Account, 0, len(after.accounts))
		for _, one := range after.accounts {
			accounts = append(accounts, one)
		}
		if err := CheckTemplateChange(old, changed, accounts); err != nil {
			return err
		}
	}
	return nil
}

func (a *Accept) writeNext() Step {
	if len(a.writes) == 0 {
		return a.next(stateWriteHead, Step{Kind: StepPut, Key: HeadKey, Value: Encode(a.newHead), Expected: a.revision})
	}
	d := a.writes[0]
	return a.next(stateWriteObject, Step{Kind: StepPut, Key: ObjectKey(d), Value: a.objects[d]})
}

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
		return a.next(stateTouchObject, Step{Kind: StepPut, Key: ObjectKey(d), Value: a.objects[d], Expected: answer.KeyValue.Revision})
	}
	return a.fail(answer.Err)
}

func (a *Accept) objectTouched(answer Answer, code baobabstep.Code) Step {
	switch code {
	case baobabstep.CodeOK:
		a.writes = a.writes[1:]
		return a.writeNext()
	case baobabstep.CodeConflict:
		return a.next(stateReadExisting, Step{Kind: StepGet, Key: a.step.Key})
	}
	return a.fail(answer.Err)
}

// headWritten decides after the one write that matters. On any doubt the head
// is read: it tells whether this change, or another, came first.
func (a *Accept) headWritten(answer Answer, code baobabstep.Code) Step {
	switch code {
	case baobabstep.CodeOK:
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
