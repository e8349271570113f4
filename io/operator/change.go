package operator

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/io/platform"
)

// drafts lists the operators who have a draft of an account. It is a help
// only, so a platform out of reach gives none.
func (s *Server) drafts(ctx context.Context, account string) []string {
	values, err := s.o.Platform.List(ctx, config.DraftKey(account, ""))
	if err != nil {
		return nil
	}
	var out []string
	for _, v := range values {
		out = append(out, strings.TrimPrefix(v.Key, config.DraftKey(account, "")))
	}
	return out
}

// loadDraft returns the operator's draft and its revision, 0 for none.
func (s *Server) loadDraft(ctx context.Context, account, operator string) (config.Draft, uint64, error) {
	var d config.Draft
	kv, err := s.o.Platform.Get(ctx, config.DraftKey(account, operator))
	if baobabstep.CodeOf(err) == baobabstep.CodeNotFound {
		return d, 0, nil
	}
	if err != nil {
		return d, 0, err
	}
	return d, kv.Revision, decode(kv.Value, &d)
}

// draft reads, changes or drops the operator's draft. A draft starts from the
// account in force and stays on that base until it is accepted or dropped, so
// that what others change meanwhile shows as a conflict.
func (s *Server) draft(ctx context.Context, operator string, q DraftQuery) (DraftAnswer, error) {
	d, revision, err := s.loadDraft(ctx, q.Account, operator)
	if err != nil {
		return DraftAnswer{}, err
	}
	writes := len(q.Document) > 0 || len(q.Set) > 0 || q.Remove
	switch {
	case q.Drop:
		if revision == 0 {
			return DraftAnswer{}, s.noDraft(q.Account, operator)
		}
		_, err := s.o.Platform.Put(ctx, config.DraftKey(q.Account, operator), nil, revision)
		return DraftAnswer{Draft: d}, err
	case !writes && revision == 0:
		return DraftAnswer{}, s.noDraft(q.Account, operator)
	case writes:
		if revision == 0 {
			d = s.newDraft(q.Account, operator)
		}
		if err := changeDraft(&d, q); err != nil {
			return DraftAnswer{}, err
		}
		d.At = s.o.Clock.Now().UTC()
		if _, err := s.o.Platform.Put(ctx, config.DraftKey(q.Account, operator), config.Encode(d), revision); err != nil {
			return DraftAnswer{}, err
		}
	}
	difference, err := config.Diff(d.Base, d.Document)
	return DraftAnswer{Draft: d, Difference: difference}, err
}

func (s *Server) noDraft(account, operator string) error {
	return baobabstep.Errorf(baobabstep.CodeNotFound, "operator.draft", "got no draft of account %q by operator %q, want one made by account edit", account, operator)
}

func (s *Server) newDraft(account, operator string) config.Draft {
	d := config.Draft{Format: config.Format, Account: account, Operator: operator}
	set := s.o.Replica.Set()
	if set == nil {
		return d
	}
	d.BaseVersion = set.Manifest.Version
	if a := set.Account(account); a != nil {
		d.Base = config.Encode(a)
		d.Document = d.Base
	}
	return d
}

func changeDraft(d *config.Draft, q DraftQuery) error {
	document := []byte(d.Document)
	if len(q.Document) > 0 {
		document = q.Document
	}
	for _, f := range q.Set {
		var err error
		if document, err = config.SetField(document, f.Path, f.Value); err != nil {
			return err
		}
	}
	if q.Remove {
		d.Document = nil
		return nil
	}
	document, err := config.CanonicalAccount(q.Account, document)
	d.Document = document
	return err
}

// change carries out one change. The answer holds the result also when it
// failed, since a conflict or a danger is explained there.
func (s *Server) change(ctx context.Context, operator string, q ChangeQuery) (ChangeAnswer, error) {
	c := config.Change{ID: q.ID, Operator: operator, Reason: q.Reason, Confirm: q.Confirm, Merge: q.Merge, DryRun: q.DryRun}
	if q.DryRun && c.Reason == "" {
		c.Reason = "only a look"
	}
	var err error
	switch {
	case q.Account != "":
		err = s.accountChange(ctx, &c, q.Account)
	case len(q.Template) > 0:
		err = s.templateChange(&c, q.Template)
	case q.Target != "":
		err = s.targetChange(ctx, &c, q)
	case q.DataCentre != "":
		err = s.dataCentreChange(ctx, &c, q)
	case q.Export != nil:
		c.Action = "config import"
		c.Edits, err = q.Export.Edits(s.o.Replica.Set())
	default:
		err = baobabstep.Errorf(baobabstep.CodeUsage, "operator.change", "got no account, template, target, data centre or export, want one of them")
	}
	if err != nil {
		return ChangeAnswer{}, err
	}
	return s.accept(ctx, c, q)
}

