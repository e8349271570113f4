package command

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"

	"baobabstep"
	"baobabstep/core/config"
	"baobabstep/io/operator"
)

// Account holds the commands for client accounts.
type Account struct {
	List      AccountList      `cmd:"" help:"List the accounts."`
	Show      AccountShow      `cmd:"" help:"Show an account as it is in force."`
	Edit      AccountEdit      `cmd:"" help:"Change your draft of an account; nothing comes into force."`
	Diff      AccountDiff      `cmd:"" help:"Show what accepting your draft would change, and whether it may."`
	Accept    AccountAccept    `cmd:"" help:"Bring your draft into force."`
	DropDraft AccountDropDraft `cmd:"" help:"Forget your draft."`
	History   AccountHistory   `cmd:"" help:"Show who changed an account, when and why."`
}

// AccountList lists the accounts.
type AccountList struct{}

// Run carries out the command.
func (*AccountList) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		all, err := s.client.Documents(ctx, operator.DocumentQuery{Kind: config.ObjectAccount})
		if err != nil {
			return err
		}
		return s.print(all, func(w *tabwriter.Writer) {
			row(w, "ACCOUNT", "VERSION", "SERVICES", "TARGETS", "PURPOSE")
			for _, d := range all {
				row(w, d.Name, d.Version, d.Services, d.Targets, d.Doc)
			}
		})
	})
}

// AccountShow shows one account.
type AccountShow struct {
	Name string `arg:"" help:"The account."`
}

// Run carries out the command.
func (c *AccountShow) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		d, err := one(ctx, s, config.ObjectAccount, c.Name)
		if err != nil {
			return err
		}
		return s.print(d, func(w *tabwriter.Writer) {
			row(w, fmt.Sprintf("%s, last changed by version %d, %d services, %d targets", d.Name, d.Version, d.Services, d.Targets))
			if len(d.Drafts) > 0 {
				row(w, "drafts by "+strings.Join(d.Drafts, ", "))
			}
			row(w, indent(d.Document))
		})
	})
}

// AccountEdit changes the operator's draft.
type AccountEdit struct {
	Name   string   `arg:"" help:"The account."`
	File   string   `help:"File with the whole account, - for the standard input." placeholder:"FILE"`
	Set    []string `help:"Set one field, as services.fixtures.values.queue_limit=9; nothing after = removes it." sep:"none" placeholder:"PATH=VALUE"`
	Remove bool     `help:"Make it a draft of the account's removal."`
}

// Run carries out the command.
func (c *AccountEdit) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		q := operator.DraftQuery{Account: c.Name, Remove: c.Remove}
		var err error
		if c.File != "" {
			if q.Document, err = readFile(c.File); err != nil {
				return err
			}
		}
		if q.Set, err = fieldValues(c.Set); err != nil {
			return err
		}
		if len(q.Document) == 0 && len(q.Set) == 0 && !q.Remove {
			return baobabstep.Errorf(baobabstep.CodeUsage, "command.account_edit", "got nothing to change, want --file, --set or --remove")
		}
		return s.draft(ctx, q)
	})
}

// draft carries out q and prints the draft.
func (s *session) draft(ctx context.Context, q operator.DraftQuery) error {
	a, err := s.client.Draft(ctx, q)
	if err != nil {
		return err
	}
	return s.print(a, func(w *tabwriter.Writer) {
		what := "draft"
		if q.Drop {
			what = "dropped the draft"
		}
		row(w, fmt.Sprintf("%s of %s by %s on version %d", what, a.Draft.Account, a.Draft.Operator, a.Draft.BaseVersion))
		for _, change := range a.Difference {
			row(w, change.String())
		}
	})
}

// AccountDiff tries an accept without writing anything.
type AccountDiff struct {
	Name  string `arg:"" help:"The account."`
	Merge bool   `help:"Combine it with what others changed in other fields."`
}

// Run carries out the command.
func (c *AccountDiff) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		var none Change
		q := none.query()
		q.Account, q.Merge, q.DryRun = c.Name, c.Merge, true
		return s.carryOut(ctx, &none, q)
	})
}

// AccountAccept brings the operator's draft into force.
type AccountAccept struct {
	Name  string `arg:"" help:"The account."`
	Merge bool   `help:"Combine it with what others changed in other fields."`
	Change
}

// Run carries out the command.
func (c *AccountAccept) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		q := c.query()
		q.Account, q.Merge = c.Name, c.Merge
		return s.carryOut(ctx, &c.Change, q)
	})
}

// AccountDropDraft forgets the operator's draft.
type AccountDropDraft struct {
	Name string `arg:"" help:"The account."`
}

// Run carries out the command.
func (c *AccountDropDraft) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		return s.draft(ctx, operator.DraftQuery{Account: c.Name, Drop: true})
	})
}

// AccountHistory shows the audit entries of an account.
type AccountHistory struct {
	Name  string `arg:"" help:"The account."`
	Limit int    `help:"Show at most so many, the latest." default:"20"`
}

// Run carries out the command.
func (c *AccountHistory) Run(g *Globals) error {
	return g.run(func(ctx context.Context, s *session) error {
		return s.entries(ctx, operator.AuditQuery{Subject: "account/" + c.Name, Limit: c.Limit})
	})
}
