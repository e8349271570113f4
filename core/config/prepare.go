package config

import (
	"bytes"
	"fmt"
	"slices"
	"sort"
	"time"

	"baobabstep"
)

// prepare computes and checks the objects and the head of the next version.
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
	a.result.Dangers = findDangers(a.baseConfig(), after.Config)
	remaining := unconfirmed(a.result.Dangers, a.change.Confirm)
	switch {
	case len(a.result.Difference) == 0:
		return a.fail(baobabstep.Errorf(baobabstep.CodeInvalid, "config.accept", "got a change that changes nothing, want at least one difference"))
	case a.change.DryRun:
		a.state = stateDone
		return Step{}
	case len(remaining) > 0:
		return a.fail(baobabstep.Errorf(baobabstep.CodeDangerous, "config.accept", "confirm by name: %s", dangerText(remaining)))
	}
	return a.writeNext()
}

func (a *Accept) baseConfig() *baobabstep.Config {
	if a.baseSet == nil {
		return nil
	}
	return a.baseSet.Config
}

// applyEdits returns the references of the next version and records the
// difference. An edit conflicts if its base is no longer the current document and
// it is not merged.
func (a *Accept) applyEdits() (map[refKey]Ref, error) {
	refs := map[refKey]Ref{}
	if a.baseSet != nil {
		for k, r := range a.baseSet.refs {
			refs[k] = r
		}
	}
	a.objects = map[Digest][]byte{}
	a.result.Difference, a.result.Theirs, a.result.Collisions = nil, nil, nil
	a.recordLifted()
	conflicts := 0
	for i := range a.change.Edits {
		e := &a.change.Edits[i]
		document, conflict, err := a.applyEdit(e)
		if err != nil {
			return nil, err
		}
		if conflict {
			conflicts++
			continue
		}
		a.updateRef(e, document, refs)
	}
	if conflicts > 0 {
		return nil, baobabstep.Errorf(baobabstep.CodeConflict, "config.accept", "another operator changed %d of %d documents first: %s", conflicts, len(a.change.Edits), a.conflictText())
	}
	return refs, nil
}

// recordLifted adds the addresses that leave quarantine to the result's difference.
func (a *Accept) recordLifted() {
	if a.baseSet == nil {
		return
	}
	for _, q := range a.baseSet.quarantine {
		if q.Until <= a.change.Lift {
			a.result.Difference = append(a.result.Difference, fmt.Sprintf("- quarantine.%s: since version %d", q.Address, q.Until))
		}
	}
}

func (a *Accept) conflictText() string {
	text := ""
	for _, c := range a.result.Theirs {
		text += c.String() + "; "
	}
	return truncate(text)
}

// applyEdit returns the document that results from an edit, nil for a removal.
func (a *Accept) applyEdit(e *Edit) (document []byte, conflict bool, err error) {
	current := a.currentDocument(refKey{e.Kind, e.Name})
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

// currentDocument returns the document before the change, nil for none. It
// encodes the decoded document, because the original bytes may no longer be
// available; the encoding is canonical.
func (a *Accept) currentDocument(k refKey) []byte {
	if a.baseSet == nil {
		return nil
	}
	if t := a.baseSet.templates[k.name]; k.kind == ObjectTemplate && t != nil {
		return Encode(t)
	}
	if one := a.baseSet.accounts[k.name]; k.kind == ObjectAccount && one != nil {
		return Encode(one)
	}
	return nil
}

// merge records what others changed since base. It returns the merged document, or
// nil on collisions or if the change does not ask for a merge.
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

func (a *Accept) updateRef(e *Edit, document []byte, refs map[refKey]Ref) {
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

// assemble makes pages, quarantine, manifest and head, and returns the rendered
// version.
func (a *Accept) assemble(now time.Time, refs map[refKey]Ref) (*Set, error) {
	m := Manifest{Format: Format, Version: a.head.Version + 1, FlowSecret: a.o.FlowSecret[:]}
	var items []QuarantineItem
	if a.baseSet != nil {
		m.FlowSecret = a.baseSet.Manifest.FlowSecret
		m.Previous = a.baseSet.Digest
		items = a.baseSet.quarantine
	}
	m.Pages = pageRefs(refs, a.objects)
	m.Entry = a.auditEntry(now)
	// The quarantine is computed from the rendered version, so render first.
	draft, err := a.buildCandidate(&m)
	if err != nil {
		return nil, err
	}
	if items = nextQuarantine(now, items, a.change.Lift, a.baseConfig(), draft.Config); len(items) > 0 {
		b := Encode(items)
		m.Quarantine = MakeDigest(b)
		a.objects[m.Quarantine] = b
		delete(a.objects, draft.Digest)
		if draft, err = a.buildCandidate(&m); err != nil {
			return nil, err
		}
	}
	a.newHead = a.head.next(draft, ChangeID{a.change.ID, m.Version})
	a.result.Entry = m.Entry
	a.result.Version, a.result.BaseVersion = m.Version, a.head.Version
	a.orderWrites(draft.Digest)
	return draft, nil
}

func (a *Accept) buildCandidate(m *Manifest) (*Set, error) {
	b := Encode(m)
	d := MakeDigest(b)
	a.objects[d] = b
	s, missing, err := a.builder.Build(d, a.lookup, a.baseSet)
	if err != nil {
		return nil, err
	}
	if len(missing) > 0 {
		return nil, baobabstep.Errorf(baobabstep.CodeInternal, "config.accept", "%d objects of the new version are missing", len(missing))
	}
	return s, nil
}

// auditEntry makes the audit entry of the change. Its sequence number is the
// version, since each change creates one version and one entry.
func (a *Accept) auditEntry(now time.Time) baobabstep.AuditEntry {
	e := baobabstep.AuditEntry{
		Sequence: a.head.Version + 1, At: now.UTC(), Operator: a.change.Operator, Action: a.change.Action,
		Subject: a.auditSubject(), Reason: a.change.Reason, ChangeID: a.change.ID,
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
	if a.baseSet != nil {
		e.PreviousHash = a.baseSet.Manifest.Entry.Hash
	}
	e.Hash = EntryHash(e)
	return e
}

const maxSubjects = 4

func (a *Accept) auditSubject() string {
	if a.change.Lift > 0 {
		return "quarantine"
	}
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

// orderWrites lists the objects to write with the manifest last, so that every
// object of a readable manifest is readable too.
func (a *Accept) orderWrites(manifest Digest) {
	a.writes = a.writes[:0]
	for d := range a.objects {
		if d != manifest && !a.inBaseSet(d) {
			a.writes = append(a.writes, d)
		}
	}
	sort.Slice(a.writes, func(i, j int) bool { return bytes.Compare(a.writes[i][:], a.writes[j][:]) < 0 })
	a.writes = append(a.writes, manifest)
}

// inBaseSet reports whether baseSet has d as a page or quarantine object.
func (a *Accept) inBaseSet(d Digest) bool {
	if a.baseSet == nil {
		return false
	}
	for _, p := range a.baseSet.pages {
		if p == d {
			return true
		}
	}
	return d == a.baseSet.Manifest.Quarantine
}

// checkTemplates applies [CheckTemplateChange] to each edited template.
func (a *Accept) checkTemplates(after *Set) error {
	for i := range a.change.Edits {
		e := &a.change.Edits[i]
		if e.Kind != ObjectTemplate || a.baseSet == nil {
			continue
		}
		old, changed := a.baseSet.Template(e.Name), after.Template(e.Name)
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