func (s *Server) accept(ctx context.Context, c config.Change, q ChangeQuery) (ChangeAnswer, error) {
	res := platform.Accept(ctx, s.o.Platform, s.o.Clock, c, config.AcceptOptions{
		Objects: s.o.Replica.Object, Current: s.o.Replica.Set(), Builder: s.o.Replica.Builder(),
		FlowSecret: s.o.FlowSecret,
	})
	a := ChangeAnswer{Result: res}
	if res.Err != nil || q.DryRun {
		return a, res.Err
	}
	s.noteAccepted(res.Version)
	if err := s.o.Trail.CatchUp(ctx); err != nil {
		a.AuditPending = err.Error()
	}
	if q.Account != "" {
		if _, err := s.draft(ctx, c.Operator, DraftQuery{Account: q.Account, Drop: true}); err != nil && baobabstep.CodeOf(err) != baobabstep.CodeNotFound {
			a.Draft = err.Error()
		}
	}
	return a, nil
}

func (s *Server) accountChange(ctx context.Context, c *config.Change, account string) error {
	d, revision, err := s.loadDraft(ctx, account, c.Operator)
	if err != nil {
		return err
	}
	if revision == 0 {
		// The draft may be gone because this change was accepted and the
		// answer lost; then the change's identifier is found.
		if s.accepted(ctx, c.ID) {
			c.Action = "account accept"
			c.Edits = []config.Edit{{Kind: config.ObjectAccount, Name: account}}
			return nil
		}
		return s.noDraft(account, c.Operator)
	}
	c.Action = "account accept"
	c.Edits = []config.Edit{{Kind: config.ObjectAccount, Name: account, Base: d.Base, Document: d.Document}}
	return nil
}

// accepted says whether the platform lists a change as accepted.
func (s *Server) accepted(ctx context.Context, id string) bool {
	kv, err := s.o.Platform.Get(ctx, config.HeadKey)
	if err != nil {
		return false
	}
	head, err := config.DecodeHead(kv.Value)
	return err == nil && slices.ContainsFunc(head.Changes, func(c config.ChangeID) bool { return c.ID == id })
}

func (s *Server) templateChange(c *config.Change, document json.RawMessage) error {
	var t config.Template
	if err := config.Decode(document, &t); err != nil {
		return err
	}
	e := config.Edit{Kind: config.ObjectTemplate, Name: t.Name, Document: document}
	if set := s.o.Replica.Set(); set != nil {
		if was := set.Template(t.Name); was != nil {
			e.Base = config.Encode(was)
		}
	}
	c.Action = "template put"
	c.Edits = []config.Edit{e}
	return nil
}

func (s *Server) targetChange(ctx context.Context, c *config.Change, q ChangeQuery) error {
	set, err := s.ownSet(ctx)
	if err != nil {
		return err
	}
	e, err := set.DrainEdit(q.Target, !q.Undrain)
	if err != nil {
		return err
	}
	c.Action = "target drain"
	if q.Undrain {
		c.Action = "target undrain"
	}
	// A mark of one target never clashes with edits of other fields.
	c.Merge = true
	c.Edits = []config.Edit{e}
	return nil
}

// dataCentreChange evacuates a data centre, or ends that, for all accounts at once.
func (s *Server) dataCentreChange(ctx context.Context, c *config.Change, q ChangeQuery) error {
	set, err := s.ownSet(ctx)
	if err != nil {
		return err
	}
	c.Edits, err = set.EvacuationEdits(q.DataCentre, !q.Restore)
	c.Action = "data-centre evacuate"
	if q.Restore {
		c.Action = "data-centre restore"
	}
	c.Merge = true // as for one target
	return err
}

// hasSubject says whether an entry concerns a document.
func hasSubject(e *baobabstep.AuditEntry, subject string) bool {
	if slices.Contains(strings.Fields(e.Subject), subject) {
		return true
	}
	// An entry of many documents names only the first; the difference has
	// the others, as far as it is kept.
	prefix := strings.Replace(subject, "/", ".", 1) + "."
	for _, line := range e.Difference {
		if len(line) > 2 && strings.HasPrefix(line[2:], prefix) {
			return true
		}
	}
	return false
}
